//! Answers, and why there is none. RFC 9112.

/// Why a call has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection could be made.
    Connect,
    /// The connection closed before the first byte of an answer.
    Closed,
    /// The connection closed within the answer.
    Truncated,
    /// The answer is not HTTP.
    Malformed,
    /// No answer came in time.
    Timeout,
}

/// A whole answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Response {
    pub(crate) status: u16,
    /// The value of `Chivewheel-Outcome`.
    pub(crate) outcome: Option<String>,
    pub(crate) body: Vec<u8>,
    /// Whether the connection may serve another call.
    pub(crate) is_reusable: bool,
}

/// How long a body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    Length(usize),
    Chunked,
    /// To the end of the connection.
    Rest,
}

/// Parses the head of an answer; `None` where it is not HTTP/1.
pub(crate) fn parse_head(head: &str) -> Option<(Response, Framing)> {
    let mut lines = head.trim_end().split("\r\n");
    let mut words = lines.next()?.split(' ');
    let version = words.next()?;
    let mut response = Response {
        status: words.next()?.parse().ok()?,
        is_reusable: version == "HTTP/1.1",
        ..Response::default()
    };
    let mut framing = Framing::Rest;
    if !version.starts_with("HTTP/1.") {
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
