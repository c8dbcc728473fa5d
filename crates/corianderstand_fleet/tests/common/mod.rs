//! Discrete-time simulation of engines and models under load.
//!
//! Engines hold a few models, cache weights on disk and load others from a weight store of limited
//! throughput. Requests wait until an engine holds their model; the simulation records how many
//! begin within their latency objective.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod entries;
pub mod uneven;

use corianderstand_fleet::{config, demand, plan, reconcile, snapshot, targets};
use corianderstand_types::names::{ModelId, TargetId};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

const STEP: Duration = Duration::from_millis(10);
const REQUEST_TIME: Duration = Duration::from_millis(1_400);
const UNLOAD_TIME: Duration = Duration::from_millis(60);
/// Concurrent loads that the weight store serves at full speed.
const STORE_CONCURRENT_LOADS: f64 = 4.0;
/// Memory of a model and of an engine, which holds three.
const MODEL_MB: u64 = 70_000;
const ENGINE_MB: u64 = 220_000;
/// Multiple of the latency objective after which a caller leaves.
const ABANDON_AFTER_RATIO: u32 = 4;

#[derive(Clone, Debug)]
pub struct Workload {
    pub per_s: f64,
    pub latency_objective: Duration,
}

struct Engine {
    key: targets::TargetKey,
    holdings: targets::Holdings,
    command: Option<(reconcile::Command, f64)>,
    runs: Vec<(ModelId, Instant)>,
    up: bool,
}

struct Request {
    model: ModelId,
    arrived_at: Instant,
    latency_objective: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub requests: u32,
    pub on_time: u32,
    pub abandoned: u32,
}

impl Tally {
    pub fn on_time_ratio(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.requests.max(1))
    }

    pub fn abandoned_ratio(&self) -> f64 {
        f64::from(self.abandoned) / f64::from(self.requests.max(1))
    }
}

pub struct Simulation {
    pub now: Instant,
    pub models: BTreeMap<ModelId, Workload>,
    pub tallies: BTreeMap<ModelId, Tally>,
    pub commands: u32,
    pub store_loads: u32,
    /// Largest memory that an engine was commanded to use, in MB.
    pub most_mb: u64,
    engines: Vec<Engine>,
    waiting: VecDeque<Request>,
    demand: demand::Demand,
    planner: plan::Planner,
    rng: ChaCha8Rng,
}

pub fn spec(name: &ModelId) -> config::Model {
    config::Model {
        name: name.clone(),
        weights_mb: MODEL_MB,
        load_from_store: Duration::from_secs(6),
        load_from_disk: Duration::from_millis(800),
        load_from_memory: Duration::from_millis(400),
        ..Default::default()
    }
}

impl Simulation {
    /// Creates engines with `cached` models on each disk, three of them resident.
    pub fn new(engines: usize, models: &[(&str, Workload)], cached: usize, seed: u64) -> Self {
        println!("seed {seed}");
        let names: Vec<ModelId> = models.iter().map(|(name, _)| ModelId::from(*name)).collect();
        let mut keys: SlotMap<targets::TargetKey, ()> = SlotMap::with_key();
        let engines = (0..engines).map(|index| {
            let disk: Vec<ModelId> = (0..cached)
                .map(|offset| names[(index * 3 + offset) % names.len()].clone())
                .collect();
            let resident = disk
                .iter()
                .take(3)
                .map(|model| targets::Resident { model: model.clone(), adapters: Vec::new() });
            let resident = resident.collect();
            let holdings = targets::Holdings { resident, on_disk: disk, ..Default::default() };
            let key = keys.insert(());
            Engine { key, holdings, command: None, runs: Vec::new(), up: true }
        });
        Self {
            now: Instant::now(),
            models: models
                .iter()
                .map(|(name, workload)| ((*name).into(), workload.clone()))
                .collect(),
            tallies: BTreeMap::new(),
            commands: 0,
            store_loads: 0,
            most_mb: 0,
            engines: engines.collect(),
            waiting: VecDeque::new(),
            demand: demand::Demand::default(),
            planner: plan::Planner::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.generate_requests();
            self.finish_runs();
            self.advance_commands();
            self.serve();
            self.plan();
        }
    }

    pub fn reset_counters(&mut self) {
        self.tallies.clear();
        self.commands = 0;
        self.store_loads = 0;
    }

    /// Stops an engine; only its disk contents remain.
    pub fn crash(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        engine.up = false;
        engine.command = None;
        engine.runs.clear();
        engine.holdings.resident.clear();
        engine.holdings.in_memory.clear();
        engine.holdings.commands_accepted = 0;
    }

    pub fn restart(&mut self, index: usize) {
        self.engines[index].up = true;
    }

    /// Sums the tallies of the selected models.
    pub fn tally(&self, models: impl Fn(&str) -> bool) -> Tally {
        let selected = self.tallies.iter().filter(|(name, _)| models(name.as_str()));
        selected.fold(Tally::default(), |sum, (_, tally)| Tally {
            requests: sum.requests + tally.requests,
            on_time: sum.on_time + tally.on_time,
            abandoned: sum.abandoned + tally.abandoned,
        })
    }

    pub fn holders(&self, model: &str) -> usize {
        let model = ModelId::from(model);
        self.engines.iter().filter(|engine| engine.holdings.resident(&model).is_some()).count()
    }

    fn generate_requests(&mut self) {
        let step = STEP.as_secs_f64();
        for (name, workload) in &self.models {
            if self.rng.random::<f64>() >= workload.per_s * step {
                continue;
            }
            let profile = demand::RequestProfile {
                prompt_tokens: 600,
                uses_adapter: false,
                latency_objective: workload.latency_objective,
            };
            self.demand.record_request(self.now, name, profile);
            self.tallies.entry(name.clone()).or_default().requests += 1;
            let request = Request {
                model: name.clone(),
                arrived_at: self.now,
                latency_objective: workload.latency_objective,
            };
            self.waiting.push_back(request);
        }
    }

    fn finish_runs(&mut self) {
        for engine in &mut self.engines {
            engine.runs.retain(|(_, started_at)| {
                self.now.saturating_duration_since(*started_at) < REQUEST_TIME
            });
        }
    }

    fn serve(&mut self) {
        let now = self.now;
        for request in std::mem::take(&mut self.waiting) {
            let waited = now.saturating_duration_since(request.arrived_at);
            let holder = self.engines.iter_mut().filter(|engine| {
                let unloading = matches!(
                    &engine.command,
                    Some((reconcile::Command::Unload(model), _)) if model == &request.model
                );
                engine.up && !unloading && engine.holdings.resident(&request.model).is_some()
            });
            let tally = self.tallies.entry(request.model.clone()).or_default();
            match holder.min_by_key(|engine| engine.runs.len()) {
                Some(engine) => {
                    engine.runs.push((request.model, now));
                    tally.on_time += u32::from(waited <= request.latency_objective);
                }
                None if waited >= request.latency_objective * ABANDON_AFTER_RATIO => {
                    tally.abandoned += 1;
                }
                None => self.waiting.push_back(request),
            }
        }
    }

    fn plan(&mut self) {
        let models = self.model_views();
        let views = self.engine_views();
        let plan = self.planner.plan(self.now, &views, &models).clone();
        let capacity = reconcile::Capacity { weights_mb: ENGINE_MB, adapter_slots: 8 };
        for engine in self.engines.iter_mut().filter(|engine| engine.up && engine.command.is_none())
        {
            let desired = plan.get(&engine.key).cloned().unwrap_or_default();
            let resident = engine.holdings.resident.iter().map(|resident| resident.model.clone());
            let extra = resident.filter(|model| !desired.contains(model));
            let models: Vec<reconcile::EngineModel> = desired
                .iter()
                .cloned()
                .chain(extra)
                .map(|model| reconcile::EngineModel {
                    desired: desired.contains(&model),
                    model,
                    weights_mb: MODEL_MB,
                    adapter_mb: 0,
                })
                .collect();
            if let Some(command) =
                reconcile::next_model_command(capacity, &models, &engine.holdings)
            {
                let duration_s = match &command {
                    reconcile::Command::Load(model) => load_time_s(&engine.holdings, model),
                    _ => UNLOAD_TIME.as_secs_f64(),
                };
                if duration_s > 1.0 {
                    self.store_loads += 1;
                }
                if matches!(command, reconcile::Command::Load(_)) {
                    let used = (engine.holdings.resident.len() as u64 + 1) * MODEL_MB;
                    self.most_mb = self.most_mb.max(used);
                }
                self.commands += 1;
                engine.command = Some((command, duration_s));
                engine.holdings.commands_accepted += 1;
            }
        }
    }

    fn model_views(&self) -> BTreeMap<ModelId, snapshot::ModelView> {
        let views = self.models.keys().map(|name| {
            let waiting = self.waiting.iter().filter(|request| request.model == *name).count();
            let demand = self.demand.model_demand(self.now, name);
            (
                name.clone(),
                snapshot::ModelView { spec: spec(name), demand, waiting: waiting as u32 },
            )
        });
        views.collect()
    }

    fn engine_views(&self) -> Vec<snapshot::EngineView> {
        let up = self.engines.iter().filter(|engine| engine.up);
        let views = up.map(|engine| {
            let mut running: BTreeMap<ModelId, u32> = BTreeMap::new();
            for (model, _) in &engine.runs {
                *running.entry(model.clone()).or_default() += 1;
            }
            let ongoing = engine.command.as_ref().map(|(command, left)| match command {
                reconcile::Command::Load(model) => targets::OngoingCommand::Loading {
                    model: model.clone(),
                    ready_at: self.now + Duration::from_secs_f64(left.max(0.0)),
                    from_store: load_time_s(&engine.holdings, model) > 1.0,
                },
                reconcile::Command::Unload(model)
                | reconcile::Command::LoadAdapter(model, _)
                | reconcile::Command::UnloadAdapter(model, _) => {
                    targets::OngoingCommand::Unloading { model: model.clone() }
                }
            });
            snapshot::EngineView {
                key: engine.key,
                accepts_commands: true,
                weights_mb: ENGINE_MB,
                slots: 64,
                adapter_slots: 8,
                holdings: engine.holdings.clone(),
                ongoing,
                request_limit: None,
                speed: 1.0,
                is_leaving: false,
                running,
            }
        });
        views.collect()
    }

    fn advance_commands(&mut self) {
        let loading = |engine: &Engine| match &engine.command {
            Some((reconcile::Command::Load(model), _)) => {
                load_time_s(&engine.holdings, model) > 1.0
            }
            _ => false,
        };
        let store = self.engines.iter().filter(|engine| loading(engine)).count() as f64;
        let share = (STORE_CONCURRENT_LOADS / store.max(1.0)).min(1.0);
        for engine in &mut self.engines {
            let from_store = loading(engine);
            let Some((command, left)) = &mut engine.command else { continue };
            let is_blocked = match command {
                reconcile::Command::Unload(model) => {
                    engine.runs.iter().any(|(running, _)| running == model)
                }
                _ => false,
            };
            if is_blocked {
                continue;
            }
            *left -= STEP.as_secs_f64() * if from_store { share } else { 1.0 };
            if *left <= 0.0 {
                let command = command.clone();
                engine.command = None;
                execute(&mut engine.holdings, command);
            }
        }
    }
}

fn load_time_s(holdings: &targets::Holdings, model: &ModelId) -> f64 {
    let spec = spec(model);
    if holdings.in_memory.contains(model) {
        spec.load_from_memory.as_secs_f64()
    } else if holdings.on_disk.contains(model) {
        spec.load_from_disk.as_secs_f64()
    } else {
        spec.load_from_store.as_secs_f64()
    }
}

fn execute(holdings: &mut targets::Holdings, command: reconcile::Command) {
    match command {
        reconcile::Command::Load(model) => {
            if !holdings.on_disk.contains(&model) {
                holdings.on_disk.push(model.clone());
            }
            holdings.in_memory.retain(|cached| *cached != model);
            holdings.in_memory.insert(0, model.clone());
            holdings.in_memory.truncate(2);
            holdings.resident.push(targets::Resident { model, adapters: Vec::new() });
        }
        reconcile::Command::Unload(model) => {
            holdings.resident.retain(|resident| resident.model != model);
        }
        reconcile::Command::LoadAdapter(..) | reconcile::Command::UnloadAdapter(..) => {}
    }
}

/// Models with few requests and a long latency objective.
pub fn rare(count: usize, per_s: f64) -> Vec<(String, Workload)> {
    let workload = Workload { per_s, latency_objective: Duration::from_millis(2_500) };
    (0..count).map(|index| (format!("rare-{index:02}"), workload.clone())).collect()
}

/// A model with many requests and a short latency objective.
pub fn busy(name: &str, per_s: f64) -> (String, Workload) {
    (name.to_owned(), Workload { per_s, latency_objective: Duration::from_millis(300) })
}

pub fn id(name: &str) -> TargetId {
    TargetId::from(name)
}

pub fn rng(seed: u64) -> impl Rng {
    ChaCha8Rng::seed_from_u64(seed)
}
