//! Sets up the log, and limits how often recurring events are logged.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clock::Instant;
use parking_lot::Mutex;
use slog::{o, Drain, Logger};

use crate::settings::LogFormat;

/// Opens the log, which writes to standard error.
///
/// Each message starts with a fixed prefix that names the component of the daemon.
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

/// Returns a log that discards all records.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// A condition that is logged when it begins and when it ends, but not at each retry.
#[derive(Debug, Default)]
pub struct Alarm(AtomicBool);

impl Alarm {
    /// Sets the condition. Returns whether it was clear before.
    pub fn raise(&self) -> bool {
        !self.0.swap(true, Ordering::AcqRel)
    }

    /// Clears the condition. Returns whether it was set before.
    pub fn clear(&self) -> bool {
        self.0.swap(false, Ordering::AcqRel)
    }
}

/// The minimum time between two log records for events of one kind.
const MIN_EVENT_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct State {
    last: Option<Instant>,
    suppressed: u64,
}

/// Limits the rate of log records for events that remote parties can trigger at will.
#[derive(Debug, Default)]
pub struct Limiter(Mutex<State>);

impl Limiter {
    /// Returns the number of events suppressed since the last logged one if this event is to be
    /// logged, and `None` if it is suppressed too.
    pub fn pass(&self, now: Instant) -> Option<u64> {
        let mut state = self.0.lock();
        if state
            .last
            .is_some_and(|last| now < last + MIN_EVENT_INTERVAL)
        {
            state.suppressed += 1;
            return None;
        }
        state.last = Some(now);
        Some(std::mem::take(&mut state.suppressed))
    }
}

/// The conditions of one instance that are logged when they begin and when they end, and the events
/// whose log records are rate-limited.
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
    /// The progress of rollouts cannot be written.
    pub moves: Alarm,
    /// Frames from other instances were rejected.
    pub frames: Limiter,
    /// Bundles were rejected.
    pub bundles: Limiter,
    /// Backend servers crashed while running a request.
    pub crashes: Limiter,
}
