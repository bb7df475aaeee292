//! The feedback of an attempt, with the pool's context for it.

use crate::feedback::Feedback;

/// The feedback of an attempt, with the pool's context for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation<'a> {
    /// The feedback of the attempt.
    pub(crate) feedback: &'a Feedback,
    /// The generation of the server when the credit was granted.
    pub(crate) generation: u64,
    /// The number of live credits of the server when the credit was granted, including this one.
    pub(crate) load: u32,
    /// Whether the attempt was a probe.
    pub(crate) probe: bool,
    /// The ratio of the latency to the route's baseline, or 1 without a baseline.
    pub(crate) ratio: f64,
    /// Whether the route has a baseline.
    pub(crate) has_baseline: bool,
    /// Whether a crash is blamed on the request rather than the server.
    pub(crate) request_blamed: bool,
    /// Whether most attempts of the route fail.
    pub(crate) route_failing: bool,
    /// Whether enough servers of the version remain usable if this one is ejected because of its
    /// responses.
    pub(crate) may_eject: bool,
}
