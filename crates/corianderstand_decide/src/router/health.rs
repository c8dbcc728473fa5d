//! Outlier ejection of targets that make slow progress.
//!
//! Progress is the time for each part of a response relative to the model's baseline, so that
//! long responses don't make a target look slow.

use std::time::{Duration, Instant};

const RATIO_SMOOTHING: f64 = 0.3;
/// Small, so that one slow target hardly shifts a model's baseline.
const BASELINE_SMOOTHING: f64 = 0.05;
const MAX_BASELINE_SAMPLE_RATIO: f64 = 2.0;
/// A target slower than the baseline by this ratio is ejected.
const EJECT_RATIO: f64 = 3.0;
/// An ejected target is readmitted at this ratio or below; the hysteresis prevents flapping.
const READMIT_RATIO: f64 = 1.5;
/// Half-life of a target's slowness without new samples, as a slow target is sent few requests.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(20);
const MIN_SAMPLES: u32 = 4;
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
const LOST_CONNECTION_RATIO: f64 = 6.0;
/// At most one target in this many is ejected, so that the remaining ones aren't overloaded.
pub const MAX_EJECTED_DIVISOR: usize = 3;

#[derive(Clone, Copy, Debug, Default)]
pub struct BaselinePartTime(Option<f64>);

impl BaselinePartTime {
    /// Adds a sample and returns its ratio to the baseline.
    pub fn observe(&mut self, time_per_part: Duration) -> f64 {
        let time_per_part_s = time_per_part.as_secs_f64().max(1e-6);
        let baseline = *self.0.get_or_insert(time_per_part_s);
        let clipped = time_per_part_s.min(baseline * MAX_BASELINE_SAMPLE_RATIO);
        self.0 = Some(baseline + (clipped - baseline) * BASELINE_SMOOTHING);
        time_per_part_s / baseline
    }
}

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
    /// Adds a response that took `ratio` times the baseline; ejects only if `may_eject`.
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

    pub fn observe_loss(&mut self, now: Instant, may_eject: bool) {
        self.observe(now, LOST_CONNECTION_RATIO, may_eject);
    }

    /// Returns the decayed ratio to the baseline, at least 1.
    pub fn slowness(&self, now: Instant) -> f64 {
        let age =
            self.last_observed_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay = 0.5_f64.powf(age.as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64());
        1.0 + (self.ratio - 1.0).max(0.0) * decay
    }

    pub const fn is_ejected(&self) -> bool {
        self.ejected
    }

    pub fn accepts(&self, now: Instant) -> bool {
        !self.ejected || self.next_probe.is_none_or(|at| now >= at)
    }

    pub fn record_sent(&mut self, now: Instant) {
        if self.ejected {
            self.next_probe = Some(now + PROBE_INTERVAL);
        }
    }
}
