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

use super::keeper::Keeper;
use super::SHARDS;
use crate::lease;
use crate::node::Node;

/// The time between two looks at a shard for which nothing happens.
const TICK: Duration = Duration::from_millis(50);

/// The shards that this instance acts on.
#[derive(Default)]
pub struct Table {
    pub(super) keepers: HashMap<Shard, Keeper>,
    /// Claims that earlier owners handed over, until they are taken in.
    handed: HashMap<Shard, Vec<Record>>,
}

impl Table {
    /// Takes in claims that an earlier owner handed over.
    pub(crate) fn adopt(&mut self, handed: Vec<Unsaved>, now: Instant) {
        for Unsaved { shard, records } in handed {
            match self.keepers.get_mut(&shard) {
                Some(keeper) => keeper.ledger.adopt(&records, now),
                None => {
                    self.handed.insert(shard, records);
                }
            }
        }
    }

    /// Stops keeping the shards that `moves` picks, and returns what only this instance knows.
    pub(crate) fn give_up<F>(&mut self, moves: F) -> Vec<Unsaved>
    where
        F: Fn(Shard) -> bool,
    {
        let shards: Vec<Shard> = self.keepers.keys().copied().filter(|s| moves(*s)).collect();
        let keepers = shards.iter().filter_map(|shard| self.keepers.remove(shard));
        keepers.map(|mut keeper| keeper.close()).collect()
    }

    /// Returns the keeper of `shard`, acted on since `since`.
    pub(super) fn keeper(&mut self, shard: Shard, since: Instant, now: Instant) -> &mut Keeper {
        let handed = self.handed.remove(&shard);
        let keeper = self.keepers.entry(shard).or_insert_with(|| {
            let mut keeper = Keeper::new(shard, since);
            if let Some(records) = handed {
                keeper.ledger.adopt(&records, now);
            }
            keeper
        });
        if keeper.since != since {
            keeper.restart(since, now);
        }
        keeper
    }

    /// Returns the number of claims that are held in memory alone.
    pub(crate) fn unsaved(&self) -> usize {
        let keepers = self.keepers.values();
        keepers.map(|keeper| keeper.ledger.unsaved().count()).sum()
    }

    /// Returns whether all that is known here is in the logs.
    fn is_saved(&self) -> bool {
        self.keepers.values().all(Keeper::is_saved)
    }
}

/// Returns the key by which `shard` is placed.
pub(crate) fn shard_key(shard: Shard) -> String {
    format!("claims/{shard}")
}

/// Keeps the shards that this instance acts on.
pub(crate) async fn run<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    let shards = (0..SHARDS).map(|shard| smol::spawn(run_shard(node.clone(), Shard(shard))));
    let tasks: Vec<_> = shards.collect();
    loop {
        node.clock.sleep(TICK).await;
        node.settle_volatile();
        // Dropping the tasks with this one ends them.
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
        let Some((_, since)) = node.shard_standing(shard) else {
            continue;
        };
        if node.advance_shard(shard, since).await.is_err() {
            node.note_store_failure(shard);
        }
    }
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Returns the duty that `shard` belongs to and since when it is held, if it is.
    pub(super) fn shard_standing(&self, shard: Shard) -> Option<(Duty, Instant)> {
        let leases = self.leases.lock();
        leases.standing(&shard_key(shard), None, self.now())
    }

    pub(super) fn wake_shard(&self, shard: Shard) {
        if let Some((sender, _)) = self.shard_wakers.get(shard.0 as usize) {
            // A full channel wakes the task all the same.
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

    /// Says with the next heartbeat that claims may be held in memory alone.
    fn note_store_failure(&self, shard: Shard) {
        let newly = {
            let mut volatile = self.volatile.lock();
            let before = volatile.is_here();
            volatile.set_here(true);
            !before
        };
        if newly {
            slog::warn!(self.log, "claims: the store takes no writes"; "shard" => shard.0);
            self.wake();
        }
        self.claims
            .lock()
            .keepers
            .entry(shard)
            .and_modify(Keeper::fail);
        self.grant_in_memory(shard);
    }

    /// Lets waiting claims be held in memory, if that is allowed.
    fn grant_in_memory(&self, shard: Shard) {
        if !self.may_claim_in_memory(shard) {
            return;
        }
        if let Some(keeper) = self.claims.lock().keepers.get_mut(&shard) {
            let decisions = keeper.ledger.grant_in_memory();
            keeper.deliver(decisions);
        }
    }

    /// Returns whether claims on `shard` may be held in memory alone.
    pub(super) fn may_claim_in_memory(&self, shard: Shard) -> bool {
        let leases = self.leases.lock();
        let now = self.now();
        let Some((duty, since)) = leases.standing(&shard_key(shard), None, now) else {
            return false;
        };
        let ready = leases
            .acting(&duty)
            .is_some_and(|acting| acting.is_ready(since, now));
        let known = self
            .volatile
            .lock()
            .is_known(&self.me.name, leases.roster());
        let failing = self
            .claims
            .lock()
            .keepers
            .get(&shard)
            .is_some_and(Keeper::is_failing);
        ready && known && failing
    }

    /// Takes back the word that claims may be held in memory alone, once none are.
    fn settle_volatile(&self) {
        let mut volatile = self.volatile.lock();
        if volatile.is_here() && self.claims.lock().is_saved() {
            volatile.set_here(false);
            slog::info!(self.log, "claims: the store takes writes again");
        }
    }

    /// Returns the shards that this instance acted on and `owner` owns, with what only this
    /// instance knows of them. They are given up.
    pub(crate) fn give_up_shards(
        &self,
        leases: &lease::Table,
        owner: &id::Instance,
    ) -> Vec<Unsaved> {
        self.claims.lock().give_up(|shard| {
            let duty = leases.owner(&shard_key(shard), None);
            duty.is_some_and(|duty| duty.0 == *owner)
        })
    }
}
