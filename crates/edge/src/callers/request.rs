//! A request of a caller.

use policy::quarantine::Fingerprint;

use crate::headers::{find, Header};

use super::error::Error;

const MAX_HEADERS: usize = 100;

/// Headers that identify a caller.
const CREDENTIALS: [&str; 2] = ["authorization", "cookie"];

/// How the body of a request is framed (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// A number of bytes.
    Length(usize),
    /// Chunked transfer coding.
    Chunked,
}

/// A request. The body is read after the head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Request {
    /// The method.
    pub(crate) method: String,
    /// The path and query.
    pub(crate) target: String,
    /// The host.
    pub(crate) host: String,
    /// The headers that are forwarded, without those of the connection.
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
    /// Whether the connection is kept open for another request.
    pub(crate) keep_alive: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
}

impl Request {
    /// Returns the path without the query.
    pub(crate) fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(&self.target, |(path, _)| path)
    }

    /// Returns the digest of what stays the same when the caller sends the request again.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let credentials = CREDENTIALS.map(|name| find(&self.headers, name).unwrap_or_default());
        let [authorization, cookie] = credentials.map(str::as_bytes);
        Fingerprint::digest(&[
            self.method.as_bytes(),
            self.host.as_bytes(),
            self.target.as_bytes(),
            authorization,
            cookie,
            &self.body,
        ])
    }
}

/// Parses a head. Returns it with its length in bytes, or `None` if it is incomplete.
///
/// # Errors
///
/// [`Error::HeadTooLarge`] if there are more than [`MAX_HEADERS`] headers, [`Error::BodyTooLarge`]
/// if the length of the body does not fit into a `usize`, otherwise [`Error::Malformed`].
pub(crate) fn parse(bytes: &[u8]) -> Result<Option<(Head, usize)>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLarge),
        Err(_) => return Err(Error::Malformed),
    };
    let all: Vec<Header> = parsed
        .headers
        .iter()
        .map(|h| (h.name.to_owned(), h.value.to_vec()))
        .collect();
    let tokens = connection_tokens(&all);
    let has_token = |token: &str| tokens.iter().any(|t| t.eq_ignore_ascii_case(token));
    let http_1_1 = parsed.version == Some(1);
    let method = parsed.method.ok_or(Error::Malformed)?;
    let framing = framing(&all)?;
    let target = parsed.path.ok_or(Error::Malformed)?;
    let (host, target) = destination(target, &all)?;
    let expects_continue =
        find(&all, "expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
    let is_forwarded = |name: &str| {
        !client::Request::is_reserved_header(name)
            && !tokens.iter().any(|t| t.eq_ignore_ascii_case(name))
    };
    let keep_alive = if http_1_1 {
        !has_token("close")
    } else {
        has_token("keep-alive")
    };
    let request = Request {
        method: method.to_owned(),
        target,
        host,
        headers: all
            .iter()
            .filter(|(name, _)| is_forwarded(name))
            .cloned()
            .collect(),
        body: Vec::new(),
    };
    let head = Head {
        request,
        framing,
        keep_alive,
        expects_continue,
    };
    Ok(Some((head, length)))
}

/// Returns the options listed in the `Connection` headers.
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

/// Returns the host and the path of a request, whose target may be in absolute form.
fn destination(target: &str, headers: &[Header]) -> Result<(String, String), Error> {
    let mut hosts = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("host"));
    let host = hosts
        .next()
        .and_then(|(_, value)| std::str::from_utf8(value).ok());
    if hosts.next().is_some() {
        return Err(Error::Malformed);
    }
    if target.starts_with('/') {
        return Ok((host.ok_or(Error::Malformed)?.to_owned(), target.to_owned()));
    }
    let rest = target.strip_prefix("http://").ok_or(Error::Malformed)?;
    let (host, path) = rest.split_once('/').ok_or(Error::Malformed)?;
    Ok((host.to_owned(), format!("/{path}")))
}

/// Returns the framing of the body. A request with two framings is rejected, since a server might
/// use the other one and see a second request in the body (request smuggling).
fn framing(headers: &[Header]) -> Result<Framing, Error> {
    let mut length = None;
    let mut chunked = false;
    for (name, value) in headers {
        if name.eq_ignore_ascii_case("transfer-encoding") {
            if chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(Error::Malformed);
            }
            chunked = true;
        } else if name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(value).map_err(|_| Error::Malformed)?;
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(Error::Malformed);
            }
            let value: usize = text.parse().map_err(|_| Error::BodyTooLarge)?;
            if length.is_some_and(|other| other != value) {
                return Err(Error::Malformed);
            }
            length = Some(value);
        }
    }
    match (chunked, length) {
        (true, Some(_)) => Err(Error::Malformed),
        (true, None) => Ok(Framing::Chunked),
        (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}
