//! Capacity of engines, and what models use of it, in units of an engine of usual speed.
//!
//! A replica is worth the speed of its engine, less what the engine's other models use of it. All is computed once per
//! plan and follows the placements of that plan.

use crate::{
    counts,
    snapshot::{EngineView, ModelView, Models},
    targets, utility,
};
use corianderstand_types::names;
use std::collections::{BTreeSet, HashMap};

/// Bounds of an engine's speed; others are taken for a mistake.
const MIN_SPEED: f64 = 0.1;
const MAX_SPEED: f64 = 10.0;
/// Least part of an engine's speed that a replica counts for, however busy the engine is.
const MIN_LEFT: f64 = 0.1;
/// Ratio of leaving engines from which the records of them are doubted rather than the engines.
const MAX_LEAVING_RATIO: f64 = 0.5;
/// Numbers of replicas over which the reduction of a cost is averaged.
const REPLICAS_AHEAD: [f64; 4] = [1.0, 2.0, 4.0, 8.0];

/// What a model uses, and where it is planned.
#[derive(Clone, Copy, Debug, Default)]
struct ModelUse {
    /// Load, in usual engines.
    load: f64,
    /// Expected requests per second.
    requests_per_s: f64,
    replicas: usize,
    /// Sum of the speeds of its engines.
    speed: f64,
    /// Sum of what its replicas are worth.
    capacity: f64,
}

/// What an engine gives, and what its planned models use of it.
#[derive(Clone, Copy, Debug, Default)]
struct EngineUse {
    speed: f64,
    counts: bool,
    /// Part of its time that its models use.
    utilization: f64,
    /// Requests per second that it is expected to serve.
    requests_per_s: f64,
}

/// Capacity and its use by all engines and models.
#[derive(Debug)]
pub struct Capacity<'a> {
    models: HashMap<&'a names::ModelId, ModelUse>,
    engines: Vec<EngineUse>,
}

/// What one more replica on an engine would change there.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// What the replica is worth, in usual engines.
    pub worth: f64,
    /// Cost within [`utility::HORIZON_S`], in requests, for the requests of the engine's other models.
    pub interference: f64,
}

impl<'a> Capacity<'a> {
    /// Computes the capacity and its use by the `desired` plan. `growth` tells a model's expected demand relative to
    /// its measured one.
    pub fn new(
        engines: &'a [EngineView],
        models: &'a Models,
        desired: &HashMap<targets::TargetKey, Vec<names::ModelId>>,
        counts: &counts::FleetCounts,
        growth: impl Fn(&names::ModelId) -> f64,
    ) -> Self {
        let mut uses = HashMap::with_capacity(models.len());
        let work = running_work(engines);
        let reference = reading_speeds(engines);
        for (name, view) in models {
            let growth = growth(name);
            let running = work.get(name).copied().unwrap_or(0.0);
            let reading = reference.get(name).copied().unwrap_or(1.0);
            let model = ModelUse {
                load: load(counts, view, running, reading) * growth,
                requests_per_s: view.demand.requests_per_s.max(utility::MIN_REQUESTS_PER_S)
                    * growth,
                ..ModelUse::default()
            };
            uses.insert(name, model);
        }
        let leaving = leaving(engines);
        let engine_uses = engines.iter().map(|engine| {
            let counted = counts::takes_demand(engine, models, &desired[&engine.key])
                && !leaving.contains(&engine.key);
            EngineUse { speed: speed(engine), counts: counted, ..EngineUse::default() }
        });
        let mut capacity = Self { models: uses, engines: engine_uses.collect() };
        capacity.add_plan(engines, desired);
        capacity
    }

    fn add_plan(
        &mut self,
        engines: &[EngineView],
        desired: &HashMap<targets::TargetKey, Vec<names::ModelId>>,
    ) {
        for (index, engine) in engines.iter().enumerate().filter(|(i, _)| self.engines[*i].counts) {
            for name in &desired[&engine.key] {
                if let Some(model) = self.models.get_mut(name) {
                    model.replicas += 1;
                    model.speed += self.engines[index].speed;
                }
            }
        }
        for (index, engine) in engines.iter().enumerate() {
            for name in &desired[&engine.key] {
                let Some(model) = self.models.get(name) else { continue };
                let speed = self.engines[index].speed;
                let total =
                    if self.engines[index].counts { model.speed } else { model.speed + speed };
                self.engines[index].utilization += model.load / total;
                self.engines[index].requests_per_s += model.requests_per_s * speed / total;
            }
        }
        for (index, engine) in engines.iter().enumerate().filter(|(i, _)| self.engines[*i].counts) {
            for name in &desired[&engine.key] {
                let worth = self.worth_held(index, name);
                if let Some(model) = self.models.get_mut(name) {
                    model.capacity += worth;
                }
            }
        }
    }

    /// Whether an engine's replicas count, and it may be given further ones.
    pub fn counts(&self, engine_index: usize) -> bool {
        self.engines[engine_index].counts
    }

    /// An engine's speed, bounded.
    pub fn speed(&self, engine_index: usize) -> f64 {
        self.engines[engine_index].speed
    }

    /// Number of replicas of a model that count.
    pub fn replicas(&self, model: &names::ModelId) -> usize {
        self.model(model).replicas
    }

    /// Requests for a model expected within [`utility::HORIZON_S`].
    pub fn expected_requests(&self, model: &names::ModelId) -> f64 {
        self.model(model).requests_per_s * utility::HORIZON_S
    }

    /// What one more replica of a model on an engine is worth and costs others, once `victims` have left the engine.
    pub fn share(
        &self,
        engine_index: usize,
        model: &names::ModelId,
        victims: &[&names::ModelId],
    ) -> Share {
        let engine = &self.engines[engine_index];
        let mut others = *engine;
        for victim in victims {
            let (utilization, requests_per_s) = self.use_at(engine, victim);
            others.utilization -= utilization;
            others.requests_per_s -= requests_per_s;
        }
        let used = others.utilization.max(0.0);
        let model = self.model(model);
        let own = model.load / (model.speed + engine.speed);
        let increase = utility::overload_cost(used + own) - utility::overload_cost(used);
        Share {
            worth: engine.speed * (1.0 - used).clamp(MIN_LEFT, 1.0),
            interference: others.requests_per_s.max(0.0) * utility::HORIZON_S * increase,
        }
    }

    /// Utility within [`utility::HORIZON_S`], in requests, of one more replica that is worth `worth`, for a model with
    /// replicas. The cost of overload rises steeply only up to a point: where one replica alone would hardly be felt,
    /// it counts for its part of what several together give.
    pub fn replica_utility(&self, model: &names::ModelId, worth: f64) -> f64 {
        let used = self.model(model);
        used.requests_per_s * utility::HORIZON_S * relief(used.load, used.capacity, worth)
    }

    /// Cost within [`utility::HORIZON_S`], in requests, of requests for an absent model that only one replica serves.
    pub fn single_replica_cost(&self, model: &names::ModelId, worth: f64) -> f64 {
        let used = self.model(model);
        used.requests_per_s * utility::HORIZON_S * utility::overload_cost(used.load / worth)
    }

    /// Utility that is lost with a model's replica on an engine: that of placing it there again.
    pub fn replica_loss(&self, engine_index: usize, model: &names::ModelId) -> f64 {
        let used = self.model(model);
        let worth = self.worth_held(engine_index, model);
        let rest = (used.capacity - worth).max(MIN_SPEED * MIN_LEFT);
        used.requests_per_s * utility::HORIZON_S * relief(used.load, rest, worth)
    }

    /// Records a placement and its evictions.
    pub fn record(
        &mut self,
        engine_index: usize,
        model: &names::ModelId,
        victims: &[names::ModelId],
    ) {
        for victim in victims {
            let (utilization, requests_per_s) = self.use_at(&self.engines[engine_index], victim);
            let worth = self.worth_held(engine_index, victim);
            let engine = &mut self.engines[engine_index];
            engine.utilization = (engine.utilization - utilization).max(0.0);
            engine.requests_per_s = (engine.requests_per_s - requests_per_s).max(0.0);
            let (speed, counts) = (engine.speed, engine.counts);
            if let Some(used) = self.models.get_mut(victim).filter(|_| counts) {
                used.replicas = used.replicas.saturating_sub(1);
                used.speed = if used.replicas == 0 { 0.0 } else { used.speed - speed };
                used.capacity = if used.replicas == 0 { 0.0 } else { used.capacity - worth };
            }
        }
        let share = self.share(engine_index, model, &[]);
        let speed = self.engines[engine_index].speed;
        let Some(used) = self.models.get_mut(model) else { return };
        used.replicas += 1;
        used.speed += speed;
        used.capacity += share.worth;
        let (utilization, requests_per_s) =
            (used.load / used.speed, used.requests_per_s * speed / used.speed);
        let engine = &mut self.engines[engine_index];
        engine.utilization += utilization;
        engine.requests_per_s += requests_per_s;
    }

    fn model(&self, model: &names::ModelId) -> ModelUse {
        self.models.get(model).copied().unwrap_or_default()
    }

    /// Part of an engine's time that a model with a replica there uses, and its requests per second there.
    fn use_at(&self, engine: &EngineUse, model: &names::ModelId) -> (f64, f64) {
        let used = self.model(model);
        let total = if engine.counts { used.speed } else { used.speed + engine.speed };
        let total = total.max(MIN_SPEED);
        (used.load / total, used.requests_per_s * engine.speed / total)
    }

    /// What a replica that an engine holds is worth: the engine's speed less what others use of it.
    fn worth_held(&self, engine_index: usize, model: &names::ModelId) -> f64 {
        let engine = &self.engines[engine_index];
        let others = engine.utilization - self.use_at(engine, model).0;
        engine.speed * (1.0 - others).clamp(MIN_LEFT, 1.0)
    }
}

/// Reduction of a model's overload cost by a replica: the largest mean over one replica or several.
fn relief(load: f64, capacity: f64, worth: f64) -> f64 {
    let cost = utility::overload_cost(load / capacity);
    let mean =
        |count: f64| (cost - utility::overload_cost(load / count.mul_add(worth, capacity))) / count;
    REPLICAS_AHEAD.into_iter().map(mean).fold(0.0, f64::max)
}

/// An engine's speed; 1 if it is absurd.
fn speed(engine: &EngineView) -> f64 {
    let is_sane = (MIN_SPEED..=MAX_SPEED).contains(&engine.speed);
    if is_sane { engine.speed } else { 1.0 }
}

/// Engines that are expected to shut down, unless most are: then the records are rather wrong.
fn leaving(engines: &[EngineView]) -> BTreeSet<targets::TargetKey> {
    let leaving: BTreeSet<_> =
        engines.iter().filter(|engine| engine.is_leaving).map(|engine| engine.key).collect();
    let is_doubtful = leaving.len() as f64 > engines.len() as f64 * MAX_LEAVING_RATIO;
    if is_doubtful { BTreeSet::new() } else { leaving }
}

/// Running requests by model, each weighed by the speed of its engine: on a slow one it takes longer.
fn running_work(engines: &[EngineView]) -> HashMap<&names::ModelId, f64> {
    let mut work: HashMap<_, f64> = HashMap::new();
    for engine in engines {
        for (model, count) in &engine.running {
            *work.entry(model).or_default() += f64::from(*count) * speed(engine);
        }
    }
    work
}

/// Speed at which each resident model's prompts were read: estimates follow the fastest engine.
fn reading_speeds(engines: &[EngineView]) -> HashMap<&names::ModelId, f64> {
    let mut speeds: HashMap<_, f64> = HashMap::new();
    for engine in engines {
        for resident in &engine.holdings.resident {
            let fastest = speeds.entry(&resident.model).or_default();
            *fastest = fastest.max(speed(engine));
        }
    }
    speeds
}

fn load(counts: &counts::FleetCounts, model: &ModelView, running: f64, reading_speed: f64) -> f64 {
    let reading_speed = if model.demand.prefill_s_per_token > 0.0 { reading_speed } else { 1.0 };
    let prefill = utility::prefill_utilization(model) * reading_speed;
    let slots = utility::slot_utilization(counts, model, running);
    let load = prefill.max(slots);
    if load.is_finite() { load.max(0.0) } else { 0.0 }
}
