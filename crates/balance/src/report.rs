//! What a server says of its load.

use serde::{Deserialize, Serialize};

/// The pace of a server on a machine that is as fast as usual, in hundredths.
pub const USUAL_PACE: u32 = 100;

/// What a server said of its load when it answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The requests that run.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
    /// The requests that can run at a time.
    pub slots: u32,
    /// How long work takes at the moment, in hundredths of the usual time.
    pub pace: u32,
}

impl Report {
    /// Returns the requests that run or wait.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
