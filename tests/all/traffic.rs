//! Callers that check every answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use client::Answer;
use parking_lot::Mutex;

use crate::cluster::{Call, Cluster};

/// What callers saw.
#[derive(Debug, Default)]
pub(crate) struct Results {
    pub(crate) complete: usize,
    pub(crate) not_run: usize,
    pub(crate) unknown: usize,
    /// Answers that belong to another call, or are not whole.
    pub(crate) wrong: usize,
    /// Calls whose connection was refused or broke.
    pub(crate) connection_errors: usize,
    /// How the connections of those broke, and why other calls are unknown.
    pub(crate) errors: Vec<String>,
    /// Answers of status 5xx that a backend server gave.
    pub(crate) server_errors: usize,
    /// The keys of calls that were refused as not run.
    pub(crate) refused_keys: Vec<String>,
    /// The keys of calls that were answered as complete.
    pub(crate) complete_keys: Vec<String>,
    /// The keys of all calls.
    pub(crate) keys: Vec<String>,
}

/// Callers at work until they are stopped.
pub(crate) struct Traffic {
    stop: Arc<AtomicBool>,
    results: Arc<Mutex<Results>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

/// Numbers all calls of all tests.
static NEXT: AtomicUsize = AtomicUsize::new(0);

/// The share of calls that are orders, one in so many.
const ORDER_EVERY: usize = 4;

impl Traffic {
    /// Starts `callers` callers, each of which calls the instances in turn with a pause between.
    pub(crate) fn start(instances: &[SocketAddr], callers: usize, pause: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let results = Arc::new(Mutex::new(Results::default()));
        let threads = (0..callers).map(|_| {
            let (stop, results, instances) = (stop.clone(), results.clone(), instances.to_vec());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    let number = NEXT.fetch_add(1, Ordering::AcqRel);
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

    /// Returns the number of complete answers so far.
    pub(crate) fn complete(&self) -> usize {
        self.results.lock().complete
    }

    /// Stops the callers and returns what they saw.
    pub(crate) fn stop(self) -> Results {
        self.stop.store(true, Ordering::Release);
        for thread in self.threads {
            thread.join().expect("caller");
        }
        std::mem::take(&mut *self.results.lock())
    }
}

/// How often a caller sends an order again while it does not know that it is done.
const RESENDS: usize = 3;

/// Makes one call. An order that is not answered is sent again, through the next instance.
fn call(instances: &[SocketAddr], number: usize, results: &Mutex<Results>) {
    if !number.is_multiple_of(ORDER_EVERY) {
        let target = format!("/levels/{number}");
        let answer = send(instances[number % instances.len()], &Call::get(&target));
        results.lock().record(&target, answer);
        return;
    }
    let target = format!("/orders/{number}");
    let key = format!("key-{number}");
    let body = format!("token-{number}");
    results.lock().keys.push(key.clone());
    let mut outcomes = Vec::new();
    for attempt in 0..=RESENDS {
        let call = Call::post(&target, &key, body.as_bytes());
        let call = call.with("Chivewheel-Attempt", &(attempt + 1).to_string());
        let to = instances[(number + attempt) % instances.len()];
        let answer = send(to, &call);
        let outcome = results.lock().record(&target, answer);
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

fn send(to: SocketAddr, call: &Call<'_>) -> Result<Answer, client::Error> {
    smol::block_on(call.send(to))
}

/// What a caller learned from one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Complete,
    NotRun,
    Unknown,
}

impl Results {
    /// Counts an answer to a call of `target`.
    fn record(&mut self, target: &str, answer: Result<Answer, client::Error>) -> Outcome {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                self.connection_errors += 1;
                self.errors.push(error.to_string());
                return Outcome::Unknown;
            }
        };
        match answer.header("Chivewheel-Outcome") {
            Some("complete") if answer.status >= 500 => {
                self.server_errors += 1;
                Outcome::Unknown
            }
            Some("complete") => {
                self.complete += 1;
                let own = String::from_utf8_lossy(&answer.body).contains(target);
                self.wrong += usize::from(!own);
                Outcome::Complete
            }
            Some("not-run") => {
                self.not_run += 1;
                Outcome::NotRun
            }
            Some("unknown") => {
                self.unknown += 1;
                let text = String::from_utf8_lossy(&answer.body);
                self.errors
                    .push(format!("{target}: {} {}", answer.status, text.trim()));
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
    /// Checks what holds whatever fails: whole answers, at most one run a key, none of a call that
    /// was refused as not run, and one of each that was answered.
    pub(crate) fn assert_invariants(&self, cluster: &Cluster) {
        assert_eq!(self.wrong, 0, "{self:?}");
        for key in &self.keys {
            assert!(
                cluster.executions(key) <= 1,
                "{key} ran {} times",
                cluster.executions(key)
            );
        }
        for key in &self.refused_keys {
            assert_eq!(cluster.executions(key), 0, "{key} was refused and ran");
        }
        for key in &self.complete_keys {
            assert_eq!(
                cluster.executions(key),
                1,
                "{key} was answered and did not run"
            );
        }
    }
}
