//! Estimates how many concurrent loads the weight store sustains.
//!
//! The estimate drops when a load takes much longer than expected, and rises when a load takes its
//! expected time at the current limit.

use crate::{
    snapshot::{EngineView, Models},
    targets,
};
use corianderstand_types::names;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// A store that carries a single load gives nothing sooner when more loads share it; one that carries four is
/// known to after two loads.
const INITIAL_CONCURRENT_LOADS: u32 = 2;
/// Limit of a careful planner at first: two loads that share a store that carries one are both late.
const CAREFUL_CONCURRENT_LOADS: u32 = 1;
/// Time after a slow load in which a careful planner doesn't raise the limit again.
const CAREFUL_PROBE_INTERVAL: Duration = Duration::from_secs(60);
/// Factor by which the limit rises after a load that wasn't slowed down at the limit.
const PROBE_FACTOR: u32 = 2;
/// A load that takes this many times its expected time shares the store with too many others.
const CONGESTION_RATIO: f64 = 1.25;

/// Bounds what a load that was held up says of the next ones.
const MAX_SLOWDOWN: f64 = 10.0;

/// Limit on concurrent loads from the weight store, adapted to observed load times.
#[derive(Debug)]
pub struct StoreConcurrency {
    pub max_concurrent_loads: u32,
    /// Time that a load takes relative to its stated time where it is not slowed down by others.
    pub slowdown: f64,
    loads: HashMap<targets::TargetKey, StoreLoad>,
    last_busy_at: Option<Instant>,
    is_careful: bool,
    last_congested_at: Option<Instant>,
}

#[derive(Debug)]
struct StoreLoad {
    model: names::ModelId,
    started_at: Instant,
    max_concurrent: u32,
    /// Loads at the store when it started, with itself.
    concurrent_at_start: u32,
}

impl Default for StoreConcurrency {
    fn default() -> Self {
        Self {
            max_concurrent_loads: INITIAL_CONCURRENT_LOADS,
            slowdown: 1.0,
            loads: HashMap::new(),
            last_busy_at: None,
            is_careful: false,
            last_congested_at: None,
        }
    }
}

impl StoreConcurrency {
    /// Sets whether the limit starts at a single load and rises slowly.
    pub fn set_careful(&mut self, is_careful: bool) {
        if is_careful && !self.is_careful {
            self.max_concurrent_loads = CAREFUL_CONCURRENT_LOADS;
        }
        self.is_careful = is_careful;
    }

    /// Whether no load has been observed for this time.
    pub fn is_idle_for(&self, now: Instant, time: Duration) -> bool {
        self.last_busy_at.is_none_or(|at| now.saturating_duration_since(at) >= time)
    }

    /// Tracks the ongoing loads and updates the limit from those that have completed.
    pub fn observe(&mut self, now: Instant, engines: &[EngineView], models: &Models) {
        let loading: HashMap<_, _> = engines.iter().filter_map(store_load).collect();
        let count = loading.len() as u32;
        if count > 0 {
            self.last_busy_at = Some(now);
        }
        let completed =
            self.loads.iter().filter(|(key, load)| loading.get(*key) != Some(&&load.model));
        let completed: Vec<_> = completed.map(|(key, _)| *key).collect();
        for key in completed {
            let Some(load) = self.loads.remove(&key) else { continue };
            let engine = engines.iter().find(|engine| engine.key == key);
            let resident = engine.is_some_and(|e| e.holdings.resident(&load.model).is_some());
            if let (true, Some(model)) = (resident, models.get(&load.model)) {
                self.update_limit(now, &load, model.spec.load_from_store);
            }
        }
        for (key, model) in loading {
            let load = StoreLoad {
                model: model.clone(),
                started_at: now,
                max_concurrent: count,
                concurrent_at_start: count,
            };
            let load = self.loads.entry(key).or_insert(load);
            load.max_concurrent = load.max_concurrent.max(count);
        }
    }

    fn update_limit(&mut self, now: Instant, load: &StoreLoad, expected: Duration) {
        let elapsed = now.saturating_duration_since(load.started_at).as_secs_f64();
        let slowdown = elapsed / expected.as_secs_f64().max(0.001);
        if load.concurrent_at_start == 1 && load.max_concurrent == 1 || slowdown <= CONGESTION_RATIO
        {
            self.slowdown = slowdown.clamp(1.0, MAX_SLOWDOWN);
        }
        if slowdown > CONGESTION_RATIO {
            let sustained = (f64::from(load.max_concurrent) / slowdown).round() as u32;
            self.max_concurrent_loads = sustained.clamp(1, self.max_concurrent_loads);
            self.last_congested_at = Some(now);
        } else if self.is_careful {
            self.raise_carefully(now, load);
        } else if load.max_concurrent >= self.max_concurrent_loads {
            self.max_concurrent_loads = load.max_concurrent * PROBE_FACTOR;
        }
    }
}

impl StoreConcurrency {
    /// Raises the limit by one after a load that started at the limit. A store may serve the loads that came first at
    /// full speed, so those that join a load later say nothing of what it carries.
    fn raise_carefully(&mut self, now: Instant, load: &StoreLoad) {
        let is_congested = self
            .last_congested_at
            .is_some_and(|at| now.saturating_duration_since(at) < CAREFUL_PROBE_INTERVAL);
        if !is_congested && load.concurrent_at_start >= self.max_concurrent_loads {
            self.max_concurrent_loads = load.concurrent_at_start + 1;
        }
    }
}

fn store_load(engine: &EngineView) -> Option<(targets::TargetKey, &names::ModelId)> {
    match &engine.ongoing {
        Some(targets::OngoingCommand::Loading { model, from_store: true, .. }) => {
            Some((engine.key, model))
        }
        _ => None,
    }
}
