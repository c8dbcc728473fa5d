//! Estimate of a target's load from its last report and the requests of this process since then.
//!
//! A report loses its force with age. Otherwise a router that last saw a target full would send it
//! nothing, and so never receive the response that tells it otherwise.

use super::{Load, Target};
use std::time::{Duration, Instant};

/// Age from which a report no longer rules out a probe.
const LOAD_TTL: Duration = Duration::from_millis(500);
/// Age from which reported cache use no longer counts; only agents report it.
const CACHE_USE_TTL: Duration = super::AGENT_RESPONSE_TIMEOUT;

/// The last reported load, and this process's own share of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedLoad {
    requests: u32,
    requests_at: Option<Instant>,
    own_requests: u32,
    cache_used: u64,
    cache_used_at: Option<Instant>,
    own_tokens: u64,
}

fn is_recent(now: Instant, at: Option<Instant>, ttl: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < ttl)
}

impl Target {
    /// Estimated requests in progress: the reported load, adjusted by this process's later requests.
    ///
    /// An outdated report of a full target leaves room for one request: a probe, whose response brings
    /// the current load.
    pub fn estimated_requests(&self, now: Instant) -> u32 {
        let load = &self.reported_load;
        let others = load.requests.saturating_sub(load.own_requests);
        if is_recent(now, load.requests_at, LOAD_TTL) {
            return others + self.local_requests + self.placing_requests;
        }
        let probe_load = self.entry.slots.max(1) - 1;
        others.min(probe_load) + self.local_requests + self.placing_requests
    }

    /// Estimated tokens in its KV cache: the reported ones, adjusted by this process's later requests.
    pub fn estimated_tokens(&self, now: Instant) -> u64 {
        let load = &self.reported_load;
        if is_recent(now, load.cache_used_at, CACHE_USE_TTL) {
            let others = load.cache_used.saturating_sub(load.own_tokens);
            return others + self.local_tokens + self.placing_tokens;
        }
        self.local_tokens + self.placing_tokens
    }

    /// Records the reported load.
    pub fn record_load(&mut self, now: Instant, load: Load) {
        if let Some(percent) = load.slowdown_percent {
            self.pace.record_stated(now, percent);
        }
        let reported = &mut self.reported_load;
        reported.requests = load.running + load.waiting;
        reported.requests_at = Some(now);
        reported.own_requests = self.local_requests;
        if let Some(cache_used) = load.cache_used {
            reported.cache_used = cache_used;
            reported.cache_used_at = Some(now);
            reported.own_tokens = self.local_tokens;
        }
    }
}
