//! Obtains a credit for a call.

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
use super::credit::Held;
use crate::node::Node;
use crate::owner;

/// How long a call waits in its own data centre before it asks the others too. A crossing costs
/// about half a millisecond.
const SPILL_DELAY: Duration = Duration::from_millis(2);

/// The same for calls of routes that can wait.
const PATIENT_SPILL_DELAY: Duration = Duration::from_millis(20);

/// How long an owner may hold a demand back before it is renewed.
const ASK_WAIT: Duration = Duration::from_millis(200);

/// The pause after a pool refused a demand or could not be reached.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The members asked in turn for one pool.
const MAX_CANDIDATES: usize = 3;

/// Why there is no credit. The call has not been dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shortage {
    /// None came in time.
    Capacity,
    /// The request is in quarantine.
    Quarantined,
}

impl Shortage {
    /// Returns the reason as a span has it.
    fn reason(self) -> &'static str {
        match self {
            Shortage::Capacity => "no-capacity",
            Shortage::Quarantined => "quarantined",
        }
    }
}

/// What one pool said.
enum Said<S, C>
where
    S: Store,
    C: Clock,
{
    Credit(Box<Held<S, C>>),
    Busy,
    Quarantined,
    Unusable,
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Obtains a credit for `call`, for a server other than those in `avoid` if possible.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub(crate) async fn obtain(
        self: &Arc<Self>,
        call: &Call,
        avoid: &[id::Server],
    ) -> Result<Held<S, C>, Shortage> {
        let started = self.now();
        let tracer = &self.telemetry.tracer;
        let mut span = tracer.child("wait", SpanKind::Internal, &call.trace);
        let result = self.search(&call.under(&span), avoid).await;
        match &result {
            Ok(held) => span.set("chivewheel.server", || held.credit.server.to_string()),
            Err(shortage) => span.fail(shortage.reason()),
        }
        let waited = self.now() - started;
        let metrics = &self.telemetry.metrics;
        metrics.waited(&call.service, result.is_ok(), waited);
        result
    }

    async fn search(
        self: &Arc<Self>,
        call: &Call,
        avoid: &[id::Server],
    ) -> Result<Held<S, C>, Shortage> {
        let pools = self.pools(call);
        let Some(nearest) = pools.first() else {
            return Err(Shortage::Capacity);
        };
        let spill = if call.can_wait {
            PATIENT_SPILL_DELAY
        } else {
            SPILL_DELAY
        };
        match self.ask_pool(call, nearest, avoid, spill).await {
            Said::Credit(held) => return Ok(*held),
            Said::Quarantined => return Err(Shortage::Quarantined),
            Said::Busy | Said::Unusable => {}
        }
        self.race(call, &pools, avoid).await
    }

    /// Returns the pools of the call's service, the nearest first.
    fn pools(&self, call: &Call) -> Vec<Pool> {
        let bundle = self.view.bundle();
        let centres = bundle.centres.iter().filter(|centre| centre.in_service);
        let mut pools: Vec<Pool> = centres
            .map(|c| Pool {
                service: call.service.clone(),
                centre: c.name.clone(),
            })
            .collect();
        let near = |pool: &Pool| pool.centre == self.me.centre;
        if !pools.is_empty() {
            // Calls spread over the other data centres.
            let start = usize::try_from(call.fingerprint.0).unwrap_or(0) % pools.len();
            pools.rotate_left(start);
        }
        pools.sort_by_key(|pool| !near(pool));
        pools
    }

    /// Asks all pools at once, and takes the first credit.
    async fn race(
        self: &Arc<Self>,
        call: &Call,
        pools: &[Pool],
        avoid: &[id::Server],
    ) -> Result<Held<S, C>, Shortage> {
        let (sender, receiver) = smol::channel::bounded(1);
        let mut tasks = Vec::with_capacity(pools.len());
        for pool in pools {
            let (node, call, pool) = (self.clone(), call.clone(), pool.clone());
            let (avoid, sender) = (avoid.to_vec(), sender.clone());
            // A task that loses returns its credit: the channel refuses it or drops it.
            tasks.push(smol::spawn(async move {
                let result = node.ask_until_deadline(&call, &pool, &avoid).await;
                let _lost = sender.try_send(result);
            }));
        }
        drop(sender);
        let mut shortage = Shortage::Capacity;
        while let Ok(result) = receiver.recv().await {
            match result {
                Ok(held) => return Ok(held),
                Err(reason) => shortage = reason,
            }
        }
        drop(tasks);
        Err(shortage)
    }

    async fn ask_until_deadline(
        self: &Arc<Self>,
        call: &Call,
        pool: &Pool,
        avoid: &[id::Server],
    ) -> Result<Held<S, C>, Shortage> {
        while self.now() < call.deadline {
            let left = call.deadline - self.now();
            match self.ask_pool(call, pool, avoid, ASK_WAIT.min(left)).await {
                Said::Credit(held) => return Ok(*held),
                Said::Quarantined => return Err(Shortage::Quarantined),
                Said::Busy => {}
                Said::Unusable => self.clock.sleep(RETRY_PAUSE.min(left)).await,
            }
        }
        Err(Shortage::Capacity)
    }

    /// Asks whoever acts on `pool` for a credit, for at most `wait`.
    async fn ask_pool(
        self: &Arc<Self>,
        call: &Call,
        pool: &Pool,
        avoid: &[id::Server],
        wait: Duration,
    ) -> Said<S, C> {
        let candidates = self.actors(pool);
        for member in candidates.iter().take(MAX_CANDIDATES) {
            let ask = self.demand(call, pool, avoid, wait);
            match self.ask_member(member, &ask).await {
                Some(Err(grant::Refusal::Busy)) => return Said::Busy,
                Some(Err(grant::Refusal::Pool(ticket::Refusal::Quarantined))) => {
                    return Said::Quarantined
                }
                Some(Err(grant::Refusal::Pool(_))) => return Said::Unusable,
                Some(Ok(held)) => return Said::Credit(Box::new(held)),
                Some(Err(grant::Refusal::NotOwner)) | None => {}
            }
        }
        Said::Unusable
    }

    /// Returns who may act on `pool`, without the silent.
    fn actors(&self, pool: &Pool) -> Vec<Member> {
        let mut candidates = owner::candidates(&self.view.roster(), pool);
        let leases = self.leases.lock();
        let now = self.now();
        candidates.retain(|member| !leases.is_silent(&member.name, now));
        candidates
    }

    fn demand(
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

    async fn ask_member(
        self: &Arc<Self>,
        member: &Member,
        ask: &grant::Request,
    ) -> Option<Result<Held<S, C>, grant::Refusal>> {
        let generation = self.holdings.generation();
        let sent = self.now();
        let mine = member.name == self.me.name;
        let granter = (!mine).then_some(member.address);
        let result = match granter {
            None => self.ask(ask, sent).await,
            Some(to) => self.ask_link(to, ask).await?,
        };
        let grant = match result {
            Ok(grant) => grant,
            Err(refusal) => return Some(Err(refusal)),
        };
        // Counted from before the demand was sent, the credit never outlasts the owner's count.
        let expires = sent + grant.lifetime;
        let credit = grant.credit.clone();
        let held = Held::new(self, granter, &ask.pool, grant, expires);
        let live_until = expires + ask.time_limit;
        if self
            .holdings
            .accept(generation, &ask.pool, &credit, live_until)
        {
            return Some(Ok(held));
        }
        Some(Err(grant::Refusal::Busy))
    }

    async fn ask_link(
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

/// Withdraws a demand unless it was answered.
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
    /// Covers the time from this check to the first byte, and the drift of clocks.
    const MARGIN: Duration = Duration::from_millis(20);
    now + MARGIN < expires
}
