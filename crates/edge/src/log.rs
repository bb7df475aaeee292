//! Logs: one JSON object a line on the standard output.
//!
//! A writer thread takes records from a bounded queue. When the queue is full, records are dropped,
//! counted, and the count is a record itself: nothing waits for the log.

use clock::Instant;
use parking_lot::Mutex;
use slog::{o, Drain, Logger};
use std::time::Duration;

/// The records that may wait for the writer.
const QUEUE_LENGTH: usize = 1024;

/// Opens the log.
pub fn open(instance: &str) -> Logger {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE_LENGTH)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!("instance" => instance.to_owned()))
}

/// Returns a log that drops all records.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Limits the records of one kind to a rate.
#[derive(Debug)]
pub struct Limiter {
    interval: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: Instant,
    suppressed: u64,
}

impl Limiter {
    /// Returns a limiter that lets one record pass an `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            state: Mutex::default(),
        }
    }

    /// Returns how many records were suppressed before this one if it is to be written.
    pub fn pass(&self, now: Instant) -> Option<u64> {
        let mut state = self.state.lock();
        if now < state.next {
            state.suppressed += 1;
            return None;
        }
        state.next = now + self.interval;
        Some(std::mem::take(&mut state.suppressed))
    }
}
