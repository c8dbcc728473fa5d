//! What requests for a model gain and lose by where it is, in requests.

use crate::{counts, demand, snapshot::ModelView};
use std::time::Duration;

/// Requests a second that a model without any counts as, so that models come to engines before
/// anybody asks. Far below one request in ten seconds, so that a model that is asked for is worth
/// more.
pub const MIN_REQUESTS_PER_S: f64 = 0.01;
/// Time over which gains and losses are counted, in seconds. Demand moves on within some ten
/// seconds.
pub const HORIZON_S: f64 = 10.0;
/// What a request loses when its model has to be loaded first although it could have been there in
/// time: engines carry out one order at a time and wait for runs to end, so that many such loads
/// come too late.
const RELAXED_MISS_COST: f64 = 0.7;
/// What a request loses when its model comes too late for its aim: it is served late.
const URGENT_MISS_COST: f64 = 1.0;
/// Misses that a model which leaves its last engine has before it is back: its first requests come
/// together while it is loaded anew.
const MISSES_PER_ABSENCE: f64 = 2.0;
/// Time from a request for a model that is on no engine to its load: telling the planner, dropping
/// another model.
pub const DECISION_LATENCY: Duration = Duration::from_millis(250);
/// What a request loses when its stream pauses for too long.
const PAUSE_COST: f64 = 0.7;
/// Of the streams on an engine that spends a part of its time on reading prompts, this many times
/// the square of that part pause for too long: two long prompts at once make a pause, and one in
/// twenty paused at 0.2, one in three at 0.5.
const PAUSE_FACTOR: f64 = 1.4;
/// Part of a batch that one replica is meant to work at. Beyond it steps grow slower and a burst of
/// twice the usual finds no room.
const TARGET_BATCH_RATIO: f64 = 0.5;
/// Load at which an engine's batch or its adapter places count as much as half of its time spent on
/// reading prompts.
const SLOT_UTILIZATION_WEIGHT: f64 = 0.5;
/// Time for which a request keeps an adapter's place: its run of 0.3 to 2 s and the time for which
/// an agent leaves an adapter alone.
const ADAPTER_RESIDENCY_S: f64 = 1.3;
/// Part of the adapter places that is meant to be in use; the rest is room for the next one.
const TARGET_ADAPTER_RATIO: f64 = 0.8;

/// What is lost within [`HORIZON_S`], in requests, when the model is on no engine: the same whether
/// it leaves or comes, so that a model that has just left does not push out the next one at once.
pub fn absence_cost(model: &ModelView) -> f64 {
    MISSES_PER_ABSENCE
        * (1.0 - (-expected_requests(model) / MISSES_PER_ABSENCE).exp())
        * miss_cost(model)
}

/// Requests within [`HORIZON_S`].
pub fn expected_requests(model: &ModelView) -> f64 {
    model.demand.requests_per_s.max(MIN_REQUESTS_PER_S) * HORIZON_S
}

/// What one request loses when the model is on no engine: little if it is loaded within the aim.
pub fn miss_cost(model: &ModelView) -> f64 {
    let ready_in = model.spec.load_from_disk + DECISION_LATENCY;
    if ready_in < model.demand.latency_objective { RELAXED_MISS_COST } else { URGENT_MISS_COST }
}

/// A model's load, in engines that spend all of their time on its prompts.
pub fn utilization(counts: &counts::FleetCounts, model: &ModelView) -> f64 {
    let running = counts.running(&model.spec.name);
    let batches =
        f64::from(running + model.waiting) / (f64::from(counts.slots) * TARGET_BATCH_RATIO);
    let adapter_slots = counts.adapter_slots as f64 * TARGET_ADAPTER_RATIO;
    let adapters = model.demand.adapter_requests_per_s * ADAPTER_RESIDENCY_S / adapter_slots;
    prefill_utilization(model).max(batches.max(adapters) * SLOT_UTILIZATION_WEIGHT)
}

/// Engines that reading the model's prompts keeps busy.
pub fn prefill_utilization(model: &ModelView) -> f64 {
    let estimate = model.demand.prefill_s_per_token;
    let s_per_token = if estimate > 0.0 { estimate } else { demand::DEFAULT_PREFILL_S_PER_TOKEN };
    model.demand.prompt_tokens_per_s * s_per_token
}

/// What a request loses on an engine at a load: its stream pauses for too long, or, beyond what the
/// engine can do, it finds no room. It has to rise for ever: where one more replica of many that are
/// missing seems to gain nothing, none is ever added.
pub fn overload_cost(utilization: f64) -> f64 {
    let pause_probability = PAUSE_FACTOR * utilization * utilization;
    if pause_probability < 1.0 {
        return PAUSE_COST * pause_probability;
    }
    let served_ratio = (1.0 / PAUSE_FACTOR).sqrt() / utilization;
    PAUSE_COST * served_ratio + (1.0 - served_ratio)
}
