//! The memory of one engine, as its agent commits it.
//!
//! Memory is reserved before an order is sent and given back only after the engine confirmed.
//! Load reports lag and an order's answer may be lost, so the engine's own figures would allow
//! two orders into the same memory; the ledger counts an order of unknown outcome as loaded.

use corianderstand_derives::derives;
use corianderstand_types::{names::ModelId, units::Mib, weights::Weights};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

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
    /// Version of the ledger at which its stage was set.
    pub stage_version: u64,
    /// Since when the engine has said that it is not there, while its stage is unknown.
    pub absent_since: Option<Instant>,
}

/// Time for which the engine must say that something is not loaded before an order of unknown
/// outcome is believed to have failed. An order whose connection broke may still lie in the
/// engine's socket and be carried out after a later question was answered; giving its memory
/// away at once would let the next load go beyond what the engine has.
pub const ABSENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// No room for a load.
#[derives(data)]
#[derive(Copy, Eq, displaydoc::Display)]
pub enum LedgerError {
    /// {missing} too little memory is free: unload something or wait
    InsufficientMemory {
        /// How much is missing.
        missing: Mib,
    },
    /// it is reserved already: wait for the order that is on its way
    AlreadyReserved,
}

impl std::error::Error for LedgerError {}

/// All that is committed of one engine's memory.
#[derives(data)]
pub struct Ledger {
    capacity: Mib,
    entries: BTreeMap<Weights, Entry>,
    version: u64,
}

impl Ledger {
    /// An empty engine with this much memory.
    pub const fn new(capacity: Mib) -> Self {
        Self { capacity, entries: BTreeMap::new(), version: 0 }
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
    /// [`LedgerError::InsufficientMemory`] if it does not fit.
    pub fn reserve(&mut self, weights: &Weights, memory: Mib) -> Result<(), LedgerError> {
        if self.entries.contains_key(weights) {
            return Err(LedgerError::AlreadyReserved);
        }
        if memory > self.free() {
            return Err(LedgerError::InsufficientMemory { missing: Mib(memory.0 - self.free().0) });
        }
        self.insert(weights.clone(), memory, Stage::Loading);
        Ok(())
    }

    fn insert(&mut self, weights: Weights, memory: Mib, stage: Stage) {
        self.version += 1;
        let (stage_version, absent_since) = (self.version, None);
        let entry = Entry { memory, stage, users: 0, last_used: None, stage_version, absent_since };
        self.entries.insert(weights, entry);
    }

    /// Notes how far an entry has come.
    pub fn set_stage(&mut self, weights: &Weights, stage: Stage) {
        self.version += 1;
        if let Some(entry) = self.entries.get_mut(weights) {
            (entry.stage, entry.stage_version, entry.absent_since) = (stage, self.version, None);
        }
    }

    /// Counts changes; a question to the engine is asked as of a version.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Whether an order's outcome is unknown, so that the engine must be asked.
    pub fn has_unknown(&self) -> bool {
        self.entries.values().any(|entry| entry.stage == Stage::Unknown)
    }

    /// Models of which something is counted, whatever its stage.
    pub fn holds(&self, model: &ModelId) -> bool {
        self.entries.keys().any(|weights| weights.model == *model)
    }

    /// Gives memory back, after the engine confirmed that it is free.
    pub fn remove(&mut self, weights: &Weights) {
        self.version += 1;
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
            self.insert(weights, memory, reported_stage(ready));
        }
    }

    /// Settles what is unknown by the engine's answer to a question asked as of `version`.
    ///
    /// An entry that changed since the question is left alone: the answer may be older than the
    /// change. What the engine has and the ledger does not is counted from now on; what it no
    /// longer has although it was confirmed, as after its own restart, is given back.
    pub fn reconcile(&mut self, now: Instant, version: u64, loaded: &[(Weights, Mib, bool)]) {
        let unchanged = version == self.version;
        for (weights, memory, ready) in loaded {
            if unchanged && !self.entries.contains_key(weights) {
                self.insert(weights.clone(), *memory, reported_stage(*ready));
            }
        }
        let reported: BTreeMap<&Weights, bool> = loaded.iter().map(|(w, _, r)| (w, *r)).collect();
        let unchanged_since = |entry: &Entry| entry.stage_version <= version;
        let resolvable: Vec<Weights> = self
            .entries
            .iter()
            .filter(|(_, e)| unchanged_since(e))
            .map(|(w, _)| w.clone())
            .collect();
        for weights in resolvable {
            self.resolve(now, &weights, reported.get(&weights).copied());
        }
    }

    fn resolve(&mut self, now: Instant, weights: &Weights, reported_ready: Option<bool>) {
        let Some(entry) = self.entries.get_mut(weights) else { return };
        match (entry.stage, reported_ready) {
            (Stage::Unknown, Some(true)) => self.set_stage(weights, Stage::Ready),
            (Stage::Unknown, Some(false)) => entry.absent_since = None,
            (Stage::Unknown, None) => {
                let since = *entry.absent_since.get_or_insert(now);
                if now >= since + ABSENCE_TIMEOUT {
                    self.remove(weights);
                }
            }
            (Stage::Ready, None) => self.remove(weights),
            (Stage::Ready, Some(false)) => self.set_stage(weights, Stage::Unknown),
            (Stage::Ready, Some(true)) | (Stage::Loading | Stage::Unloading, _) => {}
        }
    }
}

/// The stage of what the engine reports; something not ready may have been ordered by an agent
/// that died, so how that order ends is not known.
const fn reported_stage(ready: bool) -> Stage {
    if ready { Stage::Ready } else { Stage::Unknown }
}

#[cfg(test)]
mod tests;
