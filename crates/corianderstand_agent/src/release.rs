//! Slots that this target must give back, and when it may.
//!
//! A slot is unwanted when the settings ask for fewer replicas or no longer know the model,
//! when the host leaves, or when the agent stops as planned. Its model is unloaded first; only
//! then is the slot released in the log, so that the next owner never makes one replica too
//! many. Once the agent has decided to release an assignment it never loads under it again,
//! even if the settings want it back meanwhile: the release may already be in the log.

use corianderstand_state::{
    fold::State,
    slots::{Slot, SlotKey},
    view::View,
};
use corianderstand_types::names::{ModelId, TargetId};
use std::collections::{BTreeMap, BTreeSet};

/// Assignments to release, by slot: offset of each.
pub type SlotReleases = BTreeMap<SlotKey, u64>;

/// What the target may hold and what it gives back.
#[derive(Debug, Default)]
pub struct SlotReleaser {
    pending: SlotReleases,
}

impl SlotReleaser {
    /// Models that may be loaded under the slots in force.
    ///
    /// `leaving` tells that the host leaves or the agent stops; then only models in `in_use`
    /// stay, for the requests already here.
    pub fn loadable_models(
        &mut self,
        state: &State,
        view: &View,
        target: &TargetId,
        leaving: bool,
        in_use: &BTreeSet<ModelId>,
    ) -> BTreeSet<ModelId> {
        let owned = owned(state, target);
        self.pending
            .retain(|key, assigned| owned.get(key).is_some_and(|s| s.assigned == *assigned));
        let is_wanted = |key: &SlotKey| {
            let stays = !leaving || in_use.contains(&key.model);
            let declared = view.models.contains_key(&key.model);
            stays && declared && key.index < view.replicas(&key.model)
        };
        let loadable = owned.keys().filter(|key| is_wanted(key) && !self.pending.contains_key(key));
        loadable.map(|key| key.model.clone()).collect()
    }

    /// Gives up the slots of models that are neither kept nor `held` by the engine; all that
    /// are to be released.
    pub fn update_releases(
        &mut self,
        state: &State,
        target: &TargetId,
        loadable: &BTreeSet<ModelId>,
        is_held: impl Fn(&ModelId) -> bool,
    ) -> &SlotReleases {
        for (key, slot) in owned(state, target) {
            if !loadable.contains(&key.model) && !is_held(&key.model) {
                self.pending.insert(key, slot.assigned);
            }
        }
        &self.pending
    }
}

fn owned(state: &State, target: &TargetId) -> BTreeMap<SlotKey, Slot> {
    let slots = state.slots.by_key.iter().filter(|(_, slot)| slot.target == *target);
    slots.map(|(key, slot)| (key.clone(), slot.clone())).collect()
}

#[cfg(test)]
mod tests;
