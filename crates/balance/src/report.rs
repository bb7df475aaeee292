//! What a server says of its load.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The pace of a server on a machine that is as fast as usual, in hundredths.
pub const NORMAL_SLOWDOWN_PERCENT: u32 = 100;

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
    #[serde(rename = "pace")]
    pub slowdown_percent: u32,
}

impl Report {
    /// Returns the requests that run or wait.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            running,
            waiting,
            slots,
            slowdown_percent,
        } = self;
        write!(
            f,
            "{running} run and {waiting} wait for {slots} slots at slowdown {slowdown_percent}%"
        )
    }
}
