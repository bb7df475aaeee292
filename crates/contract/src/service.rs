//! A service in a bundle.

use serde::{Deserialize, Serialize};

use crate::{id, Rollout, Route, Version};

/// A service: its hosts, its routes and the versions that carry its traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// The name of the service.
    pub name: id::Service,
    /// The `Host` values that select the service, without a port.
    pub hosts: Vec<String>,
    /// The number of concurrent requests that one warm backend server can handle.
    pub slots: u32,
    /// The probes per second that may be sent to all backend servers of the service together.
    pub probes_per_second: f64,
    /// The path that probes request.
    pub probe_path: String,
    /// The routes.
    #[serde(rename = "route")]
    pub routes: Vec<Route>,
    /// The versions. Without a rollout, the first carries all traffic.
    #[serde(rename = "version")]
    pub versions: Vec<Version>,
    /// The rollout in progress, if any. Its key in the text is `move`.
    #[serde(rename = "move", default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Rollout>,
}

impl Service {
    /// Returns the route with the longest path prefix that matches calls of `method` to `path`.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        let matching = self.routes.iter().filter(|r| r.matches(method, path));
        matching.max_by_key(|r| r.path.len())
    }

    /// Returns the version that carries all traffic outside a rollout: the old version of the
    /// rollout, or else the first of the list.
    pub fn stable_version(&self) -> Option<&id::Version> {
        match &self.rollout {
            Some(rollout) => Some(&rollout.from),
            None => self.versions.first().map(|v| &v.name),
        }
    }
}
