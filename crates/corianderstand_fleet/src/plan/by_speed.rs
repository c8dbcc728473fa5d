//! Placement by the speed of engines and by forecast demand.
//!
//! A model's replicas are worth the speed of their engines, less what other models use there. Absent models and further
//! replicas compete for the engines' command time by utility; the loss of an evicted replica is the utility of placing
//! it again, so that two models don't evict each other by turns.

use super::{DemandCause, Placement, Planner, RUNNING_REQUEST_COST, UTILITY_MARGIN};
use crate::{capacity, counts, decaying_rate, snapshot, utility};
use corianderstand_types::names;
use std::time::{Duration, Instant};

/// Ratio by which a placement's utility must exceed the cost of its evictions.
const UTILITY_RATIO: f64 = 1.25;
/// Cost, in requests, of a place on an engine of usual speed: of two engines that are as good for a model, the slower
/// one is used.
const SPEED_COST: f64 = 0.05;
/// Utility, relative to the model's requests, of a replica that is only needed after a crash.
const SPARE_REPLICA_UTILITY: f64 = super::SPARE_REPLICA_UTILITY;
/// Candidates for which a load from the weight store is weighed in one plan: these are weighed on all engines.
const MAX_STORE_CANDIDATES: usize = 12;

/// A model that may be given a replica.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    model: &'a snapshot::ModelView,
    cause: DemandCause,
    /// Utility within [`utility::HORIZON_S`], in requests, on an engine of usual speed.
    utility: f64,
}

/// What a plan is computed from.
struct Input<'a> {
    now: Instant,
    engines: &'a [snapshot::EngineView],
    models: &'a snapshot::Models,
}

/// A placement, and what it is worth.
struct Weighed {
    placement: Placement,
    utility: f64,
    /// Quality of service at this engine, as a cost.
    service_cost: f64,
}

/// Places models on engines and records the placements in the plan.
pub(super) fn place(
    planner: &mut Planner,
    now: Instant,
    engines: &[snapshot::EngineView],
    models: &snapshot::Models,
) {
    let input = Input { now, engines, models };
    let mut counts = counts::FleetCounts::of_engines(engines, models, &planner.desired);
    planner.forecast.observe(now, models, |name| {
        models.get(name).map_or(Duration::ZERO, |view| counts.fastest_load(engines, &view.spec))
    });
    let growth = |name: &names::ModelId| planner.forecast.growth(name);
    let mut capacity = capacity::Capacity::new(engines, models, &planner.desired, &counts, growth);
    let mut store_candidates = 0;
    for candidate in ranked_candidates(&input, &counts, &capacity) {
        let Some(weighed) =
            choose(planner, &input, &counts, &capacity, &candidate, &mut store_candidates)
        else {
            continue;
        };
        let name = &candidate.model.spec.name;
        let Weighed { placement, utility, .. } = weighed;
        counts.store_loads += u32::from(placement.from_store);
        capacity.record(placement.engine_index, name, &placement.victims);
        planner.store_starts.extend(placement.from_store.then_some(now));
        planner.apply(now, engines, &placement, name);
        let engine = &engines[placement.engine_index];
        planner.placed.push(super::Placed {
            engine: engine.key,
            model: name.clone(),
            evicted: placement.victims,
            utility,
            speed: capacity.speed(placement.engine_index),
            growth: planner.forecast.growth(name),
            source: snapshot::WeightSource::of(engine, name),
        });
        if candidate.cause == DemandCause::Absent {
            let swaps =
                planner.swap_utility.get_or_insert_with(|| decaying_rate::DecayingRate::new(now));
            swaps.add(now, super::SWAP_WINDOW, candidate.utility);
        }
    }
}

/// Candidates by utility per second of command time, the most useful first.
fn ranked_candidates<'a>(
    input: &Input<'a>,
    counts: &counts::FleetCounts,
    capacity: &capacity::Capacity,
) -> Vec<Candidate<'a>> {
    let ranked = input.models.values().filter_map(|model| {
        let load_time = counts.fastest_load(input.engines, &model.spec);
        let candidate = candidate(capacity, model, load_time)?;
        let command_time = load_time + utility::DECISION_LATENCY;
        Some((candidate.utility / command_time.as_secs_f64(), candidate))
    });
    let mut ranked: Vec<(f64, Candidate)> = ranked.collect();
    ranked.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}

fn candidate<'a>(
    capacity: &capacity::Capacity,
    model: &'a snapshot::ModelView,
    load_time: Duration,
) -> Option<Candidate<'a>> {
    let name = &model.spec.name;
    if capacity.replicas(name) == 0 {
        let utility = f64::from(model.waiting) + absence_cost(capacity, model, load_time);
        return Some(Candidate { model, cause: DemandCause::Absent, utility });
    }
    let utility = capacity.replica_utility(name, 1.0);
    let is_useful = utility > super::MIN_REPLICA_UTILITY;
    is_useful.then_some(Candidate { model, cause: DemandCause::Load, utility })
}

/// Cost within [`utility::HORIZON_S`], in requests, of having a model on no engine: it is loaded again on its next
/// request, but all that come until it is ready are late.
fn absence_cost(
    capacity: &capacity::Capacity,
    model: &snapshot::ModelView,
    load_time: Duration,
) -> f64 {
    let expected = capacity.expected_requests(&model.spec.name);
    let ready_in = (load_time + utility::DECISION_LATENCY).as_secs_f64();
    let until_ready = expected * (ready_in / utility::HORIZON_S).min(1.0);
    utility::absence_cost(model).max(until_ready * utility::miss_cost(model))
}

fn choose(
    planner: &Planner,
    input: &Input,
    counts: &counts::FleetCounts,
    capacity: &capacity::Capacity,
    candidate: &Candidate,
    store_candidates: &mut usize,
) -> Option<Weighed> {
    let name = &candidate.model.spec.name;
    let weighed_on = |index: usize| weigh(planner, input, counts, capacity, candidate, index);
    let cached_on = counts.engines_with_cached_weights(name).iter().copied();
    let mut best = best(candidate, cached_on.filter_map(weighed_on));
    let store_time = planner.store_load_time(&candidate.model.spec);
    let is_slower = best.as_ref().is_none_or(|best| best.placement.ready_in > store_time);
    if is_slower
        && *store_candidates < MAX_STORE_CANDIDATES
        && planner.may_load_from_store(input.now, counts, candidate.model)
    {
        *store_candidates += 1;
        let cached = best.into_iter();
        best = self::best(candidate, cached.chain((0..input.engines.len()).filter_map(weighed_on)));
    }
    best.filter(|weighed| !weighed.placement.is_deferred)
}

/// The placement with the least cost until the model is ready and from then on.
fn best(candidate: &Candidate, weighed: impl Iterator<Item = Weighed>) -> Option<Weighed> {
    let rate = f64::from(candidate.model.waiting)
        + candidate.model.demand.requests_per_s.max(utility::MIN_REQUESTS_PER_S);
    let total = |weighed: &Weighed| {
        rate * weighed.placement.ready_in.as_secs_f64()
            + weighed.placement.cost
            + weighed.service_cost
    };
    weighed.min_by(|a, b| total(a).total_cmp(&total(b)))
}

/// Weighs a placement on one engine; none if it isn't worth its cost.
fn weigh(
    planner: &Planner,
    input: &Input,
    counts: &counts::FleetCounts,
    capacity: &capacity::Capacity,
    candidate: &Candidate,
    index: usize,
) -> Option<Weighed> {
    let engine = &input.engines[index];
    let name = &candidate.model.spec.name;
    let is_open = engine.accepts_commands
        && capacity.counts(index)
        && engine.request_limit.is_none()
        && !planner.desired[&engine.key].contains(name);
    if !is_open {
        return None;
    }
    let mut placement = with_evictions(planner, input, counts, capacity, candidate, index)?;
    if !placement.victims.is_empty() && planner.warm_up_until.is_some_and(|until| input.now < until)
    {
        return None;
    }
    let victims: Vec<&names::ModelId> = placement.victims.iter().collect();
    let share = capacity.share(index, name, &victims);
    placement.cost += share.interference + SPEED_COST * capacity.speed(index);
    let (utility, service_cost) = match candidate.cause {
        DemandCause::Absent => (candidate.utility, capacity.single_replica_cost(name, share.worth)),
        DemandCause::Load => {
            // A load blocks the engine's other commands, so an additional replica is charged the utility of the
            // absent models that could be placed instead.
            let ready_in = placement.ready_in.as_secs_f64();
            placement.cost += planner.command_utility_per_s(input.now, counts) * ready_in;
            // Demand that has lasted is likely to last as long again.
            let lasted = planner.forecast.lasted(input.now, name);
            let lasting = (super::REPLICA_UTILITY_DECAY + lasted).as_secs_f64();
            let decay = (-ready_in / lasting).exp();
            let utility = capacity.replica_utility(name, share.worth);
            (utility * decay, -utility)
        }
    };
    let is_free = placement.victims.is_empty() && candidate.cause == DemandCause::Absent;
    let is_worth_it = utility > placement.cost * UTILITY_RATIO + UTILITY_MARGIN;
    (is_free || is_worth_it).then_some(Weighed { placement, utility, service_cost })
}

/// A placement on one engine, with the models to evict for it.
fn with_evictions(
    planner: &Planner,
    input: &Input,
    counts: &counts::FleetCounts,
    capacity: &capacity::Capacity,
    candidate: &Candidate,
    index: usize,
) -> Option<Placement> {
    let engine = &input.engines[index];
    let spec = &candidate.model.spec;
    let until_settled = planner.time_until_settled(input.now, engine, input.models);
    let (load_time, from_store) = snapshot::load_source(engine, spec);
    let load_time = if from_store { planner.store_load_time(spec) } else { load_time };
    let mut placement = Placement {
        engine_index: index,
        victims: Vec::new(),
        is_deferred: !until_settled.is_zero(),
        ready_in: until_settled + load_time,
        from_store,
        cost: 0.0,
    };
    let desired = &planner.desired[&engine.key];
    let size =
        |name: &names::ModelId| input.models.get(name).map_or(0, |view| view.spec.weights_mb);
    let mut used: u64 = desired.iter().map(size).sum();
    if used + spec.weights_mb <= engine.weights_mb {
        return Some(placement);
    }
    let mut others: Vec<(f64, &names::ModelId)> = desired
        .iter()
        .filter(|name| planner.is_evictable(input.now, engine.key, name))
        .filter_map(|name| {
            let view = input.models.get(name)?;
            Some((eviction_cost(input, counts, capacity, candidate.cause, index, view), name))
        })
        .collect();
    others.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (cost, name) in others {
        used -= size(name);
        placement.cost += cost;
        placement.victims.push(name.clone());
        if engine.running.get(name).is_some_and(|&running| running > 0) {
            placement.ready_in += super::EXPECTED_RUN_TIME;
        }
        if used + spec.weights_mb <= engine.weights_mb {
            return Some(placement);
        }
    }
    None
}

/// Cost within [`utility::HORIZON_S`], in requests, of evicting a model from an engine.
fn eviction_cost(
    input: &Input,
    counts: &counts::FleetCounts,
    capacity: &capacity::Capacity,
    cause: DemandCause,
    index: usize,
    model: &snapshot::ModelView,
) -> f64 {
    let name = &model.spec.name;
    let running = input.engines[index].running.get(name).copied().unwrap_or(0);
    let running = f64::from(running.min(2)) * RUNNING_REQUEST_COST;
    let expected = capacity.expected_requests(name);
    let others = capacity.replicas(name).saturating_sub(usize::from(capacity.counts(index)));
    if others == 0 {
        let absence = match cause {
            DemandCause::Absent => {
                absence_cost(capacity, model, counts.fastest_load(input.engines, &model.spec))
            }
            DemandCause::Load => expected * utility::miss_cost(model),
        };
        return f64::from(model.waiting) + absence + running;
    }
    let spare = expected * SPARE_REPLICA_UTILITY / others as f64;
    capacity.replica_loss(index, name) + spare + running
}
