//! The public keys of the operators whose signatures are accepted.

use std::str::FromStr;

use thiserror::Error;

use crate::id;
use crate::signature::{self, PublicKey};

/// Operators and their public keys.
///
/// Parsed from text such as `ada=<hex>,ben=<hex>`; commas and white space separate the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Keyring {
    entries: Vec<(id::Operator, PublicKey)>,
}

impl Keyring {
    /// Returns a keyring of `entries`. Fails if a name or key occurs more than once.
    pub fn new(
        entries: impl IntoIterator<Item = (id::Operator, PublicKey)>,
    ) -> Result<Self, Error> {
        let mut keyring = Self::default();
        for (name, key) in entries {
            keyring.insert(name, key)?;
        }
        Ok(keyring)
    }

    /// Returns the operator whose key is `key`.
    pub fn operator(&self, key: &PublicKey) -> Option<&id::Operator> {
        let mut entries = self.entries.iter();
        entries.find(|(_, k)| k == key).map(|(name, _)| name)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the keyring has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, name: id::Operator, key: PublicKey) -> Result<(), Error> {
        if self.operator(&key).is_some() {
            return Err(Error::DuplicateKey(name));
        }
        if self.entries.iter().any(|(n, _)| *n == name) {
            return Err(Error::DuplicateName(name));
        }
        self.entries.push((name, key));
        Ok(())
    }
}

impl FromStr for Keyring {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let words = text.split(|c: char| c == ',' || c.is_whitespace());
        let mut keyring = Self::default();
        for word in words.filter(|word| !word.is_empty()) {
            let (name, key) = word.split_once('=').ok_or(Error::NoName)?;
            if name.is_empty() {
                return Err(Error::NoName);
            }
            let name = id::Operator::from(name);
            let key = key.parse().map_err(|error| Error::Key {
                name: name.clone(),
                error,
            })?;
            keyring.insert(name, key)?;
        }
        Ok(keyring)
    }
}

/// Why a keyring is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// An entry has no name or no `=`.
    #[error("each key is written NAME=KEY")]
    NoName,
    /// An entry's key cannot be parsed.
    #[error("the key of {name}: {error}")]
    Key {
        /// The operator.
        name: id::Operator,
        /// Why the key is invalid.
        error: signature::Error,
    },
    /// A name occurs more than once.
    #[error("{0} stands twice in the keyring")]
    DuplicateName(id::Operator),
    /// A key occurs more than once, the second time under this name.
    #[error("the key of {0} stands in the keyring under another name too")]
    DuplicateKey(id::Operator),
}
