//! Whether and how the roster may change.

use std::collections::{BTreeMap, BTreeSet};

use clock::Instant;
use contract::id;

use crate::change::Blocker;
use crate::detector::Detector;
use crate::epoch::Epoch;
use crate::member::Member;
use crate::quorum;
use crate::roster::Roster;

/// What one member last told.
#[derive(Clone, Debug, Default)]
struct Word {
    /// The latest epoch that it has seen.
    epoch: Epoch,
    /// Whom it calls silent.
    silent: BTreeSet<id::Instance>,
}

/// Decides whether this instance may write the next roster, and with whom.
///
/// The result has to be written with the revision that the present roster was read with, and is in
/// force only once it has been read back: another instance may write another one first.
#[derive(Clone, Debug)]
pub struct Planner {
    me: Member,
    words: BTreeMap<id::Instance, Word>,
    /// Who asked to join, and when it last did.
    joining: BTreeMap<id::Instance, (Member, Instant)>,
    leaving: BTreeSet<id::Instance>,
    shown: BTreeSet<id::Instance>,
    ended: BTreeSet<id::Instance>,
}

impl Planner {
    /// Returns the planner of `me`.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            words: BTreeMap::new(),
            joining: BTreeMap::new(),
            leaving: BTreeSet::new(),
            shown: BTreeSet::new(),
            ended: BTreeSet::new(),
        }
    }

    /// Notes that `member` has seen `epoch` and calls `silent` silent.
    pub fn record_view(&mut self, member: &id::Instance, epoch: Epoch, silent: &[id::Instance]) {
        let word = self.words.entry(member.clone()).or_default();
        word.epoch = word.epoch.max(epoch);
        word.silent = silent.iter().cloned().collect();
    }

    /// Notes that `member` asks to join. It has to go on asking until it has joined: one that fell
    /// silent is not taken in.
    pub fn record_join_request(&mut self, member: &Member, now: Instant) {
        self.joining
            .insert(member.name.clone(), (member.clone(), now));
    }

    /// Notes that `member` announced that it leaves.
    pub fn record_leave(&mut self, member: &id::Instance) {
        self.leaving.insert(member.clone());
    }

    /// Takes in the platform's list of instances. One that was in an earlier list and is not in this
    /// one has ended, unless a later list shows it again.
    pub fn record_platform_list(&mut self, names: &[id::Instance]) {
        let names: BTreeSet<id::Instance> = names.iter().cloned().collect();
        self.ended.extend(self.shown.difference(&names).cloned());
        self.ended.retain(|name| !names.contains(name));
        self.shown = names;
    }

    /// Tells whether the platform has ended `member`.
    pub fn has_ended(&self, member: &id::Instance) -> bool {
        self.ended.contains(member)
    }

    /// Tells whether majorities of this epoch's members and of those before have seen `roster`.
    pub fn is_settled(&self, roster: &Roster) -> bool {
        let seen = |name: &id::Instance| self.has_seen(name, roster.epoch);
        quorum::reached(&roster.prior, seen) && quorum::reached(&roster.members, seen)
    }

    /// Returns the roster to write after `roster`, or why none may be written.
    pub fn plan(
        &mut self,
        roster: &Roster,
        detector: &Detector,
        now: Instant,
    ) -> Result<Roster, Blocker> {
        self.forget(roster);
        if roster.members.is_empty() {
            return Ok(roster.next(std::slice::from_ref(&self.me), &[]));
        }
        let join = self.joiners(roster, detector, now);
        let remove = self.leavers(roster, detector, now);
        if !roster.contains(&self.me.name) {
            return Err(Blocker::NotMember);
        }
        if join.is_empty() && remove.is_empty() {
            return Err(Blocker::Unchanged);
        }
        if !self.is_settled(roster) {
            return Err(Blocker::Unsettled);
        }
        if !self.in_touch(roster, detector, now) {
            return Err(Blocker::Isolated);
        }
        Ok(roster.next(&join, &remove))
    }

    /// Forgets requests to join that `roster` grants, and what is known of instances of the past.
    fn forget(&mut self, roster: &Roster) {
        self.joining.retain(|name, _| !roster.contains(name));
        let joining = &self.joining;
        let present = |name: &id::Instance| {
            let mut members = roster.members.iter().chain(&roster.prior);
            joining.contains_key(name) || members.any(|member| member.name == *name)
        };
        self.words.retain(|name, _| present(name));
        self.leaving.retain(present);
    }

    /// Tells whether `member` has seen `epoch`, or can support nobody any more.
    fn has_seen(&self, member: &id::Instance, epoch: Epoch) -> bool {
        let seen = self
            .words
            .get(member)
            .is_some_and(|word| word.epoch >= epoch);
        seen || self.has_ended(member)
    }

    /// Tells whether a majority of the members is heard from or has ended.
    fn in_touch(&self, roster: &Roster, detector: &Detector, now: Instant) -> bool {
        quorum::reached(&roster.members, |name| {
            *name == self.me.name || self.has_ended(name) || !detector.is_silent(name, now)
        })
    }

    /// Returns who joins.
    fn joiners(&self, roster: &Roster, detector: &Detector, now: Instant) -> Vec<Member> {
        let new = |(member, asked): &&(Member, Instant)| {
            let gone = self.leaving.contains(&member.name) || self.has_ended(&member.name);
            !gone && !roster.contains(&member.name) && now < *asked + detector.timeout()
        };
        let joining = self.joining.values().filter(new);
        joining.map(|(member, _)| member.clone()).collect()
    }

    /// Returns who is taken out.
    fn leavers(&self, roster: &Roster, detector: &Detector, now: Instant) -> Vec<id::Instance> {
        let names = roster.members.iter().map(|member| &member.name);
        names
            .filter(|name| self.is_out(name, roster, detector, now))
            .cloned()
            .collect()
    }

    /// Tells whether `member` leaves, has ended, or is silent to this instance and to a majority.
    fn is_out(
        &self,
        member: &id::Instance,
        roster: &Roster,
        detector: &Detector,
        now: Instant,
    ) -> bool {
        if self.leaving.contains(member) || self.has_ended(member) {
            return true;
        }
        if *member == self.me.name || !detector.is_silent(member, now) {
            return false;
        }
        quorum::reached(&roster.members, |name| {
            *name == self.me.name || self.calls_silent(name, member)
        })
    }

    /// Tells whether `name` calls `member` silent, or has ended.
    fn calls_silent(&self, name: &id::Instance, member: &id::Instance) -> bool {
        let word = self.words.get(name);
        self.has_ended(name) || word.is_some_and(|word| word.silent.contains(member))
    }
}
