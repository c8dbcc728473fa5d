//! The next order to an engine, from what it should hold and what it holds.
//!
//! An engine carries out one order at a time, and crashes when it is ordered to hold more than fits.
//! So each step is worked out from the engine's own account, and carries the number of orders that
//! this account was made at: an order that arrives late, after another was accepted, is refused by
//! the engine instead of being carried out on a state that it was not meant for.

use crate::targets;
use corianderstand_derives::derives;
use corianderstand_types::names;
use std::time::{Duration, Instant};

/// An adapter that was asked for stays at least this long, so that the request it was loaded for
/// finds it; routers name those that are in use more often than that.
const MIN_ADAPTER_RESIDENCY: Duration = Duration::from_millis(600);

/// An order to an engine.
#[derives(name)]
pub enum Command {
    /// Load a model.
    Load(names::ModelId),
    /// Drop a model once its runs have ended.
    Unload(names::ModelId),
    /// Load an adapter of a model that is there.
    LoadAdapter(names::ModelId, names::AdapterId),
    /// Drop an adapter.
    UnloadAdapter(names::ModelId, names::AdapterId),
}

/// Size of a model on this engine, and whether it is wanted.
#[derives(data)]
pub struct PlannedModel {
    /// The model.
    pub model: names::ModelId,
    /// Memory of its weights, in MB.
    pub weights_mb: u64,
    /// Memory of one of its adapters, in MB.
    pub adapter_mb: u64,
    /// Whether the plan wants it here.
    pub wanted: bool,
}

/// What an engine has room for.
#[derives(data)]
#[derive(Copy, Default)]
pub struct Capacity {
    /// Memory for weights and adapters, in MB.
    pub weights_mb: u64,
    /// Adapters at once.
    pub adapter_slots: usize,
}

/// An adapter that routers asked for.
#[derives(data)]
pub struct AdapterRequest {
    /// Its model.
    pub model: names::ModelId,
    /// The adapter.
    pub adapter: names::AdapterId,
    /// When it was last asked for.
    pub requested_at: Instant,
}

/// The next order for a model; none if all that is wanted is there, or sizes are not known.
pub fn next_model_command(
    capacity: Capacity,
    models: &[PlannedModel],
    holdings: &targets::Holdings,
) -> Option<Command> {
    let missing = models
        .iter()
        .find(|planned| planned.wanted && holdings.resident(&planned.model).is_none())?;
    let used = used_mb(models, holdings)?;
    if used + missing.weights_mb <= capacity.weights_mb {
        return Some(Command::Load(missing.model.clone()));
    }
    let wanted = |model: &names::ModelId| {
        models.iter().any(|planned| planned.wanted && planned.model == *model)
    };
    let victim = holdings.resident.iter().find(|resident| !wanted(&resident.model))?;
    Some(Command::Unload(victim.model.clone()))
}

/// The next order for an adapter: the newest request first, in place of the adapter that was not
/// asked for the longest.
///
/// One that was asked for earlier than all that are there makes none of them go. Otherwise two take
/// turns for as long as both requests are remembered, at thirty orders a second.
pub fn next_adapter_command(
    now: Instant,
    capacity: Capacity,
    models: &[PlannedModel],
    holdings: &targets::Holdings,
    loading: usize,
    requests: &[AdapterRequest],
) -> Option<Command> {
    let missing = requests.iter().find(|request| {
        let resident = holdings.resident(&request.model);
        resident.is_some_and(|resident| !resident.adapters.contains(&request.adapter))
    })?;
    let adapter_mb = models.iter().find(|planned| planned.model == missing.model)?.adapter_mb;
    let resident_adapters: usize =
        holdings.resident.iter().map(|resident| resident.adapters.len()).sum();
    let fits_memory =
        used_mb(models, holdings)? + adapter_mb * (loading as u64 + 1) <= capacity.weights_mb;
    if resident_adapters + loading < capacity.adapter_slots && fits_memory {
        return Some(Command::LoadAdapter(missing.model.clone(), missing.adapter.clone()));
    }
    let requested_at = |model: &names::ModelId, adapter: &names::AdapterId| {
        let request =
            requests.iter().find(|request| request.model == *model && request.adapter == *adapter);
        request.map(|request| request.requested_at)
    };
    let pairs = holdings.resident.iter().flat_map(|resident| {
        resident.adapters.iter().map(move |adapter| (&resident.model, adapter))
    });
    let oldest = pairs.min_by_key(|(model, adapter)| requested_at(model, adapter))?;
    let keep = requested_at(oldest.0, oldest.1).is_some_and(|at| {
        at >= missing.requested_at || now.saturating_duration_since(at) < MIN_ADAPTER_RESIDENCY
    });
    (!keep).then(|| Command::UnloadAdapter(oldest.0.clone(), oldest.1.clone()))
}

/// Memory that is used, in MB; none if the size of something that is held is not known.
fn used_mb(models: &[PlannedModel], holdings: &targets::Holdings) -> Option<u64> {
    let mut used = 0;
    for resident in &holdings.resident {
        let planned = models.iter().find(|planned| planned.model == resident.model)?;
        used += planned.weights_mb + planned.adapter_mb * resident.adapters.len() as u64;
    }
    Some(used)
}
