//! How much each model is asked for.
//!
//! Two averages of the arrivals are kept, one over a few seconds and one over some ten: the larger
//! counts. A model that is asked for rarely keeps a rate between its requests, and one that is
//! suddenly asked for shows at once. Beside the number of requests, what they weigh is kept: the
//! tokens of their prompts, which an engine reads at a limited rate, and how soon they want an
//! answer.

use crate::decaying_rate::DecayingRate;
use corianderstand_derives::derives;
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
/// Time that an engine takes to read a prompt token where none was seen yet: 38 tokens in a ms.
pub const DEFAULT_PREFILL_S_PER_TOKEN: f64 = 26e-6;
/// Time to the first event that is not spent on reading the prompt: two ways and a step.
const BEFORE_READING: Duration = Duration::from_millis(7);
/// Prompts below this many tokens tell little of the time to read one.
const LEAST_PROMPT: u64 = 250;
/// Part of the distance that a shorter time moves what is known by; the least of some ten is taken.
const SHORTER_STEP: f64 = 0.3;
/// The same for a longer one, which may come from others' prompts.
const LONGER_STEP: f64 = 0.03;
/// Part of the distance that one request moves the aim by.
const AIM_STEP: f64 = 0.2;
/// Requests below which a rate is taken as none, a second.
const NEGLIGIBLE: f64 = 0.004;

#[derive(Clone, Copy, Debug)]
struct Rate {
    quick: DecayingRate,
    slow: DecayingRate,
    adapted: DecayingRate,
    prompt_tokens: DecayingRate,
    prefill_s_per_token: f64,
    latency_objective: Duration,
}

/// What one request weighs.
#[derives(data)]
#[derive(Copy)]
pub struct RequestCost {
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// It wants an adapter.
    pub uses_adapter: bool,
    /// Time to its first event.
    pub latency_objective: Duration,
}

/// How much one model is asked for.
#[derives(data)]
#[derive(Copy, Default)]
pub struct ModelDemand {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Of these, those that want an adapter.
    pub adapter_requests_per_s: f64,
    /// Tokens of prompts a second.
    pub prompt_tokens_per_s: f64,
    /// Time that an engine takes to read one prompt token, in seconds.
    pub prefill_s_per_token: f64,
    /// Time to the first event within which most of the requests are of full use.
    pub latency_objective: Duration,
}

impl ModelDemand {
    /// Both together, as from two routers.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        let latency_objective = if self.requests_per_s >= other.requests_per_s {
            self.latency_objective
        } else {
            other.latency_objective
        };
        let known = [self.prefill_s_per_token, other.prefill_s_per_token];
        let known = known.into_iter().filter(|time| *time > 0.0);
        Self {
            prefill_s_per_token: known.reduce(f64::min).unwrap_or(0.0),
            requests_per_s: self.requests_per_s + other.requests_per_s,
            adapter_requests_per_s: self.adapter_requests_per_s + other.adapter_requests_per_s,
            prompt_tokens_per_s: self.prompt_tokens_per_s + other.prompt_tokens_per_s,
            latency_objective,
        }
    }
}

/// Arrivals by model.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    rates: BTreeMap<names::ModelId, Rate>,
}

impl Demand {
    /// A request for a model has come.
    pub fn record_request(&mut self, now: Instant, model: &names::ModelId, weight: RequestCost) {
        let RequestCost { prompt_tokens, uses_adapter, latency_objective } = weight;
        let none = DecayingRate::new(now);
        let fresh = Rate {
            quick: none,
            slow: none,
            adapted: none,
            prompt_tokens: none,
            prefill_s_per_token: 0.0,
            latency_objective,
        };
        let rate = match self.rates.get_mut(model) {
            Some(rate) => rate,
            None => self.rates.entry(model.clone()).or_insert(fresh),
        };
        rate.quick.add(now, QUICK, 1.0);
        rate.slow.add(now, SLOW, 1.0);
        rate.prompt_tokens.add(now, QUICK, prompt_tokens as f64);
        if uses_adapter {
            rate.adapted.add(now, QUICK, 1.0);
        }
        rate.latency_objective =
            rate.latency_objective.mul_f64(1.0 - AIM_STEP) + latency_objective.mul_f64(AIM_STEP);
    }

    /// A request's first event came this long after it was sent to an engine that had room.
    ///
    /// What shortens the time says more than what lengthens it: a request that met others waited
    /// for their prompts as well.
    pub fn record_first_event(
        &mut self,
        model: &names::ModelId,
        prompt_tokens: u64,
        took: Duration,
    ) {
        let Some(rate) = self.rates.get_mut(model) else { return };
        if prompt_tokens < LEAST_PROMPT {
            return;
        }
        let seen = took.saturating_sub(BEFORE_READING).as_secs_f64() / prompt_tokens as f64;
        let seen = seen.clamp(DEFAULT_PREFILL_S_PER_TOKEN / 8.0, DEFAULT_PREFILL_S_PER_TOKEN * 4.0);
        let known = &mut rate.prefill_s_per_token;
        if *known == 0.0 {
            *known = seen;
        }
        let step = if seen < *known { SHORTER_STEP } else { LONGER_STEP };
        *known += (seen - *known) * step;
    }

    /// How much a model is asked for.
    pub fn model_demand(&self, now: Instant, model: &names::ModelId) -> ModelDemand {
        self.rates.get(model).map_or_else(ModelDemand::default, |rate| rate.asked(now))
    }

    /// All models that are asked for.
    pub fn active_models(&mut self, now: Instant) -> Vec<(names::ModelId, ModelDemand)> {
        self.rates.retain(|_, rate| rate.asked(now).requests_per_s >= NEGLIGIBLE);
        self.rates.iter().map(|(model, rate)| (model.clone(), rate.asked(now))).collect()
    }
}

impl Rate {
    fn asked(&self, now: Instant) -> ModelDemand {
        ModelDemand {
            requests_per_s: self.quick.value(now, QUICK).max(self.slow.value(now, SLOW)),
            adapter_requests_per_s: self.adapted.value(now, QUICK),
            prompt_tokens_per_s: self.prompt_tokens.value(now, QUICK),
            prefill_s_per_token: self.prefill_s_per_token,
            latency_objective: self.latency_objective,
        }
    }
}
