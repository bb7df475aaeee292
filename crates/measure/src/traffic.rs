//! The calls of a run.

use std::time::Duration;

use clock::Instant;

use crate::call::Call;
use crate::random::Random;
use crate::site::{Site, CENTRES, ENTRIES};

/// The mean time that a call takes at a warm server with room.
pub const MEAN_WORK: Duration = Duration::from_millis(10);

/// The shape of the lognormal distribution of that time.
const SIGMA: f64 = 0.5;

/// How long one data centre gets most of the calls.
const SHIFT: Duration = Duration::from_millis(20);

/// The part of the calls that it gets then.
const SHIFTED: f64 = 0.7;

/// The time from one burst to the next.
const BURST_PERIOD: Duration = Duration::from_millis(100);

/// The part of that time that a burst lasts.
const BURST_PART: f64 = 0.05;

/// The part of the calls that come in bursts.
const BURST_CALLS: f64 = 0.15;

/// How calls come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Traffic {
    /// At an even rate, to all entries alike.
    Steady,
    /// At an even rate, most of them to one data centre after another.
    Shifting,
    /// In bursts of a few milliseconds, to all entries alike.
    Bursts,
}

impl Traffic {
    /// Returns the calls of `duration`, as many as keep the slots of `site` busy for the part `load`
    /// of the time.
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
            let at = self.bend(at);
            let entry = self.entry(at, site, &mut random);
            let work = random.lognormal(MEAN_WORK.as_secs_f64(), SIGMA);
            calls.push(Call {
                at: Instant::from_micros((at * 1e6) as u64),
                entry,
                work: Duration::from_secs_f64(work),
            });
        }
    }

    /// Moves a time at an even rate to where this traffic has it, in the same order.
    fn bend(self, at: f64) -> f64 {
        if self != Self::Bursts {
            return at;
        }
        let period = BURST_PERIOD.as_secs_f64();
        let part = (at / period).fract();
        let bent = if part < BURST_CALLS {
            part / BURST_CALLS * BURST_PART
        } else {
            BURST_PART + (part - BURST_CALLS) / (1.0 - BURST_CALLS) * (1.0 - BURST_PART)
        };
        ((at / period).floor() + bent) * period
    }

    fn entry(self, at: f64, site: &Site, random: &mut Random) -> usize {
        let entry = random.below(ENTRIES);
        let favoured = (at / SHIFT.as_secs_f64()) as usize % CENTRES;
        // The favoured data centre gets its part also of the calls that are drawn for all.
        let drawn = random.unit();
        let extra = (SHIFTED - 1.0 / CENTRES as f64) / (1.0 - 1.0 / CENTRES as f64);
        if self != Self::Shifting || drawn > extra {
            return entry;
        }
        let mut members = (0..ENTRIES).filter(|e| site.centre_of_entry(*e) == favoured);
        let count = members.clone().count();
        members.nth(entry % count).unwrap_or(entry)
    }
}
