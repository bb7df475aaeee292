//! Lends servers to data centres whose callers need more than theirs can do.
//!
//! The reader of a data centre decides what is lent and tells its own instances, which stay away
//! from those servers, and the borrower's, which use them.

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
    /// Returns what the callers of this data centre need of each service, and what its servers can
    /// do.
    pub(crate) fn balances(&self) -> Vec<(String, Usage)> {
        let now = self.now();
        let own = self.demand.lock().offered_load(now);
        let needs = self.members.lock().needs(&own, now);
        Lender::new(&self.table.lock(), now).usage(&needs)
    }

    /// Decides which servers this data centre lends. Returns whether one lends or borrows that did
    /// not before.
    pub(crate) fn renew_loans(&self) -> bool {
        let now = self.now();
        let own = self.balances();
        let states = self.members.lock().centres(now);
        let mut table = self.table.lock();
        let mut loans = Loans::new();
        for (service, balance) in &own {
            let others: Vec<(&str, Usage)> = states
                .iter()
                .filter_map(|state| {
                    let found = state.balances.iter().find(|(s, _)| s == service);
                    found.map(|(_, balance)| (state.centre.as_str(), *balance))
                })
                .collect();
            for (centre, keys) in Lender::new(&table, now).loans(service, *balance, &others) {
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
                "balances" => ?own, "others" => states.len());
        }
        table.lend(loans);
        changed
    }
}
