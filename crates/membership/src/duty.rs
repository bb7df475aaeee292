//! What falls to one member.

use std::fmt;

use contract::id;
use serde::{Deserialize, Serialize};

/// The pools and claim shards that fall to one member, named after that member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Duty(pub id::Instance);

impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
