//! Feedback with what the pool knows of its credit.

use crate::feedback::Feedback;

/// Feedback with what the pool knows of its credit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Report<'a> {
    /// The feedback.
    pub(crate) feedback: &'a Feedback,
    /// The generation of the server when the credit was granted.
    pub(crate) generation: u64,
    /// The live credits of the server when the credit was granted, this one included.
    pub(crate) load: u32,
    /// Whether the attempt was a probe.
    pub(crate) probe: bool,
    /// The latency in units of the usual latency of the route.
    pub(crate) ratio: f64,
    /// Whether that latency is known; else the ratio is 1.
    pub(crate) compared: bool,
    /// Whether the request is blamed for a crash, and not the server.
    pub(crate) request_blamed: bool,
    /// Whether attempts of the route fail at most servers.
    pub(crate) excused: bool,
    /// Whether enough of the version's servers are left when this one is ejected for its answers.
    pub(crate) spared: bool,
}
