//! Metrics and traces.
//!
//! Invariants:
//!
//! - Nothing here is awaited by a call. Spans go to a bounded queue, and those that find it full are
//!   dropped; a thread of the exporter's own sends them.
//! - Labels of metrics take their values from the bundle or from types with a fixed set of values, or
//!   are `none`: the number of series is bounded by the bundle, never by what callers send.
//! - Metrics of states are read when they are asked for, by the module `observe`;
//!   only events are counted as they happen.

mod collector;
mod credits;
mod error;
mod headers;
mod labels;
mod metrics;
mod observe;
mod parent;
mod recorder;
mod span;
mod stopwatch;
mod tracer;

pub(crate) use credits::Credits;
pub use error::Error;
pub(crate) use labels::{attempt as attempt_label, verdict as verdict_label};
pub use metrics::Metrics;
pub(crate) use observe::{observe, observe_connections};
pub(crate) use parent::{Parent, HEADER as TRACE_HEADER};
pub(crate) use recorder::Recorder;
pub(crate) use span::Span;
pub(crate) use stopwatch::Stopwatch;
pub use tracer::Tracer;

use crate::settings::Settings;

/// The metrics and traces of one instance.
#[derive(Debug)]
pub struct Telemetry {
    /// The metrics.
    pub metrics: Metrics,
    /// The traces.
    pub tracer: Tracer,
}

impl Telemetry {
    /// Opens the telemetry of an instance. Traces are exported where the settings say so.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`].
    pub fn open(settings: &Settings) -> Result<Self, Error> {
        let tracer = match &settings.otlp {
            Some(endpoint) => Tracer::open(endpoint, settings)?,
            None => Tracer::default(),
        };
        Ok(Self {
            metrics: Metrics::open()?,
            tracer,
        })
    }
}
