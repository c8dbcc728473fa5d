//! Tracks which target has which prompt prefixes in its cache.
//!
//! Only prompts sent by this process are tracked, so routers exchange no messages about prefixes.
//! Old entries are evicted in two generations.

use crate::targets;
use std::collections::HashMap;
use xxhash_rust::xxh3;

const GENERATION_CAPACITY: usize = 4_096;

/// Cumulative hashes and token counts of a prompt's parts.
#[derive(Clone, Debug, Default)]
pub struct PrefixChain {
    parts: Vec<(u64, u64)>,
}

impl PrefixChain {
    /// Builds the chain of a prompt for `model` from part ids and their lengths in tokens.
    pub fn new(model: &str, parts: impl IntoIterator<Item = (u64, u32)>) -> Self {
        let mut hash = xxh3::xxh3_64(model.as_bytes());
        let mut tokens = 0;
        let parts = parts.into_iter().map(|(id, length)| {
            hash = xxh3::xxh3_64_with_seed(&id.to_le_bytes(), hash);
            tokens += u64::from(length);
            (hash, tokens)
        });
        Self { parts: parts.collect() }
    }
}

/// Prompt prefixes and the targets that last processed them.
#[derive(Debug, Default)]
pub struct Prefixes {
    recent: HashMap<u64, targets::TargetKey>,
    previous: HashMap<u64, targets::TargetKey>,
}

impl Prefixes {
    /// The target with the longest cached prefix of the prompt, and the prefix's length in tokens.
    pub fn find(&self, chain: &PrefixChain) -> Option<(targets::TargetKey, u64)> {
        let find = |hash| self.recent.get(hash).or_else(|| self.previous.get(hash)).copied();
        chain.parts.iter().rev().find_map(|(hash, tokens)| Some((find(hash)?, *tokens)))
    }

    /// Records that a prompt was sent to a target.
    pub fn record(&mut self, chain: &PrefixChain, target: targets::TargetKey) {
        for (hash, _) in &chain.parts {
            self.recent.insert(*hash, target);
        }
        if self.recent.len() >= GENERATION_CAPACITY {
            self.previous = std::mem::take(&mut self.recent);
        }
    }
}
