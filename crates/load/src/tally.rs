//! Counts and latencies collected during a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::outcome::Outcome;
use crate::Error;

/// Precision of the latency histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Upper bound of the latency histograms: two hours. Longer latencies are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 2 * 3600 * 1_000_000;

/// Results of the calls scheduled within one second.
#[derive(Clone, Debug, Default)]
pub(crate) struct Second {
    pub(crate) outcomes: BTreeMap<Outcome, u64>,
    /// Maximum latency of a complete response.
    pub(crate) longest: Duration,
}

/// Results of the calls of one type.
#[derive(Clone, Debug)]
pub(crate) struct CallStats {
    pub(crate) outcomes: BTreeMap<Outcome, u64>,
    /// Latencies of complete responses, in microseconds.
    pub(crate) complete: Histogram<u64>,
    /// Latencies of all calls that were sent, regardless of outcome, in microseconds.
    pub(crate) all: Histogram<u64>,
}

impl CallStats {
    fn new() -> Result<Self, Error> {
        Ok(Self {
            outcomes: BTreeMap::new(),
            complete: Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)?,
            all: Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)?,
        })
    }
}

/// Results of the calls finished so far.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    pub(crate) call_types: Vec<CallStats>,
    pub(crate) seconds: Vec<Second>,
    pub(crate) resends: u64,
    /// Outcomes of every attempt of each keyed call, by call number.
    pub(crate) keyed: BTreeMap<u64, Vec<Outcome>>,
}

impl Tally {
    pub(crate) fn new(call_types: usize) -> Result<Self, Error> {
        Ok(Self {
            call_types: vec![CallStats::new()?; call_types],
            seconds: Vec::new(),
            resends: 0,
            keyed: BTreeMap::new(),
        })
    }

    /// Records a call of the type with index `call_type`, scheduled at `offset` after the start of
    /// the run.
    pub(crate) fn add(
        &mut self,
        call_type: usize,
        offset: Duration,
        outcome: Outcome,
        latency: Duration,
    ) {
        let stats = &mut self.call_types[call_type];
        *stats.outcomes.entry(outcome).or_default() += 1;
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        if outcome != Outcome::Unsent {
            stats.all.saturating_record(micros);
        }
        if outcome == Outcome::Complete {
            stats.complete.saturating_record(micros);
        }
        let second = self.second_mut(offset);
        *second.outcomes.entry(outcome).or_default() += 1;
        if outcome == Outcome::Complete {
            second.longest = second.longest.max(latency);
        }
    }

    fn second_mut(&mut self, offset: Duration) -> &mut Second {
        let index = usize::try_from(offset.as_secs()).unwrap_or(0);
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, Second::default);
        }
        &mut self.seconds[index]
    }
}
