//! Which target is likely to have the beginning of a prompt cached.

use super::TargetKey;
use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Prefixes remembered. Those of a few hours at the peak fit, in about 4 MiB.
const MAX_PREFIXES: usize = 65_536;
/// Cache events may come this late; an older removal says nothing of a prefix used since.
const EVENT_LAG: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Cached {
    target: TargetKey,
    generation: u32,
    at: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sequence {
    next: u64,
    generation: u32,
}

/// What an engine says of its cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Number of the event; a gap means that some were lost.
    pub sequence: u64,
    /// Prefixes stored.
    pub stored: Vec<u64>,
    /// Prefixes removed.
    pub removed: Vec<u64>,
}

/// Prefixes and where they are cached.
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    known: HashMap<u64, Cached>,
    order: VecDeque<u64>,
    sequences: HashMap<TargetKey, Sequence>,
}

impl Prefixes {
    /// The target that a prefix was last seen at.
    pub fn find(&self, prefix: u64) -> Option<TargetKey> {
        let cached = self.known.get(&prefix)?;
        (cached.generation == self.generation(cached.target)).then_some(cached.target)
    }

    fn generation(&self, target: TargetKey) -> u32 {
        self.sequences.get(&target).map_or(0, |sequence| sequence.generation)
    }

    /// A request with this prefix went to a target.
    pub fn note(&mut self, now: Instant, prefix: u64, target: TargetKey) {
        let cached = Cached { target, generation: self.generation(target), at: now };
        if self.known.insert(prefix, cached).is_none() {
            self.order.push_back(prefix);
        }
        if self.order.len() > MAX_PREFIXES
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Takes an event of a target's cache.
    ///
    /// Events come late and with gaps. After a gap a removal may have been missed, and requests
    /// would be sent for a prefix that is gone; all that was known of the target is dropped,
    /// and requests make it known again.
    pub fn take(&mut self, now: Instant, target: TargetKey, event: &CacheEvent) {
        let sequence = self.sequences.entry(target).or_default();
        if event.sequence < sequence.next {
            return;
        }
        if event.sequence > sequence.next && sequence.next > 0 {
            sequence.generation += 1;
        }
        sequence.next = event.sequence + 1;
        for prefix in &event.removed {
            let gone = |cached: &Cached| {
                cached.target == target && now.saturating_duration_since(cached.at) > EVENT_LAG
            };
            if self.known.get(prefix).is_some_and(gone) {
                self.known.remove(prefix);
                self.order.retain(|known| known != prefix);
            }
        }
        for prefix in &event.stored {
            self.note(now, *prefix, target);
        }
    }

    /// Forgets a target that is gone.
    pub fn forget(&mut self, target: TargetKey) {
        self.sequences.entry(target).or_default().generation += 1;
    }
}
