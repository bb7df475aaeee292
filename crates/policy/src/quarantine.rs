//! Quarantine of requests that crash the backend servers that run them.
//!
//! Invariants: the table holds at most [`CAPACITY`] requests; one server's death counts at most
//! once against a request; an answer to a request clears it.

mod fingerprint;
mod suspicion;
mod table;

pub use fingerprint::Fingerprint;
pub use suspicion::{Crash, Suspicion};
pub use table::{Table, CAPACITY, EXPORT_LIMIT};
