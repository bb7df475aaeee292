//! The servers of a pool, and the orders in which they are picked.
//!
//! Invariants: each record is in exactly those orders that its state asks for, because every change
//! goes through [`Fleet::update`]; a record without live credits that the list has not is removed.

use std::collections::{BTreeMap, BTreeSet};

use clock::Instant;
use contract::id;

use super::group::Group;
use super::placement::Placement;
use super::Config;
use crate::server::observation::Observation;
use crate::server::record::Record;
use crate::server::{Listing, State};

/// The place of a server's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Key(usize);

/// A record, its version and its standing.
#[derive(Debug)]
struct Item {
    record: Record,
    group: usize,
    placement: Placement,
}

/// The servers of a pool.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    items: Vec<Item>,
    vacant: Vec<usize>,
    names: BTreeMap<id::Server, Key>,
    groups: Vec<Group>,
    /// When records change by time alone.
    timers: BTreeSet<(Instant, Key)>,
    /// From when on doubtful servers want a probe.
    probe_times: BTreeSet<(Instant, Key)>,
    /// The grants and new records so far.
    sequence: u64,
    /// The versions that may get the next grant, the most pressing first.
    candidates: Vec<usize>,
}

impl Fleet {
    /// Returns the record at `slot`.
    pub(crate) fn record(&self, key: Key) -> &Record {
        &self.items[key.0].record
    }

    /// Returns the place of the server `name`.
    pub(crate) fn find(&self, name: &id::Server) -> Option<Key> {
        self.names.get(name).copied()
    }

    /// Returns the version of the server at `slot`.
    pub(crate) fn version(&self, key: Key) -> &id::Version {
        &self.groups[self.items[key.0].group].version
    }

    /// Takes over the list of servers.
    pub(crate) fn set_servers(&mut self, listed: &[Listing], config: &Config, now: Instant) {
        let kept: BTreeSet<&id::Server> = listed.iter().map(|l| &l.name).collect();
        let gone = self.names.iter().filter(|(name, _)| !kept.contains(name));
        let gone: Vec<Key> = gone.map(|(_, key)| *key).collect();
        for key in gone {
            self.update(key, |record| record.listed = false);
            self.remove_if_idle(key);
        }
        for server in listed {
            self.set_server(server, config, now);
        }
    }

    /// Sets the share of each version: the first and the largest take what others have no room for.
    pub(crate) fn set_shares(&mut self, shares: &[(id::Version, f64)]) {
        let clamped = |share: f64| if share > 0.0 { share.min(1e9) } else { 0.0 };
        let sum: f64 = shares.iter().map(|(_, share)| clamped(*share)).sum();
        let largest = shares.iter().map(|(_, s)| clamped(*s)).fold(0.0, f64::max);
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
            let share = clamped(*share);
            if share > 0.0 {
                let takes_overflow = first == Some(index) || share >= largest;
                let group = self.group_of(version);
                self.groups[group].set_share(share / sum, takes_overflow);
            }
        }
        self.relink_all();
    }

    /// Returns the record of the server `name`, which is created if need be.
    pub(crate) fn get_or_insert(
        &mut self,
        name: &id::Server,
        config: &Config,
        now: Instant,
    ) -> Key {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let group = self.group_of(&id::Version::from(""));
        self.groups[group].records += 1;
        // Each record has a turn of its own from the start, so that the choice among equal servers
        // doesn't depend on where their records are.
        self.sequence += 1;
        let mut record = Record::new(name.clone(), config, now);
        record.sequence = self.sequence;
        let item = Item {
            record,
            group,
            placement: Placement::default(),
        };
        let key = self.insert(item);
        self.names.insert(name.clone(), key);
        self.link(key);
        key
    }

    /// Returns whether any version may get a grant now.
    pub(crate) fn can_grant(&mut self) -> bool {
        self.sort_versions();
        !self.candidates.is_empty()
    }

    /// Returns the server for a call that keeps off the servers `avoid`, as long as there are
    /// others. To be called after [`Fleet::can_grant`].
    pub(crate) fn choose(&self, avoid: &[id::Server]) -> Option<Key> {
        let strict = !avoid.is_empty() && self.has_alternative(avoid);
        let groups = self.candidates.iter().map(|index| &self.groups[*index]);
        let mut keys = groups.flat_map(|g| g.ready.iter().map(|rank| rank.key));
        keys.find(|key| !strict || !avoid.contains(&self.record(*key).name))
    }

    /// Counts a new credit of the server at `slot` against its version's share.
    pub(crate) fn record_grant(&mut self, key: Key) {
        let chosen = self.items[key.0].group;
        for (index, group) in self.groups.iter_mut().enumerate() {
            if group.share > 0.0 {
                group.record_grant(index == chosen);
            }
        }
        self.sequence += 1;
        let sequence = self.sequence;
        self.update(key, |record| {
            record.sequence = sequence;
            record.live += 1;
        });
    }

    /// Counts a probe of the server at `slot`.
    pub(crate) fn record_probe(&mut self, key: Key, now: Instant) {
        self.update(key, |record| {
            record.live += 1;
            record.idle_since = now;
        });
    }

    /// Counts a credit of an earlier owner.
    pub(crate) fn record_adopted(&mut self, key: Key) {
        self.update(key, |record| record.live += 1);
    }

    /// Takes in feedback of the server at `slot`.
    pub(crate) fn apply_feedback(
        &mut self,
        key: Key,
        observation: &Observation<'_>,
        config: &Config,
        now: Instant,
    ) {
        self.update(key, |record| record.apply(observation, config, now));
    }

    /// Counts the end of a credit.
    pub(crate) fn release(&mut self, key: Key) {
        self.update(key, |record| record.live = record.live.saturating_sub(1));
        self.remove_if_idle(key);
    }

    /// Sets all servers back to a cold start.
    pub(crate) fn restart_all(&mut self, now: Instant) {
        let keys: Vec<Key> = self.names.values().copied().collect();
        for key in keys {
            self.update(key, |record| record.restart(now));
        }
    }

    /// Takes over what an earlier owner reported.
    pub(crate) fn restore(&mut self, states: &[State], config: &Config, now: Instant) {
        for state in states {
            let Some(key) = self.names.get(&state.name).copied() else {
                continue;
            };
            if *self.version(key) == state.version {
                self.update(key, |record| record.restore(state, config, now));
            }
        }
    }

    /// Makes the changes that are due by time alone.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some((due, key)) = self.timers.first().copied() {
            if due > now {
                return;
            }
            self.update(key, |record| record.advance(now));
        }
    }

    /// Returns when the next change by time alone is due.
    pub(crate) fn next_change(&self) -> Option<Instant> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Returns the server that has wanted a probe for the longest, and since when.
    pub(crate) fn next_probe(&self) -> Option<(Instant, Key)> {
        self.probe_times.first().copied()
    }

    /// Returns whether enough servers of the version stay if that at `slot` is ejected.
    pub(crate) fn can_eject(&self, key: Key) -> bool {
        self.groups[self.items[key.0].group].can_eject()
    }

    /// Returns whether a version that takes any turn has a server that may get credits.
    pub(crate) fn is_usable(&self) -> bool {
        self.groups.iter().any(|g| g.takes_overflow && g.usable > 0)
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
        let keys = self.names.values();
        keys.map(|key| self.record(*key).state(self.version(*key)))
            .collect()
    }

    fn set_server(&mut self, server: &Listing, config: &Config, now: Instant) {
        let key = self.get_or_insert(&server.name, config, now);
        if *self.version(key) != server.version {
            self.update(key, |record| record.listed = false);
            self.set_version(key, &server.version);
        }
        self.update(key, |record| record.set_listed(server.leaving, config, now));
    }

    fn set_version(&mut self, key: Key, version: &id::Version) {
        let group = self.group_of(version);
        self.unlink(key);
        let item = &mut self.items[key.0];
        self.groups[item.group].records -= 1;
        item.group = group;
        self.groups[group].records += 1;
        self.link(key);
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

    fn insert(&mut self, item: Item) -> Key {
        if let Some(index) = self.vacant.pop() {
            self.items[index] = item;
            return Key(index);
        }
        self.items.push(item);
        Key(self.items.len() - 1)
    }

    fn remove_if_idle(&mut self, key: Key) {
        let item = &self.items[key.0];
        if item.record.listed || item.record.live > 0 {
            return;
        }
        self.unlink(key);
        let item = &self.items[key.0];
        self.groups[item.group].records -= 1;
        self.names.remove(&item.record.name);
        self.vacant.push(key.0);
    }

    /// Returns whether a version that takes any turn has a usable server not among `avoid`.
    fn has_alternative(&self, avoid: &[id::Server]) -> bool {
        let overflow = self.groups.iter().filter(|g| g.takes_overflow);
        let usable: u32 = overflow.map(|g| g.usable).sum();
        let keys = avoid.iter().filter_map(|name| self.names.get(name));
        let avoided = keys.filter(|key| {
            let item = &self.items[key.0];
            item.record.is_usable() && self.groups[item.group].takes_overflow
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
        self.candidates.clear();
        let ready = (0..groups.len()).filter(|index| groups[*index].is_ready());
        let allowed =
            ready.filter(|index| groups[*index].is_due() || groups[*index].takes_overflow);
        self.candidates.extend(allowed);
        self.candidates.sort_unstable_by(|a, b| {
            let (a, b) = (&groups[*a], &groups[*b]);
            let due = b.is_due().cmp(&a.is_due());
            due.then(a.slack().total_cmp(&b.slack()))
                .then(a.version.cmp(&b.version))
        });
    }

    /// Changes the record at `slot` and brings the orders up to date.
    fn update<F>(&mut self, key: Key, change: F)
    where
        F: FnOnce(&mut Record),
    {
        self.unlink(key);
        change(&mut self.items[key.0].record);
        self.link(key);
    }

    fn relink_all(&mut self) {
        let keys: Vec<Key> = self.names.values().copied().collect();
        for key in keys {
            self.update(key, |_| ());
        }
    }

    /// Takes the record at `slot` out of all orders.
    fn unlink(&mut self, key: Key) {
        let item = &mut self.items[key.0];
        let placement = std::mem::take(&mut item.placement);
        let group = &mut self.groups[item.group];
        placement.rank.map(|rank| group.ready.remove(&rank));
        group.members -= placement.member;
        group.usable -= placement.usable;
        group.capacity -= u64::from(placement.capacity);
        group.room -= u64::from(placement.room);
        placement
            .next_change
            .map(|at| self.timers.remove(&(at, key)));
        placement
            .probe_due
            .map(|at| self.probe_times.remove(&(at, key)));
    }

    /// Puts the record at `slot` into the orders that its state asks for.
    fn link(&mut self, key: Key) {
        let item = &mut self.items[key.0];
        let group = &mut self.groups[item.group];
        let placement = Placement::of(&item.record, key, group.share > 0.0);
        item.placement = placement;
        placement.rank.map(|rank| group.ready.insert(rank));
        group.members += placement.member;
        group.usable += placement.usable;
        group.capacity += u64::from(placement.capacity);
        group.room += u64::from(placement.room);
        placement
            .next_change
            .map(|at| self.timers.insert((at, key)));
        placement
            .probe_due
            .map(|at| self.probe_times.insert((at, key)));
    }
}
