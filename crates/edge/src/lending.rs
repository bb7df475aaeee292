//! Lends servers to data centres whose demand exceeds their capacity.
//!
//! The reader of a data centre decides which servers are lent. It notifies the instances of its own
//! data centre, which stop using those servers, and the borrower, whose instances use them.

use balance::lender::Lender;
use balance::lending::Loans;
use balance::loan::Usage;
use clock::Clock;

use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

impl<S, H, C> Node<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Returns the demand of this data centre's callers and the capacity of its servers, by
    /// service.
    pub(crate) fn usage(&self) -> Vec<(String, Usage)> {
        let now = self.now();
        let own = self.demand.lock().offered_load(now);
        let (demand, unusable) = {
            let members = self.members.lock();
            (members.demand(&own, now), members.unusable_servers(now))
        };
        let mut table = self.table.lock();
        table.set_reported_unusable(unusable);
        Lender::new(&table, now).usage(&demand)
    }

    /// Decides which servers this data centre lends. Returns whether the set of borrowers has
    /// changed.
    pub(crate) fn update_loans(&self) -> bool {
        let now = self.now();
        let own = self.usage();
        let states = self.members.lock().centres(now);
        let mut table = self.table.lock();
        let mut loans = Loans::new();
        for (service, usage) in &own {
            let others: Vec<(&str, Usage)> = states
                .iter()
                .filter_map(|state| {
                    let found = state.usage.iter().find(|(s, _)| s == service);
                    found.map(|(_, usage)| (state.centre.as_str(), *usage))
                })
                .collect();
            for (centre, keys) in Lender::new(&table, now).loans(service, *usage, &others) {
                match loans.iter_mut().find(|(c, _)| *c == centre) {
                    Some((_, lent)) => lent.extend(keys),
                    None => loans.push((centre, keys)),
                }
            }
        }
        let borrowers = |loans: &Loans| {
            let mut centres: Vec<String> = loans.iter().map(|(c, _)| c.clone()).collect();
            centres.sort_unstable();
            centres
        };
        let changed = borrowers(&loans) != borrowers(table.lending.loans());
        if changed {
            let counts: Vec<_> = loans.iter().map(|(c, keys)| (c, keys.len())).collect();
            slog::info!(self.log, "lending: the borrowers changed"; "servers lent" => ?counts,
                "usage" => ?own, "other centres" => states.len());
        }
        table.lend(loans);
        changed
    }
}
