//! An index of the prompt prefixes that targets are likely to have cached.

use super::TargetKey;
use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

const MAX_PREFIXES: usize = 65_536;
/// Time after a prefix was recorded for which its removal is ignored, as the cache event may be older.
const MAX_EVENT_LAG: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    target: TargetKey,
    generation: u32,
    recorded_at: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct EventCursor {
    next_sequence: u64,
    generation: u32,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// Hashes of the stored prefixes.
    pub stored: Vec<u64>,
    /// Hashes of the removed prefixes.
    pub removed: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    entries: HashMap<u64, CachedPrefix>,
    insertion_order: VecDeque<u64>,
    cursors: HashMap<TargetKey, EventCursor>,
}

impl PrefixIndex {
    pub fn find(&self, prefix: u64) -> Option<TargetKey> {
        let cached = self.entries.get(&prefix)?;
        (cached.generation == self.generation(cached.target)).then_some(cached.target)
    }

    fn generation(&self, target: TargetKey) -> u32 {
        self.cursors.get(&target).map_or(0, |cursor| cursor.generation)
    }

    /// Records that a target caches a prefix; evicts the oldest entry beyond the limit.
    pub fn record(&mut self, now: Instant, prefix: u64, target: TargetKey) {
        let cached = CachedPrefix { target, generation: self.generation(target), recorded_at: now };
        if self.entries.insert(prefix, cached).is_none() {
            self.insertion_order.push_back(prefix);
        }
        if self.insertion_order.len() > MAX_PREFIXES
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.entries.remove(&oldest);
        }
    }

    /// Applies a cache event; a gap in the sequence invalidates all entries of the target.
    pub fn apply_event(&mut self, now: Instant, target: TargetKey, event: &CacheEvent) {
        let cursor = self.cursors.entry(target).or_default();
        if event.sequence < cursor.next_sequence {
            return;
        }
        if event.sequence > cursor.next_sequence && cursor.next_sequence > 0 {
            cursor.generation += 1;
        }
        cursor.next_sequence = event.sequence + 1;
        for prefix in &event.removed {
            let is_removed = |cached: &CachedPrefix| {
                cached.target == target
                    && now.saturating_duration_since(cached.recorded_at) > MAX_EVENT_LAG
            };
            if self.entries.get(prefix).is_some_and(is_removed) {
                self.entries.remove(prefix);
                self.insertion_order.retain(|entry| entry != prefix);
            }
        }
        for prefix in &event.stored {
            self.record(now, *prefix, target);
        }
    }

    pub fn invalidate_target(&mut self, target: TargetKey) {
        self.cursors.entry(target).or_default().generation += 1;
    }
}
