//! When to ask the engine what is loaded.
//!
//! An order whose answer was lost counts as loaded until the engine has been asked; an engine
//! that has restarted holds nothing of what the ledger counts. So the engine is asked soon and
//! again, with growing pauses, while an outcome is unknown, and now and then otherwise.

use std::time::{Duration, Instant};

/// First pause before the engine is asked again.
pub const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause while an outcome is unknown: an engine that is overloaded or down is not
/// helped by more questions.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Pause while nothing is unknown.
pub const CALM_PAUSE: Duration = Duration::from_secs(10);
/// Time after which a question that was not answered is given up.
pub const ANSWER_LIMIT: Duration = Duration::from_secs(150);

/// The state of the questions.
#[derive(Clone, Copy, Debug)]
pub struct Asking {
    next: Instant,
    pause: Duration,
    underway: bool,
}

impl Asking {
    /// The first question comes after a calm pause, as the engine is asked at start.
    pub fn new(now: Instant) -> Self {
        Self { next: now + CALM_PAUSE, pause: FIRST_PAUSE, underway: false }
    }

    /// Whether the engine is to be asked now.
    pub fn is_due(&mut self, now: Instant, has_unknown: bool) -> bool {
        if !has_unknown {
            self.pause = FIRST_PAUSE;
        } else if !self.underway {
            self.next = self.next.min(now + self.pause);
        }
        if now < self.next {
            return false;
        }
        self.underway = true;
        self.next = now + ANSWER_LIMIT;
        true
    }

    /// The engine has answered, or has failed to.
    pub fn answered(&mut self, now: Instant, has_unknown: bool) {
        self.underway = false;
        self.pause = if has_unknown { (self.pause * 2).min(LONGEST_PAUSE) } else { FIRST_PAUSE };
        self.next = now + if has_unknown { self.pause } else { CALM_PAUSE };
    }
}

#[cfg(test)]
mod tests;
