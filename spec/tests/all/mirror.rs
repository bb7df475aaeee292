//! Drives the types of the `membership` crate with the events of the specification.

use std::time::Duration;

use clock::Instant;
use contract::id;
use membership::authority::Authority;
use membership::change::Planner;
use membership::duty::Duty;
use membership::epoch::Epoch;
use membership::member::Member;
use membership::roster::Roster;
use membership::takeover::{Limits, Takeover};
use membership::vote::{Answer, Release, Request, Voter};
use spec::grant::{self, Event, Index, Scope, State, INSTANCES};

/// One tick of the specification.
const TICK: Duration = Duration::from_secs(1);

/// How long an event takes: negligible, but no two events happen at the same instant.
const EVENT_DURATION: Duration = Duration::from_micros(1);

/// When a walk begins: late enough that everything before has expired.
const WALK_START: Instant = Instant::from_millis(1_000_000);

/// One instance, represented by the types of `membership`.
#[derive(Clone)]
struct Instance {
    voter: Voter,
    planner: Planner,
    authority: Authority,
    takeover: Takeover,
    release: Option<Release>,
    answers: [Option<(u64, Answer)>; INSTANCES as usize],
}

/// All instances, represented by the types of `membership`.
#[derive(Clone)]
pub(crate) struct Mirror {
    scope: Scope,
    limits: Limits,
    now: Instant,
    sequence: u64,
    instances: Vec<Instance>,
}

/// Returns the name of an instance.
fn name(index: Index) -> id::Instance {
    index.to_string().as_str().into()
}

/// Returns the member with the index `index`.
fn member(index: Index) -> Member {
    let address = ([127, 0, 0, 1], 4000 + u16::from(index)).into();
    Member {
        name: name(index),
        address,
        centre: "east".into(),
    }
}

/// Converts a roster of the specification to one of `membership`.
fn roster(roster: grant::Roster) -> Roster {
    let members = |mask: grant::Mask| mask.iter().map(member).collect();
    let epoch = Epoch(roster.epoch.into());
    Roster {
        epoch,
        members: members(roster.members),
        prior: members(roster.prior),
    }
}

impl Mirror {
    /// Returns the mirror of the initial state.
    pub(crate) fn new(scope: &Scope, state: &State) -> Self {
        let limits = Limits {
            lease: TICK * scope.lease.into(),
            margin: TICK * scope.margin.into(),
            credit_ttl: TICK * scope.credit_ttl.into(),
            time_limit: TICK * scope.time_limit.into(),
        };
        let instances = (0..INSTANCES).map(|index| {
            let roster = roster(state.instances[index].actor.roster);
            let mut voter = Voter::new(name(index), limits.lease, limits.margin);
            voter.adopt(&roster);
            Instance {
                voter,
                planner: Planner::new(member(index)),
                authority: Authority::new(
                    &name(index),
                    duty(scope, state, index),
                    &roster,
                    limits.lease,
                ),
                takeover: Takeover::new(&roster, limits, None, Instant::ZERO),
                release: None,
                answers: Default::default(),
            }
        });
        let instances = instances.collect();
        let mut mirror = Self {
            scope: scope.clone(),
            limits,
            now: WALK_START,
            sequence: 0,
            instances,
        };
        mirror.grant_initial_authority(state);
        mirror.inform(state);
        mirror
    }

    /// Gives the first owner authority and all reports.
    fn grant_initial_authority(&mut self, state: &State) {
        let Some(owner) = state.stored_roster.owner(self.scope.order) else {
            return;
        };
        for member in state.stored_roster.members.iter() {
            let answers = self.vote(state, owner, member);
            assert!(answers.is_some());
            self.receive(owner, member);
            let takeover = &mut self.instances[usize::from(owner)].takeover;
            takeover.record_report(&name(member), self.now, self.now);
        }
    }

    /// Applies `event`, which leads from `before` to `after`.
    pub(crate) fn follow(&mut self, before: &State, event: Event, after: &State) {
        self.now += EVENT_DURATION;
        match event {
            Event::Tick(_) => self.now += TICK,
            Event::Heartbeat(actor, member) => {
                assert!(self.vote(before, actor, member).is_some(), "{event:?}");
            }
            Event::ReceiveAnswer(actor, member) => self.receive(actor, member),
            Event::Write(_, next, _) => self.write(before, event, next),
            Event::HandOver(from, to) => self.hand_over(before, from, to),
            Event::Report(actor, member) => self.report(actor, member),
            _ => {}
        }
        for index in 0..INSTANCES {
            self.adopt(before, after, index);
        }
        self.inform(after);
    }

    /// Asserts that authority, takeovers and settled rosters are as in the specification.
    pub(crate) fn compare(&self, state: &State) {
        for index in self
            .scope
            .actors
            .iter()
            .filter(|&index| state.instances[index].alive)
        {
            let instance = &self.instances[usize::from(index)];
            let actor = &state.instances[index].actor;
            assert_eq!(
                instance.authority.holds(self.now),
                actor.holds(),
                "authority of {index}"
            );
            assert_eq!(
                self.may_grant(index),
                actor.may_grant(),
                "takeover of {index}"
            );
            let own = roster(state.instances[index].roster);
            let settled = grant::is_settled(state, state.instances[index].roster);
            assert_eq!(
                instance.planner.is_settled(&own),
                settled,
                "planner of {index}"
            );
        }
    }

    /// Returns whether both `actor` itself and `member` support a heartbeat of `actor` that arrives
    /// now.
    pub(crate) fn supports(&self, state: &State, actor: Index, member: Index) -> bool {
        self.clone().vote(state, actor, member).is_some()
    }

    /// Handles a heartbeat of `actor` at `actor` itself and at `member`. Returns `None` if one of
    /// them refuses.
    fn vote(&mut self, state: &State, actor: Index, member: Index) -> Option<()> {
        self.sequence += 1;
        let acting = &mut self.instances[usize::from(actor)];
        let request = Request {
            epoch: acting.authority.epoch(),
            duty: duty(&self.scope, state, actor),
            actor: name(actor),
            sequence: self.sequence,
            release: acting.release.clone(),
        };
        let own = acting.voter.consider(&request, self.now);
        acting.authority.record_sent(self.sequence, self.now);
        acting
            .authority
            .record_answer(&name(actor), self.sequence, &own, self.now);
        own.supported.then_some(())?;
        if member == actor {
            return Some(());
        }
        let answer = self.instances[usize::from(member)]
            .voter
            .consider(&request, self.now);
        answer.supported.then_some(())?;
        let acting = &mut self.instances[usize::from(actor)];
        acting.answers[usize::from(member)] = Some((self.sequence, answer));
        Some(())
    }

    /// Delivers the answer of `member` to `actor`.
    fn receive(&mut self, actor: Index, member: Index) {
        let acting = &mut self.instances[usize::from(actor)];
        if let Some((sequence, answer)) = acting.answers[usize::from(member)].take() {
            acting
                .authority
                .record_answer(&name(member), sequence, &answer, self.now);
        }
    }

    /// Asserts that the roster written is the one that `membership` derives, and that its base is
    /// settled.
    fn write(&self, before: &State, event: Event, next: grant::Roster) {
        let Event::Write(writer, ..) = event else {
            return;
        };
        let base = before.instances[writer].roster;
        let join: Vec<Member> = next
            .members
            .iter()
            .filter(|&i| !base.members.has(i))
            .map(member)
            .collect();
        let remove: Vec<id::Instance> = base
            .members
            .iter()
            .filter(|&i| !next.members.has(i))
            .map(name)
            .collect();
        assert_eq!(roster(base).next(&join, &remove), roster(next));
        assert!(self.instances[usize::from(writer)]
            .planner
            .is_settled(&roster(base)));
    }

    /// Hands over from one actor to another.
    fn hand_over(&mut self, before: &State, from: Index, to: Index) {
        let now = self.now;
        let adopted = Epoch(before.instances[from].roster.epoch.into());
        let successor = self.instances[usize::from(to)].authority.epoch();
        let authority = &mut self.instances[usize::from(from)].authority;
        let across = successor > authority.epoch();
        let handed_over = authority.hand_over(adopted, now);
        let resigned = authority.resign(now);
        let handover = if across { handed_over } else { resigned };
        let Some(handover) = handover else {
            panic!("no handover of {from}")
        };
        let successor = &mut self.instances[usize::from(to)];
        successor.release = Some(handover.release.clone());
        successor.takeover.record_handover(&handover, now);
        self.instances[usize::from(from)].answers = Default::default();
    }

    /// Delivers the report of `member` to `actor`.
    fn report(&mut self, actor: Index, member: Index) {
        let takeover = &mut self.instances[usize::from(actor)].takeover;
        takeover.record_report(&name(member), self.now, self.now);
    }

    /// Makes an instance vote and act under the rosters that it has after an event.
    fn adopt(&mut self, before: &State, after: &State, index: Index) {
        let new = roster(after.instances[index].roster);
        let may_grant = self.may_grant(index);
        let instance = &mut self.instances[usize::from(index)];
        instance.voter.adopt(&new);
        let epoch = after.instances[index].actor.roster.epoch;
        let old = before.instances[index].actor.roster.epoch;
        if epoch == old {
            return;
        }
        let adopted = roster(after.instances[index].actor.roster);
        let handover = instance
            .authority
            .hand_over(adopted.epoch, self.now)
            .filter(|_| may_grant);
        let settled = instance.takeover.settled_at().filter(|_| epoch == old + 1);
        let duty = duty(&self.scope, after, index);
        instance.authority = Authority::new(&name(index), duty, &adopted, self.limits.lease);
        instance.takeover = Takeover::new(&adopted, self.limits, settled, self.now);
        instance.answers = Default::default();
        instance.release = None;
        if let Some(handover) = handover {
            instance.takeover.record_handover(&handover, self.now);
        }
    }

    /// Informs every instance of the epochs of all others, of crashes, and of the reports of the
    /// instances that request no credits.
    fn inform(&mut self, state: &State) {
        let now = self.now;
        let all: Vec<id::Instance> = (0..INSTANCES).map(name).collect();
        let alive = (0..INSTANCES).filter(|&index| state.instances[index].alive);
        let alive: Vec<id::Instance> = alive.map(name).collect();
        for instance in &mut self.instances {
            instance.planner.record_platform_list(&all);
            instance.planner.record_platform_list(&alive);
            for other in 0..INSTANCES {
                let epoch = Epoch(state.instances[other].roster.epoch.into());
                instance.planner.record_view(&name(other), epoch, &[]);
                instance.takeover.record_epoch(&name(other), epoch, now);
                if !state.instances[other].alive {
                    instance.takeover.record_ended(&name(other), now);
                }
                if !self.scope.entries.has(other) {
                    instance.takeover.record_report(&name(other), now, now);
                }
            }
        }
    }

    /// Returns whether an instance may grant credits according to `membership`.
    fn may_grant(&self, index: Index) -> bool {
        let instance = &self.instances[usize::from(index)];
        let acquired = instance.authority.acquired_at();
        let ready = acquired.and_then(|acquired| instance.takeover.ready_at(acquired));
        instance.authority.holds(self.now) && ready.is_some_and(|ready| ready <= self.now)
    }
}

/// Returns the duty of the pool under the roster of an actor.
fn duty(scope: &Scope, state: &State, actor: Index) -> Duty {
    let owner = state.instances[actor].actor.roster.owner(scope.order);
    Duty(name(owner.unwrap_or(actor)))
}
