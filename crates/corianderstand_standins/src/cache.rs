//! A prefix cache of limited size whose events may be delayed or lost.

use corianderstand_edge::engine::{CacheChange, CacheEvent, CacheEvents};
use std::collections::{HashMap, VecDeque};
use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const BLOCK_WORDS: usize = 16;
const MAX_EVENTS: usize = 4096;

/// Caches blocks of prompt words by prefix hash; evicts the least recently used block.
pub struct PrefixCache {
    capacity_blocks: usize,
    last_use_by_block: HashMap<u64, u64>,
    use_count: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    next_sequence: u64,
    /// Drops every n-th cache event; 0 drops none.
    pub drop_event_every: u64,
}

impl PrefixCache {
    pub fn new(capacity_blocks: usize) -> Self {
        let (last_use_by_block, events) = Default::default();
        Self {
            capacity_blocks,
            last_use_by_block,
            use_count: 0,
            events,
            next_sequence: 1,
            drop_event_every: 0,
        }
    }

    /// Inserts a prompt and returns how many of its words were cached.
    pub fn insert_prompt(&mut self, model: &str, prompt: &[u8]) -> usize {
        let words: Vec<&[u8]> = prompt.split(u8::is_ascii_whitespace).collect();
        let mut hash = xxh3_64_with_seed(model.as_bytes(), 0);
        let mut hit_blocks = 0;
        let mut is_prefix = true;
        for block in words.chunks_exact(BLOCK_WORDS) {
            hash = block.iter().fold(hash, |hash, word| xxh3_64_with_seed(word, hash));
            is_prefix &= self.last_use_by_block.contains_key(&hash);
            hit_blocks += usize::from(is_prefix);
            self.insert_block(hash);
        }
        hit_blocks * BLOCK_WORDS
    }

    fn insert_block(&mut self, hash: u64) {
        self.use_count += 1;
        if self.last_use_by_block.insert(hash, self.use_count).is_none() {
            self.record_event(hash, CacheChange::Stored);
        }
        while self.last_use_by_block.len() > self.capacity_blocks {
            let oldest = self
                .last_use_by_block
                .iter()
                .min_by_key(|(_, last_used)| **last_used)
                .map(|(hash, _)| *hash);
            let Some(oldest) = oldest else { return };
            self.last_use_by_block.remove(&oldest);
            self.record_event(oldest, CacheChange::Evicted);
        }
    }

    fn record_event(&mut self, block: u64, change: CacheChange) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.drop_event_every > 0 && sequence.is_multiple_of(self.drop_event_every) {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((Instant::now(), CacheEvent { sequence, block, change }));
    }

    /// Returns the events from `start_sequence` on that were recorded at least `lag` ago.
    pub fn events(&self, start_sequence: u64, lag: Duration) -> CacheEvents {
        let published = self.events.iter().filter(|(recorded_at, _)| recorded_at.elapsed() >= lag);
        let events: Vec<CacheEvent> = published
            .map(|(_, event)| event.clone())
            .filter(|event| event.sequence >= start_sequence)
            .collect();
        let next = events.last().map_or(start_sequence.max(1), |event| event.sequence + 1);
        CacheEvents { next, events }
    }
}
