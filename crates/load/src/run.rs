//! Running a plan.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use clock::{Boottime, Clock, Instant};
use parking_lot::Mutex;
use smol::channel::{bounded, Sender};
use smol::future::zip;
use smol::{block_on, Executor};
use uuid::Uuid;

use crate::audit::Audit;
use crate::call::Call;
use crate::outcome::{echo, Outcome};
use crate::plan::Plan;
use crate::pool::Pool;
use crate::report::Report;
use crate::tally::Tally;
use crate::Error;

/// How long before the first call is due.
const LEAD: Duration = Duration::from_millis(20);

/// How long to wait before a call of unknown outcome is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Runs `plan` and returns what came of it. It blocks until the last call has ended.
///
/// # Errors
///
/// Fails where the plan cannot be run; the failures of calls are in the report.
pub fn run(plan: Plan) -> Result<Report, Error> {
    plan.check()?;
    let executor = Executor::new();
    let (stop, stopped) = bounded::<()>(1);
    let run = Arc::new(Run::new(plan)?);
    thread::scope(|scope| {
        for _ in 0..run.plan.workers {
            let worker = executor.run(stopped.recv());
            scope.spawn(|| block_on(worker));
        }
        let report = block_on(run.drive(&executor));
        drop(stop);
        Ok(report)
    })
}

/// One run of a plan.
struct Run {
    plan: Plan,
    /// What makes the tokens and keys of this run unique.
    id: String,
    pools: Vec<Pool>,
    tally: Mutex<Tally>,
    in_flight: AtomicUsize,
}

/// One call under way.
struct Attempt<'a> {
    call: &'a Call,
    pool: &'a Pool,
    target: String,
    key: Option<String>,
    body: Vec<u8>,
    expected: Vec<u8>,
}

impl Run {
    fn new(plan: Plan) -> Result<Self, Error> {
        let pool = |target: &_| Pool::new(*target, plan.connections);
        Ok(Self {
            id: Uuid::new_v4().simple().to_string(),
            pools: plan.targets.iter().map(pool).collect(),
            tally: Mutex::new(Tally::new(plan.calls.len())?),
            in_flight: AtomicUsize::new(0),
            plan,
        })
    }

    /// Sends every call when it is due, and waits until the last has ended.
    async fn drive(self: &Arc<Self>, executor: &Executor<'_>) -> Report {
        let (ending, ended) = bounded::<()>(1);
        let start = Boottime.now() + LEAD;
        for number in 0..self.plan.total() {
            let due = start + self.plan.due(number);
            Boottime.sleep_until(due).await;
            self.send(executor, number, due, ending.clone());
        }
        drop(ending);
        // The channel closes with the last call.
        let _ = ended.recv().await;
        let tally = self.tally.lock().clone();
        let key = |number| self.key(number);
        let audit = Audit::take(&self.plan.stand_ins, &tally.keyed, key).await;
        Report::new(&self.plan, &tally, audit)
    }

    fn send(
        self: &Arc<Self>,
        executor: &Executor<'_>,
        number: u64,
        due: Instant,
        ending: Sender<()>,
    ) {
        if self.in_flight.load(Ordering::SeqCst) >= self.plan.in_flight {
            let kind = self.plan.pick(number);
            let after = self.plan.due(number);
            let mut tally = self.tally.lock();
            tally.add(kind, after, Outcome::Unsent, Duration::ZERO);
            return;
        }
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let run = Arc::clone(self);
        let call = async move {
            run.call(number, due).await;
            run.in_flight.fetch_sub(1, Ordering::SeqCst);
            drop(ending);
        };
        executor.spawn(call).detach();
    }

    /// Makes one call and counts what came of it.
    async fn call(&self, number: u64, due: Instant) {
        let kind = self.plan.pick(number);
        let call = &self.plan.calls[kind];
        let attempt = self.attempt(number, call);
        let is_duplicate = call.keyed && self.plan.is_duplicate(number);
        let outcomes = match is_duplicate {
            true => {
                let pair = zip(self.try_once(&attempt, 1), self.try_once(&attempt, 2));
                let (first, second) = pair.await;
                vec![first, second]
            }
            false => self.try_until_known(&attempt).await,
        };
        let latency = Boottime.now() - due;
        let after = self.plan.due(number);
        let mut tally = self.tally.lock();
        tally.resends += outcomes.len() as u64 - 1;
        // What the caller is left with: the first of two copies, or the last of several attempts.
        let last = if is_duplicate { 0 } else { outcomes.len() - 1 };
        tally.add(kind, after, outcomes[last], latency);
        if call.keyed {
            tally.keyed.insert(number, outcomes);
        }
    }

    /// Sends a call, and again while its outcome is unknown and resends are left.
    async fn try_until_known(&self, attempt: &Attempt<'_>) -> Vec<Outcome> {
        let mut outcomes = vec![self.try_once(attempt, 1).await];
        if attempt.key.is_none() {
            return outcomes;
        }
        for number in 0..self.plan.resends {
            let is_doubtful = outcomes.last().is_some_and(|o| o.is_doubtful());
            if !is_doubtful {
                break;
            }
            Boottime.sleep(RESEND_INTERVAL).await;
            outcomes.push(self.try_once(attempt, number + 2).await);
        }
        outcomes
    }

    async fn try_once(&self, attempt: &Attempt<'_>, number: u32) -> Outcome {
        let request = attempt.encode(number);
        let answer = attempt.pool.call(&request, self.plan.time_limit).await;
        Outcome::of(&answer, &attempt.expected, self.plan.is_direct)
    }

    fn attempt<'a>(&'a self, number: u64, call: &'a Call) -> Attempt<'a> {
        let joint = if call.path.contains('?') { '&' } else { '?' };
        let target = format!("{}{joint}token={}-{number}", call.path, self.id);
        let key = call.keyed.then(|| self.key(number));
        let filling = format!("{number} ").into_bytes();
        let body: Vec<u8> = filling.into_iter().cycle().take(call.body).collect();
        let index = usize::try_from(number).unwrap_or(0) % self.pools.len();
        Attempt {
            expected: echo(&call.method, &target, key.as_deref(), &body),
            call,
            pool: &self.pools[index],
            target,
            key,
            body,
        }
    }

    fn key(&self, number: u64) -> String {
        format!("{}-{number}", self.id)
    }
}

impl Attempt<'_> {
    /// Returns the request of the attempt `number`, counted from 1.
    fn encode(&self, number: u32) -> Vec<u8> {
        let Call { method, host, .. } = self.call;
        let target = &self.target;
        let length = self.body.len();
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
        head.push_str(&format!("Content-Length: {length}\r\n"));
        if let Some(key) = &self.key {
            head.push_str(&format!("Idempotency-Key: {key}\r\n"));
            head.push_str(&format!("Chivewheel-Attempt: {number}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}
