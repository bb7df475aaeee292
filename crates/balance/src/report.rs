//! Load reports of backend servers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The slowdown of a server at normal speed, in percent.
pub const NORMAL_SLOWDOWN_PERCENT: u32 = 100;

/// The load that a server reported with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests queued at the server.
    pub waiting: u32,
    /// The number of requests that can run concurrently.
    pub slots: u32,
    /// The current duration of work, in percent of the normal one.
    #[serde(rename = "pace")]
    pub slowdown_percent: u32,
}

impl Report {
    /// Returns the number of running and queued requests.
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
            "{running} running and {waiting} queued for {slots} slots, \
             work takes {slowdown_percent}% of the normal time"
        )
    }
}
