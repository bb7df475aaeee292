//! A response to a caller.

use crate::headers::Header;

/// A response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Response {
    /// The status code.
    pub(crate) status: u16,
    /// The headers; those of the connection are left out when encoding.
    pub(crate) headers: Vec<Header>,
    /// The body.
    pub(crate) body: Vec<u8>,
}

impl Response {
    /// Returns a plain text response of the instance itself.
    pub(crate) fn text(status: u16, text: &str) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: format!("{text}\n").into_bytes(),
        }
    }

    /// Returns about how much memory the response takes, in bytes.
    pub(super) fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(n, v)| n.len() + v.len());
        self.body.len() + headers.sum::<usize>()
    }

    /// Encodes the response to a request with `method`. With `close`, it announces that the
    /// connection closes.
    pub(crate) fn encode(&self, method: &str, close: bool) -> Vec<u8> {
        const NO_CONTENT: u16 = 204;
        const NOT_MODIFIED: u16 = 304;
        const HEAD_ESTIMATE: usize = 512;
        let mut bytes = Vec::with_capacity(HEAD_ESTIMATE + self.body.len());
        let line = format!(
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        );
        bytes.extend_from_slice(line.as_bytes());
        let is_connection_header = |name: &str| client::Request::is_reserved_header(name);
        for (name, value) in self
            .headers
            .iter()
            .filter(|(name, _)| !is_connection_header(name))
        {
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        }
        let has_no_body = matches!(self.status, NO_CONTENT | NOT_MODIFIED);
        if !has_no_body {
            let length = format!("Content-Length: {}\r\n", self.body.len());
            bytes.extend_from_slice(length.as_bytes());
        }
        if close {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        if !has_no_body && method != "HEAD" {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
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
