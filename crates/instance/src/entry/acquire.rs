//! Acquires a credit for a call from the owner of a pool.

use std::sync::Arc;
use std::time::Duration;

use clock::{Clock, Instant};
use contract::id;
use membership::member::Member;
use opentelemetry::trace::SpanKind;
use platform::Store;
use policy::ticket;
use wire::{grant, Message, Pool, Reply};

use super::call::Call;
use super::credit::Guard;
use crate::node::Node;
use crate::owner;

/// How long a call waits for a credit in its own data centre before it also requests one from the
/// others. A request to another data centre takes about half a millisecond longer.
const SPILLOVER_DELAY: Duration = Duration::from_millis(2);

/// [`SPILLOVER_DELAY`] for calls of routes that can wait.
const PATIENT_SPILLOVER_DELAY: Duration = Duration::from_millis(20);

/// How long an owner may delay its reply to a credit request before the request is renewed.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(200);

/// The delay after a pool refused a credit request or was unreachable.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// The number of members that are tried in turn for one pool.
const MAX_CANDIDATES: usize = 3;

/// Why there is no credit. The call has not been dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unavailable {
    /// No credit was granted in time.
    Capacity,
    /// The request is in quarantine.
    Quarantined,
}

impl Unavailable {
    /// Returns the reason as the span's error.
    fn reason(self) -> &'static str {
        match self {
            Unavailable::Capacity => "no-capacity",
            Unavailable::Quarantined => "quarantined",
        }
    }
}

/// The reply of one pool to a credit request.
enum PoolReply<S, C>
where
    S: Store,
    C: Clock,
{
    Credit(Box<Guard<S, C>>),
    Busy,
    Quarantined,
    Unusable,
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Acquires a credit for `call`, for a server other than those in `avoid` if possible.
    ///
    /// # Errors
    ///
    /// The reason for which there is no credit.
    pub(crate) async fn acquire_credit(
        self: &Arc<Self>,
        call: &Call,
        avoid: &[id::Server],
    ) -> Result<Guard<S, C>, Unavailable> {
        let started = self.now();
        let tracer = &self.telemetry.tracer;
        let mut span = tracer.child("wait", SpanKind::Internal, &call.trace);
        let result = self
            .acquire_from_pools(&call.with_parent(&span), avoid)
            .await;
        match &result {
            Ok(held) => span.set("chivewheel.server", || held.credit.server.to_string()),
            Err(unavailable) => span.fail(unavailable.reason()),
        }
        let waited = self.now() - started;
        let metrics = &self.telemetry.metrics;
        metrics.record_wait(&call.service, result.is_ok(), waited);
        result
    }

    async fn acquire_from_pools(
        self: &Arc<Self>,
        call: &Call,
        avoid: &[id::Server],
    ) -> Result<Guard<S, C>, Unavailable> {
        let pools = self.service_pools(call);
        let Some(nearest) = pools.first() else {
            return Err(Unavailable::Capacity);
        };
        let spillover_delay = if call.can_wait {
            PATIENT_SPILLOVER_DELAY
        } else {
            SPILLOVER_DELAY
        };
        match self
            .request_from_pool(call, nearest, avoid, spillover_delay)
            .await
        {
            PoolReply::Credit(held) => return Ok(*held),
            PoolReply::Quarantined => return Err(Unavailable::Quarantined),
            PoolReply::Busy | PoolReply::Unusable => {}
        }
        self.race_pools(call, &pools, avoid).await
    }

    /// Returns the pools of the call's service, with that of this data centre first.
    fn service_pools(&self, call: &Call) -> Vec<Pool> {
        let bundle = self.view.bundle();
        let centres = bundle.centres.iter().filter(|centre| centre.in_service);
        let mut pools: Vec<Pool> = centres
            .map(|c| Pool {
                service: call.service.clone(),
                centre: c.name.clone(),
            })
            .collect();
        let is_local = |pool: &Pool| pool.centre == self.me.centre;
        if !pools.is_empty() {
            // Spreads calls over the other data centres.
            let start = usize::try_from(call.fingerprint.0).unwrap_or(0) % pools.len();
            pools.rotate_left(start);
        }
        pools.sort_by_key(|pool| !is_local(pool));
        pools
    }

    /// Requests a credit from all pools concurrently and returns the first one granted.
    async fn race_pools(
        self: &Arc<Self>,
        call: &Call,
        pools: &[Pool],
        avoid: &[id::Server],
    ) -> Result<Guard<S, C>, Unavailable> {
        let (sender, receiver) = smol::channel::bounded(1);
        let mut tasks = Vec::with_capacity(pools.len());
        for pool in pools {
            let (node, call, pool) = (self.clone(), call.clone(), pool.clone());
            let (avoid, sender) = (avoid.to_vec(), sender.clone());
            // A credit that comes too late is returned: the channel rejects it or drops it.
            tasks.push(smol::spawn(async move {
                let result = node.request_until_deadline(&call, &pool, &avoid).await;
                let _lost = sender.try_send(result);
            }));
        }
        drop(sender);
        let mut unavailable = Unavailable::Capacity;
        while let Ok(result) = receiver.recv().await {
            match result {
                Ok(held) => return Ok(held),
                Err(reason) => unavailable = reason,
            }
        }
        drop(tasks);
        Err(unavailable)
    }

    async fn request_until_deadline(
        self: &Arc<Self>,
        call: &Call,
        pool: &Pool,
        avoid: &[id::Server],
    ) -> Result<Guard<S, C>, Unavailable> {
        while self.now() < call.deadline {
            let left = call.deadline - self.now();
            match self
                .request_from_pool(call, pool, avoid, MAX_OWNER_WAIT.min(left))
                .await
            {
                PoolReply::Credit(held) => return Ok(*held),
                PoolReply::Quarantined => return Err(Unavailable::Quarantined),
                PoolReply::Busy => {}
                PoolReply::Unusable => self.clock.sleep(RETRY_DELAY.min(left)).await,
            }
        }
        Err(Unavailable::Capacity)
    }

    /// Requests a credit from the actor for `pool`, waiting for at most `wait`.
    async fn request_from_pool(
        self: &Arc<Self>,
        call: &Call,
        pool: &Pool,
        avoid: &[id::Server],
        wait: Duration,
    ) -> PoolReply<S, C> {
        let candidates = self.actors(pool);
        for member in candidates.iter().take(MAX_CANDIDATES) {
            let ask = self.credit_request(call, pool, avoid, wait);
            match self.request_from_member(member, &ask).await {
                Some(Err(grant::Refusal::Busy)) => return PoolReply::Busy,
                Some(Err(grant::Refusal::Pool(ticket::Refusal::Quarantined))) => {
                    return PoolReply::Quarantined
                }
                Some(Err(grant::Refusal::Pool(_))) => return PoolReply::Unusable,
                Some(Ok(held)) => return PoolReply::Credit(Box::new(held)),
                Some(Err(grant::Refusal::NotOwner)) | None => {}
            }
        }
        PoolReply::Unusable
    }

    /// Returns the members that may act on `pool`, except silent ones.
    fn actors(&self, pool: &Pool) -> Vec<Member> {
        let mut candidates = owner::candidates(&self.view.roster(), pool);
        let leases = self.leases.lock();
        let now = self.now();
        candidates.retain(|member| !leases.is_silent(&member.name, now));
        candidates
    }

    fn credit_request(
        &self,
        call: &Call,
        pool: &Pool,
        avoid: &[id::Server],
        wait: Duration,
    ) -> grant::Request {
        grant::Request {
            pool: pool.clone(),
            from: self.me.name.clone(),
            ticket: self.next_ticket(),
            can_wait: call.can_wait,
            time_left: call.deadline - self.now(),
            time_limit: call.time_limit,
            avoid: avoid.to_vec(),
            fingerprint: Some(call.fingerprint),
            max_wait: wait,
            trace: call.trace.to_wire(),
        }
    }

    async fn request_from_member(
        self: &Arc<Self>,
        member: &Member,
        ask: &grant::Request,
    ) -> Option<Result<Guard<S, C>, grant::Refusal>> {
        let generation = self.holdings.generation();
        let sent = self.now();
        let is_local = member.name == self.me.name;
        let granter = (!is_local).then_some(member.address);
        let result = match granter {
            None => self.ask(ask, sent).await,
            Some(to) => self.request_over_link(to, ask).await?,
        };
        let grant = match result {
            Ok(grant) => grant,
            Err(refusal) => return Some(Err(refusal)),
        };
        // Timed from before the request was sent, so the credit never outlives the owner's record
        // of it.
        let expires = sent + grant.lifetime;
        let credit = grant.credit.clone();
        let held = Guard::new(self, granter, &ask.pool, grant, expires);
        let live_until = expires + ask.time_limit;
        if self
            .holdings
            .accept(generation, &ask.pool, &credit, live_until)
        {
            return Some(Ok(held));
        }
        Some(Err(grant::Refusal::Busy))
    }

    async fn request_over_link(
        &self,
        to: std::net::SocketAddr,
        ask: &grant::Request,
    ) -> Option<Result<wire::Grant, grant::Refusal>> {
        let withdrawal = Withdrawal {
            node: self,
            to,
            ask,
            armed: true,
        };
        let message = Message::Acquire(ask.clone());
        let reply = self.links.call_waiting(to, &message, ask.max_wait).await;
        match reply {
            Ok(Reply::Granted(grant)) => {
                withdrawal.disarm();
                Some(Ok(grant))
            }
            Ok(Reply::Refused(refusal)) => {
                withdrawal.disarm();
                Some(Err(refusal))
            }
            _ => None,
        }
    }
}

/// Withdraws a credit request when dropped, unless it was answered.
struct Withdrawal<'a, S, C>
where
    S: Store,
    C: Clock,
{
    node: &'a Node<S, C>,
    to: std::net::SocketAddr,
    ask: &'a grant::Request,
    armed: bool,
}

impl<S, C> Withdrawal<'_, S, C>
where
    S: Store,
    C: Clock,
{
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl<S, C> Drop for Withdrawal<'_, S, C>
where
    S: Store,
    C: Clock,
{
    fn drop(&mut self) {
        if self.armed {
            self.node
                .outbox
                .withdraw(self.to, &self.ask.pool, self.ask.ticket);
        }
    }
}

/// Returns whether a request may still be dispatched on a credit that expires at `expires`.
pub(crate) fn is_usable(expires: Instant, now: Instant) -> bool {
    /// Covers the time from this check to the first byte sent, and clock drift.
    const MARGIN: Duration = Duration::from_millis(20);
    now + MARGIN < expires
}
