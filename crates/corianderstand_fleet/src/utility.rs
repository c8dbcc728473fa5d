//! Utilities and costs of placements, in requests.

use crate::{counts, demand, snapshot::ModelView};
use std::time::Duration;

/// Minimum request rate assumed for a model, so that models without requests are placed as well. Far below
/// one request in ten seconds, so that a model that is requested is worth more.
pub const MIN_REQUESTS_PER_S: f64 = 0.01;
pub const HORIZON_S: f64 = 10.0;
/// Cost of a request that waits for a load which could meet its latency objective.
const RELAXED_MISS_COST: f64 = 0.7;
/// Cost of a request whose model can't be loaded within its latency objective.
const URGENT_MISS_COST: f64 = 1.0;
/// Maximum number of late requests from a model's last eviction until it is loaded again.
const MISSES_PER_ABSENCE: f64 = 2.0;
/// Time from a request for an absent model until its load starts.
pub const DECISION_LATENCY: Duration = Duration::from_millis(250);
const PAUSE_COST: f64 = 0.7;
/// Cost per request on an engine whose places are just all taken: some wait for one.
const FULL_COST: f64 = 0.35;
/// Probability that a stream pauses too long, relative to the squared prefill utilization: one in twenty
/// pauses at 0.2, one in three at 0.5.
const PAUSE_FACTOR: f64 = 1.4;
/// Ratio of an engine's batch slots that the planner aims to use.
const TARGET_BATCH_RATIO: f64 = 0.5;
/// Weight of batch and adapter slot occupancy relative to prefill utilization.
const SLOT_UTILIZATION_WEIGHT: f64 = 0.5;
/// Time for which a request occupies an adapter slot: its run and the minimum adapter residency.
const ADAPTER_RESIDENCY_S: f64 = 1.3;
const TARGET_ADAPTER_RATIO: f64 = 0.8;

/// Returns the cost within [`HORIZON_S`], in requests, of having the model on no engine.
pub fn absence_cost(model: &ModelView) -> f64 {
    MISSES_PER_ABSENCE
        * (1.0 - (-expected_requests(model) / MISSES_PER_ABSENCE).exp())
        * miss_cost(model)
}

pub fn expected_requests(model: &ModelView) -> f64 {
    model.demand.requests_per_s.max(MIN_REQUESTS_PER_S) * HORIZON_S
}

pub fn miss_cost(model: &ModelView) -> f64 {
    let ready_in = model.spec.load_from_disk + DECISION_LATENCY;
    if ready_in < model.demand.latency_objective { RELAXED_MISS_COST } else { URGENT_MISS_COST }
}

/// Returns the model's load as a number of fully utilized engines.
pub fn utilization(counts: &counts::FleetCounts, model: &ModelView) -> f64 {
    let requests = f64::from(counts.running(&model.spec.name) + model.waiting);
    prefill_utilization(model).max(slot_utilization(counts, model, requests))
}

/// Returns the use of batch and adapter slots by running and waiting requests, as a number of fully utilized engines.
pub fn slot_utilization(counts: &counts::FleetCounts, model: &ModelView, requests: f64) -> f64 {
    let batches = requests / (f64::from(counts.min_batch_slots) * TARGET_BATCH_RATIO);
    let adapter_slots = counts.min_adapter_slots as f64 * TARGET_ADAPTER_RATIO;
    let adapters = model.demand.adapter_requests_per_s * ADAPTER_RESIDENCY_S / adapter_slots;
    batches.max(adapters) * SLOT_UTILIZATION_WEIGHT
}

pub fn prefill_utilization(model: &ModelView) -> f64 {
    let estimate = model.demand.prefill_s_per_token;
    let s_per_token = if estimate > 0.0 { estimate } else { demand::DEFAULT_PREFILL_S_PER_TOKEN };
    model.demand.prompt_tokens_per_s * s_per_token
}

/// Returns the cost per request on an engine at this utilization, from streams that pause and
/// requests that are refused. Strictly increasing, so that another replica always has utility.
pub fn overload_cost(utilization: f64) -> f64 {
    let pause_probability = PAUSE_FACTOR * utilization * utilization;
    if pause_probability < 1.0 {
        return PAUSE_COST * pause_probability;
    }
    let served_ratio = (1.0 / PAUSE_FACTOR).sqrt() / utilization;
    PAUSE_COST * served_ratio + (1.0 - served_ratio)
}

/// Returns the cost per request where this part of an engine's places is asked for: few are late until they are nearly
/// all taken, and beyond that those that find no place are refused.
pub fn queue_cost(utilization: f64) -> f64 {
    match utilization < 1.0 {
        true => FULL_COST * utilization.powi(3),
        false => 1.0 - (1.0 - FULL_COST) / utilization,
    }
}
