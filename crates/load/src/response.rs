//! HTTP responses (RFC 9112) and the reasons for their absence.

/// The status codes of HTTP (RFC 9110, section 15).
const STATUSES: std::ops::Range<u16> = 100..600;

/// The largest number of headers; a response with more counts as malformed.
const MAX_HEADERS: usize = 100;

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

/// Parses a response head, which `head` has to its end. Returns `None` if it is not valid HTTP/1.
pub(crate) fn parse_head(head: &[u8]) -> Option<(Response, Framing)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    // A line feed alone before the end would be taken for the end of the head.
    if parsed.parse(head).ok()? != httparse::Status::Complete(head.len()) {
        return None;
    }
    let status = parsed.code.filter(|status| STATUSES.contains(status))?;
    let mut response = Response {
        status,
        is_reusable: parsed.version == Some(1),
        ..Response::default()
    };
    let mut framing = Framing::CloseDelimited;
    for header in parsed.headers {
        let value = std::str::from_utf8(header.value).ok()?.trim();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => framing = Framing::Length(value.parse().ok()?),
            "transfer-encoding" => framing = Framing::Chunked,
            "connection" => response.is_reusable &= !value.eq_ignore_ascii_case("close"),
            "chivewheel-outcome" => response.outcome = Some(value.to_owned()),
            _ => {}
        }
    }
    Some((response, framing))
}
