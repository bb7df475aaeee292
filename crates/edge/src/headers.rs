//! What callers and backend servers call things in headers.

use std::time::Duration;

use balance::report::Report;

/// A header: its name and its value.
pub type Header = (String, Vec<u8>);

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The id of the request.
    pub request_id: Option<String>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
}

/// What a backend server's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The id of the request that the answer belongs to.
    pub request_id: Option<String>,
    /// Whether the server vouches for the answer.
    pub signed: bool,
    /// Whether the server says that the request did not run.
    pub not_run: bool,
    /// The load.
    pub report: Option<Report>,
    /// The server's id.
    pub server_id: Option<String>,
    /// How long the server stays cold.
    pub warmup_left: Option<Duration>,
}

/// Reads and writes the headers that callers and backend servers know.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Reads a caller's headers.
    fn parse_request(&self, headers: &[Header]) -> RequestMetadata;

    /// Returns the headers of a request to the server `server`, which may take `time_left`.
    fn request_headers(&self, headers: &[Header], time_left: Duration, server: &str)
        -> Vec<Header>;

    /// Reads a server's headers.
    fn parse_response(&self, headers: &[Header]) -> ResponseMetadata;

    /// Returns the header that tells a caller which request an answer belongs to.
    fn request_id_header(&self, id: &str) -> Header;
}

/// Returns the value of the first header of `name`, where it is text.
pub fn find<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.and_then(|(_, value)| std::str::from_utf8(value).ok())
}
