//! Limits of requests that targets name in their responses.

use crate::targets;
use corianderstand_derives::derives;
use corianderstand_types::names;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Limit of requests that a target takes from all routers together.
#[derives(data)]
#[derive(Copy)]
pub struct RequestLimit {
    /// Requests per second.
    pub per_s: f64,
    /// When it was first named.
    pub named_at: Instant,
}

/// Time for which a reported limit waits for its target: reports are not repeated, and an entry may be read later.
const UNKNOWN_TARGET_TTL: Duration = Duration::from_secs(10);

/// Limits that other routers reported of targets that are not known yet.
#[derive(Clone, Debug, Default)]
pub(super) struct EarlyLimits(HashMap<names::TargetId, RequestLimit>);

impl EarlyLimits {
    fn record(&mut self, now: Instant, id: &names::TargetId, per_s: Option<f64>) {
        self.0
            .retain(|_, limit| now.saturating_duration_since(limit.named_at) < UNKNOWN_TARGET_TTL);
        match per_s {
            Some(per_s) => drop(self.0.insert(id.clone(), RequestLimit { per_s, named_at: now })),
            None => drop(self.0.remove(id)),
        }
    }

    /// Takes the limit of a target that becomes known.
    pub(super) fn take(&mut self, now: Instant, id: &names::TargetId) -> Option<RequestLimit> {
        let limit = self.0.remove(id)?;
        (now.saturating_duration_since(limit.named_at) < UNKNOWN_TARGET_TTL).then_some(limit)
    }
}

impl targets::Targets {
    /// Applies the limit that another router reported of a target, or that it has none any more. It is kept for a while
    /// if the target is not known yet.
    pub fn apply_reported_limit(&mut self, now: Instant, id: &names::TargetId, per_s: Option<f64>) {
        let Some(target) = self.key(id).and_then(|key| self.get_mut(key)) else {
            return self.early_limits.record(now, id, per_s);
        };
        match per_s {
            Some(per_s) => target.set_request_limit(now, per_s),
            None => target.request_limit = None,
        }
    }
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
