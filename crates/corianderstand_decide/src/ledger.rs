//! The memory of one engine, as its agent commits it.
//!
//! Memory is reserved before an order is sent and given back only after the engine confirmed.
//! Load reports lag and an order's answer may be lost, so the engine's own figures would allow
//! two orders into the same memory; the ledger counts an order of unknown outcome as loaded.

use corianderstand_derives::derives;
use corianderstand_types::{units::Mib, weights::Weights};
use std::{collections::BTreeMap, time::Instant};

/// How far an entry has come.
#[derives(key)]
pub enum Stage {
    /// Ordered; the engine has not confirmed.
    Loading,
    /// Confirmed.
    Ready,
    /// Ordered away; the memory is not free yet.
    Unloading,
    /// An order's outcome is unknown until the engine is asked.
    Unknown,
}

/// One model or adapter in the engine's memory.
#[derives(data)]
pub struct Entry {
    /// Memory set aside for it.
    pub memory: Mib,
    /// How far it has come.
    pub stage: Stage,
    /// Requests that run on it.
    pub users: u32,
    /// When it was last used.
    pub last_used: Option<Instant>,
}

/// No room for a load.
#[derives(data)]
#[derive(Copy, Eq, displaydoc::Display)]
pub enum LedgerError {
    /// {missing} too little memory is free: unload something or wait
    NoRoom {
        /// How much is missing.
        missing: Mib,
    },
    /// it is reserved already: wait for the order that is on its way
    Reserved,
}

impl std::error::Error for LedgerError {}

/// All that is committed of one engine's memory.
#[derives(data)]
pub struct Ledger {
    capacity: Mib,
    entries: BTreeMap<Weights, Entry>,
}

impl Ledger {
    /// An empty engine with this much memory.
    pub const fn new(capacity: Mib) -> Self {
        Self { capacity, entries: BTreeMap::new() }
    }

    /// Memory committed, orders of unknown outcome included.
    pub fn committed(&self) -> Mib {
        Mib(self.entries.values().map(|entry| entry.memory.0).sum())
    }

    /// Memory not committed.
    pub fn free(&self) -> Mib {
        Mib(self.capacity.0.saturating_sub(self.committed().0))
    }

    /// The engine's memory.
    pub const fn capacity(&self) -> Mib {
        self.capacity
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = (&Weights, &Entry)> {
        self.entries.iter()
    }

    /// One entry.
    pub fn find(&self, weights: &Weights) -> Option<&Entry> {
        self.entries.get(weights)
    }

    /// Whether requests can run on it now.
    pub fn is_ready(&self, weights: &Weights) -> bool {
        self.find(weights).is_some_and(|entry| entry.stage == Stage::Ready)
    }

    /// Sets memory aside, before the order is sent.
    ///
    /// # Errors
    ///
    /// [`LedgerError::NoRoom`] if it does not fit.
    pub fn reserve(&mut self, weights: &Weights, memory: Mib) -> Result<(), LedgerError> {
        if self.entries.contains_key(weights) {
            return Err(LedgerError::Reserved);
        }
        if memory > self.free() {
            return Err(LedgerError::NoRoom { missing: Mib(memory.0 - self.free().0) });
        }
        let entry = Entry { memory, stage: Stage::Loading, users: 0, last_used: None };
        self.entries.insert(weights.clone(), entry);
        Ok(())
    }

    /// Notes how far an entry has come.
    pub fn set_stage(&mut self, weights: &Weights, stage: Stage) {
        if let Some(entry) = self.entries.get_mut(weights) {
            entry.stage = stage;
        }
    }

    /// Gives memory back, after the engine confirmed that it is free.
    pub fn remove(&mut self, weights: &Weights) {
        self.entries.remove(weights);
    }

    /// Notes that a request runs on it.
    pub fn begin_use(&mut self, weights: &Weights, now: Instant) {
        if let Some(entry) = self.entries.get_mut(weights) {
            entry.users += 1;
            entry.last_used = Some(now);
        }
    }

    /// Notes that a request has ended.
    pub fn end_use(&mut self, weights: &Weights, now: Instant) {
        if let Some(entry) = self.entries.get_mut(weights) {
            entry.users = entry.users.saturating_sub(1);
            entry.last_used = Some(now);
        }
    }

    /// Takes over what the engine itself says is loaded, before any new order.
    ///
    /// After a restart the agent knows nothing, while the engine may hold models or still be
    /// loading one. Counting them first keeps the next order within the memory that is left.
    /// What the engine reports beyond its capacity is counted too.
    pub fn rebuild(&mut self, loaded: impl IntoIterator<Item = (Weights, Mib, bool)>) {
        self.entries.clear();
        for (weights, memory, ready) in loaded {
            let stage = if ready { Stage::Ready } else { Stage::Unknown };
            self.entries.insert(weights, Entry { memory, stage, users: 0, last_used: None });
        }
    }
}
