//! The records of the store.

use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::order::Order;
use crate::patch::Patch;
use crate::server::Server;

/// A kind of record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The configuration.
    Config,
    /// Backend servers.
    Servers,
    /// Orders to roll out another version of a service.
    Orders,
    /// Data centres that get no requests.
    Evacuations,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Config, Kind::Servers, Kind::Orders, Kind::Evacuations];

    /// The kinds without which no request can be served. Their changes have to be in force sooner than
    /// those of others.
    pub const URGENT: [Kind; 2] = [Kind::Config, Kind::Servers];

    /// Returns the index in [`Self::ALL`].
    pub fn index(self) -> usize {
        match self {
            Self::Config => 0,
            Self::Servers => 1,
            Self::Orders => 2,
            Self::Evacuations => 3,
        }
    }

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Servers => "servers",
            Self::Orders => "orders",
            Self::Evacuations => "evacuations",
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
    /// An order to roll out another version of a service.
    Order(Order),
    /// A data centre that gets no requests. The name of the record is its name.
    Evacuation,
    /// In a [`Delta`](crate::replica::Delta) only: what has changed in the configuration.
    ConfigPatch(Box<Patch>),
}
