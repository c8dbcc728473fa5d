//! Replica slots: each permits one target to hold one replica of a model.
//!
//! The log assigns slots; their owners load the model on demand and unload it when idle. So a cold
//! start needs no append, and replicas never exceed slots.

use crate::fold::Rejection;
use corianderstand_derives::derives;
use corianderstand_schema::records::Record;
use corianderstand_types::names::{ModelId, TargetId};

/// Key of a replica slot.
#[derives(name)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SlotKey {
    /// The model.
    pub model: ModelId,
    /// Index among the model's slots.
    pub index: u32,
}

/// An assigned replica slot.
#[derives(wire)]
pub struct Slot {
    /// The owner.
    pub target: TargetId,
    /// Offset of the assignment; the fencing token of commands under it.
    pub assigned: u64,
}

/// All assigned slots.
#[derives(wire)]
#[derive(Default)]
pub struct Slots {
    /// Assigned slots by key.
    pub by_key: imbl::OrdMap<SlotKey, Slot>,
    /// Last owner of each released slot, which may still have cached weights.
    pub former: imbl::OrdMap<SlotKey, TargetId>,
    /// Offset of the last change.
    pub version: u64,
}

impl Slots {
    /// Assigns an empty slot to a target.
    pub fn assign(
        &mut self,
        offset: u64,
        model: &ModelId,
        index: u32,
        target: &TargetId,
    ) -> Result<(), Rejection> {
        let key = SlotKey { model: model.clone(), index };
        if self.by_key.contains_key(&key) {
            return Err(Rejection::SlotConflict);
        }
        self.former.remove(&key);
        self.by_key.insert(key, Slot { target: target.clone(), assigned: offset });
        self.version = offset;
        Ok(())
    }

    /// Releases the assignment made at offset `assigned`, for its owner or the lease holder.
    pub fn release(
        &mut self,
        offset: u64,
        model: &ModelId,
        index: u32,
        assigned: u64,
        by_lease_holder: bool,
        record: &Record,
    ) -> Result<(), Rejection> {
        let key = SlotKey { model: model.clone(), index };
        let slot = self.by_key.get(&key).ok_or(Rejection::SlotConflict)?;
        let by_owner = slot.target.as_str() == record.writer.as_str();
        if slot.assigned != assigned || !(by_lease_holder || by_owner) {
            return Err(Rejection::SlotConflict);
        }
        let owner = slot.target.clone();
        self.by_key.remove(&key);
        self.former.insert(key, owner);
        self.version = offset;
        Ok(())
    }

    /// Removes all assignments of a target whose host is gone.
    pub fn remove_target(&mut self, offset: u64, target: &TargetId) {
        let owned = self.by_key.iter().filter(|(_, slot)| slot.target == *target);
        for key in owned.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.by_key.remove(&key);
            self.version = offset;
        }
    }

    /// Slots of one model, ordered by index.
    pub fn of_model<'a>(
        &'a self,
        model: &'a ModelId,
    ) -> impl Iterator<Item = (u32, &'a Slot)> + 'a {
        let from = SlotKey { model: model.clone(), index: 0 };
        self.by_key
            .range(from..)
            .take_while(move |(key, _)| key.model == *model)
            .map(|(key, slot)| (key.index, slot))
    }

    /// Slot of a model owned by a target.
    pub fn owned(&self, model: &ModelId, target: &TargetId) -> Option<Slot> {
        self.of_model(model).find(|(_, slot)| slot.target == *target).map(|(_, slot)| slot.clone())
    }
}
