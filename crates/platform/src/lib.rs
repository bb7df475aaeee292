//! Client of the platform's object API.
//!
//! A [`Store`] holds small objects under paths, each with a revision. Writes are conditional on a
//! revision: of two concurrent writers one succeeds and the other gets a conflict. The platform
//! also lists backend servers and instances; these lists lag.
//!
//! Invariants:
//!
//! - [`Error::Unavailable`] is returned for a write only if the write certainly has no effect, now
//!   or later.
//! - The store of a protocol ([`http::Http`]) only maps calls to requests; [`client::Client`] adds
//!   time limits and counts to any protocol.

pub mod backoff;
pub mod client;
mod connector;
pub mod count;
pub mod directory;
mod error;
mod exchange;
pub mod http;
mod instance;
mod object;
pub mod query;
mod server;
pub mod stamp;
pub mod watcher;
pub mod writer;

use std::future::Future;
use std::time::Duration;

pub use client::Client;
pub use error::Error;
pub use instance::Instance;
pub use object::{Object, Revision};
pub use server::{Health, Server};

/// The outcome of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The object now has this revision.
    Written(Revision),
    /// The object did not have the expected revision, and the write changed nothing.
    Conflict,
}

/// The platform's object API.
///
/// [`client::Client`] gives each call a time limit. [`Error::Indeterminate`] means that a write may
/// or may not take effect.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads the object at `path`.
    fn read(&self, path: &str) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Waits for at most `limit` until the object at `path` has a revision other than `seen`, and
    /// returns the object as it is then. `seen` is `None` if the object was absent.
    fn watch(
        &self,
        path: &str,
        seen: Option<Revision>,
        limit: Duration,
    ) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Writes `value` at `path` if the object has revision `expected`; `None` creates the object.
    fn write(
        &self,
        path: &str,
        expected: Option<Revision>,
        value: &[u8],
    ) -> impl Future<Output = Result<Outcome, Error>> + Send;

    /// Removes the object at `path` if it has revision `expected`.
    fn remove(
        &self,
        path: &str,
        expected: Revision,
    ) -> impl Future<Output = Result<Outcome, Error>> + Send;

    /// Returns the paths that start with `prefix`, sorted.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, Error>> + Send;

    /// Returns the platform's list of live and leaving backend servers. The list lags.
    fn servers(&self) -> impl Future<Output = Result<Vec<Server>, Error>> + Send;

    /// Returns the platform's list of live and leaving instances. The list lags.
    fn instances(&self) -> impl Future<Output = Result<Vec<Instance>, Error>> + Send;

    /// Returns the counts of calls, if the store counts them.
    fn counts(&self) -> Option<&count::Counts> {
        None
    }
}
