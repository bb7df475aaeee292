//! Times that the duty depends on.

use std::time::Duration;

/// Times that the duty depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// The length of a window.
    pub window: Duration,
    /// How long after the end of its window a report is due.
    pub due_after: Duration,
    /// How long a lease lasts.
    pub lease_time: Duration,
    /// The last part of a lease, in which its holder does not act.
    pub margin: Duration,
    /// The age at which a lease is renewed.
    pub renew_after: Duration,
    /// How long after the end of a window its counts are complete.
    pub settle_time: Duration,
    /// How long after the end of a window incomplete counts are asked for again.
    pub collect_time: Duration,
    /// How long after the end of a window a holder that has not fixed or delivered its report lets
    /// another instance try.
    pub stuck_after: Duration,
    /// How long an instance that ended its own term leaves the duty to others.
    pub abstention: Duration,
    /// How long after it was due a report is given up.
    pub give_up_after: Duration,
    /// How long a candidate waits for a message of the holder.
    pub silence: Duration,
    /// How long each candidate waits for those that come before it.
    pub stagger: Duration,
    /// The shortest and the longest time limit of a call of the receiver.
    pub call_limits: (Duration, Duration),
    /// The shortest time between two calls of the receiver.
    pub call_spacing: Duration,
    /// The first and the longest time between two attempts after a failure.
    pub backoff: (Duration, Duration),
    /// The largest difference that is assumed between the true times of two instances.
    pub clock_difference: Duration,
}

/// Limits that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The length of a window.
    pub window: Duration,
    /// How long after the end of its window a report is due.
    pub due_after: Duration,
    /// How long a lease lasts.
    pub lease_time: Duration,
    /// How long after its sender was paused a call may not count.
    pub thaw: Duration,
    /// The most calls a second that the receiver accepts from all instances together.
    pub calls_per_second: f64,
}

impl Timing {
    /// Derives the times from the limits of a deployment.
    pub fn new(limits: &Limits) -> Self {
        // A reset takes some time to arrive, and a busy machine runs a timer late.
        const ABORT_TIME: Duration = Duration::from_millis(200);
        // Counts travel twice a second, and a lost datagram is made good by the next one.
        const SETTLE_TIME: Duration = Duration::from_millis(1500);
        const COLLECT_TIME: Duration = Duration::from_millis(2500);
        const SILENCE: Duration = Duration::from_millis(1500);
        const STAGGER: Duration = Duration::from_millis(300);
        const ABSTENTION: Duration = Duration::from_secs(10);
        const GIVE_UP_AFTER: Duration = Duration::from_secs(60);
        const CALL_LIMITS: (Duration, Duration) =
            (Duration::from_millis(300), Duration::from_millis(2000));
        const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
        const CLOCK_DIFFERENCE: Duration = Duration::from_secs(1);
        // Two calls of different holders may come closer together than the calls of one.
        const RATE_FRACTION: f64 = 0.5;
        let calls_per_second = (limits.calls_per_second * RATE_FRACTION).max(1.0);
        Self {
            window: limits.window.max(Duration::from_millis(1)),
            due_after: limits.due_after,
            lease_time: limits.lease_time,
            margin: limits.thaw + ABORT_TIME,
            // The next renewal has half a second left until the lease ends.
            renew_after: limits.lease_time.mul_f64(5.0 / 6.0),
            settle_time: SETTLE_TIME,
            collect_time: COLLECT_TIME,
            stuck_after: limits.due_after / 2,
            abstention: ABSTENTION,
            give_up_after: GIVE_UP_AFTER,
            silence: SILENCE,
            stagger: STAGGER,
            call_limits: CALL_LIMITS,
            call_spacing: Duration::from_secs_f64(1.0 / calls_per_second),
            backoff: BACKOFF,
            clock_difference: CLOCK_DIFFERENCE,
        }
    }

    /// Returns the window that contains `unix_time`.
    pub fn window_at(&self, unix_time: Duration) -> u64 {
        u64::try_from(unix_time.as_micros() / self.window.as_micros().max(1)).unwrap_or(u64::MAX)
    }

    /// Returns the Unix time at which a window ends.
    pub fn end_of(&self, window: u64) -> Duration {
        let micros = self.window.as_micros() * (u128::from(window) + 1);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the first window that no other instance can have fixed by `unix_time`.
    pub fn first_unfixed(&self, unix_time: Duration) -> u64 {
        self.window_at(unix_time + self.clock_difference)
    }

    /// Returns the oldest window whose report is still sent at `unix_time`.
    pub fn oldest(&self, unix_time: Duration) -> u64 {
        self.window_at(unix_time.saturating_sub(self.due_after + self.give_up_after))
    }
}
