//! The difference between two versions of the configuration.
//!
//! The store returns a configuration whole, also if one of thousands of routes has changed. The
//! instance that reads it passes the difference on, so that a change costs its own size on all other
//! links.
//!
//! Invariant: [`Patch::apply`] returns the configuration that the patch was made for, or an error. The
//! digest also covers what differs without a new version.

mod error;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};
use sha2::{Digest, Sha256};

use crate::config::{Config, Limits};
use crate::route::{Key as RouteKey, Route};
use crate::service::Service;

pub use error::Error;

/// A patch is made only if it has at most one part for so many parts of the configuration. Otherwise
/// the configuration itself is about as short.
const PARTS_PER_CHANGED_PART: usize = 2;

/// The difference between two versions of the configuration.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// The version to which it applies.
    base: u32,
    /// The version that results.
    version: u32,
    limits: Limits,
    /// Services by name that were added or changed, or, without a value, removed.
    services: BTreeMap<String, Option<Service>>,
    /// Routes that were added or changed.
    routes: Vec<Route>,
    /// Routes that were removed.
    removed_routes: Vec<RouteKey>,
    /// The digest of the resulting configuration.
    #[serde_as(as = "Bytes")]
    digest: [u8; 32],
}

impl Patch {
    /// Returns the patch from `base` to the later version `target`, or `None` if they have little in
    /// common. Both have to be [normalized](Config::normalize).
    pub fn between(base: &Config, target: &Config) -> Option<Self> {
        if base.version >= target.version {
            return None;
        }
        let (old, new) = (routes_by_key(base), routes_by_key(target));
        let changed_routes = new
            .iter()
            .filter(|(key, route)| old.get(key) != Some(route));
        let removed_routes = old.keys().filter(|key| !new.contains_key(key));
        let changed_services = target.services.iter().filter_map(|(name, service)| {
            let is_changed = base.services.get(name) != Some(service);
            is_changed.then(|| (name.clone(), Some(service.clone())))
        });
        let removed_services = base.services.keys().filter_map(|name| {
            let is_removed = !target.services.contains_key(name);
            is_removed.then(|| (name.clone(), None))
        });
        let patch = Self {
            base: base.version,
            version: target.version,
            limits: target.limits,
            services: changed_services.chain(removed_services).collect(),
            routes: changed_routes.map(|(_, route)| (*route).clone()).collect(),
            removed_routes: removed_routes.cloned().collect(),
            digest: digest(target)?,
        };
        let parts = target.routes.len() + target.services.len();
        let is_short = patch.parts() * PARTS_PER_CHANGED_PART <= parts;
        // Others would reject a patch with another result, for example for values that equal none.
        (is_short && patch.apply(base).as_ref() == Ok(target)).then_some(patch)
    }

    /// Returns the version that results.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Returns the number of routes and services that differ.
    pub fn parts(&self) -> usize {
        self.routes.len() + self.removed_routes.len() + self.services.len()
    }

    /// Returns the configuration that results from `base`.
    ///
    /// # Errors
    ///
    /// [`Error::OtherBase`] and [`Error::OtherResult`].
    pub fn apply(&self, base: &Config) -> Result<Config, Error> {
        if base.version != self.base {
            return Err(Error::OtherBase {
                expected: self.base,
                found: base.version,
            });
        }
        let mut routes: BTreeMap<RouteKey, Route> =
            base.routes.iter().map(|r| (r.key(), r.clone())).collect();
        for key in &self.removed_routes {
            routes.remove(key);
        }
        routes.extend(self.routes.iter().map(|r| (r.key(), r.clone())));
        let mut services = base.services.clone();
        for (name, service) in &self.services {
            match service {
                Some(service) => services.insert(name.clone(), service.clone()),
                None => services.remove(name),
            };
        }
        let config = Config {
            version: self.version,
            routes: routes.into_values().collect(),
            services,
            limits: self.limits,
        };
        if digest(&config) != Some(self.digest) {
            return Err(Error::OtherResult(self.version));
        }
        Ok(config)
    }
}

fn routes_by_key(config: &Config) -> BTreeMap<RouteKey, &Route> {
    config.routes.iter().map(|r| (r.key(), r)).collect()
}

/// Returns the digest of a configuration, or `None` if it has no encoding.
fn digest(config: &Config) -> Option<[u8; 32]> {
    let bytes = rmp_serde::to_vec(config).ok()?;
    Some(Sha256::digest(bytes).into())
}
