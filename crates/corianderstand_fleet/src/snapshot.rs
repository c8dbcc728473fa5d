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
    /// Whether it is expected to shut down soon.
    pub is_leaving: bool,
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

/// Where an engine loads a model's weights from.
#[derives(key)]
pub enum WeightSource {
    /// Its host's memory.
    Memory,
    /// Its own disk.
    Disk,
    /// The weight store.
    Store,
}

impl WeightSource {
    /// Where the engine would load the model from now.
    pub fn of(engine: &EngineView, model: &names::ModelId) -> Self {
        if engine.holdings.in_memory.contains(model) {
            Self::Memory
        } else if engine.holdings.on_disk.contains(model) {
            Self::Disk
        } else {
            Self::Store
        }
    }

    /// Name for log lines and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Disk => "disk",
            Self::Store => "store",
        }
    }
}

/// Returns the time to load a model on an engine, and whether it loads from the weight store.
pub fn load_source(engine: &EngineView, model: &config::Model) -> (Duration, bool) {
    match WeightSource::of(engine, &model.name) {
        WeightSource::Memory => (model.load_from_memory, false),
        WeightSource::Disk => (model.load_from_disk, false),
        WeightSource::Store => (model.load_from_store, true),
    }
}
