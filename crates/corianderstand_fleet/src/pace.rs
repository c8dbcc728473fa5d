//! How many loads the weight store carries at once.
//!
//! Nobody says it. A load that takes much longer than it should has shared the store with too many
//! others; as many that take their usual time show that the store carries one more.

use crate::{
    snapshot::{EngineView, Models},
    targets,
};
use corianderstand_types::names;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Loads from the weight store at once, until the time that loads take tells how many it carries. One
/// that carries a single load gives nothing sooner when more share it: of four begun at once, of 13
/// seconds each, none was there before 53. One that carries four is known to after two loads.
const STORE_AT_ONCE: u32 = 2;
/// Factor by which more are tried after a load that took its usual time beside as many as allowed.
const TRIED: u32 = 2;
/// A load that took this many times as long as it says shares the store with too many others.
const SLOWED: f64 = 1.25;

/// How many loads the weight store carries at once, learnt from the time that loads take.
#[derive(Debug)]
pub struct StorePace {
    /// Loads at once.
    pub at_once: u32,
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
    /// Sees which loads are under way, and learns from those that have ended.
    pub fn observe(&mut self, now: Instant, engines: &[EngineView], models: &Models) {
        let loading: HashMap<_, _> = engines.iter().filter_map(store_load).collect();
        let count = loading.len() as u32;
        let ended = self.loads.iter().filter(|(key, load)| loading.get(*key) != Some(&&load.model));
        let ended: Vec<_> = ended.map(|(key, _)| *key).collect();
        for key in ended {
            let Some(load) = self.loads.remove(&key) else { continue };
            let there = engines.iter().find(|engine| engine.key == key);
            let there = there.is_some_and(|e| e.holdings.resident(&load.model).is_some());
            if let (true, Some(model)) = (there, models.get(&load.model)) {
                self.learn(now, &load, model.spec.load_from_store);
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
            self.at_once = load.most_beside * TRIED;
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
