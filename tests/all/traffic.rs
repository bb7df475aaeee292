//! Callers that check every answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use client::Response;
use parking_lot::Mutex;

use crate::site::{Call, Site};

/// What callers saw.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) complete: usize,
    pub(crate) not_run: usize,
    pub(crate) unknown: usize,
    /// Answers that belong to another call, or are not whole.
    pub(crate) wrong: usize,
    /// Calls whose connection was refused or broke.
    pub(crate) cut: usize,
    /// How the connections of those broke, and why other calls are unknown.
    pub(crate) errors: Vec<String>,
    /// Answers of status 5xx that a backend server gave.
    pub(crate) failed: usize,
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
    seen: Arc<Mutex<Seen>>,
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
        let seen = Arc::new(Mutex::new(Seen::default()));
        let threads = (0..callers).map(|_| {
            let (stop, seen, instances) = (stop.clone(), seen.clone(), instances.to_vec());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    let number = NEXT.fetch_add(1, Ordering::AcqRel);
                    call(&instances, number, &seen);
                    std::thread::sleep(pause);
                }
            })
        });
        let threads = threads.collect();
        Self {
            stop,
            seen,
            threads,
        }
    }

    /// Returns the number of complete answers so far.
    pub(crate) fn complete(&self) -> usize {
        self.seen.lock().complete
    }

    /// Stops the callers and returns what they saw.
    pub(crate) fn stop(self) -> Seen {
        self.stop.store(true, Ordering::Release);
        for thread in self.threads {
            thread.join().expect("caller");
        }
        std::mem::take(&mut *self.seen.lock())
    }
}

/// How often a caller sends an order again while it does not know that it is done.
const RESENDS: usize = 3;

/// Makes one call. An order that is not answered is sent again, through the next instance.
fn call(instances: &[SocketAddr], number: usize, seen: &Mutex<Seen>) {
    if !number.is_multiple_of(ORDER_EVERY) {
        let target = format!("/levels/{number}");
        let answer = send(instances[number % instances.len()], &Call::get(&target));
        seen.lock().read(&target, answer);
        return;
    }
    let target = format!("/orders/{number}");
    let key = format!("key-{number}");
    let body = format!("token-{number}");
    seen.lock().keys.push(key.clone());
    let mut outcomes = Vec::new();
    for attempt in 0..=RESENDS {
        let call = Call::post(&target, &key, body.as_bytes());
        let call = call.with("Chivewheel-Attempt", &(attempt + 1).to_string());
        let to = instances[(number + attempt) % instances.len()];
        let answer = send(to, &call);
        let outcome = seen.lock().read(&target, answer);
        outcomes.push(outcome);
        if outcome == Outcome::Complete {
            break;
        }
    }
    let mut seen = seen.lock();
    if outcomes.last() == Some(&Outcome::Complete) {
        seen.complete_keys.push(key);
    } else if outcomes.iter().all(|outcome| *outcome == Outcome::NotRun) {
        seen.refused_keys.push(key);
    }
}

fn send(to: SocketAddr, call: &Call<'_>) -> Result<Response, client::Error> {
    smol::block_on(call.send(to))
}

/// What a caller learned from one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Complete,
    NotRun,
    Unknown,
}

impl Seen {
    /// Counts an answer to a call of `target`.
    fn read(&mut self, target: &str, answer: Result<Response, client::Error>) -> Outcome {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                self.cut += 1;
                self.errors.push(error.to_string());
                return Outcome::Unknown;
            }
        };
        match answer.header("Chivewheel-Outcome") {
            Some("complete") if answer.status >= 500 => {
                self.failed += 1;
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

impl Seen {
    /// Checks what holds whatever fails: whole answers, at most one run a key, none of a call that
    /// was refused as not run, and one of each that was answered.
    pub(crate) fn check(&self, site: &Site) {
        assert_eq!(self.wrong, 0, "{self:?}");
        for key in &self.keys {
            assert!(
                site.executions(key) <= 1,
                "{key} ran {} times",
                site.executions(key)
            );
        }
        for key in &self.refused_keys {
            assert_eq!(site.executions(key), 0, "{key} was refused and ran");
        }
        for key in &self.complete_keys {
            assert_eq!(
                site.executions(key),
                1,
                "{key} was answered and did not run"
            );
        }
    }
}
