//! An answer to a request.

use trillium_http::{Conn, HeaderValue, KnownHeaderName, Status};

use super::transport::Transport;
use crate::outcome::Outcome;

/// The header that says what became of a call.
pub(crate) const OUTCOME_HEADER: &str = "Chivewheel-Outcome";

/// An answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns an answer of status 200 with `body`.
    pub fn ok(body: Vec<u8>) -> Self {
        const OK: u16 = 200;
        Self {
            status: OK,
            headers: Vec::new(),
            body,
        }
    }

    /// Returns an answer of chivewheel's own, which says what became of the call.
    pub fn refusal(status: u16, outcome: Outcome, text: &str) -> Self {
        let response = Self {
            status,
            headers: Vec::new(),
            body: format!("{text}\n").into_bytes(),
        };
        response.with_header(OUTCOME_HEADER, outcome.as_str())
    }

    /// Returns the answer with one more header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers
            .push((name.to_owned(), value.as_bytes().to_vec()));
        self
    }

    /// Puts the answer into `conn`.
    pub(super) fn write(self, conn: &mut Conn<Transport>) {
        const BAD_GATEWAY: Status = Status::BadGateway;
        conn.set_status(Status::try_from(self.status).unwrap_or(BAD_GATEWAY));
        for (name, value) in self.headers {
            conn.response_headers_mut()
                .append(name, HeaderValue::from(value));
        }
        conn.set_response_body(self.body);
    }
}

/// Ends the connection after the answer.
pub(super) fn close_after(conn: &mut Conn<Transport>) {
    conn.response_headers_mut()
        .insert(KnownHeaderName::Connection, "close");
}
