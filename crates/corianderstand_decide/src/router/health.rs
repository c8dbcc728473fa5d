//! Which targets make slower progress than others.
//!
//! Progress is time for each part of an answer, against what is usual for the model, so that a
//! long answer does not make its target look slow.

use std::time::{Duration, Instant};

/// Part of the difference that one answer moves a target's ratio by.
const RATIO_SMOOTHING: f64 = 0.3;
/// Part of the difference that one answer moves a model's usual time by; small, so that one slow
/// target does not become what is usual.
const BASELINE_SMOOTHING: f64 = 0.05;
/// One answer counts at most this many times the usual time, for the same reason.
const MAX_BASELINE_SAMPLE_RATIO: f64 = 2.0;
/// A target this many times slower than usual gets a trickle only. Below three, ordinary scatter
/// of a full batch would put out healthy targets.
const EJECT_RATIO: f64 = 3.0;
/// A target in the trickle is well again below this; apart from the other limit, so that it does
/// not go in and out with each answer.
const READMIT_RATIO: f64 = 1.5;
/// After this time without an answer only half of a target's slowness is believed: what is slow
/// gets less work, so its recovery would show late or never.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(20);
/// Answers before a target is judged.
const MIN_SAMPLES: u32 = 4;
/// Time between two requests to a target in the trickle: enough to see its recovery within half
/// a minute, and few enough that hardly a caller meets it.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// A lost connection counts as this many times the usual time.
const LOST_CONNECTION_RATIO: f64 = 6.0;
/// At most one target in this many is put out: more, and the load of those put out would make
/// the rest slow too, until all are out.
pub const MAX_EJECTED_DIVISOR: usize = 3;

/// Usual time for each part of an answer, of one model.
#[derive(Clone, Copy, Debug, Default)]
pub struct BaselinePace(Option<f64>);

impl BaselinePace {
    /// How many times the usual time this answer took for each part.
    pub fn observe(&mut self, time_per_part: Duration) -> f64 {
        let time_per_part = time_per_part.as_secs_f64().max(1e-6);
        let baseline = *self.0.get_or_insert(time_per_part);
        let clipped = time_per_part.min(baseline * MAX_BASELINE_SAMPLE_RATIO);
        self.0 = Some(baseline + (clipped - baseline) * BASELINE_SMOOTHING);
        time_per_part / baseline
    }
}

/// Progress of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Health {
    ratio: f64,
    samples: u32,
    ejected: bool,
    next_probe: Option<Instant>,
    last_observed_at: Option<Instant>,
}

impl Default for Health {
    fn default() -> Self {
        Self { ratio: 1.0, samples: 0, ejected: false, next_probe: None, last_observed_at: None }
    }
}

impl Health {
    /// Folds in an answer that took `ratio` times the usual time. `may_put_out` is false while
    /// enough others are out.
    pub fn observe(&mut self, now: Instant, ratio: f64, may_eject: bool) {
        self.samples = self.samples.saturating_add(1);
        self.ratio += (ratio - self.ratio) * RATIO_SMOOTHING;
        self.last_observed_at = Some(now);
        if self.ejected {
            self.ejected = self.ratio > READMIT_RATIO;
            if !self.ejected {
                self.ratio = 1.0;
            }
        } else {
            self.ejected = may_eject && self.samples >= MIN_SAMPLES && self.ratio > EJECT_RATIO;
        }
    }

    /// The connection broke with work on it.
    pub fn observe_connection_lost(&mut self, now: Instant, may_eject: bool) {
        self.observe(now, LOST_CONNECTION_RATIO, may_eject);
    }

    /// How many times slower than usual; 1 if it is not slower.
    pub fn slowness(&self, now: Instant) -> f64 {
        let age =
            self.last_observed_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay = 0.5_f64.powf(age.as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64());
        1.0 + (self.ratio - 1.0).max(0.0) * decay
    }

    /// Whether it gets a trickle only.
    pub const fn is_ejected(&self) -> bool {
        self.ejected
    }

    /// Whether a request may go there now.
    pub fn accepts(&self, now: Instant) -> bool {
        !self.ejected || self.next_probe.is_none_or(|at| now >= at)
    }

    /// Notes that a request goes there.
    pub fn record_sent(&mut self, now: Instant) {
        if self.ejected {
            self.next_probe = Some(now + PROBE_INTERVAL);
        }
    }
}
