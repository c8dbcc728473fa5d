//! How much trouble a target has given lately.
//!
//! A target may answer its health check and fail part of its requests, so only what requests met
//! counts. Trouble is forgotten with time: what gives trouble gets less work, and would else never
//! be seen to have recovered.

use std::time::{Duration, Instant};

/// Part of the distance to "all fail" that one failure moves a target. Three failures in a row
/// bring it to 0.66, which is past [`EJECTION_THRESHOLD`].
const FAILURE_WEIGHT: f64 = 0.3;
/// Part of the distance to "none fail" that one success moves it. Smaller than the failure's, so
/// that a target that fails two requests in five stays out.
const SUCCESS_WEIGHT: f64 = 0.12;
/// Time in which half of the trouble is forgotten. Faults here last 3 to 8 s; with a longer time
/// a target is avoided after it is well, with a shorter one it is tried again in each fault.
const FAILURE_SCORE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Beyond this a target gets work only if no other has room.
pub const EJECTION_THRESHOLD: f64 = 0.5;

/// Trouble of one target, from 0 (none) to 1 (each request fails).
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_score: f64,
    updated_at: Option<Instant>,
}

impl Health {
    /// Trouble as it counts now.
    pub fn failure_score(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else { return 0.0 };
        let age = now.saturating_duration_since(updated_at).as_secs_f64();
        self.failure_score * 0.5_f64.powf(age / FAILURE_SCORE_HALF_LIFE.as_secs_f64())
    }

    /// A request was answered as it should be.
    pub fn record_success(&mut self, now: Instant) {
        self.failure_score = self.failure_score(now) * (1.0 - SUCCESS_WEIGHT);
        self.updated_at = Some(now);
    }

    /// A request failed, was not answered, or its connection broke.
    pub fn record_failure(&mut self, now: Instant) {
        let failure_score = self.failure_score(now);
        self.failure_score = failure_score + (1.0 - failure_score) * FAILURE_WEIGHT;
        self.updated_at = Some(now);
    }
}

/// Part of the distance that one event moves a target's pace by: some 25 events count, which is a
/// tenth of a second of a busy engine.
const EVENT_INTERVAL_WEIGHT: f64 = 0.04;
/// A pace that was last seen this long ago tells nothing of now.
const EVENT_INTERVAL_TTL: Duration = Duration::from_secs(3);
/// One pause counts at most this long, so that a stream that stood still is not all that counts.
const MAX_EVENT_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two events of a target's streams.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventInterval {
    mean: Duration,
    updated_at: Option<Instant>,
}

impl EventInterval {
    /// An event came this long after the one before.
    pub fn record(&mut self, now: Instant, interval: Duration) {
        let interval = interval.min(MAX_EVENT_INTERVAL);
        self.mean = match self.mean(now) {
            Some(mean) => {
                mean.mul_f64(1.0 - EVENT_INTERVAL_WEIGHT) + interval.mul_f64(EVENT_INTERVAL_WEIGHT)
            }
            None => interval,
        };
        self.updated_at = Some(now);
    }

    /// Time between two events; none if it was not seen lately.
    pub fn mean(&self, now: Instant) -> Option<Duration> {
        let updated_at = self.updated_at?;
        (now.saturating_duration_since(updated_at) < EVENT_INTERVAL_TTL).then_some(self.mean)
    }
}
