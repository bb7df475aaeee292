//! What the store holds.

use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::order::Order;
use crate::server::Server;

/// A kind of record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The configuration.
    Config,
    /// Backend servers.
    Servers,
    /// Orders to move a service to another version.
    Orders,
    /// Data centres that are to get no work.
    Evacuations,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Config, Kind::Servers, Kind::Orders, Kind::Evacuations];

    /// Returns the position in [`Self::ALL`].
    pub fn index(self) -> usize {
        match self {
            Self::Config => 0,
            Self::Servers => 1,
            Self::Orders => 2,
            Self::Evacuations => 3,
        }
    }
}

/// One record of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The configuration in force.
    Config(Config),
    /// A backend server.
    Server(Server),
    /// An order to move a service.
    Order(Order),
    /// A data centre that is to get no work; its name is the record's.
    Evacuation,
}
