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
use crate::tenant::Tenant;

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
    faults: Vec<String>,
    /// Services by name that were added or changed, or, without a value, removed.
    services: BTreeMap<String, Option<Service>>,
    /// Whether the resulting configuration has tenants.
    has_tenants: bool,
    /// Tenants by name that were added or changed, or, without a value, removed.
    tenants: BTreeMap<String, Option<Tenant>>,
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
        let none = BTreeMap::new();
        let [old_tenants, new_tenants] =
            [base, target].map(|c| c.tenants.as_ref().unwrap_or(&none));
        let patch = Self {
            base: base.version,
            version: target.version,
            limits: target.limits,
            faults: target.faults.clone(),
            services: changes(&base.services, &target.services),
            has_tenants: target.tenants.is_some(),
            tenants: changes(old_tenants, new_tenants),
            routes: changed_routes.map(|(_, route)| (*route).clone()).collect(),
            removed_routes: removed_routes.cloned().collect(),
            digest: digest(target)?,
        };
        let parts = target.routes.len() + target.services.len() + new_tenants.len();
        let is_short = patch.parts() * PARTS_PER_CHANGED_PART <= parts;
        // Others would reject a patch with another result, for example for values that equal none.
        (is_short && patch.apply(base).as_ref() == Ok(target)).then_some(patch)
    }

    /// Returns the version that results.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Returns the number of routes, services and tenants that differ.
    pub fn parts(&self) -> usize {
        let routes = self.routes.len() + self.removed_routes.len();
        routes + self.services.len() + self.tenants.len()
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
        apply_changes(&mut services, &self.services);
        let mut tenants = base.tenants.clone().unwrap_or_default();
        apply_changes(&mut tenants, &self.tenants);
        let config = Config {
            version: self.version,
            routes: routes.into_values().collect(),
            services,
            limits: self.limits,
            tenants: self.has_tenants.then_some(tenants),
            faults: self.faults.clone(),
        };
        if digest(&config) != Some(self.digest) {
            return Err(Error::OtherResult(self.version));
        }
        Ok(config)
    }
}

/// Returns what has to change in `old` so that it equals `new`: the new values by name, or no value
/// for what is removed.
fn changes<T>(old: &BTreeMap<String, T>, new: &BTreeMap<String, T>) -> BTreeMap<String, Option<T>>
where
    T: Clone + PartialEq,
{
    let changed = new
        .iter()
        .filter(|(name, value)| old.get(*name) != Some(value));
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    let changed = changed.map(|(name, value)| (name.clone(), Some(value.clone())));
    changed
        .chain(removed.map(|name| (name.clone(), None)))
        .collect()
}

/// Applies what [`changes`] returns.
fn apply_changes<T>(values: &mut BTreeMap<String, T>, changes: &BTreeMap<String, Option<T>>)
where
    T: Clone,
{
    for (name, value) in changes {
        match value {
            Some(value) => values.insert(name.clone(), value.clone()),
            None => values.remove(name),
        };
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
