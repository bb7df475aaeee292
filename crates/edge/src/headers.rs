//! Reads and writes the platform's HTTP headers for callers and backend servers.

use std::time::Duration;

use balance::report::Report;
use balance::tenant::Digest;

/// A header: its name and value.
pub type Header = (String, Vec<u8>);

/// Metadata in the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The id of the request, never empty.
    pub request_id: Option<String>,
    /// The remaining time for which the caller waits.
    pub time_left: Option<Duration>,
}

/// What a caller sends to identify itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// An API key, of which only the digest is kept.
    Key(Digest),
    /// Something that cannot be a key, or several credentials.
    Malformed,
}

/// Whether callers identify themselves, and which tenant a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tenancy<'a> {
    /// The configuration has no tenants. Headers about them are forwarded like others.
    Disabled,
    /// The configuration has tenants, and the caller is none of them.
    Anonymous,
    /// The request belongs to the tenant with this name.
    Tenant(&'a str),
}

/// Metadata in the headers of a backend server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The id of the request that the response belongs to, never empty.
    pub request_id: Option<String>,
    /// Whether the response is signed by the server.
    pub signed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// The load of the server.
    pub report: Option<Report>,
    /// The id of the server.
    pub server_id: Option<String>,
    /// How long the server expects to stay cold.
    pub warmup_left: Option<Duration>,
    /// The requests a second that the server takes from all instances together, if it is limited.
    pub limit: Option<f64>,
    /// Whether the server is about to stop, and takes no new requests.
    pub leaving: bool,
}

/// Reads and writes the headers of a platform.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Reads the headers of a caller's request.
    fn parse_request(&self, headers: &[Header]) -> RequestMetadata;

    /// Reads what the caller sends to identify itself, or returns `None` if it sends nothing. It is
    /// called only if the configuration has tenants.
    fn parse_credential(&self, headers: &[Header]) -> Option<Credential>;

    /// Returns whether headers called `name` identify the caller, in any format.
    fn is_credential(&self, name: &str) -> bool;

    /// Returns the header of a response that asks the caller to identify itself.
    fn challenge_header(&self) -> Header;

    /// Returns the headers of a request to the server with the id `server`, made from the caller's
    /// `headers`. The server has `time_left` to respond. Unless `tenancy` is disabled, the headers tell
    /// the tenant, and never the key.
    fn request_headers(
        &self,
        headers: &[Header],
        time_left: Duration,
        server: &str,
        tenancy: Tenancy<'_>,
    ) -> Vec<Header>;

    /// Reads the headers of a backend server's response.
    fn parse_response(&self, headers: &[Header]) -> ResponseMetadata;

    /// Returns the header that names the request that a response belongs to.
    fn request_id_header(&self, id: &str) -> Header;
}

/// Returns the id in the first header called `name`. An empty one identifies nothing: a server that
/// repeats the id of each request may send it in responses to requests without one.
pub fn find_id(headers: &[Header], name: &str) -> Option<String> {
    let id = find(headers, name).filter(|id| !id.is_empty());
    id.map(str::to_owned)
}

/// Returns the time in the `Retry-After` header, in seconds and possibly fractions of them. A date
/// is ignored, as the clocks of servers may differ.
pub fn retry_after(headers: &[Header]) -> Option<Duration> {
    let seconds: f64 = find(headers, "retry-after")?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Returns the value of the first header called `name`, if it is UTF-8.
pub fn find<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.and_then(|(_, value)| std::str::from_utf8(value).ok())
}
