//! Logs.

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
