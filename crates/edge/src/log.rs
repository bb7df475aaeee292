//! Logs to standard output, one JSON object per line.
//!
//! A writer thread takes records from a bounded queue. When the queue is full, records are dropped
//! and counted, and the count is logged: no task waits for the log.

use clock::Instant;
use parking_lot::Mutex;
use slog::{o, Drain, Logger};
use std::time::Duration;

/// The records that the queue holds.
const QUEUE_LENGTH: usize = 1024;

/// Opens the log of `instance`.
pub fn open(instance: &str) -> Logger {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE_LENGTH)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!("instance" => instance.to_owned()))
}

/// Returns a logger that discards all records.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Rate limiter for log records of one kind.
#[derive(Debug)]
pub struct Limiter {
    interval: Duration,
    /// How much later than now the last record of a burst may be due.
    tolerance: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When the next record is due at the average rate.
    next: Instant,
    suppressed: u64,
}

impl Limiter {
    /// Returns a limiter that allows one record per `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            tolerance: Duration::ZERO,
            state: Mutex::default(),
        }
    }

    /// Allows up to `records` at once. Over time the rate stays the same.
    #[must_use]
    pub fn with_burst(self, records: u32) -> Self {
        Self {
            tolerance: self.interval * records.saturating_sub(1),
            ..self
        }
    }

    /// Returns the number of records suppressed since the last one, or `None` if this record is to
    /// be suppressed too.
    pub fn pass(&self, now: Instant) -> Option<u64> {
        let mut state = self.state.lock();
        if now + self.tolerance < state.next {
            state.suppressed += 1;
            return None;
        }
        state.next = state.next.max(now) + self.interval;
        Some(std::mem::take(&mut state.suppressed))
    }
}
