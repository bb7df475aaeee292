//! Callers that check every answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use client::{Answer, Connection, Limits, Request};
use parking_lot::Mutex;
use smol::Task;

use crate::cluster::Cluster;

/// The callers at work at once.
const CALLERS: usize = 16;

/// The pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(12);

/// One call in so many is an order.
const ORDER_EVERY: usize = 4;

/// Statuses from here on say that a server failed.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// What callers saw.
#[derive(Debug, Default)]
pub(crate) struct Results {
    /// Whole answers.
    pub(crate) complete: u64,
    /// Calls refused because they did not run.
    pub(crate) not_run: u64,
    /// Calls that may have run.
    pub(crate) unknown: u64,
    /// Answers that belong to another call, and calls that were cut.
    pub(crate) wrong: u64,
    /// The keys of all orders.
    pub(crate) keys: Vec<String>,
    /// The keys of orders that were refused because they did not run.
    pub(crate) refused_keys: Vec<String>,
}

/// What callers share.
#[derive(Default)]
struct State {
    stops: AtomicBool,
    next: AtomicUsize,
    results: Mutex<Results>,
}

/// Callers at work.
pub(crate) struct Callers {
    state: Arc<State>,
    tasks: Vec<Task<()>>,
}

impl Callers {
    /// Starts callers that call the instances of `cluster` in turn.
    pub(crate) fn start(cluster: &Cluster) -> Self {
        let state = Arc::new(State::default());
        let instances = cluster.callers();
        let tasks = (0..CALLERS).map(|_| smol::spawn(work(state.clone(), instances.clone())));
        Self {
            tasks: tasks.collect(),
            state,
        }
    }

    /// Waits for the first whole answer, and forgets the refusals before it.
    pub(crate) async fn wait_for_response(&self) {
        while self.state.results.lock().complete == 0 {
            smol::Timer::after(PAUSE).await;
        }
    }

    /// Stops the callers and returns what they saw.
    pub(crate) async fn stop(self) -> Results {
        self.state.stops.store(true, Ordering::Release);
        for task in self.tasks {
            task.await;
        }
        std::mem::take(&mut *self.state.results.lock())
    }
}

async fn work(state: Arc<State>, instances: Vec<SocketAddr>) {
    while !state.stops.load(Ordering::Acquire) {
        let number = state.next.fetch_add(1, Ordering::AcqRel);
        call(&state, instances[number % instances.len()], number).await;
        smol::Timer::after(PAUSE).await;
    }
}

async fn call(state: &State, to: SocketAddr, number: usize) {
    let order = number.is_multiple_of(ORDER_EVERY);
    let key = format!("order-{number}");
    let target = if order {
        format!("/orders/{number}")
    } else {
        format!("/levels/{number}")
    };
    let answer = send(to, &target, order.then_some(key.as_str())).await;
    let mut results = state.results.lock();
    if order {
        results.keys.push(key.clone());
    }
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            eprintln!("wrong: {target} was cut: {error}");
            results.wrong += 1;
            return;
        }
    };
    match answer.header("Chivewheel-Outcome") {
        // A server's own word that it failed is a whole answer too.
        Some("complete")
            if answer.status >= MIN_SERVER_ERROR_STATUS || matches_call(&answer, &target) =>
        {
            results.complete += 1;
        }
        Some("not-run") => {
            results.not_run += 1;
            results.refused_keys.extend(order.then_some(key));
        }
        Some("unknown") => results.unknown += 1,
        _ => {
            eprintln!("wrong: {target} got {answer:?}");
            results.wrong += 1;
        }
    }
}

/// Returns whether `answer` is that to a call of `target`: the servers echo it.
fn matches_call(answer: &Answer, target: &str) -> bool {
    String::from_utf8_lossy(&answer.body).contains(target)
}

async fn send(to: SocketAddr, target: &str, key: Option<&str>) -> Result<Answer, client::Error> {
    let header = |name: &str, value: &str| (name.to_owned(), value.as_bytes().to_vec());
    let mut headers = Vec::new();
    if let Some(key) = key {
        headers.push(header("Idempotency-Key", key));
        headers.push(header("Chivewheel-Attempt", "1"));
    }
    let request = Request {
        method: if key.is_some() { "POST" } else { "GET" },
        target,
        host: "gauge.example",
        headers: &headers,
        body: key.unwrap_or_default().as_bytes(),
    };
    let connection = Connection::open(to).await?;
    connection
        .exchange(&request, Limits::default())
        .await
        .map(|(answer, _)| answer)
}
