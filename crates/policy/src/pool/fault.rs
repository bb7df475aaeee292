//! Why settings of a pool are refused.

use thiserror::Error;

/// Why settings of a pool are refused.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum Fault {
    /// Servers would take no requests.
    #[error("a server must take at least one request at once")]
    ZeroSlots,
    /// Credits would expire at their grant.
    #[error("the lifetime of a credit must be above zero")]
    ZeroCreditTtl,
    /// No ticket could be queued.
    #[error("the queue must hold at least one ticket")]
    ZeroQueueLimit,
    /// The rate of probes is no rate.
    #[error("{0} is no rate of probes a second")]
    InvalidProbeRate(f64),
    /// The first pause is zero or above the longest.
    #[error("the first pause must be above zero and no longer than the longest")]
    InvalidEjectionTimes,
}
