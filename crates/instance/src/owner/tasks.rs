//! Keeps pools going and takes them over.

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

use super::Desk;
use crate::node::Node;

/// The time between two looks at what is due by time alone.
const TICK: Duration = Duration::from_millis(5);

/// The time between two looks at pools that nobody has asked for yet.
const OPEN_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two looks at what is to be recorded.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two looks at pools that are to be taken over.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(50);

/// Ends credits and demands whose time is over, and grants what that frees.
pub(crate) async fn run_pools<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    let mut opened = node.now();
    loop {
        node.clock.sleep(TICK).await;
        if node.now() >= opened + OPEN_INTERVAL {
            opened = node.now();
            node.open_pools();
        }
        let pools: Vec<Pool> = node.desks.lock().desks().map(|d| d.name.clone()).collect();
        for pool in pools {
            node.with_desk(&pool, Desk::pump);
            node.send_probes(&pool);
        }
    }
}

/// Records which backend servers were ejected or get credits again.
pub(crate) async fn run_records<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    loop {
        node.clock.sleep(RECORD_INTERVAL).await;
        let ejections: Vec<_> = {
            let mut desks = node.desks.lock();
            desks.desks_mut().map(Desk::take_ejections).collect()
        };
        for (ejected, restored) in ejections {
            for server in ejected {
                slog::warn!(node.log, "owner: a server was ejected"; "server" => %server);
            }
            for server in restored {
                slog::info!(node.log, "owner: a server gets credits again"; "server" => %server);
            }
        }
    }
}

/// Collects what is to be known before this instance may act on pools that others acted on.
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
    let asked = node.now();
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
        .reported(&duty, &member.name, report, asked, now);
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Returns what a new owner in `epoch` has to know of this instance, or `None` if this instance
    /// has not adopted that epoch: it could still accept credits of an earlier owner afterwards.
    pub(crate) fn report(&self, epoch: Epoch) -> Option<wire::Report> {
        if self.view.roster().epoch < epoch {
            return None;
        }
        Some(wire::Report {
            held: self.live_credits(),
            volatile: self.volatile_instances(),
        })
    }

    /// Returns the credits that this instance holds, and those that it granted: an instance that is
    /// not a member, such as one that starts in an outage, reports to nobody.
    fn live_credits(&self) -> Vec<wire::holding::LiveCredits> {
        let now = self.now();
        let mut held = self.holdings.report(now);
        held.extend(self.desks.lock().desks().map(|desk| desk.held(now)));
        held
    }

    fn volatile_instances(&self) -> Vec<id::Instance> {
        let volatile = self.volatile.lock();
        let mut names = volatile.others();
        if volatile.is_here() {
            names.push(self.me.name.clone());
        }
        names
    }

    /// Applies a new bundle or a new list of backend servers to the pools.
    pub(crate) fn refresh_pools(&self) {
        let now = self.now();
        let mut desks = self.desks.lock();
        let moves = self.moves.lock();
        for desk in desks.desks_mut() {
            desk.refresh(&self.view, &moves, now);
        }
    }

    /// Opens the pools that this instance may act on, so that their servers are known and probed before
    /// the first call.
    fn open_pools(&self) {
        for pool in self.all_pools() {
            // A pool that may not be acted on yet is looked at again.
            let _later = self.with_desk(&pool, |_, _| ());
        }
    }

    /// Returns the members that owned pools in the epoch before which fell to this instance and are
    /// not taken over yet.
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
            let waits = moved && self.with_desk(&pool, |_, _| ()).is_none();
            waits.then(|| earlier.name.clone())
        });
        moved.collect()
    }

    /// Returns the pools that the bundle knows.
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
