//! Leases, intervals and time limits.

use std::time::Duration;

use super::Reader;

/// Leases, intervals and time limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// How long a member's support of an owner lasts.
    pub lease: Duration,
    /// The time between two heartbeats to one member.
    pub heartbeat: Duration,
    /// How long a credit that is not used lasts.
    pub credit: Duration,
    /// How long a call to the platform may take.
    pub platform: Duration,
    /// How long a call to another instance may take, beyond the wait that it asks for.
    pub peer: Duration,
    /// How long opening a connection to a backend server may take.
    pub connect: Duration,
    /// How long an instance that stops still takes calls, so that callers can turn to others.
    pub linger: Duration,
    /// How long the calls under way have to end when the instance stops.
    pub drain: Duration,
}

impl Times {
    pub(super) fn collect(reader: &mut Reader<'_>) -> Option<Self> {
        let lease = millis(reader, "lease-ms", 100, 60_000);
        let heartbeat = millis(reader, "heartbeat-ms", 10, 20_000);
        let credit = millis(reader, "credit-ms", 100, 3_000);
        let platform = millis(reader, "platform-timeout-ms", 10, 60_000);
        let peer = millis(reader, "peer-timeout-ms", 10, 60_000);
        let connect = millis(reader, "connect-timeout-ms", 1, 60_000);
        let linger = millis(reader, "linger-ms", 0, 600_000);
        let drain = millis(reader, "drain-ms", 0, 600_000);
        let times = Self {
            lease: lease?,
            heartbeat: heartbeat?,
            credit: credit?,
            platform: platform?,
            peer: peer?,
            connect: connect?,
            linger: linger?,
            drain: drain?,
        };
        times.check(reader)
    }

    /// Checks that a lease spans several heartbeats, since one lost message must not end it.
    fn check(self, reader: &mut Reader<'_>) -> Option<Self> {
        const LEAST_HEARTBEATS: u32 = 3;
        if self.heartbeat * LEAST_HEARTBEATS <= self.lease {
            return Some(self);
        }
        let value = self.heartbeat.as_millis().to_string();
        reader.refuse("heartbeat-ms", &value, "is at most a third of --lease-ms")
    }
}

fn millis(reader: &mut Reader<'_>, flag: &str, least: u64, most: u64) -> Option<Duration> {
    reader.number(flag, least, most).map(Duration::from_millis)
}
