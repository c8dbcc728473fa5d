//! Engines and models as a plan sees them.

use crate::{config, demand, targets};
use corianderstand_derives::derives;
use corianderstand_types::names;
use std::{collections::BTreeMap, time::Duration};

/// An engine as the plan sees it.
#[derives(data)]
pub struct EngineView {
    /// Its key.
    pub key: targets::TargetKey,
    /// Its agent is there to carry out orders; if not, it serves what it holds.
    pub accepts_commands: bool,
    /// Memory for weights, in MB.
    pub weights_mb: u64,
    /// Requests in one batch.
    pub slots: u32,
    /// Adapters that fit at once.
    pub adapter_slots: usize,
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
    /// How much all routers are asked for it.
    pub demand: demand::ModelDemand,
    /// Requests that wait for it.
    pub waiting: u32,
}

/// Models by name.
pub type Models = BTreeMap<names::ModelId, ModelView>;

/// How long an engine takes to load a model, and whether from the weight store.
pub fn load_source(engine: &EngineView, model: &config::Model) -> (Duration, bool) {
    if engine.holdings.in_memory.contains(&model.name) {
        (model.load_from_memory, false)
    } else if engine.holdings.on_disk.contains(&model.name) {
        (model.load_from_disk, false)
    } else {
        (model.load_from_store, true)
    }
}
