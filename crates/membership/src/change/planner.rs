//! Decides whether and how the roster changes.

use std::collections::{BTreeMap, BTreeSet};

use clock::Instant;
use contract::id;

use crate::change::Blocker;
use crate::detector::Detector;
use crate::epoch::Epoch;
use crate::member::Member;
use crate::quorum;
use crate::roster::Roster;

/// The latest report of one member.
#[derive(Clone, Debug, Default)]
struct View {
    /// The latest epoch that it has seen.
    epoch: Epoch,
    /// The members that it considers silent.
    silent: BTreeSet<id::Instance>,
}

/// Decides whether this instance may write the next roster, and with which members.
///
/// The caller writes the result conditionally on the revision of the current roster that it has
/// read. The new roster is in force only once it has been read back, because another instance may
/// write a different one first.
#[derive(Clone, Debug)]
pub struct Planner {
    me: Member,
    views: BTreeMap<id::Instance, View>,
    /// The instances that asked to join, with the time of the last request.
    joining: BTreeMap<id::Instance, (Member, Instant)>,
    leaving: BTreeSet<id::Instance>,
    /// The platform's last list.
    listed: BTreeSet<id::Instance>,
    /// The instances that have disappeared from the platform's list.
    ended: BTreeSet<id::Instance>,
}

impl Planner {
    /// Returns the planner of `me`.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            views: BTreeMap::new(),
            joining: BTreeMap::new(),
            leaving: BTreeSet::new(),
            listed: BTreeSet::new(),
            ended: BTreeSet::new(),
        }
    }

    /// Records that `member` has seen `epoch` and considers the members in `silent` silent.
    pub fn record_view(&mut self, member: &id::Instance, epoch: Epoch, silent: &[id::Instance]) {
        let view = self.views.entry(member.clone()).or_default();
        view.epoch = view.epoch.max(epoch);
        view.silent = silent.iter().cloned().collect();
    }

    /// Records that `member` asks to join. It has to repeat the request until it has joined,
    /// because requests older than the detector's timeout are ignored.
    pub fn record_join_request(&mut self, member: &Member, now: Instant) {
        self.joining
            .insert(member.name.clone(), (member.clone(), now));
    }

    /// Records that `member` has announced that it leaves.
    pub fn record_leave(&mut self, member: &id::Instance) {
        self.leaving.insert(member.clone());
    }

    /// Records the platform's list of instances. An instance that was in an earlier list but is not
    /// in this one has ended, unless a later list contains it again.
    pub fn record_platform_list(&mut self, names: &[id::Instance]) {
        let names: BTreeSet<id::Instance> = names.iter().cloned().collect();
        self.ended.extend(self.listed.difference(&names).cloned());
        self.ended.retain(|name| !names.contains(name));
        self.listed = names;
    }

    /// Returns whether the platform has ended `member`.
    pub fn has_ended(&self, member: &id::Instance) -> bool {
        self.ended.contains(member)
    }

    /// Returns whether majorities of the members of `roster` and of the previous epoch's have seen
    /// it.
    pub fn is_settled(&self, roster: &Roster) -> bool {
        let seen = |name: &id::Instance| self.has_seen(name, roster.epoch);
        quorum::reached(&roster.prior, seen) && quorum::reached(&roster.members, seen)
    }

    /// Returns the roster to write after `roster`.
    ///
    /// # Errors
    ///
    /// The reason why none may be written.
    pub fn plan(
        &mut self,
        roster: &Roster,
        detector: &Detector,
        now: Instant,
    ) -> Result<Roster, Blocker> {
        self.discard_obsolete(roster);
        if roster.members.is_empty() {
            return Ok(roster.next(std::slice::from_ref(&self.me), &[]));
        }
        let join = self.joiners(roster, detector, now);
        let remove = self.removals(roster, detector, now);
        if !roster.contains(&self.me.name) {
            return Err(Blocker::NotMember);
        }
        if join.is_empty() && remove.is_empty() {
            return Err(Blocker::Unchanged);
        }
        if !self.is_settled(roster) {
            return Err(Blocker::Unsettled);
        }
        if !self.hears_majority(roster, detector, now) {
            return Err(Blocker::Isolated);
        }
        Ok(roster.next(&join, &remove))
    }

    /// Discards requests to join that `roster` has fulfilled, and the state of former members.
    fn discard_obsolete(&mut self, roster: &Roster) {
        self.joining.retain(|name, _| !roster.contains(name));
        let joining = &self.joining;
        let is_current = |name: &id::Instance| {
            let mut members = roster.members.iter().chain(&roster.prior);
            joining.contains_key(name) || members.any(|member| member.name == *name)
        };
        self.views.retain(|name, _| is_current(name));
        self.leaving.retain(is_current);
    }

    /// Returns whether `member` has seen `epoch`, or has ended and can no longer support any actor.
    fn has_seen(&self, member: &id::Instance, epoch: Epoch) -> bool {
        let seen = self
            .views
            .get(member)
            .is_some_and(|view| view.epoch >= epoch);
        seen || self.has_ended(member)
    }

    /// Returns whether a majority of the members is not silent, or has ended.
    fn hears_majority(&self, roster: &Roster, detector: &Detector, now: Instant) -> bool {
        quorum::reached(&roster.members, |name| {
            *name == self.me.name || self.has_ended(name) || !detector.is_silent(name, now)
        })
    }

    /// Returns the instances that join.
    fn joiners(&self, roster: &Roster, detector: &Detector, now: Instant) -> Vec<Member> {
        let is_new = |(member, asked_at): &&(Member, Instant)| {
            let is_gone = self.leaving.contains(&member.name) || self.has_ended(&member.name);
            !is_gone && !roster.contains(&member.name) && now < *asked_at + detector.timeout()
        };
        let joining = self.joining.values().filter(is_new);
        joining.map(|(member, _)| member.clone()).collect()
    }

    /// Returns the members to remove.
    fn removals(&self, roster: &Roster, detector: &Detector, now: Instant) -> Vec<id::Instance> {
        let names = roster.members.iter().map(|member| &member.name);
        names
            .filter(|name| self.has_to_be_removed(name, roster, detector, now))
            .cloned()
            .collect()
    }

    /// Returns whether `member` leaves, has ended, or is silent to this instance and to a majority.
    fn has_to_be_removed(
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
            *name == self.me.name || self.considers_silent(name, member)
        })
    }

    /// Returns whether `name` considers `member` silent, or has ended.
    fn considers_silent(&self, name: &id::Instance, member: &id::Instance) -> bool {
        let view = self.views.get(name);
        self.has_ended(name) || view.is_some_and(|view| view.silent.contains(member))
    }
}
