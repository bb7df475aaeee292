//! A request of a caller.

use std::fmt;

use policy::quarantine::Fingerprint;
use zeroize::Zeroize;

use crate::headers::{find, Codec, Credential, Header};

use super::error::Error;

const MAX_HEADERS: usize = 100;

/// How the body of a request is framed (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// A number of bytes.
    Length(usize),
    /// Chunked transfer coding.
    Chunked,
}

/// What identifies the caller of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Credentials {
    /// It is among the headers.
    InHeaders,
    /// It has been removed from the headers.
    Taken(Option<Credential>),
}

/// A request. The body is read after the head.
#[derive(Clone, PartialEq, Eq)]
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
    credentials: Credentials,
}

impl fmt::Debug for Request {
    /// Omits the headers and the body, which may have keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Request")
            .field("method", &self.method)
            .field("host", &self.host)
            .field("path", &self.path())
            .finish_non_exhaustive()
    }
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

    /// Returns about how much memory the request takes, in bytes.
    pub(super) fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(n, v)| n.len() + v.len());
        self.target.len() + self.body.len() + headers.sum::<usize>()
    }

    /// Removes what identifies the caller from the headers, wipes it from memory, and keeps its digest.
    pub(crate) fn take_credential<H>(&mut self, codec: &H)
    where
        H: Codec,
    {
        if self.credentials != Credentials::InHeaders {
            return;
        }
        self.credentials = Credentials::Taken(codec.parse_credential(&self.headers));
        self.headers.retain_mut(|(name, value)| {
            let is_kept = !codec.is_credential(name);
            if !is_kept {
                value.zeroize();
            }
            is_kept
        });
    }

    /// Returns whether the headers have been stripped of what identifies the caller.
    pub(crate) fn is_stripped(&self) -> bool {
        self.credentials != Credentials::InHeaders
    }

    /// Returns what identifies the caller.
    pub(crate) fn credential<H>(&self, codec: &H) -> Option<Credential>
    where
        H: Codec,
    {
        match self.credentials {
            Credentials::InHeaders => codec.parse_credential(&self.headers),
            Credentials::Taken(credential) => credential,
        }
    }

    /// Returns the digest of what stays the same when the caller sends the request again.
    pub(crate) fn fingerprint<H>(&self, codec: &H) -> Fingerprint
    where
        H: Codec,
    {
        let caller = match &self.credentials {
            Credentials::InHeaders => {
                let mut headers = self.headers.iter();
                let found = headers.find(|(name, _)| codec.is_credential(name));
                let value = found.filter(|(_, value)| std::str::from_utf8(value).is_ok());
                value.map_or(&[][..], |(_, value)| value)
            }
            Credentials::Taken(Some(Credential::Key(digest))) => digest.as_bytes(),
            // The server receives the same, whatever they were.
            Credentials::Taken(None | Some(Credential::Malformed)) => &[],
        };
        let cookie = find(&self.headers, "cookie").unwrap_or_default();
        Fingerprint::digest(&[
            self.method.as_bytes(),
            self.host.as_bytes(),
            self.target.as_bytes(),
            caller,
            cookie.as_bytes(),
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
            .into_iter()
            .filter(|(name, _)| is_forwarded(name))
            .collect(),
        body: Vec::new(),
        credentials: Credentials::InHeaders,
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
