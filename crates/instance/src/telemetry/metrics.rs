//! The metrics of events and the registry of all metrics.
//!
//! The module `observe` registers the metrics of state in the same registry.

use std::time::Duration;

use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider as _};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use policy::feedback::Outcome;
use prometheus::{Registry, TextEncoder};
use wire::claims::Verdict;
use wire::{Fault, Pool};

use super::{labels, Error};

/// Bucket bounds of the latency histograms.
const LATENCY_BOUNDS_SECS: [f64; 18] = [
    50e-6, 100e-6, 200e-6, 500e-6, 1e-3, 2e-3, 3e-3, 5e-3, 7.5e-3, 10e-3, 20e-3, 50e-3, 100e-3,
    200e-3, 500e-3, 1.0, 2.0, 5.0,
];

/// The metrics of events and the registry of all metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    calls: Counter<u64>,
    call_duration: Histogram<f64>,
    added_latency: Histogram<f64>,
    attempts: Counter<u64>,
    wait_duration: Histogram<f64>,
    probes: Counter<u64>,
    retries: Counter<u64>,
    refusals: Counter<u64>,
    claims: Counter<u64>,
    frames_refused: Counter<u64>,
}

impl Metrics {
    /// Opens the metrics of one instance.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Metrics`] if the Prometheus exporter cannot be built.
    pub fn open() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .map_err(Error::Metrics)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("chivewheel");
        let counter = |name, description| counter(&meter, name, description);
        let latency = |name, description| latency(&meter, name, description);
        Ok(Self {
            calls: counter(
                "chivewheel.calls",
                "Callers' calls by service, route and what their callers were told",
            ),
            call_duration: latency("chivewheel.call.duration", "Time from a call to its answer"),
            added_latency: latency(
                "chivewheel.call.added",
                "Time of a call less the time of its attempts",
            ),
            attempts: counter(
                "chivewheel.attempts",
                "Attempts at backend servers by outcome",
            ),
            wait_duration: latency(
                "chivewheel.wait.duration",
                "Time that a call waited for a credit",
            ),
            probes: counter("chivewheel.probes", "Probes of backend servers by outcome"),
            retries: counter(
                "chivewheel.retries",
                "Retries that the budget granted or denied",
            ),
            refusals: counter(
                "chivewheel.refusals",
                "Answers of the instance's own by reason",
            ),
            claims: counter("chivewheel.claims", "Claims decided here by verdict"),
            frames_refused: counter(
                "chivewheel.frames.refused",
                "Frames of other instances that were refused by fault",
            ),
            registry,
            provider,
        })
    }

    /// Returns the meter for metrics of the instance's state.
    pub(super) fn meter(&self) -> Meter {
        self.provider.meter("chivewheel")
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn encode(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }

    /// Records a finished call. `added` is its duration less that of its attempts.
    pub(super) fn record_call(&self, labels: &[KeyValue; 3], duration: Duration, added: Duration) {
        let [service, route, _] = labels;
        let names = [service.clone(), route.clone()];
        self.calls.add(1, labels);
        self.call_duration.record(duration.as_secs_f64(), &names);
        self.added_latency.record(added.as_secs_f64(), &names);
    }

    /// Counts a finished attempt.
    pub(crate) fn record_attempt(&self, pool: &Pool, outcome: Outcome) {
        let labels = [
            KeyValue::new("service", pool.service.to_string()),
            KeyValue::new("outcome", labels::attempt(outcome)),
        ];
        self.attempts.add(1, &labels);
    }

    /// Records how long a call waited for a credit and whether it got one.
    pub(crate) fn record_wait(
        &self,
        service: &contract::id::Service,
        granted: bool,
        time: Duration,
    ) {
        let outcome = if granted { "granted" } else { "refused" };
        let labels = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("outcome", outcome),
        ];
        self.wait_duration.record(time.as_secs_f64(), &labels);
    }

    /// Counts a finished probe.
    pub(crate) fn record_probe(&self, pool: &Pool, outcome: Outcome) {
        let [service, centre] = pool_labels(pool);
        let outcome = KeyValue::new("outcome", labels::attempt(outcome));
        self.probes.add(1, &[service, centre, outcome]);
    }

    /// Counts a requested retry and whether the budget granted it.
    pub(crate) fn record_retry(&self, granted: bool) {
        let decision = if granted { "granted" } else { "denied" };
        self.retries.add(1, &[KeyValue::new("decision", decision)]);
    }

    /// Counts a call that this instance refused itself, without a backend server's response.
    pub(crate) fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts the verdict on a claim.
    pub(crate) fn record_claim(&self, verdict: &Verdict) {
        let label = labels::verdict(verdict);
        self.claims.add(1, &[KeyValue::new("verdict", label)]);
    }

    /// Counts a rejected frame of another instance.
    pub(crate) fn record_refused_frame(&self, fault: &Fault) {
        let label = labels::fault(fault);
        self.frames_refused.add(1, &[KeyValue::new("fault", label)]);
    }
}

/// Returns the labels that identify a pool.
pub(super) fn pool_labels(pool: &Pool) -> [KeyValue; 2] {
    [
        KeyValue::new("service", pool.service.to_string()),
        KeyValue::new("centre", pool.centre.to_string()),
    ]
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

fn latency(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_unit("s")
        .with_boundaries(LATENCY_BOUNDS_SECS.to_vec())
        .build()
}
