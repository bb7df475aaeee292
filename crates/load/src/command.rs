//! Command line of the load generator, for `chivewheel load`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};

use crate::call::Call;
use crate::plan::Plan;
use crate::report::Report;
use crate::run::run;
use crate::Error;

/// Returns the `load` command with its arguments.
pub fn command() -> Command {
    Command::new("load")
        .about("Sends calls at a fixed rate to loopback addresses and checks each answer")
        .args(load_args())
        .args(sending_args())
        .args(output_args())
}

/// Runs the load described by `matches` and prints the report.
///
/// # Errors
///
/// Returns an error if the plan is invalid or a report cannot be written, and
/// [`Error::Violations`] if a response or an execution violated a guarantee.
pub fn execute(matches: &ArgMatches) -> Result<(), Error> {
    let report = run(plan(matches))?;
    println!("{report}");
    if let Some(path) = matches.get_one::<PathBuf>("json") {
        Report::write(path, &report.to_json()?)?;
    }
    if let Some(path) = matches.get_one::<PathBuf>("html") {
        Report::write(path, &report.to_html()?)?;
    }
    match report.violations() {
        0 => Ok(()),
        violations => Err(Error::Violations { violations }),
    }
}

fn load_args() -> [Arg; 3] {
    let target = Arg::new("target")
        .long("target")
        .env("CHIVEWHEEL_LOAD_TARGET")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .value_delimiter(',')
        .required(true)
        .help("Where to send calls; several take turns");
    let call = Arg::new("call")
        .long("call")
        .value_name("KEY=VALUE,...")
        .value_parser(|text: &str| text.parse::<Call>())
        .action(ArgAction::Append)
        .required(true)
        .help("A kind of call: name, host, path, method, body (bytes), weight, keyed (true)");
    let stand_in = Arg::new("stand-in")
        .long("stand-in")
        .env("CHIVEWHEEL_LOAD_STAND_IN")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .value_delimiter(',')
        .help("Backend stand-ins to ask for the executions of each key");
    [target, call, stand_in]
}

fn sending_args() -> [Arg; 8] {
    let number = |name: &'static str, value_name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name(value_name)
            .default_value(default)
    };
    [
        number("rate", "CALLS/S", "100")
            .value_parser(value_parser!(f64))
            .help("The calls due each second"),
        number("seconds", "SECONDS", "10")
            .value_parser(value_parser!(u64))
            .help("How long calls are due"),
        number("time-limit-ms", "MILLISECONDS", "5000")
            .value_parser(value_parser!(u64))
            .help("How long one attempt may take"),
        number("connections", "CONNECTIONS", "256")
            .value_parser(value_parser!(usize))
            .help("The most connections to each target"),
        number("workers", "THREADS", "2")
            .value_parser(value_parser!(usize))
            .help("The threads that run calls"),
        number("resends", "TIMES", "0")
            .value_parser(value_parser!(u32))
            .help("How often a keyed call of unknown outcome is sent again"),
        number("duplicates", "SHARE", "0")
            .value_parser(value_parser!(f64))
            .help("The share of keyed calls that are sent twice at once"),
        Arg::new("direct")
            .long("direct")
            .action(ArgAction::SetTrue)
            .help("Expect no outcome header: the targets are backend servers"),
    ]
}

fn output_args() -> [Arg; 2] {
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help(help)
    };
    [
        file("json", "Writes the report as JSON"),
        file("html", "Writes the report as a page with charts"),
    ]
}

fn plan(matches: &ArgMatches) -> Plan {
    let duration = Duration::from_secs(get(matches, "seconds"));
    let time_limit = Duration::from_millis(get(matches, "time-limit-ms"));
    let mut plan = Plan::new(get(matches, "rate"), duration)
        .time_limit(time_limit)
        .connections(get(matches, "connections"))
        .workers(get(matches, "workers"))
        .resends(get(matches, "resends"))
        .duplicates(get(matches, "duplicates"));
    for target in matches.get_many("target").into_iter().flatten() {
        plan = plan.target(*target);
    }
    for call in matches.get_many::<Call>("call").into_iter().flatten() {
        plan = plan.call(call.clone());
    }
    for stand_in in matches.get_many("stand-in").into_iter().flatten() {
        plan = plan.stand_in(*stand_in);
    }
    match matches.get_flag("direct") {
        true => plan.direct(),
        false => plan,
    }
}

/// Returns the numeric argument `name`. It always has a value because it has a default.
fn get<T>(matches: &ArgMatches, name: &str) -> T
where
    T: Copy + Default + Send + Sync + 'static,
{
    matches.get_one(name).copied().unwrap_or_default()
}
