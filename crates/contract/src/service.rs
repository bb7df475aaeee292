//! A service.

use serde::{Deserialize, Serialize};

use crate::{id, Rollout, Route, Version};

/// A service: whom it answers, its routes and the versions that carry its traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// The name of the service.
    pub name: id::Service,
    /// The values of `Host` that lead to the service, without a port.
    pub hosts: Vec<String>,
    /// The requests that one warm backend server takes at once.
    pub slots: u32,
    /// The probes a second that the service's backend servers take altogether.
    pub probes_per_second: f64,
    /// The path that probes ask for.
    pub probe_path: String,
    /// The routes.
    #[serde(rename = "route")]
    pub routes: Vec<Route>,
    /// The versions. Without a move, the first carries all traffic.
    #[serde(rename = "version")]
    pub versions: Vec<Version>,
    /// The move under way, if any.
    #[serde(rename = "move", default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Rollout>,
}

impl Service {
    /// Returns the route with the longest path prefix that takes calls of `method` to `path`.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        let matching = self.routes.iter().filter(|r| r.matches(method, path));
        matching.max_by_key(|r| r.path.len())
    }

    /// Returns the version that carries the traffic where no move is under way.
    pub fn stable_version(&self) -> Option<&id::Version> {
        match &self.rollout {
            Some(rollout) => Some(&rollout.from),
            None => self.versions.first().map(|v| &v.name),
        }
    }
}
