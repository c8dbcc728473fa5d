use std::time::{Duration, Instant};

/// An exponentially decayed rate of events per second.
#[derive(Clone, Copy, Debug)]
pub struct DecayingRate {
    per_s: f64,
    updated_at: Instant,
}

impl DecayingRate {
    pub const fn new(now: Instant) -> Self {
        Self { per_s: 0.0, updated_at: now }
    }

    /// Returns the events per second, averaged over about `window`.
    pub fn value(&self, now: Instant, window: Duration) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.per_s * (-age / window.as_secs_f64()).exp()
    }

    pub fn add(&mut self, now: Instant, window: Duration, count: f64) {
        self.per_s = self.value(now, window) + count / window.as_secs_f64();
        self.updated_at = now;
    }
}
