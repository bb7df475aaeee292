//! The configuration that an operator has activated.

use std::collections::BTreeMap;
use std::ops::Deref;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::route::Route;
use crate::service::Service;
use crate::tenant::{Digest, Identity, Index, Tenant};

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request head, in bytes.
    #[serde(rename = "head")]
    pub max_head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    #[serde(rename = "body")]
    pub max_body_bytes: usize,
    /// How long the head of a request may take, from its first byte.
    #[serde(rename = "head_time")]
    pub head_timeout: Duration,
    /// How long a connection may be idle between requests.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits in force before a configuration is known.
    fn default() -> Self {
        const MAX_HEAD_BYTES: usize = 16 * 1024;
        const MAX_BODY_BYTES: usize = 1024 * 1024;
        Self {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The version. Later configurations have higher ones.
    pub version: u32,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// The limits for callers.
    pub limits: Limits,
    /// The tenants by name, if callers have to identify themselves.
    #[serde(default)]
    pub tenants: Option<BTreeMap<String, Tenant>>,
    /// The faults for which parts of it are not in force, as text for operators.
    #[serde(default)]
    pub faults: Vec<String>,
}

impl Config {
    /// Sorts the routes by [`Route::key`]. Of routes with the same key the last one stays, which is the
    /// one that [`Self::route`] returns.
    pub fn normalize(&mut self) {
        let routes = std::mem::take(&mut self.routes).into_iter();
        let by_key: BTreeMap<_, Route> = routes.map(|r| (r.key(), r)).collect();
        self.routes = by_key.into_values().collect();
    }

    /// Returns the route of a request: the one with the longest matching prefix among those of its
    /// host. A port in `host` and its case are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host);
        self.routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix))
            .max_by_key(|r| r.prefix.len())
    }
}

/// A configuration in force, with an index of the tenants' keys.
#[derive(Debug)]
pub struct Active {
    config: Config,
    keys: Index,
}

impl Active {
    /// Indexes the keys of `config`.
    pub fn new(config: Config) -> Self {
        let keys = config.tenants.as_ref().map(Index::new);
        Self {
            keys: keys.unwrap_or_default(),
            config,
        }
    }

    /// Returns the tenant that has the key with this digest.
    pub fn tenant_of(&self, digest: &Digest) -> Option<Identity<'_>> {
        self.keys.find(digest)
    }
}

impl Deref for Active {
    type Target = Config;

    fn deref(&self) -> &Config {
        &self.config
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
