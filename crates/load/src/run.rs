//! Runs a plan: sends its calls on schedule and collects their outcomes.

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
use crate::outcome::{echo_body, Outcome};
use crate::plan::Plan;
use crate::pool::Pool;
use crate::report::Report;
use crate::tally::Tally;
use crate::Error;

/// Time from the start of a run until its first call is scheduled.
const START_DELAY: Duration = Duration::from_millis(20);

/// Delay before a call of unknown outcome is resent.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// Runs `plan` and returns its report. Blocks until the last call has finished.
///
/// # Errors
///
/// Returns an error if the plan is invalid. Failed calls are part of the report.
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
        let report = block_on(run.execute(&executor));
        drop(stop);
        Ok(report)
    })
}

/// State of one run of a plan.
struct Run {
    plan: Plan,
    /// Unique prefix of the tokens and keys of this run.
    run_id: String,
    pools: Vec<Pool>,
    tally: Mutex<Tally>,
    in_flight: AtomicUsize,
}

/// A call, ready to be sent one or more times.
struct PreparedCall<'a> {
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
            run_id: Uuid::new_v4().simple().to_string(),
            pools: plan.targets.iter().map(pool).collect(),
            tally: Mutex::new(Tally::new(plan.calls.len())?),
            in_flight: AtomicUsize::new(0),
            plan,
        })
    }

    /// Starts every call on schedule, waits until the last one has finished and returns the report.
    async fn execute(self: &Arc<Self>, executor: &Executor<'_>) -> Report {
        let (done_sender, done) = bounded::<()>(1);
        let start = Boottime.now() + START_DELAY;
        for number in 0..self.plan.total_calls() {
            let due = start + self.plan.offset(number);
            Boottime.sleep_until(due).await;
            self.start_call(executor, number, due, done_sender.clone());
        }
        drop(done_sender);
        // The channel closes when the last call drops its sender.
        let _ = done.recv().await;
        let tally = self.tally.lock().clone();
        let key = |number| self.key(number);
        let audit = Audit::collect(&self.plan.stand_ins, &tally.keyed, key).await;
        Report::new(&self.plan, &tally, audit)
    }

    fn start_call(
        self: &Arc<Self>,
        executor: &Executor<'_>,
        number: u64,
        due: Instant,
        done_sender: Sender<()>,
    ) {
        if self.in_flight.load(Ordering::SeqCst) >= self.plan.in_flight {
            let call_type = self.plan.call_type(number);
            let offset = self.plan.offset(number);
            let mut tally = self.tally.lock();
            tally.add(call_type, offset, Outcome::Unsent, Duration::ZERO);
            return;
        }
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let run = Arc::clone(self);
        let call = async move {
            run.call(number, due).await;
            run.in_flight.fetch_sub(1, Ordering::SeqCst);
            drop(done_sender);
        };
        executor.spawn(call).detach();
    }

    /// Makes one call and records its outcome.
    async fn call(&self, number: u64, due: Instant) {
        let call_type = self.plan.call_type(number);
        let call = &self.plan.calls[call_type];
        let prepared = self.prepare(number, call);
        let is_duplicate = call.keyed && self.plan.is_duplicate(number);
        let outcomes = match is_duplicate {
            true => {
                let pair = zip(self.send_once(&prepared, 1), self.send_once(&prepared, 2));
                let (first, second) = pair.await;
                vec![first, second]
            }
            false => self.send_until_known(&prepared).await,
        };
        let latency = Boottime.now() - due;
        let offset = self.plan.offset(number);
        let mut tally = self.tally.lock();
        tally.resends += outcomes.len() as u64 - 1;
        // A call has the outcome of the first of two copies, or of the last of several attempts.
        let decisive = if is_duplicate { 0 } else { outcomes.len() - 1 };
        tally.add(call_type, offset, outcomes[decisive], latency);
        if call.keyed {
            tally.keyed.insert(number, outcomes);
        }
    }

    /// Sends a call, and resends it if keyed while its outcome is unknown and resends remain.
    async fn send_until_known(&self, call: &PreparedCall<'_>) -> Vec<Outcome> {
        let mut outcomes = vec![self.send_once(call, 1).await];
        if call.key.is_none() {
            return outcomes;
        }
        for resend in 0..self.plan.resends {
            let is_doubtful = outcomes.last().is_some_and(|o| o.is_doubtful());
            if !is_doubtful {
                break;
            }
            Boottime.sleep(RESEND_DELAY).await;
            outcomes.push(self.send_once(call, resend + 2).await);
        }
        outcomes
    }

    async fn send_once(&self, call: &PreparedCall<'_>, attempt: u32) -> Outcome {
        let request = call.encode(attempt);
        let result = call.pool.call(&request, self.plan.time_limit).await;
        Outcome::of(&result, &call.expected, self.plan.is_direct)
    }

    fn prepare<'a>(&'a self, number: u64, call: &'a Call) -> PreparedCall<'a> {
        let separator = if call.path.contains('?') { '&' } else { '?' };
        let target = format!("{}{separator}token={}-{number}", call.path, self.run_id);
        let key = call.keyed.then(|| self.key(number));
        let pattern = format!("{number} ").into_bytes();
        let body: Vec<u8> = pattern.into_iter().cycle().take(call.body).collect();
        let index = usize::try_from(number).unwrap_or(0) % self.pools.len();
        PreparedCall {
            expected: echo_body(&call.method, &target, key.as_deref(), &body),
            call,
            pool: &self.pools[index],
            target,
            key,
            body,
        }
    }

    fn key(&self, number: u64) -> String {
        format!("{}-{number}", self.run_id)
    }
}

impl PreparedCall<'_> {
    /// Returns the encoded request for the given attempt, counted from 1.
    fn encode(&self, attempt: u32) -> Vec<u8> {
        let Call { method, host, .. } = self.call;
        let target = &self.target;
        let length = self.body.len();
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
        head.push_str(&format!("Content-Length: {length}\r\n"));
        if let Some(key) = &self.key {
            head.push_str(&format!("Idempotency-Key: {key}\r\n"));
            head.push_str(&format!("Chivewheel-Attempt: {attempt}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}
