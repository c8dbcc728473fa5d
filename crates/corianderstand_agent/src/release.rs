//! Release of replica slots that this target should no longer own.
//!
//! A slot is released in the log only after its model is unloaded, so that the next owner never
//! creates an extra replica. A released assignment is never used again, as the release may already
//! be in the log.

use corianderstand_state::{
    fold::State,
    slots::{Slot, SlotKey},
    view::View,
};
use corianderstand_types::names::{ModelId, TargetId};
use std::collections::{BTreeMap, BTreeSet};

/// Offsets of the assignments to release, by slot.
pub type SlotReleases = BTreeMap<SlotKey, u64>;

#[derive(Debug, Default)]
pub struct SlotReleaser {
    pending: SlotReleases,
}

impl SlotReleaser {
    /// Returns the models that may be loaded under the current slots.
    ///
    /// If `leaving`, the host leaves or the agent shuts down, and only models in `in_use` stay.
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

    /// Adds the slots of models that are neither loadable nor held by the engine, and returns all
    /// assignments to release.
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
