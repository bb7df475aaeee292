//! Orders of an operator to move a service to another version.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How far an order has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Nobody has reported on it.
    #[default]
    New,
    /// Traffic is moving.
    Running,
    /// All traffic goes to the new version.
    Completed,
    /// The new version gets nothing any more.
    RolledBack,
}

impl Progress {
    /// Returns whether the order has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// An order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The version to move to.
    pub version: String,
    /// The time in which the move is to end.
    pub duration: Duration,
    /// The revision at which the store created the order, which tells two orders for one service
    /// apart.
    pub created: u64,
    /// The store's revision of the order, for conditional writes.
    pub revision: u64,
    /// How far it has come.
    pub progress: Progress,
}
