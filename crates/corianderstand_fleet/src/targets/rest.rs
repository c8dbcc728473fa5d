//! Rest that a target asks a router for: it wants no requests from it for a time.
//!
//! After a rest one request is sent as a probe, and the others follow once the target has answered it without asking for
//! rest again: those that waited would else arrive together.

use crate::targets;
use corianderstand_derives::derives;
use std::time::{Duration, Instant};

/// Longest rest that is kept, so that a mistaken number does not end the use of a target.
const MAX_REST: Duration = Duration::from_secs(300);
/// Time for the answer to a probe, after which another is sent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// A rest that a target asked for.
#[derives(data)]
#[derive(Copy)]
pub struct Rest {
    until: Instant,
    probed_at: Option<Instant>,
}

impl targets::Target {
    /// Records that it asks for rest. A shorter one does not end one that it asked for before.
    pub fn record_rest(&mut self, now: Instant, rest: Duration) {
        let until = now + rest.min(MAX_REST);
        let until = self.rest.map_or(until, |rest| rest.until.max(until));
        self.rest = Some(Rest { until, probed_at: None });
    }

    /// Records that a request is sent to it.
    pub fn record_sent(&mut self, now: Instant) {
        if let Some(rest) = &mut self.rest {
            rest.probed_at = Some(now);
        }
    }

    /// Ends a rest after a response to a request that was sent since, which did not ask for rest; false if there is none.
    pub fn end_rest(&mut self, sent_at: Instant) -> bool {
        self.rest.take_if(|rest| sent_at >= rest.until).is_some()
    }

    /// When the next request may be sent to it; none if it does not rest.
    pub fn resting_until(&self, now: Instant) -> Option<Instant> {
        let rest = self.rest?;
        let probed_until = rest.probed_at.map(|at| at + PROBE_TIMEOUT);
        let until = probed_until.map_or(rest.until, |until| until.max(rest.until));
        (now < until).then_some(until)
    }
}
