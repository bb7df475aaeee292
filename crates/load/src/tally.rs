//! Counts and latencies while calls are under way.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::outcome::Outcome;
use crate::Error;

/// The digits of a latency that are kept.
const DIGITS: u8 = 3;

/// The longest latency that is told apart, in microseconds: two hours.
const LONGEST_MICROS: u64 = 2 * 3600 * 1_000_000;

/// The calls that were due within one second.
#[derive(Clone, Debug, Default)]
pub(crate) struct Second {
    pub(crate) outcomes: BTreeMap<Outcome, u64>,
    /// The longest latency of a complete answer.
    pub(crate) longest: Duration,
}

/// The calls of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    pub(crate) outcomes: BTreeMap<Outcome, u64>,
    /// The latencies of complete answers, in microseconds.
    pub(crate) complete: Histogram<u64>,
    /// The latencies of all calls that were sent, whatever came of them, in microseconds.
    pub(crate) all: Histogram<u64>,
}

impl Kind {
    fn new() -> Result<Self, Error> {
        Ok(Self {
            outcomes: BTreeMap::new(),
            complete: Histogram::new_with_max(LONGEST_MICROS, DIGITS)?,
            all: Histogram::new_with_max(LONGEST_MICROS, DIGITS)?,
        })
    }
}

/// What came of the calls so far.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    pub(crate) kinds: Vec<Kind>,
    pub(crate) seconds: Vec<Second>,
    pub(crate) resends: u64,
    /// What came of each attempt with a key, by the number of the call.
    pub(crate) keyed: BTreeMap<u64, Vec<Outcome>>,
}

impl Tally {
    pub(crate) fn new(kinds: usize) -> Result<Self, Error> {
        Ok(Self {
            kinds: vec![Kind::new()?; kinds],
            seconds: Vec::new(),
            resends: 0,
            keyed: BTreeMap::new(),
        })
    }

    /// Adds a call of `kind` that was `due` after the start of the run.
    pub(crate) fn add(&mut self, kind: usize, due: Duration, outcome: Outcome, latency: Duration) {
        let kind = &mut self.kinds[kind];
        *kind.outcomes.entry(outcome).or_default() += 1;
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        if outcome != Outcome::Unsent {
            kind.all.saturating_record(micros);
        }
        if outcome == Outcome::Complete {
            kind.complete.saturating_record(micros);
        }
        let second = self.second(due);
        *second.outcomes.entry(outcome).or_default() += 1;
        if outcome == Outcome::Complete {
            second.longest = second.longest.max(latency);
        }
    }

    fn second(&mut self, due: Duration) -> &mut Second {
        let index = usize::try_from(due.as_secs()).unwrap_or(0);
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, Second::default);
        }
        &mut self.seconds[index]
    }
}
