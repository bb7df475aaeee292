//! One HTTP request and its whole answer.

use std::panic::AssertUnwindSafe;

use smol::future::FutureExt;
use trillium_client::{Conn, KnownHeaderName, Status};

use crate::connector::Unconnected;
use crate::Error;

/// The largest answer that is read, in bytes. Lists are longer than values.
const ANSWER_LIMIT: u64 = 16_000_000;

/// What came back: a status that was understood, and the body.
pub(crate) struct Answer {
    pub(crate) status: Status,
    pub(crate) body: Vec<u8>,
}

/// A call under way. Its connection is used again only if the answer was read whole.
struct Guard {
    conn: Conn,
    whole: bool,
}

impl Guard {
    /// Returns whether the connection may serve another call. RFC 9112, section 9.3.
    fn is_reusable(&self) -> bool {
        let headers = self.conn.response_headers();
        self.whole && !headers.eq_ignore_ascii_case(KnownHeaderName::Connection, "close")
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        // The library goes by the header alone: it would read on in the background to use the
        // connection of an abandoned call again, and close that of a silent HTTP/1.1 server.
        let connection = if self.is_reusable() {
            "keep-alive"
        } else {
            "close"
        };
        let headers = self.conn.response_headers_mut();
        headers.insert(KnownHeaderName::Connection, connection);
    }
}

/// Sends a request and reads the whole answer.
pub(crate) async fn exchange(conn: Conn) -> Result<Answer, Error> {
    // The library panics on a status code that it does not know.
    let caught = AssertUnwindSafe(send(conn)).catch_unwind().await;
    let malformed = |_| Error::Malformed {
        reason: "the head cannot be parsed".to_owned(),
    };
    let answer = caught.map_err(malformed)??;
    match answer.status {
        Status::ServiceUnavailable => Err(Error::Unavailable {
            reason: "the platform answered 503".to_owned(),
        }),
        _ => Ok(answer),
    }
}

async fn send(conn: Conn) -> Result<Answer, Error> {
    let mut guard = Guard { conn, whole: false };
    (&mut guard.conn).await.map_err(failure)?;
    let status = guard.conn.status().ok_or_else(|| Error::Malformed {
        reason: "the answer has no status".to_owned(),
    })?;
    let reader = guard.conn.response_body().with_max_len(ANSWER_LIMIT);
    let body = reader.read_bytes().await.map_err(failure)?;
    guard.whole = true;
    Ok(Answer { status, body })
}

fn failure(error: trillium_client::Error) -> Error {
    use trillium_client::Error as Http;
    match error {
        Http::Io(error) if is_unconnected(&error) => Error::Unavailable {
            reason: error.to_string(),
        },
        Http::Io(error) => Error::Indeterminate {
            reason: error.to_string(),
        },
        Http::Closed | Http::PartialHead => Error::Indeterminate {
            reason: error.to_string(),
        },
        other => Error::Malformed {
            reason: other.to_string(),
        },
    }
}

fn is_unconnected(error: &std::io::Error) -> bool {
    error
        .get_ref()
        .is_some_and(|inner| inner.is::<Unconnected>())
}
