//! `chivewheel explain`: what outcomes and codes mean, and what to do about them.

mod table;

use std::fmt;

use serde::Serialize;

pub use table::TABLE;

use crate::Error;

/// What is asked.
#[derive(Clone, Debug)]
pub struct Request {
    /// The code; all of them when absent.
    pub code: Option<String>,
}

/// What a code means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The code, as it is printed.
    pub code: &'static str,
    /// What it means.
    pub meaning: &'static str,
    /// What to do.
    pub advice: &'static str,
}

/// The entries asked for.
#[derive(Clone, Debug, Serialize)]
#[serde(transparent)]
pub struct Explanation(Vec<Entry>);

/// Looks a code up, in any case.
pub fn run(request: &Request) -> Result<Explanation, Error> {
    let Some(code) = &request.code else {
        return Ok(Explanation(TABLE.to_vec()));
    };
    let wanted = code.trim().to_ascii_lowercase();
    let entry = find(&wanted).ok_or_else(|| Error::NotExplained(code.clone()))?;
    Ok(Explanation(vec![*entry]))
}

/// Returns the entry of `code`.
pub fn find(code: &str) -> Option<&'static Entry> {
    TABLE.iter().find(|entry| entry.code == code)
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|entry| entry.fmt(f))
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Entry {
            code,
            meaning,
            advice,
        } = self;
        writeln!(f, "{code}: {meaning}\n  what to do: {advice}")
    }
}
