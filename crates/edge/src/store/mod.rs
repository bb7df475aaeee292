//! The store that holds what lasts.

mod error;

use std::future::Future;
use std::time::Duration;

use balance::order::{Order, Progress};
use balance::record::Kind;
use balance::replica::Delta;

pub use error::Error;

/// What a waiting call of the store has seen.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchResponse {
    /// The changes, if there were any. They follow on the revision that was asked for.
    pub delta: Option<Delta>,
    /// The revision from which to go on.
    pub cursor: u64,
}

/// The store that holds what lasts. Each call may be answered late, not at all, or after it took
/// effect.
pub trait Store: Clone + Send + Sync + 'static {
    /// Returns all records of a kind.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Delta, Error>> + Send;

    /// Returns the changes after the revision `after` as soon as there are any, or that there were
    /// none for about `wait`.
    fn watch(
        &self,
        kind: Kind,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse, Error>> + Send;

    /// Asks for a sign of life with the cheapest call there is.
    fn ping(&self, limit: Duration) -> impl Future<Output = Result<(), Error>> + Send;

    /// Writes how far an order has come, unless the order has changed meanwhile.
    fn report_progress(
        &self,
        order: &Order,
        progress: Progress,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}
