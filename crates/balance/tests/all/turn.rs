//! Tests of how instances take turns.

use std::collections::HashMap;
use std::time::Duration;

use arbtest::arbtest;
use balance::query::{Candidate, Choice};
use balance::server::Key;
use balance::turn::{Backlog, Turn, Turns};
use clock::Instant;

use crate::support::{at, ME, PEER};

fn candidate(key: u64, changed_at: Instant, is_saturated: bool) -> Candidate {
    Candidate {
        cost: 1.0,
        choice: Choice {
            key: Key(key),
            expected: Duration::ZERO,
            staleness_penalty: Duration::ZERO,
            requests: 0,
            report_age: None,
            cold: false,
            waiting_instances: 0,
            is_saturated,
            changed_at,
            state_id: 7,
        },
    }
}

fn backlog(priority: u32, length: u32) -> Backlog {
    Backlog { priority, length }
}

fn announce(turns: &mut Turns, instance: u64, backlog: Backlog, now: Instant) {
    let backlogs = HashMap::from([("gauge".to_owned(), backlog)]);
    turns.set_backlogs(instance, backlogs, now);
}

fn may_send(turns: &mut Turns, own: u64, backlog: Backlog, now: Instant) -> bool {
    let available = candidate(1, at(100), false);
    matches!(
        turns.take("gauge", own, backlog, vec![available], now),
        Turn::Now(_)
    )
}

/// All waiting instances compute the same order, in which exactly one may send at once, and each
/// one may send eventually.
#[test]
fn one_instance_goes_first() {
    arbtest(|u| {
        let backlogs: Vec<Backlog> = (0..u.int_in_range(2..=30_usize)?)
            .map(|_| Ok(backlog(u.int_in_range(0..=2)?, u.int_in_range(1..=9)?)))
            .collect::<Result<_, arbtest::arbitrary::Error>>()?;
        let all: Vec<(u64, Backlog)> = (1..).zip(backlogs).collect();
        let mut first = Vec::new();
        for (instance, own_backlog) in &all {
            let mut turns = Turns::default();
            for (other, backlog) in all.iter().filter(|(i, _)| i != instance) {
                announce(&mut turns, *other, *backlog, at(100));
            }
            if may_send(&mut turns, *instance, *own_backlog, at(100)) {
                first.push(own_backlog.priority);
            }
            // Waiting requests check again and again.
            let longest_wait_ms = 4 * u64::try_from(all.len()).unwrap();
            let sends = (0..=longest_wait_ms)
                .any(|ms| may_send(&mut turns, *instance, *own_backlog, at(100 + ms)));
            assert!(sends, "no instance waits forever");
        }
        let most_urgent = all.iter().map(|(_, l)| l.priority).min();
        assert_eq!(first, most_urgent.into_iter().collect::<Vec<_>>());
        Ok(())
    });
}

/// A server can become available as estimates decay, long after a request last started or ended
/// there.
#[test]
fn one_instance_goes_first_when_estimates_decay() {
    let all: Vec<u64> = (1..=20).collect();
    let now = at(5000);
    let first = all.iter().filter(|own| {
        let mut turns = Turns::default();
        for instance in all.iter().filter(|i| i != own) {
            announce(&mut turns, *instance, backlog(1, 1), now);
        }
        may_send(&mut turns, **own, backlog(1, 1), now)
    });
    assert_eq!(first.count(), 1);
}

#[test]
fn urgent_requests_go_before_others() {
    let mut turns = Turns::default();
    announce(&mut turns, PEER, backlog(1, 50), at(99));
    assert!(may_send(&mut turns, ME, backlog(0, 1), at(100)));
    assert!(!may_send(&mut turns, ME, backlog(2, 50), at(100)));
    assert!(turns.is_contended("gauge", 1, at(100)));
    assert!(!turns.is_contended("gauge", 0, at(100)));
    assert!(!turns.is_contended("herdwatch", 1, at(100)));
}

#[test]
fn silent_instance_does_not_delay_others() {
    let mut turns = Turns::default();
    announce(&mut turns, PEER, backlog(0, 1), at(100));
    assert!(!may_send(&mut turns, ME, backlog(1, 1), at(101)));
    announce(&mut turns, PEER, backlog(0, 1), at(90));
    assert!(may_send(&mut turns, ME, backlog(1, 1), at(300)));
    turns.set_backlogs(PEER, HashMap::new(), at(301));
    assert!(may_send(&mut turns, ME, backlog(1, 1), at(301)));
}

/// While other instances wait, no instance loads a server beyond its knee.
#[test]
fn servers_at_their_knee_are_not_used_while_others_wait() {
    let at_knee = || vec![candidate(1, at(0), true)];
    let mut turns = Turns::default();
    let now = at(100);
    let own_backlog = backlog(1, 1);
    let taken = turns.take("gauge", ME, own_backlog, at_knee(), now);
    assert_eq!(taken, Turn::Now(at_knee()));
    announce(&mut turns, PEER, backlog(1, 1), now);
    assert!(matches!(
        turns.take("gauge", ME, own_backlog, at_knee(), now),
        Turn::At(_)
    ));
}
