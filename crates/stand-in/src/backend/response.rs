//! Encodes responses, including malformed ones.

/// How a response is framed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Framing {
    /// Correctly, with a `Content-Length`.
    #[default]
    Valid,
    /// The body is truncated and the connection closed.
    Truncated,
    /// The body is chunked and one chunk has an invalid size.
    InvalidChunk,
    /// The body is followed by bytes past its length.
    TrailingBytes,
    /// The connection is reset in the middle of the body.
    Reset,
}

/// An HTTP response.
#[derive(Clone, Debug)]
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) headers: Vec<(&'static str, String)>,
    pub(super) body: Vec<u8>,
    pub(super) framing: Framing,
    /// Whether the connection is closed after the response.
    pub(super) close: bool,
}

impl Response {
    /// Returns a response with valid framing that keeps the connection open.
    pub(super) fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body,
            framing: Framing::Valid,
            close: false,
        }
    }

    pub(super) fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Returns the bytes to send. `omit_body` leaves out the body, as in a response to `HEAD`.
    pub(super) fn encode(&self, omit_body: bool) -> Vec<u8> {
        let mut bytes = self.head().into_bytes();
        if omit_body {
            return bytes;
        }
        match self.framing {
            Framing::Valid => bytes.extend_from_slice(&self.body),
            Framing::Truncated | Framing::Reset => {
                bytes.extend_from_slice(&self.body[..self.body.len() / 2]);
            }
            Framing::InvalidChunk => {
                bytes.extend_from_slice(b"4\r\n");
                bytes.extend_from_slice(self.body.get(..4).unwrap_or(b"----"));
                bytes.extend_from_slice(b"\r\nzz\r\n");
            }
            Framing::TrailingBytes => {
                bytes.extend_from_slice(&self.body);
                bytes.extend_from_slice(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
            }
        }
        bytes
    }

    fn head(&self) -> String {
        let reason = match self.status {
            200 => "OK",
            503 => "Service Unavailable",
            504 => "Gateway Timeout",
            400..=499 => "Client Error",
            _ => "Server Error",
        };
        let mut head = format!("HTTP/1.1 {} {reason}\r\n", self.status);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        match self.framing {
            Framing::InvalidChunk => head.push_str("Transfer-Encoding: chunked\r\n"),
            _ => head.push_str(&format!("Content-Length: {}\r\n", self.body.len())),
        }
        let connection = if self.close { "close" } else { "keep-alive" };
        head.push_str(&format!("Connection: {connection}\r\n\r\n"));
        head
    }
}

/// Returns the response body for a request: its method and target, its idempotency key or `-`, and
/// its body.
pub fn echo(method: &str, target: &str, key: Option<&str>, body: &[u8]) -> Vec<u8> {
    let key = key.unwrap_or("-");
    let mut bytes = format!("{method} {target}\n{key}\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
