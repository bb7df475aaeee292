//! The platform's store of configuration, servers, rollout orders, evacuations and usage.

mod error;

use std::future::Future;
use std::time::Duration;

use balance::duty;
use balance::order::{Order, Progress};
use balance::record::Kind;
use balance::replica::Delta;
use balance::usage::Report;
use client::Received;

pub use error::Error;

/// Result of a long-polling call.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchResponse {
    /// The changes since the requested revision, if there were any.
    pub delta: Option<Delta>,
    /// The revision to continue from.
    pub cursor: u64,
}

/// Result of a check for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// There are no changes up to this revision, the latest of the store.
    Current {
        /// The revision.
        revision: u64,
    },
    /// There are changes.
    Changed,
}

/// The platform's store. A call may complete late, fail, or take effect without a response.
pub trait Store: Clone + Send + Sync + 'static {
    /// Returns all records of a kind.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Delta, Error>> + Send;

    /// Returns the changes after the revision `after` as soon as there are any, or no changes after
    /// about `wait`. Counts the bytes of the response in `received` as they arrive.
    fn watch(
        &self,
        kind: Kind,
        after: u64,
        wait: Duration,
        received: &Received,
    ) -> impl Future<Output = Result<WatchResponse, Error>> + Send;

    /// Checks whether there are changes after the revision `after`, which are not received. The response
    /// includes all changes that were confirmed before the call began. It fails if it gets none
    /// within `limit`.
    fn check(
        &self,
        kind: Kind,
        after: u64,
        limit: Duration,
    ) -> impl Future<Output = Result<Check, Error>> + Send;

    /// Closes the connections that no call uses.
    fn close_idle(&self);

    /// Writes the progress of an order, unless the order has changed in the meantime.
    fn report_progress(
        &self,
        order: &Order,
        progress: Progress,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Returns the usage of tenants that the data centre `centre` wrote last, or `None` if it wrote
    /// none yet.
    fn read_usage(
        &self,
        centre: &str,
    ) -> impl Future<Output = Result<Option<Vec<Report>>, Error>> + Send;

    /// Writes the usage of tenants in a data centre, in place of what it wrote before.
    fn write_usage(
        &self,
        centre: &str,
        reports: &[Report],
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads the object that says who has the duty to report usage.
    fn read_duty(&self) -> impl Future<Output = Result<duty::Reading, Error>> + Send;

    /// Writes that object if the condition of the write holds.
    fn write_duty(
        &self,
        write: &duty::Write,
    ) -> impl Future<Output = Result<duty::Outcome, Error>> + Send;

    /// Returns the highest era of the store that a response to any call has had, if there was one.
    fn era(&self) -> Option<u64>;
}
