//! Compares votes and authority with a naive model that keeps the whole history.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use clock::Instant;
use membership::authority::Authority;
use membership::duty::Duty;
use membership::epoch::Epoch;
use membership::vote::{Release, Request, Voter};

use crate::world::{name, roster, LEASE, MARGIN};

/// The number of members, each of which acts on the duty of member 0.
const MEMBERS: usize = 3;

/// A vote that was given.
struct Vote {
    member: usize,
    actor: usize,
    sequence: u64,
    given_at: Instant,
}

/// All heartbeats, votes and received answers.
#[derive(Default)]
struct History {
    /// The actor, number and time of each heartbeat.
    sent: Vec<(usize, u64, Instant)>,
    votes: Vec<Vote>,
    /// The indices of the votes whose answers the actor has received.
    answered: Vec<usize>,
}

impl History {
    /// Returns whether `member` may support `actor`: it has not voted, its last vote went to the
    /// same actor with a lower number, has expired, or is covered by the release.
    fn allows(&self, member: usize, request: &Request, actor: usize, now: Instant) -> bool {
        let Some(last) = self.votes.iter().rev().find(|vote| vote.member == member) else {
            return true;
        };
        if last.actor == actor {
            return request.sequence > last.sequence;
        }
        let release = request.release.as_ref();
        let released =
            release.is_some_and(|r| r.actor == name(last.actor) && r.sequence >= last.sequence);
        released || now >= last.given_at + LEASE + MARGIN
    }

    /// Returns whether the heartbeat that `vote` answers was sent by its actor less than a lease
    /// ago.
    fn is_recent(&self, vote: &Vote, now: Instant) -> bool {
        let mut sent = self.sent.iter();
        sent.any(|&(actor, sequence, at)| {
            actor == vote.actor && sequence == vote.sequence && now < at + LEASE
        })
    }

    /// Returns whether `actor` has answers to recent heartbeats from itself and enough others.
    fn holds(&self, actor: usize, now: Instant) -> bool {
        let recent = |member: usize| {
            let mut answers = self.answered.iter().map(|&index| &self.votes[index]);
            answers.any(|v| v.member == member && v.actor == actor && self.is_recent(v, now))
        };
        recent(actor) && 2 * (0..MEMBERS).filter(|&member| recent(member)).count() > MEMBERS
    }
}

/// Applies random heartbeats, late answers and waits to both the code and the model.
fn compare(u: &mut Unstructured<'_>) -> Result<()> {
    let roster = roster(0..MEMBERS);
    let mut voters: Vec<Voter> = (0..MEMBERS)
        .map(|i| Voter::new(name(i), LEASE, MARGIN))
        .collect();
    voters
        .iter_mut()
        .for_each(|voter| assert!(voter.adopt(&roster)));
    let authority = |i| Authority::new(&name(i), Duty(name(0)), &roster, LEASE);
    let mut authorities: Vec<Authority> = (0..MEMBERS).map(authority).collect();
    let mut history = History::default();
    let mut now = Instant::ZERO;
    let mut sequence = 0;
    let mut in_transit = Vec::new();
    for _ in 0..u.int_in_range(1..=60)? {
        now += Duration::from_millis(u.int_in_range(0..=1500)?);
        let actor = u.choose_index(MEMBERS)?;
        sequence += 1;
        authorities[actor].record_sent(sequence, now);
        history.sent.push((actor, sequence, now));
        let release = Release {
            actor: name(u.choose_index(MEMBERS)?),
            sequence: sequence / 2,
        };
        let request = Request {
            epoch: Epoch(1),
            duty: Duty(name(0)),
            actor: name(actor),
            sequence: sequence - u.int_in_range(0..=u64::from(sequence > 1))?,
            release: u.ratio(1, 8)?.then_some(release),
        };
        now += Duration::from_millis(u.int_in_range(0..=500)?);
        for (member, voter) in voters.iter_mut().enumerate() {
            let expected = history.allows(member, &request, actor, now);
            let answer = voter.consider(&request, now);
            assert_eq!(answer.supported, expected);
            if answer.supported {
                let sequence = request.sequence;
                history.votes.push(Vote {
                    member,
                    actor,
                    sequence,
                    given_at: now,
                });
                in_transit.push((history.votes.len() - 1, answer));
            }
        }
        for _ in 0..u.int_in_range(0..=in_transit.len())? {
            let (index, answer) = in_transit.swap_remove(u.choose_index(in_transit.len())?);
            let vote = &history.votes[index];
            history.answered.push(index);
            let from = name(vote.member);
            authorities[vote.actor].record_answer(&from, vote.sequence, &answer, now);
        }
        for (actor, authority) in authorities.iter().enumerate() {
            assert_eq!(authority.holds(now), history.holds(actor, now));
        }
    }
    Ok(())
}

#[test]
fn votes_and_authority_match_the_model() {
    arbtest::arbtest(compare).budget_ms(2_000);
}
