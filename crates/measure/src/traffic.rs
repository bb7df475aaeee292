//! Generation of the calls of a run.

use std::time::Duration;

use clock::Instant;

use crate::call::Call;
use crate::random::Random;
use crate::site::{Site, CENTRES, ENTRIES};

/// The mean service time of a call at a warm server with a free slot.
pub const MEAN_WORK: Duration = Duration::from_millis(10);

/// The shape parameter of the lognormal distribution of the service time.
const SIGMA: f64 = 0.5;

/// How long one data centre gets most of the calls before the next one does.
const SHIFT_PERIOD: Duration = Duration::from_millis(20);

/// The share of the calls that it gets during that time.
const SHIFT_SHARE: f64 = 0.7;

/// The time from the start of a burst to the start of the next.
const BURST_PERIOD: Duration = Duration::from_millis(100);

/// The share of the period that a burst lasts.
const BURST_TIME_SHARE: f64 = 0.05;

/// The share of the calls that arrive in bursts.
const BURST_CALL_SHARE: f64 = 0.15;

/// How calls arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Traffic {
    /// At a constant rate, spread evenly over all entry instances.
    Steady,
    /// At a constant rate, most of them to one data centre, which changes in turn.
    Shifting,
    /// In bursts of a few milliseconds, spread evenly over all entry instances.
    Bursts,
}

impl Traffic {
    /// Returns the calls that arrive within `duration`, at a rate that keeps the share `load` of
    /// the slots of `site` busy.
    pub fn calls(self, site: &Site, load: f64, duration: Duration, seed: u64) -> Vec<Call> {
        let mut random = Random::new(seed);
        let gap = MEAN_WORK.as_secs_f64() / (site.slots() as f64 * load);
        let mut calls = Vec::new();
        let mut at = 0.0;
        loop {
            at += random.exponential(gap);
            if at >= duration.as_secs_f64() {
                return calls;
            }
            let at = self.to_arrival_time(at);
            let entry = self.entry(at, site, &mut random);
            let work = random.lognormal(MEAN_WORK.as_secs_f64(), SIGMA);
            calls.push(Call {
                at: Instant::from_micros((at * 1e6) as u64),
                entry,
                work: Duration::from_secs_f64(work),
            });
        }
    }

    /// Maps an arrival time at a constant rate to the arrival time in this traffic; monotonic.
    fn to_arrival_time(self, at: f64) -> f64 {
        if self != Self::Bursts {
            return at;
        }
        let period = BURST_PERIOD.as_secs_f64();
        let part = (at / period).fract();
        let mapped = if part < BURST_CALL_SHARE {
            part / BURST_CALL_SHARE * BURST_TIME_SHARE
        } else {
            BURST_TIME_SHARE
                + (part - BURST_CALL_SHARE) / (1.0 - BURST_CALL_SHARE) * (1.0 - BURST_TIME_SHARE)
        };
        ((at / period).floor() + mapped) * period
    }

    fn entry(self, at: f64, site: &Site, random: &mut Random) -> usize {
        let entry = random.below(ENTRIES);
        let favoured = (at / SHIFT_PERIOD.as_secs_f64()) as usize % CENTRES;
        // The favoured data centre also gets its share of the calls drawn for all data centres, so
        // fewer calls than `SHIFT_SHARE` are redirected.
        let drawn = random.unit();
        let redirected = (SHIFT_SHARE - 1.0 / CENTRES as f64) / (1.0 - 1.0 / CENTRES as f64);
        if self != Self::Shifting || drawn > redirected {
            return entry;
        }
        let mut members = (0..ENTRIES).filter(|e| site.centre_of_entry(*e) == favoured);
        let count = members.clone().count();
        members.nth(entry % count).unwrap_or(entry)
    }
}
