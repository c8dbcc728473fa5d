//! W3C trace context: one trace over all hops, one span for each.
//!
//! The header is read and written by OpenTelemetry's propagator, so that a caller's library and
//! ours agree on what is well formed, and the caller's choice whether to sample goes on.

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

/// The header that carries the context.
const HEADER: &str = "traceparent";

/// Identity of a trace and of the span that a hop belongs to.
#[derives(key)]
pub struct TraceContext {
    /// The trace, the same in all processes.
    pub trace: u128,
    /// The span of this hop.
    pub span: u64,
    /// The span that this one is part of; 0 where the trace begins.
    pub parent: u64,
    /// Whether whoever began the trace wants it recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// Begins a trace.
    pub fn begin() -> Self {
        let mut rng = rand::rng();
        let trace = rng.random_range(1..=u128::MAX);
        Self { trace, span: rng.random_range(1..=u64::MAX), parent: 0, sampled: true }
    }

    /// Continues the trace in a `traceparent` header, or begins one if there is none to read.
    pub fn continue_from(header: Option<&str>) -> Self {
        let parsed = header.and_then(Self::parse);
        parsed.map_or_else(Self::begin, Self::child)
    }

    /// A span of the same trace for the next hop.
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

    /// The `traceparent` header for the next hop.
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
