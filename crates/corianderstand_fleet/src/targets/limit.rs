//! Limits of requests that targets name in their responses.

use crate::targets;
use corianderstand_derives::derives;
use std::time::{Duration, Instant};

/// Limit of requests that a target takes from all routers together.
#[derives(data)]
#[derive(Copy)]
pub struct RequestLimit {
    /// Requests per second.
    pub per_s: f64,
    /// When it was first named.
    pub named_at: Instant,
}

impl targets::Target {
    /// Records the limit of requests that it named.
    pub fn set_request_limit(&mut self, now: Instant, per_s: f64) {
        let named_at = self.request_limit.map_or(now, |limit| limit.named_at);
        self.request_limit = Some(RequestLimit { per_s, named_at });
    }

    /// Records when the next request may be sent to it.
    pub fn set_next_slot(&mut self, at: Instant) {
        self.next_slot_at = Some(at);
    }

    /// Expected time until a request may be sent to it, as it limits them.
    pub fn slot_wait(&self, now: Instant) -> Duration {
        let at = self.next_slot_at.filter(|_| self.request_limit.is_some());
        at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Removes the limit after a response without one, unless the request was sent before it was
    /// first named: that response may be older.
    pub fn lift_request_limit(&mut self, sent_at: Option<Instant>) {
        let is_older = |limit: &RequestLimit| sent_at.is_none_or(|at| at < limit.named_at);
        self.request_limit = self.request_limit.filter(is_older);
    }
}
