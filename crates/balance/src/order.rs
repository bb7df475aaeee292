//! Rollout orders: requests of an operator to move a service to another version.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The progress of a rollout order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// No progress has been reported.
    #[default]
    New,
    /// Traffic is moving to the new version.
    Running,
    /// All traffic goes to the new version.
    Completed,
    /// The new version gets no traffic any longer.
    RolledBack,
}

impl Progress {
    /// Returns whether the order has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// A rollout order: a request to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The version to move to.
    pub version: String,
    /// The time in which the rollout has to end.
    pub duration: Duration,
    /// The store's revision at which the order was created, which distinguishes successive orders
    /// for one service.
    pub created: u64,
    /// The store's revision of the order, for conditional writes.
    pub revision: u64,
    /// The progress.
    pub progress: Progress,
}
