//! Reads and validates the settings of the daemon.
//!
//! Each setting has a flag and an environment variable. All are read as text and validated
//! together, so that an operator sees all errors at once.

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

/// The format of log records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines for a terminal.
    Terminal,
    /// One JSON object per line.
    Json,
}

/// The settings of the daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the instance, with a suffix that is unique to this run.
    pub name: id::Instance,
    /// The data centre that the instance is in.
    pub centre: id::Centre,
    /// The address on which callers are served.
    pub callers: SocketAddr,
    /// The address on which other instances are served.
    pub peers: SocketAddr,
    /// The address at which other instances reach [`Settings::peers`], if it differs.
    pub advertise: Option<SocketAddr>,
    /// The address on which operators are served.
    pub operators: SocketAddr,
    /// The address of the platform's object API.
    pub platform: SocketAddr,
    /// Instances to query for the roster and the bundle while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// The key that authenticates messages between instances.
    pub key: wire::Key,
    /// The public keys of the operators who may sign bundles.
    pub signers: Keyring,
    /// The collector to export traces to; `None` disables the export.
    pub otlp: Option<Endpoint>,
    /// The fraction of calls that are traced if the caller makes no sampling decision, from 0 to 1.
    pub trace_ratio: f64,
    /// The format of log records.
    pub log_format: LogFormat,
    /// The number of threads that run tasks.
    pub workers: u64,
    /// Limits on connections, calls and message sizes.
    pub limits: Limits,
    /// Leases, intervals and time limits.
    pub times: Times,
}

impl Settings {
    /// Reads and validates the settings.
    ///
    /// # Errors
    ///
    /// All faults that were found.
    pub fn read(matches: &clap::ArgMatches) -> Result<Self, Faults> {
        let mut reader = Reader::new(matches);
        let settings = Self::collect(&mut reader);
        let faults = reader.into_faults();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(Faults(faults)),
        }
    }

    /// Sets the number of threads that run tasks. Must be called before the first task is spawned.
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

    /// Returns a unique name for this run, so that a restarted instance is not mistaken for its
    /// previous run.
    fn run_name(reader: &mut Reader<'_>) -> Option<id::Instance> {
        const SUFFIX_DIGITS: usize = 8;
        let base = reader.text("name")?;
        let suffix = uuid::Uuid::new_v4().simple().to_string();
        Some(id::Instance::from(
            format!("{base}-{}", &suffix[..SUFFIX_DIGITS]).as_str(),
        ))
    }

    fn log_format(reader: &mut Reader<'_>) -> Option<LogFormat> {
        match reader.text("log-format")?.as_str() {
            "terminal" => Some(LogFormat::Terminal),
            "json" => Some(LogFormat::Json),
            other => reader.reject("log-format", other, "takes terminal or json"),
        }
    }
}
