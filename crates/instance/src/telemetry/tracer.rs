//! Starts spans and exports them.

use std::time::Duration;

use opentelemetry::trace::{SpanKind, Tracer as _, TracerProvider as _};
use opentelemetry::KeyValue;
use opentelemetry_otlp::{SpanExporter, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::trace::{
    BatchConfigBuilder, BatchSpanProcessor, Sampler, SdkTracer, SdkTracerProvider,
};
use opentelemetry_sdk::Resource;

use super::collector::Collector;
use super::{Error, Parent, Span};
use crate::settings::{Endpoint, Settings};

/// The spans that may wait for export. Those beyond are dropped.
const QUEUE: usize = 4096;

/// The spans of one export.
const BATCH: usize = 512;

/// The longest time that a span waits for export, while the collector answers.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long the last export may take when the instance stops.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// A tracer and what exports its spans.
#[derive(Clone, Debug)]
struct Open {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

/// Starts spans and exports them. Without an address to export to it does nothing.
#[derive(Clone, Debug, Default)]
pub struct Tracer(Option<Open>);

impl Tracer {
    /// Opens a tracer that exports to `endpoint` in the background.
    ///
    /// # Errors
    ///
    /// [`Error::Traces`].
    pub fn open(endpoint: &Endpoint, settings: &Settings) -> Result<Self, Error> {
        let exporter = SpanExporter::builder()
            .with_http()
            .with_http_client(Collector::new(endpoint))
            .with_endpoint(endpoint.to_string())
            .build()?;
        let config = BatchConfigBuilder::default()
            .with_max_queue_size(QUEUE)
            .with_max_export_batch_size(BATCH)
            .with_scheduled_delay(EXPORT_INTERVAL)
            .build();
        let processor = BatchSpanProcessor::builder(exporter)
            .with_batch_config(config)
            .build();
        let ratio = Sampler::TraceIdRatioBased(settings.trace_ratio);
        let provider = SdkTracerProvider::builder()
            .with_span_processor(processor)
            .with_sampler(Sampler::ParentBased(Box::new(ratio)))
            .with_resource(resource(settings))
            .build();
        let tracer = provider.tracer("chivewheel");
        Ok(Self(Some(Open { provider, tracer })))
    }

    /// Starts the first span of this instance for a call, under the caller's.
    pub(crate) fn root(&self, name: &'static str, kind: SpanKind, parent: &Parent) -> Span {
        match &self.0 {
            Some(open) => {
                let builder = open.tracer.span_builder(name).with_kind(kind);
                let span = open.tracer.build_with_context(builder, &parent.context());
                Span::started(span)
            }
            None => Span::default(),
        }
    }

    /// Starts the span of a further hop. It is recorded only if its parent is.
    pub(crate) fn child(&self, name: &'static str, kind: SpanKind, parent: &Parent) -> Span {
        match parent.is_sampled() {
            true => self.root(name, kind, parent),
            false => Span::silent(parent),
        }
    }

    /// Exports what waits, and stops exporting.
    pub async fn stop(&self) {
        if let Some(open) = self.0.clone() {
            // What cannot be exported by now is lost with the instance.
            let stop = move || open.provider.shutdown_with_timeout(STOP_LIMIT);
            let _lost = smol::unblock(stop).await;
        }
    }
}

fn resource(settings: &Settings) -> Resource {
    Resource::builder()
        .with_service_name("chivewheel")
        .with_attribute(KeyValue::new(
            "service.instance.id",
            settings.name.to_string(),
        ))
        .with_attribute(KeyValue::new(
            "cloud.availability_zone",
            settings.centre.to_string(),
        ))
        .build()
}
