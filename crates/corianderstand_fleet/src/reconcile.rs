//! Computes the next command for an engine from its desired and its reported state.
//!
//! An engine executes one command at a time and crashes when its memory is overcommitted. So each
//! command is computed from the engine's own report and carries that report's command count: the
//! engine rejects a command that was computed before another one was accepted.

use crate::targets;
use corianderstand_derives::derives;
use corianderstand_types::names;
use std::time::{Duration, Instant};

/// Minimum time that a requested adapter stays resident, so that the request finds it.
const MIN_ADAPTER_RESIDENCY: Duration = Duration::from_millis(600);

/// A command to an engine.
#[derives(name)]
pub enum Command {
    /// Load a model.
    Load(names::ModelId),
    /// Unload a model after its running requests have ended.
    Unload(names::ModelId),
    /// Load an adapter of a resident model.
    LoadAdapter(names::ModelId, names::AdapterId),
    /// Unload an adapter.
    UnloadAdapter(names::ModelId, names::AdapterId),
}

/// Memory sizes of a model on an engine, and whether the plan places it there.
#[derives(data)]
pub struct EngineModel {
    /// Model name.
    pub model: names::ModelId,
    /// Memory for its weights, in MB.
    pub weights_mb: u64,
    /// Memory for each of its adapters, in MB.
    pub adapter_mb: u64,
    /// Whether the plan places the model on the engine.
    pub desired: bool,
}

/// Capacity of an engine.
#[derives(data)]
#[derive(Copy, Default)]
pub struct Capacity {
    /// Memory for weights and adapters, in MB.
    pub weights_mb: u64,
    /// Number of adapters that can be resident at once.
    pub adapter_slots: usize,
}

/// A router's request for an adapter.
#[derives(data)]
pub struct AdapterRequest {
    /// Model name.
    pub model: names::ModelId,
    /// Adapter name.
    pub adapter: names::AdapterId,
    /// Time of the latest request.
    pub requested_at: Instant,
}

/// Returns the next model command, or `None` if all planned models are resident or the size of a
/// resident model is unknown.
pub fn next_model_command(
    capacity: Capacity,
    models: &[EngineModel],
    holdings: &targets::Holdings,
) -> Option<Command> {
    let missing =
        models.iter().find(|entry| entry.desired && holdings.resident(&entry.model).is_none())?;
    let used = used_mb(models, holdings)?;
    if used + missing.weights_mb <= capacity.weights_mb {
        return Some(Command::Load(missing.model.clone()));
    }
    let desired =
        |model: &names::ModelId| models.iter().any(|entry| entry.desired && entry.model == *model);
    let victim = holdings.resident.iter().find(|resident| !desired(&resident.model))?;
    Some(Command::Unload(victim.model.clone()))
}

/// Returns the next adapter command: to load the most recently requested missing adapter, or to
/// evict the least recently requested one for it.
///
/// An adapter never displaces one that was requested later, so that two don't evict each other.
pub fn next_adapter_command(
    now: Instant,
    capacity: Capacity,
    models: &[EngineModel],
    holdings: &targets::Holdings,
    loading: usize,
    requests: &[AdapterRequest],
) -> Option<Command> {
    let missing = requests.iter().find(|request| {
        let resident = holdings.resident(&request.model);
        resident.is_some_and(|resident| !resident.adapters.contains(&request.adapter))
    })?;
    let adapter_mb = models.iter().find(|entry| entry.model == missing.model)?.adapter_mb;
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

/// Returns the memory in use, in MB, or `None` if the size of a resident model is unknown.
fn used_mb(models: &[EngineModel], holdings: &targets::Holdings) -> Option<u64> {
    let mut used = 0;
    for resident in &holdings.resident {
        let entry = models.iter().find(|entry| entry.model == resident.model)?;
        used += entry.weights_mb + entry.adapter_mb * resident.adapters.len() as u64;
    }
    Some(used)
}
