//! Measures what traces cost: the calls of one instance with one worker, without a collector, with
//! one that gets a hundredth of the calls, and with one that gets all of them.
//!
//! The instance is this program again, as a process of its own, so that its processor time is not
//! that of the load and of the stand-ins. All load goes to loopback, for about ten seconds.

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

/// The first argument of a process that is an instance.
const INSTANCE: &str = "instance";

/// The rate that calls are due at, in calls a second: more than an instance takes.
const RATE: f64 = 20_000.0;

/// The calls under way at once.
const IN_FLIGHT: usize = 24;

/// How long each load lasts.
const SPELL: Duration = Duration::from_millis(1_000);

/// How often each setting is measured, in turns.
const ROUNDS: usize = 3;

/// The backend servers.
const SERVERS: usize = 8;

fn main() {
    let mut arguments = std::env::args();
    let program = arguments.next();
    match arguments.next().as_deref() {
        Some(INSTANCE) => serve(program.into_iter().chain(arguments)),
        _ => measure(),
    }
}

/// Runs an instance until the process is ended.
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

/// One instance as a process. It is killed when dropped.
struct Instance {
    child: Child,
    callers: SocketAddr,
}

impl Instance {
    fn spawn(cluster: &Cluster, further: &[&str]) -> Self {
        let program = std::env::current_exe().expect("program");
        let mut command = Command::new(program);
        command
            .arg(INSTANCE)
            .args(cluster.arguments("east", further));
        let mut child = command.stdout(Stdio::piped()).spawn().expect("instance");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout");
        BufReader::new(stdout).read_line(&mut line).expect("line");
        let callers = line.trim().parse().expect("address");
        Self { child, callers }
    }

    /// Returns the processor time that the process has used.
    fn processor_time(&self) -> Duration {
        /// The clock ticks of `/proc`, a second. Linux fixes it for user space.
        const TICKS: f64 = 100.0;
        /// The places of user and system time behind the name of the program.
        const TIMES: std::ops::RangeInclusive<usize> = 12..=13;
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(path).expect("stat");
        let rest = stat.rsplit(')').next().expect("fields");
        let fields: Vec<&str> = rest.split(' ').collect();
        let ticks = TIMES.map(|field| fields[field].parse::<f64>().expect("ticks"));
        Duration::from_secs_f64(ticks.sum::<f64>() / TICKS)
    }

    /// Sends calls for a spell. Returns those that were complete.
    fn load(&self, spell: Duration) -> f64 {
        let call = Call::get("levels", "gauge.example", "/levels");
        let plan = Plan::new(RATE, spell)
            .target(self.callers)
            .call(call)
            .in_flight(IN_FLIGHT);
        let report = load::run::run(plan).expect("load");
        report.count(Outcome::Complete) as f64
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // It may have ended already.
        let _ended = self.child.kill();
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
    let arms: [(&str, Vec<&str>); 3] = [
        ("no collector", vec![]),
        ("ratio 0.01", vec!["--otlp", &url, "--trace-ratio", "0.01"]),
        ("ratio 1", vec!["--otlp", &url, "--trace-ratio", "1"]),
    ];
    let mut sums = [(0.0, Duration::ZERO); 3];
    // Each instance is alone at its site, so that all its credits are its own.
    let listed: Vec<_> = backends.iter().map(|b| ("east", b.address())).collect();
    for _ in 0..ROUNDS {
        for ((_, further), (calls, used)) in arms.iter().zip(&mut sums) {
            let cluster = Cluster::open(&listed);
            cluster.publish_bundle();
            let instance = Instance::spawn(&cluster, further);
            cluster::wait_until_serving_at(instance.callers);
            instance.load(SPELL / 4);
            let before = instance.processor_time();
            *calls += instance.load(SPELL);
            *used += instance.processor_time() - before;
        }
    }
    println!("| traces | calls /s | calls a second of processor time | ratio |");
    println!("|---|---|---|---|");
    let cost = |(calls, used): (f64, Duration)| calls / used.as_secs_f64();
    for ((name, _), sum) in arms.iter().zip(sums) {
        let rate = sum.0 / (SPELL.as_secs_f64() * ROUNDS as f64);
        let ratio = cost(sum) / cost(sums[0]);
        println!("| {name} | {rate:.0} | {:.0} | {ratio:.2} |", cost(sum));
    }
    println!("{} exports", collector.requests().len());
}
