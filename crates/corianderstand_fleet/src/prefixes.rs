//! Which target has read which parts of prompts.
//!
//! Requests of one session and of one kind share the first parts of their prompts, and an engine
//! that has read them need not read them again. Only what this process sent is remembered: it is
//! exact enough to tell two engines apart, and costs no message. Old parts go by halves.

use crate::targets;
use std::collections::HashMap;
use xxhash_rust::xxh3;

/// Parts that one half remembers. A deployment of today has some 400 shared parts; at 24 bytes
/// each this is 200 KB when full.
const GENERATION_CAPACITY: usize = 4_096;

/// A prompt's parts, each identified by itself and all before it.
#[derive(Clone, Debug, Default)]
pub struct Chain {
    parts: Vec<(u64, u64)>,
}

impl Chain {
    /// A chain for the prompts of one model.
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

/// Parts and the targets that read them last.
#[derive(Debug, Default)]
pub struct Prefixes {
    recent: HashMap<u64, targets::TargetKey>,
    previous: HashMap<u64, targets::TargetKey>,
}

impl Prefixes {
    /// The target that read the longest start of the prompt, and its tokens.
    pub fn find(&self, chain: &Chain) -> Option<(targets::TargetKey, u64)> {
        let find = |hash| self.recent.get(hash).or_else(|| self.previous.get(hash)).copied();
        chain.parts.iter().rev().find_map(|(hash, tokens)| Some((find(hash)?, *tokens)))
    }

    /// A target reads the prompt.
    pub fn record(&mut self, chain: &Chain, target: targets::TargetKey) {
        for (hash, _) in &chain.parts {
            self.recent.insert(*hash, target);
        }
        if self.recent.len() >= GENERATION_CAPACITY {
            self.previous = std::mem::take(&mut self.recent);
        }
    }
}
