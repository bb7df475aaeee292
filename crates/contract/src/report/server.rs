//! The state of a backend server.

use serde::{Deserialize, Serialize};

use crate::id;

/// A backend server, as seen by the owner of its pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Server {
    /// The platform's name for the server.
    pub name: id::Server,
    /// The version that it runs.
    pub version: id::Version,
    /// The number of credits that may currently be live at the server.
    pub allowance: u32,
    /// The number of live credits.
    pub live: u32,
    /// The state, as a list of words such as `warm`, `cold` or `leaving`.
    pub state: Vec<String>,
}
