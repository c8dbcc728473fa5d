//! How much an engine may read of prompts without a pause of its streams that is too long.
//!
//! All that is granted within one interval between two events lengthens it. Where the engine's pace is known, the
//! window is the longest interval that stays within the maximum pause also if a slow moment of the host begins, and
//! one event takes its part of it. Otherwise the window is the maximum pause, and a fixed part of it is read.

use corianderstand_derives::derives;
use std::time::Duration;

/// Part of the window that an engine may spend on prefill if its pace is unknown; the rest is for the tokens of one
/// event.
const PREFILL_TIME_RATIO: f64 = 0.85;
/// Expected delay from the end of a prefill to the first event, relative to such a window.
const FIRST_EVENT_DELAY_RATIO: f64 = 0.5;

/// Pace of an engine that runs streams.
#[derives(data)]
#[derive(Copy)]
pub struct StreamPace {
    /// Time between events of its streams in a usual moment.
    pub event_time: Duration,
    /// Time that work takes now relative to a usual moment.
    pub slowdown: f64,
    /// The same in a slow moment of its host.
    pub slow_moment: f64,
}

/// A period over which the time that an engine spends on prefill is limited.
#[derives(data)]
#[derive(Copy)]
pub struct Window {
    /// The period.
    pub length: Duration,
    /// Prefill time that may be granted within it.
    pub limit: Duration,
    /// Expected time from the end of a prefill to the first event.
    pub first_event_delay: Duration,
    /// Whether a prompt that exceeds the limit takes no more than a window of its own.
    is_bounded: bool,
}

impl Window {
    /// The window of an engine whose pace is unknown.
    pub fn of_pause(max_pause: Duration) -> Self {
        Self {
            length: max_pause,
            limit: max_pause.mul_f64(PREFILL_TIME_RATIO),
            first_event_delay: max_pause.mul_f64(FIRST_EVENT_DELAY_RATIO),
            is_bounded: false,
        }
    }

    /// The window that leaves room for one event.
    pub fn beside_event(max_pause: Duration, pace: &StreamPace) -> Self {
        let length = max_pause.mul_f64(pace.slowdown / pace.slow_moment.max(pace.slowdown));
        let event_time = pace.event_time.mul_f64(pace.slowdown);
        let limit = length.saturating_sub(event_time);
        Self { length, limit, first_event_delay: event_time, is_bounded: true }
    }

    /// Time for which a prompt takes up the engine's reading.
    pub fn share_of(&self, prefill_time: Duration) -> Duration {
        if self.is_bounded && prefill_time >= self.limit {
            return self.length;
        }
        prefill_time.mul_f64(self.length.div_duration_f64(self.limit))
    }
}
