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
const FAST_WINDOW: Duration = Duration::from_secs(2);
/// Time of the slow average. A model asked for every two seconds is then seen as such with a
/// spread of a quarter.
const SLOW_WINDOW: Duration = Duration::from_secs(12);
/// Time that an engine takes to read a prompt token where none was seen yet: 38 tokens in a ms.
pub const DEFAULT_PREFILL_S_PER_TOKEN: f64 = 26e-6;
/// Time to the first event that is not spent on reading the prompt: two ways and a step.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(7);
/// Prompts below this many tokens tell little of the time to read one.
const MIN_PROMPT_TOKENS: u64 = 250;
/// Part of the distance that a shorter time moves what is known by; the least of some ten is taken.
const DECREASE_SMOOTHING: f64 = 0.3;
/// The same for a longer one, which may come from others' prompts.
const INCREASE_SMOOTHING: f64 = 0.03;
/// Part of the distance that one request moves the aim by.
const OBJECTIVE_SMOOTHING: f64 = 0.2;
/// Requests below which a rate is taken as none, a second.
const MIN_REQUESTS_PER_S: f64 = 0.004;

#[derive(Clone, Copy, Debug)]
struct ModelRates {
    fast: DecayingRate,
    slow: DecayingRate,
    adapter_requests: DecayingRate,
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
        let estimates = [self.prefill_s_per_token, other.prefill_s_per_token];
        let estimates = estimates.into_iter().filter(|time| *time > 0.0);
        Self {
            prefill_s_per_token: estimates.reduce(f64::min).unwrap_or(0.0),
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
    rates: BTreeMap<names::ModelId, ModelRates>,
}

impl Demand {
    /// A request for a model has come.
    pub fn record_request(&mut self, now: Instant, model: &names::ModelId, cost: RequestCost) {
        let RequestCost { prompt_tokens, uses_adapter, latency_objective } = cost;
        let none = DecayingRate::new(now);
        let initial = ModelRates {
            fast: none,
            slow: none,
            adapter_requests: none,
            prompt_tokens: none,
            prefill_s_per_token: 0.0,
            latency_objective,
        };
        let rates = match self.rates.get_mut(model) {
            Some(rates) => rates,
            None => self.rates.entry(model.clone()).or_insert(initial),
        };
        rates.fast.add(now, FAST_WINDOW, 1.0);
        rates.slow.add(now, SLOW_WINDOW, 1.0);
        rates.prompt_tokens.add(now, FAST_WINDOW, prompt_tokens as f64);
        if uses_adapter {
            rates.adapter_requests.add(now, FAST_WINDOW, 1.0);
        }
        rates.latency_objective = rates.latency_objective.mul_f64(1.0 - OBJECTIVE_SMOOTHING)
            + latency_objective.mul_f64(OBJECTIVE_SMOOTHING);
    }

    /// A request's first event came this long after it was sent to an engine that had room.
    ///
    /// What shortens the time says more than what lengthens it: a request that met others waited
    /// for their prompts as well.
    pub fn record_first_event(
        &mut self,
        model: &names::ModelId,
        prompt_tokens: u64,
        elapsed: Duration,
    ) {
        let Some(rates) = self.rates.get_mut(model) else { return };
        if prompt_tokens < MIN_PROMPT_TOKENS {
            return;
        }
        let observed =
            elapsed.saturating_sub(FIRST_EVENT_OVERHEAD).as_secs_f64() / prompt_tokens as f64;
        let observed =
            observed.clamp(DEFAULT_PREFILL_S_PER_TOKEN / 8.0, DEFAULT_PREFILL_S_PER_TOKEN * 4.0);
        let estimate = &mut rates.prefill_s_per_token;
        if *estimate == 0.0 {
            *estimate = observed;
        }
        let smoothing = if observed < *estimate { DECREASE_SMOOTHING } else { INCREASE_SMOOTHING };
        *estimate += (observed - *estimate) * smoothing;
    }

    /// How much a model is asked for.
    pub fn model_demand(&self, now: Instant, model: &names::ModelId) -> ModelDemand {
        self.rates.get(model).map_or_else(ModelDemand::default, |rates| rates.demand(now))
    }

    /// All models that are asked for.
    pub fn active_models(&mut self, now: Instant) -> Vec<(names::ModelId, ModelDemand)> {
        self.rates.retain(|_, rates| rates.demand(now).requests_per_s >= MIN_REQUESTS_PER_S);
        self.rates.iter().map(|(model, rates)| (model.clone(), rates.demand(now))).collect()
    }
}

impl ModelRates {
    fn demand(&self, now: Instant) -> ModelDemand {
        ModelDemand {
            requests_per_s: self
                .fast
                .value(now, FAST_WINDOW)
                .max(self.slow.value(now, SLOW_WINDOW)),
            adapter_requests_per_s: self.adapter_requests.value(now, FAST_WINDOW),
            prompt_tokens_per_s: self.prompt_tokens.value(now, FAST_WINDOW),
            prefill_s_per_token: self.prefill_s_per_token,
            latency_objective: self.latency_objective,
        }
    }
}
