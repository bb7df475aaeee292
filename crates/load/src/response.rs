//! HTTP responses (RFC 9112) and the reasons for their absence.

/// The status codes of HTTP (RFC 9110, section 15).
const STATUSES: std::ops::Range<u16> = 100..600;

/// Reason why a call has no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection could be made.
    Connect,
    /// The connection closed before the first byte of a response.
    Closed,
    /// The connection closed in the middle of a response.
    Truncated,
    /// The response is not valid HTTP.
    Malformed,
    /// No complete response arrived within the time limit.
    Timeout,
}

/// A complete response.
#[derive(Clone, Debug, Default)]
pub(crate) struct Response {
    pub(crate) status: u16,
    /// Value of the `Chivewheel-Outcome` header.
    pub(crate) outcome: Option<String>,
    pub(crate) body: Vec<u8>,
    /// Whether the connection may be reused.
    pub(crate) is_reusable: bool,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    Length(usize),
    Chunked,
    /// The body extends until the connection closes.
    CloseDelimited,
}

/// Parses a response head. Returns `None` if it is not valid HTTP/1.
pub(crate) fn parse_head(head: &str) -> Option<(Response, Framing)> {
    let mut lines = head.trim_end().split("\r\n");
    let mut fields = lines.next()?.split(' ');
    let version = fields.next()?;
    let mut response = Response {
        status: fields.next()?.parse().ok()?,
        is_reusable: version == "HTTP/1.1",
        ..Response::default()
    };
    let mut framing = Framing::CloseDelimited;
    if !version.starts_with("HTTP/1.") || !STATUSES.contains(&response.status) {
        return None;
    }
    for line in lines {
        let (name, value) = line.split_once(':')?;
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => framing = Framing::Length(value.parse().ok()?),
            "transfer-encoding" => framing = Framing::Chunked,
            "connection" => response.is_reusable &= !value.eq_ignore_ascii_case("close"),
            "chivewheel-outcome" => response.outcome = Some(value.to_owned()),
            _ => {}
        }
    }
    Some((response, framing))
}
