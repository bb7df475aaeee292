//! What an instance knows of the store, ready to be used by requests.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use balance::config::Config;
use balance::order::Order;
use balance::record::{Kind, Record};
use balance::replica::{Delta, Replica};
use balance::server::Server;

/// What an instance knows of the store.
#[derive(Debug, Default)]
pub(crate) struct Knowledge {
    feeds: [Replica; Kind::ALL.len()],
    config: Option<Arc<Config>>,
}

impl Knowledge {
    /// Applies a change if it leads further. Returns whether it did.
    pub(crate) fn apply(&mut self, kind: Kind, delta: &Delta) -> bool {
        if !self.feeds[kind.index()].apply(delta) {
            return false;
        }
        if kind == Kind::Config {
            self.take_config();
        }
        true
    }

    /// Takes the newest configuration. An older one that a repaired store shows is passed over.
    fn take_config(&mut self) {
        let present = self.config.as_ref().map_or(0, |c| c.version);
        let records = self.feed(Kind::Config).records().values();
        let configs = records.filter_map(|record| match record {
            Record::Config(config) => Some(config),
            _ => None,
        });
        let newest = configs.max_by_key(|c| c.version);
        if let Some(config) = newest.filter(|c| c.version > present) {
            self.config = Some(Arc::new(config.clone()));
        }
    }

    /// Returns the records of a kind.
    pub(crate) fn feed(&self, kind: Kind) -> &Replica {
        &self.feeds[kind.index()]
    }

    /// Returns the revisions of all kinds, in the order of [`Kind::ALL`].
    pub(crate) fn revisions(&self) -> [u64; Kind::ALL.len()] {
        Kind::ALL.map(|kind| self.feed(kind).revision())
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.config.clone()
    }

    /// Returns the backend servers.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &Server> {
        let records = self.feed(Kind::Servers).records().values();
        records.filter_map(|record| match record {
            Record::Server(server) => Some(server),
            _ => None,
        })
    }

    /// Returns the orders by service.
    pub(crate) fn orders(&self) -> HashMap<String, Order> {
        let records = self.feed(Kind::Orders).records().values();
        let orders = records.filter_map(|record| match record {
            Record::Order(order) => Some((order.service.clone(), order.clone())),
            _ => None,
        });
        orders.collect()
    }

    /// Returns the data centres that are to get no work.
    pub(crate) fn evacuations(&self) -> HashSet<String> {
        self.feed(Kind::Evacuations)
            .records()
            .keys()
            .cloned()
            .collect()
    }
}

/// Returns the names of the records that `delta` changes with what they say, for a log line.
pub(crate) fn summary(delta: &Delta) -> String {
    const MOST: usize = 12;
    let words = delta
        .changes
        .iter()
        .take(MOST)
        .map(|(name, record)| match record {
            None => format!("{name} gone"),
            Some(Record::Server(s)) if s.draining => format!("{name} draining {}", s.sequence),
            Some(Record::Server(s)) => format!("{name} ready {}", s.sequence),
            Some(Record::Config(c)) => format!("{name} version {}", c.version),
            Some(Record::Order(o)) => format!("{name} to {} {:?}", o.version, o.progress),
            Some(Record::Evacuation) => format!("{name} evacuated"),
        });
    words.collect::<Vec<_>>().join(", ")
}
