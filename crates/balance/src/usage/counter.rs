//! The counts of one instance.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use clock::Instant;

use super::message::divide;
use super::{Attempt, Attempts, Message, Part};

/// The windows whose counts are kept, the current one included. A server may take seconds to state
/// that it did not run a request.
const KEPT_WINDOWS: u64 = 6;

/// How long a change of a count is repeated; tolerates the loss of three messages of four.
const REPEAT_TIME: Duration = Duration::from_secs(2);

/// How often the complete counts of a window are sent after its end, and the interval.
const COMPLETE_MESSAGES: u32 = 2;
const COMPLETE_INTERVAL: Duration = Duration::from_secs(1);

/// The most tenants in a window. An instance with 0.1 cores begins a few thousand requests in one.
const MAX_TENANTS: usize = 16 * 1024;

#[derive(Clone, Debug)]
struct Count {
    requests: u64,
    changed_at: Instant,
}

#[derive(Clone, Debug, Default)]
struct Window {
    counts: HashMap<String, Count>,
    /// The complete counts that were sent after the end, and when.
    sent_complete: u32,
    sent_at: Instant,
}

/// The counts of one instance.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    windows: BTreeMap<u64, Window>,
    current: Option<u64>,
    next_sequence: u64,
    overflow: u64,
}

impl Counter {
    /// Counts a request of `tenant`, an attempt of which is sent in `window`, unless another attempt
    /// of it counts already.
    pub fn begin(
        &mut self,
        attempts: &mut Attempts,
        tenant: &str,
        window: u64,
        now: Instant,
    ) -> Attempt {
        if attempts.window().is_none() {
            self.change(tenant, window, 1, now);
        }
        attempts.add(window)
    }

    /// Withdraws an attempt that is known not to have begun. If it is the one that counts, the next
    /// one counts instead, if there is one. Returns whether the request no longer counts.
    pub fn withdraw(
        &mut self,
        attempts: &mut Attempts,
        attempt: Attempt,
        tenant: &str,
        now: Instant,
    ) -> bool {
        let before = attempts.window();
        attempts.remove(attempt);
        let after = attempts.window();
        if before != after {
            if let Some(window) = before {
                self.change(tenant, window, -1, now);
            }
            if let Some(window) = after {
                self.change(tenant, window, 1, now);
            }
        }
        before.is_some() && after.is_none()
    }

    fn change(&mut self, tenant: &str, window: u64, change: i64, now: Instant) {
        // Requests that began in a window that is no longer kept are in the report already.
        if self
            .current
            .is_some_and(|current| window.saturating_add(KEPT_WINDOWS) <= current)
        {
            return;
        }
        let counts = &mut self.windows.entry(window).or_default().counts;
        if let Some(count) = counts.get_mut(tenant) {
            count.requests = count.requests.saturating_add_signed(change);
            count.changed_at = now;
        } else if change < 0 {
            // It was not counted for lack of room.
        } else if counts.len() < MAX_TENANTS {
            let count = Count {
                requests: 1,
                changed_at: now,
            };
            counts.insert(tenant.to_owned(), count);
        } else {
            self.overflow += 1;
        }
    }

    /// Returns the number of requests that were not counted because too many tenants had some.
    pub fn overflow(&self) -> u64 {
        self.overflow
    }

    /// Returns what to send to the collectors, to be called about twice a second: what changed
    /// recently, and all counts of windows before `current` that have ended since.
    pub fn messages(&mut self, current: u64, now: Instant) -> Vec<Message> {
        self.advance(current);
        let windows: Vec<u64> = self.windows.keys().copied().collect();
        let mut messages = Vec::new();
        for number in windows {
            let Some(window) = self.windows.get_mut(&number) else {
                continue;
            };
            let is_due = match window.sent_complete {
                0 => true,
                sent if sent < COMPLETE_MESSAGES => now.since(window.sent_at) >= COMPLETE_INTERVAL,
                _ => false,
            };
            if number < current && is_due {
                window.sent_complete += 1;
                window.sent_at = now;
                messages.extend(self.complete(number, current));
                continue;
            }
            let recent = window.counts.iter();
            let recent = recent.filter(|(_, count)| now.since(count.changed_at) < REPEAT_TIME);
            let recent: Vec<_> = recent.map(|(t, c)| (t.clone(), c.requests)).collect();
            if !recent.is_empty() {
                messages.extend(self.compose(number, recent, false));
            }
        }
        messages
    }

    /// Returns all counts of the window `number`, for a new collector. If it is before `current`, they
    /// are complete.
    pub fn complete(&mut self, number: u64, current: u64) -> Vec<Message> {
        let Some(window) = self.windows.get(&number) else {
            return Vec::new();
        };
        let counts = window.counts.iter();
        let counts = counts.map(|(t, c)| (t.clone(), c.requests)).collect();
        self.compose(number, counts, number < current)
    }

    /// Returns the windows that are kept, the latest first.
    pub fn windows(&self) -> Vec<u64> {
        self.windows.keys().rev().copied().collect()
    }

    /// Begins the window `current`, and those that were missed, and drops old ones.
    fn advance(&mut self, current: u64) {
        let oldest = current.saturating_sub(KEPT_WINDOWS - 1);
        // An instance that has just started has no counts of earlier windows, and says so.
        let missed = self.current.map_or(oldest, |last| last.saturating_add(1));
        for window in missed.clamp(oldest, current)..=current {
            self.windows.entry(window).or_default();
        }
        self.current = Some(current);
        // Windows of the future are of a time that went ahead and back. They are kept if they are near.
        let newest = current.saturating_add(KEPT_WINDOWS);
        self.windows
            .retain(|window, _| (oldest..=newest).contains(window));
    }

    fn compose(
        &mut self,
        window: u64,
        counts: Vec<(String, u64)>,
        is_complete: bool,
    ) -> Vec<Message> {
        let parts = divide(counts);
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        let mut messages = Vec::with_capacity(parts.len());
        for (index, counts) in (0..count).zip(parts) {
            messages.push(Message {
                sequence: self.next_sequence,
                window,
                part: is_complete.then_some(Part { index, count }),
                counts,
            });
            self.next_sequence += 1;
        }
        messages
    }
}
