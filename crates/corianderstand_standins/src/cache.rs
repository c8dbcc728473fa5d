//! A prefix cache with limited memory, and its events, late and with gaps.

use corianderstand_edge::engine::{CacheChange, CacheEvent, CacheEvents};
use std::collections::{HashMap, VecDeque};
use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Words in one block of a prompt.
const BLOCK_WORDS: usize = 16;
/// Events kept; older ones are gone for whoever has not asked in time.
const MAX_EVENTS: usize = 4096;

/// Blocks by hash of all that precedes them, the least recently used first to go.
pub struct PrefixCache {
    capacity: usize,
    used: HashMap<u64, u64>,
    uses: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    next: u64,
    /// Every how many events one is lost; 0 for none.
    pub lose_every: u64,
}

impl PrefixCache {
    /// An empty cache for this many blocks.
    pub fn new(capacity: usize) -> Self {
        let (used, events) = Default::default();
        Self { capacity, used, uses: 0, events, next: 1, lose_every: 0 }
    }

    /// Takes a prompt in; how many of its words were cached.
    pub fn take(&mut self, model: &str, prompt: &[u8]) -> usize {
        let words: Vec<&[u8]> = prompt.split(u8::is_ascii_whitespace).collect();
        let mut hash = xxh3_64_with_seed(model.as_bytes(), 0);
        let mut hits = 0;
        let mut is_prefix = true;
        for block in words.chunks_exact(BLOCK_WORDS) {
            hash = block.iter().fold(hash, |hash, word| xxh3_64_with_seed(word, hash));
            is_prefix &= self.used.contains_key(&hash);
            hits += usize::from(is_prefix);
            self.store(hash);
        }
        hits * BLOCK_WORDS
    }

    fn store(&mut self, hash: u64) {
        self.uses += 1;
        if self.used.insert(hash, self.uses).is_none() {
            self.note(hash, CacheChange::Stored);
        }
        while self.used.len() > self.capacity {
            let oldest = self.used.iter().min_by_key(|(_, used)| **used).map(|(hash, _)| *hash);
            let Some(oldest) = oldest else { return };
            self.used.remove(&oldest);
            self.note(oldest, CacheChange::Evicted);
        }
    }

    fn note(&mut self, block: u64, change: CacheChange) {
        let sequence = self.next;
        self.next += 1;
        if self.lose_every > 0 && sequence.is_multiple_of(self.lose_every) {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((Instant::now(), CacheEvent { sequence, block, change }));
    }

    /// Events from a sequence number that are at least `lag` old.
    pub fn events(&self, from: u64, lag: Duration) -> CacheEvents {
        let old = self.events.iter().filter(|(at, _)| at.elapsed() >= lag);
        let events: Vec<CacheEvent> =
            old.map(|(_, event)| event.clone()).filter(|event| event.sequence >= from).collect();
        let next = events.last().map_or(from.max(1), |event| event.sequence + 1);
        CacheEvents { next, events }
    }
}
