//! Predicted times of a request at a target, from the target's pace, its load and the request's size.

use crate::{demand, pace, targets};
use corianderstand_derives::derives;
use corianderstand_types::names;
use std::time::{Duration, Instant};

/// Times that are assumed of a service until one is observed.
const DEFAULT_EVENT_S: f64 = 0.04;
const DEFAULT_RESPONSE_S: f64 = 0.05;
/// Bounds of a target's time for work relative to the usual one of its service.
const MIN_RELATIVE_TIME: f64 = 0.125;
const MAX_RELATIVE_TIME: f64 = 8.0;
/// Part of the targets whose time of reading alone is below the service's: few prompts are observed at each.
const PURE_READING_PART: f64 = 0.25;
/// Network round trip to another availability zone.
const CROSS_ZONE_ROUND_TRIP_S: f64 = 0.003;

/// Size and objectives of a request.
#[derives(data)]
#[derive(Copy)]
pub struct Work {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Expected events of the answer; 0 if it is no stream.
    pub events: f64,
    /// Time left until the first event, or the answer, is due.
    pub first_event_in: Duration,
    /// Objective for the longest pause between events, if there is one.
    pub gap_objective: Option<Duration>,
    /// Usual times of the service.
    pub usual: ServicePace,
}

/// Usual times of a service: the medians of its targets.
#[derives(data)]
#[derive(Copy, Default)]
pub struct ServicePace {
    usual: pace::UsualTimes,
    /// Time to read a token relative to that between events, as targets differ in both alike.
    reading_per_event: Option<f64>,
    /// The same without the events of other streams in between.
    pure_reading_per_event: Option<f64>,
    /// Time between events, and to answer, relative to the stated one of a usual moment.
    event_per_stated: Option<f64>,
    response_per_stated: Option<f64>,
}

/// Predicted times of one request at a target.
#[derives(data)]
#[derive(Copy)]
pub struct Prediction {
    /// Seconds until the first event, or the answer.
    pub first_event_s: f64,
    /// Seconds between events once the request runs.
    pub event_s: f64,
    /// Seconds until the end of the answer.
    pub finish_s: f64,
    /// Whether the first event is expected within its objective.
    pub meets_first_event: bool,
    /// Whether the time between events, with this prompt read in between, stays within its objective in the slow
    /// moments of the host too.
    pub meets_gap: bool,
    /// Time of the target's work relative to the usual one of its service.
    pub relative_time: f64,
    /// Momentary slowdown that was assumed.
    pub slowdown: f64,
}

impl Prediction {
    /// What is expected to be late, in the words of logs and metrics.
    pub const fn expectation(&self) -> &'static str {
        match (self.meets_first_event, self.meets_gap) {
            (true, true) => "on time",
            (false, true) => "first event late",
            (true, false) => "pauses late",
            (false, false) => "both late",
        }
    }
}

impl ServicePace {
    /// The medians of a service's targets.
    pub fn of(targets: &targets::Targets, service: &names::ServiceId) -> Self {
        let members = targets.iter().filter(|(_, target)| target.entry.service == *service);
        let times: Vec<_> = members.map(|(_, target)| target.pace.usual_times()).collect();
        let usual = pace::UsualTimes {
            event_s: median(times.iter().filter_map(|times| times.event_s)),
            reading_s_per_token: median(times.iter().filter_map(|times| times.reading_s_per_token)),
            pure_reading_s_per_token: None,
            response_s: median(times.iter().filter_map(|times| times.response_s)),
            stated: median(times.iter().filter_map(|times| times.stated)),
        };
        let ratio = |of: fn(&pace::UsualTimes) -> Option<f64>,
                     to: fn(&pace::UsualTimes) -> Option<f64>| {
            median(times.iter().filter_map(|times| Some(of(times)? / to(times)?)))
        };
        Self {
            usual,
            reading_per_event: ratio(|times| times.reading_s_per_token, |times| times.event_s),
            pure_reading_per_event: at_part(
                times
                    .iter()
                    .filter_map(|times| Some(times.pure_reading_s_per_token? / times.event_s?)),
                PURE_READING_PART,
            ),
            event_per_stated: ratio(|times| times.event_s, |times| times.stated),
            response_per_stated: ratio(|times| times.response_s, |times| times.stated),
        }
    }

    /// Usual times of a target: its own where they are known, else as far as they follow from what it states.
    pub fn usual_times(&self, pace: &pace::Pace) -> pace::UsualTimes {
        let own = pace.usual_times();
        let by_stated = |ratio: Option<f64>| Some(own.stated? * ratio?);
        pace::UsualTimes {
            event_s: own.event_s.or_else(|| by_stated(self.event_per_stated)),
            response_s: own.response_s.or_else(|| by_stated(self.response_per_stated)),
            ..own
        }
    }

    /// Time of a target's work relative to the usual one of the service; that of the median if it is not known.
    pub fn relative_time(&self, pace: &pace::Pace) -> f64 {
        self.relative_time_of(&self.usual_times(pace))
    }

    fn relative_time_of(&self, times: &pace::UsualTimes) -> f64 {
        let relative = times.relative_to(&self.usual);
        relative.map_or(1.0, |relative| relative.clamp(MIN_RELATIVE_TIME, MAX_RELATIVE_TIME))
    }

    /// Speed of a target relative to the usual one of the service; 1 if it is not known.
    pub fn speed(&self, pace: &pace::Pace) -> f64 {
        1.0 / self.relative_time(pace)
    }

    /// Usual seconds to read a prompt token at a target; none if no target of the service is known.
    pub fn reading_s_per_token(&self, pace: &pace::Pace) -> Option<f64> {
        self.reading_s_per_token_of(&self.usual_times(pace))
    }

    /// Usual seconds between events of a stream that runs alone at a target.
    pub fn event_s(&self, pace: &pace::Pace) -> f64 {
        let times = self.usual_times(pace);
        let usual =
            || self.usual.event_s.unwrap_or(DEFAULT_EVENT_S) * self.relative_time_of(&times);
        times.event_s.unwrap_or_else(usual)
    }

    /// Usual seconds to read a prompt token at a target, without the events of other streams in between.
    pub fn pure_reading_s_per_token(&self, pace: &pace::Pace) -> f64 {
        self.pure_reading_s_per_token_at(self.event_s(pace), self.relative_time(pace))
    }

    fn pure_reading_s_per_token_at(&self, event_s: f64, relative_time: f64) -> f64 {
        let usual = demand::DEFAULT_PREFILL_S_PER_TOKEN * relative_time;
        self.pure_reading_per_event.map_or(usual, |ratio| ratio * event_s)
    }

    fn reading_s_per_token_of(&self, times: &pace::UsualTimes) -> Option<f64> {
        let by_event = || Some(times.event_s? * self.reading_per_event?);
        times.reading_s_per_token.or_else(by_event).or(self.usual.reading_s_per_token)
    }

    /// Predicts the times of a request that is sent to a target now, in the sender's availability zone or another.
    /// `cached_tokens` of its prompt need not be read.
    pub fn predict(
        &self,
        now: Instant,
        target: &targets::Target,
        is_near: bool,
        work: &Work,
        cached_tokens: u64,
    ) -> Prediction {
        let times = self.usual_times(&target.pace);
        let relative_time = self.relative_time_of(&times);
        let slowdown = target.pace.slowdown(now);
        let requests = target.estimated_requests(now) + 1;
        let slots = target.entry.slots.max(1);
        let round_trip = if is_near { 0.0 } else { CROSS_ZONE_ROUND_TRIP_S };
        if work.events <= 0.0 {
            let usual = self.usual.response_s.unwrap_or(DEFAULT_RESPONSE_S) * relative_time;
            let response = times.response_s.unwrap_or(usual) * slowdown;
            // Those that do not fit wait for a slot each.
            let turns = f64::from(requests.div_ceil(slots));
            let first_event_s = response * turns + round_trip;
            return Prediction {
                first_event_s,
                event_s: 0.0,
                finish_s: first_event_s,
                meets_first_event: first_event_s <= work.first_event_in.as_secs_f64(),
                meets_gap: true,
                relative_time,
                slowdown,
            };
        }
        let usual = self.usual.event_s.unwrap_or(DEFAULT_EVENT_S) * relative_time;
        let event_alone_s = times.event_s.unwrap_or(usual);
        let usual_event_s = event_alone_s * pace::batch_growth(requests, slots);
        let reading = self
            .reading_s_per_token_of(&times)
            .unwrap_or(demand::DEFAULT_PREFILL_S_PER_TOKEN * relative_time);
        let uncached = work.prompt_tokens.saturating_sub(cached_tokens) as f64;
        let event_s = usual_event_s * slowdown;
        let backlog = target.prefill_backlog(now).as_secs_f64();
        let first_event_s = backlog + uncached * reading * slowdown + event_s + round_trip;
        let pure_reading =
            uncached * self.pure_reading_s_per_token_at(event_alone_s, relative_time);
        let long_event_s = (usual_event_s + pure_reading) * target.pace.slow_moment(slowdown);
        Prediction {
            first_event_s,
            event_s,
            finish_s: first_event_s + event_s * (work.events - 1.0).max(0.0),
            meets_first_event: first_event_s <= work.first_event_in.as_secs_f64(),
            meets_gap: work.gap_objective.is_none_or(|gap| long_event_s <= gap.as_secs_f64()),
            relative_time,
            slowdown,
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    at_part(values, 0.5)
}

/// The value that this part of the others are below.
fn at_part(values: impl Iterator<Item = f64>, part: f64) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    let position = (values.len().saturating_sub(1) as f64 * part) as usize;
    (!values.is_empty()).then(|| *values.select_nth_unstable_by(position, f64::total_cmp).1)
}
