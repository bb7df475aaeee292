//! Callers that send calls continuously and check every response.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use client::{Connection, Limits, Request, Response};
use parking_lot::Mutex;
use smol::Task;

use crate::cluster::Cluster;

/// The number of concurrent callers.
const CALLERS: usize = 16;

/// The pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(12);

/// One in this many calls is an order.
const ORDER_EVERY: usize = 4;

/// The lowest HTTP status of a server error.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// The results of all calls of the callers.
#[derive(Debug, Default)]
pub(crate) struct Results {
    /// Complete responses.
    pub(crate) complete: u64,
    /// Calls that were refused and not executed.
    pub(crate) not_run: u64,
    /// Calls that may have been executed.
    pub(crate) unknown: u64,
    /// Responses that belong to another call or have no known outcome, and calls whose connection
    /// failed.
    pub(crate) wrong: u64,
    /// The keys of all orders.
    pub(crate) keys: Vec<String>,
    /// The keys of orders that were refused as not executed.
    pub(crate) refused_keys: Vec<String>,
}

/// State shared by the callers.
#[derive(Default)]
struct State {
    stopping: AtomicBool,
    next_call: AtomicUsize,
    results: Mutex<Results>,
}

/// Callers that run as tasks until stopped.
pub(crate) struct Callers {
    state: Arc<State>,
    tasks: Vec<Task<()>>,
}

impl Callers {
    /// Starts callers that call the instances of `cluster` in turn.
    pub(crate) fn start(cluster: &Cluster) -> Self {
        let state = Arc::new(State::default());
        let instances = cluster.callers();
        let tasks =
            (0..CALLERS).map(|_| smol::spawn(call_repeatedly(state.clone(), instances.clone())));
        Self {
            tasks: tasks.collect(),
            state,
        }
    }

    /// Waits for the first complete response.
    pub(crate) async fn wait_for_response(&self) {
        while self.state.results.lock().complete == 0 {
            smol::Timer::after(PAUSE).await;
        }
    }

    /// Stops the callers and returns their results.
    pub(crate) async fn stop(self) -> Results {
        self.state.stopping.store(true, Ordering::Release);
        for task in self.tasks {
            task.await;
        }
        std::mem::take(&mut *self.state.results.lock())
    }
}

async fn call_repeatedly(state: Arc<State>, instances: Vec<SocketAddr>) {
    while !state.stopping.load(Ordering::Acquire) {
        let number = state.next_call.fetch_add(1, Ordering::AcqRel);
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
    let response = send(to, &target, order.then_some(key.as_str())).await;
    let mut results = state.results.lock();
    if order {
        results.keys.push(key.clone());
    }
    let response = match response {
        Ok(response) => response,
        Err(error) => {
            eprintln!("wrong: the connection of {target} failed: {error}");
            results.wrong += 1;
            return;
        }
    };
    match response.header("Chivewheel-Outcome") {
        // An error response from the server is a complete response too.
        Some("complete")
            if response.status >= MIN_SERVER_ERROR_STATUS || matches_call(&response, &target) =>
        {
            results.complete += 1;
        }
        Some("not-run") => {
            results.not_run += 1;
            results.refused_keys.extend(order.then_some(key));
        }
        Some("unknown") => results.unknown += 1,
        _ => {
            eprintln!("wrong: {target} received {response:?}");
            results.wrong += 1;
        }
    }
}

/// Returns whether `response` belongs to a call of `target`, which the servers echo in the body.
fn matches_call(response: &Response, target: &str) -> bool {
    String::from_utf8_lossy(&response.body).contains(target)
}

async fn send(to: SocketAddr, target: &str, key: Option<&str>) -> Result<Response, client::Error> {
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
        .map(|(response, _)| response)
}
