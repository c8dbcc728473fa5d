//! Accounting of one engine's memory by its agent.
//!
//! Memory is reserved before a load command is sent and released only after the engine confirms the
//! unload. Weights whose command has an unknown outcome keep their reservation.

use corianderstand_derives::derives;
use corianderstand_types::{names::ModelId, units::Mib, weights::Weights};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Lifecycle stage of an entry.
#[derives(key)]
pub enum Stage {
    /// Memory is reserved; the engine has not confirmed the load.
    Loading,
    /// The engine confirmed the load.
    Ready,
    /// The engine has not confirmed the unload; the memory stays reserved.
    Unloading,
    /// The outcome of a command is unknown until the engine is queried.
    Unknown,
}

/// One model or adapter in the engine's memory.
#[derives(data)]
pub struct Entry {
    /// Reserved memory.
    pub memory: Mib,
    /// Lifecycle stage.
    pub stage: Stage,
    /// Number of running requests that use it.
    pub users: u32,
    /// Start or end of its most recent use.
    pub last_used: Option<Instant>,
    /// Change counter of the ledger when `stage` was set.
    pub stage_version: u64,
    /// When the engine first reported it absent, while its stage is [`Stage::Unknown`].
    pub absent_since: Option<Instant>,
}

/// Time for which the engine must report weights as absent before their memory is released.
///
/// A command whose connection broke may still be buffered in the engine's socket and execute
/// after a later query was answered.
pub const ABSENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// A reservation failed.
#[derives(data)]
#[derive(Copy, Eq, displaydoc::Display)]
pub enum LedgerError {
    /// {missing} more memory is needed: unload other weights or wait
    InsufficientMemory {
        /// Memory missing for the reservation.
        missing: Mib,
    },
    /// memory is already reserved for these weights: wait for the pending command
    AlreadyReserved,
}

impl std::error::Error for LedgerError {}

/// Memory reservations of one engine.
#[derives(data)]
pub struct Ledger {
    capacity: Mib,
    entries: BTreeMap<Weights, Entry>,
    version: u64,
}

impl Ledger {
    /// Creates an empty ledger for an engine with this much memory.
    pub const fn new(capacity: Mib) -> Self {
        Self { capacity, entries: BTreeMap::new(), version: 0 }
    }

    /// Reserved memory, including entries of unknown outcome.
    pub fn reserved_memory(&self) -> Mib {
        Mib(self.entries.values().map(|entry| entry.memory.0).sum())
    }

    /// Unreserved memory.
    pub fn free_memory(&self) -> Mib {
        Mib(self.capacity.0.saturating_sub(self.reserved_memory().0))
    }

    /// Total memory of the engine.
    pub const fn capacity(&self) -> Mib {
        self.capacity
    }

    /// Iterates over all entries.
    pub fn entries(&self) -> impl Iterator<Item = (&Weights, &Entry)> {
        self.entries.iter()
    }

    /// The entry of these weights, if any.
    pub fn find(&self, weights: &Weights) -> Option<&Entry> {
        self.entries.get(weights)
    }

    /// Whether the engine has confirmed that the weights are loaded.
    pub fn is_ready(&self, weights: &Weights) -> bool {
        self.find(weights).is_some_and(|entry| entry.stage == Stage::Ready)
    }

    /// Reserves memory before the load command is sent.
    ///
    /// # Errors
    ///
    /// [`LedgerError::InsufficientMemory`] if it does not fit, [`LedgerError::AlreadyReserved`] if
    /// the weights have an entry.
    pub fn reserve(&mut self, weights: &Weights, memory: Mib) -> Result<(), LedgerError> {
        if self.entries.contains_key(weights) {
            return Err(LedgerError::AlreadyReserved);
        }
        if memory > self.free_memory() {
            return Err(LedgerError::InsufficientMemory {
                missing: Mib(memory.0 - self.free_memory().0),
            });
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

    /// Sets the stage of an entry and clears its absence timer.
    pub fn set_stage(&mut self, weights: &Weights, stage: Stage) {
        self.version += 1;
        if let Some(entry) = self.entries.get_mut(weights) {
            (entry.stage, entry.stage_version, entry.absent_since) = (stage, self.version, None);
        }
    }

    /// Number of changes, to detect query responses that predate one.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Whether the engine must be queried for the outcome of a command.
    pub fn has_unknown(&self) -> bool {
        self.entries.values().any(|entry| entry.stage == Stage::Unknown)
    }

    /// Whether the model or one of its adapters has an entry in any stage.
    pub fn holds(&self, model: &ModelId) -> bool {
        self.entries.keys().any(|weights| weights.model == *model)
    }

    /// Removes an entry and releases its memory.
    pub fn remove(&mut self, weights: &Weights) {
        self.version += 1;
        self.entries.remove(weights);
    }

    /// Records that a request started using the weights.
    pub fn begin_use(&mut self, weights: &Weights, now: Instant) {
        if let Some(entry) = self.entries.get_mut(weights) {
            entry.users += 1;
            entry.last_used = Some(now);
        }
    }

    /// Records that a request stopped using the weights.
    pub fn end_use(&mut self, weights: &Weights, now: Instant) {
        if let Some(entry) = self.entries.get_mut(weights) {
            entry.users = entry.users.saturating_sub(1);
            entry.last_used = Some(now);
        }
    }

    /// Replaces all entries with `(weights, memory, ready)` as the engine reports them.
    pub fn rebuild(&mut self, loaded: impl IntoIterator<Item = (Weights, Mib, bool)>) {
        self.entries.clear();
        for (weights, memory, ready) in loaded {
            self.insert(weights, memory, reported_stage(ready));
        }
    }

    /// Reconciles the ledger with the engine's response to a query sent at `version`.
    ///
    /// Entries that changed after the query are skipped, as the response may predate the change.
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

/// Weights that are not ready may belong to a command of a previous agent process.
const fn reported_stage(ready: bool) -> Stage {
    if ready { Stage::Ready } else { Stage::Unknown }
}

#[cfg(test)]
mod tests;
