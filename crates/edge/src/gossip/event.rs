//! What has happened at a backend server.

use std::time::Duration;

use balance::report::Report;
use balance::server::Key;
use serde::{Deserialize, Serialize};

/// How a request to a server ended, as far as it tells something of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum End {
    /// It was answered.
    Answered,
    /// It failed.
    Failed,
    /// The server had no room.
    Shed,
    /// The server could not be reached.
    Unreached,
}

/// What has happened at a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Event {
    /// The server.
    pub(crate) server: Key,
    /// The requests that the sender has there now.
    pub(crate) held: u32,
    /// What the server just said of its load.
    pub(crate) report: Option<Report>,
    /// How a request just ended.
    pub(crate) end: Option<End>,
    /// How long the server says to stay cold, when it was probed.
    pub(crate) warmup_left: Option<Duration>,
}

impl Event {
    /// Returns an event that says only how many requests the sender has at the server.
    pub(crate) fn held(server: Key, held: u32) -> Self {
        Self {
            server,
            held,
            report: None,
            end: None,
            warmup_left: None,
        }
    }
}
