//! How much each model is asked for.
//!
//! Two averages of the arrivals are kept, one over a few seconds and one over some ten: the larger
//! counts. A model that is asked for rarely keeps a rate between its requests, and one that is
//! suddenly asked for shows at once.

use corianderstand_types::names;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time of the quick average. Demand moves from one model to the next within 4 to 6 s.
const QUICK: Duration = Duration::from_secs(2);
/// Time of the slow average. A model asked for every two seconds is then seen as such with a
/// spread of a quarter.
const SLOW: Duration = Duration::from_secs(12);
/// Requests below which a rate is taken as none, a second.
const NEGLIGIBLE: f64 = 0.004;

/// An average of events a second that fades.
#[derive(Clone, Copy, Debug)]
struct Fading {
    per_s: f64,
    at: Instant,
}

impl Fading {
    fn value(&self, now: Instant, time: Duration) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_s * (-age / time.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Instant, time: Duration, count: f64) {
        self.per_s = self.value(now, time) + count / time.as_secs_f64();
        self.at = now;
    }
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    quick: Fading,
    slow: Fading,
}

/// Arrivals by model.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    rates: BTreeMap<names::ModelId, Rate>,
}

impl Demand {
    /// `count` requests for a model have come.
    pub fn add(&mut self, now: Instant, model: &names::ModelId, count: f64) {
        let none = Fading { per_s: 0.0, at: now };
        let rate = match self.rates.get_mut(model) {
            Some(rate) => rate,
            None => self.rates.entry(model.clone()).or_insert(Rate { quick: none, slow: none }),
        };
        rate.quick.add(now, QUICK, count);
        rate.slow.add(now, SLOW, count);
    }

    /// Requests a second.
    pub fn per_s(&self, now: Instant, model: &names::ModelId) -> f64 {
        self.rates.get(model).map_or(0.0, |rate| rate.per_s(now))
    }

    /// All models that are asked for, with requests a second.
    pub fn all(&mut self, now: Instant) -> Vec<(names::ModelId, f64)> {
        self.rates.retain(|_, rate| rate.per_s(now) >= NEGLIGIBLE);
        self.rates.iter().map(|(model, rate)| (model.clone(), rate.per_s(now))).collect()
    }
}

impl Rate {
    fn per_s(&self, now: Instant) -> f64 {
        self.quick.value(now, QUICK).max(self.slow.value(now, SLOW))
    }
}
