//! `chivewheel bundle check`: names every fault of a bundle.

use std::fmt;
use std::path::PathBuf;

use jiff::Timestamp;
use serde::Serialize;

use contract::change::{Change, Danger};

use crate::{file, Error};

/// What is asked.
#[derive(Clone, Debug)]
pub struct Request {
    /// The file of the bundle.
    pub bundle: PathBuf,
}

/// What was found.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Checked {
    /// The version of the bundle.
    pub version: u64,
    /// The number of services.
    pub services: usize,
    /// The number of data centres.
    pub centres: usize,
    /// What could do harm, whatever the bundle replaces.
    pub dangers: Vec<Danger>,
}

/// Checks a bundle. Fails with all its faults.
pub fn run(request: &Request, now: Timestamp) -> Result<Checked, Error> {
    let bundle = file::read_bundle(&request.bundle)?;
    Ok(Checked {
        version: bundle.version,
        services: bundle.services.len(),
        centres: bundle.centres.len(),
        dangers: Change::between(None, &bundle).dangers(now),
    })
}

impl fmt::Display for Checked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Checked {
            version,
            services,
            centres,
            dangers,
        } = self;
        writeln!(
            f,
            "Bundle {version} has no faults. Services: {services}. Data centres: {centres}."
        )?;
        for danger in dangers {
            writeln!(f, "  ! {danger} [{}]", danger.code())?;
        }
        Ok(())
    }
}
