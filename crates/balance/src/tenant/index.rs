//! The tenants by the digests of their keys.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use super::{Digest, Tenant};

/// The names of tenants by the digests of their keys.
///
/// How long a look-up takes tells nothing about the keys: the hash function of the map has a random key
/// in each process, so that its slots do not depend on known values, and digests are compared in
/// constant time.
#[derive(Clone, Default)]
pub struct Index(HashMap<Digest, Box<str>>);

impl Index {
    /// Returns the index of `tenants`. A key of several tenants belongs to the first of them by name;
    /// whoever decodes a configuration leaves it to the first listed one only.
    pub fn new(tenants: &BTreeMap<String, Tenant>) -> Self {
        let mut names: HashMap<Digest, Box<str>> = HashMap::with_capacity(tenants.len());
        for (name, tenant) in tenants {
            for key in &tenant.keys {
                names.entry(*key).or_insert_with(|| name.as_str().into());
            }
        }
        Self(names)
    }

    /// Returns the name of the tenant that has the key with this digest.
    pub fn find(&self, digest: &Digest) -> Option<&str> {
        self.0.get(digest).map(AsRef::as_ref)
    }
}

impl fmt::Debug for Index {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Index").field(&self.0.len()).finish()
    }
}
