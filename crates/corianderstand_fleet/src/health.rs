//! How much trouble a target has given lately.
//!
//! A target may answer its health check and fail part of its requests, so only what requests met
//! counts. Trouble is forgotten with time: what gives trouble gets less work, and would else never
//! be seen to have recovered.

use std::time::{Duration, Instant};

/// Part of the distance to "all fail" that one failure moves a target. Three failures in a row
/// bring it to 0.66, which is past [`EJECTION_THRESHOLD`].
const FAILURE_STEP: f64 = 0.3;
/// Part of the distance to "none fail" that one success moves it. Smaller than the failure's, so
/// that a target that fails two requests in five stays out.
const SUCCESS_STEP: f64 = 0.12;
/// Time in which half of the trouble is forgotten. Faults here last 3 to 8 s; with a longer time
/// a target is avoided after it is well, with a shorter one it is tried again in each fault.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Beyond this a target gets work only if no other has room.
pub const EJECTION_THRESHOLD: f64 = 0.5;

/// Trouble of one target, from 0 (none) to 1 (each request fails).
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_score: f64,
    seen: Option<Instant>,
}

impl Health {
    /// Trouble as it counts now.
    pub fn failure_score(&self, now: Instant) -> f64 {
        let Some(seen) = self.seen else { return 0.0 };
        let age = now.saturating_duration_since(seen).as_secs_f64();
        self.failure_score * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// A request was answered as it should be.
    pub fn record_success(&mut self, now: Instant) {
        self.failure_score = self.failure_score(now) * (1.0 - SUCCESS_STEP);
        self.seen = Some(now);
    }

    /// A request failed, was not answered, or its connection broke.
    pub fn record_failure(&mut self, now: Instant) {
        let failure_score = self.failure_score(now);
        self.failure_score = failure_score + (1.0 - failure_score) * FAILURE_STEP;
        self.seen = Some(now);
    }
}

/// Part of the distance that one event moves a target's pace by: some 25 events count, which is a
/// tenth of a second of a busy engine.
const PACE_STEP: f64 = 0.04;
/// A pace that was last seen this long ago tells nothing of now.
const PACE_AGE: Duration = Duration::from_secs(3);
/// One pause counts at most this long, so that a stream that stood still is not all that counts.
const PACE_CLIP: Duration = Duration::from_millis(400);

/// Time between two events of a target's streams.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventInterval {
    between: Duration,
    seen: Option<Instant>,
}

impl EventInterval {
    /// An event came this long after the one before.
    pub fn record(&mut self, now: Instant, pause: Duration) {
        let pause = pause.min(PACE_CLIP);
        self.between = match self.mean(now) {
            Some(between) => between.mul_f64(1.0 - PACE_STEP) + pause.mul_f64(PACE_STEP),
            None => pause,
        };
        self.seen = Some(now);
    }

    /// Time between two events; none if it was not seen lately.
    pub fn mean(&self, now: Instant) -> Option<Duration> {
        let seen = self.seen?;
        (now.saturating_duration_since(seen) < PACE_AGE).then_some(self.between)
    }
}
