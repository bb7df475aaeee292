//! A whole answer.

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The headers in their order, without those that concern one connection only.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body, decoded from its transfer coding.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the value of the first header of `name`, where it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }
}
