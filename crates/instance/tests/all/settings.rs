//! Settings: faults, sources and secrets.

use std::time::Duration;

use contract::signature::Key;
use instance::settings::{self, Fault, Settings};

const SECRET: &str = "a key for tests only, not secret";

/// Returns the command line of an instance, with `further` arguments.
fn arguments(further: &[&str]) -> Vec<String> {
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
    arguments.extend(further.iter().map(|argument| (*argument).to_owned()));
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

/// Checks that exactly one fault is found, of the setting `name`.
fn refuses(name: &str, further: &[&str]) {
    let mut all = vec!["--key", SECRET];
    all.extend(further);
    let faults = read(arguments(&all)).expect_err("a fault");
    let flags: Vec<&str> = faults.iter().map(flag).collect();
    assert_eq!(flags, [name], "{faults:?}");
    assert!(faults[0].to_string().contains(&format!("--{name}")));
}

cases! { refuses:
    refuses_an_address_that_is_none("callers", &["--callers", "somewhere"]);
    refuses_a_seed_that_is_none("seed", &["--seed", "127.0.0.1"]);
    refuses_no_worker("workers", &["--workers", "0"]);
    refuses_a_number_that_is_none("max-calls", &["--max-calls", "many"]);
    refuses_an_unknown_log_format("log-format", &["--log-format", "xml"]);
    refuses_a_lease_of_two_heartbeats("heartbeat-ms", &["--lease-ms", "900", "--heartbeat-ms", "450"]);
    refuses_a_credit_beyond_the_longest("credit-ms", &["--credit-ms", "3001"]);
    refuses_a_trace_ratio_above_one("trace-ratio", &["--trace-ratio", "1.5"]);
    refuses_a_trace_ratio_below_zero("trace-ratio", &["--trace-ratio=-0.1"]);
    refuses_a_trace_ratio_that_is_no_number("trace-ratio", &["--trace-ratio", "NaN"]);
    refuses_a_collector_by_name("otlp", &["--otlp", "http://collector:4318"]);
    refuses_a_collector_by_https("otlp", &["--otlp", "https://127.0.0.1:4318"]);
    refuses_a_key_file_that_is_not_there("key-file", &["--key-file", "/nonexistent/key"]);
}

#[test]
fn names_every_fault_at_once() {
    let further = [
        "--key",
        "short",
        "--callers",
        "x",
        "--workers",
        "0",
        "--trace-ratio",
        "2",
    ];
    let faults = read(arguments(&further)).expect_err("faults");
    let mut flags: Vec<&str> = faults.iter().map(flag).collect();
    flags.sort_unstable();
    assert_eq!(flags, ["callers", "key", "trace-ratio", "workers"]);
}

#[test]
fn names_what_is_missing() {
    let faults = read(vec!["chivewheeld".to_owned()]).expect_err("faults");
    let missing = |fault: &Fault| matches!(fault, Fault::Missing { .. });
    let flags: Vec<&str> = faults.iter().filter(|f| missing(f)).map(flag).collect();
    assert_eq!(flags, ["centre", "platform", "key"]);
}

#[test]
fn a_lease_may_be_three_heartbeats() {
    let further = [
        "--key",
        SECRET,
        "--lease-ms",
        "900",
        "--heartbeat-ms",
        "300",
    ];
    let settings = read(arguments(&further)).expect("settings");
    assert_eq!(settings.times.lease, Duration::from_millis(900));
}

#[test]
fn a_flag_goes_before_its_environment_variable() {
    // No other test reads this variable's setting.
    std::env::set_var("CHIVEWHEEL_MAX_QUEUE", "17");
    let from_environment = read(arguments(&["--key", SECRET])).expect("settings");
    let further = ["--key", SECRET, "--max-queue", "18"];
    let from_flag = read(arguments(&further)).expect("settings");
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
        // A setting that takes several values has a variable in the plural.
        let plural = format!("{variable}S");
        let named = [Some(variable.as_str()), Some(plural.as_str())].contains(&found);
        assert!(name == "check" || named, "{name}: {found:?}");
    }
}

#[test]
fn the_key_comes_from_a_file_and_is_never_shown() {
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
fn a_key_that_is_refused_is_not_shown() {
    let faults = read(arguments(&["--key", "hunter2"])).expect_err("a fault");
    let shown = format!("{faults:?} {}", faults[0]);
    assert!(!shown.contains("hunter2"), "{shown}");
}

#[test]
fn help_does_not_show_the_key_of_the_environment() {
    let command = settings::command();
    let key = command
        .get_arguments()
        .find(|argument| argument.get_id() == "key");
    assert!(key.expect("key").is_hide_env_values_set());
}

#[test]
fn a_collector_s_url_has_a_usual_path() {
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
