//! Conversion of plans and engine reports between the wire and the reconciler.

use super::OngoingCommand;
use crate::dialect;
use corianderstand_fleet::{reconcile, targets};
use corianderstand_schema::peers;
use corianderstand_types::names;
use std::time::{Duration, Instant};

/// Whether an update is sent to all routers at once; changes of load alone are not.
pub(super) fn needs_immediate_update(
    last: &peers::EngineUpdate,
    update: &peers::EngineUpdate,
) -> bool {
    let command = |update: &peers::EngineUpdate| {
        update.ongoing.first().map(|command| (command.model.clone(), command.loads))
    };
    let models = |update: &peers::EngineUpdate| {
        update.resident.iter().map(|resident| resident.model.clone()).collect::<Vec<_>>()
    };
    last.born != update.born
        || last.target != update.target
        || models(last) != models(update)
        || command(last) != command(update)
}

pub(super) fn engine_models(plan: &peers::EnginePlan) -> Vec<reconcile::EngineModel> {
    let models = plan.parts.iter().map(|part| reconcile::EngineModel {
        model: part.model.clone(),
        weights_mb: part.weights_mb,
        adapter_mb: part.adapter_mb,
        desired: part.wanted,
    });
    models.collect()
}

/// Returns how long a command takes, and whether it loads from the weight store.
pub(super) fn expected_duration(
    plan: &peers::EnginePlan,
    report: &dialect::EngineReport,
    command: &reconcile::Command,
) -> (Duration, bool) {
    let reconcile::Command::Load(model) = command else {
        return (Duration::from_millis(100), false);
    };
    let Some(part) = plan.parts.iter().find(|part| part.model == *model) else {
        return (Duration::from_secs(1), true);
    };
    let (ms, from_store) = if report.holdings.in_memory.contains(model) {
        (part.memory_ms, false)
    } else if report.holdings.on_disk.contains(model) {
        (part.disk_ms, false)
    } else {
        (part.load_ms, true)
    };
    (Duration::from_millis(u64::from(ms)), from_store)
}

pub(super) fn engine_update(
    now: Instant,
    plan: &peers::EnginePlan,
    report: &dialect::EngineReport,
    ongoing: Option<&OngoingCommand>,
) -> peers::EngineUpdate {
    let resident = report.holdings.resident.iter().map(|resident| peers::ResidentModel {
        model: resident.model.clone(),
        adapters: resident.adapters.clone(),
    });
    let ongoing = ongoing.and_then(|ongoing| {
        let (model, loads): (&names::ModelId, bool) = match &ongoing.command {
            reconcile::Command::Load(model) => (model, true),
            reconcile::Command::Unload(model) => (model, false),
            _ => return None,
        };
        let elapsed = now.saturating_duration_since(ongoing.started_at);
        Some(peers::OngoingCommand {
            model: model.clone(),
            loads,
            from_store: ongoing.from_store,
            remaining_ms: ongoing.expected_duration.saturating_sub(elapsed).as_millis() as u32,
        })
    });
    let targets::Load { running, waiting, cache_used, .. } = report.load;
    peers::EngineUpdate {
        target: plan.target.clone(),
        born: report.started_at_ms.unwrap_or(0),
        orders: report.holdings.commands_accepted,
        resident: resident.collect(),
        copies: Vec::new(),
        ongoing: ongoing.into_iter().collect(),
        running,
        waiting,
        cache_used: cache_used.unwrap_or(0),
        plan_serial: plan.serial,
    }
}
