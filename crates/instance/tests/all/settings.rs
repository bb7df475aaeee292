//! Settings: invalid values, sources and secrets.

use std::time::Duration;

use contract::signature::Key;
use instance::settings::{self, Fault, Settings};

const SECRET: &str = "a key for tests only, not secret";

/// Returns the command line of an instance, with the additional arguments `extra`.
fn arguments(extra: &[&str]) -> Vec<String> {
    let signer = |name: &str, seed| format!("{name}={}", Key::from_seed([seed; 32]).public());
    let mut arguments: Vec<String> = [
        "chivewheeld",
        "--centre",
        "east",
        "--platform",
        "127.0.0.1:1",
    ]
    .map(str::to_owned)
    .into();
    arguments.extend(["--signer".to_owned(), signer("ada", 1)]);
    arguments.extend(["--signer".to_owned(), signer("ben", 2)]);
    arguments.extend(extra.iter().map(|argument| (*argument).to_owned()));
    arguments
}

fn read(arguments: Vec<String>) -> Result<Settings, Vec<Fault>> {
    let matches = settings::command().try_get_matches_from(arguments);
    Settings::read(&matches.expect("arguments")).map_err(|faults| faults.0)
}

fn flag(fault: &Fault) -> &str {
    match fault {
        Fault::Missing { flag } | Fault::Value { flag, .. } | Fault::File { flag, .. } => flag,
    }
}

/// Checks that the setting `name` is the only one reported as invalid.
fn refuses(name: &str, extra: &[&str]) {
    let mut given = vec!["--key", SECRET];
    given.extend(extra);
    let faults = read(arguments(&given)).expect_err("a fault");
    let flags: Vec<&str> = faults.iter().map(flag).collect();
    assert_eq!(flags, [name], "{faults:?}");
    assert!(faults[0].to_string().contains(&format!("--{name}")));
}

cases! { refuses:
    refuses_an_invalid_address("callers", &["--callers", "somewhere"]);
    refuses_a_seed_without_a_port("seed", &["--seed", "127.0.0.1"]);
    refuses_zero_workers("workers", &["--workers", "0"]);
    refuses_an_invalid_number("max-calls", &["--max-calls", "many"]);
    refuses_an_unknown_log_format("log-format", &["--log-format", "xml"]);
    refuses_a_lease_of_two_heartbeats("heartbeat-ms", &["--lease-ms", "900", "--heartbeat-ms", "450"]);
    refuses_a_credit_lifetime_above_the_maximum("credit-ms", &["--credit-ms", "3001"]);
    refuses_a_trace_ratio_above_one("trace-ratio", &["--trace-ratio", "1.5"]);
    refuses_a_trace_ratio_below_zero("trace-ratio", &["--trace-ratio=-0.1"]);
    refuses_a_trace_ratio_of_nan("trace-ratio", &["--trace-ratio", "NaN"]);
    refuses_a_collector_with_a_host_name("otlp", &["--otlp", "http://collector:4318"]);
    refuses_a_collector_over_https("otlp", &["--otlp", "https://127.0.0.1:4318"]);
    refuses_a_missing_key_file("key-file", &["--key-file", "/nonexistent/key"]);
}

#[test]
fn reports_every_invalid_setting_at_once() {
    let extra = [
        "--key",
        "short",
        "--callers",
        "x",
        "--workers",
        "0",
        "--trace-ratio",
        "2",
    ];
    let faults = read(arguments(&extra)).expect_err("faults");
    let mut flags: Vec<&str> = faults.iter().map(flag).collect();
    flags.sort_unstable();
    assert_eq!(flags, ["callers", "key", "trace-ratio", "workers"]);
}

#[test]
fn reports_missing_settings() {
    let faults = read(vec!["chivewheeld".to_owned()]).expect_err("faults");
    let missing = |fault: &Fault| matches!(fault, Fault::Missing { .. });
    let flags: Vec<&str> = faults.iter().filter(|f| missing(f)).map(flag).collect();
    assert_eq!(flags, ["centre", "platform", "key"]);
}

#[test]
fn a_lease_may_be_three_heartbeats() {
    let extra = [
        "--key",
        SECRET,
        "--lease-ms",
        "900",
        "--heartbeat-ms",
        "300",
    ];
    let settings = read(arguments(&extra)).expect("settings");
    assert_eq!(settings.times.lease, Duration::from_millis(900));
}

#[test]
fn a_flag_takes_precedence_over_its_environment_variable() {
    // No other test depends on this setting; tests share the environment of the process.
    std::env::set_var("CHIVEWHEEL_MAX_QUEUE", "17");
    let from_environment = read(arguments(&["--key", SECRET])).expect("settings");
    let extra = ["--key", SECRET, "--max-queue", "18"];
    let from_flag = read(arguments(&extra)).expect("settings");
    std::env::remove_var("CHIVEWHEEL_MAX_QUEUE");
    assert_eq!(from_environment.limits.queue, 17);
    assert_eq!(from_flag.limits.queue, 18);
}

#[test]
fn every_setting_has_an_environment_variable() {
    for argument in settings::command().get_arguments() {
        let name = argument.get_id().as_str();
        let variable = format!("CHIVEWHEEL_{}", name.to_uppercase().replace('-', "_"));
        let found = argument.get_env().and_then(|env| env.to_str());
        // The variable of a setting with several values has a plural name.
        let plural = format!("{variable}S");
        let named = [Some(variable.as_str()), Some(plural.as_str())].contains(&found);
        assert!(name == "check" || named, "{name}: {found:?}");
    }
}

#[test]
fn a_key_is_read_from_a_file_and_not_shown() {
    let path = std::env::temp_dir().join(format!("chivewheel-key-{}", std::process::id()));
    std::fs::write(&path, format!("{SECRET}\n")).expect("file");
    let text = path.to_str().expect("path").to_owned();
    let settings = read(arguments(&["--key-file", &text]));
    std::fs::remove_file(&path).expect("file");
    let settings = settings.expect("settings");
    let shown = format!("{settings:?} {settings:#?}");
    assert!(!shown.contains(SECRET), "the key is shown");
    assert!(shown.contains("Key(..)"));
}

#[test]
fn an_invalid_key_is_not_shown() {
    let faults = read(arguments(&["--key", "hunter2"])).expect_err("a fault");
    let shown = format!("{faults:?} {}", faults[0]);
    assert!(!shown.contains("hunter2"), "{shown}");
}

#[test]
fn help_does_not_show_the_key_in_the_environment() {
    let command = settings::command();
    let key = command
        .get_arguments()
        .find(|argument| argument.get_id() == "key");
    assert!(key.expect("key").is_hide_env_values_set());
}

#[test]
fn the_path_of_a_collector_url_has_a_default() {
    let url = |url| {
        let settings = read(arguments(&["--key", SECRET, "--otlp", url])).expect("settings");
        settings.otlp.expect("collector").to_string()
    };
    assert_eq!(
        url("http://127.0.0.1:4318"),
        "http://127.0.0.1:4318/v1/traces"
    );
    assert_eq!(url("http://127.0.0.1:4318/x"), "http://127.0.0.1:4318/x");
}
