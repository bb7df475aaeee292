//! The root of a bundle: the part that operators sign.
//!
//! [`Bundle::split`] divides a bundle into a root and one [`Part`] per service; [`Root::join`]
//! puts them together again and validates the result.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::canonical::{Canonical, Sink};
use crate::digest::Digest;
use crate::fault::Faults;
use crate::part::Part;
use crate::{check, id, Bundle, Centre};

/// Separates digests of roots from other digests.
const DOMAIN: &str = "chivewheel/root/1";

/// A bundle in which each service is replaced by the digest of its part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Root {
    /// The version of the bundle, one above that of its parent.
    pub version: u64,
    /// The data centres.
    pub centres: Vec<Centre>,
    /// The digest of each service's part.
    pub parts: BTreeMap<id::Service, Digest>,
    /// The digest of the parent's root; absent in the first bundle.
    pub previous: Option<Digest>,
}

impl Root {
    /// Returns the digest of the root, which identifies the bundle.
    pub fn digest(&self) -> Digest {
        let mut sink = Sink::new(DOMAIN);
        self.encode(&mut sink);
        sink.finish()
    }

    /// Returns the services whose parts differ from those in `other` or are missing there: the
    /// parts to fetch.
    pub fn changed_parts<'a>(
        &'a self,
        other: &'a Root,
    ) -> impl Iterator<Item = (&'a id::Service, &'a Digest)> {
        let parts = self.parts.iter();
        parts.filter(|(name, digest)| other.parts.get(*name) != Some(digest))
    }

    /// Returns the bundle that consists of the root and its `parts`.
    ///
    /// Fails if a part is not listed in the root or is missing, or if the bundle does not pass
    /// [`check::check`].
    pub fn join(&self, parts: impl IntoIterator<Item = Part>) -> Result<Bundle, Error> {
        let mut services = BTreeMap::new();
        for part in parts {
            self.check_part(&part)?;
            services.insert(part.service.name.clone(), part.service);
        }
        if let Some(name) = self.parts.keys().find(|name| !services.contains_key(*name)) {
            return Err(Error::Missing(name.clone()));
        }
        let bundle = Bundle {
            version: self.version,
            centres: self.centres.clone(),
            services: services.into_values().collect(),
        };
        check::check(&bundle)?;
        Ok(bundle)
    }

    fn check_part(&self, part: &Part) -> Result<(), Error> {
        let name = &part.service.name;
        let expected = self.parts.get(name);
        let expected = expected.ok_or_else(|| Error::Unlisted(name.clone()))?;
        match part.digest() == *expected {
            true => Ok(()),
            false => Err(Error::DigestMismatch(name.clone())),
        }
    }
}

impl Bundle {
    /// Splits the bundle into a root and one part per service. `previous` is the digest of the root
    /// that the bundle replaces.
    pub fn split(&self, previous: Option<Digest>) -> (Root, Vec<Part>) {
        let services = self.services.iter().cloned();
        let parts: Vec<Part> = services.map(|service| Part { service }).collect();
        let digests = parts.iter().map(|p| (p.service.name.clone(), p.digest()));
        let root = Root {
            version: self.version,
            centres: self.centres.clone(),
            parts: digests.collect(),
            previous,
        };
        (root, parts)
    }
}

/// Why a root and parts cannot be joined.
#[derive(Debug, PartialEq, Error)]
pub enum Error {
    /// A part that the root lists is missing.
    #[error("the part of service {0} is missing")]
    Missing(id::Service),
    /// A part belongs to a service that the root does not list.
    #[error("the root names no service {0}")]
    Unlisted(id::Service),
    /// The digest of a part differs from the one in the root.
    #[error("the part of service {0} has another digest than the root gives it")]
    DigestMismatch(id::Service),
    /// The joined bundle fails [`check::check`].
    #[error("the bundle is faulty: {0}")]
    Faulty(#[from] Faults),
}
