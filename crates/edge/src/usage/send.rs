//! Sends the counts of this instance to the collectors.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balance::usage::Message;
use clock::Clock;

use crate::gossip;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// The interval between two messages to the collectors.
const INTERVAL: Duration = Duration::from_millis(500);

/// The windows whose counts a new collector gets at a time. All instances send to it at once, and its
/// link may be narrow.
const WINDOWS_PER_INTERVAL: usize = 2;

/// The windows that new collectors have not got yet, by their [`gossip::Identity::boot`].
type Pending = HashMap<u64, Vec<u64>>;

/// Sends the counts until the task is dropped.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let mut pending = Pending::new();
    let mut overflow = 0;
    while let Some(length) = node.tenant_usage.window {
        send(&node, length, &mut pending);
        log_overflow(&node, &mut overflow);
        node.clock.sleep(INTERVAL).await;
    }
}

/// Sends the counts once more, before the instance stops.
pub(crate) fn flush<S, H, C>(node: &Node<S, H, C>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    if let Some(length) = node.tenant_usage.window {
        send(node, length, &mut Pending::new());
    }
}

fn send<S, H, C>(node: &Node<S, H, C>, length: Duration, pending: &mut Pending)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let usage = &node.tenant_usage;
    let now = node.now();
    let time_of_day = node.clock.time_of_day();
    usage.wall_clock.lock().record_own(time_of_day, now);
    let current = usage.current(length, now);
    let before = usage.collectors.load_full();
    update_collectors(node);
    let collectors = usage.collectors.load_full();
    let messages = usage.counter.lock().messages(current, now);
    deliver(node, &collectors, messages);
    for collector in collectors.iter().filter(|c| !before.contains(c)) {
        pending.insert(collector.0, usage.counter.lock().windows());
    }
    pending.retain(|boot, windows| {
        let Some(collector) = collectors.iter().find(|(other, _)| other == boot) else {
            return false;
        };
        for window in windows.drain(..WINDOWS_PER_INTERVAL.min(windows.len())) {
            let messages = usage.counter.lock().complete(window, current);
            deliver(node, &[*collector], messages);
        }
        !windows.is_empty()
    });
}

/// Derives the collectors from the members.
fn update_collectors<S, H, C>(node: &Node<S, H, C>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let usage = &node.tenant_usage;
    let now = node.now();
    let (readers, others, mut addresses) = {
        let members = node.members.lock();
        let (readers, others) = members.collector_candidates(node.is_reader(), now);
        (readers, others, members.addresses_by_boot())
    };
    addresses.insert(node.identity.boot, node.identity.address);
    let boots = usage.ranking.lock().update(&readers, &others, now);
    let found = boots
        .iter()
        .filter_map(|boot| Some((*boot, *addresses.get(boot)?)));
    let collectors: Vec<(u64, SocketAddr)> = found.collect();
    if **usage.collectors.load() != collectors {
        slog::info!(node.log, "usage: the collectors changed"; "collectors" => ?collectors);
        usage.collectors.store(collectors.into());
    }
}

fn deliver<S, H, C>(node: &Node<S, H, C>, collectors: &[(u64, SocketAddr)], messages: Vec<Message>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let own = node.identity.boot;
    let others = collectors.iter().filter(|(boot, _)| *boot != own);
    let addresses: Vec<SocketAddr> = others.map(|(_, address)| *address).collect();
    for message in messages {
        if collectors.iter().any(|(boot, _)| *boot == own) {
            node.record_usage(own, &message);
        }
        if !addresses.is_empty() {
            let message = gossip::Message::Usage { from: own, message };
            node.send(&message, &addresses);
        }
    }
}

/// Logs counts that were dropped since there were too many.
fn log_overflow<S, H, C>(node: &Node<S, H, C>, logged: &mut u64)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let usage = &node.tenant_usage;
    let (counter, collector) = (
        usage.counter.lock().overflow(),
        usage.collector.lock().overflow(),
    );
    let overflow = counter + collector;
    if overflow > *logged {
        node.metrics.dropped_usage(overflow - *logged);
        *logged = overflow;
        if let Some(suppressed) = node.limits.datagrams.pass(node.now()) {
            slog::warn!(node.log, "usage: too many counts, some are dropped";
                "requests" => counter, "collected" => collector, "suppressed" => suppressed);
        }
    }
}
