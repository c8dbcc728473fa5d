//! An engine's account of itself, as routers are told of it and as orders are worked out from it.

use super::Ongoing;
use crate::dialect;
use corianderstand_fleet::{reconcile, targets};
use corianderstand_schema::peers;
use corianderstand_types::names;
use std::time::{Duration, Instant};

/// Whether routers should hear at once: load changes all the time and can wait.
pub(super) fn differs(said: &peers::EngineNews, news: &peers::EngineNews) -> bool {
    let order = |news: &peers::EngineNews| {
        news.ongoing.first().map(|order| (order.model.clone(), order.loads))
    };
    let models = |news: &peers::EngineNews| {
        news.resident.iter().map(|resident| resident.model.clone()).collect::<Vec<_>>()
    };
    said.born != news.born
        || said.target != news.target
        || models(said) != models(news)
        || order(said) != order(news)
}

pub(super) fn parts(plan: &peers::EnginePlan) -> Vec<reconcile::EngineModel> {
    let parts = plan.parts.iter().map(|part| reconcile::EngineModel {
        model: part.model.clone(),
        weights_mb: part.weights_mb,
        adapter_mb: part.adapter_mb,
        desired: part.wanted,
    });
    parts.collect()
}

/// How long an order takes, and whether it loads from the weight store.
pub(super) fn takes(
    plan: &peers::EnginePlan,
    report: &dialect::EngineReport,
    order: &reconcile::Command,
) -> (Duration, bool) {
    let reconcile::Command::Load(model) = order else { return (Duration::from_millis(100), false) };
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

pub(super) fn news(
    now: Instant,
    plan: &peers::EnginePlan,
    report: &dialect::EngineReport,
    ongoing: Option<&Ongoing>,
) -> peers::EngineNews {
    let resident = report.holdings.resident.iter().map(|resident| peers::ResidentModel {
        model: resident.model.clone(),
        adapters: resident.adapters.clone(),
    });
    let ongoing = ongoing.and_then(|ongoing| {
        let (model, loads): (&names::ModelId, bool) = match &ongoing.order {
            reconcile::Command::Load(model) => (model, true),
            reconcile::Command::Unload(model) => (model, false),
            _ => return None,
        };
        let passed = now.saturating_duration_since(ongoing.since);
        Some(peers::OngoingOrder {
            model: model.clone(),
            loads,
            from_store: ongoing.from_store,
            remaining_ms: ongoing.takes.saturating_sub(passed).as_millis() as u32,
        })
    });
    let targets::Load { running, waiting, cache_used } = report.load;
    peers::EngineNews {
        target: plan.target.clone(),
        born: report.started_at_ms.unwrap_or(0),
        orders: report.holdings.commands_accepted,
        resident: resident.collect(),
        copies: Vec::new(),
        ongoing: ongoing.into_iter().collect(),
        running,
        waiting,
        cache_used: cache_used.unwrap_or(0),
    }
}
