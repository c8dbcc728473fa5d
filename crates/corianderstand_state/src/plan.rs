//! Which slots to assign: pure, run by the holder of the control lease.

use crate::{fold::State, view::View};
use corianderstand_schema::records::Body;
use corianderstand_types::names::{HostId, ModelId, PlaceId, TargetId};
use std::collections::{BTreeMap, BTreeSet};

/// Assignments in one round, so that one append stays small.
pub const MAX_ASSIGNMENTS_PER_ROUND: usize = 256;

/// Load of one engine as the planner counts it.
struct Engine<'a> {
    place: &'a PlaceId,
    offset: u64,
    memory_mib: u64,
    planned_mib: u64,
}

/// Assignments that fill the empty slots of all models.
///
/// Engines on hosts in `leaving` get none. A model's slots spread over places first, then go
/// to the engine whose memory is least promised, so that one host's loss takes few replicas.
pub fn plan(state: &State, view: &View, leaving: &BTreeSet<HostId>) -> Vec<Body> {
    let mut engines = engines(state, view, leaving);
    let mut bodies = Vec::new();
    for (model, facts) in &view.models {
        let wanted = view.replicas(model);
        let mut owners: Vec<TargetId> =
            state.slots.of_model(model).map(|(_, slot)| slot.target.clone()).collect();
        let taken: BTreeSet<u32> = state.slots.of_model(model).map(|(index, _)| index).collect();
        for index in (0..wanted).filter(|index| !taken.contains(index)) {
            if bodies.len() >= MAX_ASSIGNMENTS_PER_ROUND {
                return bodies;
            }
            let Some(target) = choose(&engines, &owners, facts.memory_mib.0) else { break };
            let engine = engines.get_mut(&target).expect("chosen from this map");
            engine.planned_mib += facts.memory_mib.0;
            bodies.push(assignment(state, model, index, &target, engine.offset));
            owners.push(target);
        }
    }
    bodies
}

fn assignment(state: &State, model: &ModelId, index: u32, target: &TargetId, offset: u64) -> Body {
    Body::SlotAssigned {
        epoch: state.lease.epoch,
        model: model.clone(),
        index,
        target: target.clone(),
        target_offset: offset,
    }
}

fn engines<'a>(
    state: &'a State,
    view: &View,
    leaving: &BTreeSet<HostId>,
) -> BTreeMap<TargetId, Engine<'a>> {
    let mut engines: BTreeMap<TargetId, Engine<'a>> = state
        .targets
        .by_name
        .iter()
        .filter(|(_, t)| t.record.service.is_none() && !leaving.contains(&t.record.host))
        .map(|(name, t)| {
            let memory_mib = t.record.memory_mib.0;
            let engine =
                Engine { place: &t.record.place, offset: t.offset, memory_mib, planned_mib: 0 };
            (name.clone(), engine)
        })
        .collect();
    for (key, slot) in &state.slots.by_key {
        let memory = view.models.get(&key.model).map_or(0, |model| model.memory_mib.0);
        if let Some(engine) = engines.get_mut(&slot.target) {
            engine.planned_mib += memory;
        }
    }
    engines
}

/// The engine for one more replica: in a place with the fewest, then the least promised.
fn choose(
    engines: &BTreeMap<TargetId, Engine<'_>>,
    owners: &[TargetId],
    memory_mib: u64,
) -> Option<TargetId> {
    let in_place = |place: &PlaceId| {
        owners.iter().filter(|o| engines.get(*o).is_some_and(|e| e.place == place)).count()
    };
    engines
        .iter()
        .filter(|(name, engine)| engine.memory_mib >= memory_mib && !owners.contains(name))
        .min_by_key(|(name, engine)| {
            let promised = engine.planned_mib * 1000 / engine.memory_mib.max(1);
            (in_place(engine.place), promised, (*name).clone())
        })
        .map(|(name, _)| name.clone())
}
