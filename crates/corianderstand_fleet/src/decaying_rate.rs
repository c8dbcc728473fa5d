//! An average of events a second that fades with time.

use std::time::{Duration, Instant};

/// An average of events a second that fades.
#[derive(Clone, Copy, Debug)]
pub struct DecayingRate {
    per_s: f64,
    at: Instant,
}

impl DecayingRate {
    /// No events yet.
    pub const fn new(now: Instant) -> Self {
        Self { per_s: 0.0, at: now }
    }

    /// Events a second, over about the time given.
    pub fn value(&self, now: Instant, time: Duration) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_s * (-age / time.as_secs_f64()).exp()
    }

    /// So many events more.
    pub fn add(&mut self, now: Instant, time: Duration, count: f64) {
        self.per_s = self.value(now, time) + count / time.as_secs_f64();
        self.at = now;
    }
}
