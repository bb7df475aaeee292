//! A backend server in the platform's list.

use contract::id;

/// A backend server in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The name of the server.
    pub name: id::Server,
    /// The version that it runs.
    pub version: id::Version,
    /// Whether it is leaving.
    pub leaving: bool,
}
