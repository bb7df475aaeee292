//! Placement of keys on members.
//!
//! Highest random weight, also called rendezvous hashing (Thaler and Ravishankar, "Using name-based
//! mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998): each member
//! has a weight for each key, and the member with the highest weight owns it. A change of the
//! roster moves only keys of members that joined or left.

use std::cmp::Reverse;

use contract::id;
use sha2::{Digest, Sha256};

use crate::duty::Duty;
use crate::member::Member;
use crate::roster::Roster;

/// Returns the member that owns `key`, preferring members in `centre`.
pub fn owner<'a>(roster: &'a Roster, key: &str, centre: Option<&id::Centre>) -> Option<&'a Member> {
    let is_local = |member: &Member| centre.is_some_and(|centre| member.centre == *centre);
    let rank = |member: &&Member| {
        (
            is_local(member),
            weight(key, member),
            Reverse(member.name.clone()),
        )
    };
    roster.members.iter().max_by_key(rank)
}

/// Returns the members other than the owner of `duty`, in their order as deputies for it.
pub fn deputies<'a>(roster: &'a Roster, duty: &Duty) -> impl Iterator<Item = &'a Member> {
    let others = roster.members.iter().filter(|member| member.name != duty.0);
    let mut ranked: Vec<&Member> = others.collect();
    ranked.sort_by_cached_key(|member| Reverse(weight(duty.0.as_str(), member)));
    ranked.into_iter()
}

/// Returns the weight of `member` for `key`.
fn weight(key: &str, member: &Member) -> u64 {
    let mut hash = Sha256::new();
    hash.update((key.len() as u64).to_be_bytes());
    hash.update(key);
    hash.update(member.name.as_str());
    let digest = hash.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |weight, &byte| weight << 8 | u64::from(byte))
}
