//! `chivewheel status`: what the instances report, with what needs attention first.

mod finding;
mod view;

use std::fmt;
use std::net::SocketAddr;

use contract::report::Status;
use serde::Serialize;

pub use finding::Finding;

use self::view::View;
use crate::{port, Error};

/// What is asked.
#[derive(Clone, Debug)]
pub struct Request {
    /// The operators' ports of the instances.
    pub instances: Vec<SocketAddr>,
}

/// What was found.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Overview {
    /// What needs attention, the most urgent first.
    pub attention: Vec<Finding>,
    /// What each instance that answered reports.
    pub instances: Vec<Status>,
}

/// Asks the instances. Fails if none answers.
pub async fn run(request: &Request) -> Result<Overview, Error> {
    if request.instances.is_empty() {
        return Err(Error::NoInstance);
    }
    let (instances, silent) = split(port::get_all(&request.instances, "/status").await);
    if instances.is_empty() {
        return Err(Error::AllUnreachable(silent));
    }
    Ok(Overview::new(instances, &silent))
}

/// Parts answers from failures.
pub(crate) fn split<T>(answers: Vec<Result<T, port::Error>>) -> (Vec<T>, Vec<port::Error>) {
    let mut given = Vec::new();
    let mut failed = Vec::new();
    for answer in answers {
        match answer {
            Ok(answer) => given.push(answer),
            Err(error) => failed.push(error),
        }
    }
    (given, failed)
}

impl Overview {
    /// Returns the overview of what `instances` report and of those that are `silent`.
    pub fn new(instances: Vec<Status>, silent: &[port::Error]) -> Self {
        let mut attention = finding::of(&instances);
        attention.extend(silent.iter().map(|error| Finding::Silent {
            address: error.address,
            reason: error.cause.to_string(),
        }));
        attention.sort_by_key(Finding::urgency);
        Self {
            attention,
            instances,
        }
    }
}

impl fmt::Display for Overview {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.attention.is_empty() {
            writeln!(f, "Nothing needs attention.")?;
        } else {
            writeln!(f, "Needs attention:")?;
        }
        for finding in &self.attention {
            writeln!(f, "  ! {finding} [{}]", finding.code())?;
        }
        writeln!(f, "\nInstances:")?;
        self.instances
            .iter()
            .try_for_each(|status| write_instance(f, status))?;
        writeln!(f, "\nPools:")?;
        let mut views = View::all(&self.instances).into_iter();
        views.try_for_each(|view| view.fmt(f))
    }
}

fn write_instance(f: &mut fmt::Formatter<'_>, status: &Status) -> fmt::Result {
    write!(f, "  {} in {}: ", status.instance, status.centre)?;
    match &status.bundle {
        Some(bundle) => write!(f, "bundle {} ({})", bundle.version, bundle.digest.short())?,
        None => write!(f, "no bundle")?,
    }
    writeln!(
        f,
        ", epoch {} of {} members",
        status.epoch,
        status.members.len()
    )
}
