//! The servers that a data centre lends and borrows.

use std::collections::{HashMap, HashSet};

use crate::server::Key;

/// Lent servers, by the data centre that borrows them.
pub type Loans = Vec<(String, Vec<Key>)>;

/// The servers that this data centre lends to others, and those that it borrows.
#[derive(Debug, Default)]
pub struct Lending {
    loans: Loans,
    lent: HashSet<Key>,
    /// Borrowed servers, by the data centre that lends them.
    borrowed: HashMap<String, HashSet<Key>>,
}

/// A change of the servers that are lent, or that are borrowed from one data centre.
#[derive(Debug)]
pub(crate) struct Change {
    /// The servers that were not in the set before.
    pub(crate) added: Vec<Key>,
    /// The servers that are no longer in the set.
    pub(crate) removed: Vec<Key>,
}

impl Change {
    fn between(previous: &HashSet<Key>, current: &HashSet<Key>) -> Self {
        Self {
            added: current.difference(previous).copied().collect(),
            removed: previous.difference(current).copied().collect(),
        }
    }

    /// Returns whether the set is the same as before.
    pub(crate) fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty()
    }
}

impl Lending {
    /// Sets the servers that this data centre lends. Returns the change.
    pub(crate) fn lend(&mut self, loans: Loans) -> Change {
        let lent: HashSet<Key> = loans.iter().flat_map(|(_, keys)| keys).copied().collect();
        let change = Change::between(&self.lent, &lent);
        self.lent = lent;
        self.loans = loans;
        change
    }

    /// Returns the servers that this data centre lends.
    pub fn loans(&self) -> &Loans {
        &self.loans
    }

    /// Sets the servers that `lender` lends to this data centre. Returns the change.
    pub(crate) fn borrow(&mut self, lender: &str, keys: &[Key]) -> Change {
        let keys: HashSet<Key> = keys.iter().copied().collect();
        let previous = self.borrowed.remove(lender).unwrap_or_default();
        let change = Change::between(&previous, &keys);
        self.borrowed.insert(lender.to_owned(), keys);
        change
    }

    /// Returns whether the server is lent to `centre`.
    pub fn is_lent_to(&self, centre: &str, key: Key) -> bool {
        let mut loans = self.loans.iter();
        loans.any(|(borrower, keys)| borrower == centre && keys.contains(&key))
    }

    /// Drops the servers borrowed from data centres other than `lenders`. Returns whether there
    /// were any.
    pub(crate) fn retain_lenders(&mut self, lenders: &[String]) -> bool {
        let previous = self.borrowed.len();
        self.borrowed.retain(|lender, _| lenders.contains(lender));
        self.borrowed.len() != previous
    }

    /// Returns whether this data centre lends the server to another one.
    pub fn is_lent(&self, key: Key) -> bool {
        self.lent.contains(&key)
    }

    /// Returns whether this data centre borrows the server.
    pub fn is_borrowed(&self, key: Key) -> bool {
        self.borrowed.values().any(|keys| keys.contains(&key))
    }
}
