//! Metrics of an instance, in the Prometheus text format.

use std::future::Future;
use std::time::Duration;

use balance::duty::Generation;
use balance::record::Kind;
use balance::share::Admission;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{IntGaugeVec, Opts, Registry, TextEncoder};

use crate::duty::End;
use crate::store;
use crate::Error;

/// The bucket bounds of latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 5.0,
];

/// Metrics of an instance.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    responses: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    hedges: Counter<u64>,
    crashes: Counter<u64>,
    probes: Counter<u64>,
    skipped_responses: Counter<u64>,
    pipelined: Counter<u64>,
    cancelled: Counter<u64>,
    datagrams: Counter<u64>,
    unsent_datagrams: Counter<u64>,
    sent_changes: Counter<u64>,
    received_changes: Counter<u64>,
    usage: UsageCounters,
    duration: Histogram<f64>,
    wait: Histogram<f64>,
    config_version: Gauge<u64>,
    config_faults: Gauge<u64>,
    tenant_requests: Counter<u64>,
    limited_tenants: IntGaugeVec,
    duty_windows: Counter<u64>,
    duty_generation: Gauge<u64>,
    records: RecordMetrics,
}

/// Metrics of the records and of the calls of the store.
#[derive(Debug)]
struct RecordMetrics {
    age: Gauge<f64>,
    revision: Gauge<u64>,
    store_calls: Counter<u64>,
    abandoned_watches: Counter<u64>,
}

impl RecordMetrics {
    fn new(meter: &Meter) -> Self {
        Self {
            age: meter
                .f64_gauge("chivewheel.records.age")
                .with_unit("s")
                .with_description(
                    "Time since the records were known to include all changes, by kind",
                )
                .build(),
            revision: meter
                .u64_gauge("chivewheel.records.revision")
                .with_description("Store revision of the records, by kind")
                .build(),
            store_calls: meter
                .u64_counter("chivewheel.store.calls")
                .with_description("Calls of the store that ended, by call and outcome")
                .build(),
            abandoned_watches: meter
                .u64_counter("chivewheel.watches.abandoned")
                .with_description("Long-polling calls that missed changes, by kind and reason")
                .build(),
        }
    }
}

/// Counters of the usage of tenants.
#[derive(Debug)]
struct UsageCounters {
    counted: Counter<u64>,
    withdrawn: Counter<u64>,
    received: Counter<u64>,
    dropped: Counter<u64>,
    missing: Counter<u64>,
}

impl UsageCounters {
    fn new(meter: &Meter) -> Self {
        let counter =
            |name: &'static str, text| meter.u64_counter(name).with_description(text).build();
        Self {
            counted: counter(
                "chivewheel.usage.counted",
                "Requests of tenants that were counted as begun by a server when they were sent",
            ),
            withdrawn: counter(
                "chivewheel.usage.withdrawn",
                "Requests of tenants that were counted and turned out not to have run",
            ),
            received: counter(
                "chivewheel.usage.messages",
                "Messages about the usage of tenants by whether their window is kept",
            ),
            dropped: counter(
                "chivewheel.usage.dropped",
                "Counts of tenants that were dropped because there were too many",
            ),
            missing: counter(
                "chivewheel.usage.missing",
                "Data centres whose usage in a window was not fully known when it was collected",
            ),
        }
    }
}

impl Metrics {
    /// Creates the metrics.
    ///
    /// # Errors
    ///
    /// [`Error::Metrics`].
    pub(crate) fn open() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .map_err(Error::Metrics)?;
        let limited_tenants = limited_tenants(&registry)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("chivewheel");
        let counter =
            |name: &'static str, text| meter.u64_counter(name).with_description(text).build();
        let latency = |name: &'static str, text| {
            let histogram = meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(text);
            histogram.with_boundaries(LATENCY_BOUNDS.to_vec()).build()
        };
        Ok(Self {
            responses: counter(
                "chivewheel.answers",
                "Answers to callers by route and status",
            ),
            refusals: counter(
                "chivewheel.refusals",
                "Answers of the instance's own by reason",
            ),
            attempts: counter(
                "chivewheel.attempts",
                "Requests to servers by service and end",
            ),
            hedges: counter(
                "chivewheel.hedges",
                "Requests sent to a second server while the first one worked on them, by service",
            ),
            crashes: counter(
                "chivewheel.crashes",
                "Servers that crashed while they ran requests of this instance",
            ),
            probes: counter("chivewheel.probes", "Probes of servers by end"),
            skipped_responses: counter(
                "chivewheel.responses.skipped",
                "Responses of servers to other requests than the one that was in flight",
            ),
            pipelined: counter("chivewheel.pipelined", "Requests that were read ahead"),
            cancelled: counter(
                "chivewheel.pipelined.cancelled",
                "Pipelined requests that were cancelled behind a response that closed the connection",
            ),
            datagrams: counter("chivewheel.datagrams", "Datagrams to other instances"),
            unsent_datagrams: counter("chivewheel.datagrams.unsent", "Datagrams not sent"),
            sent_changes: counter(
                "chivewheel.changes.sent",
                "Bytes of records sent to other instances that asked for them",
            ),
            received_changes: counter(
                "chivewheel.changes.received",
                "Bytes of records received from other instances, in exchanges that succeeded",
            ),
            usage: UsageCounters::new(&meter),
            duration: latency(
                "chivewheel.request.duration",
                "Time from a request to its answer",
            ),
            wait: latency(
                "chivewheel.request.wait",
                "Time that a request waited for a server",
            ),
            config_faults: meter
                .u64_gauge("chivewheel.config.faults")
                .with_description("Faults for which parts of the configuration are not in force")
                .build(),
            config_version: meter
                .u64_gauge("chivewheel.config.version")
                .with_description("Version of the configuration in force")
                .build(),
            tenant_requests: counter(
                "chivewheel.tenant.requests",
                "Requests where there are tenants, by the tenant's priority, standing and end",
            ),
            limited_tenants,
            duty_windows: counter(
                "chivewheel.duty.windows",
                "Windows whose usage this instance reported, by end: sent, late or missing",
            ),
            duty_generation: meter
                .u64_gauge("chivewheel.duty.generation")
                .with_description("Generation of this instance while it reports usage, else 0")
                .build(),
            records: RecordMetrics::new(&meter),
            registry,
            _provider: provider,
        })
    }

    /// Returns all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Fails if they cannot be encoded.
    pub(crate) fn encode(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }

    /// Records the number of faults of the configuration in force.
    pub(crate) fn config_faults(&self, faults: usize) {
        let faults = u64::try_from(faults).unwrap_or(u64::MAX);
        self.config_faults.record(faults, &[]);
    }

    /// Records a response to a caller.
    pub(crate) fn response(&self, route: &str, status: u16, duration: Duration) {
        let route = KeyValue::new("route", route.to_owned());
        let status = KeyValue::new("status", i64::from(status));
        self.responses.add(1, &[route.clone(), status]);
        self.duration.record(duration.as_secs_f64(), &[route]);
    }

    /// Records the version of the configuration in force.
    pub(crate) fn config_version(&self, version: u32) {
        self.config_version.record(u64::from(version), &[]);
    }

    /// Records the revision of the records of a kind, and their age if it is known.
    pub(crate) fn records(&self, kind: Kind, revision: u64, age: Option<Duration>) {
        let attributes = [KeyValue::new("kind", kind.name())];
        self.records.revision.record(revision, &attributes);
        if let Some(age) = age {
            self.records.age.record(age.as_secs_f64(), &attributes);
        }
    }

    /// Makes a call of the store, and counts its outcome.
    pub(crate) async fn store_call<T, F>(
        &self,
        call: &'static str,
        future: F,
    ) -> Result<T, store::Error>
    where
        F: Future<Output = Result<T, store::Error>>,
    {
        let result = future.await;
        let outcome = match &result {
            Ok(_) => "ok",
            Err(store::Error::Compacted) => "compacted",
            Err(store::Error::Conflict) => "conflict",
            Err(store::Error::Refused(_)) => "refused",
            Err(store::Error::TimedOut { .. }) => "timed out",
            Err(store::Error::OldEra { .. }) => "old era",
            Err(store::Error::Exchange(_) | store::Error::Malformed(_)) => "failed",
        };
        let attributes = [
            KeyValue::new("call", call),
            KeyValue::new("outcome", outcome),
        ];
        self.records.store_calls.add(1, &attributes);
        result
    }

    /// Counts a long-polling call that is abandoned.
    pub(crate) fn abandoned_watch(&self, kind: Kind, reason: &'static str) {
        let attributes = [
            KeyValue::new("kind", kind.name()),
            KeyValue::new("reason", reason),
        ];
        self.records.abandoned_watches.add(1, &attributes);
    }

    /// Counts a response that the instance generated itself.
    pub(crate) fn refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request where the configuration has tenants. `passed_on` tells whether a server got it,
    /// or none had capacity.
    pub(crate) fn tenant_request(&self, admission: Admission, passed_on: Option<bool>) {
        // Operators choose priorities, so that their number has to be bounded.
        const MAX_PRIORITY: u32 = 15;
        let priority = admission.priority.tenant().min(MAX_PRIORITY);
        let end = match passed_on {
            Some(true) => "passed on",
            Some(false) => "refused",
            None => "other",
        };
        let attributes = [
            KeyValue::new("priority", i64::from(priority)),
            KeyValue::new("standing", admission.standing.name()),
            KeyValue::new("end", end),
        ];
        self.tenant_requests.add(1, &attributes);
    }

    /// Replaces the tenants that are limited now.
    pub(crate) fn limited_tenants(&self, names: &[String]) {
        self.limited_tenants.reset();
        for name in names {
            self.limited_tenants.with_label_values(&[name]).set(1);
        }
    }

    /// Counts a completed attempt at a server.
    pub(crate) fn attempt(&self, service: &str, outcome: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.attempts
            .add(1, &[service, KeyValue::new("end", outcome)]);
    }

    /// Records how long a request waited for a server.
    pub(crate) fn waited(&self, service: &str, time: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        self.wait.record(time.as_secs_f64(), &[service]);
    }

    /// Counts a request that is sent to a second server while the first one works on it.
    pub(crate) fn hedge(&self, service: &str) {
        self.hedges
            .add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a server that crashed while it ran requests.
    pub(crate) fn crash(&self) {
        self.crashes.add(1, &[]);
    }

    /// Counts a probe.
    pub(crate) fn probe(&self, outcome: &'static str) {
        self.probes.add(1, &[KeyValue::new("end", outcome)]);
    }

    /// Counts a response that is skipped because it belongs to another request.
    pub(crate) fn skipped_response(&self) {
        self.skipped_responses.add(1, &[]);
    }

    /// Counts a request that was read before the response to an earlier one was written.
    pub(crate) fn pipelined(&self) {
        self.pipelined.add(1, &[]);
    }

    /// Counts requests that are cancelled behind a response that closes the connection.
    pub(crate) fn cancelled(&self, requests: usize) {
        let requests = u64::try_from(requests).unwrap_or(u64::MAX);
        self.cancelled.add(requests, &[]);
    }

    /// Counts a request of a tenant as begun by a server.
    pub(crate) fn counted_usage(&self) {
        self.usage.counted.add(1, &[]);
    }

    /// Counts a request of a tenant that turned out not to have run.
    pub(crate) fn withdrawn_usage(&self) {
        self.usage.withdrawn.add(1, &[]);
    }

    /// Counts a message about the usage of tenants.
    pub(crate) fn received_usage(&self, is_kept: bool) {
        self.usage
            .received
            .add(1, &[KeyValue::new("kept", is_kept)]);
    }

    /// Counts dropped counts of tenants.
    pub(crate) fn dropped_usage(&self, counts: u64) {
        self.usage.dropped.add(counts, &[]);
    }

    /// Counts data centres whose usage in a window is not fully known.
    pub(crate) fn missing_usage(&self, centres: usize) {
        self.usage
            .missing
            .add(u64::try_from(centres).unwrap_or(u64::MAX), &[]);
    }

    /// Counts datagrams, `unsent` of which could not be sent.
    pub(crate) fn datagrams(&self, total: usize, unsent: usize) {
        let count = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
        self.datagrams.add(count(total), &[]);
        if unsent > 0 {
            self.unsent_datagrams.add(count(unsent), &[]);
        }
    }

    /// Counts windows whose usage was to be reported.
    pub(crate) fn duty_windows(&self, windows: u64, end: End) {
        let end = match end {
            End::Sent => "sent",
            End::Late => "late",
            End::Missing => "missing",
        };
        self.duty_windows.add(windows, &[KeyValue::new("end", end)]);
    }

    /// Records the generation of this instance, if it has the duty to report usage.
    pub(crate) fn duty_generation(&self, generation: Option<Generation>) {
        let number = generation.map_or(0, Generation::number);
        self.duty_generation.record(number, &[]);
    }

    /// Counts the bytes of changes that are sent to another instance.
    pub(crate) fn sent_changes(&self, bytes: usize) {
        self.sent_changes
            .add(u64::try_from(bytes).unwrap_or(u64::MAX), &[]);
    }

    /// Counts the bytes of changes that another instance has sent.
    pub(crate) fn received_changes(&self, bytes: usize) {
        self.received_changes
            .add(u64::try_from(bytes).unwrap_or(u64::MAX), &[]);
    }
}

/// Returns the gauge of the tenants that are limited. Names come and go with them, so that the series
/// have to be removed, which OpenTelemetry's instruments cannot do.
fn limited_tenants(registry: &Registry) -> Result<IntGaugeVec, Error> {
    let options = Opts::new("chivewheel_tenant_limited", "Tenants that are limited now");
    let gauge = IntGaugeVec::new(options, &["tenant"]).map_err(Error::Series)?;
    registry
        .register(Box::new(gauge.clone()))
        .map_err(Error::Series)?;
    Ok(gauge)
}
