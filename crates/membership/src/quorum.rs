//! Majorities of a list of members.

use contract::id;

use crate::member::Member;

/// Returns the least number of members that is more than half of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Tells whether `holds` is true of a majority of `members`. No member is needed of an empty list.
pub fn reached<F>(members: &[Member], holds: F) -> bool
where
    F: Fn(&id::Instance) -> bool,
{
    let count = members.iter().filter(|member| holds(&member.name)).count();
    members.is_empty() || count >= majority(members.len())
}
