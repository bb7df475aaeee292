//! Single HTTP exchanges, and whether their connections are reused.

use std::panic::AssertUnwindSafe;

use smol::future::FutureExt;
use trillium_client::{Conn, KnownHeaderName, Status};

use crate::connector::ConnectError;
use crate::Error;

/// The largest response that is read. Lists are longer than values.
const MAX_RESPONSE_BYTES: u64 = 16_000_000;

/// A complete response.
pub(crate) struct Response {
    pub(crate) status: Status,
    pub(crate) body: Vec<u8>,
}

/// An exchange in progress. Its connection is reused only if the response was read completely.
struct Exchange {
    conn: Conn,
    complete: bool,
}

impl Exchange {
    /// Returns whether the head tells where the body ends. Without that, the library reads any body as
    /// chunks and takes an empty line for the last of them, so a part of a body would be accepted.
    fn is_framed(&self) -> bool {
        let headers = self.conn.response_headers();
        let length = headers.get_str(KnownHeaderName::ContentLength);
        length.is_some_and(|length| length.parse::<u64>().is_ok())
            || headers.eq_ignore_ascii_case(KnownHeaderName::TransferEncoding, "chunked")
    }

    /// Returns whether the connection may be reused (RFC 9112, section 9.3).
    fn is_reusable(&self) -> bool {
        let headers = self.conn.response_headers();
        self.complete && !headers.eq_ignore_ascii_case(KnownHeaderName::Connection, "close")
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        // The library decides by the `Connection` header alone: without a value set here, it would
        // read the rest of an abandoned response in the background to reuse the connection, and
        // close the connection of an HTTP/1.1 server that sends no such header.
        let connection = if self.is_reusable() {
            "keep-alive"
        } else {
            "close"
        };
        let headers = self.conn.response_headers_mut();
        headers.insert(KnownHeaderName::Connection, connection);
    }
}

/// Sends a request and reads the complete response.
pub(crate) async fn exchange(conn: Conn) -> Result<Response, Error> {
    // The library panics on status codes that it does not know.
    let caught = AssertUnwindSafe(send(conn)).catch_unwind().await;
    let malformed = |_| Error::Malformed {
        reason: "the head cannot be parsed".to_owned(),
    };
    let response = caught.map_err(malformed)??;
    match response.status {
        Status::ServiceUnavailable => Err(Error::Unavailable {
            reason: "the platform answered 503".to_owned(),
        }),
        _ => Ok(response),
    }
}

async fn send(conn: Conn) -> Result<Response, Error> {
    let mut exchange = Exchange {
        conn,
        complete: false,
    };
    (&mut exchange.conn).await.map_err(map_error)?;
    let status = exchange.conn.status().ok_or_else(|| Error::Malformed {
        reason: "the answer has no status".to_owned(),
    })?;
    let reader = exchange
        .conn
        .response_body()
        .with_max_len(MAX_RESPONSE_BYTES);
    let body = reader.read_bytes().await.map_err(map_error)?;
    if !exchange.is_framed() {
        return Err(Error::Malformed {
            reason: "the answer has neither a length nor chunks".to_owned(),
        });
    }
    exchange.complete = true;
    Ok(Response { status, body })
}

fn map_error(error: trillium_client::Error) -> Error {
    use trillium_client::Error as Http;
    match error {
        Http::Io(error) if is_connect_error(&error) => Error::Unavailable {
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

fn is_connect_error(error: &std::io::Error) -> bool {
    error
        .get_ref()
        .is_some_and(|inner| inner.is::<ConnectError>())
}
