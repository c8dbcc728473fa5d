//! W3C trace context: one trace over all hops, one span for each.

use corianderstand_derives::derives;
use rand::RngExt;
use smol_str::{SmolStr, format_smolstr};

/// Identity of a trace and of the span that a hop belongs to.
#[derives(key)]
pub struct TraceContext {
    /// The trace, the same in all processes.
    pub trace: u128,
    /// The span of this hop.
    pub span: u64,
}

impl TraceContext {
    /// Begins a trace.
    pub fn begin() -> Self {
        let mut rng = rand::rng();
        Self { trace: rng.random_range(1..=u128::MAX), span: rng.random_range(1..=u64::MAX) }
    }

    /// Continues the trace in a `traceparent` header, or begins one if there is none to read.
    pub fn continue_from(header: Option<&str>) -> Self {
        let parsed = header.and_then(Self::parse);
        parsed.map_or_else(Self::begin, Self::child)
    }

    /// A span of the same trace for the next hop.
    pub fn child(self) -> Self {
        Self { span: Self::begin().span, ..self }
    }

    fn parse(header: &str) -> Option<Self> {
        let mut parts = header.split('-');
        let (version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
        let well_formed = version.len() == 2 && trace.len() == 32 && span.len() == 16;
        let trace = u128::from_str_radix(trace, 16).ok().filter(|trace| *trace != 0)?;
        let span = u64::from_str_radix(span, 16).ok().filter(|span| *span != 0)?;
        well_formed.then_some(Self { trace, span })
    }

    /// The `traceparent` header for the next hop.
    pub fn header(self) -> SmolStr {
        format_smolstr!("00-{:032x}-{:016x}-01", self.trace, self.span)
    }
}
