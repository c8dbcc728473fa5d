//! Simulation of engines of several speeds that share two models each, under demand that moves.
//!
//! A run takes the longer the more run beside it and the slower the engine. Prompts of one engine are read one after
//! the other. A caller whose request doesn't begin within its patience is refused.

use corianderstand_fleet::{config, demand, plan, reconcile, snapshot, targets};
use corianderstand_types::names::ModelId;
use rand::{RngExt, SeedableRng, rngs};
use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

const STEP: Duration = Duration::from_millis(10);
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
const OBJECTIVE: Duration = Duration::from_millis(500);
const PATIENCE: Duration = Duration::from_millis(2_000);
const UNLOAD_TIME: Duration = Duration::from_millis(10);
const PROMPT_TOKENS: u64 = 700;
/// Time to read a prompt, and of a run alone and for each other run, on an engine of usual speed.
const READING_S: f64 = 0.018;
const RUN_S: f64 = 0.4;
const RUN_S_PER_OTHER: f64 = 0.04;
const SLOTS: u32 = 32;
const ENGINE_MB: u64 = 83_000;
const LARGE_MB: u64 = 34_300;
const SMALL_MB: u64 = 16_100;
const HOST_COPIES: usize = 2;
const DISK_COPIES: usize = 6;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];

pub struct Engine {
    pub key: targets::TargetKey,
    pub speed: f64,
    pub holdings: targets::Holdings,
    pub is_up: bool,
    pub is_leaving: bool,
    command: Option<(reconcile::Command, f64)>,
    runs: Vec<(ModelId, Instant)>,
    reads_until: Instant,
}

struct Request {
    model: ModelId,
    arrived_at: Instant,
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub requests: u32,
    pub on_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Tally {
    pub fn on_time_ratio(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.requests.max(1))
    }
}

pub struct Uneven {
    pub now: Instant,
    pub rates: BTreeMap<ModelId, f64>,
    pub engines: Vec<Engine>,
    pub planner: plan::Planner,
    pub tallies: BTreeMap<ModelId, Tally>,
    pub commands: u32,
    pub store_loads: u32,
    pub copy_loads: u32,
    /// Time of a load from the store relative to its stated time.
    pub store_slowdown: f64,
    /// Whether the planner knows the engines' speeds.
    pub knows_speeds: bool,
    sizes: BTreeMap<ModelId, u64>,
    waiting: VecDeque<Request>,
    demand: demand::Demand,
    next_plan_at: Instant,
    rng: rngs::StdRng,
}

pub fn name(index: usize) -> ModelId {
    format!("m{index:03}").as_str().into()
}

impl Uneven {
    /// Creates engines and models of which the first are on several engines, with `copies` further models on each disk.
    pub fn new(engines: usize, models: usize, copies: usize, by_speed: bool, seed: u64) -> Self {
        println!("seed {seed}, by speed {by_speed}");
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let sizes: BTreeMap<ModelId, u64> = (0..models)
            .map(|index| (name(index), if index % 2 == 1 { SMALL_MB } else { LARGE_MB }))
            .collect();
        let mut keys: SlotMap<targets::TargetKey, ()> = SlotMap::with_key();
        let mut next = 0;
        let engines = (0..engines).map(|index| {
            let held = [name(next % models), name((next + 1) % models)];
            next += 2;
            let mut disk = held.to_vec();
            disk.extend((0..copies).map(|_| name(rng.random_range(0..models))));
            let resident = held.map(|model| targets::Resident { model, adapters: Vec::new() });
            Engine {
                key: keys.insert(()),
                speed: SPEEDS[index % SPEEDS.len()],
                holdings: targets::Holdings {
                    resident: resident.into(),
                    on_disk: disk,
                    ..Default::default()
                },
                is_up: true,
                is_leaving: false,
                command: None,
                runs: Vec::new(),
                reads_until: now,
            }
        });
        let engines = engines.collect();
        let mut planner = plan::Planner::default();
        planner.set_options(plan::Options { by_speed, store_loads_per_s: 15.0 });
        Self {
            now,
            rates: sizes.keys().map(|model| (model.clone(), 0.0)).collect(),
            engines,
            planner,
            tallies: BTreeMap::new(),
            commands: 0,
            store_loads: 0,
            copy_loads: 0,
            store_slowdown: 1.0,
            knows_speeds: true,
            sizes,
            waiting: VecDeque::new(),
            demand: demand::Demand::default(),
            next_plan_at: now,
            rng,
        }
    }

    pub fn set_rate(&mut self, index: usize, per_s: f64) {
        self.rates.insert(name(index), per_s);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.generate();
            self.advance_commands();
            self.serve();
            if self.now >= self.next_plan_at {
                self.next_plan_at = self.now + PLAN_INTERVAL;
                self.plan();
            }
            self.command_all();
        }
    }

    pub fn reset(&mut self) {
        self.tallies.clear();
        (self.commands, self.store_loads, self.copy_loads) = (0, 0, 0);
    }

    pub fn tally(&self, selects: impl Fn(&ModelId) -> bool) -> Tally {
        let selected = self.tallies.iter().filter(|(model, _)| selects(model));
        selected.fold(Tally::default(), |sum, (_, tally)| Tally {
            requests: sum.requests + tally.requests,
            on_time: sum.on_time + tally.on_time,
            late: sum.late + tally.late,
            refused: sum.refused + tally.refused,
        })
    }

    pub fn total(&self) -> Tally {
        self.tally(|_| true)
    }

    /// Speeds of the engines that hold a model.
    pub fn speeds(&self, index: usize) -> Vec<f64> {
        let model = name(index);
        let holders = self.engines.iter().filter(|e| e.holdings.resident(&model).is_some());
        holders.map(|engine| engine.speed).collect()
    }

    /// Ends an engine's process, and starts it again: only its disk is kept.
    pub fn restart(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        engine.command = None;
        engine.runs.clear();
        engine.holdings.resident.clear();
        engine.holdings.in_memory.clear();
        engine.holdings.commands_accepted = 0;
    }

    pub fn views(&self) -> Vec<snapshot::EngineView> {
        let up = self.engines.iter().filter(|engine| engine.is_up);
        up.map(|engine| self.view(engine)).collect()
    }

    fn view(&self, engine: &Engine) -> snapshot::EngineView {
        let mut running: BTreeMap<ModelId, u32> = BTreeMap::new();
        for (model, _) in &engine.runs {
            *running.entry(model.clone()).or_default() += 1;
        }
        let ongoing = engine.command.as_ref().map(|(command, left)| match command {
            reconcile::Command::Load(model) => targets::OngoingCommand::Loading {
                model: model.clone(),
                ready_at: self.now + Duration::from_secs_f64(left.max(0.0)),
                from_store: is_from_store(&engine.holdings, model),
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
            slots: SLOTS,
            adapter_slots: 8,
            holdings: engine.holdings.clone(),
            ongoing,
            request_limit: None,
            speed: if self.knows_speeds { engine.speed } else { 1.0 },
            is_leaving: engine.is_leaving,
            running,
        }
    }

    fn generate(&mut self) {
        for (model, rate) in &self.rates {
            let expected = rate * STEP.as_secs_f64();
            if expected <= 0.0 || self.rng.random::<f64>() >= expected {
                continue;
            }
            let profile = demand::RequestProfile {
                prompt_tokens: PROMPT_TOKENS,
                uses_adapter: false,
                latency_objective: OBJECTIVE,
            };
            self.demand.record_request(self.now, model, profile);
            self.tallies.entry(model.clone()).or_default().requests += 1;
            self.waiting.push_back(Request { model: model.clone(), arrived_at: self.now });
        }
    }

    fn serve(&mut self) {
        let now = self.now;
        for engine in &mut self.engines {
            engine.runs.retain(|(_, ends_at)| now < *ends_at);
        }
        for request in std::mem::take(&mut self.waiting) {
            let waited = now - request.arrived_at;
            let engine = self.engines.iter_mut().filter(|e| e.serves(&request.model));
            let engine = engine.min_by(|a, b| a.pressure().total_cmp(&b.pressure()));
            let tally = self.tallies.entry(request.model.clone()).or_default();
            match engine {
                Some(engine) => {
                    let begins_at = engine.start(now, request.model);
                    let is_on_time = begins_at - request.arrived_at <= OBJECTIVE;
                    let counter = if is_on_time { &mut tally.on_time } else { &mut tally.late };
                    *counter += 1;
                }
                None if waited >= PATIENCE => tally.refused += 1,
                None => self.waiting.push_back(request),
            }
        }
    }

    fn plan(&mut self) {
        let models = self.model_views();
        let views = self.views();
        self.planner.plan(self.now, &views, &models);
    }

    pub fn model_views(&self) -> snapshot::Models {
        let mut waiting: BTreeMap<&ModelId, u32> = BTreeMap::new();
        for request in &self.waiting {
            *waiting.entry(&request.model).or_default() += 1;
        }
        let views = self.sizes.iter().map(|(model, &weights_mb)| {
            let spec = config::Model {
                name: model.clone(),
                weights_mb,
                load_from_store: Duration::from_millis(13_200),
                load_from_disk: Duration::from_millis(510),
                load_from_memory: Duration::from_millis(390),
                ..Default::default()
            };
            let demand = self.demand.model_demand(self.now, model);
            let waiting = waiting.get(model).copied().unwrap_or(0);
            (model.clone(), snapshot::ModelView { spec, demand, waiting })
        });
        views.collect()
    }

    fn command_all(&mut self) {
        let capacity = reconcile::Capacity { weights_mb: ENGINE_MB, adapter_slots: 8 };
        for engine in self.engines.iter_mut().filter(|e| e.is_up && e.command.is_none()) {
            let desired = self.planner.desired().get(&engine.key).cloned().unwrap_or_default();
            let resident = engine.holdings.resident.iter().map(|resident| resident.model.clone());
            let extra = resident.filter(|model| !desired.contains(model));
            let models: Vec<_> = desired.iter().cloned().chain(extra).collect();
            let models: Vec<_> = models
                .into_iter()
                .map(|model| reconcile::EngineModel {
                    desired: desired.contains(&model),
                    weights_mb: self.sizes[&model],
                    adapter_mb: 0,
                    model,
                })
                .collect();
            let Some(command) = reconcile::next_model_command(capacity, &models, &engine.holdings)
            else {
                continue;
            };
            let seconds = match &command {
                reconcile::Command::Load(model) if is_from_store(&engine.holdings, model) => {
                    self.store_loads += 1;
                    13.2 * self.store_slowdown
                }
                reconcile::Command::Load(model) => {
                    self.copy_loads += 1;
                    if engine.holdings.in_memory.contains(model) { 0.39 } else { 0.51 }
                }
                _ => UNLOAD_TIME.as_secs_f64(),
            };
            self.commands += 1;
            engine.command = Some((command, seconds));
            engine.holdings.commands_accepted += 1;
        }
    }

    fn advance_commands(&mut self) {
        let loads = self.engines.iter().filter(|engine| engine.loads_from_store()).count();
        for engine in &mut self.engines {
            let from_store = engine.loads_from_store();
            let Some((command, left)) = &mut engine.command else { continue };
            let is_blocked = matches!(
                command,
                reconcile::Command::Unload(model) if engine.runs.iter().any(|(run, _)| run == model)
            );
            if is_blocked {
                continue;
            }
            let share = if from_store { 1.0 / loads as f64 } else { 1.0 };
            *left -= STEP.as_secs_f64() * share;
            if *left <= 0.0
                && let Some((command, _)) = engine.command.take()
            {
                execute(&mut engine.holdings, command);
            }
        }
    }
}

impl Engine {
    fn serves(&self, model: &ModelId) -> bool {
        let unloading =
            matches!(&self.command, Some((reconcile::Command::Unload(own), _)) if own == model);
        self.is_up
            && !unloading
            && self.runs.len() < SLOTS as usize
            && self.holdings.resident(model).is_some()
    }

    fn pressure(&self) -> f64 {
        (self.runs.len() as f64 + 1.0) / self.speed
    }

    /// Starts a run and returns when its first event comes.
    fn start(&mut self, now: Instant, model: ModelId) -> Instant {
        self.reads_until =
            self.reads_until.max(now) + Duration::from_secs_f64(READING_S / self.speed);
        let others = self.runs.len() as f64;
        let seconds = (RUN_S + RUN_S_PER_OTHER * others) / self.speed;
        self.runs.push((model, self.reads_until + Duration::from_secs_f64(seconds)));
        self.reads_until
    }

    fn loads_from_store(&self) -> bool {
        matches!(
            &self.command,
            Some((reconcile::Command::Load(model), _)) if is_from_store(&self.holdings, model)
        )
    }
}

fn is_from_store(holdings: &targets::Holdings, model: &ModelId) -> bool {
    !holdings.in_memory.contains(model) && !holdings.on_disk.contains(model)
}

fn execute(holdings: &mut targets::Holdings, command: reconcile::Command) {
    match command {
        reconcile::Command::Load(model) => {
            holdings.on_disk.retain(|cached| *cached != model);
            holdings.on_disk.insert(0, model.clone());
            holdings.on_disk.truncate(DISK_COPIES);
            holdings.in_memory.retain(|cached| *cached != model);
            holdings.in_memory.insert(0, model.clone());
            holdings.in_memory.truncate(HOST_COPIES);
            holdings.resident.push(targets::Resident { model, adapters: Vec::new() });
        }
        reconcile::Command::Unload(model) => {
            holdings.resident.retain(|resident| resident.model != model);
        }
        reconcile::Command::LoadAdapter(..) | reconcile::Command::UnloadAdapter(..) => {}
    }
}
