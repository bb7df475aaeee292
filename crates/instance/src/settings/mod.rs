//! What a daemon is told when it starts.
//!
//! Each setting is a flag and an environment variable. All are read as text and checked together, so
//! that an operator sees every fault at once.

mod command;
mod endpoint;
mod fault;
mod limits;
mod reader;
mod times;

use std::net::SocketAddr;

use contract::id;
use contract::keyring::Keyring;

pub use command::command;
pub use endpoint::{BadEndpoint, Endpoint};
pub use fault::{Fault, Faults};
pub use limits::Limits;
use reader::Reader;
pub use times::Times;

/// How log records are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For a person at a terminal.
    Terminal,
    /// One JSON object a line.
    Json,
}

/// What a daemon is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this run of the instance.
    pub name: id::Instance,
    /// The data centre that the instance is in.
    pub centre: id::Centre,
    /// Where callers are answered.
    pub callers: SocketAddr,
    /// Where other instances are answered.
    pub peers: SocketAddr,
    /// The address that other instances reach [`Settings::peers`] at.
    pub advertise: Option<SocketAddr>,
    /// Where operators are answered.
    pub operators: SocketAddr,
    /// Where the platform's object API is.
    pub platform: SocketAddr,
    /// Instances to ask for the roster and the bundle while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// The key that authenticates messages between instances.
    pub key: wire::Key,
    /// The public keys of those who may sign bundles.
    pub signers: Keyring,
    /// Where traces are exported to.
    pub otlp: Option<Endpoint>,
    /// The part of the calls that are traced where the caller does not decide, from 0 to 1.
    pub trace_ratio: f64,
    /// How log records are written.
    pub log_format: LogFormat,
    /// The threads that run tasks.
    pub workers: u64,
    /// Bounds on what others may send and hold.
    pub limits: Limits,
    /// Leases, intervals and time limits.
    pub times: Times,
}

impl Settings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// Every fault that was found.
    pub fn read(matches: &clap::ArgMatches) -> Result<Self, Faults> {
        let mut reader = Reader::new(matches);
        let settings = Self::collect(&mut reader);
        let faults = reader.into_faults();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(Faults(faults)),
        }
    }

    /// Sets the number of threads that run tasks. It has to be called before the first task.
    pub fn set_workers(&self) {
        const SMOL_THREADS: &str = "SMOL_THREADS";
        std::env::set_var(SMOL_THREADS, self.workers.to_string());
    }

    fn collect(reader: &mut Reader<'_>) -> Option<Self> {
        let limits = Limits::collect(reader);
        let times = Times::collect(reader);
        let name = Self::run_name(reader);
        let centre = reader.text("centre");
        let callers = reader.parse("callers");
        let peers = reader.parse("peers");
        let advertise = reader.optional("advertise");
        let operators = reader.parse("operators");
        let platform = reader.parse("platform");
        let seeds = reader.list("seed");
        let key = reader.key();
        let signers = reader.keyring("signer");
        let otlp = reader.optional("otlp");
        let trace_ratio = reader.ratio("trace-ratio");
        let workers = reader.number("workers", 1, 256);
        let log_format = Self::log_format(reader);
        Some(Self {
            name: name?,
            centre: id::Centre::from(centre?.as_str()),
            callers: callers?,
            peers: peers?,
            advertise,
            operators: operators?,
            platform: platform?,
            seeds,
            key: key?,
            signers: signers?,
            otlp,
            trace_ratio: trace_ratio?,
            log_format: log_format?,
            workers: workers?,
            limits: limits?,
            times: times?,
        })
    }

    /// Returns the name of this run: a restarted instance must not be taken for the one before.
    fn run_name(reader: &mut Reader<'_>) -> Option<id::Instance> {
        const RUN_DIGITS: usize = 8;
        let base = reader.text("name")?;
        let run = uuid::Uuid::new_v4().simple().to_string();
        Some(id::Instance::from(
            format!("{base}-{}", &run[..RUN_DIGITS]).as_str(),
        ))
    }

    fn log_format(reader: &mut Reader<'_>) -> Option<LogFormat> {
        match reader.text("log-format")?.as_str() {
            "terminal" => Some(LogFormat::Terminal),
            "json" => Some(LogFormat::Json),
            other => reader.refuse("log-format", other, "takes terminal or json"),
        }
    }
}
