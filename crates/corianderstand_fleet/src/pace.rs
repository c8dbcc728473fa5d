//! How fast a target works.
//!
//! Two things lengthen work at a target. Its own speed lasts for its incarnation and is learned from its responses. A
//! momentary slowdown changes many times a second where targets share their hosts with others. Targets state in their
//! responses how long work takes now: a fast target may state less than others at all times. So the slowdown is what is
//! stated relative to the target's usual figure. What is observed is divided by the slowdown at the time, so that the
//! two stay apart.

use corianderstand_derives::derives;
use std::time::{Duration, Instant};

/// Bounds of a stated slowdown; others are taken for a mistake.
const MIN_SLOWDOWN_PERCENT: u32 = 10;
const MAX_SLOWDOWN_PERCENT: u32 = 10_000;
/// Time in which a stated slowdown loses two thirds of its force, as the host's other work changes.
const SLOWDOWN_DECAY: Duration = Duration::from_millis(150);
/// Age up to which a stated slowdown is that of an observation.
const MAX_OBSERVED_SLOWDOWN_AGE: Duration = Duration::from_millis(150);
/// Age from which a stated slowdown tells nothing of the host, as its other work may have ended.
const SLOWDOWN_TTL: Duration = Duration::from_secs(60);

/// Time of a stream's event in a full batch relative to that of a stream alone.
const FULL_BATCH_GROWTH: f64 = 1.0;
/// Bounds of what is observed; longer times are those of a stream that stood still.
const MAX_EVENT_S: f64 = 0.5;
const MAX_READING_S_PER_TOKEN: f64 = 0.002;
const MAX_RESPONSE_S: f64 = 5.0;
const MIN_OBSERVED_S: f64 = 1e-7;
/// Shorter prompts tell little of the time to read one.
const MIN_PROMPT_TOKENS: u64 = 250;
/// Network round trip before the first event.
const ROUND_TRIP: Duration = Duration::from_millis(3);

/// Part of the observed reading times that are below the estimate: others' prompts lengthen them.
const READING_QUANTILE: f64 = 0.35;
/// The same for the time of reading alone, without the events of streams in between.
const PURE_READING_QUANTILE: f64 = 0.1;
/// Parts of the stated figures that are below that of a usual moment, as other work only lengthens the target's, and
/// of the slowdowns that are below that of a slow one.
const USUAL_MOMENT_QUANTILE: f64 = 0.35;
const SLOW_MOMENT_QUANTILE: f64 = 0.9;
const MEDIAN: f64 = 0.5;
/// Weight of a stated slowdown in the mean.
const MEAN_SLOWDOWN_WEIGHT: f64 = 0.05;
/// Largest change of an estimate by its first observations, and smallest by later ones, as a factor's logarithm.
const FIRST_STEP: f64 = 0.6;
const MIN_STEP: f64 = 0.015;
/// Observations from which an estimate counts as known.
const MIN_EVENTS: u32 = 8;
const MIN_PROMPTS: u32 = 3;
const MIN_RESPONSES: u32 = 3;

/// Moving estimate of a quantile of observed times, which follows lasting changes and ignores single outliers.
#[derives(data)]
#[derive(Copy)]
struct Quantile {
    quantile: f64,
    value: f64,
    count: u32,
}

impl Quantile {
    const fn new(quantile: f64) -> Self {
        Self { quantile, value: 0.0, count: 0 }
    }

    fn record(&mut self, observed: f64) {
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            self.value = observed;
            return;
        }
        let step = (FIRST_STEP / f64::from(self.count - 1)).max(MIN_STEP);
        // Steps of both directions balance at the quantile.
        let step = match observed > self.value {
            true => step * self.quantile,
            false => -step * (1.0 - self.quantile),
        };
        let next = self.value * (2.0 * step).exp();
        // Does not pass the observation.
        let (low, high) = (self.value.min(observed), self.value.max(observed));
        self.value = next.clamp(low, high);
    }

    fn known(&self, min_count: u32) -> Option<f64> {
        (self.count >= min_count).then_some(self.value)
    }
}

/// How long work takes, as a target states it.
#[derives(data)]
#[derive(Copy)]
struct Stated {
    at: Instant,
    last: f64,
    /// The figure of a usual moment.
    usual: Quantile,
    /// Mean slowdown.
    mean: f64,
    slow_moment: Quantile,
}

impl Stated {
    fn slowdown(&self) -> f64 {
        self.last / self.usual.value
    }
}

/// Usual times of a target's work, without the momentary slowdown; none where they are not known.
#[derives(data)]
#[derive(Copy, Default)]
pub struct UsualTimes {
    /// Seconds between the events of a stream that runs alone.
    pub event_s: Option<f64>,
    /// Seconds until a prompt token is read, with the events of other streams in between.
    pub reading_s_per_token: Option<f64>,
    /// Seconds to read a prompt token, without these.
    pub pure_reading_s_per_token: Option<f64>,
    /// Seconds to answer a request that is no stream.
    pub response_s: Option<f64>,
    /// Stated time for work in a usual moment, relative to a time that is the same for all targets.
    pub stated: Option<f64>,
}

impl UsualTimes {
    /// Time of this target's work relative to another's, from the first kind of work that is known of both.
    pub fn relative_to(&self, other: &Self) -> Option<f64> {
        let ratio = |own: Option<f64>, other: Option<f64>| Some(own? / other?);
        let ratio = ratio(self.event_s, other.event_s)
            .or_else(|| ratio(self.response_s, other.response_s))
            .or_else(|| ratio(self.reading_s_per_token, other.reading_s_per_token))
            .or_else(|| ratio(self.stated, other.stated));
        ratio.filter(|ratio| ratio.is_finite() && *ratio > 0.0)
    }
}

/// What is known of a target's pace.
#[derives(data)]
#[derive(Copy)]
pub struct Pace {
    stated: Option<Stated>,
    event: Quantile,
    reading: Quantile,
    pure_reading: Quantile,
    response: Quantile,
    observed_at: Option<Instant>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            stated: None,
            event: Quantile::new(MEDIAN),
            reading: Quantile::new(READING_QUANTILE),
            pure_reading: Quantile::new(PURE_READING_QUANTILE),
            response: Quantile::new(MEDIAN),
            observed_at: None,
        }
    }
}

/// Time of a stream's event in a batch of this size relative to that of a stream alone.
pub fn batch_growth(requests: u32, slots: u32) -> f64 {
    let others = f64::from(requests.saturating_sub(1));
    1.0 + FULL_BATCH_GROWTH * others / f64::from(slots.max(1))
}

impl Pace {
    /// Records how long the target says that work takes now, in percent of the usual time.
    pub fn record_stated(&mut self, now: Instant, percent: u32) {
        if !(MIN_SLOWDOWN_PERCENT..=MAX_SLOWDOWN_PERCENT).contains(&percent) {
            return;
        }
        let last = f64::from(percent) / 100.0;
        let known = self.stated.filter(|stated| is_recent(now, stated.at, SLOWDOWN_TTL));
        let mut stated = known.unwrap_or(Stated {
            at: now,
            last,
            usual: Quantile::new(USUAL_MOMENT_QUANTILE),
            mean: 1.0,
            slow_moment: Quantile::new(SLOW_MOMENT_QUANTILE),
        });
        stated.at = now;
        stated.last = last;
        stated.usual.record(last);
        let slowdown = stated.slowdown();
        stated.mean += (slowdown - stated.mean) * MEAN_SLOWDOWN_WEIGHT;
        stated.slow_moment.record(slowdown);
        self.stated = Some(stated);
    }

    /// Whether the target ever stated its pace.
    pub const fn is_stated(&self) -> bool {
        self.stated.is_some()
    }

    /// Expected time that work takes now relative to the usual time: the stated one, which gives way to the mean with
    /// its age; 1 if that is not known.
    pub fn slowdown(&self, now: Instant) -> f64 {
        let stated = self.stated.filter(|stated| is_recent(now, stated.at, SLOWDOWN_TTL));
        stated.map_or(1.0, |stated| {
            let age = now.saturating_duration_since(stated.at).as_secs_f64();
            let force = (-age / SLOWDOWN_DECAY.as_secs_f64()).exp();
            stated.mean + (stated.slowdown() - stated.mean) * force
        })
    }

    /// Slowdown in the slow moments of the target's host, if this is the slowdown now.
    pub fn slow_moment(&self, slowdown: f64) -> f64 {
        self.stated.map_or(slowdown, |stated| stated.slow_moment.value.max(slowdown))
    }

    /// Age of the stated slowdown.
    pub fn stated_age(&self, now: Instant) -> Option<Duration> {
        self.stated.map(|stated| now.saturating_duration_since(stated.at))
    }

    /// Age of the last observation of its own speed.
    pub fn observed_age(&self, now: Instant) -> Option<Duration> {
        self.observed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Slowdown by which an observation is divided; 1 if none was stated at the time, where the median of many
    /// observations is that of a usual moment.
    fn slowdown_at_observation(&self, now: Instant) -> f64 {
        let stated =
            self.stated.filter(|stated| is_recent(now, stated.at, MAX_OBSERVED_SLOWDOWN_AGE));
        stated.map_or(1.0, |stated| stated.slowdown())
    }

    /// Records the time between two events of a stream, in a batch of `requests`.
    pub fn record_event_interval(
        &mut self,
        now: Instant,
        interval: Duration,
        requests: u32,
        slots: u32,
    ) {
        let usual = interval.as_secs_f64()
            / self.slowdown_at_observation(now)
            / batch_growth(requests, slots);
        self.event.record(usual.clamp(MIN_OBSERVED_S, MAX_EVENT_S));
        self.observed_at = Some(now);
    }

    /// Records the time from sending a prompt to the first event. `queued` is how long it waited for other prompts.
    pub fn record_first_event(
        &mut self,
        now: Instant,
        elapsed: Duration,
        queued: Duration,
        prompt_tokens: u64,
    ) {
        if prompt_tokens < MIN_PROMPT_TOKENS {
            return;
        }
        let slowdown = self.slowdown_at_observation(now);
        let event = Duration::from_secs_f64(self.event.known(MIN_EVENTS).unwrap_or(0.0) * slowdown);
        let reading = elapsed.saturating_sub(ROUND_TRIP + queued + event).as_secs_f64();
        let usual = reading / slowdown / prompt_tokens as f64;
        if usual > 0.0 {
            let usual = usual.clamp(MIN_OBSERVED_S, MAX_READING_S_PER_TOKEN);
            self.reading.record(usual);
            self.pure_reading.record(usual);
            self.observed_at = Some(now);
        }
    }

    /// Records the time from sending a request that is no stream to its answer.
    pub fn record_response(&mut self, now: Instant, elapsed: Duration) {
        let usual = elapsed.saturating_sub(ROUND_TRIP).as_secs_f64();
        let usual = usual / self.slowdown_at_observation(now);
        self.response.record(usual.clamp(MIN_OBSERVED_S, MAX_RESPONSE_S));
        self.observed_at = Some(now);
    }

    /// Usual times of its work, as far as known.
    pub fn usual_times(&self) -> UsualTimes {
        UsualTimes {
            event_s: self.event.known(MIN_EVENTS),
            reading_s_per_token: self.reading.known(MIN_PROMPTS),
            pure_reading_s_per_token: self.pure_reading.known(1),
            response_s: self.response.known(MIN_RESPONSES),
            stated: self.stated.map(|stated| stated.usual.value),
        }
    }
}

/// Tokens of an event of streams, learned from whole ones.
#[derives(data)]
#[derive(Copy)]
pub struct EventSize(Quantile);

impl Default for EventSize {
    fn default() -> Self {
        Self(Quantile::new(MEDIAN))
    }
}

impl EventSize {
    /// Records how many events a stream had that was expected to have this many tokens.
    pub fn record(&mut self, expected_tokens: u64, events: u64) {
        if events > 0 && expected_tokens > 0 {
            self.0.record((expected_tokens as f64 / events as f64).max(1.0));
        }
    }

    /// Expected events of a stream of this many tokens.
    pub fn events(&self, tokens: u64) -> f64 {
        let tokens_per_event = self.0.known(MIN_EVENTS).unwrap_or(1.0);
        (tokens as f64 / tokens_per_event).max(1.0)
    }
}

fn is_recent(now: Instant, at: Instant, ttl: Duration) -> bool {
    now.saturating_duration_since(at) < ttl
}
