//! Granting credits and taking them back.

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

use super::{Desk, Standing, Waiting};
use crate::lease;
use crate::node::Node;
use crate::telemetry::Parent;

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Grants a credit for a demand that came at `came`, within the time that the demand may wait.
    ///
    /// # Errors
    ///
    /// Why there is no credit. The demand is withdrawn.
    pub async fn ask(&self, ask: &Request, came: Instant) -> Result<Grant, Refusal> {
        let parent = Parent::received(ask.trace);
        let tracer = &self.telemetry.tracer;
        let mut span = tracer.child("grant", SpanKind::Server, &parent);
        span.set("chivewheel.pool", || ask.pool.to_string());
        let result = self.grant(ask, came).await;
        match &result {
            Ok(grant) => span.set("chivewheel.server", || grant.credit.server.to_string()),
            Err(refusal) => span.fail(reason(refusal)),
        }
        result
    }

    async fn grant(&self, ask: &Request, came: Instant) -> Result<Grant, Refusal> {
        let mut waiting = self.enter(ask, came)?;
        let verdict = waiting.verdict(came + ask.max_wait).await;
        let grant = verdict.ok_or(Refusal::Busy)?.map_err(Refusal::Pool)?;
        let Some(address) = self.view.address(&grant.credit.server) else {
            // The server left the list in the meantime.
            let unused = Release {
                credit: grant.credit.id,
                feedback: None,
            };
            self.take_back(&Releases {
                pool: ask.pool.clone(),
                releases: vec![unused],
                withdrawn: vec![],
            });
            return Err(Refusal::Busy);
        };
        let lifetime = grant.expires - came;
        Ok(Grant {
            credit: grant.credit,
            address,
            lifetime,
        })
    }

    fn enter(&self, ask: &Request, came: Instant) -> Result<Waiting<'_, S, C>, Refusal> {
        let ticket = Ticket {
            id: ask.ticket,
            instance: ask.from.clone(),
            can_wait: ask.can_wait,
            deadline: came + ask.time_left,
            // The entry's clock may be the slower one.
            time_limit: ask.time_limit + self.drift_margin(),
            avoid: ask.avoid.clone(),
            fingerprint: ask.fingerprint,
        };
        let entered = self.with_desk(&ask.pool, |desk, now| {
            let receiver = desk.ask(ticket, now);
            desk.pump(now);
            receiver
        });
        let receiver = entered.ok_or(Refusal::NotOwner)?.map_err(Refusal::Pool)?;
        Ok(Waiting::new(self, &ask.pool, ask.ticket, receiver))
    }

    /// Takes credits back.
    pub fn take_back(&self, returns: &Releases) {
        let now = self.now();
        let mut desks = self.desks.lock();
        if let Some(desk) = desks.get(&returns.pool) {
            for entry in &returns.releases {
                desk.give_back(entry, now);
            }
            for ticket in &returns.withdrawn {
                desk.cancel(*ticket, now);
            }
        }
        drop(desks);
        // What came back may go to the next in the queue.
        self.with_desk(&returns.pool, Desk::pump);
    }

    /// Runs `step` on the desk of `pool` if this instance may grant its credits now.
    pub(crate) fn with_desk<F, T>(&self, pool: &Pool, step: F) -> Option<T>
    where
        F: FnOnce(&mut Desk, Instant) -> T,
    {
        let leases = self.leases.lock();
        let now = self.now();
        let standing = standing(&leases, pool, now)?;
        let mut desks = self.desks.lock();
        let desk = desks.desk(pool, &standing, &self.view, &self.moves.lock(), now);
        if !desk.holds(&standing.duty, standing.since) {
            let acting = leases.acting(&standing.duty)?;
            let inherited = acting.admission(pool, standing.since, now)?;
            desk.admit(&standing, &inherited, now);
            slog::info!(self.log, "owner: a pool was admitted"; "pool" => %pool,
                "duty" => %standing.duty.0, "live credits" => inherited.credits.len());
        }
        Some(step(desk, now))
    }
}

/// Returns the reason of a refusal as a span has it.
fn reason(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::NotOwner => "not-owner",
        Refusal::Pool(_) => "refused",
        Refusal::Busy => "busy",
    }
}

/// Returns by what right this instance acts on `pool`.
fn standing(leases: &lease::Table, pool: &Pool, now: Instant) -> Option<Standing> {
    let (duty, since) = leases.standing(&pool.to_string(), Some(&pool.centre), now)?;
    Some(Standing { duty, since })
}

/// Returns the members that may act on `pool`, the likeliest first.
pub(crate) fn candidates(roster: &Roster, pool: &Pool) -> Vec<Member> {
    actors(roster, &pool.to_string(), Some(&pool.centre))
}

/// Returns the members that may act on the pool or shard called `key`, the likeliest first.
pub(crate) fn actors(roster: &Roster, key: &str, centre: Option<&id::Centre>) -> Vec<Member> {
    let Some(owner) = placement::owner(roster, key, centre) else {
        return Vec::new();
    };
    let duty = Duty(owner.name.clone());
    let deputies = placement::deputies(roster, &duty);
    std::iter::once(owner).chain(deputies).cloned().collect()
}
