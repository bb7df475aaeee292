//! Sums of the counts of a data centre's instances.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{Message, Part, Report, Sums};

/// The windows that are kept, the current one included. A report may be late by the time for which the
/// store is down.
const KEPT_WINDOWS: u64 = 24;

/// The most counts that are kept: of one tenant, of one instance, in one window. What is known of an
/// instance in a window beside its counts is one more. They take some 20 MB with names of usual length.
const MAX_COUNTS: usize = 200_000;

/// The most messages into which the counts of an instance in one window are divided.
const MAX_PARTS: u32 = 1024;

#[derive(Clone, Copy, Debug)]
struct Count {
    sequence: u64,
    requests: u64,
}

/// The complete counts of an instance, as far as they have arrived.
#[derive(Clone, Debug, Default)]
struct Progress {
    /// The sequence number of the first part.
    first: u64,
    arrived: BTreeSet<u32>,
    is_complete: bool,
}

#[derive(Clone, Debug, Default)]
struct Window {
    /// By tenant and instance.
    counts: BTreeMap<String, HashMap<u64, Count>>,
    /// By instance.
    progress: HashMap<u64, Progress>,
    size: usize,
}

/// Sums of the counts of a data centre's instances.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    windows: BTreeMap<u64, Window>,
    /// What the collector before this one wrote.
    restored: BTreeMap<u64, BTreeMap<String, u64>>,
    /// The last window of these. It had not ended when they were written.
    restored_until: u64,
    /// The window in which this instance became a collector.
    since: Option<u64>,
    /// The window in which the last message arrived.
    heard_in: u64,
    size: usize,
    overflow: u64,
}

impl Collector {
    /// Records a message of `instance` that arrives in the window `current`. Returns whether its
    /// window is kept.
    pub fn record(&mut self, instance: u64, message: &Message, current: u64) -> bool {
        self.advance(current);
        let number = message.window;
        if number > current + 1 || number + KEPT_WINDOWS <= current {
            return false;
        }
        for (tenant, requests) in &message.counts {
            let count = Count {
                sequence: message.sequence,
                requests: *requests,
            };
            self.record_count(instance, number, tenant, count);
        }
        let is_valid = |part: &Part| part.index < part.count && part.count <= MAX_PARTS;
        let Some(part) = message.part.filter(is_valid) else {
            return true;
        };
        let window = self.windows.get(&number);
        let is_known = window.is_some_and(|window| window.progress.contains_key(&instance));
        if !is_known && !self.make_room(number) {
            return true;
        }
        let window = self.windows.entry(number).or_default();
        if !is_known {
            window.size += 1;
            self.size += 1;
        }
        let progress = window.progress.entry(instance).or_default();
        let first = message.sequence.saturating_sub(part.index.into());
        if first > progress.first {
            progress.first = first;
            progress.arrived.clear();
        }
        if first == progress.first {
            progress.arrived.insert(part.index);
        }
        let arrived = u32::try_from(progress.arrived.len()).unwrap_or(u32::MAX);
        progress.is_complete |= arrived >= part.count;
        true
    }

    fn record_count(&mut self, instance: u64, number: u64, tenant: &str, count: Count) {
        let window = self.windows.entry(number).or_default();
        let known = window.counts.get_mut(tenant);
        if let Some(known) = known.and_then(|counts| counts.get_mut(&instance)) {
            if count.sequence > known.sequence {
                *known = count;
            }
            return;
        }
        if !self.make_room(number) {
            return;
        }
        let window = self.windows.entry(number).or_default();
        let counts = match window.counts.get_mut(tenant) {
            Some(counts) => counts,
            None => window.counts.entry(tenant.to_owned()).or_default(),
        };
        counts.insert(instance, count);
        window.size += 1;
        self.size += 1;
    }

    /// Makes room for one more entry in the window `number`, in place of an older window if need be.
    /// Returns whether there is room.
    fn make_room(&mut self, number: u64) -> bool {
        if self.size < MAX_COUNTS {
            return true;
        }
        let oldest = self.windows.first_key_value().map(|(oldest, _)| *oldest);
        match oldest.filter(|oldest| *oldest < number) {
            Some(oldest) => {
                self.remove(oldest);
                true
            }
            None => {
                self.overflow += 1;
                false
            }
        }
    }

    fn remove(&mut self, window: u64) {
        if let Some(removed) = self.windows.remove(&window) {
            self.size = self.size.saturating_sub(removed.size);
        }
    }

    fn advance(&mut self, current: u64) {
        // The instances send at least the complete counts of each window.
        if self.since.is_none() || self.heard_in + 1 < current {
            self.since = Some(current);
        }
        self.heard_in = self.heard_in.max(current);
        let is_old = |window: u64| window.saturating_add(KEPT_WINDOWS) <= current;
        while let Some(oldest) = self.windows.first_key_value().map(|(oldest, _)| *oldest) {
            if !is_old(oldest) {
                break;
            }
            self.remove(oldest);
        }
        self.restored
            .retain(|window, _| !is_old(*window) && *window <= current);
    }

    /// Returns whether this instance was a collector throughout `window`.
    pub fn covers(&self, window: u64) -> bool {
        self.since.is_some_and(|since| since < window)
    }

    /// Adds what the collector before this one wrote. It is of the same requests, so that the higher
    /// one of two counts is used.
    pub fn restore(&mut self, reports: &[Report]) {
        for report in reports {
            self.restored.insert(report.window, report.counts.clone());
        }
        let last = reports.iter().map(|report| report.window).max();
        self.restored_until = last.unwrap_or(0);
    }

    /// Returns the number of counts that were dropped because there were too many.
    pub fn overflow(&self) -> u64 {
        self.overflow
    }

    /// Returns the sums of `window`, with `live` as the instances of which counts are expected.
    pub fn sums(&self, window: u64, live: &[u64]) -> Sums {
        let mut sums = Sums {
            covered: self.covers(window)
                || (window < self.restored_until && self.restored.contains_key(&window)),
            ..Sums::default()
        };
        let known = self.windows.get(&window);
        for (tenant, counts) in known.iter().flat_map(|window| &window.counts) {
            let sum: u64 = counts.values().map(|count| count.requests).sum();
            if sum > 0 {
                sums.counts.insert(tenant.clone(), sum);
            }
        }
        let is_complete = |instance: &u64| {
            let progress = known.and_then(|window| window.progress.get(instance));
            progress.is_some_and(|progress| progress.is_complete)
        };
        let complete = live.iter().filter(|instance| is_complete(instance)).count();
        sums.complete = u32::try_from(complete).unwrap_or(u32::MAX);
        sums.incomplete = u32::try_from(live.len() - complete).unwrap_or(u32::MAX);
        if let Some(restored) = self.restored.get(&window) {
            sums.merge(restored);
        }
        sums
    }

    /// Returns the sums of the `count` last windows up to `current`.
    pub fn reports(&self, current: u64, count: u64) -> Vec<Report> {
        let windows = current.saturating_sub(count.saturating_sub(1))..=current;
        let reports = windows.map(|window| Report {
            window,
            counts: self.sums(window, &[]).counts,
        });
        reports.collect()
    }
}
