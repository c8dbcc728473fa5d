//! The planner, a pure function run by the holder of the control lease.

use crate::{fold::State, slots::SlotKey, view::View};
use corianderstand_schema::records::Body;
use corianderstand_types::names::{AvailabilityZoneId, HostId, ModelId, TargetId};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of assignments per round.
pub const MAX_ASSIGNMENTS_PER_ROUND: usize = 256;

struct Engine<'a> {
    name: &'a TargetId,
    zone: &'a AvailabilityZoneId,
    offset: u64,
    memory_mib: u64,
    planned_mib: u64,
}

impl Engine<'_> {
    /// Planned memory, in thousandths of the engine's memory.
    fn planned_permille(&self) -> u64 {
        self.planned_mib * 1000 / self.memory_mib.max(1)
    }
}

#[derive(Default)]
struct ReplicaSpread<'a> {
    owners: BTreeSet<&'a TargetId>,
    per_zone: BTreeMap<&'a AvailabilityZoneId, u32>,
}

/// Assigns the empty slots of all models to engines that are not on `excluded_hosts`.
///
/// A slot goes to the availability zone with the fewest replicas of the model, then to its former
/// owner, which may still have cached weights, then to the engine with the least planned memory.
pub fn plan(state: &State, view: &View, excluded_hosts: &BTreeSet<HostId>) -> Vec<Body> {
    let mut engines = collect_engines(state, view, excluded_hosts);
    let mut bodies = Vec::new();
    for (model, settings) in &view.models {
        let assigned: BTreeSet<u32> = state.slots.of_model(model).map(|(index, _)| index).collect();
        let empty = (0..view.replicas(model)).filter(|index| !assigned.contains(index));
        let mut spread = None;
        for index in empty {
            if bodies.len() >= MAX_ASSIGNMENTS_PER_ROUND {
                return bodies;
            }
            let spread = spread.get_or_insert_with(|| spread_of(state, model));
            let former = state.slots.former.get(&SlotKey { model: model.clone(), index });
            let Some(chosen) = choose_engine(&engines, spread, former, settings.memory_mib.0)
            else {
                break;
            };
            let engine = &mut engines[chosen];
            engine.planned_mib += settings.memory_mib.0;
            bodies.push(assignment(state, model, index, engine));
            spread.owners.insert(engine.name);
            *spread.per_zone.entry(engine.zone).or_default() += 1;
        }
    }
    bodies
}

fn assignment(state: &State, model: &ModelId, index: u32, engine: &Engine<'_>) -> Body {
    Body::SlotAssigned {
        epoch: state.lease.epoch,
        model: model.clone(),
        index,
        target: engine.name.clone(),
        target_offset: engine.offset,
    }
}

fn spread_of<'a>(state: &'a State, model: &'a ModelId) -> ReplicaSpread<'a> {
    let mut spread = ReplicaSpread::default();
    for (_, slot) in state.slots.of_model(model) {
        spread.owners.insert(&slot.target);
        if let Some(target) = state.targets.by_name.get(&slot.target) {
            *spread.per_zone.entry(&target.record.place).or_default() += 1;
        }
    }
    spread
}

fn collect_engines<'a>(
    state: &'a State,
    view: &View,
    excluded_hosts: &BTreeSet<HostId>,
) -> Vec<Engine<'a>> {
    let mut planned: BTreeMap<&TargetId, u64> = BTreeMap::new();
    for (key, slot) in &state.slots.by_key {
        let memory = view.models.get(&key.model).map_or(0, |model| model.memory_mib.0);
        *planned.entry(&slot.target).or_default() += memory;
    }
    let targets = state.targets.by_name.iter();
    targets
        .filter(|(_, t)| t.record.service.is_none() && !excluded_hosts.contains(&t.record.host))
        .map(|(name, t)| Engine {
            name,
            zone: &t.record.place,
            offset: t.offset,
            memory_mib: t.record.memory_mib.0,
            planned_mib: planned.get(name).copied().unwrap_or_default(),
        })
        .collect()
}

fn choose_engine(
    engines: &[Engine<'_>],
    spread: &ReplicaSpread<'_>,
    former: Option<&TargetId>,
    memory_mib: u64,
) -> Option<usize> {
    let replicas_in_zone =
        |engine: &Engine<'_>| spread.per_zone.get(engine.zone).copied().unwrap_or(0);
    let fits = |engine: &Engine<'_>| {
        engine.memory_mib >= memory_mib && !spread.owners.contains(engine.name)
    };
    (0..engines.len()).filter(|&i| fits(&engines[i])).min_by_key(|&i| {
        let engine = &engines[i];
        (replicas_in_zone(engine), former != Some(engine.name), engine.planned_permille(), i)
    })
}
