//! A prefix cache of limited size whose events may be delayed or lost.

use corianderstand_edge::engine::{CacheChange, CacheEvent, CacheEvents};
use std::collections::{HashMap, VecDeque};
use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const BLOCK_WORDS: usize = 16;
const MAX_EVENTS: usize = 4096;

/// Blocks by hash of the prompt up to their end; evicts the least recently used.
pub struct PrefixCache {
    capacity: usize,
    last_used: HashMap<u64, u64>,
    use_count: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    next_sequence: u64,
    /// Loses each n-th event; 0 for none.
    pub drop_every: u64,
}

impl PrefixCache {
    /// Creates an empty cache; `capacity` is in blocks.
    pub fn new(capacity: usize) -> Self {
        let (last_used, events) = Default::default();
        Self { capacity, last_used, use_count: 0, events, next_sequence: 1, drop_every: 0 }
    }

    /// Inserts a prompt and returns how many of its words were cached.
    pub fn insert_prompt(&mut self, model: &str, prompt: &[u8]) -> usize {
        let words: Vec<&[u8]> = prompt.split(u8::is_ascii_whitespace).collect();
        let mut hash = xxh3_64_with_seed(model.as_bytes(), 0);
        let mut hits = 0;
        let mut is_prefix = true;
        for block in words.chunks_exact(BLOCK_WORDS) {
            hash = block.iter().fold(hash, |hash, word| xxh3_64_with_seed(word, hash));
            is_prefix &= self.last_used.contains_key(&hash);
            hits += usize::from(is_prefix);
            self.insert_block(hash);
        }
        hits * BLOCK_WORDS
    }

    fn insert_block(&mut self, hash: u64) {
        self.use_count += 1;
        if self.last_used.insert(hash, self.use_count).is_none() {
            self.record_event(hash, CacheChange::Stored);
        }
        while self.last_used.len() > self.capacity {
            let oldest = self
                .last_used
                .iter()
                .min_by_key(|(_, last_used)| **last_used)
                .map(|(hash, _)| *hash);
            let Some(oldest) = oldest else { return };
            self.last_used.remove(&oldest);
            self.record_event(oldest, CacheChange::Evicted);
        }
    }

    fn record_event(&mut self, block: u64, change: CacheChange) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.drop_every > 0 && sequence.is_multiple_of(self.drop_every) {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((Instant::now(), CacheEvent { sequence, block, change }));
    }

    /// Returns events from a sequence number on that are at least `lag` old.
    pub fn events(&self, from: u64, lag: Duration) -> CacheEvents {
        let published = self.events.iter().filter(|(at, _)| at.elapsed() >= lag);
        let events: Vec<CacheEvent> = published
            .map(|(_, event)| event.clone())
            .filter(|event| event.sequence >= from)
            .collect();
        let next = events.last().map_or(from.max(1), |event| event.sequence + 1);
        CacheEvents { next, events }
    }
}
