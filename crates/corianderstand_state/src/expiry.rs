//! What the state forgets, so that it stays bounded.
//!
//! Forgetting goes by the log's own time and at fixed steps of it, so every process forgets the
//! same at the same record, whenever it folds it. Calls are forgotten by their own rule, in
//! [`crate::calls`].

use crate::fold::State;

/// Step of log time at which the state is swept.
pub const SWEEP_INTERVAL_MS: u64 = 60_000;
/// Time without a record after which a writer's progress is forgotten. A repeat of an append
/// comes within the time that one process tries it; a process that was away for a day and then
/// repeats one meets the record's own condition, as every record has one.
pub const WRITER_TTL_MS: u64 = 86_400_000;

/// Whether a sweep is due between two log times.
pub const fn is_due(before_ms: u64, now_ms: u64) -> bool {
    before_ms / SWEEP_INTERVAL_MS != now_ms / SWEEP_INTERVAL_MS
}

/// Drops writers and former owners of slots that are too old.
pub fn sweep(state: &mut State) {
    let now = state.time_ms;
    let old = state.writers.iter().filter(|(_, known)| known.at_ms + WRITER_TTL_MS <= now);
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
