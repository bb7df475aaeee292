//! The servers of a pool, and the indexes by which they are selected.
//!
//! Invariants: the indexes always match the records, because every change to a record goes through
//! [`Fleet::update`]; a record that is neither listed nor has live credits is removed.

use std::collections::{BTreeMap, BTreeSet};

use clock::Instant;
use contract::id;

use super::group::Group;
use super::placement::Placement;
use super::Config;
use crate::server::observation::Observation;
use crate::server::record::Record;
use crate::server::{Listing, State};

/// Identifies a server's record within a fleet. The keys of removed records are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Key(usize);

/// A record, the index of its version's group and its placement in the indexes.
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
    /// When records next change without further input.
    timers: BTreeSet<(Instant, Key)>,
    /// When servers next need a probe.
    probe_times: BTreeSet<(Instant, Key)>,
    /// The number of grants and new records so far.
    sequence: u64,
    /// Indexes of the groups that may get the next grant, the most urgent first.
    candidates: Vec<usize>,
}

impl Fleet {
    /// Returns the record of the server `key`.
    pub(crate) fn record(&self, key: Key) -> &Record {
        &self.items[key.0].record
    }

    /// Returns the key of the server `name`.
    pub(crate) fn find(&self, name: &id::Server) -> Option<Key> {
        self.names.get(name).copied()
    }

    /// Returns the version of the server `key`.
    pub(crate) fn version(&self, key: Key) -> &id::Version {
        &self.groups[self.items[key.0].group].version
    }

    /// Replaces the list of servers.
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

    /// Sets the share of each version. The first and the largest take the grants that others have
    /// no room for.
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

    /// Returns the key of the server `name`, creating its record if it has none.
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
        // Each record has its own sequence number from the start, so that the choice among equal
        // servers doesn't depend on the order of their records.
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

    /// Chooses the server for a call that avoids the servers in `avoid` while there are others.
    /// Requires a preceding call of [`Fleet::can_grant`], which sorts the candidates.
    pub(crate) fn choose(&self, avoid: &[id::Server]) -> Option<Key> {
        let strict = !avoid.is_empty() && self.has_alternative(avoid);
        let groups = self.candidates.iter().map(|index| &self.groups[*index]);
        let mut keys = groups.flat_map(|g| g.ready.iter().map(|rank| rank.key));
        keys.find(|key| !strict || !avoid.contains(&self.record(*key).name))
    }

    /// Records a grant of a credit for the server `key`, and counts it against its version's share.
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

    /// Records a probe of the server `key`.
    pub(crate) fn record_probe(&mut self, key: Key, now: Instant) {
        self.update(key, |record| {
            record.live += 1;
            record.idle_since = now;
        });
    }

    /// Records a live credit that a previous owner granted.
    pub(crate) fn record_adopted(&mut self, key: Key) {
        self.update(key, |record| record.live += 1);
    }

    /// Applies feedback to the record of the server `key`.
    pub(crate) fn apply_feedback(
        &mut self,
        key: Key,
        observation: &Observation<'_>,
        config: &Config,
        now: Instant,
    ) {
        self.update(key, |record| record.apply(observation, config, now));
    }

    /// Records the end of a credit of the server `key`.
    pub(crate) fn release(&mut self, key: Key) {
        self.update(key, |record| record.live = record.live.saturating_sub(1));
        self.remove_if_idle(key);
    }

    /// Treats all servers as newly started, and therefore cold.
    pub(crate) fn restart_all(&mut self, now: Instant) {
        let keys: Vec<Key> = self.names.values().copied().collect();
        for key in keys {
            self.update(key, |record| record.restart(now));
        }
    }

    /// Restores server states that a previous owner reported.
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

    /// Applies the changes that are due at `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some((due, key)) = self.timers.first().copied() {
            if due > now {
                return;
            }
            self.update(key, |record| record.advance(now));
        }
    }

    /// Returns when the next change without further input is due.
    pub(crate) fn next_change(&self) -> Option<Instant> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Returns the server with the earliest due probe, and when it is due.
    pub(crate) fn next_probe(&self) -> Option<(Instant, Key)> {
        self.probe_times.first().copied()
    }

    /// Returns whether enough servers of the same version remain usable if the server `key` is
    /// ejected.
    pub(crate) fn can_eject(&self, key: Key) -> bool {
        self.groups[self.items[key.0].group].can_eject()
    }

    /// Returns whether a version that takes overflow has a usable server.
    pub(crate) fn has_usable_server(&self) -> bool {
        self.groups.iter().any(|g| g.takes_overflow && g.usable > 0)
    }

    /// Returns the number of credits that may be granted now, and the sum of the allowances.
    pub(crate) fn room(&self) -> (u64, u64) {
        let groups = self.groups.iter().filter(|g| g.share > 0.0);
        groups.fold((0, 0), |(room, capacity), group| {
            (room + group.room, capacity + group.capacity)
        })
    }

    /// Returns the state of each server, sorted by name.
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

    /// Returns the index of a version's group. Indexes of unused groups are reused.
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

    /// Returns whether a version that takes overflow has a usable server not in `avoid`.
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

    /// Sorts the versions that may get the next grant: versions that are due come first, the one
    /// that falls behind its share soonest at the head, then versions that take overflow.
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

    /// Changes the record of the server `key` and updates the indexes.
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

    /// Removes the record of the server `key` from all indexes and counters.
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

    /// Adds the record of the server `key` to the indexes and counters that its state requires.
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
