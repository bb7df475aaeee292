//! The command line of the daemon.

use clap::{Arg, ArgAction, Command};

/// One setting: flag, environment variable, default and help.
struct Entry(
    &'static str,
    &'static str,
    Option<&'static str>,
    &'static str,
);

const SINGLE: [Entry; 28] = [
    Entry(
        "name",
        "CHIVEWHEEL_NAME",
        Some("instance"),
        "Name of the instance; each run adds its own suffix",
    ),
    Entry(
        "centre",
        "CHIVEWHEEL_CENTRE",
        None,
        "Data centre that the instance is in",
    ),
    Entry(
        "callers",
        "CHIVEWHEEL_CALLERS",
        Some("0.0.0.0:8080"),
        "Address to answer callers at",
    ),
    Entry(
        "peers",
        "CHIVEWHEEL_PEERS",
        Some("0.0.0.0:8081"),
        "Address to answer other instances at",
    ),
    Entry(
        "advertise",
        "CHIVEWHEEL_ADVERTISE",
        None,
        "Address that other instances reach this one at",
    ),
    Entry(
        "operators",
        "CHIVEWHEEL_OPERATORS",
        Some("127.0.0.1:8082"),
        "Address to answer operators at",
    ),
    Entry(
        "platform",
        "CHIVEWHEEL_PLATFORM",
        None,
        "Address of the platform's object API",
    ),
    Entry(
        "key",
        "CHIVEWHEEL_KEY",
        None,
        "Secret shared by all instances, at least 16 bytes",
    ),
    Entry(
        "key-file",
        "CHIVEWHEEL_KEY_FILE",
        None,
        "File that holds the secret shared by all instances",
    ),
    Entry(
        "otlp",
        "CHIVEWHEEL_OTLP",
        None,
        "URL to export traces to by OTLP, as http://ADDRESS:PORT; none are exported without it",
    ),
    Entry(
        "trace-ratio",
        "CHIVEWHEEL_TRACE_RATIO",
        Some("0.01"),
        "Part of the calls that are traced where the caller does not decide, from 0 to 1",
    ),
    Entry(
        "log-format",
        "CHIVEWHEEL_LOG_FORMAT",
        Some("terminal"),
        "Form of log records: terminal or json",
    ),
    Entry(
        "workers",
        "CHIVEWHEEL_WORKERS",
        Some("1"),
        "Threads that run tasks",
    ),
    Entry(
        "linger-ms",
        "CHIVEWHEEL_LINGER_MS",
        Some("2000"),
        "Time that the instance still takes calls when it stops",
    ),
    Entry(
        "max-connections",
        "CHIVEWHEEL_MAX_CONNECTIONS",
        Some("4096"),
        "Connections that callers may have open",
    ),
    Entry(
        "max-calls",
        "CHIVEWHEEL_MAX_CALLS",
        Some("1024"),
        "Calls under way at once, waiting or running",
    ),
    Entry(
        "max-queue",
        "CHIVEWHEEL_MAX_QUEUE",
        Some("1024"),
        "Calls that may wait for one pool",
    ),
    Entry(
        "max-head-bytes",
        "CHIVEWHEEL_MAX_HEAD_BYTES",
        Some("16384"),
        "Largest head of a request",
    ),
    Entry(
        "max-request-bytes",
        "CHIVEWHEEL_MAX_REQUEST_BYTES",
        Some("1048576"),
        "Largest body of a request",
    ),
    Entry(
        "max-answer-bytes",
        "CHIVEWHEEL_MAX_ANSWER_BYTES",
        Some("1048576"),
        "Largest body of an answer",
    ),
    Entry(
        "max-idle-connections",
        "CHIVEWHEEL_MAX_IDLE_CONNECTIONS",
        Some("8"),
        "Idle connections kept to a backend server",
    ),
    Entry(
        "lease-ms",
        "CHIVEWHEEL_LEASE_MS",
        Some("3000"),
        "How long support of an owner lasts",
    ),
    Entry(
        "heartbeat-ms",
        "CHIVEWHEEL_HEARTBEAT_MS",
        Some("500"),
        "Time between heartbeats",
    ),
    Entry(
        "credit-ms",
        "CHIVEWHEEL_CREDIT_MS",
        Some("2000"),
        "How long an unused credit lasts",
    ),
    Entry(
        "platform-timeout-ms",
        "CHIVEWHEEL_PLATFORM_TIMEOUT_MS",
        Some("1000"),
        "Time limit of a platform call",
    ),
    Entry(
        "peer-timeout-ms",
        "CHIVEWHEEL_PEER_TIMEOUT_MS",
        Some("500"),
        "Time limit of a call to an instance",
    ),
    Entry(
        "connect-timeout-ms",
        "CHIVEWHEEL_CONNECT_TIMEOUT_MS",
        Some("250"),
        "Time limit to connect to a backend server",
    ),
    Entry(
        "drain-ms",
        "CHIVEWHEEL_DRAIN_MS",
        Some("30000"),
        "Time that calls under way have when the instance stops",
    ),
];

const REPEATED: [Entry; 2] = [
    Entry(
        "seed",
        "CHIVEWHEEL_SEEDS",
        None,
        "Instance to ask for the bundle while the platform is down; may repeat",
    ),
    Entry(
        "signer",
        "CHIVEWHEEL_SIGNERS",
        None,
        "Public key that may sign bundles, as NAME=HEX; may repeat",
    ),
];

/// Returns the command line of the daemon.
pub fn command() -> Command {
    let single = SINGLE.iter().map(|entry| arg(entry, ArgAction::Set));
    let repeated = REPEATED
        .iter()
        .map(|entry| arg(entry, ArgAction::Append).value_delimiter(','));
    Command::new("chivewheeld")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Load balancer between callers and backend servers")
        .args(single)
        .args(repeated)
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings, print those in effect and exit"),
        )
}

fn arg(entry: &Entry, action: ArgAction) -> Arg {
    let Entry(flag, variable, default, help) = *entry;
    let secret = matches!(flag, "key");
    let arg = Arg::new(flag)
        .long(flag)
        .env(variable)
        .help(help)
        .action(action);
    let arg = arg.hide_env_values(secret);
    match default {
        Some(default) => arg.default_value(default),
        None => arg,
    }
}
