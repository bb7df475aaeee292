//! Logs.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clock::Instant;
use parking_lot::Mutex;
use slog::{o, Drain, Logger};

use crate::settings::LogFormat;

/// Opens the log. Records go to the standard error output.
///
/// Each message starts with a fixed prefix that names the part of the daemon.
pub fn open(format: LogFormat) -> Logger {
    match format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), o!())
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), o!())
        }
    }
}

/// Returns a log that drops all records.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// A condition that is recorded when it begins and when it ends, not at each retry.
#[derive(Debug, Default)]
pub struct Alarm(AtomicBool);

impl Alarm {
    /// Notes that the condition holds. Returns whether it begins.
    pub fn raise(&self) -> bool {
        !self.0.swap(true, Ordering::AcqRel)
    }

    /// Notes that the condition does not hold. Returns whether it ends.
    pub fn clear(&self) -> bool {
        self.0.swap(false, Ordering::AcqRel)
    }
}

/// The least time between two records of events of one kind.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Recorded {
    last: Option<Instant>,
    suppressed: u64,
}

/// Limits the records of events that others can cause as often as they like.
#[derive(Debug, Default)]
pub struct Limiter(Mutex<Recorded>);

impl Limiter {
    /// Returns how many events were suppressed before this one if it is to be recorded, and `None`
    /// if it is suppressed itself.
    pub fn pass(&self, now: Instant) -> Option<u64> {
        let mut recorded = self.0.lock();
        if recorded
            .last
            .is_some_and(|last| now < last + EVENT_INTERVAL)
        {
            recorded.suppressed += 1;
            return None;
        }
        recorded.last = Some(now);
        Some(std::mem::take(&mut recorded.suppressed))
    }
}

/// The conditions of one instance that are recorded when they begin and when they end, and the
/// events whose records are limited.
#[derive(Debug, Default)]
pub struct Alarms {
    /// The roster cannot be watched.
    pub roster: Alarm,
    /// The roster cannot be written.
    pub roster_write: Alarm,
    /// The head of the bundle cannot be watched.
    pub bundle: Alarm,
    /// The list of backend servers cannot be read.
    pub servers: Alarm,
    /// Moves cannot be written.
    pub moves: Alarm,
    /// Frames of other instances were refused.
    pub frames: Limiter,
    /// Bundles were refused.
    pub bundles: Limiter,
    /// Backend servers ended while they ran a request.
    pub crashes: Limiter,
}
