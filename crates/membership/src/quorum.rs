//! Majorities of a list of members.

use contract::id;

use crate::member::Member;

/// Returns the smallest number of members that is more than half of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Returns whether `holds` is true for a majority of `members`. An empty list needs none, so the
/// result is true.
pub fn reached<F>(members: &[Member], holds: F) -> bool
where
    F: Fn(&id::Instance) -> bool,
{
    let count = members.iter().filter(|member| holds(&member.name)).count();
    members.is_empty() || count >= majority(members.len())
}
