//! The platform's object API, as chivewheel needs it.
//!
//! A [`Store`] holds small objects under paths, each with a revision. Writes are conditional on a
//! revision, so that of two racing writers one wins and the other learns it. The platform also has
//! lists of backend servers and of instances, which lag.
//!
//! Invariants:
//!
//! - [`Error::Unavailable`] is returned for a write only if it surely had no effect, then or later.
//! - The store of a protocol ([`http::Http`]) maps calls and nothing else; [`client::Client`] adds
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

/// What a store did with a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The object now has this revision.
    Written(Revision),
    /// The object had another revision than expected, and the write changed nothing.
    Conflict,
}

/// The platform's object API.
///
/// Each call has a time limit of its own. [`Error::Indeterminate`] says that a write may or may not have
/// taken effect.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads the object at `path`.
    fn read(&self, path: &str) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Waits until the object at `path` has a revision other than `seen`, for at most `limit`, and
    /// returns what it has then. `seen` is `None` where the object was absent.
    fn watch(
        &self,
        path: &str,
        seen: Option<Revision>,
        limit: Duration,
    ) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Writes `value` at `path` if the object there has revision `expected`; `None` creates it.
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

    /// Returns the paths below `prefix`, in order.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, Error>> + Send;

    /// Returns the platform's list of backend servers, live and leaving. The list lags.
    fn servers(&self) -> impl Future<Output = Result<Vec<Server>, Error>> + Send;

    /// Returns the platform's list of instances, live and leaving. The list lags.
    fn instances(&self) -> impl Future<Output = Result<Vec<Instance>, Error>> + Send;

    /// Returns the counts of the calls made so far, where they are counted.
    fn counts(&self) -> Option<&count::Counts> {
        None
    }
}
