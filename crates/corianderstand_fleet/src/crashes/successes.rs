//! When targets last wrote on prompts with a part. Old parts are evicted in two generations.

use crate::fingerprint::PartId;
use std::{collections::HashMap, time::Instant};

const GENERATION_CAPACITY: usize = 4_096;

/// The last success of each part.
#[derive(Clone, Debug, Default)]
pub struct Successes {
    recent: HashMap<PartId, Instant>,
    previous: HashMap<PartId, Instant>,
}

impl Successes {
    pub fn record(&mut self, part: PartId, at: Instant) {
        let at = self.last(part).map_or(at, |last| last.max(at));
        self.recent.insert(part, at);
        if self.recent.len() >= GENERATION_CAPACITY {
            self.previous = std::mem::take(&mut self.recent);
        }
    }

    pub fn last(&self, part: PartId) -> Option<Instant> {
        self.recent.get(&part).or_else(|| self.previous.get(&part)).copied()
    }
}
