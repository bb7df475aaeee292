//! Answers credit requests and releases.

use clock::{Clock, Instant};
use contract::id;
use membership::duty::Duty;
use membership::member::Member;
use membership::placement;
use membership::roster::Roster;
use opentelemetry::trace::SpanKind;
use platform::Store;
use policy::ticket::Ticket;
use wire::grant::{Refusal, Release, Releases, Request};
use wire::{Grant, Pool};

use super::{Allocator, Tenure, Waiter};
use crate::lease;
use crate::node::Node;
use crate::telemetry::Parent;

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Grants a credit for a request received at `received_at`, waiting for at most `ask.wait`.
    ///
    /// # Errors
    ///
    /// The reason for which there is no credit. The request is withdrawn.
    pub async fn ask(&self, ask: &Request, received_at: Instant) -> Result<Grant, Refusal> {
        let parent = Parent::from_wire(ask.trace);
        let tracer = &self.telemetry.tracer;
        let mut span = tracer.child("grant", SpanKind::Server, &parent);
        span.set("chivewheel.pool", || ask.pool.to_string());
        let result = self.grant(ask, received_at).await;
        match &result {
            Ok(grant) => span.set("chivewheel.server", || grant.credit.server.to_string()),
            Err(refusal) => span.fail(reason(refusal)),
        }
        result
    }

    async fn grant(&self, ask: &Request, received_at: Instant) -> Result<Grant, Refusal> {
        let mut waiting = self.enqueue(ask, received_at)?;
        let decision = waiting.decision(received_at + ask.max_wait).await;
        let grant = decision.ok_or(Refusal::Busy)?.map_err(Refusal::Pool)?;
        let Some(address) = self.view.address(&grant.credit.server) else {
            // The server was removed from the platform's list in the meantime.
            let unused = Release {
                credit: grant.credit.id,
                feedback: None,
            };
            self.release_credits(&Releases {
                pool: ask.pool.clone(),
                releases: vec![unused],
                withdrawn: vec![],
            });
            return Err(Refusal::Busy);
        };
        let lifetime = grant.expires - received_at;
        Ok(Grant {
            credit: grant.credit,
            address,
            lifetime,
        })
    }

    fn enqueue(&self, ask: &Request, received_at: Instant) -> Result<Waiter<'_, S, C>, Refusal> {
        let ticket = Ticket {
            id: ask.ticket,
            instance: ask.from.clone(),
            can_wait: ask.can_wait,
            deadline: received_at + ask.time_left,
            // The requesting instance's clock may run slower.
            time_limit: ask.time_limit + self.drift_margin(),
            avoid: ask.avoid.clone(),
            fingerprint: ask.fingerprint,
        };
        let queued = self.with_pool(&ask.pool, |allocator, now| {
            let receiver = allocator.enqueue(ticket, now);
            allocator.serve_queue(now);
            receiver
        });
        let receiver = queued.ok_or(Refusal::NotOwner)?.map_err(Refusal::Pool)?;
        Ok(Waiter::new(self, &ask.pool, ask.ticket, receiver))
    }

    /// Releases credits and cancels withdrawn tickets.
    pub fn release_credits(&self, returns: &Releases) {
        let now = self.now();
        let mut pools = self.pools.lock();
        if let Some(allocator) = pools.get(&returns.pool) {
            for entry in &returns.releases {
                allocator.release(entry, now);
            }
            for ticket in &returns.withdrawn {
                allocator.cancel(*ticket, now);
            }
        }
        drop(pools);
        // The released credits may serve the next tickets in the queue.
        self.with_pool(&returns.pool, Allocator::serve_queue);
    }

    /// Runs `step` on the allocator of `pool`, or returns `None` if this instance may not grant its
    /// credits now.
    pub(crate) fn with_pool<F, T>(&self, pool: &Pool, step: F) -> Option<T>
    where
        F: FnOnce(&mut Allocator, Instant) -> T,
    {
        let leases = self.leases.lock();
        let now = self.now();
        let tenure = tenure(&leases, pool, now)?;
        let mut pools = self.pools.lock();
        let allocator = pools.get_or_open(pool, &tenure, &self.view, &self.moves.lock(), now);
        if !allocator.is_active(&tenure.duty, tenure.since) {
            let role = leases.role(&tenure.duty)?;
            let snapshot = role.snapshot(pool, tenure.since, now)?;
            allocator.activate(&tenure, &snapshot, now);
            slog::info!(self.log, "owner: started granting the credits of a pool"; "pool" => %pool,
                "duty" => %tenure.duty.0, "live credits" => snapshot.credits.len());
        }
        Some(step(allocator, now))
    }
}

/// Returns the reason of a refusal as the span's error.
fn reason(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::NotOwner => "not-owner",
        Refusal::Pool(_) => "refused",
        Refusal::Busy => "busy",
    }
}

/// Returns the tenure under which this instance acts on `pool`, if it does.
fn tenure(leases: &lease::Table, pool: &Pool, now: Instant) -> Option<Tenure> {
    let (duty, since) = leases.tenure(&pool.to_string(), Some(&pool.centre), now)?;
    Some(Tenure { duty, since })
}

/// Returns the members that may act on `pool`, most likely first.
pub(crate) fn candidates(roster: &Roster, pool: &Pool) -> Vec<Member> {
    actors(roster, &pool.to_string(), Some(&pool.centre))
}

/// Returns the members that may act on the pool or shard called `key`, most likely first.
pub(crate) fn actors(roster: &Roster, key: &str, centre: Option<&id::Centre>) -> Vec<Member> {
    let Some(owner) = placement::owner(roster, key, centre) else {
        return Vec::new();
    };
    let duty = Duty(owner.name.clone());
    let deputies = placement::deputies(roster, &duty);
    std::iter::once(owner).chain(deputies).cloned().collect()
}
