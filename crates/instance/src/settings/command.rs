//! Defines the command line of the daemon.

use clap::{Arg, ArgAction, Command};

/// A setting: its flag, environment variable, default value and help text.
struct Setting(
    &'static str,
    &'static str,
    Option<&'static str>,
    &'static str,
);

const SINGLE_VALUE: [Setting; 28] = [
    Setting(
        "name",
        "CHIVEWHEEL_NAME",
        Some("instance"),
        "Name of the instance; each run adds its own suffix",
    ),
    Setting(
        "centre",
        "CHIVEWHEEL_CENTRE",
        None,
        "Data centre that the instance is in",
    ),
    Setting(
        "callers",
        "CHIVEWHEEL_CALLERS",
        Some("0.0.0.0:8080"),
        "Address to answer callers at",
    ),
    Setting(
        "peers",
        "CHIVEWHEEL_PEERS",
        Some("0.0.0.0:8081"),
        "Address to answer other instances at",
    ),
    Setting(
        "advertise",
        "CHIVEWHEEL_ADVERTISE",
        None,
        "Address that other instances reach this one at",
    ),
    Setting(
        "operators",
        "CHIVEWHEEL_OPERATORS",
        Some("127.0.0.1:8082"),
        "Address to answer operators at",
    ),
    Setting(
        "platform",
        "CHIVEWHEEL_PLATFORM",
        None,
        "Address of the platform's object API",
    ),
    Setting(
        "key",
        "CHIVEWHEEL_KEY",
        None,
        "Secret shared by all instances, at least 16 bytes",
    ),
    Setting(
        "key-file",
        "CHIVEWHEEL_KEY_FILE",
        None,
        "File that holds the secret shared by all instances",
    ),
    Setting(
        "otlp",
        "CHIVEWHEEL_OTLP",
        None,
        "URL to export traces to by OTLP, as http://ADDRESS:PORT; none are exported without it",
    ),
    Setting(
        "trace-ratio",
        "CHIVEWHEEL_TRACE_RATIO",
        Some("0.01"),
        "Part of the calls that are traced where the caller does not decide, from 0 to 1",
    ),
    Setting(
        "log-format",
        "CHIVEWHEEL_LOG_FORMAT",
        Some("terminal"),
        "Form of log records: terminal or json",
    ),
    Setting(
        "workers",
        "CHIVEWHEEL_WORKERS",
        Some("1"),
        "Threads that run tasks",
    ),
    Setting(
        "linger-ms",
        "CHIVEWHEEL_LINGER_MS",
        Some("2000"),
        "Time that the instance still takes calls when it stops",
    ),
    Setting(
        "max-connections",
        "CHIVEWHEEL_MAX_CONNECTIONS",
        Some("4096"),
        "Connections that callers may have open",
    ),
    Setting(
        "max-calls",
        "CHIVEWHEEL_MAX_CALLS",
        Some("1024"),
        "Calls under way at once, waiting or running",
    ),
    Setting(
        "max-queue",
        "CHIVEWHEEL_MAX_QUEUE",
        Some("1024"),
        "Calls that may wait for one pool",
    ),
    Setting(
        "max-head-bytes",
        "CHIVEWHEEL_MAX_HEAD_BYTES",
        Some("16384"),
        "Largest head of a request",
    ),
    Setting(
        "max-request-bytes",
        "CHIVEWHEEL_MAX_REQUEST_BYTES",
        Some("1048576"),
        "Largest body of a request",
    ),
    Setting(
        "max-answer-bytes",
        "CHIVEWHEEL_MAX_ANSWER_BYTES",
        Some("1048576"),
        "Largest body of an answer",
    ),
    Setting(
        "max-idle-connections",
        "CHIVEWHEEL_MAX_IDLE_CONNECTIONS",
        Some("8"),
        "Idle connections kept to a backend server",
    ),
    Setting(
        "lease-ms",
        "CHIVEWHEEL_LEASE_MS",
        Some("3000"),
        "How long support of an owner lasts",
    ),
    Setting(
        "heartbeat-ms",
        "CHIVEWHEEL_HEARTBEAT_MS",
        Some("500"),
        "Time between heartbeats",
    ),
    Setting(
        "credit-ms",
        "CHIVEWHEEL_CREDIT_MS",
        Some("2000"),
        "How long an unused credit lasts",
    ),
    Setting(
        "platform-timeout-ms",
        "CHIVEWHEEL_PLATFORM_TIMEOUT_MS",
        Some("1000"),
        "Time limit of a platform call",
    ),
    Setting(
        "peer-timeout-ms",
        "CHIVEWHEEL_PEER_TIMEOUT_MS",
        Some("500"),
        "Time limit of a call to an instance",
    ),
    Setting(
        "connect-timeout-ms",
        "CHIVEWHEEL_CONNECT_TIMEOUT_MS",
        Some("250"),
        "Time limit to connect to a backend server",
    ),
    Setting(
        "drain-ms",
        "CHIVEWHEEL_DRAIN_MS",
        Some("30000"),
        "Time that calls under way have when the instance stops",
    ),
];

const MULTI_VALUE: [Setting; 2] = [
    Setting(
        "seed",
        "CHIVEWHEEL_SEEDS",
        None,
        "Instance to ask for the bundle while the platform is down; may repeat",
    ),
    Setting(
        "signer",
        "CHIVEWHEEL_SIGNERS",
        None,
        "Public key that may sign bundles, as NAME=HEX; may repeat",
    ),
];

/// Returns the command-line parser of the daemon.
pub fn command() -> Command {
    let single_value = SINGLE_VALUE
        .iter()
        .map(|setting| arg(setting, ArgAction::Set));
    let multi_value = MULTI_VALUE
        .iter()
        .map(|setting| arg(setting, ArgAction::Append).value_delimiter(','));
    Command::new("chivewheeld")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Load balancer between callers and backend servers")
        .args(single_value)
        .args(multi_value)
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings, print those in effect and exit"),
        )
}

fn arg(setting: &Setting, action: ArgAction) -> Arg {
    let Setting(flag, variable, default, help) = *setting;
    let is_secret = matches!(flag, "key");
    let arg = Arg::new(flag)
        .long(flag)
        .env(variable)
        .help(help)
        .action(action);
    let arg = arg.hide_env_values(is_secret);
    match default {
        Some(default) => arg.default_value(default),
        None => arg,
    }
}
