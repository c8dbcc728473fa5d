//! Schedules queries of the engine's loaded weights.
//!
//! Queries use exponential backoff while a command's outcome is unknown. Otherwise they run at a
//! fixed interval, to detect that the engine has restarted.

use std::time::{Duration, Instant};

/// Delay of the first query after an outcome becomes unknown.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Upper bound of the backoff while an outcome is unknown.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Query interval while no outcome is unknown.
pub const RECONCILE_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which a query without a response is repeated.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(150);

#[derive(Clone, Copy, Debug)]
pub struct ReconcileTimer {
    next_at: Instant,
    backoff: Duration,
    in_progress: bool,
}

impl ReconcileTimer {
    pub fn new(now: Instant) -> Self {
        Self { next_at: now + RECONCILE_INTERVAL, backoff: INITIAL_BACKOFF, in_progress: false }
    }

    /// Returns whether to query the engine now, and if so starts a query.
    pub fn is_due(&mut self, now: Instant, has_unknown: bool) -> bool {
        if !has_unknown {
            self.backoff = INITIAL_BACKOFF;
        } else if !self.in_progress {
            self.next_at = self.next_at.min(now + self.backoff);
        }
        if now < self.next_at {
            return false;
        }
        self.in_progress = true;
        self.next_at = now + RESPONSE_TIMEOUT;
        true
    }

    /// Schedules the next query after a response or a failure.
    pub fn on_response(&mut self, now: Instant, has_unknown: bool) {
        self.in_progress = false;
        self.backoff =
            if has_unknown { (self.backoff * 2).min(MAX_BACKOFF) } else { INITIAL_BACKOFF };
        self.next_at = now + if has_unknown { self.backoff } else { RECONCILE_INTERVAL };
    }
}

#[cfg(test)]
mod tests;
