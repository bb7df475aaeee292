//! Publishes changes at servers to the data centre and handles those of other instances.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use balance::backend::Outcome;
use balance::group::Group;
use balance::turn::Backlog;
use clock::Clock;

use super::event::RequestOutcome;
use super::{Event, Message, QueueState};
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// How long events are collected into one datagram.
const BATCH_DELAY: Duration = Duration::from_millis(1);

/// The interval at which the state of non-empty queues is repeated.
const QUEUE_REPEAT_INTERVAL: Duration = Duration::from_millis(50);

/// The events that fit into a datagram without IP fragmentation: one takes at most 80 bytes.
const MAX_EVENTS_PER_DATAGRAM: usize = 16;

/// Handles the events and the queues of the instance `from`.
pub(super) fn handle<S, H, C>(
    node: &Node<S, H, C>,
    from: u64,
    events: &[Event],
    waiting: Vec<QueueState>,
) where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    node.members.lock().record_message(from, now);
    let backlogs = {
        let table = node.table.lock();
        let shared = waiting
            .into_iter()
            .filter(|queue| table.duties().shares_servers(&queue.service, from));
        let backlogs = shared.map(|queue| {
            let (priority, length) = (queue.priority, queue.requests);
            (queue.service, Backlog { priority, length })
        });
        backlogs.collect()
    };
    node.turns.lock().set_backlogs(from, backlogs, now);
    for event in events {
        apply(node, from, event);
    }
}

fn apply<S, H, C>(node: &Node<S, H, C>, from: u64, event: &Event)
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
    // The failure may lie with the other instance, so probe the server from here.
    let must_probe = event.outcome == Some(RequestOutcome::Unreached)
        && table.duties().is_prober_of(event.server);
    if let Some(limit) = event.limit {
        table.set_limit(event.server, limit.rate(), now);
    }
    if event.leaving {
        table.set_leaving(event.server, now);
    }
    table.set_in_flight(event.server, from, event.in_flight, now);
    let Some(backend) = table.get_mut(event.server) else {
        return;
    };
    if let Some(warmup_left) = event.warmup_left {
        backend.record_probe(warmup_left, now);
    }
    match event.outcome {
        Some(RequestOutcome::Answered) => backend.record_outcome(Outcome::Answered, now),
        Some(RequestOutcome::Failed) => backend.record_outcome(Outcome::Failed, now),
        Some(RequestOutcome::Shed) => backend.record_outcome(Outcome::Shed, now),
        Some(RequestOutcome::Unreached) => backend.record_unreachable(from, now),
        None => {}
    }
    if must_probe {
        backend.require_local_probe();
    }
    let service = event.outcome.map(|_| backend.server.service.clone());
    drop(table);
    if let Some(service) = service {
        node.queues.wake(&service);
    }
}

/// Publishes changes at servers, batching those that occur together.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let (mut sent, mut sent_at) = (Vec::new(), node.now());
    loop {
        node.outbox_ready.wait().await;
        node.clock.sleep(BATCH_DELAY).await;
        let events = std::mem::take(&mut *node.outbox.lock());
        let waiting = node.queues.states();
        let repeat_due = !waiting.is_empty() && node.now().since(sent_at) >= QUEUE_REPEAT_INTERVAL;
        if events.is_empty() && sent == waiting && !repeat_due {
            continue;
        }
        let queues = if sent != waiting || repeat_due {
            sent.iter().chain(&waiting)
        } else {
            [].iter().chain(&[])
        };
        for (group, events) in by_group(&node, events, queues) {
            let mut parts: Vec<_> = events.chunks(MAX_EVENTS_PER_DATAGRAM).collect();
            if parts.is_empty() {
                parts.push(&[]);
            }
            for part in parts {
                let message = Message::Events {
                    from: node.identity.boot,
                    events: part.to_vec(),
                    waiting: waiting.clone(),
                };
                match group {
                    Some(group) => node.send_to_group(&message, group),
                    None => node.broadcast(&message),
                }
            }
        }
        (sent, sent_at) = (waiting, node.now());
    }
}

/// Returns the events by the group of instances to send them to, or `None` for the data centre. If
/// there are `queues` to announce, the instances that use the same servers are included.
fn by_group<'a, S, H, C>(
    node: &Node<S, H, C>,
    events: Vec<Event>,
    queues: impl Iterator<Item = &'a QueueState>,
) -> BTreeMap<Option<Group>, Vec<Event>>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let table = node.table.lock();
    let mut groups: BTreeMap<Option<Group>, Vec<Event>> = BTreeMap::new();
    let mut queues = queues.map(|queue| queue.service.as_str()).peekable();
    if queues.peek().is_some() {
        groups.insert(table.duties().widest_group(queues), Vec::new());
    }
    for event in events {
        let group = table.duties().group(event.server);
        groups.entry(group).or_default().push(event);
    }
    groups
}
