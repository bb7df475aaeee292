//! Decides which servers a data centre lends.

use std::collections::BTreeMap;

use clock::Instant;

use crate::lending::Loans;
use crate::loan::{self, Remote, Usage};
use crate::rendezvous;
use crate::server::Key;
use crate::table::Table;

/// A loan keeps its size unless it should change by more than one server in this many.
const HYSTERESIS_DIVISOR: usize = 5;

/// Decides which servers of a data centre are lent, from its table at a given time.
#[derive(Clone, Copy, Debug)]
pub struct Lender<'a> {
    table: &'a Table,
    now: Instant,
}

impl<'a> Lender<'a> {
    /// Returns the lender for the data centre of `table`.
    pub fn new(table: &'a Table, now: Instant) -> Self {
        Self { table, now }
    }

    /// Returns the demand and the capacity of this data centre, by service. `demands` holds the
    /// demand of its callers.
    pub fn usage(&self, demands: &BTreeMap<String, f64>) -> Vec<(String, Usage)> {
        let usages = self.table.services().map(|service| {
            let demand = demands.get(service).copied().unwrap_or(0.0);
            let usable = self.table.servers(service);
            let usable = usable.filter(|(key, b)| self.table.is_usable(*key, b, self.now));
            let capacity = usable.map(|(key, b)| self.table.capacity(key, b)).sum();
            (service.to_owned(), Usage { demand, capacity })
        });
        usages.collect()
    }

    /// Returns how many more requests of other data centres the servers of this one can take, by
    /// service. Lent servers are not counted.
    pub fn headroom(&self, usages: &[(String, Usage)]) -> Vec<(String, f64)> {
        let headrooms = usages.iter().map(|(service, usage)| {
            let usable = self.table.servers(service);
            let usable = usable.filter(|(key, b)| self.table.is_usable(*key, b, self.now));
            let (lent, kept): (Vec<_>, Vec<_>) =
                usable.partition(|(key, _)| self.table.lending.is_lent(*key));
            let lent_share = lent.len() as f64 / (lent.len() + kept.len()).max(1) as f64;
            let headroom = if usage.has_headroom(lent_share) {
                let open = kept
                    .iter()
                    .filter(|(key, _)| self.table.limit(*key).is_none());
                open.map(|(_, b)| b.headroom(self.now)).sum()
            } else {
                0.0
            };
            (service.clone(), headroom)
        });
        headrooms.collect()
    }

    /// Returns the servers of `service` that this data centre lends to `others`, given its `own`
    /// usage.
    ///
    /// The choice is stable while about the same number of servers is needed.
    pub fn loans(&self, service: &str, own: Usage, others: &[(&str, Usage)]) -> Loans {
        let others: Vec<Remote<'_>> = others
            .iter()
            .map(|(centre, usage)| Remote {
                centre,
                usage: *usage,
                borrows: self.lent_count(service, centre) > 0,
            })
            .collect();
        let usable = self.table.servers(service);
        let usable = usable.filter(|(key, b)| self.table.is_usable(*key, b, self.now));
        let mut remaining: Vec<Key> = usable.map(|(key, _)| key).collect();
        let count = remaining.len() as f64;
        let mut loans = Loans::new();
        for (centre, share) in loan::shares(own, &others) {
            // Only whole servers are lent. The fraction is left to spillover.
            let wanted = (count * share) as usize;
            let current = self.lent_count(service, centre);
            let number = if wanted.abs_diff(current) <= current.div_ceil(HYSTERESIS_DIVISOR) {
                current
            } else {
                wanted
            };
            remaining.sort_by_cached_key(|key| rendezvous::weight(&centre, key));
            let lent = remaining.split_off(remaining.len() - number.min(remaining.len()));
            if !lent.is_empty() {
                loans.push((centre.to_owned(), lent));
            }
        }
        loans
    }

    /// Returns how many servers of `service` are currently lent to `centre`.
    fn lent_count(&self, service: &str, centre: &str) -> usize {
        let lending = &self.table.lending;
        let servers = self.table.servers(service);
        servers
            .filter(|(key, _)| lending.is_lent_to(centre, *key))
            .count()
    }
}
