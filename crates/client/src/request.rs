//! HTTP requests and their encoding.

use crate::Error;

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and those that [`Request::encode`] writes itself.
const RESERVED_HEADERS: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

const DELETE: u8 = 0x7f;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path and the query.
    pub target: &'a str,
    /// The value of the `Host` header.
    pub host: &'a str,
    /// The other headers. Reserved headers ([`Self::is_reserved_header`]) are not sent. Headers
    /// listed in a caller's `Connection` header must be removed by whoever received them.
    pub headers: &'a [(String, Vec<u8>)],
    /// The body.
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Returns whether a header is hop-by-hop or written by [`Self::encode`].
    pub fn is_reserved_header(name: &str) -> bool {
        RESERVED_HEADERS
            .iter()
            .any(|reserved| name.eq_ignore_ascii_case(reserved))
    }

    /// Encodes the request.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidRequest`] if a part of the head contains bytes that could end it or start
    /// another request (RFC 9112, section 11.1).
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        if !self.is_sendable() {
            return Err(Error::InvalidRequest);
        }
        Ok(self.to_bytes())
    }

    fn is_sendable(&self) -> bool {
        is_token(self.method)
            && is_target(self.target)
            && is_value(self.host.as_bytes())
            && self.headers.iter().all(|(n, v)| is_token(n) && is_value(v))
    }

    fn to_bytes(&self) -> Vec<u8> {
        const HEAD_ESTIMATE_BYTES: usize = 512;
        let mut bytes = Vec::with_capacity(HEAD_ESTIMATE_BYTES + self.body.len());
        put(
            &mut bytes,
            &[
                self.method,
                " ",
                self.target,
                " HTTP/1.1\r\nHost: ",
                self.host,
                "\r\n",
            ],
        );
        for (name, value) in self
            .headers
            .iter()
            .filter(|(n, _)| !Self::is_reserved_header(n))
        {
            put(&mut bytes, &[name, ": "]);
            bytes.extend_from_slice(value);
            put(&mut bytes, &["\r\n"]);
        }
        if !self.body.is_empty() || !matches!(self.method, "GET" | "HEAD") {
            put(
                &mut bytes,
                &["Content-Length: ", &self.body.len().to_string(), "\r\n"],
            );
        }
        put(&mut bytes, &["\r\n"]);
        bytes.extend_from_slice(self.body);
        bytes
    }
}

/// Returns whether `text` is a token (RFC 9110, section 5.6.2).
fn is_token(text: &str) -> bool {
    let is_token_byte = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    !text.is_empty() && text.bytes().all(is_token_byte)
}

fn is_target(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b > b' ' && b != DELETE)
}

/// Returns whether `value` has no control characters except tabs (RFC 9110, section 5.5).
fn is_value(value: &[u8]) -> bool {
    value
        .iter()
        .all(|&b| b == b'\t' || (b >= b' ' && b != DELETE))
}

fn put(bytes: &mut Vec<u8>, parts: &[&str]) {
    for part in parts {
        bytes.extend_from_slice(part.as_bytes());
    }
}
