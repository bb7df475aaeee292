//! Description of a load run: targets, calls, rate and limits.

use std::net::SocketAddr;
use std::time::Duration;

use crate::call::Call;
use crate::Error;

/// Minimum rate, in calls per second.
const MIN_RATE: f64 = 0.1;

/// Maximum rate, in calls per second.
const MAX_RATE: f64 = 100_000.0;

/// Maximum duration of a run.
const MAX_DURATION: Duration = Duration::from_secs(3600);

/// Describes a load run. [`run`](crate::run::run) validates it.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(crate) targets: Vec<SocketAddr>,
    pub(crate) calls: Vec<Call>,
    pub(crate) rate: f64,
    pub(crate) duration: Duration,
    pub(crate) time_limit: Duration,
    pub(crate) connections: usize,
    pub(crate) in_flight: usize,
    pub(crate) workers: usize,
    pub(crate) resends: u32,
    pub(crate) duplicates: f64,
    pub(crate) is_direct: bool,
    pub(crate) stand_ins: Vec<SocketAddr>,
    pub(crate) seed: u64,
}

impl Plan {
    /// Returns a plan that sends `rate` calls per second for `duration`, without targets or calls.
    pub fn new(rate: f64, duration: Duration) -> Self {
        Self {
            targets: Vec::new(),
            calls: Vec::new(),
            rate,
            duration,
            time_limit: Duration::from_secs(5),
            connections: 256,
            in_flight: 20_000,
            workers: 2,
            resends: 0,
            duplicates: 0.0,
            is_direct: false,
            stand_ins: Vec::new(),
            seed: 1,
        }
    }

    /// Adds an address to send calls to. Calls are sent to the addresses in rotation.
    pub fn target(mut self, target: SocketAddr) -> Self {
        self.targets.push(target);
        self
    }

    /// Adds a type of call to the mix.
    pub fn call(mut self, call: Call) -> Self {
        self.calls.push(call);
        self
    }

    /// Sets the timeout of one attempt of a call.
    pub fn time_limit(mut self, time_limit: Duration) -> Self {
        self.time_limit = time_limit;
        self
    }

    /// Sets the maximum number of connections to each target, at least 1. Further calls wait for a
    /// free connection.
    pub fn connections(mut self, connections: usize) -> Self {
        self.connections = connections.max(1);
        self
    }

    /// Sets the maximum number of calls in flight. Calls beyond it are counted as unsent.
    pub fn in_flight(mut self, calls: usize) -> Self {
        self.in_flight = calls;
        self
    }

    /// Sets the number of threads that run calls, at least 1.
    pub fn workers(mut self, workers: usize) -> Self {
        self.workers = workers.max(1);
        self
    }

    /// Sets how many times a keyed call is resent while its outcome is unknown.
    pub fn resends(mut self, resends: u32) -> Self {
        self.resends = resends;
        self
    }

    /// Sets the share of keyed calls, from 0 to 1, that are sent twice concurrently.
    pub fn duplicates(mut self, share: f64) -> Self {
        self.duplicates = share.clamp(0.0, 1.0);
        self
    }

    /// Accepts responses without an outcome header, for calls sent directly to backend servers.
    pub fn direct(mut self) -> Self {
        self.is_direct = true;
        self
    }

    /// Adds a backend stand-in whose executions of each key are checked after the run.
    pub fn stand_in(mut self, address: SocketAddr) -> Self {
        self.stand_ins.push(address);
        self
    }

    /// Sets the random seed that determines the order of the mix and which calls are duplicated.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns the number of calls in the run.
    pub(crate) fn total_calls(&self) -> u64 {
        (self.duration.as_secs_f64() * self.rate).round() as u64
    }

    /// Returns when the call `number` is scheduled, as the time since the start of the run.
    pub(crate) fn offset(&self, number: u64) -> Duration {
        Duration::from_secs_f64(number as f64 / self.rate)
    }

    /// Returns the index in `calls` of the type of the call `number`.
    pub(crate) fn call_type(&self, number: u64) -> usize {
        let total_weight: u64 = self.calls.iter().map(|call| u64::from(call.weight)).sum();
        let mut remainder = hash(self.seed ^ hash(number)) % total_weight.max(1);
        for (index, call) in self.calls.iter().enumerate() {
            let weight = u64::from(call.weight);
            if remainder < weight {
                return index;
            }
            remainder -= weight;
        }
        0
    }

    /// Returns whether the keyed call `number` is sent twice concurrently.
    pub(crate) fn is_duplicate(&self, number: u64) -> bool {
        let random = hash(!self.seed ^ hash(number));
        (random as f64) < self.duplicates * u64::MAX as f64
    }

    /// Validates the plan and its calls.
    pub(crate) fn check(&self) -> Result<(), Error> {
        let mut addresses = self.targets.iter().chain(&self.stand_ins);
        if let Some(&address) = addresses.find(|address| !address.ip().is_loopback()) {
            return Err(Error::NotLoopback { address });
        }
        if self.targets.is_empty() {
            return Err(Error::NoTarget);
        }
        if self.calls.iter().all(|call| call.weight == 0) {
            return Err(Error::NoCalls);
        }
        if !(MIN_RATE..=MAX_RATE).contains(&self.rate) {
            return Err(Error::Rate {
                rate: self.rate,
                least: MIN_RATE,
                most: MAX_RATE,
            });
        }
        if self.duration.is_zero() || self.duration > MAX_DURATION {
            return Err(Error::Duration {
                duration: self.duration,
                limit: MAX_DURATION,
            });
        }
        self.calls.iter().try_for_each(Call::check)
    }
}

/// Hashes `number` with the finaliser of SplitMix64 (Steele, Lea and Flood, 2014).
fn hash(number: u64) -> u64 {
    let mut bits = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}
