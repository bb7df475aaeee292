//! Measures the cost of tracing: the throughput of one instance with one worker, without a
//! collector, with 1% of the calls traced, and with all calls traced.
//!
//! The instance runs in a separate process of this program, so that its processor time excludes
//! that of the load generator and the stand-ins. All load goes to loopback, for about ten seconds.

#[path = "../tests/all/cluster.rs"]
#[allow(dead_code)]
mod cluster;
#[path = "../tests/all/recorder.rs"]
#[allow(dead_code)]
mod recorder;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use clock::Boottime;
use instance::settings::{self, Settings};
use instance::{log, Daemon};
use load::call::Call;
use load::outcome::Outcome;
use load::plan::Plan;
use platform::client::{Client, Config};
use stand_in::backend::{self, Backend};

use cluster::Cluster;
use recorder::Recorder;

/// First argument of a process that runs an instance.
const INSTANCE_COMMAND: &str = "instance";

/// Offered load in calls per second: more than an instance can handle.
const CALLS_PER_SECOND: f64 = 20_000.0;

/// Most calls in flight.
const MAX_IN_FLIGHT: usize = 24;

/// Duration of each measurement.
const LOAD_TIME: Duration = Duration::from_millis(1_000);

/// Number of measurements of each variant. The variants take turns.
const ROUNDS: usize = 3;

/// Number of backend servers.
const SERVERS: usize = 8;

fn main() {
    let mut arguments = std::env::args();
    let program = arguments.next();
    match arguments.next().as_deref() {
        Some(INSTANCE_COMMAND) => serve(program.into_iter().chain(arguments)),
        _ => measure(),
    }
}

/// Runs an instance until the process is killed.
fn serve<I>(arguments: I)
where
    I: Iterator<Item = String>,
{
    let matches = settings::command().get_matches_from(arguments);
    let settings = Settings::read(&matches).expect("settings");
    settings.set_workers();
    let store = Client::open(Config::new(settings.platform));
    smol::block_on(async {
        let opened = Daemon::open(settings, store, Boottime, log::discard()).await;
        println!("{}", opened.as_ref().expect("instance").callers());
        std::future::pending::<()>().await;
    });
}

/// An instance in a separate process, which is killed on drop.
struct Instance {
    child: Child,
    callers: SocketAddr,
}

impl Instance {
    fn spawn(cluster: &Cluster, extra: &[&str]) -> Self {
        let program = std::env::current_exe().expect("program");
        let mut command = Command::new(program);
        command
            .arg(INSTANCE_COMMAND)
            .args(cluster.arguments("east", extra));
        let mut child = command.stdout(Stdio::piped()).spawn().expect("instance");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout");
        BufReader::new(stdout).read_line(&mut line).expect("line");
        let callers = line.trim().parse().expect("address");
        Self { child, callers }
    }

    /// Returns the user and system time that the process has used.
    fn processor_time(&self) -> Duration {
        /// Clock ticks of `/proc`. Linux fixes this value for user space.
        const TICKS_PER_SECOND: f64 = 100.0;
        /// Positions of user and system time, counted after the program name.
        const TIME_FIELDS: std::ops::RangeInclusive<usize> = 12..=13;
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(path).expect("stat");
        let rest = stat.rsplit(')').next().expect("fields");
        let fields: Vec<&str> = rest.split(' ').collect();
        let ticks = TIME_FIELDS.map(|field| fields[field].parse::<f64>().expect("ticks"));
        Duration::from_secs_f64(ticks.sum::<f64>() / TICKS_PER_SECOND)
    }

    /// Sends calls for `duration` and returns the number of complete responses.
    fn load(&self, duration: Duration) -> f64 {
        let call = Call::get("levels", "gauge.example", "/levels");
        let plan = Plan::new(CALLS_PER_SECOND, duration)
            .target(self.callers)
            .call(call)
            .in_flight(MAX_IN_FLIGHT);
        let report = load::run::run(plan).expect("load");
        report.count(Outcome::Complete) as f64
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have exited already.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

fn measure() {
    let config = backend::Config {
        service_time: Duration::from_millis(1),
        ..backend::Config::default()
    };
    let backends: Vec<Backend> = (0..SERVERS)
        .map(|_| Backend::bind(config.clone()).expect("backend"))
        .collect();
    let collector = Recorder::bind();
    let url = format!("http://{}", collector.address);
    let variants: [(&str, Vec<&str>); 3] = [
        ("no collector", vec![]),
        ("ratio 0.01", vec!["--otlp", &url, "--trace-ratio", "0.01"]),
        ("ratio 1", vec!["--otlp", &url, "--trace-ratio", "1"]),
    ];
    let mut sums = [(0.0, Duration::ZERO); 3];
    // Each instance is alone in its cluster, so that it grants all its credits itself.
    let listed: Vec<_> = backends.iter().map(|b| ("east", b.address())).collect();
    for _ in 0..ROUNDS {
        for ((_, extra), (calls, used)) in variants.iter().zip(&mut sums) {
            let cluster = Cluster::open(&listed);
            cluster.publish_bundle();
            let instance = Instance::spawn(&cluster, extra);
            cluster::wait_until_serving_at(instance.callers);
            instance.load(LOAD_TIME / 4);
            let before = instance.processor_time();
            *calls += instance.load(LOAD_TIME);
            *used += instance.processor_time() - before;
        }
    }
    println!("| traces | calls /s | calls a second of processor time | ratio |");
    println!("|---|---|---|---|");
    let efficiency = |(calls, used): (f64, Duration)| calls / used.as_secs_f64();
    for ((name, _), sum) in variants.iter().zip(sums) {
        let rate = sum.0 / (LOAD_TIME.as_secs_f64() * ROUNDS as f64);
        let ratio = efficiency(sum) / efficiency(sums[0]);
        println!(
            "| {name} | {rate:.0} | {:.0} | {ratio:.2} |",
            efficiency(sum)
        );
    }
    println!("{} exports", collector.requests().len());
}
