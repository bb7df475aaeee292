//! Settings of a pool.

use std::time::Duration;

use super::Fault;
use crate::credit;

/// Settings of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// How long a credit may be used for a dispatch after its grant.
    pub credit_ttl: Duration,
    /// The requests that one warm server takes at once.
    pub slots: u32,
    /// The tickets that may be queued.
    pub queue_limit: usize,
    /// The probes a second that all servers of the pool take together.
    pub probes_per_second: f64,
    /// How long a probe may take.
    pub probe_time_limit: Duration,
    /// The good answers that earn a server one more slot.
    pub growth_responses: u32,
    /// How long a server's allowance stays as it is after the server shed a request.
    pub shed_backoff: Duration,
    /// The failures in a row that eject a server.
    pub failure_limit: u32,
    /// How long a server is ejected the first time. The pause doubles with each failed return.
    pub base_ejection: Duration,
    /// The longest time for which a server is ejected.
    pub max_ejection: Duration,
    /// How long a server that says that it is draining gets no credits.
    pub drain_pause: Duration,
    /// The number of the first credit. Owners of different epochs use different ranges, so that a
    /// late return to the wrong owner ends no credit.
    pub first_credit: credit::Id,
}

impl Config {
    /// Returns the default settings for servers that take `slots` requests at once.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            ..Self::default()
        }
    }

    /// Sets how long a credit may be used for a dispatch after its grant.
    #[must_use]
    pub fn credit_ttl(mut self, ttl: Duration) -> Self {
        self.credit_ttl = ttl;
        self
    }

    /// Sets the tickets that may be queued.
    #[must_use]
    pub fn queue_limit(mut self, limit: usize) -> Self {
        self.queue_limit = limit;
        self
    }

    /// Sets the probes a second that all servers of the pool take together.
    #[must_use]
    pub fn probes_per_second(mut self, rate: f64) -> Self {
        self.probes_per_second = rate;
        self
    }

    /// Sets the number of the first credit.
    #[must_use]
    pub fn first_credit(mut self, id: credit::Id) -> Self {
        self.first_credit = id;
        self
    }

    /// Sets the good answers that earn a server one more slot.
    #[must_use]
    pub fn growth_responses(mut self, answers: u32) -> Self {
        self.growth_responses = answers;
        self
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`] found.
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
