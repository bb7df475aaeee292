//! Callers that send calls continuously and check every response.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use client::Response;
use parking_lot::Mutex;

use crate::cluster::{Call, Cluster};

/// The results of all calls of the callers.
#[derive(Debug, Default)]
pub(crate) struct Results {
    pub(crate) complete: usize,
    pub(crate) not_run: usize,
    pub(crate) unknown: usize,
    /// Responses that belong to another call, or have no known outcome.
    pub(crate) wrong: usize,
    /// Calls whose connection was refused or failed.
    pub(crate) connection_errors: usize,
    /// The connection errors, and the responses to calls whose outcome is unknown.
    pub(crate) errors: Vec<String>,
    /// Complete responses with a 5xx status from a backend server.
    pub(crate) server_errors: usize,
    /// The keys of calls of which every attempt was refused as not run.
    pub(crate) refused_keys: Vec<String>,
    /// The keys of calls that completed.
    pub(crate) complete_keys: Vec<String>,
    /// The keys of all keyed calls.
    pub(crate) keys: Vec<String>,
}

/// Callers that run on their own threads until stopped.
pub(crate) struct Traffic {
    stop: Arc<AtomicBool>,
    results: Arc<Mutex<Results>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

/// The number of the next call, unique across all tests of the process.
static NEXT_CALL: AtomicUsize = AtomicUsize::new(0);

/// One in this many calls is an order.
const ORDER_EVERY: usize = 4;

impl Traffic {
    /// Starts `callers` callers. Each calls the instances in turn and waits for `pause` after each
    /// call.
    pub(crate) fn start(instances: &[SocketAddr], callers: usize, pause: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let results = Arc::new(Mutex::new(Results::default()));
        let threads = (0..callers).map(|_| {
            let (stop, results, instances) = (stop.clone(), results.clone(), instances.to_vec());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    let number = NEXT_CALL.fetch_add(1, Ordering::AcqRel);
                    call(&instances, number, &results);
                    std::thread::sleep(pause);
                }
            })
        });
        let threads = threads.collect();
        Self {
            stop,
            results,
            threads,
        }
    }

    /// Returns the number of complete responses so far.
    pub(crate) fn complete(&self) -> usize {
        self.results.lock().complete
    }

    /// Stops the callers and returns their results.
    pub(crate) fn stop(self) -> Results {
        self.stop.store(true, Ordering::Release);
        for thread in self.threads {
            thread.join().expect("caller");
        }
        std::mem::take(&mut *self.results.lock())
    }
}

/// How often a caller resends an order that has not completed.
const MAX_RESENDS: usize = 3;

/// Makes one call. An order that does not complete is resent through the next instance.
fn call(instances: &[SocketAddr], number: usize, results: &Mutex<Results>) {
    if !number.is_multiple_of(ORDER_EVERY) {
        let target = format!("/levels/{number}");
        let response = send(instances[number % instances.len()], &Call::get(&target));
        results.lock().record(&target, response);
        return;
    }
    let target = format!("/orders/{number}");
    let key = format!("key-{number}");
    let body = format!("token-{number}");
    results.lock().keys.push(key.clone());
    let mut outcomes = Vec::new();
    for attempt in 0..=MAX_RESENDS {
        let call = Call::post(&target, &key, body.as_bytes());
        let call = call.with("Chivewheel-Attempt", &(attempt + 1).to_string());
        let to = instances[(number + attempt) % instances.len()];
        let response = send(to, &call);
        let outcome = results.lock().record(&target, response);
        outcomes.push(outcome);
        if outcome == Outcome::Complete {
            break;
        }
    }
    let mut results = results.lock();
    if outcomes.last() == Some(&Outcome::Complete) {
        results.complete_keys.push(key);
    } else if outcomes.iter().all(|outcome| *outcome == Outcome::NotRun) {
        results.refused_keys.push(key);
    }
}

fn send(to: SocketAddr, call: &Call<'_>) -> Result<Response, client::Error> {
    smol::block_on(call.send(to))
}

/// The outcome of one attempt, as the caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Complete,
    NotRun,
    Unknown,
}

impl Results {
    /// Records the response to a call of `target` and returns its outcome.
    fn record(&mut self, target: &str, response: Result<Response, client::Error>) -> Outcome {
        let response = match response {
            Ok(response) => response,
            Err(error) => {
                self.connection_errors += 1;
                self.errors.push(error.to_string());
                return Outcome::Unknown;
            }
        };
        match response.header("Chivewheel-Outcome") {
            Some("complete") if response.status >= 500 => {
                self.server_errors += 1;
                Outcome::Unknown
            }
            Some("complete") => {
                self.complete += 1;
                let matches_call = String::from_utf8_lossy(&response.body).contains(target);
                self.wrong += usize::from(!matches_call);
                Outcome::Complete
            }
            Some("not-run") => {
                self.not_run += 1;
                Outcome::NotRun
            }
            Some("unknown") => {
                self.unknown += 1;
                let text = String::from_utf8_lossy(&response.body);
                self.errors
                    .push(format!("{target}: {} {}", response.status, text.trim()));
                Outcome::Unknown
            }
            _ => {
                self.wrong += 1;
                Outcome::Unknown
            }
        }
    }
}

impl Results {
    /// Asserts what must hold under any failure: no response is wrong, each key is executed at most
    /// once, a call that was refused as not run is not executed, and a call that completed is
    /// executed exactly once.
    pub(crate) fn assert_invariants(&self, cluster: &Cluster) {
        assert_eq!(self.wrong, 0, "{self:?}");
        for key in &self.keys {
            assert!(
                cluster.executions(key) <= 1,
                "{key} was executed {} times",
                cluster.executions(key)
            );
        }
        for key in &self.refused_keys {
            assert_eq!(cluster.executions(key), 0, "{key} was refused but executed");
        }
        for key in &self.complete_keys {
            assert_eq!(
                cluster.executions(key),
                1,
                "{key} completed but was not executed exactly once"
            );
        }
    }
}
