//! Decides which engine holds which models.
//!
//! The planner targets fleets with about as many models as slots, where most models are requested
//! rarely, a few constantly, and the busy ones change within seconds. Models that are requested
//! and resident nowhere come first. A new placement evicts redundant replicas or the models with
//! the lowest eviction cost, on the engine where the model is ready soonest.
//!
//! A plan lists the models that each engine should hold. Agents execute it one command at a time
//! and unload other models only to free capacity, so a late, lost or conflicting plan costs at
//! most a redundant load.

mod by_speed;

use crate::{
    config, counts, decaying_rate, forecast, snapshot, store_concurrency, targets, utility,
};
use corianderstand_derives::derives;
use corianderstand_types::names;
use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

/// Utility, relative to the model's requests, of a replica that is only needed after a crash.
const SPARE_REPLICA_UTILITY: f64 = 0.02;
/// Eviction cost per running request of the model, for up to two requests.
const RUNNING_REQUEST_COST: f64 = 0.9;
const SWAP_WINDOW: Duration = Duration::from_secs(4);
const MIN_REPLICA_UTILITY: f64 = 0.5;
/// Prevents two models of similar utility from evicting each other repeatedly.
const UTILITY_MARGIN: f64 = 0.3;
const MIN_RESIDENCY: Duration = Duration::from_millis(1_200);
/// Expected duration of a running request that an unload waits for.
const EXPECTED_RUN_TIME: Duration = Duration::from_millis(1_400);
/// Time constant by which a replica's utility decays with the time until it is ready. An
/// exponential never reaches zero, so a slow weight store can't starve overloaded models.
const REPLICA_UTILITY_DECAY: Duration = Duration::from_millis(6_500);
/// Period after start without evictions, until demand rates are reliable.
const WARM_UP_PERIOD: Duration = Duration::from_millis(1_500);

/// Time over which loads from the weight store are counted against its rate.
const STORE_RATE_WINDOW: Duration = Duration::from_secs(1);

/// How models are placed.
#[derives(data)]
#[derive(Copy, Default)]
pub struct Options {
    /// Whether engines count by their speed, and models by their forecast demand.
    pub by_speed: bool,
    /// Loads per second that the weight store allows; 0 if it is not known.
    pub store_loads_per_s: f64,
}

/// A model that was added to an engine's plan.
#[derives(data)]
pub struct Placed {
    /// Engine that is to hold the model.
    pub engine: targets::TargetKey,
    /// The model.
    pub model: names::ModelId,
    /// Models that were taken from the engine's plan for it.
    pub evicted: Vec<names::ModelId>,
    /// What the placement is worth, in requests.
    pub utility: f64,
    /// Speed for which the engine counts.
    pub speed: f64,
    /// Expected demand relative to the measured one.
    pub growth: f64,
    /// Where the engine loads the weights from.
    pub source: snapshot::WeightSource,
}

/// Computes plans from demand, and tracks the last plan and the weight store's concurrency.
#[derive(Debug, Default)]
pub struct Planner {
    desired: HashMap<targets::TargetKey, Vec<names::ModelId>>,
    placed_at: HashMap<(targets::TargetKey, names::ModelId), Instant>,
    store_concurrency: store_concurrency::StoreConcurrency,
    warm_up_until: Option<Instant>,
    /// Utility of placing absent models, in requests per second.
    swap_utility: Option<decaying_rate::DecayingRate>,
    options: Options,
    forecast: forecast::Forecast,
    /// When loads from the weight store were planned within [`STORE_RATE_WINDOW`].
    store_starts: VecDeque<Instant>,
    /// Placements of the last plan.
    placed: Vec<Placed>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum DemandCause {
    Absent,
    Load,
}

#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    model: &'a snapshot::ModelView,
    cause: DemandCause,
    /// Utility within [`utility::HORIZON_S`], in requests.
    utility: f64,
}

/// A possible placement of a model on an engine, with the models to evict for it.
#[derive(Clone, Debug)]
struct Placement {
    engine_index: usize,
    victims: Vec<names::ModelId>,
    is_deferred: bool,
    ready_in: Duration,
    from_store: bool,
    cost: f64,
}

impl Planner {
    /// Creates a planner that evicts nothing during its warm-up period.
    pub fn with_warm_up(now: Instant) -> Self {
        Self { warm_up_until: Some(now + WARM_UP_PERIOD), ..Self::default() }
    }

    /// Sets how models are placed from now on.
    pub fn set_options(&mut self, options: Options) {
        self.store_concurrency.set_careful(options.by_speed);
        self.options = options;
    }

    /// Computes the models that each engine should hold.
    pub fn plan(
        &mut self,
        now: Instant,
        engines: &[snapshot::EngineView],
        models: &snapshot::Models,
    ) -> &HashMap<targets::TargetKey, Vec<names::ModelId>> {
        self.store_concurrency.observe(now, engines, models);
        self.adopt_holdings(now, engines, models);
        self.placed.clear();
        let is_past = |at: &Instant| now.saturating_duration_since(*at) >= STORE_RATE_WINDOW;
        while self.store_starts.front().is_some_and(is_past) {
            self.store_starts.pop_front();
        }
        match self.options.by_speed {
            true => by_speed::place(self, now, engines, models),
            false => self.place_by_count(now, engines, models),
        }
        &self.desired
    }

    /// The last plan.
    pub const fn desired(&self) -> &HashMap<targets::TargetKey, Vec<names::ModelId>> {
        &self.desired
    }

    /// Placements of the last plan.
    pub fn placed(&self) -> &[Placed] {
        &self.placed
    }

    fn place_by_count(
        &mut self,
        now: Instant,
        engines: &[snapshot::EngineView],
        models: &snapshot::Models,
    ) {
        let mut counts = counts::FleetCounts::new(engines, models, &self.desired);
        // Engines execute one command at a time, so candidates are ordered by utility per second of
        // command time: a load from disk precedes one from the weight store of similar utility.
        let ranked = models.values().filter_map(|model| {
            let candidate = candidate(&counts, model)?;
            let command_time =
                counts.fastest_load(engines, &model.spec) + utility::DECISION_LATENCY;
            Some((candidate.utility / command_time.as_secs_f64(), candidate))
        });
        // The sort is stable: candidates of equal utility stay ordered by model name.
        let mut candidates: Vec<(f64, Candidate)> = ranked.collect();
        candidates.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        for (_, candidate) in candidates {
            if let Some(placement) =
                self.choose_placement(now, engines, models, &counts, &candidate)
            {
                let model = &candidate.model.spec.name;
                counts.record_placement(model, &placement.victims, placement.from_store);
                self.apply(now, engines, &placement, model);
                let engine = &engines[placement.engine_index];
                self.placed.push(Placed {
                    engine: engine.key,
                    model: model.clone(),
                    evicted: placement.victims,
                    utility: candidate.utility,
                    speed: 1.0,
                    growth: 1.0,
                    source: snapshot::WeightSource::of(engine, model),
                });
                if candidate.cause == DemandCause::Absent {
                    let swaps = self
                        .swap_utility
                        .get_or_insert_with(|| decaying_rate::DecayingRate::new(now));
                    swaps.add(now, SWAP_WINDOW, candidate.utility);
                }
            }
        }
    }

    /// Expected time of a load from the weight store, by its stated time and its observed pace.
    fn store_load_time(&self, model: &config::Model) -> Duration {
        model.load_from_store.mul_f64(self.store_concurrency.slowdown)
    }

    /// Whether the weight store carries one more load now. A load of a model that nobody asks for may hold up one that
    /// somebody needs, and takes at most half of the store's time.
    fn may_load_from_store(
        &self,
        now: Instant,
        counts: &counts::FleetCounts,
        model: &snapshot::ModelView,
    ) -> bool {
        let is_requested = model.waiting > 0 || model.demand.requests_per_s > 0.0;
        let is_idle = counts.store_loads == 0
            && self.store_concurrency.is_idle_for(now, self.store_load_time(&model.spec));
        if !(is_requested || is_idle) {
            return false;
        }
        let rate = self.options.store_loads_per_s;
        let is_within_rate = rate <= 0.0 || (self.store_starts.len() as f64) < rate.max(1.0);
        is_within_rate && counts.store_loads < self.store_concurrency.max_concurrent_loads
    }

    /// Adds the resident and loading models to the plan, so that a new planner keeps them.
    fn adopt_holdings(
        &mut self,
        now: Instant,
        engines: &[snapshot::EngineView],
        models: &snapshot::Models,
    ) {
        let known: HashSet<_> = engines.iter().map(|engine| engine.key).collect();
        self.desired.retain(|key, _| known.contains(key));
        self.placed_at.retain(|(key, _), _| known.contains(key));
        for engine in engines {
            let desired = self.desired.entry(engine.key).or_default();
            desired.retain(|name| models.contains_key(name));
            let loading = match &engine.ongoing {
                Some(targets::OngoingCommand::Loading { model, .. }) => Some(model),
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
            // The minimum residency starts when the model is ready, not when its load is planned.
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
        let placement_at = |engine_index: usize| {
            let engine = &engines[engine_index];
            // An engine that limits its requests is in need: it gets no further model.
            let free = engine.accepts_commands
                && engine.request_limit.is_none()
                && !self.desired[&engine.key].contains(name);
            free.then(|| self.placement_on(now, engine, engine_index, models, counts, candidate))
                .flatten()
        };
        // Cached weights load much faster than from the weight store, even after another command.
        let mut placements: Vec<Placement> = counts
            .engines_with_cached_weights(name)
            .iter()
            .copied()
            .filter_map(placement_at)
            .collect();
        if placements.is_empty() {
            if counts.store_loads >= self.store_concurrency.max_concurrent_loads {
                return None;
            }
            placements = (0..engines.len()).filter_map(placement_at).collect();
        }
        if candidate.cause == DemandCause::Load {
            // A load blocks the engine's other commands, so an additional replica is charged the
            // utility of the absent models that could be placed instead.
            let utility_per_s = self.command_utility_per_s(now, counts);
            for placement in &mut placements {
                placement.cost += utility_per_s * placement.ready_in.as_secs_f64();
            }
        }
        if self.warm_up_until.is_some_and(|until| now < until) {
            placements.retain(|placement| placement.victims.is_empty());
        }
        let decay = |placement: &Placement| match candidate.cause {
            DemandCause::Load => {
                (-placement.ready_in.as_secs_f64() / REPLICA_UTILITY_DECAY.as_secs_f64()).exp()
            }
            DemandCause::Absent => 1.0,
        };
        placements.retain(|placement| {
            let free = placement.victims.is_empty() && candidate.cause == DemandCause::Absent;
            free || candidate.utility * decay(placement) > placement.cost + UTILITY_MARGIN
        });
        // The model's requests wait or are refused until the placement is ready.
        let rate = f64::from(candidate.model.waiting)
            + candidate.model.demand.requests_per_s.max(utility::MIN_REQUESTS_PER_S);
        let total_cost =
            |placement: &Placement| rate * placement.ready_in.as_secs_f64() + placement.cost;
        let best = placements.into_iter().min_by(|a, b| total_cost(a).total_cmp(&total_cost(b)))?;
        (!best.is_deferred).then_some(best)
    }

    /// Returns the utility, in requests per second, of one engine's commands for absent models.
    fn command_utility_per_s(&self, now: Instant, counts: &counts::FleetCounts) -> f64 {
        let utility = self.swap_utility.map_or(0.0, |swaps| swaps.value(now, SWAP_WINDOW));
        utility / counts.commandable_engines.max(1) as f64
    }

    /// Returns the time until the engine holds its desired models and accepts another command.
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
            Some(targets::OngoingCommand::Loading { ready_at, .. }) => {
                ready_at.saturating_duration_since(now).max(utility::DECISION_LATENCY)
            }
            Some(targets::OngoingCommand::Unloading { .. }) => loads + EXPECTED_RUN_TIME / 2,
            None => loads,
        }
    }

    fn placement_on(
        &self,
        now: Instant,
        engine: &snapshot::EngineView,
        engine_index: usize,
        models: &snapshot::Models,
        counts: &counts::FleetCounts,
        candidate: &Candidate,
    ) -> Option<Placement> {
        let model = candidate.model;
        let desired = &self.desired[&engine.key];
        let time_until_settled = self.time_until_settled(now, engine, models);
        let (load_time, from_store) = snapshot::load_source(engine, &model.spec);
        let mut placement = Placement {
            engine_index,
            victims: Vec::new(),
            is_deferred: !time_until_settled.is_zero(),
            ready_in: time_until_settled + load_time,
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
                placement.ready_in += EXPECTED_RUN_TIME;
            }
        }
        (used + model.spec.weights_mb <= engine.weights_mb).then_some(placement)
    }

    fn is_evictable(&self, now: Instant, key: targets::TargetKey, model: &names::ModelId) -> bool {
        let since = self.placed_at.get(&(key, model.clone()));
        since.is_none_or(|&since| now.saturating_duration_since(since) >= MIN_RESIDENCY)
    }

    /// Returns the cost within [`utility::HORIZON_S`], in requests, of sharing the engine with
    /// other models: a prompt of either pauses the streams of both.
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

/// Returns the utility of one more replica, or `None` if the model needs no more.
fn candidate<'a>(
    counts: &counts::FleetCounts,
    model: &'a snapshot::ModelView,
) -> Option<Candidate<'a>> {
    let replicas = counts.replicas(&model.spec.name);
    if replicas == 0 {
        let utility = f64::from(model.waiting) + utility::absence_cost(model);
        return Some(Candidate { model, cause: DemandCause::Absent, utility });
    }
    let load = utility::utilization(counts, model);
    let share = |replicas: usize| utility::overload_cost(load / replicas as f64);
    let utility = utility::expected_requests(model) * (share(replicas) - share(replicas + 1));
    (utility > MIN_REPLICA_UTILITY).then_some(Candidate {
        model,
        cause: DemandCause::Load,
        utility,
    })
}

/// Returns the cost within [`utility::HORIZON_S`], in requests, of evicting the model.
fn eviction_cost(
    counts: &counts::FleetCounts,
    engine: &snapshot::EngineView,
    model: &snapshot::ModelView,
    cause: DemandCause,
) -> f64 {
    let others = counts.replicas(&model.spec.name).saturating_sub(1);
    let running = engine.running.get(&model.spec.name).copied().unwrap_or(0);
    let running = f64::from(running.min(2)) * RUNNING_REQUEST_COST;
    if others == 0 {
        let absence = match cause {
            DemandCause::Absent => utility::absence_cost(model),
            DemandCause::Load => utility::expected_requests(model) * utility::miss_cost(model),
        };
        return f64::from(model.waiting) + absence + running;
    }
    let load = utility::utilization(counts, model);
    let increase = utility::overload_cost(load / others as f64)
        - utility::overload_cost(load / (others + 1) as f64);
    utility::expected_requests(model) * (increase + SPARE_REPLICA_UTILITY / others as f64) + running
}
