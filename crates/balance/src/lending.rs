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

impl Lending {
    /// Sets the servers that this data centre lends. Returns those that are no longer lent.
    pub(crate) fn lend(&mut self, loans: Loans) -> Vec<Key> {
        let lent: HashSet<Key> = loans.iter().flat_map(|(_, keys)| keys).copied().collect();
        let returned = self.lent.difference(&lent).copied().collect();
        self.lent = lent;
        self.loans = loans;
        returned
    }

    /// Returns the servers that this data centre lends.
    pub fn loans(&self) -> &Loans {
        &self.loans
    }

    /// Sets the servers that `lender` lends to this data centre. Returns those that are new.
    pub(crate) fn borrow(&mut self, lender: &str, keys: &[Key]) -> Vec<Key> {
        let keys: HashSet<Key> = keys.iter().copied().collect();
        let previous = self.borrowed.get(lender);
        let new = keys
            .iter()
            .filter(|k| previous.is_none_or(|p| !p.contains(k)));
        let new = new.copied().collect();
        self.borrowed.insert(lender.to_owned(), keys);
        new
    }

    /// Returns whether the server is lent to `centre`.
    pub fn is_lent_to(&self, centre: &str, key: Key) -> bool {
        let mut loans = self.loans.iter();
        loans.any(|(borrower, keys)| borrower == centre && keys.contains(&key))
    }

    /// Drops the servers borrowed from data centres other than `lenders`.
    pub fn retain_lenders(&mut self, lenders: &[String]) {
        self.borrowed.retain(|lender, _| lenders.contains(lender));
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
