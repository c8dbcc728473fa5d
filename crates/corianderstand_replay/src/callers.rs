//! Fake callers, who follow the time to come back that a refusal names.

use crate::trace::Call;
use std::time::Duration;

/// Longest time that a caller keeps coming back.
pub const RETRY_WINDOW: Duration = Duration::from_secs(600);

/// A caller with one call.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The call.
    pub call: Call,
    /// When it first asked.
    pub first_attempt_at: Duration,
    /// When the present try must be answered.
    pub deadline: Duration,
    /// Whether its model had not been called for a while.
    pub is_wake: bool,
    /// Whether the present try still waits for an answer.
    pub is_pending: bool,
    /// Whether the first token of some try has come.
    pub has_started: bool,
}

impl Caller {
    /// A caller that asks now.
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

    /// Whether it comes back after a refusal.
    pub fn will_retry(&self, at: Duration) -> bool {
        at <= self.first_attempt_at + RETRY_WINDOW
    }

    /// Asks again.
    pub fn retry(&mut self, now: Duration) {
        self.deadline = now + Duration::from_millis(self.call.deadline_ms);
        self.is_pending = true;
    }
}
