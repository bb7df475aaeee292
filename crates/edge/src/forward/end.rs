//! How a request to a server ended.

use std::time::Duration;

use balance::report::Report;
use client::Response;

use crate::headers::ResponseMetadata;

/// How a request to a server ended.
#[derive(Debug)]
pub(crate) enum End {
    /// The server answered, and vouches for the answer if it is a success.
    Answered(Response, ResponseMetadata),
    /// The server says that it did not run the request.
    NotRun(ResponseMetadata),
    /// No byte of the request can have arrived.
    Unreached(client::Error),
    /// The request may have run; the answer is lost or is none.
    Lost(&'static str),
    /// The time ran out while the server worked.
    TooLate,
}

const OK: u16 = 200;
const REDIRECT: u16 = 300;
const MISDIRECTED: u16 = 421;

/// The statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, MISDIRECTED, 429, 503];

impl End {
    /// Judges a whole answer to the request `id`.
    pub(crate) fn of(answer: Response, marks: ResponseMetadata, id: Option<&str>) -> Self {
        let status = answer.status;
        if marks.not_run || status == MISDIRECTED {
            return Self::NotRun(marks);
        }
        if PROMISES.contains(&status) {
            return Self::Lost("the server promises what it does not vouch for");
        }
        if (OK..REDIRECT).contains(&status) {
            if !marks.signed {
                return Self::Lost("the answer is not signed");
            }
            if id.is_some() && marks.request_id.as_deref() != id {
                return Self::Lost("the answer names another request");
            }
            if answer.header("content-encoding").is_some() {
                return Self::Lost("the answer is encoded");
            }
        }
        Self::Answered(answer, marks)
    }

    /// Returns the end as it stands in logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Answered(answer, _) if answer.status < 500 => "answered",
            Self::Answered(..) => "failed",
            Self::NotRun(_) => "not run",
            Self::Unreached(_) => "unreached",
            Self::Lost(_) => "lost",
            Self::TooLate => "too late",
        }
    }

    /// Returns whether the request cannot have run.
    pub(crate) fn has_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_) | Self::Unreached(_))
    }

    /// Returns whether the request failed for a cause of the server's.
    pub(crate) fn is_failure(&self) -> bool {
        const SERVER_ERROR: u16 = 500;
        match self {
            Self::Answered(answer, _) => answer.status >= SERVER_ERROR,
            Self::Lost(_) | Self::Unreached(_) | Self::TooLate => true,
            Self::NotRun(_) => false,
        }
    }

    /// Returns what the server said of its load at the end.
    pub(crate) fn report(&self) -> Option<Report> {
        match self {
            Self::Answered(_, marks) | Self::NotRun(marks) => marks.report,
            Self::Unreached(_) | Self::Lost(_) | Self::TooLate => None,
        }
    }

    /// Returns what to log of it.
    pub(crate) fn detail(&self) -> String {
        match self {
            Self::Answered(answer, _) => format!("status {}", answer.status),
            Self::NotRun(_) => "the server did not run it".to_owned(),
            Self::Unreached(error) => error.to_string(),
            Self::Lost(why) => (*why).to_owned(),
            Self::TooLate => "no answer in time".to_owned(),
        }
    }
}

/// How long a request took that ended.
#[derive(Debug)]
pub(crate) struct Ended {
    /// How it ended.
    pub(crate) end: End,
    /// The time from when it was sent.
    pub(crate) took: Duration,
}
