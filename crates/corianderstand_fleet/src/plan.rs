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

use crate::{config, targets};
use corianderstand_derives::derives;
use corianderstand_types::names;
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// Requests a second that a model without any counts as, so that models come to engines before
/// anybody asks. Far below one request in ten seconds, so that a model that is asked for is worth
/// more.
const PRIOR_PER_S: f64 = 0.01;
/// Time over which a place is given: what a model gains or loses is its rate times this. Demand
/// moves on within some ten seconds.
const HORIZON: f64 = 10.0;
/// A model takes the place of another only if it is asked for this many times as much; rates are
/// known to a third, and without a margin two models would take turns.
const MARGIN: f64 = 1.6;
/// A model that somebody waits for counts as asked for this many times a second more for each that
/// waits.
const WAITING_PER_S: f64 = 2.0;
/// A model stays this long before another may take its place; a swap costs a second of serving
/// neither.
const LEAST_STAY: Duration = Duration::from_millis(1_500);
/// Part of a batch that one replica is meant to work at. Beyond it steps grow slower and a burst of
/// twice the usual finds no room.
const TARGET_SHARE: f64 = 0.5;
/// Time of a run that an unload has to wait for: some 300 tokens at 5 ms.
const RUN: Duration = Duration::from_millis(1_400);
/// What the second replica of a model is worth, as part of its rate: it is there when an engine
/// crashes, which a few in a hundred do within [`HORIZON`].
const SPARE_WORTH: f64 = 0.05;
/// Loads from the weight store at once, until the time that loads take tells how many it carries.
const STORE_AT_ONCE: u32 = 4;
/// A load that took this many times as long as it says shares the store with too many others.
const SLOWED: f64 = 1.25;

/// An engine as the plan sees it.
#[derives(data)]
pub struct EngineView {
    /// Its key.
    pub key: targets::TargetKey,
    /// Its agent is there to carry out orders; if not, it serves what it holds.
    pub orderable: bool,
    /// Memory for weights, in MB.
    pub weights_mb: u64,
    /// Requests in one batch.
    pub slots: u32,
    /// What it holds.
    pub holdings: targets::Holdings,
    /// The order that it is carrying out.
    pub ongoing: Option<targets::Ongoing>,
    /// Requests at it by model, of all routers.
    pub running: BTreeMap<names::ModelId, u32>,
}

/// A model as the plan sees it.
#[derives(data)]
pub struct ModelView {
    /// What is configured of it.
    pub spec: config::Model,
    /// Requests a second, of all routers.
    pub per_s: f64,
    /// Requests that wait for it.
    pub waiting: u32,
}

/// The planner: the last plan, and what it has learnt of the weight store.
#[derive(Debug, Default)]
pub struct Planner {
    wants: HashMap<targets::TargetKey, Vec<names::ModelId>>,
    placed: HashMap<(targets::TargetKey, names::ModelId), Instant>,
    store: StorePace,
}

/// How many loads the weight store carries at once, learnt from the time that loads take.
#[derive(Debug)]
struct StorePace {
    at_once: u32,
    loads: HashMap<targets::TargetKey, StoreLoad>,
}

#[derive(Debug)]
struct StoreLoad {
    model: names::ModelId,
    began: Instant,
    most_beside: u32,
}

impl Default for StorePace {
    fn default() -> Self {
        Self { at_once: STORE_AT_ONCE, loads: HashMap::new() }
    }
}

impl StorePace {
    fn observe(&mut self, now: Instant, engines: &[EngineView], models: &Models) {
        let loading: HashMap<_, _> = engines.iter().filter_map(store_load).collect();
        let count = loading.len() as u32;
        let ended = self.loads.iter().filter(|(key, load)| loading.get(*key) != Some(&&load.model));
        let ended: Vec<_> = ended.map(|(key, _)| *key).collect();
        for key in ended {
            let Some(load) = self.loads.remove(&key) else { continue };
            let there = engines.iter().find(|engine| engine.key == key);
            let there = there.is_some_and(|e| e.holdings.resident(&load.model).is_some());
            if let (true, Some(model)) = (there, models.get(&load.model)) {
                self.learn(now, &load, model.spec.load);
            }
        }
        for (key, model) in loading {
            let load = StoreLoad { model: model.clone(), began: now, most_beside: count };
            let load = self.loads.entry(key).or_insert(load);
            load.most_beside = load.most_beside.max(count);
        }
    }

    fn learn(&mut self, now: Instant, load: &StoreLoad, usual: Duration) {
        let took = now.saturating_duration_since(load.began).as_secs_f64();
        let slowed = took / usual.as_secs_f64().max(0.001);
        if slowed > SLOWED {
            let carried = (f64::from(load.most_beside) / slowed).round() as u32;
            self.at_once = carried.clamp(1, self.at_once);
        } else if load.most_beside >= self.at_once {
            self.at_once = load.most_beside + 1;
        }
    }
}

fn store_load(engine: &EngineView) -> Option<(targets::TargetKey, &names::ModelId)> {
    match &engine.ongoing {
        Some(targets::Ongoing::Loading { model, from_store: true, .. }) => {
            Some((engine.key, model))
        }
        _ => None,
    }
}

type Models = BTreeMap<names::ModelId, ModelView>;

/// A place for a model on an engine, and what has to go for it.
#[derive(Clone, Debug)]
struct Place {
    engine: usize,
    victims: Vec<names::ModelId>,
    ready_in: Duration,
    from_store: bool,
    loss: f64,
}

impl Planner {
    /// What each engine should hold, made anew from what is known now.
    pub fn plan(
        &mut self,
        now: Instant,
        engines: &[EngineView],
        models: &Models,
    ) -> &HashMap<targets::TargetKey, Vec<names::ModelId>> {
        self.store.observe(now, engines, models);
        self.follow(now, engines, models);
        let mut wishes: Vec<(f64, &ModelView)> =
            models.values().filter_map(|model| self.wish(engines, model)).collect();
        wishes.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.spec.name.cmp(&b.1.spec.name)));
        for (worth, model) in wishes {
            if let Some(place) = self.place(now, engines, models, model, worth) {
                self.take(now, engines, &place, &model.spec.name);
            }
        }
        &self.wants
    }

    /// Starts from what engines hold and are loading, so that a new planner changes nothing that
    /// needs no change.
    fn follow(&mut self, now: Instant, engines: &[EngineView], models: &Models) {
        self.wants.retain(|key, _| engines.iter().any(|engine| engine.key == *key));
        self.placed.retain(|(key, _), _| engines.iter().any(|engine| engine.key == *key));
        for engine in engines {
            let wants = self.wants.entry(engine.key).or_default();
            wants.retain(|name| models.contains_key(name));
            let loading = match &engine.ongoing {
                Some(targets::Ongoing::Loading { model, .. }) => Some(model),
                _ => None,
            };
            let held = engine.holdings.resident.iter().map(|resident| &resident.model);
            for model in held.chain(loading) {
                let Some(view) = models.get(model) else { continue };
                let used: u64 = wants.iter().map(|name| models[name].spec.weights_mb).sum();
                if !wants.contains(model) && used + view.spec.weights_mb <= engine.weights_mb {
                    wants.push(model.clone());
                    self.placed.insert((engine.key, model.clone()), now);
                }
            }
        }
    }

    fn replicas(&self, model: &names::ModelId) -> usize {
        self.wants.values().filter(|wants| wants.contains(model)).count()
    }

    /// What one more replica of the model is worth, in requests a second; none if it needs none.
    fn wish<'a>(
        &self,
        engines: &[EngineView],
        model: &'a ModelView,
    ) -> Option<(f64, &'a ModelView)> {
        let replicas = self.replicas(&model.spec.name);
        if replicas == 0 {
            let waiting = f64::from(model.waiting) * WAITING_PER_S;
            return Some((model.per_s.max(PRIOR_PER_S) + waiting, model));
        }
        if replicas >= needed(engines, model) {
            return None;
        }
        // Shared by so many, each further one takes a smaller part of the load.
        Some((model.per_s / (replicas + 1) as f64, model))
    }

    fn place(
        &self,
        now: Instant,
        engines: &[EngineView],
        models: &Models,
        model: &ModelView,
        worth: f64,
    ) -> Option<Place> {
        let store_full = self.store_loads(engines, models) >= self.store.at_once;
        let places = (0..engines.len()).filter_map(|index| {
            let engine = &engines[index];
            let free =
                self.is_settled(engine) && !self.wants[&engine.key].contains(&model.spec.name);
            free.then(|| self.place_on(now, engines, index, models, model)).flatten()
        });
        let places = places.filter(|place| !(place.from_store && store_full));
        let places = places.filter(|place| worth > place.loss * MARGIN || place.victims.is_empty());
        let cost = |place: &Place| worth * place.ready_in.as_secs_f64() + place.loss * HORIZON;
        places.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Loads from the store that are under way or planned.
    fn store_loads(&self, engines: &[EngineView], models: &Models) -> u32 {
        let coming = |engine: &EngineView| {
            let wants = &self.wants[&engine.key];
            wants.iter().any(|name| {
                engine.holdings.resident(name).is_none()
                    && models.get(name).is_some_and(|view| source(engine, &view.spec).1)
            })
        };
        engines.iter().filter(|engine| coming(engine)).count() as u32
    }

    /// Whether the engine holds all that it should and nothing is under way.
    fn is_settled(&self, engine: &EngineView) -> bool {
        let wants = &self.wants[&engine.key];
        let held = |name: &names::ModelId| engine.holdings.resident(name).is_some();
        engine.orderable && engine.ongoing.is_none() && wants.iter().all(held)
    }

    fn place_on(
        &self,
        now: Instant,
        engines: &[EngineView],
        index: usize,
        models: &Models,
        model: &ModelView,
    ) -> Option<Place> {
        let engine = &engines[index];
        let wants = &self.wants[&engine.key];
        let (mut ready_in, from_store) = source(engine, &model.spec);
        let mut used: u64 =
            wants.iter().filter_map(|n| models.get(n)).map(|m| m.spec.weights_mb).sum();
        let mut others: Vec<(f64, &names::ModelId)> = wants
            .iter()
            .filter(|name| self.may_go(now, engine.key, name))
            .filter_map(|name| Some((self.loss(engines, engine, models.get(name)?), name)))
            .collect();
        others.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut place =
            Place { engine: index, victims: Vec::new(), ready_in, from_store, loss: 0.0 };
        for (loss, name) in others {
            if used + model.spec.weights_mb <= engine.weights_mb {
                break;
            }
            used -= models[name].spec.weights_mb;
            place.loss += loss;
            place.victims.push(name.clone());
            if engine.running.get(name).is_some_and(|&running| running > 0) {
                ready_in += RUN;
            }
        }
        place.ready_in = ready_in;
        (used + model.spec.weights_mb <= engine.weights_mb).then_some(place)
    }

    fn may_go(&self, now: Instant, key: targets::TargetKey, model: &names::ModelId) -> bool {
        let since = self.placed.get(&(key, model.clone()));
        since.is_none_or(|&since| now.saturating_duration_since(since) >= LEAST_STAY)
    }

    /// What is lost, in requests a second, when the model leaves this engine.
    fn loss(&self, engines: &[EngineView], engine: &EngineView, model: &ModelView) -> f64 {
        let others = self.replicas(&model.spec.name).saturating_sub(1);
        let running = engine.running.get(&model.spec.name).copied().unwrap_or(0);
        let rate = model.per_s.max(PRIOR_PER_S);
        if others >= needed(engines, model) {
            return rate * SPARE_WORTH / others as f64;
        }
        if others > 0 {
            return rate / (others + 1) as f64;
        }
        // It can be back within a second, so a model that somebody waits for takes the place of
        // one that is asked for as much and has nothing to do just now.
        rate + f64::from(model.waiting + running) * WAITING_PER_S
    }

    fn take(
        &mut self,
        now: Instant,
        engines: &[EngineView],
        place: &Place,
        model: &names::ModelId,
    ) {
        let key = engines[place.engine].key;
        let wants = self.wants.entry(key).or_default();
        wants.retain(|name| !place.victims.contains(name));
        wants.push(model.clone());
        for victim in &place.victims {
            self.placed.remove(&(key, victim.clone()));
        }
        self.placed.insert((key, model.clone()), now);
    }
}

/// Replicas that a model's requests keep at [`TARGET_SHARE`] of a batch.
fn needed(engines: &[EngineView], model: &ModelView) -> usize {
    let name = &model.spec.name;
    let running: u32 = engines.iter().filter_map(|engine| engine.running.get(name)).sum();
    let slots = engines.iter().map(|engine| engine.slots).min().unwrap_or(1).max(1);
    let share = f64::from(running + model.waiting) / (f64::from(slots) * TARGET_SHARE);
    (share.ceil() as usize).max(1)
}

/// How long an engine takes to load a model, and whether from the weight store.
pub fn source(engine: &EngineView, model: &config::Model) -> (Duration, bool) {
    if engine.holdings.in_memory.contains(&model.name) {
        (model.load_from_memory, false)
    } else if engine.holdings.on_disk.contains(&model.name) {
        (model.load_from_disk, false)
    } else {
        (model.load, true)
    }
}
