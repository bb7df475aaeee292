//! The bundle as a whole, and look-ups in it.

use serde::{Deserialize, Serialize};

use crate::{Centre, Service};

/// One version of the configuration that operators sign.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Bundle {
    /// The version number, one above that of the bundle that it replaces.
    pub version: u64,
    /// The data centres.
    #[serde(rename = "data-centre", default)]
    pub centres: Vec<Centre>,
    /// The services.
    #[serde(rename = "service", default)]
    pub services: Vec<Service>,
}

impl Bundle {
    /// Returns the service for `host`, which may include a port.
    pub fn service(&self, host: &str) -> Option<&Service> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.services
            .iter()
            .find(|s| s.hosts.iter().any(|h| h == name))
    }

    /// Returns whether the data centre `name` may receive work.
    pub fn in_service(&self, name: &str) -> bool {
        self.centres
            .iter()
            .any(|c| c.name.as_str() == name && c.in_service)
    }
}
