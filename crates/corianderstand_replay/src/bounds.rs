//! Theoretical bounds that no scheduling strategy can beat.

use crate::{
    outcome::IDLE_GAP,
    trace::{Trace, TraceEvent},
};
use corianderstand_types::names::ModelId;
use std::{collections::BTreeMap, time::Duration};

/// Lower bound on the worst load wait under the weight store's limits, if all models start cold.
///
/// For every interval between two first calls, the last load waits until the store has finished
/// all loads requested in it.
pub fn store_wait(trace: &Trace) -> Duration {
    let first_calls = first_calls_by_model(trace);
    let store = trace.header.store;
    let mut bound = Duration::ZERO;
    for (index, (from, _)) in first_calls.iter().enumerate() {
        let mut total_load_time = Duration::ZERO;
        for (count, (until, load)) in first_calls[index..].iter().enumerate() {
            total_load_time += *load;
            let store_done = *from + total_load_time / store.concurrent;
            let rate_limited_done =
                *from + Duration::from_secs(1) / store.per_second * count as u32 + *load;
            bound = bound.max(store_done.max(rate_limited_done).saturating_sub(*until)).max(*load);
        }
    }
    bound
}

/// First call time and load time of each model, by time.
fn first_calls_by_model(trace: &Trace) -> Vec<(Duration, Duration)> {
    let mut first_calls: BTreeMap<&ModelId, Duration> = BTreeMap::new();
    for line in &trace.lines {
        if let TraceEvent::Call(call) = &line.event {
            first_calls.entry(&call.model).or_insert(Duration::from_millis(line.at_ms));
        }
    }
    let load = |model: &ModelId| {
        let spec = trace.header.models.iter().find(|spec| spec.name == *model);
        spec.map_or(Duration::ZERO, |spec| Duration::from_millis(spec.load_ms))
    };
    let mut first_calls: Vec<_> =
        first_calls.into_iter().map(|(model, at)| (at, load(model))).collect();
    first_calls.sort_unstable();
    first_calls
}

/// Minimum idle accelerator hours for a number of cold wakes, with all calls known ahead.
///
/// Unloads the one replica of each model over the longest gaps between calls.
pub fn clairvoyant_idle_hours(trace: &Trace, cold_wakes: usize) -> f64 {
    let mut gaps: Vec<(f64, Duration)> = Vec::new();
    let mut last_ends: BTreeMap<&ModelId, Duration> = BTreeMap::new();
    for line in &trace.lines {
        let TraceEvent::Call(call) = &line.event else { continue };
        let at = Duration::from_millis(line.at_ms);
        let end = at + Duration::from_millis(call.tokens * token_ms(trace, &call.model));
        let last_end = last_ends.get(&call.model).copied();
        last_ends.insert(&call.model, last_end.map_or(end, |last_end| last_end.max(end)));
        if let Some(last_end) = last_end {
            let gap = at.saturating_sub(last_end);
            gaps.push((
                gap.as_secs_f64() / 3600.0 * accelerators_per_replica(trace, &call.model),
                gap,
            ));
        }
    }
    let allowed_unloads = cold_wakes.saturating_sub(last_ends.len());
    gaps.sort_by(|a, b| b.0.total_cmp(&a.0));
    let (wakes, short): (Vec<_>, Vec<_>) = gaps.into_iter().partition(|(_, gap)| *gap >= IDLE_GAP);
    let loaded_gaps = wakes.iter().skip(allowed_unloads).chain(&short);
    loaded_gaps.map(|(hours, _)| hours).sum()
}

fn token_ms(trace: &Trace, model: &ModelId) -> u64 {
    let spec = trace.header.models.iter().find(|spec| spec.name == *model);
    spec.map_or(0, |spec| spec.token_ms)
}

fn accelerators_per_replica(trace: &Trace, model: &ModelId) -> f64 {
    let spec = trace.header.models.iter().find(|spec| spec.name == *model);
    let engine = &trace.header.engines[0];
    let memory = spec.map_or(0, |spec| spec.memory_mib) as f64;
    memory / engine.memory_mib as f64 * f64::from(engine.accelerators)
}
