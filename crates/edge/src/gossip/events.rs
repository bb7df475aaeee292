//! Tells the data centre what happens at servers, and hears it.

use std::sync::Arc;
use std::time::Duration;

use balance::backend::Outcome;
use balance::turn::Backlog;
use clock::Clock;

use super::event::End;
use super::{Event, Message, Wait};
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// How long events are gathered.
const EVENT_PAUSE: Duration = Duration::from_millis(1);

/// The pause between two words of requests that still wait.
const WAIT_INTERVAL: Duration = Duration::from_millis(50);

/// The events that fit into a datagram that is not fragmented: one has at most 60 bytes.
const EVENTS_PER_DATAGRAM: usize = 20;

/// Takes what the instance `from` says: what has happened, and which of its requests wait.
pub(super) fn take<S, H, C>(node: &Node<S, H, C>, from: u64, events: &[Event], waiting: Vec<Wait>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let lines = waiting.into_iter().map(|w| {
        let (rank, length) = (w.rank, w.requests);
        (
            w.service,
            Backlog {
                priority: rank,
                length,
            },
        )
    });
    let lines = lines.collect();
    node.turns.lock().set_backlogs(from, lines, node.now());
    for event in events {
        take_one(node, from, event);
    }
}

fn take_one<S, H, C>(node: &Node<S, H, C>, from: u64, event: &Event)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    let mut table = node.table.lock();
    if let Some(report) = event.report {
        table.record_report(event.server, report, now);
    }
    // What another instance could not reach is probed, as it may be that one's fault.
    let doubts = event.end == Some(End::Unreached) && table.is_prober_of(event.server);
    let Some(backend) = table.get_mut(event.server) else {
        return;
    };
    backend.set_in_flight(from, event.held, now);
    if let Some(warmup_left) = event.warmup_left {
        backend.record_probe(warmup_left, now);
    }
    match event.end {
        Some(End::Answered) => backend.record_outcome(Outcome::Answered, now),
        Some(End::Failed) => backend.record_outcome(Outcome::Failed, now),
        Some(End::Shed) => backend.record_outcome(Outcome::Shed, now),
        Some(End::Unreached) => backend.record_unreachable(from, now),
        None => {}
    }
    if doubts {
        backend.require_local_probe();
    }
    let service = event.end.map(|_| backend.server.service.clone());
    drop(table);
    if let Some(service) = service {
        node.waiting.wake(&service);
    }
}

/// Tells the data centre what happens at servers. What happens together is told together.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let (mut told, mut told_at) = (Vec::new(), node.now());
    loop {
        node.announced.wait().await;
        node.clock.sleep(EVENT_PAUSE).await;
        let events = std::mem::take(&mut *node.outbox.lock());
        let waiting = node.waiting.lines();
        let repeats = !waiting.is_empty() && node.now().since(told_at) >= WAIT_INTERVAL;
        if events.is_empty() && told == waiting && !repeats {
            continue;
        }
        let mut parts: Vec<_> = events.chunks(EVENTS_PER_DATAGRAM).collect();
        if parts.is_empty() {
            parts.push(&[]);
        }
        for part in parts {
            node.tell(&Message::Events {
                from: node.me.boot,
                events: part.to_vec(),
                waiting: waiting.clone(),
            });
        }
        (told, told_at) = (waiting, node.now());
    }
}
