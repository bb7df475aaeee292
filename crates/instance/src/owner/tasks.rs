//! Background tasks of the owned pools: expiry, probes, logging and takeover.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use contract::id;
use membership::duty::Duty;
use membership::epoch::Epoch;
use membership::member::Member;
use membership::placement;
use membership::roster::Roster;
use platform::Store;
use wire::{Message, Pool, Reply};

use super::Allocator;
use crate::node::Node;

/// The interval at which timeouts are checked.
const TICK: Duration = Duration::from_millis(5);

/// The interval at which pools without credit requests are opened.
const OPEN_INTERVAL: Duration = Duration::from_millis(500);

/// The interval at which ejections are logged.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// The interval at which pending takeovers are checked.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(50);

/// Expires credits and tickets, and grants the credits that become free.
pub(crate) async fn run_pools<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    let mut last_open = node.now();
    loop {
        node.clock.sleep(TICK).await;
        if node.now() >= last_open + OPEN_INTERVAL {
            last_open = node.now();
            node.open_pools();
        }
        let pools: Vec<Pool> = node.pools.lock().iter().map(|a| a.name.clone()).collect();
        for pool in pools {
            node.with_pool(&pool, Allocator::serve_queue);
            node.send_probes(&pool);
        }
    }
}

/// Logs the backend servers that were ejected or restored.
pub(crate) async fn run_records<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    loop {
        node.clock.sleep(RECORD_INTERVAL).await;
        let ejections: Vec<_> = {
            let mut pools = node.pools.lock();
            pools
                .iter_mut()
                .map(Allocator::take_ejection_changes)
                .collect()
        };
        for (ejected, restored) in ejections {
            for server in ejected {
                slog::warn!(node.log, "owner: ejected a backend server"; "server" => %server);
            }
            for server in restored {
                slog::info!(node.log, "owner: restored a backend server after its ejection"; "server" => %server);
            }
        }
    }
}

/// Collects the reports that this instance needs before it may act on pools of other actors.
pub(crate) async fn run_takeovers<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    loop {
        node.clock.sleep(TAKEOVER_INTERVAL).await;
        let missing = node.leases.lock().missing_reports(node.now());
        for (duty, members) in missing {
            for member in members {
                smol::spawn(collect_report(node.clone(), duty.clone(), member)).detach();
            }
        }
        for holder in node.earlier_owners() {
            let node = node.clone();
            smol::spawn(async move { node.reclaim(&holder).await }).detach();
        }
    }
}

async fn collect_report<S, C>(node: Arc<Node<S, C>>, duty: Duty, member: Member)
where
    S: Store,
    C: Clock,
{
    let requested_at = node.now();
    let epoch = node.leases.lock().roster().epoch;
    let report = if member.name == node.me.name {
        match node.report(epoch) {
            Some(report) => report,
            None => return,
        }
    } else {
        match node
            .links
            .call(member.address, &Message::GetReport(epoch))
            .await
        {
            Ok(Reply::Report(report)) => report,
            _ => return,
        }
    };
    let now = node.now();
    node.leases
        .lock()
        .record_report(&duty, &member.name, report, requested_at, now);
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Returns this instance's report for a new owner in `epoch`, or `None` if this instance has
    /// not adopted that epoch and could still accept credits of an earlier owner afterwards.
    pub(crate) fn report(&self, epoch: Epoch) -> Option<wire::Report> {
        if self.view.roster().epoch < epoch {
            return None;
        }
        Some(wire::Report {
            held: self.live_credits(),
            volatile: self.volatile_instances(),
        })
    }

    /// Releases the credits that this instance holds and those that it granted. The latter are
    /// included because an instance that is not a member, such as one started during an outage,
    /// does not report the credits it holds.
    fn live_credits(&self) -> Vec<wire::holding::LiveCredits> {
        let now = self.now();
        let mut held = self.holdings.report(now);
        held.extend(
            self.pools
                .lock()
                .iter()
                .map(|allocator| allocator.live_credits(now)),
        );
        held
    }

    fn volatile_instances(&self) -> Vec<id::Instance> {
        let volatile = self.volatile.lock();
        let mut names = volatile.others();
        if volatile.is_local() {
            names.push(self.me.name.clone());
        }
        names
    }

    /// Applies a new bundle or a new list of backend servers to the pools.
    pub(crate) fn refresh_pools(&self) {
        let now = self.now();
        let mut pools = self.pools.lock();
        let moves = self.moves.lock();
        for allocator in pools.iter_mut() {
            allocator.refresh(&self.view, &moves, now);
        }
    }

    /// Opens the pools that this instance may act on, so their servers are known and probed before
    /// the first call.
    fn open_pools(&self) {
        for pool in self.all_pools() {
            // A pool that may not be acted on yet is opened in a later pass.
            let _later = self.with_pool(&pool, |_, _| ());
        }
    }

    /// Returns the members that owned, in the previous epoch, pools that are now assigned to this
    /// instance and not taken over yet.
    fn earlier_owners(&self) -> BTreeSet<id::Instance> {
        let roster = self.view.roster();
        let before = Roster {
            members: roster.prior.clone(),
            ..Roster::default()
        };
        let moved = self.all_pools().into_iter().filter_map(|pool| {
            let key = pool.to_string();
            let owner = placement::owner(&roster, &key, Some(&pool.centre))?;
            let earlier = placement::owner(&before, &key, Some(&pool.centre))?;
            let moved = owner.name == self.me.name && earlier.name != self.me.name;
            let is_pending = moved && self.with_pool(&pool, |_, _| ()).is_none();
            is_pending.then(|| earlier.name.clone())
        });
        moved.collect()
    }

    /// Returns the pools of the bundle: one for each service and data centre.
    pub(crate) fn all_pools(&self) -> Vec<Pool> {
        let bundle = self.view.bundle();
        let services = bundle.services.iter();
        let pools = services.flat_map(|service| {
            bundle.centres.iter().map(|centre| Pool {
                service: service.name.clone(),
                centre: centre.name.clone(),
            })
        });
        pools.collect()
    }
}
