//! Answers of the instance's own.

use std::time::Duration;

use crate::callers::Response;
use crate::headers::{Codec, Header};

/// Why a request gets an answer of the instance's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No configuration is known.
    NoConfig,
    /// No route matches.
    NoRoute,
    /// The service has no server that may be used.
    NoServer,
    /// No server has room in time.
    NoRoom,
    /// All servers that were asked had no room.
    Shed,
    /// It may have run, and the answer is lost or is none.
    Lost,
    /// The time ran out before it was sent.
    Expired,
    /// The time ran out while a server worked on it.
    TooLate,
}

impl Refusal {
    /// Returns the reason as it stands in logs and metrics.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::NoConfig => "no configuration",
            Self::NoRoute => "no route",
            Self::NoServer => "no server",
            Self::NoRoom => "no room",
            Self::Shed => "shed by servers",
            Self::Lost => "answer lost",
            Self::Expired => "expired unsent",
            Self::TooLate => "too late",
        }
    }

    /// Returns the status. That of a request that may have run promises nothing.
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::Lost => 502,
            Self::NoConfig | Self::NoServer | Self::NoRoom | Self::Shed | Self::Expired => 503,
            Self::TooLate => 504,
        }
    }

    /// Returns the answer to the request `id`, which may come again after `retry_after`.
    pub(crate) fn response<H>(
        self,
        codec: &H,
        id: Option<&str>,
        retry_after: Option<Duration>,
    ) -> Response
    where
        H: Codec,
    {
        const UNAVAILABLE: u16 = 503;
        let mut headers: Vec<Header> = id
            .map(|id| codec.request_id_header(id))
            .into_iter()
            .collect();
        if self.status() == UNAVAILABLE {
            let after = retry_after.unwrap_or(Duration::from_millis(500));
            let seconds = format!("{:.3}", after.as_secs_f64());
            headers.push(("Retry-After".to_owned(), seconds.into_bytes()));
        }
        Response {
            status: self.status(),
            headers,
            body: format!("{}\n", self.reason()).into_bytes(),
        }
    }
}
