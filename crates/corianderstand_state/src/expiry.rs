//! Expiry of old entries, which bounds the size of the state.
//!
//! Sweeps run at fixed steps of log time, so every process removes the same entries at the same
//! record. [`crate::calls`] expires its own keys.

use crate::fold::State;

/// Log time between two sweeps.
pub const SWEEP_INTERVAL_MS: u64 = 60_000;
/// Log time without a record after which a writer's progress is removed.
pub const WRITER_TTL_MS: u64 = 86_400_000;

/// Whether a sweep falls between two log times.
pub const fn is_due(before_ms: u64, now_ms: u64) -> bool {
    before_ms / SWEEP_INTERVAL_MS != now_ms / SWEEP_INTERVAL_MS
}

/// Removes inactive writers, and former slot owners of models that no longer exist.
pub fn sweep(state: &mut State) {
    let now_ms = state.time_ms;
    let old = state.writers.iter().filter(|(_, known)| known.at_ms + WRITER_TTL_MS <= now_ms);
    for writer in old.map(|(writer, _)| writer.clone()).collect::<Vec<_>>() {
        state.writers.remove(&writer);
    }
    let documents = &state.documents;
    let known = |model: &str| documents.by_path.contains_key(&*format!("shared/models/{model}"));
    let former = state.slots.former.keys().filter(|key| !known(key.model.as_str()));
    for key in former.cloned().collect::<Vec<_>>() {
        state.slots.former.remove(&key);
    }
}
