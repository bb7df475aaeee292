//! The origin of responses.

use contract::id;
use serde::{Deserialize, Serialize};

/// The origin of responses: version, route, data centre and backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// The version of the service.
    pub version: id::Version,
    /// The route of the calls.
    pub route: id::Route,
    /// The data centre of the backend server.
    pub centre: id::Centre,
    /// The backend server.
    pub server: id::Server,
}
