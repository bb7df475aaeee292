//! A backend server as listed by the platform.

use contract::id;

/// A backend server as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The name of the server.
    pub name: id::Server,
    /// The version that it runs.
    pub version: id::Version,
    /// Whether the server is leaving and must get no further credits.
    pub leaving: bool,
}
