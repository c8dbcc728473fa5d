//! A small deployment of engines and models under load, without sockets and with its own time.
//!
//! Engines hold a few models each and keep copies on disk; the weight store carries few loads at
//! once; a run takes a second and a half. Requests wait until an engine holds their model. What comes
//! out is how soon they began to run.

#![allow(dead_code, reason = "each test file uses its own part")]

use corianderstand_fleet::{config, demand, plan, reconcile, snapshot, targets};
use corianderstand_types::names::{ModelId, TargetId};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// Time of one step of the world.
const STEP: Duration = Duration::from_millis(10);
/// Time that a run takes.
const RUN: Duration = Duration::from_millis(1_400);
/// Time that an idle model takes to be dropped.
const DROP: Duration = Duration::from_millis(60);
/// Loads that the weight store carries at full speed.
const STORE_AT_ONCE: f64 = 4.0;
/// Memory of one model, and of one engine: three fit.
const MODEL_MB: u64 = 70_000;
const ENGINE_MB: u64 = 220_000;
/// A caller leaves after this many aims.
const LEAVES_AFTER: u32 = 4;

/// A model as the world offers it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub per_s: f64,
    pub aim: Duration,
}

struct Engine {
    key: targets::TargetKey,
    holdings: targets::Holdings,
    order: Option<(reconcile::Command, f64)>,
    runs: Vec<(ModelId, Instant)>,
    up: bool,
}

struct Request {
    model: ModelId,
    came: Instant,
    aim: Duration,
}

/// What became of a model's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub in_aim: u32,
    pub left: u32,
}

impl Tally {
    pub fn share_in_aim(&self) -> f64 {
        f64::from(self.in_aim) / f64::from(self.asked.max(1))
    }

    pub fn share_left(&self) -> f64 {
        f64::from(self.left) / f64::from(self.asked.max(1))
    }
}

/// The world.
pub struct World {
    pub now: Instant,
    pub models: BTreeMap<ModelId, Asked>,
    pub tallies: BTreeMap<ModelId, Tally>,
    pub orders: u32,
    pub store_loads: u32,
    /// Most memory that an engine was ever ordered to hold, in MB.
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

impl World {
    /// Engines with `copies` models on each disk, three of them resident.
    pub fn new(engines: usize, models: &[(&str, Asked)], copies: usize, seed: u64) -> Self {
        println!("seed {seed}");
        let names: Vec<ModelId> = models.iter().map(|(name, _)| ModelId::from(*name)).collect();
        let mut keys: SlotMap<targets::TargetKey, ()> = SlotMap::with_key();
        let engines = (0..engines).map(|index| {
            let disk: Vec<ModelId> =
                (0..copies).map(|copy| names[(index * 3 + copy) % names.len()].clone()).collect();
            let resident = disk
                .iter()
                .take(3)
                .map(|model| targets::Resident { model: model.clone(), adapters: Vec::new() });
            let resident = resident.collect();
            let holdings = targets::Holdings { resident, on_disk: disk, ..Default::default() };
            let key = keys.insert(());
            Engine { key, holdings, order: None, runs: Vec::new(), up: true }
        });
        Self {
            now: Instant::now(),
            models: models.iter().map(|(name, asked)| ((*name).into(), asked.clone())).collect(),
            tallies: BTreeMap::new(),
            orders: 0,
            store_loads: 0,
            most_mb: 0,
            engines: engines.collect(),
            waiting: VecDeque::new(),
            demand: demand::Demand::default(),
            planner: plan::Planner::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.arrive();
            self.finish_runs();
            self.work_off_orders();
            self.serve();
            self.plan();
        }
    }

    /// Forgets what became of requests so far.
    pub fn forget(&mut self) {
        self.tallies.clear();
        self.orders = 0;
        self.store_loads = 0;
    }

    /// An engine loses all that it held and did; its disk stays.
    pub fn crash(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        engine.up = false;
        engine.order = None;
        engine.runs.clear();
        engine.holdings.resident.clear();
        engine.holdings.in_memory.clear();
        engine.holdings.orders = 0;
    }

    /// An engine that crashed is back.
    pub fn restart(&mut self, index: usize) {
        self.engines[index].up = true;
    }

    /// What became of the requests of several models together.
    pub fn tally(&self, models: impl Fn(&str) -> bool) -> Tally {
        let own = self.tallies.iter().filter(|(name, _)| models(name.as_str()));
        own.fold(Tally::default(), |sum, (_, tally)| Tally {
            asked: sum.asked + tally.asked,
            in_aim: sum.in_aim + tally.in_aim,
            left: sum.left + tally.left,
        })
    }

    /// Engines that hold a model.
    pub fn holders(&self, model: &str) -> usize {
        let model = ModelId::from(model);
        self.engines.iter().filter(|engine| engine.holdings.resident(&model).is_some()).count()
    }

    fn arrive(&mut self) {
        let step = STEP.as_secs_f64();
        for (name, asked) in &self.models {
            if self.rng.random::<f64>() >= asked.per_s * step {
                continue;
            }
            let weight = demand::RequestProfile {
                prompt_tokens: 600,
                uses_adapter: false,
                latency_objective: asked.aim,
            };
            self.demand.record_request(self.now, name, weight);
            self.tallies.entry(name.clone()).or_default().asked += 1;
            let request = Request { model: name.clone(), came: self.now, aim: asked.aim };
            self.waiting.push_back(request);
        }
    }

    fn finish_runs(&mut self) {
        for engine in &mut self.engines {
            engine.runs.retain(|(_, began)| self.now.saturating_duration_since(*began) < RUN);
        }
    }

    fn serve(&mut self) {
        let now = self.now;
        for request in std::mem::take(&mut self.waiting) {
            let waited = now.saturating_duration_since(request.came);
            let holder = self.engines.iter_mut().filter(|engine| {
                let gone = matches!(&engine.order, Some((reconcile::Command::Unload(gone), _)) if *gone == request.model);
                engine.up && !gone && engine.holdings.resident(&request.model).is_some()
            });
            let tally = self.tallies.entry(request.model.clone()).or_default();
            match holder.min_by_key(|engine| engine.runs.len()) {
                Some(engine) => {
                    engine.runs.push((request.model, now));
                    tally.in_aim += u32::from(waited <= request.aim);
                }
                None if waited >= request.aim * LEAVES_AFTER => tally.left += 1,
                None => self.waiting.push_back(request),
            }
        }
    }

    fn plan(&mut self) {
        let models = self.model_views();
        let views = self.engine_views();
        let wants = self.planner.plan(self.now, &views, &models).clone();
        let room = reconcile::Capacity { weights_mb: ENGINE_MB, adapter_slots: 8 };
        for engine in self.engines.iter_mut().filter(|engine| engine.up && engine.order.is_none()) {
            let wanted = wants.get(&engine.key).cloned().unwrap_or_default();
            let held = engine.holdings.resident.iter().map(|resident| resident.model.clone());
            let extra = held.filter(|model| !wanted.contains(model));
            let parts: Vec<reconcile::EngineModel> = wanted
                .iter()
                .cloned()
                .chain(extra)
                .map(|model| reconcile::EngineModel {
                    desired: wanted.contains(&model),
                    model,
                    weights_mb: MODEL_MB,
                    adapter_mb: 0,
                })
                .collect();
            if let Some(order) = reconcile::next_model_command(room, &parts, &engine.holdings) {
                let takes = match &order {
                    reconcile::Command::Load(model) => takes(&engine.holdings, model),
                    _ => DROP.as_secs_f64(),
                };
                if takes > 1.0 {
                    self.store_loads += 1;
                }
                if matches!(order, reconcile::Command::Load(_)) {
                    let used = (engine.holdings.resident.len() as u64 + 1) * MODEL_MB;
                    self.most_mb = self.most_mb.max(used);
                }
                self.orders += 1;
                engine.order = Some((order, takes));
                engine.holdings.orders += 1;
            }
        }
    }

    fn model_views(&self) -> BTreeMap<ModelId, snapshot::ModelView> {
        let views = self.models.keys().map(|name| {
            let waiting = self.waiting.iter().filter(|request| request.model == *name).count();
            let asked = self.demand.model_demand(self.now, name);
            (
                name.clone(),
                snapshot::ModelView { spec: spec(name), demand: asked, waiting: waiting as u32 },
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
            let ongoing = engine.order.as_ref().map(|(order, left)| match order {
                reconcile::Command::Load(model) => targets::Ongoing::Loading {
                    model: model.clone(),
                    ready_at: self.now + Duration::from_secs_f64(left.max(0.0)),
                    from_store: takes(&engine.holdings, model) > 1.0,
                },
                reconcile::Command::Unload(model)
                | reconcile::Command::LoadAdapter(model, _)
                | reconcile::Command::UnloadAdapter(model, _) => {
                    targets::Ongoing::Unloading { model: model.clone() }
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
                running,
            }
        });
        views.collect()
    }

    fn work_off_orders(&mut self) {
        let loading = |engine: &Engine| match &engine.order {
            Some((reconcile::Command::Load(model), _)) => takes(&engine.holdings, model) > 1.0,
            _ => false,
        };
        let store = self.engines.iter().filter(|engine| loading(engine)).count() as f64;
        let share = (STORE_AT_ONCE / store.max(1.0)).min(1.0);
        for engine in &mut self.engines {
            let from_store = loading(engine);
            let Some((order, left)) = &mut engine.order else { continue };
            let waits = match order {
                reconcile::Command::Unload(model) => {
                    engine.runs.iter().any(|(own, _)| own == model)
                }
                _ => false,
            };
            if waits {
                continue;
            }
            *left -= STEP.as_secs_f64() * if from_store { share } else { 1.0 };
            if *left <= 0.0 {
                let order = order.clone();
                engine.order = None;
                carry_out(&mut engine.holdings, order);
            }
        }
    }
}

fn takes(holdings: &targets::Holdings, model: &ModelId) -> f64 {
    let spec = spec(model);
    if holdings.in_memory.contains(model) {
        spec.load_from_memory.as_secs_f64()
    } else if holdings.on_disk.contains(model) {
        spec.load_from_disk.as_secs_f64()
    } else {
        spec.load_from_store.as_secs_f64()
    }
}

fn carry_out(holdings: &mut targets::Holdings, order: reconcile::Command) {
    match order {
        reconcile::Command::Load(model) => {
            if !holdings.on_disk.contains(&model) {
                holdings.on_disk.push(model.clone());
            }
            holdings.in_memory.retain(|own| *own != model);
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

/// Rare models, each asked for now and then by patient callers.
pub fn rare(count: usize, per_s: f64) -> Vec<(String, Asked)> {
    let asked = Asked { per_s, aim: Duration::from_millis(2_500) };
    (0..count).map(|index| (format!("rare-{index:02}"), asked.clone())).collect()
}

/// A model that many ask for and want at once.
pub fn busy(name: &str, per_s: f64) -> (String, Asked) {
    (name.to_owned(), Asked { per_s, aim: Duration::from_millis(300) })
}

/// A target's name, for tests of entries.
pub fn id(name: &str) -> TargetId {
    TargetId::from(name)
}

/// Draws for shuffled cases.
pub fn rng(seed: u64) -> impl Rng {
    ChaCha8Rng::seed_from_u64(seed)
}
