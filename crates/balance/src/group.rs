//! Divides the instances and servers of a large data centre into groups.
//!
//! The instances of one group tell each other of every request at the servers of that group, so
//! that the messages that an instance handles do not grow with the data centre. All instances that
//! know the same members and servers derive the same groups. Different views cost precision only:
//! no bound on the fleet depends on the groups.
//!
//! A service with few servers is divided into fewer groups. The groups of two services nest: the
//! instances of a group of the one are all in the same group of the other, or include it.

use std::collections::HashMap;
use std::ops::Range;

use crate::rendezvous;
use crate::server::Key;

/// The number of instances up to which a data centre is not divided.
const MAX_UNDIVIDED_INSTANCES: usize = 32;

/// The fewest instances in a group, on average.
const MIN_INSTANCES: usize = 10;

/// The fewest servers in a group, on average. With fewer, many requests find no fast server in
/// their group and have to probe others.
const MIN_SERVERS: usize = 5;

/// One of the groups of a pool of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Group {
    /// The number of the group, from 0.
    index: usize,
    /// The number of groups of the pool, a power of two.
    count: usize,
}

impl Group {
    /// Returns the group at `rank` of `total` members in `count` groups of equal size.
    pub fn of_rank(rank: usize, total: usize, count: usize) -> Self {
        Self {
            index: rank * count / total.max(1),
            count,
        }
    }

    /// Returns the group of a server that is not ranked among others, by its `hash`.
    pub fn of_hash(hash: u64, count: usize) -> Self {
        let index = (u128::from(hash) * count as u128) >> u64::BITS;
        Self {
            index: index as usize,
            count,
        }
    }

    /// Returns whether there are other groups.
    pub fn is_partial(self) -> bool {
        self.count > 1
    }

    /// Returns the larger one of two groups that have a member in common.
    pub fn wider(self, other: Self) -> Self {
        if self.count <= other.count {
            self
        } else {
            other
        }
    }

    /// Returns the ranks of the group's members among `total`.
    fn ranks(self, total: usize) -> Range<usize> {
        let first = |index: usize| (index * total).div_ceil(self.count);
        first(self.index)..first(self.index + 1)
    }
}

/// The live instances of a data centre in the order that determines their groups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Division {
    instances: Vec<u64>,
    ranks: HashMap<u64, usize>,
}

impl Division {
    /// Returns the division of `instances`.
    pub fn new(instances: &[u64]) -> Self {
        let mut instances = instances.to_vec();
        instances.sort_by_cached_key(|instance| (rendezvous::weight(instance, &()), *instance));
        let ranked = instances.iter().enumerate();
        let ranks = ranked.map(|(rank, instance)| (*instance, rank)).collect();
        Self { instances, ranks }
    }

    /// Returns whether the data centre has several groups where the number of servers allows it.
    pub fn is_divided(&self) -> bool {
        self.instances.len() > MAX_UNDIVIDED_INSTANCES
    }

    /// Returns the number of groups of a pool of `servers`.
    pub fn count(&self, servers: usize) -> usize {
        let instances = self.instances.len();
        if !self.is_divided() {
            return 1;
        }
        let most = (instances / MIN_INSTANCES).min(servers / MIN_SERVERS);
        // The largest power of two that is not larger, so that groups nest and seldom change.
        1 << most.max(1).ilog2()
    }

    /// Returns whether `instance` is in `group`. An instance that is not known to be live is in
    /// no group of several.
    pub fn contains(&self, group: Group, instance: u64) -> bool {
        let rank = self.ranks.get(&instance);
        group.count == 1 || rank.is_some_and(|rank| self.ranks_of(group).contains(rank))
    }

    /// Returns one of the instances for `key`, evenly distributed.
    pub fn member_for(&self, key: Key) -> Option<u64> {
        let group = Group::of_hash(rendezvous::weight(&key, &()), self.instances.len());
        self.instances.get(group.index).copied()
    }

    /// Returns the instances of `group`.
    pub fn instances(&self, group: Group) -> &[u64] {
        &self.instances[self.ranks_of(group)]
    }

    fn ranks_of(&self, group: Group) -> Range<usize> {
        group.ranks(self.instances.len())
    }
}
