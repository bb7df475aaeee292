//! Leases, intervals and time limits.

use std::time::Duration;

use super::Reader;

/// Leases, intervals and time limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// The duration of a lease: how long a member's support of an owner is valid.
    pub lease: Duration,
    /// The interval between two heartbeats to one member.
    pub heartbeat: Duration,
    /// The lifetime of an unused credit.
    pub credit: Duration,
    /// The timeout of a call to the platform.
    pub platform: Duration,
    /// The timeout of a call to another instance, not counting any wait that the call requests.
    pub peer: Duration,
    /// The timeout for connecting to a backend server.
    pub connect: Duration,
    /// How long a stopping instance still accepts calls, so that callers can switch to others.
    pub linger: Duration,
    /// How long a stopping instance waits for the calls in progress.
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

    /// Checks that a lease spans several heartbeats: one lost message must not end it.
    fn check(self, reader: &mut Reader<'_>) -> Option<Self> {
        const MIN_HEARTBEATS_PER_LEASE: u32 = 3;
        if self.heartbeat * MIN_HEARTBEATS_PER_LEASE <= self.lease {
            return Some(self);
        }
        let value = self.heartbeat.as_millis().to_string();
        reader.reject("heartbeat-ms", &value, "is at most a third of --lease-ms")
    }
}

fn millis(reader: &mut Reader<'_>, flag: &str, min: u64, max: u64) -> Option<Duration> {
    reader.number(flag, min, max).map(Duration::from_millis)
}
