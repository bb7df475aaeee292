//! Metrics and traces of an instance.
//!
//! The rest of the daemon records events in [`Metrics`] and opens spans with [`Tracer`]. The
//! operators' port serves the metrics; the tracer exports spans to a collector over OTLP.
//!
//! Invariants:
//!
//! - No call waits for telemetry. Spans go to a bounded queue and are dropped if it is full; a
//!   dedicated thread of the exporter sends them.
//! - Label values come from the bundle or from types with a fixed set of values, or are `none`.
//!   The bundle therefore bounds the number of series; the requests of callers do not affect it.
//! - Metrics of the instance's state are read at each scrape, by the module `observe`. Only events
//!   are recorded as they happen.

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

/// Metrics and traces of one instance.
#[derive(Debug)]
pub struct Telemetry {
    /// Recorded events and the registry of all metrics.
    pub metrics: Metrics,
    /// Starts spans and exports them.
    pub tracer: Tracer,
}

impl Telemetry {
    /// Opens the telemetry of an instance. Traces are exported if the settings name a collector.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] if the metrics registry or the trace exporter cannot be set up.
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
