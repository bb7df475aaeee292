//! Holds the bundle in force with its signatures and parts.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use contract::digest::Digest;
use contract::keyring::Keyring;
use contract::part::Part;
use contract::signed::{Signed, Verified};
use contract::{id, Bundle};

use super::Fault;

/// A bundle that was put in force, in the form in which it is sent to other instances.
#[derive(Clone, Debug)]
pub(crate) struct Accepted {
    /// The root with its signatures.
    pub(crate) signed: Signed,
    /// The digest of the root.
    pub(crate) digest: Digest,
    /// The parts.
    pub(crate) parts: Vec<Part>,
    /// The bundle assembled from the root and the parts.
    pub(crate) bundle: Bundle,
}

/// Holds the bundle in force with its signatures and parts.
#[derive(Debug)]
pub(crate) struct Archive {
    keyring: Keyring,
    accepted: ArcSwapOption<Accepted>,
}

impl Archive {
    /// Returns an archive without a bundle that accepts signatures made by the keys of `keyring`.
    pub(crate) fn new(keyring: Keyring) -> Self {
        Self {
            keyring,
            accepted: ArcSwapOption::empty(),
        }
    }

    /// Returns the bundle in force, if there is one.
    pub(crate) fn accepted(&self) -> Option<Arc<Accepted>> {
        self.accepted.load_full()
    }

    /// Returns the version in force, or 0 if there is none yet.
    pub(crate) fn version(&self) -> u64 {
        self.accepted
            .load()
            .as_ref()
            .map_or(0, |accepted| accepted.signed.root.version)
    }

    /// Verifies the signatures and the version of `signed`.
    ///
    /// # Errors
    ///
    /// [`Fault::Signatures`] if the signatures are invalid, and [`Fault::Stale`] if the version is
    /// not newer than the one in force.
    pub(crate) fn verify(&self, signed: &Signed) -> Result<Verified, Fault> {
        let verified = signed.verify(&self.keyring)?;
        let (found, current) = (verified.root().version, self.version());
        match found > current {
            true => Ok(verified),
            false => Err(Fault::Stale { found, current }),
        }
    }

    /// Returns the parts of `verified` that this instance already has, and the services and digests
    /// of the missing parts.
    pub(crate) fn missing(&self, verified: &Verified) -> (Vec<Part>, Vec<(id::Service, Digest)>) {
        let accepted = self.accepted.load();
        let known = accepted
            .as_ref()
            .map(|a| a.parts.as_slice())
            .unwrap_or_default();
        let mut parts = Vec::new();
        let mut missing = Vec::new();
        for (name, digest) in &verified.root().parts {
            match known.iter().find(|part| part.digest() == *digest) {
                Some(part) => parts.push(part.clone()),
                None => missing.push((name.clone(), *digest)),
            }
        }
        (parts, missing)
    }

    /// Puts a verified bundle in force, unless a newer one was put in force in the meantime.
    ///
    /// # Errors
    ///
    /// [`Fault::Root`] if the parts do not form a valid bundle, and [`Fault::Stale`] if the version
    /// is not newer than the one in force.
    pub(crate) fn accept(
        &self,
        signed: Signed,
        verified: &Verified,
        parts: Vec<Part>,
    ) -> Result<Arc<Accepted>, Fault> {
        let bundle = verified.root().join(parts.clone())?;
        let digest = *verified.digest();
        let accepted = Arc::new(Accepted {
            signed,
            digest,
            parts,
            bundle,
        });
        let found = verified.root().version;
        let previous = self.accepted.rcu(|current| match current {
            Some(current) if current.signed.root.version >= found => Some(current.clone()),
            _ => Some(accepted.clone()),
        });
        let current = previous.map_or(0, |previous| previous.signed.root.version);
        match found > current {
            true => Ok(accepted),
            false => Err(Fault::Stale { found, current }),
        }
    }
}
