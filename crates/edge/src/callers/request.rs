//! A whole request.

use crate::headers::{find, Header};

use super::fault::Fault;

const MAX_HEADERS: usize = 100;

/// How the body of a request is framed (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// So many bytes.
    Length(usize),
    /// Chunks.
    Chunked,
}

/// A request, its body read after its head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Request {
    /// The method.
    pub(crate) method: String,
    /// The path with its query.
    pub(crate) target: String,
    /// The host.
    pub(crate) host: String,
    /// The headers that do not concern the connection.
    pub(crate) headers: Vec<Header>,
    /// The body.
    pub(crate) body: Vec<u8>,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    /// The request, without its body.
    pub(crate) request: Request,
    /// How the body is framed.
    pub(crate) framing: Framing,
    /// Whether the connection may carry another request.
    pub(crate) keeps_alive: bool,
    /// Whether the caller waits for leave to send the body.
    pub(crate) expects_continue: bool,
}

impl Request {
    /// Returns the path without its query.
    pub(crate) fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(&self.target, |(path, _)| path)
    }
}

/// Parses a head, and returns it with its length in bytes, or `None` if it is not whole.
///
/// # Errors
///
/// [`Fault::Malformed`].
pub(crate) fn parse(bytes: &[u8]) -> Result<Option<(Head, usize)>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Fault::HeadTooLarge),
        Err(_) => return Err(Fault::Malformed),
    };
    let all: Vec<Header> = parsed
        .headers
        .iter()
        .map(|h| (h.name.to_owned(), h.value.to_vec()))
        .collect();
    let tokens = connection_tokens(&all);
    let has_token = |token: &str| tokens.iter().any(|t| t.eq_ignore_ascii_case(token));
    let http_1_1 = parsed.version == Some(1);
    let method = parsed.method.ok_or(Fault::Malformed)?;
    let framing = framing(&all)?;
    let target = parsed.path.ok_or(Fault::Malformed)?;
    let (host, target) = destination(target, &all)?;
    let expects_continue =
        find(&all, "expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
    let kept = |name: &str| {
        !client::Request::is_reserved_header(name)
            && !tokens.iter().any(|t| t.eq_ignore_ascii_case(name))
    };
    let keeps_alive = if http_1_1 {
        !has_token("close")
    } else {
        has_token("keep-alive")
    };
    let request = Request {
        method: method.to_owned(),
        target,
        host,
        headers: all.iter().filter(|(name, _)| kept(name)).cloned().collect(),
        body: Vec::new(),
    };
    let head = Head {
        request,
        framing,
        keeps_alive,
        expects_continue,
    };
    Ok(Some((head, length)))
}

/// Returns the options that the `Connection` headers name.
fn connection_tokens(headers: &[Header]) -> Vec<String> {
    let values = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let texts = values.filter_map(|(_, value)| std::str::from_utf8(value).ok());
    texts
        .flat_map(|text| text.split(','))
        .map(|token| token.trim().to_owned())
        .collect()
}

/// Returns the host and the path of a request, whose target may have both.
fn destination(target: &str, headers: &[Header]) -> Result<(String, String), Fault> {
    let mut hosts = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("host"));
    let host = hosts
        .next()
        .and_then(|(_, value)| std::str::from_utf8(value).ok());
    if hosts.next().is_some() {
        return Err(Fault::Malformed);
    }
    if target.starts_with('/') {
        return Ok((host.ok_or(Fault::Malformed)?.to_owned(), target.to_owned()));
    }
    let rest = target.strip_prefix("http://").ok_or(Fault::Malformed)?;
    let (host, path) = rest.split_once('/').ok_or(Fault::Malformed)?;
    Ok((host.to_owned(), format!("/{path}")))
}

/// Returns how the body is framed. Two framings at once are refused, as others might take the other
/// one and see a second request in the body.
fn framing(headers: &[Header]) -> Result<Framing, Fault> {
    let mut length = None;
    let mut chunked = false;
    for (name, value) in headers {
        if name.eq_ignore_ascii_case("transfer-encoding") {
            if chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(Fault::Malformed);
            }
            chunked = true;
        } else if name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(value).map_err(|_| Fault::Malformed)?;
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(Fault::Malformed);
            }
            let value: usize = text.parse().map_err(|_| Fault::BodyTooLarge)?;
            if length.is_some_and(|other| other != value) {
                return Err(Fault::Malformed);
            }
            length = Some(value);
        }
    }
    match (chunked, length) {
        (true, Some(_)) => Err(Fault::Malformed),
        (true, None) => Ok(Framing::Chunked),
        (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}
