//! Input of the planner: the state of engines and models.

use crate::{config, demand, targets};
use corianderstand_derives::derives;
use corianderstand_types::names;
use std::{collections::BTreeMap, time::Duration};

/// An engine as seen by the planner.
#[derives(data)]
pub struct EngineView {
    /// Target key.
    pub key: targets::TargetKey,
    /// Whether an agent executes commands for the engine; if not, it serves what is resident.
    pub accepts_commands: bool,
    /// Memory for weights, in MB.
    pub weights_mb: u64,
    /// Number of requests in one batch.
    pub slots: u32,
    /// Number of adapters that can be resident at once.
    pub adapter_slots: usize,
    /// Resident models and adapters, and cached weights.
    pub holdings: targets::Holdings,
    /// Command being executed.
    pub ongoing: Option<targets::OngoingCommand>,
    /// Requests per second that it takes from all routers together, if it names a limit.
    pub request_limit: Option<f64>,
    /// Its speed relative to the usual one of its service; 1 if it is not known.
    pub speed: f64,
    /// Running requests per model, from all routers.
    pub running: BTreeMap<names::ModelId, u32>,
}

/// A model as seen by the planner.
#[derives(data)]
pub struct ModelView {
    /// Configuration of the model.
    pub spec: config::Model,
    /// Demand at all routers.
    pub demand: demand::ModelDemand,
    /// Number of waiting requests.
    pub waiting: u32,
}

/// Models by name.
pub type Models = BTreeMap<names::ModelId, ModelView>;

/// Returns the time to load a model on an engine, and whether it loads from the weight store.
pub fn load_source(engine: &EngineView, model: &config::Model) -> (Duration, bool) {
    if engine.holdings.in_memory.contains(&model.name) {
        (model.load_from_memory, false)
    } else if engine.holdings.on_disk.contains(&model.name) {
        (model.load_from_disk, false)
    } else {
        (model.load_from_store, true)
    }
}
