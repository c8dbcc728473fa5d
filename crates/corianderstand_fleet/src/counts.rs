//! Fleet-wide counts, computed once per plan to keep planning time linear in the number of engines.

use crate::{
    config,
    snapshot::{self, EngineView, ModelView, Models},
    targets,
};
use corianderstand_types::names;
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// Counts over all engines.
#[derive(Debug)]
pub struct FleetCounts<'a> {
    /// Smallest number of batch slots on any engine.
    pub min_batch_slots: u32,
    /// Smallest number of adapter slots on any engine.
    pub min_adapter_slots: usize,
    /// Number of engines that accept commands.
    pub commandable_engines: usize,
    /// Number of engines that load from the weight store or are planned to.
    pub store_loads: u32,
    running_requests: HashMap<&'a names::ModelId, u32>,
    /// Indices of the engines that accept commands and cache a model's weights, in ascending order.
    engines_by_cached_model: HashMap<&'a names::ModelId, Vec<usize>>,
    planned_replicas: HashMap<names::ModelId, usize>,
}

impl<'a> FleetCounts<'a> {
    /// Counts the engines, and the replicas in the `desired` plan.
    pub fn new(
        engines: &'a [EngineView],
        models: &Models,
        desired: &HashMap<targets::TargetKey, Vec<names::ModelId>>,
    ) -> Self {
        let mut running: HashMap<_, u32> = HashMap::new();
        for (model, count) in engines.iter().flat_map(|engine| &engine.running) {
            *running.entry(model).or_default() += count;
        }
        let mut replicas: HashMap<_, usize> = HashMap::new();
        let counted = engines.iter().filter_map(|engine| Some((engine, desired.get(&engine.key)?)));
        let counted = counted.filter(|(engine, desired)| takes_demand(engine, models, desired));
        for model in counted.flat_map(|(_, desired)| desired) {
            *replicas.entry(model.clone()).or_default() += 1;
        }
        Self {
            running_requests: running,
            planned_replicas: replicas,
            ..Self::of_engines(engines, models, desired)
        }
    }

    /// Counts the engines only: running requests and replicas are counted elsewhere.
    pub fn of_engines(
        engines: &'a [EngineView],
        models: &Models,
        desired: &HashMap<targets::TargetKey, Vec<names::ModelId>>,
    ) -> Self {
        let mut cached_weights: HashMap<_, Vec<usize>> = HashMap::new();
        for (index, engine) in engines.iter().enumerate().filter(|(_, e)| e.accepts_commands) {
            let cached = engine.holdings.in_memory.iter().chain(&engine.holdings.on_disk);
            for model in cached {
                let indices = cached_weights.entry(model).or_default();
                if indices.last() != Some(&index) {
                    indices.push(index);
                }
            }
        }
        Self {
            min_batch_slots: engines.iter().map(|engine| engine.slots).min().unwrap_or(1).max(1),
            min_adapter_slots: engines.iter().map(|e| e.adapter_slots).min().unwrap_or(1).max(1),
            commandable_engines: engines.iter().filter(|engine| engine.accepts_commands).count(),
            store_loads: store_loads(engines, models, desired),
            running_requests: HashMap::new(),
            engines_by_cached_model: cached_weights,
            planned_replicas: HashMap::new(),
        }
    }

    /// Returns the number of running requests for a model.
    pub fn running(&self, model: &names::ModelId) -> u32 {
        self.running_requests.get(model).copied().unwrap_or(0)
    }

    /// Returns the number of planned replicas of a model.
    pub fn replicas(&self, model: &names::ModelId) -> usize {
        self.planned_replicas.get(model).copied().unwrap_or(0)
    }

    /// Returns the indices of engines that can load a model from cached weights.
    pub fn engines_with_cached_weights(&self, model: &names::ModelId) -> &[usize] {
        self.engines_by_cached_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the shortest time to load a model on any engine that accepts commands.
    pub fn fastest_load(&self, engines: &[EngineView], model: &config::Model) -> Duration {
        let cached_on = self.engines_with_cached_weights(&model.name).iter();
        let times = cached_on.map(|&index| snapshot::load_source(&engines[index], model).0);
        times.min().unwrap_or(model.load_from_store)
    }

    /// Records a planned placement and its evictions.
    pub fn record_placement(
        &mut self,
        model: &names::ModelId,
        victims: &[names::ModelId],
        from_store: bool,
    ) {
        *self.planned_replicas.entry(model.clone()).or_default() += 1;
        for victim in victims {
            if let Some(count) = self.planned_replicas.get_mut(victim) {
                *count = count.saturating_sub(1);
            }
        }
        self.store_loads += u32::from(from_store);
    }
}

/// Whether an engine's limit of requests, if it names one, covers the demand for its models. If not, its
/// replicas aren't counted, so that the models are placed elsewhere as well.
pub fn takes_demand(engine: &EngineView, models: &Models, desired: &[names::ModelId]) -> bool {
    let Some(limit) = engine.request_limit else { return true };
    let views = desired.iter().filter_map(|name| models.get(name));
    let demand: f64 = views.map(|view| view.demand.requests_per_s).sum();
    demand <= limit
}

fn store_loads(
    engines: &[EngineView],
    models: &BTreeMap<names::ModelId, ModelView>,
    desired: &HashMap<targets::TargetKey, Vec<names::ModelId>>,
) -> u32 {
    let loading_from_store = |engine: &&EngineView| {
        let desired = desired.get(&engine.key).into_iter().flatten();
        let mut missing = desired.filter(|name| engine.holdings.resident(name).is_none());
        missing.any(|name| {
            models.get(name).is_some_and(|view| snapshot::load_source(engine, &view.spec).1)
        })
    };
    engines.iter().filter(loading_from_store).count() as u32
}
