//! The state of the leases and its transitions.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;
use membership::authority::Authority;
use membership::change::{Blocker, Planner};
use membership::detector::Detector;
use membership::duty::Duty;
use membership::epoch::Epoch;
use membership::member::Member;
use membership::placement;
use membership::roster::Roster;
use membership::takeover::{Limits, Takeover};
use membership::vote::{Refusal, Release, Request, Voter};
use wire::holding::Transfer;
use wire::{Heartbeat, HeartbeatReply};

use super::Role;

/// The state of the leases. Each method takes the current time and does no I/O.
#[derive(Debug)]
pub struct Table {
    me: Member,
    limits: Limits,
    voter: Voter,
    detector: Detector,
    planner: Planner,
    roles: BTreeMap<Duty, Role>,
    sequence: u64,
    leaving: bool,
    epoch_settled: Option<Instant>,
    /// The latest epoch that each instance has reported.
    epochs_seen: BTreeMap<id::Instance, Epoch>,
    /// The release by a deputy that gave this instance's duty back.
    release: Option<Release>,
}

impl Table {
    /// Returns the state of an instance that has seen no roster.
    pub fn new(me: Member, limits: Limits) -> Self {
        Self {
            voter: Voter::new(me.name.clone(), limits.lease, limits.margin),
            detector: Detector::new(me.name.clone(), limits.lease + limits.margin),
            planner: Planner::new(me.clone()),
            me,
            limits,
            roles: BTreeMap::new(),
            sequence: 0,
            leaving: false,
            epoch_settled: None,
            epochs_seen: BTreeMap::new(),
            release: None,
        }
    }

    /// Returns this instance as a member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the roster.
    pub fn roster(&self) -> &Roster {
        self.voter.roster()
    }

    /// Returns whether this instance is a member.
    pub fn is_member(&self) -> bool {
        self.roster().contains(&self.me.name)
    }

    /// Returns when `member` was last heard from.
    pub fn last_heard(&self, member: &id::Instance) -> Option<Instant> {
        self.detector.last_heard(member)
    }

    /// Returns whether `member` is silent.
    pub fn is_silent(&self, member: &id::Instance, now: Instant) -> bool {
        *member != self.me.name && self.detector.is_silent(member, now)
    }

    /// Returns the silent members: those not heard from within the detector's timeout.
    pub fn silent_members(&self, now: Instant) -> Vec<id::Instance> {
        self.detector.silent(now)
    }

    /// Sets the longest time limit of any route, for requests that earlier actors dispatched.
    pub fn set_time_limit(&mut self, limit: Duration) {
        self.limits.time_limit = limit;
    }

    /// Requests to leave the roster.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.planner.record_leave(&self.me.name);
    }

    /// Adopts `roster` if it is newer than the current one. Returns whether it was adopted.
    pub fn adopt(&mut self, roster: &Roster, now: Instant) -> bool {
        let prior_settled = self.settled_at();
        if !self.voter.adopt(roster) {
            return false;
        }
        self.epoch_settled = prior_settled;
        self.detector.adopt(roster, now);
        self.planner.record_view(&self.me.name, roster.epoch, &[]);
        let known = |name: &id::Instance| {
            roster.contains(name) || roster.prior.iter().any(|member| member.name == *name)
        };
        self.epochs_seen.retain(|name, _| known(name));
        let before = std::mem::take(&mut self.roles);
        if self.is_member() {
            self.take_on(Duty(self.me.name.clone()), &before, now);
        }
        for (duty, role) in &before {
            let is_deputy = duty.0 != self.me.name && roster.contains(&duty.0);
            if is_deputy && self.is_member() && role.since(now).is_some() {
                self.take_on(duty.clone(), &before, now);
            }
        }
        true
    }

    fn take_on(&mut self, duty: Duty, before: &BTreeMap<Duty, Role>, now: Instant) {
        let roster = self.voter.roster();
        let authority = Authority::new(&self.me.name, duty.clone(), roster, self.limits.lease);
        let mut takeover = Takeover::new(roster, self.limits, self.epoch_settled, now);
        takeover.record_epoch(&self.me.name, roster.epoch, now);
        // Epochs reported before this role began count too: their senders may have stopped since.
        for (member, epoch) in &self.epochs_seen {
            takeover.record_epoch(member, *epoch, now);
        }
        let role = Role::new(authority, takeover, before.get(&duty), now);
        self.roles.insert(duty, role);
    }

    /// Returns when the current epoch was settled.
    fn settled_at(&self) -> Option<Instant> {
        self.roles
            .values()
            .find_map(|role| role.takeover.settled_at())
    }

    /// Takes on the duties of silent members, and drops those that are no longer needed.
    pub fn update_deputy_roles(&mut self, now: Instant) {
        let detector = &self.detector;
        let me = &self.me.name;
        self.roles.retain(|duty, role| {
            let is_needed = detector.is_silent(&duty.0, now) || role.since(now).is_some();
            duty.0 == *me || is_needed
        });
        if !self.is_member() {
            return;
        }
        for name in self.detector.silent(now) {
            let duty = Duty(name);
            if !self.roles.contains_key(&duty) && self.is_first_deputy(&duty, now) {
                self.take_on(duty, &BTreeMap::new(), now);
            }
        }
    }

    /// Returns whether this instance is the first live deputy for `duty`.
    fn is_first_deputy(&self, duty: &Duty, now: Instant) -> bool {
        if duty.0 == self.me.name {
            return false;
        }
        let mut deputies = placement::deputies(self.roster(), duty);
        let first = deputies.find(|member| !self.is_silent(&member.name, now));
        first.is_some_and(|member| member.name == self.me.name)
    }

    /// Returns the next heartbeat, and records this instance's own support for its requests.
    pub fn heartbeat(&mut self, bundle: u64, volatile: bool, now: Instant) -> Heartbeat {
        self.sequence += 1;
        let requests: Vec<Request> = self.roles.keys().map(|d| self.request(d)).collect();
        for request in &requests {
            let answer = self.voter.consider(request, now);
            if let Some(role) = self.roles.get_mut(&request.duty) {
                role.authority.record_sent(request.sequence, now);
                role.authority
                    .record_answer(&self.me.name, request.sequence, &answer, now);
            }
        }
        Heartbeat {
            from: self.me.clone(),
            epoch: self.voter.epoch(),
            leaving: self.leaving,
            silent: self.detector.silent(now),
            bundle,
            volatile,
            requests,
        }
    }

    fn request(&self, duty: &Duty) -> Request {
        Request {
            epoch: self.voter.epoch(),
            duty: duty.clone(),
            actor: self.me.name.clone(),
            sequence: self.sequence,
            release: self.release.clone().filter(|_| duty.0 == self.me.name),
        }
    }

    /// Answers the heartbeat of another instance.
    pub fn answer(&mut self, heartbeat: &Heartbeat, bundle: u64, now: Instant) -> HeartbeatReply {
        let from = &heartbeat.from;
        self.detector.record_message(&from.name, now);
        self.record_view(&from.name, heartbeat.epoch, &heartbeat.silent, now);
        if heartbeat.leaving {
            self.planner.record_leave(&from.name);
        } else if !self.roster().contains(&from.name) {
            self.planner.record_join_request(from, now);
        }
        let requests = heartbeat.requests.iter();
        let answers = requests
            .map(|request| self.voter.consider(request, now))
            .collect();
        HeartbeatReply {
            from: self.me.name.clone(),
            epoch: self.voter.epoch(),
            silent: self.detector.silent(now),
            bundle,
            answers,
        }
    }

    /// Records the answer to `heartbeat`. Returns the deputies that act on this instance's duty.
    pub fn record_answer(
        &mut self,
        heartbeat: &Heartbeat,
        beat: &HeartbeatReply,
        now: Instant,
    ) -> Vec<id::Instance> {
        self.detector.record_message(&beat.from, now);
        self.record_view(&beat.from, beat.epoch, &beat.silent, now);
        let mut deputies = Vec::new();
        for (request, answer) in heartbeat.requests.iter().zip(&beat.answers) {
            if let Some(role) = self.roles.get_mut(&request.duty) {
                role.authority
                    .record_answer(&beat.from, request.sequence, answer, now);
            }
            match &answer.refusal {
                Some(Refusal::Taken(actor)) if request.duty.0 == self.me.name => {
                    deputies.push(actor.clone());
                }
                _ => {}
            }
        }
        deputies
    }

    fn record_view(
        &mut self,
        member: &id::Instance,
        epoch: Epoch,
        silent: &[id::Instance],
        now: Instant,
    ) {
        let seen = self.epochs_seen.entry(member.clone()).or_default();
        *seen = epoch.max(*seen);
        self.planner.record_view(member, epoch, silent);
        for role in self.roles.values_mut() {
            role.takeover.record_epoch(member, epoch, now);
        }
    }

    /// Records the platform's list of instances.
    pub fn record_platform_list(&mut self, names: &[id::Instance], now: Instant) {
        self.planner.record_platform_list(names);
        let members: Vec<id::Instance> = self
            .roster()
            .prior
            .iter()
            .map(|member| member.name.clone())
            .collect();
        let ended = members.iter().filter(|name| self.planner.has_ended(name));
        for name in ended {
            for role in self.roles.values_mut() {
                role.takeover.record_ended(name, now);
            }
        }
    }

    /// Returns the roster to write next.
    ///
    /// # Errors
    ///
    /// The reason for which no new roster may be written.
    pub fn plan(&mut self, now: Instant) -> Result<Roster, Blocker> {
        self.planner.plan(self.voter.roster(), &self.detector, now)
    }

    /// Returns the owner of the pool or claim shard called `key`.
    pub fn owner(&self, key: &str, centre: Option<&id::Centre>) -> Option<Duty> {
        let owner = placement::owner(self.roster(), key, centre)?;
        Some(Duty(owner.name.clone()))
    }

    /// Returns the duty that the pool, claim shard or rollout called `key` belongs to, and since
    /// when this instance has held it; `None` if it does not hold it.
    pub fn tenure(
        &self,
        key: &str,
        centre: Option<&id::Centre>,
        now: Instant,
    ) -> Option<(Duty, Instant)> {
        let duty = self.owner(key, centre)?;
        let since = self.role(&duty)?.since(now)?;
        Some((duty, since))
    }

    /// Returns this instance's role on `duty`, if it has one.
    pub fn role(&self, duty: &Duty) -> Option<&Role> {
        self.roles.get(duty)
    }

    /// Returns this instance's role on `duty`, if it has one.
    pub fn role_mut(&mut self, duty: &Duty) -> Option<&mut Role> {
        self.roles.get_mut(duty)
    }

    /// Returns the duties that this instance acts on with authority.
    pub fn held_duties(&self, now: Instant) -> Vec<Duty> {
        let held = self
            .roles
            .iter()
            .filter(|(_, role)| role.since(now).is_some());
        held.map(|(duty, _)| duty.clone()).collect()
    }

    /// Returns the members whose reports of live credits are missing, by duty.
    pub fn missing_reports(&self, now: Instant) -> Vec<(Duty, Vec<Member>)> {
        let missing = self.roles.iter().filter_map(|(duty, role)| {
            let since = role.since(now)?;
            let is_waiting = !role.is_ready(since, now);
            is_waiting.then(|| {
                (
                    duty.clone(),
                    self.members(role.takeover.missing_reports(since)),
                )
            })
        });
        missing.collect()
    }

    fn members<'a, I>(&self, names: I) -> Vec<Member>
    where
        I: Iterator<Item = &'a id::Instance>,
    {
        let mut members: Vec<Member> = names
            .filter_map(|name| self.roster().member(name))
            .cloned()
            .collect();
        members.dedup();
        members
    }

    /// Records the report of `member`, requested at `requested_at`.
    pub fn record_report(
        &mut self,
        duty: &Duty,
        member: &id::Instance,
        report: wire::Report,
        requested_at: Instant,
        now: Instant,
    ) {
        if let Some(role) = self.roles.get_mut(duty) {
            role.takeover.record_report(member, requested_at, now);
            role.reported_credits.extend(report.held);
            role.volatile_reports
                .insert(member.clone(), report.volatile);
        }
    }

    /// Records the pools and the duty that an earlier actor handed over, requested at `requested_at`.
    pub fn record_handover(
        &mut self,
        pools: Vec<Transfer>,
        release: Option<Release>,
        requested_at: Instant,
    ) {
        if release.is_some() {
            self.release = release;
        }
        let duty = Duty(self.me.name.clone());
        if let Some(role) = self.roles.get_mut(&duty) {
            role.handed_pools
                .extend(pools.into_iter().map(|handed| (handed, requested_at)));
        }
    }

    /// Ends the deputy role on `duty`, whose owner is available again.
    pub fn step_down(&mut self, duty: &Duty) {
        if duty.0 != self.me.name {
            self.roles.remove(duty);
        }
    }
}
