//! Trace context propagation between hops.

use corianderstand_link::trace::TraceContext;
use rstest::rstest;

#[rstest]
#[case("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", true)]
#[case("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00", false)]
fn a_hop_continues_the_callers_trace_and_sampling(#[case] header: &str, #[case] sampled: bool) {
    let hop = TraceContext::continue_from(Some(header));
    assert_eq!(hop.trace, 0x0af7_6519_16cd_43dd_8448_eb21_1c80_319c);
    assert_eq!((hop.parent, hop.sampled), (0xb7ad_6b71_6920_3331, sampled));
    assert_ne!(hop.span, hop.parent);
    let next = TraceContext::continue_from(Some(&hop.header()));
    assert_eq!((next.trace, next.parent, next.sampled), (hop.trace, hop.span, sampled));
}

/// A malformed header must not be propagated.
#[rstest]
#[case("")]
#[case("nonsense")]
#[case("00-00000000000000000000000000000000-b7ad6b7169203331-01")]
#[case("00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01")]
#[case("00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01")]
#[case("ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")]
fn a_malformed_header_starts_a_new_trace(#[case] header: &str) {
    let hop = TraceContext::continue_from(Some(header));
    assert_eq!(hop.parent, 0);
    assert_ne!(hop.trace, 0);
}
