//! An answer to a caller.

use crate::headers::Header;

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Response {
    /// The status code.
    pub(crate) status: u16,
    /// The headers, without those that concern the connection.
    pub(crate) headers: Vec<Header>,
    /// The body.
    pub(crate) body: Vec<u8>,
}

impl Response {
    /// Returns an answer of the instance's own with a line of text.
    pub(crate) fn text(status: u16, text: &str) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: format!("{text}\n").into_bytes(),
        }
    }

    /// Returns the bytes of the answer to a request of `method`.
    pub(crate) fn encode(&self, method: &str, closes: bool) -> Vec<u8> {
        const NO_CONTENT: u16 = 204;
        const NOT_MODIFIED: u16 = 304;
        const HEAD_ESTIMATE: usize = 512;
        let mut bytes = Vec::with_capacity(HEAD_ESTIMATE + self.body.len());
        let line = format!("HTTP/1.1 {} {}\r\n", self.status, phrase(self.status));
        bytes.extend_from_slice(line.as_bytes());
        let own = |name: &str| client::Request::is_reserved_header(name);
        for (name, value) in self.headers.iter().filter(|(name, _)| !own(name)) {
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        }
        let bodiless = matches!(self.status, NO_CONTENT | NOT_MODIFIED);
        if !bodiless {
            let length = format!("Content-Length: {}\r\n", self.body.len());
            bytes.extend_from_slice(length.as_bytes());
        }
        if closes {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        if !bodiless && method != "HEAD" {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
