//! Starts spans and exports them to a collector over OTLP.

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

/// Most spans that may wait for export. Further spans are dropped.
const MAX_QUEUED_SPANS: usize = 4096;

/// Most spans in one export.
const MAX_BATCH_SPANS: usize = 512;

/// Longest time that a span waits for export as long as the collector responds.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for the final export when the instance stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// A tracer and the provider that exports its spans.
#[derive(Clone, Debug)]
struct Pipeline {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

/// Starts spans and exports them. Without a collector, spans are not recorded.
#[derive(Clone, Debug, Default)]
pub struct Tracer(Option<Pipeline>);

impl Tracer {
    /// Opens a tracer that exports to `endpoint` in the background.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Traces`] if the exporter cannot be built.
    pub fn open(endpoint: &Endpoint, settings: &Settings) -> Result<Self, Error> {
        let exporter = SpanExporter::builder()
            .with_http()
            .with_http_client(Collector::new(endpoint))
            .with_endpoint(endpoint.to_string())
            .build()?;
        let config = BatchConfigBuilder::default()
            .with_max_queue_size(MAX_QUEUED_SPANS)
            .with_max_export_batch_size(MAX_BATCH_SPANS)
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
        Ok(Self(Some(Pipeline { provider, tracer })))
    }

    /// Starts this instance's first span of a call. Its parent is the caller's span, if any.
    pub(crate) fn root(&self, name: &'static str, kind: SpanKind, parent: &Parent) -> Span {
        match &self.0 {
            Some(pipeline) => {
                let builder = pipeline.tracer.span_builder(name).with_kind(kind);
                let span = pipeline
                    .tracer
                    .build_with_context(builder, &parent.context());
                Span::started(span)
            }
            None => Span::default(),
        }
    }

    /// Starts a span below another span of the call. It is recorded only if its parent is.
    pub(crate) fn child(&self, name: &'static str, kind: SpanKind, parent: &Parent) -> Span {
        match parent.is_sampled() {
            true => self.root(name, kind, parent),
            false => Span::unrecorded(parent),
        }
    }

    /// Exports the queued spans and shuts the exporter down.
    pub async fn stop(&self) {
        if let Some(pipeline) = self.0.clone() {
            // Spans that cannot be exported within the time limit are lost.
            let stop = move || pipeline.provider.shutdown_with_timeout(SHUTDOWN_TIMEOUT);
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
