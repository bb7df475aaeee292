//! Which servers are lent, and which are borrowed.

use std::collections::{HashMap, HashSet};

use crate::server::Key;

/// Servers that are lent, by the data centre that uses them.
pub type Loans = Vec<(String, Vec<Key>)>;

/// Which servers of this data centre others use, and which of others' it uses.
#[derive(Debug, Default)]
pub struct Lending {
    loans: Loans,
    lent: HashSet<Key>,
    /// By the data centre that lends.
    borrowed: HashMap<String, HashSet<Key>>,
}

impl Lending {
    /// Sets the servers that this data centre lends. Returns those that come back.
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

    /// Sets the servers that `lender` lends to this data centre. Returns those that it did not lend
    /// before.
    pub(crate) fn borrow(&mut self, lender: &str, keys: &[Key]) -> Vec<Key> {
        let keys: HashSet<Key> = keys.iter().copied().collect();
        let before = self.borrowed.get(lender);
        let new = keys
            .iter()
            .filter(|k| before.is_none_or(|b| !b.contains(k)));
        let new = new.copied().collect();
        self.borrowed.insert(lender.to_owned(), keys);
        new
    }

    /// Returns whether the server is lent to `centre`.
    pub fn is_lent_to(&self, centre: &str, key: Key) -> bool {
        let mut loans = self.loans.iter();
        loans.any(|(borrower, keys)| borrower == centre && keys.contains(&key))
    }

    /// Forgets what is borrowed from data centres other than `lenders`.
    pub fn retain_lenders(&mut self, lenders: &[String]) {
        self.borrowed.retain(|lender, _| lenders.contains(lender));
    }

    /// Returns whether another data centre uses the server of this one.
    pub fn is_lent(&self, key: Key) -> bool {
        self.lent.contains(&key)
    }

    /// Returns whether this data centre uses the server of another one.
    pub fn is_borrowed(&self, key: Key) -> bool {
        self.borrowed.values().any(|keys| keys.contains(&key))
    }
}
