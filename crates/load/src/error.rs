//! Why load could not be run.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use thiserror::Error;

/// Why load could not be run.
#[derive(Debug, Error)]
pub enum Error {
    /// Load goes to this machine only.
    #[error("{address} is not a loopback address")]
    NotLoopback {
        /// The address.
        address: SocketAddr,
    },
    /// The plan names nowhere to send calls to.
    #[error("the plan has no target")]
    NoTarget,
    /// The plan has no calls, or all have weight 0.
    #[error("the plan has no calls")]
    NoCalls,
    /// The rate cannot be kept.
    #[error("a rate of {rate} calls a second is not between {least} and {most}")]
    Rate {
        /// The rate, in calls a second.
        rate: f64,
        /// The least rate.
        least: f64,
        /// The largest rate.
        most: f64,
    },
    /// The run would be too long.
    #[error("a duration of {duration:?} is not between zero and {limit:?}")]
    Duration {
        /// The duration.
        duration: Duration,
        /// The longest duration.
        limit: Duration,
    },
    /// A call cannot be written as HTTP.
    #[error("{text:?} cannot stand in the head of a request")]
    Head {
        /// The text.
        text: String,
    },
    /// A call on the command line cannot be read.
    #[error("cannot read {text:?} in the call {call:?}")]
    Call {
        /// The whole call.
        call: String,
        /// The part that is wrong.
        text: String,
    },
    /// Latencies cannot be recorded.
    #[error("cannot record latencies: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A report cannot be written.
    #[error("cannot write {}: {error}", path.display())]
    Write {
        /// Where to.
        path: PathBuf,
        /// What went wrong.
        error: io::Error,
    },
    /// A report cannot be put into JSON.
    #[error("cannot encode the report: {0}")]
    Encode(#[from] serde_json::Error),
    /// A chart cannot be drawn.
    #[error("cannot draw a chart: {reason}")]
    Chart {
        /// What went wrong.
        reason: String,
    },
    /// The calls broke what they were promised.
    #[error("{violations} violations")]
    Violations {
        /// How many.
        violations: u64,
    },
}
