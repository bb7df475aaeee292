//! Paths of the values of a bundle.

use std::collections::BTreeMap;
use std::fmt;

use crate::check::is_name;

/// The path of a value in a bundle, such as `service[gauge].route[1].time-limit-ms`.
///
/// Services are identified by name if it is valid and unique. All other items are identified by
/// position, counted from 1.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Path(String);

impl Path {
    /// Returns the path of the whole bundle.
    pub fn root() -> Self {
        Self::default()
    }

    /// Returns whether this is the path of the whole bundle.
    pub fn is_root(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the path as text; empty for the whole bundle.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the path of the value of `key` in the table at this path.
    pub fn key(&self, key: &str) -> Self {
        match self.is_root() {
            true => Self(key.into()),
            false => Self(format!("{}.{key}", self.0)),
        }
    }

    /// Returns the path of the item with `label` in the list at this path.
    pub fn item(&self, label: impl fmt::Display) -> Self {
        Self(format!("{}[{label}]", self.0))
    }

    /// Returns the path of the item at `index`, counted from 0, in the list at this path.
    pub fn at(&self, index: usize) -> Self {
        self.item(index + 1)
    }

    /// Returns the path of the list or table that contains this value; `None` for the whole bundle.
    pub fn parent(&self) -> Option<Self> {
        match self.0.rfind(['.', '[']) {
            // A name in brackets may contain dots but no brackets.
            Some(_) if self.0.ends_with(']') => {
                let end = self.0.rfind('[')?;
                Some(Self(self.0[..end].into()))
            }
            Some(end) => Some(Self(self.0[..end].into())),
            None if self.is_root() => None,
            None => Some(Self::root()),
        }
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Returns the labels of the items with `names` in paths: the name if it is valid and unique,
/// otherwise the position.
pub(crate) fn labels(names: &[&str]) -> Vec<String> {
    let mut uses = BTreeMap::new();
    for name in names {
        *uses.entry(*name).or_insert(0) += 1;
    }
    let label = |(index, name): (usize, &&str)| match is_name(name) && uses[name] == 1 {
        true => (*name).to_owned(),
        false => (index + 1).to_string(),
    };
    names.iter().enumerate().map(label).collect()
}
