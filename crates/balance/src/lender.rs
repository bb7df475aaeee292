//! Decides which servers a data centre lends.

use std::collections::BTreeMap;

use clock::Instant;

use crate::lending::Loans;
use crate::loan::{self, Remote, Usage};
use crate::rendezvous;
use crate::server::Key;
use crate::table::Table;

/// A loan is left as it is while it should be larger or smaller by no more than one server in so
/// many.
const STEADINESS: usize = 5;

/// Decides which servers of a data centre are lent, by what its table says at a moment.
#[derive(Clone, Copy, Debug)]
pub struct Lender<'a> {
    table: &'a Table,
    now: Instant,
}

impl<'a> Lender<'a> {
    /// Returns the lender of the data centre that `table` is of.
    pub fn new(table: &'a Table, now: Instant) -> Self {
        Self { table, now }
    }

    /// Returns what the callers of this data centre need of each service, of which `needs` tells,
    /// and what its servers can do.
    pub fn usage(&self, needs: &BTreeMap<String, f64>) -> Vec<(String, Usage)> {
        let pace = self.table.slowdown();
        let balances = self.table.services().map(|service| {
            let need = needs.get(service).copied().unwrap_or(0.0);
            let usable = self.table.servers(service);
            let usable = usable.filter(|(_, b)| self.table.is_usable(b, self.now));
            let capacity = usable.map(|(_, b)| b.capacity(&pace)).sum();
            (
                service.to_owned(),
                Usage {
                    demand: need,
                    capacity,
                },
            )
        });
        balances.collect()
    }

    /// Returns the requests of others, beyond those at servers that are lent, that the servers of this
    /// data centre have room for, by service.
    pub fn headroom(&self, balances: &[(String, Usage)]) -> Vec<(String, f64)> {
        let rooms = balances.iter().map(|(service, balance)| {
            let usable = self.table.servers(service);
            let usable = usable.filter(|(_, b)| self.table.is_usable(b, self.now));
            let (lent, kept): (Vec<_>, Vec<_>) =
                usable.partition(|(key, _)| self.table.lending.is_lent(*key));
            let part = lent.len() as f64 / (lent.len() + kept.len()).max(1) as f64;
            let room = if balance.has_headroom(part) {
                kept.iter().map(|(_, b)| b.headroom(self.now)).sum()
            } else {
                0.0
            };
            (service.clone(), room)
        });
        rooms.collect()
    }

    /// Returns the servers of `service` that this data centre, which has `own`, lends to `others`.
    ///
    /// The same servers are chosen for as long as about as many are needed.
    pub fn loans(&self, service: &str, own: Usage, others: &[(&str, Usage)]) -> Loans {
        let others: Vec<Remote<'_>> = others
            .iter()
            .map(|(centre, balance)| Remote {
                centre,
                usage: *balance,
                borrows: self.lent_now(service, centre) > 0,
            })
            .collect();
        let usable = self.table.servers(service);
        let usable = usable.filter(|(_, b)| self.table.is_usable(b, self.now));
        let mut left: Vec<Key> = usable.map(|(key, _)| key).collect();
        let count = left.len() as f64;
        let mut loans = Loans::new();
        for (centre, part) in loan::shares(own, &others) {
            // A part of a server is not lent: requests find it as room.
            let wanted = (count * part) as usize;
            let present = self.lent_now(service, centre);
            let number = if wanted.abs_diff(present) <= present.div_ceil(STEADINESS) {
                present
            } else {
                wanted
            };
            left.sort_by_cached_key(|key| rendezvous::weight(&centre, key));
            let lent = left.split_off(left.len() - number.min(left.len()));
            if !lent.is_empty() {
                loans.push((centre.to_owned(), lent));
            }
        }
        loans
    }

    /// Returns how many servers of `service` are lent to `centre` now.
    fn lent_now(&self, service: &str, centre: &str) -> usize {
        let lending = &self.table.lending;
        let servers = self.table.servers(service);
        servers
            .filter(|(key, _)| lending.is_lent_to(centre, *key))
            .count()
    }
}
