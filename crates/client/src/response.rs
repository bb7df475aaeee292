//! HTTP responses.

/// A response that was received completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The headers in the order received, without reserved headers
    /// ([`crate::Request::is_reserved_header`]) and those listed in `Connection`.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body, with its transfer coding removed.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the value of the first header called `name` if the value is valid UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }
}
