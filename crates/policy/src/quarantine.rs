//! Quarantine of requests that crash the backend servers that run them.
//!
//! A request is refused after it crashed two servers. Instances exchange their suspicions. The
//! [`Detector`] tells crashes from responses that were lost otherwise.
//!
//! All requests that a crashing server ran are suspected. One that servers complete is told apart by
//! that: it is refused for a short probation only, and then tried again.
//!
//! Invariants: the table holds at most [`CAPACITY`] requests; one crash of a server counts at most
//! once against a request; crashes that may have had one cause count once; a response to a request
//! clears it; a request that has never completed is refused until its crashes no longer count.

mod completions;
mod detector;
mod fingerprint;
mod incident;
mod loss;
mod suspect;
mod suspicion;
mod table;

pub use detector::Detector;
pub use fingerprint::Fingerprint;
pub use loss::Loss;
pub use suspicion::{Crash, Suspicion};
pub use table::{Table, CAPACITY, CRASH_LIMIT, EXPORT_LIMIT};
