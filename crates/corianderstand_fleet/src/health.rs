//! Passive health of a target.
//!
//! Failure scores come from requests only, because a target may pass its health check and still fail
//! requests. They decay, so that an ejected target is probed again.

use std::time::{Duration, Instant};

/// Weight of one failure. Three failures in a row exceed [`EJECTION_THRESHOLD`].
const FAILURE_WEIGHT: f64 = 0.3;
/// Weight of one success. A target that fails two requests in five stays ejected.
const SUCCESS_WEIGHT: f64 = 0.12;
/// Longer, a target is avoided after it has recovered; shorter, it is tried again during each fault, which
/// lasts 3 to 8 s.
const FAILURE_SCORE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Failure score from which a target is ejected: it is used only if no other has capacity.
pub const EJECTION_THRESHOLD: f64 = 0.5;

/// Failure score of one target, from 0 (no failures) to 1 (every request fails).
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_score: f64,
    updated_at: Option<Instant>,
}

impl Health {
    /// The failure score, decayed to `now`.
    pub fn failure_score(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at.filter(|_| self.failure_score > 0.0) else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at).as_secs_f64();
        self.failure_score * 0.5_f64.powf(age / FAILURE_SCORE_HALF_LIFE.as_secs_f64())
    }

    /// Records a successful request.
    pub fn record_success(&mut self, now: Instant) {
        self.failure_score = self.failure_score(now) * (1.0 - SUCCESS_WEIGHT);
        self.updated_at = Some(now);
    }

    /// Records a failed request, a missing response or a broken connection.
    pub fn record_failure(&mut self, now: Instant) {
        let failure_score = self.failure_score(now);
        self.failure_score = failure_score + (1.0 - failure_score) * FAILURE_WEIGHT;
        self.updated_at = Some(now);
    }
}

/// Some 25 events count, a tenth of a second of a busy engine.
const EVENT_INTERVAL_WEIGHT: f64 = 0.04;
const EVENT_INTERVAL_TTL: Duration = Duration::from_secs(3);
/// Limits the weight of a stream that stood still.
const MAX_EVENT_INTERVAL: Duration = Duration::from_millis(400);

/// Moving average of the time between events of a target's streams.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventInterval {
    mean: Duration,
    updated_at: Option<Instant>,
}

impl EventInterval {
    /// Records the time between two consecutive events of a stream.
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

    /// The average; `None` if it has expired.
    pub fn mean(&self, now: Instant) -> Option<Duration> {
        let updated_at = self.updated_at?;
        (now.saturating_duration_since(updated_at) < EVENT_INTERVAL_TTL).then_some(self.mean)
    }
}
