//! A backend server as its pool's owner sees it.

use serde::{Deserialize, Serialize};

use crate::id;

/// A backend server as its pool's owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Server {
    /// The platform's name of the server.
    pub name: id::Server,
    /// The version that it runs.
    pub version: id::Version,
    /// The credits that the server may have at once now.
    pub allowance: u32,
    /// The credits that are live.
    pub live: u32,
    /// The state in words, such as `warm`, `cold` or `leaving`.
    pub state: Vec<String>,
}
