//! Which engine holds which models.
//!
//! The load it is made for: about as many models as there are places for them, most of them asked
//! for now and then, a few asked for all the time, and these few change within seconds. The harm it
//! prevents: requests that wait six seconds and more for the weight store while an engine holds a
//! model that nobody asks for, or a second copy of one that needs none. What is asked for and on no
//! engine comes first; it takes the place of a copy that is not needed or of the model that is
//! missed least, on the engine where it is there soonest.
//!
//! A plan is what each engine should hold. Agents carry it out, one order at a time, and may hold
//! more than it says; only what stands in the way of something wanted is dropped. So a plan that is
//! late, lost or made twice from different knowledge costs a load and breaks nothing.

use crate::{counts, decaying_rate, snapshot, store_concurrency, targets, utility};
use corianderstand_types::names;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// A replica beyond those needed is worth this much, as a part of the model's requests: it is there
/// when an engine crashes, which a few in a hundred do within [`utility::HORIZON_S`].
const SPARE_REPLICA_UTILITY: f64 = 0.02;
/// A model with requests at the engine is dropped only when they have ended; until then the engine
/// takes no other order. Each of up to two counts as this many requests.
const RUNNING_REQUEST_COST: f64 = 0.9;
/// Time over which it is counted what placing absent models gains: some ten of them.
const SWAP_WINDOW: Duration = Duration::from_secs(4);
/// A replica that gains less than this many requests is not worth an order.
const MIN_REPLICA_UTILITY: f64 = 0.5;
/// Gain has to exceed the loss by this many requests: rates are known to a third, and without a
/// margin two models would take turns.
const UTILITY_MARGIN: f64 = 0.3;
/// A model stays this long before another may take its place; a swap costs a second of serving
/// neither.
const MIN_RESIDENCY: Duration = Duration::from_millis(1_200);
/// Time of a run that an unload has to wait for: some 300 tokens at 5 ms.
const EXPECTED_RUN: Duration = Duration::from_millis(1_400);
/// What a replica gains fades with the time until it is there, as demand moves on: two fifths are left
/// after the six seconds of a small deployment's weight store, an eighth after the 13 of a large one's.
/// It must not end: where it did after ten seconds, models that had become busy stayed on three
/// overloaded engines for as long as they were busy, and half of their callers were refused.
const REPLICA_UTILITY_DECAY: Duration = Duration::from_millis(6_500);
/// A planner in a process that has just started knows little of what is asked for, and of models that nobody
/// seems to ask for all are worth the same: within this time it drops none. By then a model that is asked
/// for once a second has mostly been seen.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// The planner: the last plan, and what it has learnt of the weight store.
#[derive(Debug, Default)]
pub struct Planner {
    desired: HashMap<targets::TargetKey, Vec<names::ModelId>>,
    placed_at: HashMap<(targets::TargetKey, names::ModelId), Instant>,
    store: store_concurrency::StoreConcurrency,
    /// Until then it learns what is asked for.
    warm_up_until: Option<Instant>,
    /// What placing absent models gained, in requests.
    swap_utility: Option<decaying_rate::DecayingRate>,
}

/// Why a model should get one more place.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Cause {
    /// It has none: it takes turns with the others for the places that there are.
    Absent,
    /// Its load wants one more: there is one place less for the others from then on.
    Load,
}

/// A model that should get one more place.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    model: &'a snapshot::ModelView,
    cause: Cause,
    /// What that gains within [`utility::HORIZON_S`], in requests.
    utility: f64,
}

/// A place for a model on an engine, and what has to go for it.
#[derive(Clone, Debug)]
struct Placement {
    engine_index: usize,
    victims: Vec<names::ModelId>,
    /// The engine is carrying out something else first.
    deferred: bool,
    ready_in: Duration,
    from_store: bool,
    cost: f64,
}

impl Planner {
    /// A planner in a process that starts now.
    pub fn starting(now: Instant) -> Self {
        Self { warm_up_until: Some(now + WARM_UP), ..Self::default() }
    }

    /// What each engine should hold, made anew from what is known now.
    pub fn plan(
        &mut self,
        now: Instant,
        engines: &[snapshot::EngineView],
        models: &snapshot::Models,
    ) -> &HashMap<targets::TargetKey, Vec<names::ModelId>> {
        self.store.observe(now, engines, models);
        self.adopt_holdings(now, engines, models);
        let mut counts = counts::FleetCounts::new(engines, models, &self.desired);
        // Engines carry out one order at a time, so what counts is what an order gains for the time
        // that it takes: a model that is on a disk goes before one of like gain that takes an engine
        // six seconds. After a power cut engines had begun such loads for models that nobody asked
        // for, while the busy ones, on their disks, waited behind them.
        let ranked = models.values().filter_map(|model| {
            let candidate = candidate(&counts, model)?;
            let command_time =
                counts.fastest_load(engines, &model.spec) + utility::DECISION_LATENCY;
            Some((candidate.utility / command_time.as_secs_f64(), candidate))
        });
        // Models come by name, and those that gain alike stay in this order.
        let mut candidates: Vec<(f64, Candidate)> = ranked.collect();
        candidates.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        for (_, candidate) in candidates {
            if let Some(placement) =
                self.choose_placement(now, engines, models, &counts, &candidate)
            {
                let model = &candidate.model.spec.name;
                counts.record_placement(model, &placement.victims, placement.from_store);
                self.apply(now, engines, &placement, model);
                if candidate.cause == Cause::Absent {
                    let swaps = self
                        .swap_utility
                        .get_or_insert_with(|| decaying_rate::DecayingRate::new(now));
                    swaps.add(now, SWAP_WINDOW, candidate.utility);
                }
            }
        }
        &self.desired
    }

    /// Starts from what engines hold and are loading, so that a new planner changes nothing that
    /// needs no change.
    fn adopt_holdings(
        &mut self,
        now: Instant,
        engines: &[snapshot::EngineView],
        models: &snapshot::Models,
    ) {
        self.desired.retain(|key, _| engines.iter().any(|engine| engine.key == *key));
        self.placed_at.retain(|(key, _), _| engines.iter().any(|engine| engine.key == *key));
        for engine in engines {
            let desired = self.desired.entry(engine.key).or_default();
            desired.retain(|name| models.contains_key(name));
            let loading = match &engine.ongoing {
                Some(targets::Ongoing::Loading { model, .. }) => Some(model),
                _ => None,
            };
            let resident = engine.holdings.resident.iter().map(|resident| &resident.model);
            for model in resident.chain(loading) {
                let Some(view) = models.get(model) else { continue };
                let used: u64 = desired.iter().map(|name| models[name].spec.weights_mb).sum();
                if !desired.contains(model) && used + view.spec.weights_mb <= engine.weights_mb {
                    desired.push(model.clone());
                }
            }
            // Its stay begins when it is there, not when its load was planned.
            for model in desired.iter().filter(|name| engine.holdings.resident(name).is_none()) {
                self.placed_at.insert((engine.key, model.clone()), now);
            }
        }
    }

    fn choose_placement(
        &self,
        now: Instant,
        engines: &[snapshot::EngineView],
        models: &snapshot::Models,
        counts: &counts::FleetCounts,
        candidate: &Candidate,
    ) -> Option<Placement> {
        let name = &candidate.model.spec.name;
        let on = |index: usize| {
            let engine = &engines[index];
            let free = engine.accepts_commands && !self.desired[&engine.key].contains(name);
            free.then(|| self.placement_on(now, engine, index, models, counts, candidate)).flatten()
        };
        // A copy on some engine's disk is there in a second, also if that engine has to end another
        // order first; the store takes six, and serves few at once.
        let mut placements: Vec<Placement> =
            counts.engines_with_cached_weights(name).iter().copied().filter_map(on).collect();
        if placements.is_empty() {
            if counts.store_loads >= self.store.limit {
                return None;
            }
            placements = (0..engines.len()).filter_map(on).collect();
        }
        if candidate.cause == Cause::Load {
            // An engine that loads carries out no other order, and six seconds of one are worth more
            // than most replicas gain while models take turns for places. Not charged for them, a
            // replica makes engines load one busy model from the weight store at once, and rare
            // models are refused meanwhile.
            let utility_per_s = self.command_utility_per_s(now, counts);
            for placement in &mut placements {
                placement.cost += utility_per_s * placement.ready_in.as_secs_f64();
            }
        }
        if self.warm_up_until.is_some_and(|until| now < until) {
            placements.retain(|placement| placement.victims.is_empty());
        }
        let decay = |placement: &Placement| match candidate.cause {
            Cause::Load => {
                (-placement.ready_in.as_secs_f64() / REPLICA_UTILITY_DECAY.as_secs_f64()).exp()
            }
            Cause::Absent => 1.0,
        };
        placements.retain(|placement| {
            let free = placement.victims.is_empty() && candidate.cause == Cause::Absent;
            free || candidate.utility * decay(placement) > placement.cost + UTILITY_MARGIN
        });
        // While it is on its way, its requests wait or are refused.
        let rate = f64::from(candidate.model.waiting)
            + candidate.model.demand.requests_per_s.max(utility::MIN_REQUESTS_PER_S);
        let total_cost =
            |placement: &Placement| rate * placement.ready_in.as_secs_f64() + placement.cost;
        let best = placements.into_iter().min_by(|a, b| total_cost(a).total_cmp(&total_cost(b)))?;
        (!best.deferred).then_some(best)
    }

    /// What one engine's orders for absent models gain a second, in requests.
    fn command_utility_per_s(&self, now: Instant, counts: &counts::FleetCounts) -> f64 {
        let utility = self.swap_utility.map_or(0.0, |swaps| swaps.value(now, SWAP_WINDOW));
        utility / counts.commandable_engines.max(1) as f64
    }

    /// Time until the engine holds all that it should, and can be given another order.
    fn time_until_settled(
        &self,
        now: Instant,
        engine: &snapshot::EngineView,
        models: &snapshot::Models,
    ) -> Duration {
        let desired = &self.desired[&engine.key];
        let missing = desired.iter().filter(|name| engine.holdings.resident(name).is_none());
        let missing = missing.filter_map(|name| models.get(name));
        let loads: Duration = missing.map(|view| snapshot::load_source(engine, &view.spec).0).sum();
        match &engine.ongoing {
            Some(targets::Ongoing::Loading { ready_at, .. }) => {
                ready_at.saturating_duration_since(now).max(utility::DECISION_LATENCY)
            }
            Some(targets::Ongoing::Unloading { .. }) => loads + EXPECTED_RUN / 2,
            None => loads,
        }
    }

    fn placement_on(
        &self,
        now: Instant,
        engine: &snapshot::EngineView,
        index: usize,
        models: &snapshot::Models,
        counts: &counts::FleetCounts,
        candidate: &Candidate,
    ) -> Option<Placement> {
        let model = candidate.model;
        let desired = &self.desired[&engine.key];
        let time_until_settled = self.time_until_settled(now, engine, models);
        let (load, from_store) = snapshot::load_source(engine, &model.spec);
        let mut placement = Placement {
            engine_index: index,
            victims: Vec::new(),
            deferred: !time_until_settled.is_zero(),
            ready_in: time_until_settled + load,
            from_store,
            cost: self.interference_cost(engine, models, counts, model),
        };
        let size = |name: &names::ModelId| models.get(name).map_or(0, |view| view.spec.weights_mb);
        let mut used: u64 = desired.iter().map(size).sum();
        let mut others: Vec<(f64, &names::ModelId)> = desired
            .iter()
            .filter(|name| self.is_evictable(now, engine.key, name))
            .filter_map(|name| {
                Some((eviction_cost(counts, engine, models.get(name)?, candidate.cause), name))
            })
            .collect();
        others.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (cost, name) in others {
            if used + model.spec.weights_mb <= engine.weights_mb {
                break;
            }
            used -= size(name);
            placement.cost += cost;
            placement.victims.push(name.clone());
            if engine.running.get(name).is_some_and(|&running| running > 0) {
                placement.ready_in += EXPECTED_RUN;
            }
        }
        (used + model.spec.weights_mb <= engine.weights_mb).then_some(placement)
    }

    fn is_evictable(&self, now: Instant, key: targets::TargetKey, model: &names::ModelId) -> bool {
        let since = self.placed_at.get(&(key, model.clone()));
        since.is_none_or(|&since| now.saturating_duration_since(since) >= MIN_RESIDENCY)
    }

    /// What is lost within [`utility::HORIZON_S`], in requests, because the engine has other work to do as
    /// well: the streams of both pause while it reads the prompts of both.
    fn interference_cost(
        &self,
        engine: &snapshot::EngineView,
        models: &snapshot::Models,
        counts: &counts::FleetCounts,
        model: &snapshot::ModelView,
    ) -> f64 {
        let share = |view: &snapshot::ModelView, replicas: usize| {
            utility::prefill_utilization(view) / replicas.max(1) as f64
        };
        let desired = self.desired[&engine.key].iter().filter_map(|name| models.get(name));
        let others: f64 = desired.map(|view| share(view, counts.replicas(&view.spec.name))).sum();
        let replicas = counts.replicas(&model.spec.name) + 1;
        let own = share(model, replicas);
        let requests = model.demand.requests_per_s / replicas as f64 * utility::HORIZON_S;
        requests * (utility::overload_cost(others + own) - utility::overload_cost(own))
    }

    fn apply(
        &mut self,
        now: Instant,
        engines: &[snapshot::EngineView],
        placement: &Placement,
        model: &names::ModelId,
    ) {
        let key = engines[placement.engine_index].key;
        let desired = self.desired.entry(key).or_default();
        desired.retain(|name| !placement.victims.contains(name));
        desired.push(model.clone());
        for victim in &placement.victims {
            self.placed_at.remove(&(key, victim.clone()));
        }
        self.placed_at.insert((key, model.clone()), now);
    }
}

/// What one more replica of the model gains; none if it needs no more.
fn candidate<'a>(
    counts: &counts::FleetCounts,
    model: &'a snapshot::ModelView,
) -> Option<Candidate<'a>> {
    let replicas = counts.replicas(&model.spec.name);
    if replicas == 0 {
        let utility = f64::from(model.waiting) + utility::absence_cost(model);
        return Some(Candidate { model, cause: Cause::Absent, utility });
    }
    let load = utility::utilization(counts, model);
    let share = |replicas: usize| utility::overload_cost(load / replicas as f64);
    let utility = utility::expected_requests(model) * (share(replicas) - share(replicas + 1));
    (utility > MIN_REPLICA_UTILITY).then_some(Candidate { model, cause: Cause::Load, utility })
}

/// What is lost within [`utility::HORIZON_S`], in requests, when the model leaves this engine.
fn eviction_cost(
    counts: &counts::FleetCounts,
    engine: &snapshot::EngineView,
    model: &snapshot::ModelView,
    cause: Cause,
) -> f64 {
    let others = counts.replicas(&model.spec.name).saturating_sub(1);
    let running = engine.running.get(&model.spec.name).copied().unwrap_or(0);
    let running = f64::from(running.min(2)) * RUNNING_REQUEST_COST;
    if others == 0 {
        let absence = match cause {
            Cause::Absent => utility::absence_cost(model),
            Cause::Load => utility::expected_requests(model) * utility::miss_cost(model),
        };
        return f64::from(model.waiting) + absence + running;
    }
    let load = utility::utilization(counts, model);
    let increase = utility::overload_cost(load / others as f64)
        - utility::overload_cost(load / (others + 1) as f64);
    utility::expected_requests(model) * (increase + SPARE_REPLICA_UTILITY / others as f64) + running
}
