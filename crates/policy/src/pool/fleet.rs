//! The servers of a pool, and the orders in which they are picked.
//!
//! Invariants: each record is in exactly those orders that its state asks for, because every change
//! goes through [`Fleet::update`]; a record without live credits that the list has not is removed.

use std::collections::{BTreeMap, BTreeSet};

use clock::Instant;
use contract::id;

use super::group::Group;
use super::standing::Standing;
use super::Config;
use crate::server::record::Record;
use crate::server::report::Report;
use crate::server::{Listing, State};

/// The place of a server's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Slot(usize);

/// A record, its version and its standing.
#[derive(Debug)]
struct Post {
    record: Record,
    group: usize,
    standing: Standing,
}

/// The servers of a pool.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    posts: Vec<Post>,
    vacant: Vec<usize>,
    names: BTreeMap<id::Server, Slot>,
    groups: Vec<Group>,
    /// When records change by time alone.
    changes: BTreeSet<(Instant, Slot)>,
    /// From when on doubtful servers want a probe.
    doubts: BTreeSet<(Instant, Slot)>,
    /// The grants and new records so far.
    turn: u64,
    /// The versions that may get the next grant, the most pressing first.
    order: Vec<usize>,
}

impl Fleet {
    /// Returns the record at `slot`.
    pub(crate) fn record(&self, slot: Slot) -> &Record {
        &self.posts[slot.0].record
    }

    /// Returns the place of the server `name`.
    pub(crate) fn find(&self, name: &id::Server) -> Option<Slot> {
        self.names.get(name).copied()
    }

    /// Returns the version of the server at `slot`.
    pub(crate) fn version(&self, slot: Slot) -> &id::Version {
        &self.groups[self.posts[slot.0].group].version
    }

    /// Takes over the list of servers.
    pub(crate) fn set_servers(&mut self, listed: &[Listing], config: &Config, now: Instant) {
        let kept: BTreeSet<&id::Server> = listed.iter().map(|l| &l.name).collect();
        let gone = self.names.iter().filter(|(name, _)| !kept.contains(name));
        let gone: Vec<Slot> = gone.map(|(_, slot)| *slot).collect();
        for slot in gone {
            self.update(slot, |record| record.listed = false);
            self.remove_if_idle(slot);
        }
        for server in listed {
            self.set_server(server, config, now);
        }
    }

    /// Sets the share of each version: the first and the largest take what others have no room for.
    pub(crate) fn set_shares(&mut self, shares: &[(id::Version, f64)]) {
        let wanted = |share: f64| if share > 0.0 { share.min(1e9) } else { 0.0 };
        let sum: f64 = shares.iter().map(|(_, share)| wanted(*share)).sum();
        let largest = shares.iter().map(|(_, s)| wanted(*s)).fold(0.0, f64::max);
        let first = shares.iter().position(|(_, share)| *share > 0.0);
        for group in &mut self.groups {
            let mut named = shares
                .iter()
                .filter(|(version, _)| *version == group.version);
            if !named.any(|(_, share)| *share > 0.0) {
                group.set_share(0.0, false);
            }
        }
        for (index, (version, share)) in shares.iter().enumerate() {
            let share = wanted(*share);
            if share > 0.0 {
                let absorbs = first == Some(index) || share >= largest;
                let group = self.group_of(version);
                self.groups[group].set_share(share / sum, absorbs);
            }
        }
        self.place_all();
    }

    /// Returns the record of the server `name`, which is created if need be.
    pub(crate) fn slot_of(&mut self, name: &id::Server, config: &Config, now: Instant) -> Slot {
        if let Some(slot) = self.names.get(name) {
            return *slot;
        }
        let group = self.group_of(&id::Version::from(""));
        self.groups[group].records += 1;
        // Each record has a turn of its own from the start, so that the choice among equal servers
        // doesn't depend on where their records are.
        self.turn += 1;
        let mut record = Record::new(name.clone(), config, now);
        record.turn = self.turn;
        let post = Post {
            record,
            group,
            standing: Standing::default(),
        };
        let slot = self.insert(post);
        self.names.insert(name.clone(), slot);
        self.place(slot);
        slot
    }

    /// Returns whether any version may get a grant now.
    pub(crate) fn can_grant(&mut self) -> bool {
        self.sort_versions();
        !self.order.is_empty()
    }

    /// Returns the server for a call that keeps off the servers `avoid`, as long as there are
    /// others. To be called after [`Fleet::can_grant`].
    pub(crate) fn choose(&self, avoid: &[id::Server]) -> Option<Slot> {
        let strict = !avoid.is_empty() && self.has_others(avoid);
        let groups = self.order.iter().map(|index| &self.groups[*index]);
        let mut slots = groups.flat_map(|g| g.ready.iter().map(|rank| rank.slot));
        slots.find(|slot| !strict || !avoid.contains(&self.record(*slot).name))
    }

    /// Counts a new credit of the server at `slot` against its version's share.
    pub(crate) fn take_turn(&mut self, slot: Slot) {
        let chosen = self.posts[slot.0].group;
        for (index, group) in self.groups.iter_mut().enumerate() {
            if group.share > 0.0 {
                group.count(index == chosen);
            }
        }
        self.turn += 1;
        let turn = self.turn;
        self.update(slot, |record| {
            record.turn = turn;
            record.live += 1;
        });
    }

    /// Counts a probe of the server at `slot`.
    pub(crate) fn take_probe(&mut self, slot: Slot, now: Instant) {
        self.update(slot, |record| {
            record.live += 1;
            record.quiet_since = now;
        });
    }

    /// Counts a credit of an earlier owner.
    pub(crate) fn take_adopted(&mut self, slot: Slot) {
        self.update(slot, |record| record.live += 1);
    }

    /// Takes in feedback of the server at `slot`.
    pub(crate) fn learn(&mut self, slot: Slot, report: &Report<'_>, config: &Config, now: Instant) {
        self.update(slot, |record| record.learn(report, config, now));
    }

    /// Counts the end of a credit.
    pub(crate) fn release(&mut self, slot: Slot) {
        self.update(slot, |record| record.live = record.live.saturating_sub(1));
        self.remove_if_idle(slot);
    }

    /// Sets all servers back to a cold start.
    pub(crate) fn chill(&mut self, now: Instant) {
        let slots: Vec<Slot> = self.names.values().copied().collect();
        for slot in slots {
            self.update(slot, |record| record.restart(now));
        }
    }

    /// Takes over what an earlier owner reported.
    pub(crate) fn inherit(&mut self, states: &[State], config: &Config, now: Instant) {
        for state in states {
            let Some(slot) = self.names.get(&state.name).copied() else {
                continue;
            };
            if *self.version(slot) == state.version {
                self.update(slot, |record| record.inherit(state, config, now));
            }
        }
    }

    /// Makes the changes that are due by time alone.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some((due, slot)) = self.changes.first().copied() {
            if due > now {
                return;
            }
            self.update(slot, |record| record.advance(now));
        }
    }

    /// Returns when the next change by time alone is due.
    pub(crate) fn next_change(&self) -> Option<Instant> {
        self.changes.first().map(|(due, _)| *due)
    }

    /// Returns the server that has wanted a probe for the longest, and since when.
    pub(crate) fn next_doubt(&self) -> Option<(Instant, Slot)> {
        self.doubts.first().copied()
    }

    /// Returns whether enough servers of the version stay if that at `slot` is ejected.
    pub(crate) fn can_spare(&self, slot: Slot) -> bool {
        self.groups[self.posts[slot.0].group].can_spare()
    }

    /// Returns whether a version that takes any turn has a server that may get credits.
    pub(crate) fn is_usable(&self) -> bool {
        self.groups.iter().any(|g| g.absorbs && g.usable > 0)
    }

    /// Returns the credits that may be granted at once, and the sum of the allowances.
    pub(crate) fn room(&self) -> (u64, u64) {
        let groups = self.groups.iter().filter(|g| g.share > 0.0);
        groups.fold((0, 0), |(room, capacity), group| {
            (room + group.room, capacity + group.capacity)
        })
    }

    /// Returns what to report of each server, in the order of their names.
    pub(crate) fn states(&self) -> Vec<State> {
        let slots = self.names.values();
        slots
            .map(|slot| self.record(*slot).state(self.version(*slot)))
            .collect()
    }

    fn set_server(&mut self, server: &Listing, config: &Config, now: Instant) {
        let slot = self.slot_of(&server.name, config, now);
        if *self.version(slot) != server.version {
            self.update(slot, |record| record.listed = false);
            self.set_version(slot, &server.version);
        }
        self.update(slot, |record| record.list(server.leaving, config, now));
    }

    fn set_version(&mut self, slot: Slot, version: &id::Version) {
        let group = self.group_of(version);
        self.lift(slot);
        let post = &mut self.posts[slot.0];
        self.groups[post.group].records -= 1;
        post.group = group;
        self.groups[group].records += 1;
        self.place(slot);
    }

    /// Returns the index of a version. The place of one that nothing refers to is used again.
    fn group_of(&mut self, version: &id::Version) -> usize {
        if let Some(index) = self.groups.iter().position(|g| g.version == *version) {
            return index;
        }
        let group = Group::new(version.clone());
        if let Some(index) = self.groups.iter().position(Group::is_unused) {
            self.groups[index] = group;
            return index;
        }
        self.groups.push(group);
        self.groups.len() - 1
    }

    fn insert(&mut self, post: Post) -> Slot {
        if let Some(index) = self.vacant.pop() {
            self.posts[index] = post;
            return Slot(index);
        }
        self.posts.push(post);
        Slot(self.posts.len() - 1)
    }

    fn remove_if_idle(&mut self, slot: Slot) {
        let post = &self.posts[slot.0];
        if post.record.listed || post.record.live > 0 {
            return;
        }
        self.lift(slot);
        let post = &self.posts[slot.0];
        self.groups[post.group].records -= 1;
        self.names.remove(&post.record.name);
        self.vacant.push(slot.0);
    }

    /// Returns whether a version that takes any turn has a usable server not among `avoid`.
    fn has_others(&self, avoid: &[id::Server]) -> bool {
        let absorbing = self.groups.iter().filter(|g| g.absorbs);
        let usable: u32 = absorbing.map(|g| g.usable).sum();
        let slots = avoid.iter().filter_map(|name| self.names.get(name));
        let avoided = slots.filter(|slot| {
            let post = &self.posts[slot.0];
            post.record.is_usable() && self.groups[post.group].absorbs
        });
        usable as usize > avoided.count()
    }

    /// Sorts the versions that may get the next grant: those that are due by the earliest time at
    /// which they fall behind, then those that take any turn.
    ///
    /// This is the quota method of Balinski and Young (1975), which keeps each count within one of
    /// its share.
    fn sort_versions(&mut self) {
        let groups = &self.groups;
        self.order.clear();
        let ready = (0..groups.len()).filter(|index| groups[*index].is_ready());
        let allowed = ready.filter(|index| groups[*index].is_due() || groups[*index].absorbs);
        self.order.extend(allowed);
        self.order.sort_unstable_by(|a, b| {
            let (a, b) = (&groups[*a], &groups[*b]);
            let due = b.is_due().cmp(&a.is_due());
            due.then(a.slack().total_cmp(&b.slack()))
                .then(a.version.cmp(&b.version))
        });
    }

    /// Changes the record at `slot` and brings the orders up to date.
    fn update<F>(&mut self, slot: Slot, change: F)
    where
        F: FnOnce(&mut Record),
    {
        self.lift(slot);
        change(&mut self.posts[slot.0].record);
        self.place(slot);
    }

    fn place_all(&mut self) {
        let slots: Vec<Slot> = self.names.values().copied().collect();
        for slot in slots {
            self.update(slot, |_| ());
        }
    }

    /// Takes the record at `slot` out of all orders.
    fn lift(&mut self, slot: Slot) {
        let post = &mut self.posts[slot.0];
        let standing = std::mem::take(&mut post.standing);
        let group = &mut self.groups[post.group];
        standing.rank.map(|rank| group.ready.remove(&rank));
        group.members -= standing.member;
        group.usable -= standing.usable;
        group.capacity -= u64::from(standing.capacity);
        group.room -= u64::from(standing.room);
        standing.change.map(|at| self.changes.remove(&(at, slot)));
        standing.doubt.map(|at| self.doubts.remove(&(at, slot)));
    }

    /// Puts the record at `slot` into the orders that its state asks for.
    fn place(&mut self, slot: Slot) {
        let post = &mut self.posts[slot.0];
        let group = &mut self.groups[post.group];
        let standing = Standing::of(&post.record, slot, group.share > 0.0);
        post.standing = standing;
        standing.rank.map(|rank| group.ready.insert(rank));
        group.members += standing.member;
        group.usable += standing.usable;
        group.capacity += u64::from(standing.capacity);
        group.room += u64::from(standing.room);
        standing.change.map(|at| self.changes.insert((at, slot)));
        standing.doubt.map(|at| self.doubts.insert((at, slot)));
    }
}
