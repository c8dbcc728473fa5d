//! Simulated callers that retry after the delay given in a refusal.

use crate::trace::Call;
use std::time::Duration;

/// How long after its first attempt a caller still retries.
pub const RETRY_WINDOW: Duration = Duration::from_secs(600);

#[derive(Clone, Debug)]
pub struct Caller {
    pub call: Call,
    pub first_attempt_at: Duration,
    pub deadline: Duration,
    /// Whether the call follows an idle gap of its model.
    pub is_wake: bool,
    /// Whether the current attempt is unanswered.
    pub is_pending: bool,
    pub has_started: bool,
}

impl Caller {
    pub fn new(call: &Call, now: Duration, is_wake: bool) -> Self {
        let deadline = now + Duration::from_millis(call.deadline_ms);
        Self {
            call: call.clone(),
            first_attempt_at: now,
            deadline,
            is_wake,
            is_pending: true,
            has_started: false,
        }
    }

    pub fn will_retry(&self, at: Duration) -> bool {
        at <= self.first_attempt_at + RETRY_WINDOW
    }

    pub fn retry(&mut self, now: Duration) {
        self.deadline = now + Duration::from_millis(self.call.deadline_ms);
        self.is_pending = true;
    }
}
