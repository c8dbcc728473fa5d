//! How fast a target works.
//!
//! A target's own speed lasts for its incarnation. Beside it stands a momentary slowdown, which the target states in
//! its responses and which changes many times a second where targets share their hosts with others.

use corianderstand_derives::derives;
use std::time::{Duration, Instant};

/// Age from which a stated slowdown no longer counts.
const SLOWDOWN_TTL: Duration = Duration::from_millis(500);
/// Bounds of a stated slowdown; others are taken for a mistake.
const MIN_SLOWDOWN_PERCENT: u32 = 10;
const MAX_SLOWDOWN_PERCENT: u32 = 10_000;

/// What is known of a target's pace.
#[derives(data)]
#[derive(Copy, Default)]
pub struct Pace {
    stated: Option<(Instant, u32)>,
}

impl Pace {
    /// Records how long the target says that work takes now, in percent of the usual time.
    pub fn record_stated(&mut self, now: Instant, percent: u32) {
        if (MIN_SLOWDOWN_PERCENT..=MAX_SLOWDOWN_PERCENT).contains(&percent) {
            self.stated = Some((now, percent));
        }
    }

    /// Whether the target ever stated its pace.
    pub const fn is_stated(&self) -> bool {
        self.stated.is_some()
    }

    /// Time that work takes now relative to the usual time; 1 if that is not known.
    pub fn slowdown(&self, now: Instant) -> f64 {
        let stated =
            self.stated.filter(|(at, _)| now.saturating_duration_since(*at) < SLOWDOWN_TTL);
        stated.map_or(1.0, |(_, percent)| f64::from(percent) / 100.0)
    }
}
