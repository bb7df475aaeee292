//! Errors in the settings of a pool.

use thiserror::Error;

/// An invalid setting of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum Fault {
    /// The number of concurrent requests of a server is zero.
    #[error("a server must take at least one concurrent request")]
    ZeroSlots,
    /// The lifetime of a credit is zero.
    #[error("the lifetime of a credit must be positive")]
    ZeroCreditTtl,
    /// The queue limit is zero.
    #[error("the queue must hold at least one ticket")]
    ZeroQueueLimit,
    /// The rate of probes is negative or not finite.
    #[error("the probe rate must be finite and not negative, got {0} per second")]
    InvalidProbeRate(f64),
    /// The duration of the first ejection is zero or exceeds the maximum.
    #[error("the first ejection must be longer than zero and at most the maximum ejection")]
    InvalidEjectionTimes,
}
