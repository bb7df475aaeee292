//! `chivewheel-backend-stand-in`: runs a stand-in for a backend server as a process.
//!
//! Prints the address that it listens on.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use clap::{value_parser, Arg, ArgMatches, Command};
use stand_in::backend::{Backend, Config, Warmup};

fn main() -> io::Result<()> {
    let matches = command().get_matches();
    let backend = Backend::bind(config(&matches))?;
    println!("{}", backend.address());
    smol::block_on(pending())
}

/// Returns the argument `--name`, which the environment variable `env` also sets.
fn arg<T>(name: &'static str, env: &'static str, value: &'static str, help: &'static str) -> Arg
where
    T: FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync,
{
    Arg::new(name)
        .long(name)
        .env(env)
        .value_name(value)
        .value_parser(|text: &str| text.parse::<T>())
        .help(help)
}

fn command() -> Command {
    Command::new("chivewheel-backend-stand-in")
        .about("A stand-in for a backend server, fragile and faulty on demand")
        .arg(arg::<SocketAddr>(
            "address",
            "CHIVEWHEEL_BACKEND_STAND_IN_ADDRESS",
            "IP:PORT",
            "Where to listen",
        ))
        .arg(
            Arg::new("version")
                .long("version")
                .env("CHIVEWHEEL_BACKEND_STAND_IN_VERSION")
                .value_name("NAME")
                .value_parser(value_parser!(String))
                .help("The version that answers name"),
        )
        .arg(arg::<usize>(
            "slots",
            "CHIVEWHEEL_BACKEND_STAND_IN_SLOTS",
            "REQUESTS",
            "The requests executed at once",
        ))
        .arg(arg::<usize>(
            "connections",
            "CHIVEWHEEL_BACKEND_STAND_IN_CONNECTIONS",
            "CONNECTIONS",
            "The connections kept at once",
        ))
        .arg(arg::<u64>(
            "service-ms",
            "CHIVEWHEEL_BACKEND_STAND_IN_SERVICE_MS",
            "MILLISECONDS",
            "How long a request takes",
        ))
        .arg(arg::<u64>(
            "connect-ms",
            "CHIVEWHEEL_BACKEND_STAND_IN_CONNECT_MS",
            "MILLISECONDS",
            "How long a new connection waits before it is read",
        ))
        .arg(arg::<u64>(
            "probe-ms",
            "CHIVEWHEEL_BACKEND_STAND_IN_PROBE_MS",
            "MILLISECONDS",
            "How long a request for health or load takes",
        ))
        .arg(arg::<u64>(
            "cold-requests",
            "CHIVEWHEEL_BACKEND_STAND_IN_COLD_REQUESTS",
            "REQUESTS",
            "The requests that a cold server answers before it is warm",
        ))
        .arg(arg::<u64>(
            "cold-ms",
            "CHIVEWHEEL_BACKEND_STAND_IN_COLD_MS",
            "MILLISECONDS",
            "The time that a server is cold after its start",
        ))
        .arg(arg::<u64>(
            "crash-ms",
            "CHIVEWHEEL_BACKEND_STAND_IN_CRASH_MS",
            "MILLISECONDS",
            "How long connections are refused after a crash",
        ))
        .arg(arg::<u64>(
            "report-lag-ms",
            "CHIVEWHEEL_BACKEND_STAND_IN_REPORT_LAG_MS",
            "MILLISECONDS",
            "The least age of the load report",
        ))
}

fn config(matches: &ArgMatches) -> Config {
    let default = Config::default();
    Config {
        address: value_or(matches, "address", default.address),
        version: value_or(matches, "version", default.version),
        slots: value_or(matches, "slots", default.slots),
        max_connections: value_or(matches, "connections", default.max_connections),
        service_time: duration_or(matches, "service-ms", default.service_time),
        connect_delay: duration_or(matches, "connect-ms", default.connect_delay),
        probe_time: duration_or(matches, "probe-ms", default.probe_time),
        warmup: Warmup {
            requests: value_or(matches, "cold-requests", default.warmup.requests),
            time: duration_or(matches, "cold-ms", default.warmup.time),
            factor: default.warmup.factor,
        },
        restart_delay: duration_or(matches, "crash-ms", default.restart_delay),
        crash_marker: default.crash_marker,
        report_lag: duration_or(matches, "report-lag-ms", default.report_lag),
    }
}

fn value_or<T>(matches: &ArgMatches, name: &str, default: T) -> T
where
    T: Clone + Send + Sync + 'static,
{
    matches.get_one(name).cloned().unwrap_or(default)
}

fn duration_or(matches: &ArgMatches, name: &str, default: Duration) -> Duration {
    let given = matches.get_one(name).copied();
    given.map_or(default, Duration::from_millis)
}
