//! Callers that check every answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

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
                    call(instances[number % instances.len()], number, &seen);
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

fn call(to: SocketAddr, number: usize, seen: &Mutex<Seen>) {
    let target = match number % ORDER_EVERY {
        0 => format!("/orders/{number}"),
        _ => format!("/levels/{number}"),
    };
    let key = format!("key-{number}");
    let body = format!("token-{number}");
    let order = number.is_multiple_of(ORDER_EVERY);
    let call = match order {
        true => Call::post(&target, &key, body.as_bytes()).with("Chivewheel-Attempt", "1"),
        false => Call::get(&target),
    };
    let answer = smol::block_on(call.send(to));
    let mut seen = seen.lock();
    if order {
        seen.keys.push(key.clone());
    }
    let Ok(answer) = answer else {
        seen.cut += 1;
        return;
    };
    match answer.header("Chivewheel-Outcome") {
        Some("complete") => {
            seen.complete += 1;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            if answer.status >= 500 {
                seen.failed += 1;
            } else if !text.contains(&target) {
                seen.wrong += 1;
            } else if order {
                seen.complete_keys.push(key);
            }
        }
        Some("not-run") => {
            seen.not_run += 1;
            if order {
                seen.refused_keys.push(key);
            }
        }
        Some("unknown") => seen.unknown += 1,
        _ => seen.wrong += 1,
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
