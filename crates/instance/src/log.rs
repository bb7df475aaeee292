//! Logs.

use std::sync::atomic::{AtomicBool, Ordering};

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

/// The conditions of one instance that are recorded when they begin and when they end.
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
}
