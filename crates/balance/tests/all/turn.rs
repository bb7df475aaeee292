//! Whose turn it is.

use std::collections::HashMap;
use std::time::Duration;

use arbtest::arbtest;
use balance::query::{Candidate, Choice};
use balance::server::Key;
use balance::turn::{Backlog, Turn, Turns};
use clock::Instant;

use crate::support::{at, ME, PEER};

fn candidate(key: u64, changed_at: Instant, is_at_knee: bool) -> Candidate {
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
            is_at_knee,
            changed_at,
            state_id: 7,
        },
    }
}

fn line(rank: u32, length: u32) -> Backlog {
    Backlog {
        priority: rank,
        length,
    }
}

fn waits(turns: &mut Turns, instance: u64, line: Backlog, now: Instant) {
    let lines = HashMap::from([("gauge".to_owned(), line)]);
    turns.set_backlogs(instance, lines, now);
}

fn may_now(turns: &mut Turns, me: u64, line: Backlog, now: Instant) -> bool {
    let free = candidate(1, at(100), false);
    matches!(turns.take("gauge", me, line, vec![free], now), Turn::Now(_))
}

/// All instances that wait know the same order, in which one goes at once.
#[test]
fn one_goes_first() {
    arbtest(|u| {
        let lines: Vec<Backlog> = (0..u.int_in_range(2..=30_usize)?)
            .map(|_| Ok(line(u.int_in_range(0..=2)?, u.int_in_range(1..=9)?)))
            .collect::<Result<_, arbtest::arbitrary::Error>>()?;
        let all: Vec<(u64, Backlog)> = (1..).zip(lines).collect();
        let mut first = Vec::new();
        for (me, own) in &all {
            let mut turns = Turns::default();
            for (instance, line) in all.iter().filter(|(i, _)| i != me) {
                waits(&mut turns, *instance, *line, at(100));
            }
            if may_now(&mut turns, *me, *own, at(100)) {
                first.push(own.priority);
            }
            // Requests that wait look again and again.
            let length = 4 * u64::try_from(all.len()).unwrap();
            let goes = (0..=length).any(|ms| may_now(&mut turns, *me, *own, at(100 + ms)));
            assert!(goes, "nobody waits for ever");
        }
        let most_urgent = all.iter().map(|(_, l)| l.priority).min();
        assert_eq!(first, most_urgent.into_iter().collect::<Vec<_>>());
        Ok(())
    });
}

/// A server also gets room by time alone, long after the last request began or ended there.
#[test]
fn one_goes_first_also_where_room_comes_by_time() {
    let all: Vec<u64> = (1..=20).collect();
    let now = at(5000);
    let first = all.iter().filter(|me| {
        let mut turns = Turns::default();
        for instance in all.iter().filter(|i| i != me) {
            waits(&mut turns, *instance, line(1, 1), now);
        }
        may_now(&mut turns, **me, line(1, 1), now)
    });
    assert_eq!(first.count(), 1);
}

#[test]
fn urgent_requests_go_before_others() {
    let mut turns = Turns::default();
    waits(&mut turns, PEER, line(1, 50), at(99));
    assert!(may_now(&mut turns, ME, line(0, 1), at(100)));
    assert!(!may_now(&mut turns, ME, line(2, 50), at(100)));
    assert!(turns.is_contended("gauge", 1, at(100)));
    assert!(!turns.is_contended("gauge", 0, at(100)));
    assert!(!turns.is_contended("herdwatch", 1, at(100)));
}

#[test]
fn instance_that_is_silent_delays_nobody() {
    let mut turns = Turns::default();
    waits(&mut turns, PEER, line(0, 1), at(100));
    assert!(!may_now(&mut turns, ME, line(1, 1), at(101)));
    waits(&mut turns, PEER, line(0, 1), at(90));
    assert!(may_now(&mut turns, ME, line(1, 1), at(300)));
    turns.set_backlogs(PEER, HashMap::new(), at(301));
    assert!(may_now(&mut turns, ME, line(1, 1), at(301)));
}

/// While others wait, nobody fills a server beyond its knee.
#[test]
fn only_free_servers_are_taken_while_others_wait() {
    let crowded = || vec![candidate(1, at(0), true)];
    let mut turns = Turns::default();
    let now = at(100);
    let own = line(1, 1);
    let taken = turns.take("gauge", ME, own, crowded(), now);
    assert_eq!(taken, Turn::Now(crowded()));
    waits(&mut turns, PEER, line(1, 1), now);
    assert!(matches!(
        turns.take("gauge", ME, own, crowded(), now),
        Turn::At(_)
    ));
}
