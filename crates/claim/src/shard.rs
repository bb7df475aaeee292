//! Shards of the keys.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A shard of the keys. Each shard has its own log and owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Shard(pub u32);

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
