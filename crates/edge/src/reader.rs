//! Follows the store for the instances of one data centre.
//!
//! One instance of a data centre reads, so that the calls of the store do not grow with the fleet.
//! The role needs no election: an instance that hears no reader for a while begins to read, in an
//! order that all derive from the members; of two readers the later one in that order gives up. Two
//! readers cost calls and nothing else, as what they read is the same.

use std::sync::Arc;
use std::time::Duration;

use balance::record::Kind;
use clock::Clock;
use smol::Task;

use crate::gossip;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::{Error, Store, WatchResponse};

/// How long a waiting call of the store waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// How long after its start an instance listens for a reader. Others answer within milliseconds.
const LISTEN_BEFORE_START: Duration = Duration::from_millis(100);

/// The time over which instances that have all just started spread their beginning, so that the
/// first has an answer before most others begin.
const START_SPREAD: Duration = Duration::from_millis(400);

/// How long the store has to be away for entries of servers to lapse.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(1);

/// How long after the return of the store what has lapsed meanwhile is read.
const RECOVERY_WINDOW: Duration = Duration::from_millis(300);

/// How long one that is about to read keeps others from beginning.
const STARTING_READER_TIMEOUT: Duration = Duration::from_millis(250);

/// The pause between two signs of life that a reader asks the store for. A waiting call does not
/// show that the store has gone silent; other instances take over well within the two seconds in
/// which changes are to be in force.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// How long the store may take for a sign of life.
const PING_TIMEOUT: Duration = Duration::from_millis(400);

/// How long one after the other begins to read.
const RANK_DELAY: Duration = Duration::from_millis(150);

/// The pause between two looks at who reads.
const CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// The pause after a call that failed. Calls are paid for also when they are refused.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// The pause after a change of servers, so that changes that come together are read with one call.
/// Others come alone.
const SERVER_BATCH_DELAY: Duration = Duration::from_millis(250);

/// How long another data centre may know more before this one reads again by itself.
const LAG_TOLERANCE: Duration = Duration::from_millis(300);

/// Reads while no other instance of the data centre does.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    node.clock.sleep(LISTEN_BEFORE_START).await;
    let spread = START_SPREAD.mul_f64(fastrand::f64());
    let mut no_reader_since = node.now();
    let mut tasks: Vec<Task<()>> = Vec::new();
    loop {
        let now = node.now();
        let (other_reader, other_starting, rank) = {
            let members = node.members.lock();
            let other_reader = members.reader(now).map(|i| i.boot);
            let rank = members.reader_rank(node.store_failed_recently(), now);
            (other_reader, members.has_starting_reader(now), rank)
        };
        if other_reader.is_some() {
            no_reader_since = now;
        }
        if other_reader.is_some() || (node.is_reader() && node.has_store_contact()) {
            node.record_reader();
        }
        if node.is_reader() {
            let outranked = other_reader.is_some_and(|boot| boot < node.identity.boot);
            let steps_down =
                outranked || (node.store_failed_recently() && rank > 0) || node.is_stopping();
            if steps_down {
                tasks.clear();
                node.set_reader(
                    false,
                    if outranked {
                        "another reads"
                    } else {
                        "out of contact"
                    },
                );
                gossip::send_heartbeat(&node);
                no_reader_since = now;
            }
        } else if other_reader.is_none()
            && !node.is_stopping()
            && !(other_starting && now.since(no_reader_since) < STARTING_READER_TIMEOUT)
            && now.since(no_reader_since) >= start_delay(&node, rank, spread)
        {
            node.set_reader(true, "nobody reads");
            node.reset_store_contact();
            tasks = Kind::ALL
                .map(|kind| smol::spawn(follow(node.clone(), kind)))
                .into();
            tasks.push(smol::spawn(ping_store(node.clone())));
            gossip::send_heartbeat(&node);
        }
        node.clock.sleep(CHECK_INTERVAL).await;
    }
}

/// Returns how long nobody has to have read before this instance begins.
fn start_delay<S, H, C>(node: &Node<S, H, C>, rank: usize, spread: Duration) -> Duration
where
    S: Store,
    H: Codec,
    C: Clock,
{
    const MAX_RANK: usize = 5;
    if !node.has_all_records() {
        // Instances that have just started may not have heard of each other yet.
        return spread;
    }
    RANK_DELAY * u32::try_from(rank.min(MAX_RANK)).unwrap_or(0)
}

/// Asks the store for signs of life, and has another instance read when there is none.
async fn ping_store<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    loop {
        node.clock.sleep(PING_INTERVAL).await;
        // While the store is known to be away, the records are asked for anyhow.
        if !node.has_store_contact() {
            continue;
        }
        if let Err(error) = node.store.ping(PING_TIMEOUT).await {
            record_failure(&node, Kind::Servers, &error);
        }
    }
}

/// Follows the records of one kind.
async fn follow<S, H, C>(node: Arc<Node<S, H, C>>, kind: Kind)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let mut cursor = 0;
    let mut recovered_at = None;
    loop {
        // One kind finds out whether the store answers; calls are paid for also when they fail.
        while kind != Kind::Servers && !node.has_store_contact() && node.has_all_records() {
            node.clock.sleep(CHECK_INTERVAL).await;
        }
        let held = node.view.lock().feed(kind).revision();
        cursor = held.max(cursor);
        let result = if cursor > 0 {
            watch(&node, kind, held, cursor).await
        } else {
            node.store.list(kind).await.map(|delta| WatchResponse {
                cursor: delta.revision,
                delta: Some(delta),
            })
        };
        match result {
            Ok(watched) => {
                if node.time_without_reader() >= OUTAGE_THRESHOLD {
                    recovered_at = Some(node.now());
                }
                node.record_reader();
                node.record_store_success();
                cursor = watched.cursor;
                if let Some(mut delta) = watched.delta {
                    let since = recovered_at.map(|at| node.now().since(at));
                    delta.after_outage = since.is_some_and(|since| since < RECOVERY_WINDOW);
                    if node.apply_delta(kind, &delta, "store") {
                        gossip::push(&node, kind, &delta);
                    }
                    if kind == Kind::Servers {
                        node.clock.sleep(SERVER_BATCH_DELAY).await;
                    }
                }
            }
            Err(Error::Compacted) => {
                slog::info!(node.log, "reader: the history is gone"; "kind" => ?kind,
                    "revision" => cursor);
                relist(&node, kind).await;
                cursor = node.view.lock().feed(kind).revision();
            }
            Err(error) => {
                record_failure(&node, kind, &error);
                node.clock.sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn record_failure<S, H, C>(node: &Node<S, H, C>, kind: Kind, error: &Error)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    node.record_store_failure();
    if let Some(suppressed) = node.limits.store.pass(node.now()) {
        slog::warn!(node.log, "reader: the store cannot be read"; "kind" => ?kind,
            "error" => %error, "suppressed" => suppressed);
    }
}

/// Reads all records of a kind, as the changes cannot be had.
async fn relist<S, H, C>(node: &Node<S, H, C>, kind: Kind)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    loop {
        match node.store.list(kind).await {
            Ok(delta) => {
                node.record_store_success();
                if node.apply_delta(kind, &delta, "store") {
                    gossip::send_heartbeat(node);
                }
                return;
            }
            Err(error) => {
                record_failure(node, kind, &error);
                node.clock.sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits for changes of `kind` after `cursor`, which holds the same records as `held`.
///
/// When another data centre has known more for a while, the waiting call may be dead without a
/// sign: it is given up, and what the other knows comes by [`crate::sync`].
async fn watch<S, H, C>(
    node: &Node<S, H, C>,
    kind: Kind,
    held: u64,
    cursor: u64,
) -> Result<WatchResponse, Error>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let waiting = async {
        // The first call returns at once, as one that waits does not show whether the store answers.
        let wait = if node.has_store_contact() {
            WATCH_TIMEOUT
        } else {
            Duration::ZERO
        };
        let mut watched = node.store.watch(kind, cursor, wait).await?;
        if let Some(delta) = &mut watched.delta {
            delta.after = Some(held);
        }
        Ok(watched)
    };
    let lagging = async {
        loop {
            node.clock.sleep(LAG_TOLERANCE).await;
            if node.members.lock().max_remote_revision(kind, node.now()) <= cursor {
                continue;
            }
            node.clock.sleep(LAG_TOLERANCE).await;
            return Ok(WatchResponse {
                delta: None,
                cursor,
            });
        }
    };
    smol::future::or(waiting, lagging).await
}
