//! Which targets make slower progress than others.
//!
//! Progress is time for each part of an answer, against what is usual for the model, so that a
//! long answer does not make its target look slow.

use std::time::{Duration, Instant};

/// Part of the difference that one answer moves a target's ratio by.
const RATIO_STEP: f64 = 0.3;
/// Part of the difference that one answer moves a model's usual time by; small, so that one slow
/// target does not become what is usual.
const USUAL_STEP: f64 = 0.05;
/// One answer counts at most this many times the usual time, for the same reason.
const USUAL_CLIP: f64 = 2.0;
/// A target this many times slower than usual gets a trickle only. Below three, ordinary scatter
/// of a full batch would put out healthy targets.
const SLOW_RATIO: f64 = 3.0;
/// A target in the trickle is well again below this; apart from the other limit, so that it does
/// not go in and out with each answer.
const WELL_RATIO: f64 = 1.5;
/// After this time without an answer only half of a target's slowness is believed: what is slow
/// gets less work, so its recovery would show late or never.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Answers before a target is judged.
const MIN_ANSWERS: u32 = 4;
/// Time between two requests to a target in the trickle: enough to see its recovery within half
/// a minute, and few enough that hardly a caller meets it.
const TRICKLE_INTERVAL: Duration = Duration::from_secs(5);
/// A lost connection counts as this many times the usual time.
const LOST_RATIO: f64 = 6.0;
/// At most one target in this many is put out: more, and the load of those put out would make
/// the rest slow too, until all are out.
pub const MOST_OUT_DIVISOR: usize = 3;

/// Usual time for each part of an answer, of one model.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usual(Option<f64>);

impl Usual {
    /// How many times the usual time this answer took for each part.
    pub fn observe(&mut self, each: Duration) -> f64 {
        let each = each.as_secs_f64().max(1e-6);
        let usual = *self.0.get_or_insert(each);
        let clipped = each.min(usual * USUAL_CLIP);
        self.0 = Some(usual + (clipped - usual) * USUAL_STEP);
        each / usual
    }
}

/// Progress of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Health {
    ratio: f64,
    answers: u32,
    out: bool,
    next_try: Option<Instant>,
    seen: Option<Instant>,
}

impl Default for Health {
    fn default() -> Self {
        Self { ratio: 1.0, answers: 0, out: false, next_try: None, seen: None }
    }
}

impl Health {
    /// Folds in an answer that took `ratio` times the usual time. `may_put_out` is false while
    /// enough others are out.
    pub fn observe(&mut self, now: Instant, ratio: f64, may_put_out: bool) {
        self.answers = self.answers.saturating_add(1);
        self.ratio += (ratio - self.ratio) * RATIO_STEP;
        self.seen = Some(now);
        if self.out {
            self.out = self.ratio > WELL_RATIO;
            if !self.out {
                self.ratio = 1.0;
            }
        } else {
            self.out = may_put_out && self.answers >= MIN_ANSWERS && self.ratio > SLOW_RATIO;
        }
    }

    /// The connection broke with work on it.
    pub fn lost(&mut self, now: Instant, may_put_out: bool) {
        self.observe(now, LOST_RATIO, may_put_out);
    }

    /// How many times slower than usual; 1 if it is not slower.
    pub fn slowness(&self, now: Instant) -> f64 {
        let age = self.seen.map_or(Duration::ZERO, |seen| now.saturating_duration_since(seen));
        let believed = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        1.0 + (self.ratio - 1.0).max(0.0) * believed
    }

    /// Whether it gets a trickle only.
    pub const fn is_ejected(&self) -> bool {
        self.out
    }

    /// Whether a request may go there now.
    pub fn takes(&self, now: Instant) -> bool {
        !self.out || self.next_try.is_none_or(|at| now >= at)
    }

    /// Notes that a request goes there.
    pub fn sent(&mut self, now: Instant) {
        if self.out {
            self.next_try = Some(now + TRICKLE_INTERVAL);
        }
    }
}
