//! The state of leases, and its steps.

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

use super::Acting;

/// The state of leases. Each step is given the present instant and does no I/O.
#[derive(Debug)]
pub struct Table {
    me: Member,
    limits: Limits,
    voter: Voter,
    detector: Detector,
    planner: Planner,
    acting: BTreeMap<Duty, Acting>,
    sequence: u64,
    leaving: bool,
    settled: Option<Instant>,
    /// The latest epoch that each instance was heard to have seen.
    seen: BTreeMap<id::Instance, Epoch>,
    /// The word of a deputy that gave this instance's duty back.
    relief: Option<Release>,
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
            acting: BTreeMap::new(),
            sequence: 0,
            leaving: false,
            settled: None,
            seen: BTreeMap::new(),
            relief: None,
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

    /// Returns the members that are silent.
    pub fn silent(&self, now: Instant) -> Vec<id::Instance> {
        self.detector.silent(now)
    }

    /// Sets the longest time that a dispatched request of any route may take.
    pub fn set_time_limit(&mut self, limit: Duration) {
        self.limits.time_limit = limit;
    }

    /// Asks to leave the roster.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.planner.record_leave(&self.me.name);
    }

    /// Adopts `roster` if it is later than the present one. Returns whether it is.
    pub fn adopt(&mut self, roster: &Roster, now: Instant) -> bool {
        let prior_settled = self.settled_at();
        if !self.voter.adopt(roster) {
            return false;
        }
        self.settled = prior_settled;
        self.detector.adopt(roster, now);
        self.planner.record_view(&self.me.name, roster.epoch, &[]);
        let known = |name: &id::Instance| {
            roster.contains(name) || roster.prior.iter().any(|member| member.name == *name)
        };
        self.seen.retain(|name, _| known(name));
        let before = std::mem::take(&mut self.acting);
        if self.is_member() {
            self.act(Duty(self.me.name.clone()), &before, now);
        }
        for (duty, acting) in &before {
            let deputy = duty.0 != self.me.name && roster.contains(&duty.0);
            if deputy && self.is_member() && acting.since(now).is_some() {
                self.act(duty.clone(), &before, now);
            }
        }
        true
    }

    fn act(&mut self, duty: Duty, before: &BTreeMap<Duty, Acting>, now: Instant) {
        let roster = self.voter.roster();
        let authority = Authority::new(&self.me.name, duty.clone(), roster, self.limits.lease);
        let mut takeover = Takeover::new(roster, self.limits, self.settled, now);
        takeover.record_epoch(&self.me.name, roster.epoch, now);
        // What was heard before this duty was taken up counts too: its sender may be gone.
        for (member, epoch) in &self.seen {
            takeover.record_epoch(member, *epoch, now);
        }
        let acting = Acting::start(authority, takeover, before.get(&duty), now);
        self.acting.insert(duty, acting);
    }

    /// Returns when the present epoch was settled.
    fn settled_at(&self) -> Option<Instant> {
        self.acting
            .values()
            .find_map(|acting| acting.takeover.settled_at())
    }

    /// Takes up duties of silent members, and gives up those that another acts on.
    pub fn deputise(&mut self, now: Instant) {
        let detector = &self.detector;
        let me = &self.me.name;
        self.acting.retain(|duty, acting| {
            let needed = detector.is_silent(&duty.0, now) || acting.since(now).is_some();
            duty.0 == *me || needed
        });
        if !self.is_member() {
            return;
        }
        for name in self.detector.silent(now) {
            let duty = Duty(name);
            if !self.acting.contains_key(&duty) && self.stands_in(&duty, now) {
                self.act(duty, &BTreeMap::new(), now);
            }
        }
    }

    /// Returns whether this instance is the first live deputy for `duty`.
    fn stands_in(&self, duty: &Duty, now: Instant) -> bool {
        if duty.0 == self.me.name {
            return false;
        }
        let mut deputies = placement::deputies(self.roster(), duty);
        let first = deputies.find(|member| !self.is_silent(&member.name, now));
        first.is_some_and(|member| member.name == self.me.name)
    }

    /// Returns the next heartbeat, after supporting this instance's own requests in it.
    pub fn heartbeat(&mut self, bundle: u64, volatile: bool, now: Instant) -> Heartbeat {
        self.sequence += 1;
        let requests: Vec<Request> = self.acting.keys().map(|d| self.request(d)).collect();
        for request in &requests {
            let answer = self.voter.consider(request, now);
            if let Some(acting) = self.acting.get_mut(&request.duty) {
                acting.authority.record_sent(request.sequence, now);
                acting
                    .authority
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
            release: self.relief.clone().filter(|_| duty.0 == self.me.name),
        }
    }

    /// Answers the heartbeat of another instance.
    pub fn answer(&mut self, heartbeat: &Heartbeat, bundle: u64, now: Instant) -> HeartbeatReply {
        let from = &heartbeat.from;
        self.detector.record_message(&from.name, now);
        self.note(&from.name, heartbeat.epoch, &heartbeat.silent, now);
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

    /// Takes in the answer to `heartbeat`. Returns the deputies that act on this instance's duty.
    pub fn answered(
        &mut self,
        heartbeat: &Heartbeat,
        beat: &HeartbeatReply,
        now: Instant,
    ) -> Vec<id::Instance> {
        self.detector.record_message(&beat.from, now);
        self.note(&beat.from, beat.epoch, &beat.silent, now);
        let mut deputies = Vec::new();
        for (request, answer) in heartbeat.requests.iter().zip(&beat.answers) {
            if let Some(acting) = self.acting.get_mut(&request.duty) {
                acting
                    .authority
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

    fn note(&mut self, member: &id::Instance, epoch: Epoch, silent: &[id::Instance], now: Instant) {
        let seen = self.seen.entry(member.clone()).or_default();
        *seen = epoch.max(*seen);
        self.planner.record_view(member, epoch, silent);
        for acting in self.acting.values_mut() {
            acting.takeover.record_epoch(member, epoch, now);
        }
    }

    /// Takes in the platform's list of instances.
    pub fn listed(&mut self, names: &[id::Instance], now: Instant) {
        self.planner.record_platform_list(names);
        let members: Vec<id::Instance> = self
            .roster()
            .prior
            .iter()
            .map(|member| member.name.clone())
            .collect();
        let ended = members.iter().filter(|name| self.planner.has_ended(name));
        for name in ended {
            for acting in self.acting.values_mut() {
                acting.takeover.record_ended(name, now);
            }
        }
    }

    /// Returns the roster to write next, or why none may be written.
    ///
    /// # Errors
    ///
    /// Why the roster stays as it is.
    pub fn plan(&mut self, now: Instant) -> Result<Roster, Blocker> {
        self.planner.plan(self.voter.roster(), &self.detector, now)
    }

    /// Returns the owner of the pool or claim shard called `key`.
    pub fn owner(&self, key: &str, centre: Option<&id::Centre>) -> Option<Duty> {
        let owner = placement::owner(self.roster(), key, centre)?;
        Some(Duty(owner.name.clone()))
    }

    /// Returns the duty that the pool, claim shard or move called `key` belongs to, and since when
    /// this instance holds it, if it does.
    pub fn standing(
        &self,
        key: &str,
        centre: Option<&id::Centre>,
        now: Instant,
    ) -> Option<(Duty, Instant)> {
        let duty = self.owner(key, centre)?;
        let since = self.acting(&duty)?.since(now)?;
        Some((duty, since))
    }

    /// Returns what this instance does on `duty`.
    pub fn acting(&self, duty: &Duty) -> Option<&Acting> {
        self.acting.get(duty)
    }

    /// Returns what this instance does on `duty`.
    pub fn acting_mut(&mut self, duty: &Duty) -> Option<&mut Acting> {
        self.acting.get_mut(duty)
    }

    /// Returns the duties that this instance acts on with authority.
    pub fn held_duties(&self, now: Instant) -> Vec<Duty> {
        let held = self
            .acting
            .iter()
            .filter(|(_, acting)| acting.since(now).is_some());
        held.map(|(duty, _)| duty.clone()).collect()
    }

    /// Returns the members whose reports of live credits are missing, by duty.
    pub fn missing_reports(&self, now: Instant) -> Vec<(Duty, Vec<Member>)> {
        let unready = self.acting.iter().filter_map(|(duty, acting)| {
            let since = acting.since(now)?;
            let waits = !acting.is_ready(since, now);
            waits.then(|| {
                (
                    duty.clone(),
                    self.members(acting.takeover.missing_reports(since)),
                )
            })
        });
        unready.collect()
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

    /// Takes in the report of `member`, asked for at `asked`.
    pub fn reported(
        &mut self,
        duty: &Duty,
        member: &id::Instance,
        report: wire::Report,
        asked: Instant,
        now: Instant,
    ) {
        if let Some(acting) = self.acting.get_mut(duty) {
            acting.takeover.record_report(member, asked, now);
            acting.reported.extend(report.held);
            acting.volatile.insert(member.clone(), report.volatile);
        }
    }

    /// Takes in what an earlier actor gave up, asked for at `asked`.
    pub fn handed(&mut self, pools: Vec<Transfer>, relief: Option<Release>, asked: Instant) {
        if relief.is_some() {
            self.relief = relief;
        }
        let duty = Duty(self.me.name.clone());
        if let Some(acting) = self.acting.get_mut(&duty) {
            acting
                .handed
                .extend(pools.into_iter().map(|handed| (handed, asked)));
        }
    }

    /// Stops acting on `duty`, whose owner is back.
    pub fn step_down(&mut self, duty: &Duty) {
        if duty.0 != self.me.name {
            self.acting.remove(duty);
        }
    }
}
