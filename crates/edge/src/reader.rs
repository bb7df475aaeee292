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
const WAIT: Duration = Duration::from_secs(25);

/// How long after its start an instance listens for a reader. Others answer within milliseconds.
const LISTEN: Duration = Duration::from_millis(100);

/// The time over which instances that have all just started spread their beginning, so that the
/// first has an answer before most others begin.
const START_SPREAD: Duration = Duration::from_millis(400);

/// How long the store has to be away for entries of servers to lapse.
const OUTAGE: Duration = Duration::from_secs(1);

/// How long after the return of the store what has lapsed meanwhile is read.
const RETURN: Duration = Duration::from_millis(300);

/// How long one that is about to read keeps others from beginning.
const BEGINNING: Duration = Duration::from_millis(250);

/// The pause between two signs of life that a reader asks the store for. A waiting call does not
/// show that the store has gone silent; other instances take over well within the two seconds in
/// which changes are to be in force.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// How long the store may take for a sign of life.
const PING_LIMIT: Duration = Duration::from_millis(400);

/// How long one after the other begins to read.
const RANK_PAUSE: Duration = Duration::from_millis(150);

/// The pause between two looks at who reads.
const INTERVAL: Duration = Duration::from_millis(30);

/// The pause after a call that failed. Calls are paid for also when they are refused.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// The pause after a change of servers, so that changes that come together are read with one call.
/// Others come alone.
const GATHER: Duration = Duration::from_millis(250);

/// How long another data centre may know more before this one reads again by itself.
const LAG_PATIENCE: Duration = Duration::from_millis(300);

/// Reads while no other instance of the data centre does.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    node.clock.sleep(LISTEN).await;
    let spread = START_SPREAD.mul_f64(fastrand::f64());
    let mut unread_since = node.now();
    let mut following: Vec<Task<()>> = Vec::new();
    loop {
        let now = node.now();
        let (other, begun, rank) = {
            let members = node.members.lock();
            let other = members.reader(now).map(|i| i.boot);
            let rank = members.reading_rank(node.is_cut_off(), now);
            (other, members.is_begun(now), rank)
        };
        if other.is_some() {
            unread_since = now;
        }
        if other.is_some() || (node.is_reader() && node.has_contact()) {
            node.note_read();
        }
        if node.is_reader() {
            let outranked = other.is_some_and(|boot| boot < node.me.boot);
            let yields = outranked || (node.is_cut_off() && rank > 0) || node.is_stopping();
            if yields {
                following.clear();
                node.set_reader(
                    false,
                    if outranked {
                        "another reads"
                    } else {
                        "out of contact"
                    },
                );
                gossip::send_beat(&node);
                unread_since = now;
            }
        } else if other.is_none()
            && !node.is_stopping()
            && !(begun && now.since(unread_since) < BEGINNING)
            && now.since(unread_since) >= pause(&node, rank, spread)
        {
            node.set_reader(true, "nobody reads");
            node.lose_contact();
            following = Kind::ALL
                .map(|kind| smol::spawn(follow(node.clone(), kind)))
                .into();
            following.push(smol::spawn(ask_for_signs(node.clone())));
            gossip::send_beat(&node);
        }
        node.clock.sleep(INTERVAL).await;
    }
}

/// Returns how long nobody has to have read before this instance begins.
fn pause<S, H, C>(node: &Node<S, H, C>, rank: usize, spread: Duration) -> Duration
where
    S: Store,
    H: Codec,
    C: Clock,
{
    const MOST_RANKS: usize = 5;
    if !node.knows_all() {
        // Instances that have just started may not have heard of each other yet.
        return spread;
    }
    RANK_PAUSE * u32::try_from(rank.min(MOST_RANKS)).unwrap_or(0)
}

/// Asks the store for signs of life, and has another instance read when there is none.
async fn ask_for_signs<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    loop {
        node.clock.sleep(PING_INTERVAL).await;
        // While the store is known to be away, the records are asked for anyhow.
        if !node.has_contact() {
            continue;
        }
        if let Err(error) = node.store.ping(PING_LIMIT).await {
            failed(&node, Kind::Servers, &error);
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
    let mut returned_at = None;
    loop {
        // One kind finds out whether the store answers; calls are paid for also when they fail.
        while kind != Kind::Servers && !node.has_contact() && node.knows_all() {
            node.clock.sleep(INTERVAL).await;
        }
        let held = node.knowledge.lock().feed(kind).revision();
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
                if node.unread_for() >= OUTAGE {
                    returned_at = Some(node.now());
                }
                node.note_read();
                node.in_contact();
                cursor = watched.cursor;
                if let Some(mut delta) = watched.delta {
                    let since = returned_at.map(|at| node.now().since(at));
                    delta.after_outage = since.is_some_and(|since| since < RETURN);
                    if node.learn(kind, &delta, "store") {
                        gossip::push(&node, kind, &delta);
                    }
                    if kind == Kind::Servers {
                        node.clock.sleep(GATHER).await;
                    }
                }
            }
            Err(Error::Compacted) => {
                slog::info!(node.log, "reader: the history is gone"; "kind" => ?kind,
                    "revision" => cursor);
                relist(&node, kind).await;
                cursor = node.knowledge.lock().feed(kind).revision();
            }
            Err(error) => {
                failed(&node, kind, &error);
                node.clock.sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

fn failed<S, H, C>(node: &Node<S, H, C>, kind: Kind, error: &Error)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    node.cut_off();
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
                node.in_contact();
                if node.learn(kind, &delta, "store") {
                    gossip::send_beat(node);
                }
                return;
            }
            Err(error) => {
                failed(node, kind, &error);
                node.clock.sleep(FAILURE_PAUSE).await;
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
        let wait = if node.has_contact() {
            WAIT
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
            node.clock.sleep(LAG_PATIENCE).await;
            if node.members.lock().leading_revision(kind, node.now()) <= cursor {
                continue;
            }
            node.clock.sleep(LAG_PATIENCE).await;
            return Ok(WatchResponse {
                delta: None,
                cursor,
            });
        }
    };
    smol::future::or(waiting, lagging).await
}
