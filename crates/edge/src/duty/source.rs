//! Where reports come from: the counts of all data centres, and the true time.

use std::collections::BTreeMap;
use std::future::Future;
use std::time::Duration;

/// The usage in one window, as collected from all data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Collected {
    /// The requests that servers began to run, by tenant.
    pub counts: BTreeMap<String, u64>,
    /// The data centres whose counts are missing or old.
    pub missing: Vec<String>,
}

/// Where reports come from.
pub trait Source: Send + Sync + 'static {
    /// Returns the true time since 1970, if it is known.
    fn unix_time(&self) -> Option<Duration>;

    /// Returns the usage in a window that has ended, or `None` if it cannot be determined now.
    fn collect(&self, window: u64) -> impl Future<Output = Option<Collected>> + Send;
}

/// The source of an instance.
#[derive(Debug)]
pub(crate) struct NodeSource;

impl Source for NodeSource {
    // Joined with `usage` and the clock of true time when these are merged. Until then there is no
    // time, so that no window ends and nothing is reported.
    fn unix_time(&self) -> Option<Duration> {
        None
    }

    async fn collect(&self, _window: u64) -> Option<Collected> {
        None
    }
}
