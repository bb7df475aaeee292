//! What the holder announces to the candidates.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Generation;
use crate::usage::Report;

/// What the holder announces to the candidates. It may be lost, and may arrive late.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Notice {
    /// The name of the holder.
    pub holder: String,
    /// Its generation.
    pub generation: Generation,
    /// How long ago its lease was renewed. It grows while the holder does not reach the store.
    pub lease_age: Duration,
    /// Whether the holder has ended its term.
    pub released: bool,
    /// The last window that is closed.
    pub reported: Option<u64>,
    /// The last window that was fixed, with its counts unless they are too large for a message.
    #[serde(default)]
    pub pending: Option<Report>,
}
