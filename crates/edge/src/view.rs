//! The instance's copy of the store's records, in the form that requests need.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use balance::config::Active;
use balance::order::Order;
use balance::patch;
use balance::record::{Kind, Record};
use balance::replica::{Delta, Replica};
use balance::server::Server;

/// The instance's copy of the store's records.
#[derive(Debug, Default)]
pub(crate) struct View {
    replicas: [Replica; Kind::ALL.len()],
    config: Option<Arc<Active>>,
}

impl View {
    /// Applies a change if it advances the revision. Returns whether it did.
    ///
    /// # Errors
    ///
    /// If the change is a patch for another configuration.
    pub(crate) fn apply(&mut self, kind: Kind, delta: &Delta) -> Result<bool, patch::Error> {
        if !self.replicas[kind.index()].apply(delta)? {
            return Ok(false);
        }
        if kind == Kind::Config {
            self.select_config();
        }
        Ok(true)
    }

    /// Selects the configuration with the highest version. A store that was repaired may show an
    /// older one, which is ignored.
    fn select_config(&mut self) {
        let current = self.config.as_ref().map_or(0, |c| c.version);
        let records = self.replica(Kind::Config).records().values();
        let configs = records.filter_map(|record| match record {
            Record::Config(config) => Some(config),
            _ => None,
        });
        let newest = configs.max_by_key(|c| c.version);
        if let Some(config) = newest.filter(|c| c.version > current) {
            self.config = Some(Arc::new(Active::new(config.clone())));
        }
    }

    /// Returns the records of a kind.
    pub(crate) fn replica(&self, kind: Kind) -> &Replica {
        &self.replicas[kind.index()]
    }

    /// Returns the revisions of all kinds, in the order of [`Kind::ALL`].
    pub(crate) fn revisions(&self) -> [u64; Kind::ALL.len()] {
        Kind::ALL.map(|kind| self.replica(kind).revision())
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<Active>> {
        self.config.clone()
    }

    /// Returns the backend servers.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &Server> {
        let records = self.replica(Kind::Servers).records().values();
        records.filter_map(|record| match record {
            Record::Server(server) => Some(server),
            _ => None,
        })
    }

    /// Returns the orders by service.
    pub(crate) fn orders(&self) -> HashMap<String, Order> {
        let records = self.replica(Kind::Orders).records().values();
        let orders = records.filter_map(|record| match record {
            Record::Order(order) => Some((order.service.clone(), order.clone())),
            _ => None,
        });
        orders.collect()
    }

    /// Returns the evacuated data centres, whose servers get no requests.
    pub(crate) fn evacuations(&self) -> HashSet<String> {
        self.replica(Kind::Evacuations)
            .records()
            .keys()
            .cloned()
            .collect()
    }
}

/// Summarises the changed records for a log line.
pub(crate) fn summary(delta: &Delta) -> String {
    const MAX_RECORDS: usize = 12;
    let parts = delta
        .changes
        .iter()
        .take(MAX_RECORDS)
        .map(|(name, record)| match record {
            None => format!("{name} removed"),
            Some(Record::Server(s)) if s.draining => format!("{name} draining {}", s.sequence),
            Some(Record::Server(s)) => format!("{name} ready {}", s.sequence),
            Some(Record::Config(c)) => format!("{name} version {}", c.version),
            Some(Record::ConfigPatch(p)) => {
                format!("{name} version {}, {} parts", p.version(), p.parts())
            }
            Some(Record::Order(o)) => format!("{name} to {} {:?}", o.version, o.progress),
            Some(Record::Evacuation) => format!("{name} evacuated"),
        });
    parts.collect::<Vec<_>>().join(", ")
}
