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
/// Requests for one model may take this much longer than those for all.
const WORK_VARIATION: f64 = 1.5;
/// Numbers of replicas over which the reduction of a cost is averaged.
const REPLICAS_AHEAD: [f64; 4] = [1.0, 2.0, 4.0, 8.0];

/// Use of engines, as a number of usual ones.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Time for reading prompts, in which streams pause.
    reading: f64,
    /// Places in batches and for adapters.
    slots: f64,
}

impl Load {
    fn add(self, other: Self) -> Self {
        Self { reading: self.reading + other.reading, slots: self.slots + other.slots }
    }

    fn remove(self, other: Self) -> Self {
        Self {
            reading: (self.reading - other.reading).max(0.0),
            slots: (self.slots - other.slots).max(0.0),
        }
    }

    fn scale(self, factor: f64) -> Self {
        Self { reading: self.reading * factor, slots: self.slots * factor }
    }

    fn utilization(self) -> f64 {
        self.reading.max(self.slots)
    }

    /// Cost per request where this is the use of one engine: streams that pause, or callers who find no place.
    fn cost(self) -> f64 {
        utility::overload_cost(self.reading).max(utility::queue_cost(self.slots))
    }
}

/// What a model uses, and where it is planned.
#[derive(Clone, Copy, Debug, Default)]
struct ModelUse {
    load: Load,
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
    /// What its models use of it.
    load: Load,
    /// Requests per second that it is expected to serve.
    requests_per_s: f64,
}

/// Capacity and its use by all engines and models.
#[derive(Debug)]
pub struct Capacity<'a> {
    indices: HashMap<&'a names::ModelId, usize>,
    models: Vec<ModelUse>,
    engines: Vec<EngineUse>,
}

/// Indices of an engine and of a model that it is planned to hold.
type Held = (usize, usize);

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
        let indices: HashMap<_, _> =
            models.keys().enumerate().map(|(index, name)| (name, index)).collect();
        let leaving = leaving(engines);
        let engine_uses = engines.iter().map(|engine| {
            let counts = counts::takes_demand(engine, models, &desired[&engine.key])
                && !leaving.contains(&engine.key);
            EngineUse { speed: speed(engine), counts, ..EngineUse::default() }
        });
        let mut capacity = Self {
            indices,
            models: vec![ModelUse::default(); models.len()],
            engines: engine_uses.collect(),
        };
        let held = capacity.held(engines, desired);
        let work = capacity.running_work(engines);
        let reading_speeds = capacity.reading_speeds(&held);
        let work_per_request = work_per_request(&work, models);
        for (index, (name, view)) in models.iter().enumerate() {
            let growth = growth(name);
            let requests = work[index] + waiting_work(view, work[index], work_per_request);
            let used = &mut capacity.models[index];
            used.load = load(counts, view, requests, reading_speeds[index]).scale(growth);
            used.requests_per_s =
                view.demand.requests_per_s.max(utility::MIN_REQUESTS_PER_S) * growth;
        }
        capacity.add_plan(&held);
        capacity
    }

    fn held(
        &self,
        engines: &[EngineView],
        desired: &HashMap<targets::TargetKey, Vec<names::ModelId>>,
    ) -> Vec<Held> {
        let engines = engines.iter().enumerate();
        let held = engines.flat_map(|(engine, view)| {
            let indices = desired[&view.key].iter().filter_map(|name| self.indices.get(name));
            indices.map(move |model| (engine, *model))
        });
        held.collect()
    }

    /// Running requests by model, each weighed by the speed of its engine: on a slow one it takes longer.
    fn running_work(&self, engines: &[EngineView]) -> Vec<f64> {
        let mut work = vec![0.0; self.models.len()];
        for (engine, used) in engines.iter().zip(&self.engines) {
            for (model, count) in &engine.running {
                if let Some(index) = self.indices.get(model) {
                    work[*index] += f64::from(*count) * used.speed;
                }
            }
        }
        work
    }

    /// Speed at which each model's prompts are read: estimates follow its fastest engine.
    fn reading_speeds(&self, held: &[Held]) -> Vec<f64> {
        let mut speeds = vec![0.0_f64; self.models.len()];
        for (engine, model) in held {
            speeds[*model] = speeds[*model].max(self.engines[*engine].speed);
        }
        speeds.into_iter().map(|speed| if speed > 0.0 { speed } else { 1.0 }).collect()
    }

    fn add_plan(&mut self, held: &[Held]) {
        for &(engine, model) in held {
            if self.engines[engine].counts {
                self.models[model].replicas += 1;
                self.models[model].speed += self.engines[engine].speed;
            }
        }
        for &(engine, model) in held {
            let (load, requests_per_s) = use_at(&self.engines[engine], &self.models[model]);
            self.engines[engine].load = self.engines[engine].load.add(load);
            self.engines[engine].requests_per_s += requests_per_s;
        }
        for &(engine, model) in held {
            if self.engines[engine].counts {
                let worth = worth_held(&self.engines[engine], &self.models[model]);
                self.models[model].capacity += worth;
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
            let (load, requests_per_s) = use_at(engine, &self.model(victim));
            others.load = others.load.remove(load);
            others.requests_per_s -= requests_per_s;
        }
        let model = self.model(model);
        let own = model.load.scale(1.0 / (model.speed + engine.speed));
        let increase = others.load.add(own).cost() - others.load.cost();
        Share {
            worth: engine.speed * (1.0 - others.load.utilization()).clamp(MIN_LEFT, 1.0),
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
        used.requests_per_s * utility::HORIZON_S * used.load.scale(1.0 / worth).cost()
    }

    /// Utility that is lost with a model's replica on an engine: that of placing it there again.
    pub fn replica_loss(&self, engine_index: usize, model: &names::ModelId) -> f64 {
        let used = self.model(model);
        let worth = worth_held(&self.engines[engine_index], &used);
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
            let used = self.model(victim);
            let (load, requests_per_s) = use_at(&self.engines[engine_index], &used);
            let worth = worth_held(&self.engines[engine_index], &used);
            let engine = &mut self.engines[engine_index];
            engine.load = engine.load.remove(load);
            engine.requests_per_s = (engine.requests_per_s - requests_per_s).max(0.0);
            let (speed, counts) = (engine.speed, engine.counts);
            if let Some(used) = self.model_mut(victim).filter(|_| counts) {
                used.replicas = used.replicas.saturating_sub(1);
                used.speed = if used.replicas == 0 { 0.0 } else { used.speed - speed };
                used.capacity = if used.replicas == 0 { 0.0 } else { used.capacity - worth };
            }
        }
        let share = self.share(engine_index, model, &[]);
        let speed = self.engines[engine_index].speed;
        let Some(used) = self.model_mut(model) else { return };
        used.replicas += 1;
        used.speed += speed;
        used.capacity += share.worth;
        let load = used.load.scale(1.0 / used.speed);
        let requests_per_s = used.requests_per_s * speed / used.speed;
        let engine = &mut self.engines[engine_index];
        engine.load = engine.load.add(load);
        engine.requests_per_s += requests_per_s;
    }

    fn model(&self, model: &names::ModelId) -> ModelUse {
        self.indices.get(model).map(|index| self.models[*index]).unwrap_or_default()
    }

    fn model_mut(&mut self, model: &names::ModelId) -> Option<&mut ModelUse> {
        self.indices.get(model).map(|index| &mut self.models[*index])
    }
}

/// What a model with a replica on an engine uses of it, and its requests per second there.
fn use_at(engine: &EngineUse, model: &ModelUse) -> (Load, f64) {
    let total = if engine.counts { model.speed } else { model.speed + engine.speed };
    let total = total.max(MIN_SPEED);
    (model.load.scale(1.0 / total), model.requests_per_s * engine.speed / total)
}

/// What a replica that an engine holds is worth: the engine's speed less what others use of it.
fn worth_held(engine: &EngineUse, model: &ModelUse) -> f64 {
    let others = engine.load.remove(use_at(engine, model).0);
    engine.speed * (1.0 - others.utilization()).clamp(MIN_LEFT, 1.0)
}

/// Reduction of a model's overload cost by a replica: the largest mean over one replica or several.
fn relief(load: Load, capacity: f64, worth: f64) -> f64 {
    let cost = |capacity: f64| load.scale(1.0 / capacity).cost();
    let mean = |count: f64| (cost(capacity) - cost(count.mul_add(worth, capacity))) / count;
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

/// Mean time for which a request runs on a usual engine, over all models; none if nothing is known of it.
fn work_per_request(work: &[f64], models: &Models) -> Option<f64> {
    let running: f64 = work.iter().sum();
    let per_s: f64 = models.values().map(|view| view.demand.requests_per_s).sum();
    (running > 0.0 && per_s > 0.0 && per_s.is_finite()).then_some(running / per_s)
}

/// Places that a model's waiting requests would take. Those that wait in vain stand for more than come at once, so they
/// count up to what the rate of requests explains.
fn waiting_work(model: &ModelView, running: f64, work_per_request: Option<f64>) -> f64 {
    let waiting = f64::from(model.waiting);
    let Some(work) = work_per_request else { return waiting };
    let explained = model.demand.requests_per_s * work * WORK_VARIATION;
    waiting.min((explained - running).max(0.0))
}

fn load(
    counts: &counts::FleetCounts,
    model: &ModelView,
    requests: f64,
    reading_speed: f64,
) -> Load {
    let reading_speed = if model.demand.prefill_s_per_token > 0.0 { reading_speed } else { 1.0 };
    let sane = |load: f64| if load.is_finite() { load.max(0.0) } else { 0.0 };
    Load {
        reading: sane(utility::prefill_utilization(model) * reading_speed),
        slots: sane(utility::slot_utilization(counts, model, requests)),
    }
}
