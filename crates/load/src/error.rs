//! Errors of the load generator.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use thiserror::Error;

/// Error of a load run.
#[derive(Debug, Error)]
pub enum Error {
    /// An address is not on this machine; load is sent to loopback addresses only.
    #[error("{address} is not a loopback address")]
    NotLoopback {
        /// The address.
        address: SocketAddr,
    },
    /// The plan has no address to send calls to.
    #[error("the plan has no target")]
    NoTarget,
    /// The plan has no calls, or all of them have weight 0.
    #[error("the plan has no calls")]
    NoCalls,
    /// The rate is out of range.
    #[error("a rate of {rate} calls per second is not between {least} and {most}")]
    Rate {
        /// The rate, in calls per second.
        rate: f64,
        /// Minimum rate, in calls per second.
        least: f64,
        /// Maximum rate, in calls per second.
        most: f64,
    },
    /// The duration is zero or too long.
    #[error("a duration of {duration:?} is not between zero and {limit:?}")]
    Duration {
        /// The duration.
        duration: Duration,
        /// Maximum duration.
        limit: Duration,
    },
    /// A method, host or path is empty or has white space or control characters.
    #[error("{text:?} is not valid in a request head")]
    Head {
        /// The invalid text.
        text: String,
    },
    /// A call on the command line cannot be parsed.
    #[error("cannot parse {text:?} in the call {call:?}")]
    Call {
        /// The whole call.
        call: String,
        /// The invalid part.
        text: String,
    },
    /// A latency histogram cannot be created.
    #[error("cannot create a latency histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A report cannot be written.
    #[error("cannot write {}: {error}", path.display())]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        error: io::Error,
    },
    /// A report cannot be encoded as JSON.
    #[error("cannot encode the report: {0}")]
    Encode(#[from] serde_json::Error),
    /// A chart cannot be drawn.
    #[error("cannot draw a chart: {reason}")]
    Chart {
        /// Cause.
        reason: String,
    },
    /// Responses or executions violated a guarantee.
    #[error("{violations} violations")]
    Violations {
        /// Number of violations.
        violations: u64,
    },
}
