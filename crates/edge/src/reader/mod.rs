//! Reads the store on behalf of the instances of one data centre.
//!
//! One instance of a data centre is the reader, so the number of store calls does not grow with the
//! number of instances. The role needs no election: an instance that hears no reader for a while
//! takes over, in an order that all derive from the members; of two readers, the later in that
//! order steps down. Two readers cost additional calls but do no harm, as they read the same
//! records.
//!
//! The readers of several data centres share the reading in the same way ([`balance::lead`]): one
//! calls the store, and the others take the records from it.
//!
//! A long-polling call is only the fast path: it confirms nothing while it waits. What bounds the age of
//! the records are the checks ([`checks`]). `docs/design/record-ages.md` has the sums.

mod checks;
mod progress;

use std::sync::Arc;
use std::time::Duration;

use balance::lead::{Lead, Remote};
use balance::record::Kind;
use client::Received;
use clock::{Clock, Instant};
use smol::future::or;
use smol::Task;

use crate::gossip;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::{Error, Store, WatchResponse};

use checks::confirm;
use progress::Progress;

/// The timeout of a long-polling call of the store.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// How long an instance listens for a reader after its start. Others reply within milliseconds.
const LISTEN_BEFORE_START: Duration = Duration::from_millis(100);

/// The time over which instances that start together spread their first attempts, so that the first
/// one has a response before most others begin.
const START_SPREAD: Duration = Duration::from_millis(400);

/// The fraction of the spread for an instance that knows of none that goes first.
const FIRST_SPREAD_FRACTION: f64 = 0.5;

/// How long an instance that knows of one that goes first waits for it.
const FIRST_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// The length of a store outage from which records of servers may have expired.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(1);

/// How long after the end of an outage the changes that are read may stem from records that expired
/// during it.
const RECOVERY_WINDOW: Duration = Duration::from_millis(300);

/// How long a starting reader keeps others from taking over.
const STARTING_READER_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a long-polling call may miss changes that another call has shown.
const SILENCE_TOLERANCE: Duration = Duration::from_millis(100);

/// How long a response that has begun to arrive may pause before its call is abandoned.
const STALL_TOLERANCE: Duration = Duration::from_millis(400);

/// How long a long-polling call may take to return changes that are there when it begins. The store
/// may be slow.
const RESPONSE_TIME: Duration = Duration::from_millis(500);

/// The delay per rank before an instance takes over.
const RANK_DELAY: Duration = Duration::from_millis(150);

/// The interval between two checks of who reads.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// The interval between two checks of an instance that has a reader, and its records.
const FOLLOWER_CHECK_INTERVAL: Duration = Duration::from_millis(90);

/// The delay after a failed call. Refused calls are billed too.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// The delay after a change of servers, so that further changes of the same batch are read with one
/// call. Changes of other kinds come alone.
const SERVER_BATCH_DELAY: Duration = Duration::from_millis(250);

/// How long another data centre may have a newer revision before this one gives up its long-polling
/// call.
const LAG_TOLERANCE: Duration = Duration::from_millis(300);

/// The bytes of changes that other instances have sent, and when the last of them arrived.
#[derive(Clone, Copy, Debug, Default)]
struct Transfer {
    bytes: usize,
    active_at: Instant,
}

impl Transfer {
    /// Returns whether changes are arriving, if `bytes` have arrived by `now`.
    fn is_receiving(&mut self, bytes: usize, now: Instant) -> bool {
        if bytes != self.bytes {
            self.bytes = bytes;
            self.active_at = now;
        }
        now.since(self.active_at) < STALL_TOLERANCE
    }
}

/// Reads the store while no other instance of the data centre does.
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
    let mut lead = Lead::default();
    let mut transfer = Transfer::default();
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
        if node.is_reader() {
            let is_receiving = transfer.is_receiving(node.pulled.bytes(), now);
            update_lead(&node, &mut lead, is_receiving);
        }
        if other_reader.is_some() || (node.is_reader() && node.is_supplied()) {
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
                        "another instance reads"
                    } else {
                        "no contact with the store"
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
            let last_reader = node.members.lock().last_reader(now);
            slog::info!(node.log, "reader: taking over"; "rank" => rank,
                "millis without reader" => now.since(no_reader_since).as_millis(),
                "last reader silent for millis" => last_reader.map(|(age, _)| age.as_millis()),
                "last reader without store" => last_reader.map(|(_, failed)| failed));
            node.set_reader(true, "no other reader");
            lead = Lead::default();
            node.reset_store_contact();
            // Kept connections may have fallen silent since they were used.
            node.store.close_idle();
            update_lead(&node, &mut lead, false);
            let progress = Arc::new(Progress::default());
            for kind in Kind::ALL {
                tasks.push(smol::spawn(follow(node.clone(), kind, progress.clone())));
                tasks.push(smol::spawn(checks::run(
                    node.clone(),
                    kind,
                    progress.clone(),
                )));
            }
            gossip::send_heartbeat(&node);
        }
        let follows = other_reader.is_some() && !node.is_reader() && node.has_all_records();
        node.clock
            .sleep(if follows {
                FOLLOWER_CHECK_INTERVAL
            } else {
                ROLE_CHECK_INTERVAL
            })
            .await;
    }
}

/// Decides whether this instance, as the reader, reads the store itself. A reader that is receiving
/// newer records does not count as behind, as reading them from the store would take as long. Records
/// whose age was never told are those of a reader of an earlier build.
fn update_lead<S, H, C>(node: &Node<S, H, C>, lead: &mut Lead, is_receiving: bool)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    let revisions = node.view.lock().revisions();
    let ages = Kind::URGENT.map(|kind| node.freshness.age(kind, now));
    let age = ages.into_iter().flatten().max();
    let reads_store = {
        let members = node.members.lock();
        let others = members.remote_readers(&revisions, now).map(|other| Remote {
            is_ahead: other.is_ahead && !is_receiving,
            ..other
        });
        lead.update(&node.identity.centre, others, age, now)
    };
    node.set_reads_store(reads_store);
}

/// Returns how long there must have been no reader before this instance takes over.
fn start_delay<S, H, C>(node: &Node<S, H, C>, rank: usize, spread: Duration) -> Duration
where
    S: Store,
    H: Codec,
    C: Clock,
{
    const MAX_RANK: usize = 5;
    if !node.has_all_records() {
        // Instances that have just started may not know each other yet.
        let is_first = node.members.lock().is_first();
        return if is_first {
            spread.mul_f64(FIRST_SPREAD_FRACTION)
        } else {
            FIRST_RESPONSE_TIME + spread
        };
    }
    RANK_DELAY * u32::try_from(rank.min(MAX_RANK)).unwrap_or(0)
}

/// Follows the records of one kind.
async fn follow<S, H, C>(node: Arc<Node<S, H, C>>, kind: Kind, progress: Arc<Progress>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let mut cursor = 0;
    let mut recovered_at = None;
    // Whether the last long-polling call was abandoned, so that the next one must show at once that the
    // store responds.
    let mut was_abandoned = false;
    loop {
        while !node.reads_store() {
            node.clock.sleep(ROLE_CHECK_INTERVAL).await;
        }
        // Of instances that start together, another one may be the reader by the time that this one has
        // the records which callers need.
        while !Kind::URGENT.contains(&kind) && !node.has_records(&Kind::URGENT) {
            node.clock.sleep(ROLE_CHECK_INTERVAL).await;
        }
        // A single kind checks whether the store responds, since failed calls are billed too.
        while kind != Kind::Servers && !node.has_store_contact() && node.has_all_records() {
            node.clock.sleep(ROLE_CHECK_INTERVAL).await;
        }
        let revision = node.view.lock().replica(kind).revision();
        cursor = revision.max(cursor).max(progress.cursor(kind));
        progress.advance(kind, cursor);
        // A long-polling call does not show whether the store responds, so the first call does not
        // wait.
        let wait = if node.has_store_contact() && !was_abandoned {
            WATCH_TIMEOUT
        } else {
            Duration::ZERO
        };
        let begun_at = node.now();
        let result = if cursor > 0 {
            watch(&node, kind, (revision, cursor), wait, &progress).await
        } else {
            let listing = node.metrics.store_call("list", node.store.list(kind));
            listing.await.map(|delta| {
                Some(WatchResponse {
                    cursor: delta.revision,
                    delta: Some(delta),
                })
            })
        };
        was_abandoned = matches!(result, Ok(None));
        match result {
            Ok(None) => {}
            Ok(Some(response)) => {
                if node.time_without_reader() >= OUTAGE_THRESHOLD {
                    recovered_at = Some(node.now());
                }
                node.record_reader();
                node.record_store_success();
                cursor = response.cursor;
                let Some(mut delta) = response.delta else {
                    confirm(&node, &progress, kind, cursor, begun_at);
                    continue;
                };
                let since = recovered_at.map(|at| node.now().since(at));
                delta.after_outage = since.is_some_and(|since| since < RECOVERY_WINDOW);
                let changed_at = delta.revision;
                let applied = node.apply_read(kind, delta);
                if node.has_revision(kind, changed_at) {
                    confirm(&node, &progress, kind, cursor, begun_at);
                }
                if let Some(delta) = applied {
                    gossip::push(&node, kind, &delta);
                }
                if kind == Kind::Servers {
                    node.clock.sleep(SERVER_BATCH_DELAY).await;
                }
            }
            Err(Error::Compacted) => {
                slog::info!(node.log, "reader: watch history compacted, listing all records";
                    "kind" => ?kind, "revision" => cursor);
                relist(&node, kind, &progress).await;
                let revision = node.view.lock().replica(kind).revision();
                if revision <= cursor {
                    // Asked again at once, a store that lists older records would be called without end.
                    node.clock.sleep(RETRY_DELAY).await;
                }
                cursor = revision;
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
    let was_reading = node.is_reader() && node.is_reading_store();
    node.record_store_failure();
    let has_successor = node.members.lock().reader_rank(true, node.now()) > 0;
    if was_reading && !has_successor {
        // The other data centres have to read the store themselves.
        gossip::send_centre_heartbeats(node, false);
    }
    if let Some(suppressed) = node.limits.store.pass(node.now()) {
        slog::warn!(node.log, "reader: store call failed"; "kind" => ?kind,
            "error" => %error, "suppressed" => suppressed);
    }
}

/// Reads all records of a kind when the changes are no longer available.
async fn relist<S, H, C>(node: &Node<S, H, C>, kind: Kind, progress: &Progress)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    loop {
        let begun_at = node.now();
        let listing = node.metrics.store_call("list", node.store.list(kind));
        match listing.await {
            Ok(delta) => {
                node.record_store_success();
                let revision = delta.revision;
                if node.apply_read(kind, delta).is_some() {
                    gossip::send_heartbeat(node);
                }
                confirm(node, progress, kind, revision, begun_at);
                return;
            }
            Err(error) => {
                record_failure(node, kind, &error);
                node.clock.sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits up to `wait` for changes of `kind` after the second of two revisions with the same records.
/// Returns `None` if the call was abandoned.
///
/// If another call or another data centre has known of changes for a while, the call may have been
/// lost without an error. If another call has failed, nothing tells whether this one still waits.
async fn watch<S, H, C>(
    node: &Node<S, H, C>,
    kind: Kind,
    (revision, cursor): (u64, u64),
    wait: Duration,
    progress: &Progress,
) -> Result<Option<WatchResponse>, Error>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let started_at = node.now();
    let received = Received::default();
    // A response that arrives is not abandoned: the next one would take as long.
    let stalled = |tolerance| received.stalled(&node.clock, tolerance, STALL_TOLERANCE);
    let waiting = async {
        let call = node.store.watch(kind, cursor, wait, &received);
        let mut response = node.metrics.store_call("watch", call).await?;
        if let Some(delta) = &mut response.delta {
            delta.after = Some(revision);
        }
        Ok(Some(response))
    };
    if wait.is_zero() {
        return waiting.await;
    }
    let silent = async {
        while !progress.may_have_changes(kind, cursor, started_at) {
            node.clock.sleep(SILENCE_TOLERANCE).await;
        }
        let silent_from = (node.now() + SILENCE_TOLERANCE).max(started_at + RESPONSE_TIME);
        stalled(silent_from - node.now()).await;
        "another call of the store shows changes"
    };
    // The changes come through `sync`.
    let lagging = async {
        node.clock.sleep(LAG_TOLERANCE).await;
        while node.members.lock().max_remote_revision(kind, node.now()) <= cursor {
            node.clock.sleep(LAG_TOLERANCE).await;
        }
        stalled(LAG_TOLERANCE).await;
        "another data centre has newer records"
    };
    let unconfirmed = async {
        while node.is_reading_store() {
            node.clock.sleep(ROLE_CHECK_INTERVAL).await;
        }
        stalled(SILENCE_TOLERANCE).await;
        "the store is unconfirmed"
    };
    let abandoned = async {
        let reason = or(or(silent, lagging), unconfirmed).await;
        node.metrics.abandoned_watch(kind, reason);
        slog::warn!(node.log, "reader: watch abandoned"; "kind" => ?kind, "revision" => cursor,
            "millis" => node.now().since(started_at).as_millis(), "why" => reason);
        Ok(None)
    };
    or(waiting, abandoned).await
}
