//! Requests that wait, counted by urgency and deadline, so that what is ahead of a request is known
//! without looking at each.

use std::{collections::BTreeMap, time::Instant};

/// Deadlines within this time count as the same; a finer step would only cost time, as the
/// length of runs is not known better.
const BUCKET_MS: i128 = 500;

/// Counts of requests.
///
/// Their running time is not summed, as what is expected of a run changes while they wait.
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

    /// Adds a request.
    pub fn add(&mut self, urgency_rank: u8, deadline: Instant) {
        if self.counts.is_empty() {
            self.epoch = Some(deadline);
        }
        let bucket = (urgency_rank, self.bucket(deadline));
        *self.counts.entry(bucket).or_default() += 1;
    }

    /// Takes a request out again, with what it was added with.
    pub fn remove(&mut self, urgency_rank: u8, deadline: Instant) {
        let bucket = (urgency_rank, self.bucket(deadline));
        let Some(count) = self.counts.get_mut(&bucket) else { return };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&bucket);
        }
    }

    /// Requests that go before one with these properties.
    pub fn ahead(&self, urgency_rank: u8, deadline: Instant) -> u32 {
        let last = (urgency_rank, self.bucket(deadline));
        self.counts.range(..=last).map(|(_, count)| *count).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
