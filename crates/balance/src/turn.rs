//! Whose turn it is when several instances wait for the same servers.
//!
//! All instances of a data centre hear at once that a server has room. If each of them sent the
//! request that it has waiting, the server would get one from each. So they take turns: all order
//! those that wait in the same way, and each lets those before it go first, for as long as it takes
//! to hear that they did. An instance that does not use its turn delays the others for that time
//! only.

use std::collections::HashMap;
use std::time::Duration;

use clock::Instant;

use crate::query::Candidate;
use crate::rendezvous;
use crate::server::Key;

/// How long each instance lets another one go first: the time in which a start is told and heard,
/// also by an instance that is busy.
const STEP: Duration = Duration::from_millis(4);

/// How long an instance is believed to wait without repeating it.
const BELIEVED_FOR: Duration = Duration::from_millis(150);

/// How long a server counts as seen with room after the last look at it. Requests that wait look
/// more often than that.
const SEEN_FOR: Duration = Duration::from_millis(50);

/// The requests of one instance that wait for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backlog {
    /// The rank of the first.
    pub priority: u32,
    /// How many there are.
    pub length: u32,
}

/// What another instance says of the requests that it has waiting.
#[derive(Clone, Debug)]
struct Queue {
    lines: HashMap<String, Backlog>,
    at: Instant,
}

/// When this instance first and last saw a server with room.
#[derive(Clone, Copy, Debug)]
struct Sight {
    first: Instant,
    last: Instant,
}

/// The instances that have requests waiting, and the servers that were seen with room.
#[derive(Debug, Default)]
pub struct Turns {
    queues: HashMap<u64, Queue>,
    seen: HashMap<Key, Sight>,
}

/// When one of some servers may be used.
#[derive(Clone, Debug, PartialEq)]
pub enum Turn {
    /// These may be used now, the best first.
    Now(Vec<Candidate>),
    /// None may be used before this time.
    At(Instant),
}

impl Turns {
    /// Notes all the requests that `instance` has waiting, by service.
    pub fn set_backlogs(&mut self, instance: u64, lines: HashMap<String, Backlog>, now: Instant) {
        self.queues.retain(|_, q| now.since(q.at) < BELIEVED_FOR);
        self.seen.retain(|_, s| now.since(s.last) <= SEEN_FOR);
        if lines.is_empty() {
            self.queues.remove(&instance);
        } else {
            self.queues.insert(instance, Queue { lines, at: now });
        }
    }

    /// Returns whether another instance has requests waiting for `service` that rank as high as
    /// `rank`.
    pub fn is_contended(&self, service: &str, rank: u32, now: Instant) -> bool {
        self.others(service, now)
            .any(|(_, line)| line.priority <= rank)
    }

    fn others<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = (u64, Backlog)> + 'a {
        let believed = self
            .queues
            .iter()
            .filter(move |(_, q)| now.since(q.at) < BELIEVED_FOR);
        believed.filter_map(move |(instance, q)| Some((*instance, *q.lines.get(service)?)))
    }

    /// Returns which of `candidates` the instance `me` may use now for the first of its own `line`.
    pub fn take(
        &mut self,
        service: &str,
        me: u64,
        line: Backlog,
        candidates: Vec<Candidate>,
        now: Instant,
    ) -> Turn {
        let others: Vec<(u64, Backlog)> = self.others(service, now).collect();
        if others.is_empty() {
            return Turn::Now(candidates);
        }
        let mut first = Instant::MAX;
        let mut ready = Vec::new();
        let waiting = u32::try_from(others.len()).unwrap_or(u32::MAX);
        for mut candidate in candidates.into_iter().filter(|c| !c.choice.is_at_knee) {
            let choice = &candidate.choice;
            let subject = (choice.key, choice.state_id);
            let mine = order(me, line, subject);
            let before = others
                .iter()
                .filter(|(instance, line)| order(*instance, *line, subject) < mine)
                .count();
            // A server also gets room by time alone, which all see at about the same moment.
            let since = seen_since(&mut self.seen, choice.key, now).max(choice.changed_at);
            let at = since + STEP * u32::try_from(before).unwrap_or(u32::MAX);
            if at <= now {
                candidate.choice.waiting_instances = waiting;
                ready.push(candidate);
            }
            first = first.min(at);
        }
        if ready.is_empty() {
            Turn::At(first)
        } else {
            Turn::Now(ready)
        }
    }
}

/// Returns since when the server has been seen with room, now included.
fn seen_since(seen: &mut HashMap<Key, Sight>, key: Key, now: Instant) -> Instant {
    let sight = Sight {
        first: now,
        last: now,
    };
    let known = seen.entry(key).or_insert(sight);
    if now.since(known.last) > SEEN_FOR {
        *known = sight;
    }
    known.last = now;
    known.first
}

/// Returns the place of an instance for a server in one state. The highest rank goes first; among
/// equals an instance is as likely to be first as its line is long.
fn order(instance: u64, line: Backlog, subject: (Key, u64)) -> (u32, f64) {
    let draw = (rendezvous::weight(&instance, &subject) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    (line.priority, -draw.ln() / f64::from(line.length.max(1)))
}
