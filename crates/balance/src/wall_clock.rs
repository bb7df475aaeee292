//! True time, from the times of day of several instances.
//!
//! The time of day of a machine is close to true time, but may jump by seconds and back. Steady
//! clocks don't jump, but count from the start of each machine. Each instance therefore takes the
//! offset of each time of day to its own steady clock, and uses the median of them.
//!
//! What delays a message makes its offset too low, never too high. Of the last few offsets of an
//! instance, the highest one counts.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use clock::Instant;

/// How long the time of day of an instance counts without a message. Steady clocks drift by less
/// than 0.1 ms a second.
const TTL: Duration = Duration::from_secs(60);

/// The last offsets of an instance that count. A message that waited while this instance was paused
/// is made good by later ones.
const SAMPLES: usize = 8;

/// The most other instances whose time of day counts.
const MAX_INSTANCES: usize = 256;

/// The last offsets of one instance, in microseconds.
#[derive(Clone, Debug, Default)]
struct Source {
    offsets: VecDeque<i64>,
    heard_at: Instant,
}

impl Source {
    fn record(&mut self, offset: i64, now: Instant) {
        if self.offsets.len() >= SAMPLES {
            self.offsets.pop_front();
        }
        self.offsets.push_back(offset);
        self.heard_at = now;
    }

    fn offset(&self) -> Option<i64> {
        self.offsets.iter().copied().max()
    }
}

/// True time, from the times of day of several instances.
#[derive(Clone, Debug)]
pub struct WallClock {
    own: Source,
    others: HashMap<u64, Source>,
    /// The offset of true time to the steady clock, in microseconds.
    offset: i64,
}

impl WallClock {
    /// Returns the clock of an instance that has heard of no other, whose `time_of_day`, since the
    /// start of 1970, is at `now`.
    pub fn new(time_of_day: Duration, now: Instant) -> Self {
        let offset = offset(time_of_day, now);
        let mut own = Source::default();
        own.record(offset, now);
        Self {
            own,
            others: HashMap::new(),
            offset,
        }
    }

    /// Records this instance's time of day.
    pub fn record_own(&mut self, time_of_day: Duration, now: Instant) {
        self.own.record(offset(time_of_day, now), now);
        self.update(now);
    }

    /// Records the time of day in a message of another instance that has just arrived.
    pub fn record(&mut self, instance: u64, time_of_day: Duration, now: Instant) {
        if self.others.len() >= MAX_INSTANCES && !self.others.contains_key(&instance) {
            self.others
                .retain(|_, source| now.since(source.heard_at) < TTL);
            if self.others.len() >= MAX_INSTANCES {
                return;
            }
        }
        let source = self.others.entry(instance).or_default();
        source.record(offset(time_of_day, now), now);
        self.update(now);
    }

    /// Returns the true time at `at`, since the start of 1970.
    pub fn time(&self, at: Instant) -> Duration {
        let micros = micros(at).saturating_add(self.offset);
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }

    /// Returns the number of instances whose time of day counts, this one included.
    pub fn instances(&self) -> usize {
        self.others.len() + 1
    }

    fn update(&mut self, now: Instant) {
        self.others
            .retain(|_, source| now.since(source.heard_at) < TTL);
        let others = self.others.values().filter_map(Source::offset);
        let mut offsets: Vec<i64> = others.chain(self.own.offset()).collect();
        offsets.sort_unstable();
        let (Some(low), Some(high)) = (
            offsets.get((offsets.len() - 1) / 2),
            offsets.get(offsets.len() / 2),
        ) else {
            return;
        };
        // Of an even number, one half may be wrong. The offset then moves no further than it must,
        // so that of two instances the one that jumps doesn't count.
        self.offset = self.offset.clamp(*low, *high);
    }
}

/// Returns the offset of a time of day to the steady clock, in microseconds.
fn offset(time_of_day: Duration, now: Instant) -> i64 {
    let time_of_day = i64::try_from(time_of_day.as_micros()).unwrap_or(i64::MAX);
    time_of_day.saturating_sub(micros(now))
}

fn micros(at: Instant) -> i64 {
    i64::try_from(at.as_micros()).unwrap_or(i64::MAX)
}
