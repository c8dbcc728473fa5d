//! Per-model demand: request rates, prompt tokens, prefill time and latency objectives.
//!
//! The request rate is the larger of two decaying rates: the fast one follows sudden demand, the
//! slow one bridges the gaps between rare requests.

use crate::decaying_rate::DecayingRate;
use corianderstand_derives::derives;
use corianderstand_types::names;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Demand moves from one model to the next within 4 to 6 s.
const FAST_WINDOW: Duration = Duration::from_secs(2);
/// Time by which the rate of requests follows a rise late.
pub const RATE_LAG: Duration = FAST_WINDOW;
/// The rate of a model that is requested every two seconds then varies by a quarter.
const SLOW_WINDOW: Duration = Duration::from_secs(12);
/// Prefill time per prompt token that is assumed until one is observed: 38 tokens in a millisecond.
pub const DEFAULT_PREFILL_S_PER_TOKEN: f64 = 26e-6;
/// Time to the first event that is not spent on prefill: a network round trip and a decode step.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(7);
/// Shorter prompts tell little of the time to read one.
const MIN_PROMPT_TOKENS: u64 = 250;
/// Smoothing factor for a decreasing prefill estimate; the least of some ten requests is followed.
const DECREASE_SMOOTHING: f64 = 0.3;
/// Smoothing factor for an increasing prefill estimate, which may include other requests' prefill.
const INCREASE_SMOOTHING: f64 = 0.03;
const OBJECTIVE_SMOOTHING: f64 = 0.2;
/// Request rate below which a model is dropped.
const MIN_REQUESTS_PER_S: f64 = 0.004;

#[derive(Clone, Copy, Debug)]
struct ModelRates {
    fast_requests: DecayingRate,
    slow_requests: DecayingRate,
    adapter_requests: DecayingRate,
    prompt_tokens: DecayingRate,
    prefill_s_per_token: f64,
    latency_objective: Duration,
}

/// Properties of a request that determine its resource use.
#[derives(data)]
#[derive(Copy)]
pub struct RequestProfile {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Whether the request uses an adapter.
    pub uses_adapter: bool,
    /// Objective for the time to the first event.
    pub latency_objective: Duration,
}

/// Demand for one model.
#[derives(data)]
#[derive(Copy, Default)]
pub struct ModelDemand {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Requests per second that use an adapter.
    pub adapter_requests_per_s: f64,
    /// Prompt tokens per second.
    pub prompt_tokens_per_s: f64,
    /// Prefill time per prompt token, in seconds; 0 if unknown.
    pub prefill_s_per_token: f64,
    /// Typical objective for the time to the first event.
    pub latency_objective: Duration,
}

impl ModelDemand {
    /// Combines the demand at two routers.
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

/// Tracks the demand for each model.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    rates: BTreeMap<names::ModelId, ModelRates>,
}

impl Demand {
    /// Records the arrival of a request.
    pub fn record_request(
        &mut self,
        now: Instant,
        model: &names::ModelId,
        profile: RequestProfile,
    ) {
        let RequestProfile { prompt_tokens, uses_adapter, latency_objective } = profile;
        let none = DecayingRate::new(now);
        let initial = ModelRates {
            fast_requests: none,
            slow_requests: none,
            adapter_requests: none,
            prompt_tokens: none,
            prefill_s_per_token: 0.0,
            latency_objective,
        };
        let rates = match self.rates.get_mut(model) {
            Some(rates) => rates,
            None => self.rates.entry(model.clone()).or_insert(initial),
        };
        rates.fast_requests.add(now, FAST_WINDOW, 1.0);
        rates.slow_requests.add(now, SLOW_WINDOW, 1.0);
        rates.prompt_tokens.add(now, FAST_WINDOW, prompt_tokens as f64);
        if uses_adapter {
            rates.adapter_requests.add(now, FAST_WINDOW, 1.0);
        }
        rates.latency_objective = rates.latency_objective.mul_f64(1.0 - OBJECTIVE_SMOOTHING)
            + latency_objective.mul_f64(OBJECTIVE_SMOOTHING);
    }

    /// Updates the prefill estimate from the time to the first event, if the engine had capacity.
    /// Shorter times weigh more, because longer ones may include the prefill of other requests.
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

    /// Returns the current demand for a model.
    pub fn model_demand(&self, now: Instant, model: &names::ModelId) -> ModelDemand {
        self.rates.get(model).map_or_else(ModelDemand::default, |rates| rates.demand(now))
    }

    /// Returns all models with demand and removes the others.
    pub fn active_models(&mut self, now: Instant) -> Vec<(names::ModelId, ModelDemand)> {
        self.rates.retain(|_, rates| rates.demand(now).requests_per_s >= MIN_REQUESTS_PER_S);
        self.rates.iter().map(|(model, rates)| (model.clone(), rates.demand(now))).collect()
    }
}

impl ModelRates {
    fn demand(&self, now: Instant) -> ModelDemand {
        ModelDemand {
            requests_per_s: self
                .fast_requests
                .value(now, FAST_WINDOW)
                .max(self.slow_requests.value(now, SLOW_WINDOW)),
            adapter_requests_per_s: self.adapter_requests.value(now, FAST_WINDOW),
            prompt_tokens_per_s: self.prompt_tokens.value(now, FAST_WINDOW),
            prefill_s_per_token: self.prefill_s_per_token,
            latency_objective: self.latency_objective,
        }
    }
}
