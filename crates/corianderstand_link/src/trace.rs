//! W3C trace context: one trace across all hops, one span per hop.

use corianderstand_derives::derives;
use opentelemetry::{
    Context, SpanId, TraceFlags, TraceId,
    propagation::TextMapPropagator,
    trace::{SpanContext, TraceContextExt, TraceState},
};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use rand::RngExt;
use smol_str::SmolStr;
use std::collections::HashMap;

const HEADER: &str = "traceparent";

/// Trace and span identifiers of one hop.
#[derives(key)]
pub struct TraceContext {
    /// Trace ID, the same in all processes.
    pub trace: u128,
    /// Span ID of this hop.
    pub span: u64,
    /// Parent span ID; 0 for a root span.
    pub parent: u64,
    /// Whether the trace is sampled.
    pub sampled: bool,
}

impl TraceContext {
    /// Starts a new, sampled trace.
    pub fn begin() -> Self {
        let mut rng = rand::rng();
        let trace = rng.random_range(1..=u128::MAX);
        Self { trace, span: rng.random_range(1..=u64::MAX), parent: 0, sampled: true }
    }

    /// Continues the trace of a `traceparent` header; starts one if it is missing or malformed.
    pub fn continue_from(header: Option<&str>) -> Self {
        let parsed = header.and_then(Self::parse);
        parsed.map_or_else(Self::begin, Self::child)
    }

    /// Creates a child span in the same trace.
    pub fn child(self) -> Self {
        Self { span: Self::begin().span, parent: self.span, ..self }
    }

    fn parse(header: &str) -> Option<Self> {
        let carrier = HashMap::from([(HEADER.to_owned(), header.to_owned())]);
        let cx = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        let span = cx.span().span_context().clone();
        span.is_valid().then(|| Self {
            trace: u128::from_be_bytes(span.trace_id().to_bytes()),
            span: u64::from_be_bytes(span.span_id().to_bytes()),
            parent: 0,
            sampled: span.is_sampled(),
        })
    }

    /// Formats the `traceparent` header for the next hop.
    pub fn header(self) -> SmolStr {
        let flags = if self.sampled { TraceFlags::SAMPLED } else { TraceFlags::default() };
        let (trace, span) = (TraceId::from(self.trace), SpanId::from(self.span));
        let span = SpanContext::new(trace, span, flags, true, TraceState::default());
        let cx = Context::new().with_remote_span_context(span);
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(&cx, &mut carrier);
        carrier.remove(HEADER).unwrap_or_default().into()
    }
}
