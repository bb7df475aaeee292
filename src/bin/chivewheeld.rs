//! `chivewheeld`: the daemon that runs one instance of the load balancer.
//!
//! Prints its addresses on one line to standard output, and serves until SIGTERM or SIGINT.

use std::process::ExitCode;
use std::sync::Arc;

use clock::Boottime;
use instance::settings::{self, Settings};
use instance::{log, Daemon, Error};
use smol::stream::StreamExt;

/// The exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

/// The exit code when the instance could not start, or did not stop gracefully.
const FAILED: u8 = 1;

fn main() -> ExitCode {
    let matches = settings::command().get_matches();
    let settings = match Settings::read(&matches) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("{settings:#?}");
        return ExitCode::SUCCESS;
    }
    settings.set_workers();
    match smol::block_on(run(settings)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(FAILED),
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(FAILED)
        }
    }
}

/// Runs the instance until SIGTERM or SIGINT. Returns whether all calls ended in time.
async fn run(settings: Settings) -> Result<bool, Error> {
    let mut config = platform::client::Config::new(settings.platform);
    config.time_limit = settings.times.platform;
    let store = platform::client::Client::open(config);
    let log = log::open(settings.log_format);
    let signals = [async_signal::Signal::Term, async_signal::Signal::Int];
    let mut signals = async_signal::Signals::new(signals).map_err(Error::Signals)?;
    let daemon = Daemon::open(settings, store, Boottime, log).await?;
    println!(
        "callers {} peers {} operators {}",
        daemon.callers(),
        daemon.peers(),
        daemon.operators()
    );
    // Both signals request a graceful stop, which interrupts no request.
    let _signal = signals.next().await;
    let node = Arc::clone(daemon.node());
    let graceful = daemon.stop().await;
    slog::info!(node.log, "daemon: stopped"; "graceful" => graceful);
    Ok(graceful)
}
