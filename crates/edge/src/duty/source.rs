//! Where reports come from: the counts of all data centres, and the true time.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;

use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;
use crate::usage::{self, Collected};

/// Where reports come from.
pub trait Source: Send + Sync + 'static {
    /// Returns the true time since 1970, if it is known.
    fn unix_time(&self) -> Option<Duration>;

    /// Returns the usage in a window that has ended, or `None` if it cannot be determined now.
    fn collect(&self, window: u64) -> impl Future<Output = Option<Collected>> + Send;
}

/// The source of an instance.
pub(crate) struct NodeSource<S, H, C>(pub(crate) Arc<Node<S, H, C>>);

impl<S, H, C> Source for NodeSource<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    fn unix_time(&self) -> Option<Duration> {
        Some(self.0.tenant_usage.time(self.0.now()))
    }

    async fn collect(&self, window: u64) -> Option<Collected> {
        Some(usage::collect(&self.0, window).await)
    }
}
