//! A request as it is sent.

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and those that
/// [`Request::encode`] writes itself.
const OWN_HEADERS: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A request as it is sent.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path with its query.
    pub target: &'a str,
    /// The value of `Host`.
    pub host: &'a str,
    /// The other headers. Those that concern one connection only are left out.
    pub headers: &'a [(String, Vec<u8>)],
    /// The body.
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Returns whether a header concerns one connection only, or is written by [`Self::encode`].
    pub fn is_own_header(name: &str) -> bool {
        OWN_HEADERS.iter().any(|own| name.eq_ignore_ascii_case(own))
    }

    /// Returns the bytes of the request.
    pub fn encode(&self) -> Vec<u8> {
        const HEAD_ESTIMATE: usize = 512;
        let mut bytes = Vec::with_capacity(HEAD_ESTIMATE + self.body.len());
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
        for (name, value) in self.headers.iter().filter(|(n, _)| !Self::is_own_header(n)) {
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

fn put(bytes: &mut Vec<u8>, parts: &[&str]) {
    for part in parts {
        bytes.extend_from_slice(part.as_bytes());
    }
}
