//! The servers of a service counted by condition.

use std::time::Duration;

/// The servers of a service counted by condition.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Servers in the table.
    pub listed: usize,
    /// Servers that are draining, or whose data centre is evacuated. The following fields leave
    /// them out.
    pub out_of_service: usize,
    /// Servers that only this data centre uses, in the groups of this instance.
    pub local: usize,
    /// Servers that are cold.
    pub cold: usize,
    /// Servers that have to answer a probe before they get requests.
    pub needs_probe: usize,
    /// Servers that could not be reached recently.
    pub unreachable: usize,
    /// Servers that one more request would slow down.
    pub at_knee: usize,
    /// Servers without a free slot.
    pub full: usize,
    /// Servers that have named a limit on their requests a second.
    pub limited: usize,
    /// Servers that want no request now, because of a limit or a pause.
    pub closed: usize,
    /// The estimated number of requests at servers in service.
    pub requests: f64,
    /// The number of requests that servers in service can run concurrently.
    pub slots: f64,
    /// The age of the oldest load report of a local server.
    pub oldest_report: Option<Duration>,
}
