//! The duty of one member.

use std::fmt;

use contract::id;
use serde::{Deserialize, Serialize};

/// The pools and claim shards that are placed on one member. A duty has the name of that member,
/// also while a deputy acts on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Duty(pub id::Instance);

impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
