//! Settings of a pool.

use std::time::Duration;

use super::Fault;
use crate::credit;

/// Settings of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Time after the grant within which a request may be dispatched on the credit.
    pub credit_ttl: Duration,
    /// Concurrent requests that a warm server takes.
    pub slots: u32,
    /// Maximum number of queued tickets.
    pub queue_limit: usize,
    /// Maximum rate of probes, across all servers of the pool.
    pub probes_per_second: f64,
    /// Time limit of a probe.
    pub probe_time_limit: Duration,
    /// Good responses after which a server's allowance grows by one.
    pub growth_responses: u32,
    /// Time for which a server's allowance does not grow after the server shed a request. It
    /// doubles if the server soon sheds again.
    pub shed_backoff: Duration,
    /// Consecutive failures that eject a server.
    pub failure_limit: u32,
    /// Duration of a server's first ejection. It doubles with each ejection that follows before the
    /// server is warm again.
    pub base_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Time for which a server gets no credits after it reported that it is draining.
    pub drain_pause: Duration,
    /// Id of the first credit. Owners of different epochs use different ranges, so that a late
    /// release sent to the wrong owner does not end another credit.
    pub first_credit: credit::Id,
}

impl Config {
    /// Returns the default settings for servers that take `slots` concurrent requests.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            ..Self::default()
        }
    }

    /// Sets the time within which a request may be dispatched on a credit.
    #[must_use]
    pub fn credit_ttl(mut self, ttl: Duration) -> Self {
        self.credit_ttl = ttl;
        self
    }

    /// Sets the maximum number of queued tickets.
    #[must_use]
    pub fn queue_limit(mut self, limit: usize) -> Self {
        self.queue_limit = limit;
        self
    }

    /// Sets the maximum rate of probes, across all servers of the pool.
    #[must_use]
    pub fn probes_per_second(mut self, rate: f64) -> Self {
        self.probes_per_second = rate;
        self
    }

    /// Sets the id of the first credit.
    #[must_use]
    pub fn first_credit(mut self, id: credit::Id) -> Self {
        self.first_credit = id;
        self
    }

    /// Sets the number of good responses after which a server's allowance grows by one.
    #[must_use]
    pub fn growth_responses(mut self, responses: u32) -> Self {
        self.growth_responses = responses;
        self
    }

    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting found.
    pub fn validate(&self) -> Result<(), Fault> {
        let rate = self.probes_per_second;
        if self.slots == 0 {
            return Err(Fault::ZeroSlots);
        }
        if self.credit_ttl.is_zero() {
            return Err(Fault::ZeroCreditTtl);
        }
        if self.queue_limit == 0 {
            return Err(Fault::ZeroQueueLimit);
        }
        if !rate.is_finite() || rate < 0.0 {
            return Err(Fault::InvalidProbeRate(rate));
        }
        if self.base_ejection.is_zero() || self.max_ejection < self.base_ejection {
            return Err(Fault::InvalidEjectionTimes);
        }
        Ok(())
    }
}

impl Default for Config {
    fn default() -> Self {
        Self {
            credit_ttl: Duration::from_secs(2),
            slots: 4,
            queue_limit: 10_000,
            probes_per_second: 1.0,
            probe_time_limit: Duration::from_secs(1),
            growth_responses: 5,
            shed_backoff: Duration::from_secs(1),
            failure_limit: 3,
            base_ejection: Duration::from_millis(250),
            max_ejection: Duration::from_secs(10),
            drain_pause: Duration::from_secs(30),
            first_credit: credit::Id(0),
        }
    }
}
