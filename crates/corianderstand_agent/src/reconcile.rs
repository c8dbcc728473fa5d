//! When to ask the engine what is loaded.
//!
//! An order whose answer was lost counts as loaded until the engine has been asked; an engine
//! that has restarted holds nothing of what the ledger counts. So the engine is asked soon and
//! again, with growing pauses, while an outcome is unknown, and now and then otherwise.

use std::time::{Duration, Instant};

/// First pause before the engine is asked again.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest pause while an outcome is unknown: an engine that is overloaded or down is not
/// helped by more questions.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Pause while nothing is unknown.
pub const RECONCILE_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which a question that was not answered is given up.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(150);

/// The state of the questions.
#[derive(Clone, Copy, Debug)]
pub struct ReconcileTimer {
    next_at: Instant,
    backoff: Duration,
    in_progress: bool,
}

impl ReconcileTimer {
    /// The first question comes after a calm pause, as the engine is asked at start.
    pub fn new(now: Instant) -> Self {
        Self { next_at: now + RECONCILE_INTERVAL, backoff: INITIAL_BACKOFF, in_progress: false }
    }

    /// Whether the engine is to be asked now.
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

    /// The engine has answered, or has failed to.
    pub fn on_response(&mut self, now: Instant, has_unknown: bool) {
        self.in_progress = false;
        self.backoff =
            if has_unknown { (self.backoff * 2).min(MAX_BACKOFF) } else { INITIAL_BACKOFF };
        self.next_at = now + if has_unknown { self.backoff } else { RECONCILE_INTERVAL };
    }
}

#[cfg(test)]
mod tests;
