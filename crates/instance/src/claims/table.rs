//! The shards that this instance acts on.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use claim::record::Record;
use claim::shard::Shard;
use clock::{Clock, Instant};
use contract::id;
use membership::duty::Duty;
use platform::Store;
use wire::claims::Unsaved;

use super::session::Session;
use super::SHARDS;
use crate::lease;
use crate::node::Node;

/// The interval at which an idle shard is checked.
const TICK: Duration = Duration::from_millis(50);

/// The shards that this instance acts on.
#[derive(Default)]
pub struct Table {
    pub(super) sessions: HashMap<Shard, Session>,
    /// Claims that earlier owners handed over, until a session adopts them.
    handed_over: HashMap<Shard, Vec<Record>>,
}

impl Table {
    /// Adopts claims that an earlier owner handed over.
    pub(crate) fn adopt(&mut self, handed_over: Vec<Unsaved>, now: Instant) {
        for Unsaved { shard, records } in handed_over {
            match self.sessions.get_mut(&shard) {
                Some(session) => session.ledger.adopt(&records, now),
                None => {
                    self.handed_over.insert(shard, records);
                }
            }
        }
    }

    /// Ends the sessions of the shards that `picks` selects, and returns their records that are not
    /// in the log.
    pub(crate) fn hand_over<F>(&mut self, picks: F) -> Vec<Unsaved>
    where
        F: Fn(Shard) -> bool,
    {
        let shards: Vec<Shard> = self
            .sessions
            .keys()
            .copied()
            .filter(|s| picks(*s))
            .collect();
        let sessions = shards
            .iter()
            .filter_map(|shard| self.sessions.remove(shard));
        sessions.map(|mut session| session.close()).collect()
    }

    /// Returns the session of `shard`, which this instance has acted on since `since`.
    pub(super) fn session_mut(
        &mut self,
        shard: Shard,
        since: Instant,
        now: Instant,
    ) -> &mut Session {
        let handed_over = self.handed_over.remove(&shard);
        let session = self.sessions.entry(shard).or_insert_with(|| {
            let mut session = Session::new(shard, since);
            if let Some(records) = handed_over {
                session.ledger.adopt(&records, now);
            }
            session
        });
        if session.since != since {
            session.restart(since, now);
        }
        session
    }

    /// Returns the number of claims that are held only in memory.
    pub(crate) fn unsaved_count(&self) -> usize {
        let sessions = self.sessions.values();
        sessions
            .map(|session| session.ledger.unsaved().count())
            .sum()
    }

    /// Returns whether all records of all sessions are in the logs.
    fn is_saved(&self) -> bool {
        self.sessions.values().all(Session::is_saved)
    }
}

/// Returns the key by which `shard` is assigned to an instance.
pub(crate) fn shard_key(shard: Shard) -> String {
    format!("claims/{shard}")
}

/// Advances the shards that this instance acts on.
pub(crate) async fn run<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    let shards = (0..SHARDS).map(|shard| smol::spawn(run_shard(node.clone(), Shard(shard))));
    let tasks: Vec<_> = shards.collect();
    loop {
        node.clock.sleep(TICK).await;
        node.clear_volatile();
        // The shard tasks are cancelled when this task is dropped.
        let _: &Vec<_> = &tasks;
    }
}

async fn run_shard<S, C>(node: Arc<Node<S, C>>, shard: Shard)
where
    S: Store,
    C: Clock,
{
    loop {
        smol::future::or(node.clock.sleep(TICK), node.shard_woken(shard)).await;
        let Some((_, since)) = node.shard_tenure(shard) else {
            continue;
        };
        if node.advance_shard(shard, since).await.is_err() {
            node.record_store_failure(shard);
        }
    }
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Returns the duty that `shard` belongs to and since when it has been held; `None` if it is
    /// not.
    pub(super) fn shard_tenure(&self, shard: Shard) -> Option<(Duty, Instant)> {
        let leases = self.leases.lock();
        leases.tenure(&shard_key(shard), None, self.now())
    }

    pub(super) fn wake_shard(&self, shard: Shard) {
        if let Some((sender, _)) = self.shard_wakers.get(shard.0 as usize) {
            // If the channel is full, a wake-up is already pending.
            let _full = sender.try_send(());
        }
    }

    async fn shard_woken(&self, shard: Shard) {
        if let Some((_, receiver)) = self.shard_wakers.get(shard.0 as usize) {
            if receiver.recv().await.is_ok() {
                return;
            }
        }
        std::future::pending().await
    }

    /// Records that the store failed, and announces with the next heartbeat that claims may be held
    /// only in memory.
    fn record_store_failure(&self, shard: Shard) {
        let is_new = {
            let mut volatile = self.volatile.lock();
            let before = volatile.is_local();
            volatile.set_local(true);
            !before
        };
        if is_new {
            slog::warn!(self.log, "claims: the store accepts no writes"; "shard" => shard.0);
            self.wake_heartbeat();
        }
        self.claims
            .lock()
            .sessions
            .entry(shard)
            .and_modify(Session::fail);
        self.grant_in_memory(shard);
    }

    /// Grants waiting claims in memory, if that is allowed.
    fn grant_in_memory(&self, shard: Shard) {
        if !self.may_claim_in_memory(shard) {
            return;
        }
        if let Some(session) = self.claims.lock().sessions.get_mut(&shard) {
            let decisions = session.ledger.grant_in_memory();
            session.deliver(decisions);
        }
    }

    /// Returns whether claims on `shard` may be held only in memory.
    pub(super) fn may_claim_in_memory(&self, shard: Shard) -> bool {
        let leases = self.leases.lock();
        let now = self.now();
        let Some((duty, since)) = leases.tenure(&shard_key(shard), None, now) else {
            return false;
        };
        let ready = leases
            .role(&duty)
            .is_some_and(|role| role.is_ready(since, now));
        let known = self
            .volatile
            .lock()
            .is_acknowledged(&self.me.name, leases.roster());
        let failing = self
            .claims
            .lock()
            .sessions
            .get(&shard)
            .is_some_and(Session::is_failing);
        ready && known && failing
    }

    /// Withdraws the announcement that claims may be held only in memory, once all are in the logs.
    fn clear_volatile(&self) {
        let mut volatile = self.volatile.lock();
        if volatile.is_local() && self.claims.lock().is_saved() {
            volatile.set_local(false);
            slog::info!(self.log, "claims: the store accepts writes again");
        }
    }

    /// Hands over the shards that this instance acted on and `owner` owns. Returns their records
    /// that are not in the log.
    pub(crate) fn hand_over_shards(
        &self,
        leases: &lease::Table,
        owner: &id::Instance,
    ) -> Vec<Unsaved> {
        self.claims.lock().hand_over(|shard| {
            let duty = leases.owner(&shard_key(shard), None);
            duty.is_some_and(|duty| duty.0 == *owner)
        })
    }
}
