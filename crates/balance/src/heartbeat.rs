//! Schedules the heartbeats within a data centre.
//!
//! Each heartbeat goes to a bounded number of instances, so that an instance handles no more of
//! them in a large data centre. It takes several rounds until all have one, and an instance counts
//! as alive for that much longer.

use std::time::Duration;

/// The interval between heartbeats.
pub const INTERVAL: Duration = Duration::from_millis(250);

/// How long an instance counts as alive without a heartbeat where each goes to all instances;
/// tolerates the loss of three.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(900);

/// The number of instances to which one heartbeat goes.
const INSTANCES_PER_ROUND: usize = 32;

/// The rounds for each part of the instances where heartbeats go to a part of them at a time.
const ROUNDS_PER_PART: usize = 2;

/// The number of heartbeats to one instance that may be lost where heartbeats go to a part of the
/// instances at a time.
const TOLERATED_LOSSES: u32 = 2;

/// How long the requests that an instance announced count unless it repeats them, at least.
const MIN_IN_FLIGHT_TTL: Duration = Duration::from_secs(2);

/// When heartbeats go to which of the other instances of a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    rounds: u32,
}

impl Schedule {
    /// Returns the schedule among `peers` other instances.
    pub fn new(peers: usize) -> Self {
        let parts = peers.div_ceil(INSTANCES_PER_ROUND);
        let rounds = if parts > 1 {
            parts * ROUNDS_PER_PART
        } else {
            1
        };
        Self {
            rounds: u32::try_from(rounds).unwrap_or(u32::MAX),
        }
    }

    /// Returns whether each heartbeat goes to a part of the instances.
    pub fn is_partial(self) -> bool {
        self.rounds > 1
    }

    /// Returns whether the heartbeat of `round` goes to `instance`.
    pub fn is_due(self, instance: u64, round: u32) -> bool {
        instance % u64::from(self.rounds) == u64::from(round % self.rounds)
    }

    /// Returns how long an instance counts as alive without a heartbeat.
    pub fn liveness_timeout(self) -> Duration {
        LIVENESS_TIMEOUT + INTERVAL * (self.rounds - 1) * TOLERATED_LOSSES
    }

    /// Returns how long the requests that an instance announced count unless it repeats them.
    pub fn in_flight_ttl(self) -> Duration {
        MIN_IN_FLIGHT_TTL.max(INTERVAL * self.rounds * (TOLERATED_LOSSES + 1))
    }
}
