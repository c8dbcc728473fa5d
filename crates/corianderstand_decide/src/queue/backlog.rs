//! Counts of waiting requests by urgency and deadline, to find how many precede a request without
//! scanning the queue.

use std::{collections::BTreeMap, time::Instant};

const BUCKET_MS: i128 = 500;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backlog {
    epoch: Option<Instant>,
    counts: BTreeMap<(u8, i128), u32>,
}

impl Backlog {
    fn bucket(&self, deadline: Instant) -> i128 {
        let epoch = self.epoch.unwrap_or(deadline);
        let after = deadline.saturating_duration_since(epoch).as_millis() as i128;
        let before = epoch.saturating_duration_since(deadline).as_millis() as i128;
        (after - before).div_euclid(BUCKET_MS)
    }

    pub fn add(&mut self, urgency_rank: u8, deadline: Instant) {
        if self.counts.is_empty() {
            self.epoch = Some(deadline);
        }
        let bucket = (urgency_rank, self.bucket(deadline));
        *self.counts.entry(bucket).or_default() += 1;
    }

    pub fn remove(&mut self, urgency_rank: u8, deadline: Instant) {
        let bucket = (urgency_rank, self.bucket(deadline));
        let Some(count) = self.counts.get_mut(&bucket) else { return };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&bucket);
        }
    }

    pub fn ahead(&self, urgency_rank: u8, deadline: Instant) -> u32 {
        let last = (urgency_rank, self.bucket(deadline));
        self.counts.range(..=last).map(|(_, count)| *count).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
