//! Trace spans of each hop, exported by OTLP over HTTP.
//!
//! Spans contain hop names, request ids and outcomes. They never contain headers, queries or bodies, which could carry
//! a caller's key.

use std::fmt;

use godwitroad_base::RequestId;
use opentelemetry::{
    Context, KeyValue,
    trace::{
        Span as _, SpanContext, SpanId, Status, TraceContextExt as _, TraceFlags, TraceId,
        TraceState, Tracer as _, TracerProvider as _,
    },
};
use opentelemetry_otlp::WithExportConfig as _;
use opentelemetry_sdk::{
    Resource,
    trace::{SdkTracer, SdkTracerProvider, Span},
};

use crate::{intake::TraceParent, settings::DaemonSettings};

/// The tracer of one daemon; it creates no spans if no collector is configured.
#[derive(Debug)]
pub(super) struct TraceExporter {
    provider: Option<SdkTracerProvider>,
    tracer: Option<SdkTracer>,
}

/// The span of one hop; it ends when it is dropped.
pub(crate) struct HopSpan {
    span: Option<Span>,
    derived: Option<TraceParent>,
}

impl TraceExporter {
    /// Opens the exporter; without a collector address no spans are created.
    pub(super) fn open(settings: &DaemonSettings) -> anyhow::Result<TraceExporter> {
        let Some(address) = &settings.otlp_address else {
            return Ok(TraceExporter { provider: None, tracer: None });
        };
        let exporter = opentelemetry_otlp::SpanExporter::builder()
            .with_http()
            .with_endpoint(format!("{address}/v1/traces"))
            .build()?;
        let resource = Resource::builder()
            .with_service_name("godwitroad")
            .with_attribute(KeyValue::new("host.name", settings.vm.to_string()))
            .build();
        let provider = SdkTracerProvider::builder()
            .with_resource(resource)
            .with_batch_exporter(exporter)
            .build();
        let tracer = provider.tracer("godwitroad");
        Ok(TraceExporter { provider: Some(provider), tracer: Some(tracer) })
    }

    /// Begins a span with the given parent, or the root span of a new trace.
    pub(super) fn begin(&self, name: &'static str, parent: Option<TraceParent>) -> HopSpan {
        let span = self.tracer.as_ref().map(|tracer| {
            let context = parent.map_or_else(Context::new, |parent| {
                Context::new().with_remote_span_context(span_context(parent))
            });
            tracer.build_with_context(tracer.span_builder(name), &context)
        });
        HopSpan { span, derived: None }
    }

    /// Exports all buffered spans.
    pub(super) fn close(&self) {
        if let Some(provider) = &self.provider {
            // The process is ending; spans that cannot be exported are lost.
            let _ = provider.shutdown();
        }
    }
}

impl HopSpan {
    /// Returns the trace context that is sent to the next hop.
    pub(crate) fn context(&self) -> Option<TraceParent> {
        let Some(span) = &self.span else { return self.derived };
        let context = span.span_context();
        Some(TraceParent {
            trace: u128::from_be_bytes(context.trace_id().to_bytes()),
            span: u64::from_be_bytes(context.span_id().to_bytes()),
            sampled: context.is_sampled(),
        })
    }

    /// Adds the request id to the span.
    pub(crate) fn set_request_id(&mut self, id: RequestId) {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new("request.id", id.to_string()));
        }
    }

    /// Marks the span as failed.
    pub(crate) fn mark_failed(&mut self) {
        if let Some(span) = &mut self.span {
            span.set_status(Status::error(""));
        }
    }

    /// Gives the hop a trace context if no span is recorded: in the caller's trace, or else in a trace whose id is
    /// derived from the request id.
    pub(super) fn with_derived_context(
        mut self,
        parent: Option<TraceParent>,
        id: RequestId,
        attempt: u32,
    ) -> HopSpan {
        if self.span.is_none() {
            let request_trace = (u128::from(id.node) << 64) | u128::from(id.serial);
            // Setting the lowest bit makes the ids nonzero, as the format requires.
            let span = id.node.rotate_left(32) ^ (id.serial << 16) ^ u64::from(attempt) << 1 | 1;
            let trace = parent.map_or(request_trace | 1, |parent| parent.trace);
            let sampled = parent.is_some_and(|parent| parent.sampled);
            self.derived = Some(TraceParent { trace, span, sampled });
        } else {
            self.set_request_id(id);
        }
        self
    }
}

impl fmt::Debug for HopSpan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("HopSpan").field("context", &self.context()).finish()
    }
}

fn span_context(parent: TraceParent) -> SpanContext {
    let flags = if parent.sampled { TraceFlags::SAMPLED } else { TraceFlags::default() };
    SpanContext::new(
        TraceId::from_bytes(parent.trace.to_be_bytes()),
        SpanId::from_bytes(parent.span.to_be_bytes()),
        flags,
        true,
        TraceState::default(),
    )
}
