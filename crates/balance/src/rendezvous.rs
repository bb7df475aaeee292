//! Rendezvous hashing: all instances that know the same members choose the same one for a subject.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Returns the member with the highest weight for `subject`.
pub fn pick<'a, M, S>(members: impl IntoIterator<Item = &'a M>, subject: &S) -> Option<&'a M>
where
    M: Hash + Ord,
    S: Hash,
{
    members
        .into_iter()
        .max_by_key(|m| (weight(*m, subject), *m))
}

/// Returns the weight of `member` for `subject`.
pub fn weight<M, S>(member: &M, subject: &S) -> u64
where
    M: Hash,
    S: Hash,
{
    let mut hasher = DefaultHasher::new();
    (member, subject).hash(&mut hasher);
    hasher.finish()
}
