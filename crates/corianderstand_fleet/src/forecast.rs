//! Forecast of each model's demand from its rise.
//!
//! The measured rate of requests follows a sudden demand late, and a replica is ready only some time after it is
//! planned. A rise beyond the rate's own noise is extrapolated over both times. A forecast that proves too high is given
//! up slowly, since demand that fell may come back.

use crate::{demand, snapshot::Models};
use corianderstand_types::names;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Least and usual time over which a rise is measured: the sample before last is that old or twice as old.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Samples of a model that has not been observed for this time tell nothing of its rise.
const MAX_SAMPLE_AGE: Duration = Duration::from_millis(3_000);
/// Time over which demand is extrapolated at most beyond the lag of its rate.
const MAX_AHEAD: Duration = Duration::from_millis(1_000);
/// A forecast is at most this many times the measured rate.
const MAX_GROWTH: f64 = 3.0;
/// Multiple of the standard deviation of a change that counts as noise. Of 200 steady models, one seems to rise.
const NOISE_DEVIATIONS: f64 = 2.5;
/// Time constant by which a forecast that is above the rate falls to it.
const RELEASE: Duration = Duration::from_millis(1_000);
/// Demand that changes by less than this ratio lasts.
const LEVEL_RATIO: f64 = 2.0;
/// Time after the first observation in which nothing is forecast: a new planner hears of the demand at one router after
/// the other, which looks like a rise of all models.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// Forecasts the demand for models from a series of observations.
#[derive(Debug, Default)]
pub struct Forecast {
    since: Option<Instant>,
    models: HashMap<names::ModelId, History>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    per_s: f64,
}

#[derive(Debug)]
struct History {
    previous: Sample,
    latest: Sample,
    /// As last observed.
    per_s: f64,
    expected_per_s: f64,
    observed_at: Instant,
    /// Rate that lasts, and since when.
    level: Sample,
}

impl Forecast {
    /// Records the models' demand. `ready_in` tells how long a replica of a model takes to be ready.
    pub fn observe(
        &mut self,
        now: Instant,
        models: &Models,
        ready_in: impl Fn(&names::ModelId) -> Duration,
    ) {
        let since = *self.since.get_or_insert(now);
        let is_settled = now.saturating_duration_since(since) >= SETTLING_TIME;
        self.models.retain(|name, _| models.contains_key(name));
        for (name, view) in models {
            let per_s = view.demand.requests_per_s;
            let per_s = if per_s.is_finite() { per_s.max(0.0) } else { 0.0 };
            match self.models.get_mut(name) {
                Some(history) => history.observe(now, per_s, || ready_in(name), is_settled),
                None => {
                    self.models.insert(name.clone(), History::new(now, per_s));
                }
            }
        }
    }

    /// Time for which the demand for a model has been about as it is.
    pub fn lasted(&self, now: Instant, model: &names::ModelId) -> Duration {
        let since = self.models.get(model).map(|history| history.level.at);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Expected demand for a model relative to the measured one; at least 1.
    pub fn growth(&self, model: &names::ModelId) -> f64 {
        self.models.get(model).map_or(1.0, History::growth)
    }
}

impl History {
    const fn new(now: Instant, per_s: f64) -> Self {
        let sample = Sample { at: now, per_s };
        Self {
            previous: sample,
            latest: sample,
            per_s,
            expected_per_s: per_s,
            observed_at: now,
            level: sample,
        }
    }

    fn observe(
        &mut self,
        now: Instant,
        per_s: f64,
        ready_in: impl Fn() -> Duration,
        is_settled: bool,
    ) {
        if now.saturating_duration_since(self.observed_at) > MAX_SAMPLE_AGE {
            *self = Self::new(now, per_s);
            return;
        }
        let lasts = self.level.per_s / LEVEL_RATIO..=self.level.per_s * LEVEL_RATIO;
        if !lasts.contains(&per_s) {
            self.level = Sample { at: now, per_s };
        }
        let elapsed = now.saturating_duration_since(self.observed_at).as_secs_f64();
        let kept = (-elapsed / RELEASE.as_secs_f64()).exp();
        let held = per_s + (self.expected_per_s - per_s) * kept;
        let risen = if is_settled { self.extrapolated(now, per_s, ready_in) } else { per_s };
        self.expected_per_s = held.max(risen).clamp(per_s, per_s * MAX_GROWTH);
        (self.per_s, self.observed_at) = (per_s, now);
        if now.saturating_duration_since(self.latest.at) >= SAMPLE_INTERVAL {
            self.previous = self.latest;
            self.latest = Sample { at: now, per_s };
        }
    }

    fn extrapolated(&self, now: Instant, per_s: f64, ready_in: impl Fn() -> Duration) -> f64 {
        let elapsed = now.saturating_duration_since(self.previous.at).as_secs_f64();
        let lag = demand::RATE_LAG.as_secs_f64();
        let change = per_s - self.previous.per_s;
        if elapsed <= 0.0 || change <= 0.0 {
            return per_s;
        }
        // The rate is a decaying sum of arrivals, whose number varies by its square root.
        let arrivals = change * lag + self.previous.per_s * elapsed;
        let rise = change - NOISE_DEVIATIONS * arrivals.sqrt() / lag;
        if rise <= 0.0 {
            return per_s;
        }
        let ahead = lag + ready_in().min(MAX_AHEAD).as_secs_f64();
        per_s + rise / elapsed * ahead
    }

    fn growth(&self) -> f64 {
        match self.per_s > 0.0 {
            true => (self.expected_per_s / self.per_s).clamp(1.0, MAX_GROWTH),
            false => 1.0,
        }
    }
}
