//! The tenants by the digests of their keys.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use super::{Digest, Tenant};

/// What a request needs to know of the tenant that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity<'a> {
    /// The name of the tenant.
    pub name: &'a str,
    /// The priority of its requests, as in [`Tenant::priority`].
    pub priority: Option<u32>,
}

/// A tenant in the index. The name is a copy: to look it up in the configuration would take longer
/// than all else if there are many tenants.
#[derive(Clone)]
struct Entry {
    name: Box<str>,
    priority: Option<u32>,
}

/// The tenants by the digests of their keys.
///
/// How long a look-up takes tells nothing about the keys: the hash function of the map has a random key
/// in each process, so that its slots do not depend on known values, and digests are compared in
/// constant time.
#[derive(Clone, Default)]
pub struct Index(HashMap<Digest, Entry>);

impl Index {
    /// Returns the index of `tenants`. A key of several tenants belongs to the first of them by name;
    /// whoever decodes a configuration leaves it to the first listed one only.
    pub fn new(tenants: &BTreeMap<String, Tenant>) -> Self {
        let mut entries: HashMap<Digest, Entry> = HashMap::with_capacity(tenants.len());
        for (name, tenant) in tenants {
            for key in &tenant.keys {
                entries.entry(*key).or_insert_with(|| Entry {
                    name: name.as_str().into(),
                    priority: tenant.priority,
                });
            }
        }
        Self(entries)
    }

    /// Returns the tenant that has the key with this digest.
    pub fn find(&self, digest: &Digest) -> Option<Identity<'_>> {
        self.0.get(digest).map(|entry| Identity {
            name: &entry.name,
            priority: entry.priority,
        })
    }
}

impl fmt::Debug for Index {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Index").field(&self.0.len()).finish()
    }
}
