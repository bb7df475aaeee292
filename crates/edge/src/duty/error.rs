//! Errors of calls of the receiver.

use std::time::Duration;

use thiserror::Error;

/// Error of a call of the receiver.
#[derive(Debug, Error)]
pub enum Error {
    /// The receiver refused the call for now.
    #[error("the receiver refused the report with status {0}")]
    Refused(u16),
    /// The receiver will never accept the report.
    #[error("the receiver rejected the report with status {0}")]
    Rejected(u16),
    /// There was no response in time. The receiver may have accepted the report.
    #[error("no response within {0:?}")]
    TimedOut(Duration),
    /// The report could not be sent, or the response not received.
    #[error("the receiver cannot be reached: {0}")]
    Exchange(#[from] client::Error),
}
