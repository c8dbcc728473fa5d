//! Fake callers, who follow the time to come back that a refusal names.

use crate::trace::Call;
use std::time::Duration;

/// Longest time that a caller keeps coming back.
pub const PATIENCE: Duration = Duration::from_secs(600);

/// A caller with one call.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The call.
    pub call: Call,
    /// When it first asked.
    pub first: Duration,
    /// When the present try must be answered.
    pub deadline: Duration,
    /// Whether its model had not been called for a while.
    pub is_wake: bool,
    /// Whether the present try still waits for an answer.
    pub waits: bool,
    /// Whether the first token of some try has come.
    pub started: bool,
}

impl Caller {
    /// A caller that asks now.
    pub fn new(call: &Call, now: Duration, is_wake: bool) -> Self {
        let deadline = now + Duration::from_millis(call.deadline_ms);
        Self { call: call.clone(), first: now, deadline, is_wake, waits: true, started: false }
    }

    /// Whether it comes back after a refusal.
    pub fn comes_back(&self, at: Duration) -> bool {
        at <= self.first + PATIENCE
    }

    /// Asks again.
    pub fn ask_again(&mut self, now: Duration) {
        self.deadline = now + Duration::from_millis(self.call.deadline_ms);
        self.waits = true;
    }
}
