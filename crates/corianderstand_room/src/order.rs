//! The order in which requests that wait are served.
//!
//! Requests that can still meet their objective come first, by rank, then by the time left until the objective. Those
//! that are late already follow by rank and time left until they expire. A share of what is granted goes to the request
//! that has used up most of the time for which it may wait, whatever its rank: a rank with more requests than there is
//! room would else starve all others.

use corianderstand_derives::derives;
use std::{
    cmp::Ordering,
    time::{Duration, Instant},
};

/// Share of what is granted that goes to the request that has waited longest, relative to how long it may wait.
const OLDEST_SHARE: f64 = 0.25;

/// What a request that waits is judged by.
#[derives(key)]
pub struct Claim {
    /// Priority of its workspace and route; 0 is the highest.
    pub rank: u8,
    /// What it takes of the room: tokens of a quota, or slots.
    pub cost: u64,
    /// When it arrived.
    pub arrived_at: Instant,
    /// The latest time at which it can be served within its latency objective.
    pub objective_at: Instant,
    /// The latest time at which serving it is of any use.
    pub expires_at: Instant,
}

impl Claim {
    /// Whether it can still meet its objective.
    pub fn is_timely(&self, now: Instant) -> bool {
        now <= self.objective_at
    }

    /// Whether serving it is of no use any more.
    pub fn is_expired(&self, now: Instant) -> bool {
        now >= self.expires_at
    }

    /// Compares by urgency; the lesser one is served first.
    pub fn compare(&self, now: Instant, other: &Self) -> Ordering {
        let key = |claim: &Self| {
            let is_late = !claim.is_timely(now);
            let due_at = if is_late { claim.expires_at } else { claim.objective_at };
            (is_late, claim.rank, due_at, claim.arrived_at)
        };
        key(self).cmp(&key(other))
    }

    /// Share of the time for which it may wait that is over.
    pub fn waited_share(&self, now: Instant) -> f64 {
        let patience = self.expires_at.saturating_duration_since(self.arrived_at);
        let waited = now.saturating_duration_since(self.arrived_at);
        waited.as_secs_f64() / patience.max(Duration::from_millis(1)).as_secs_f64()
    }
}

/// Whose turn it is, over several grants.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turns {
    /// Cost granted by urgency for which the oldest request has not had its share yet.
    owed_to_oldest: f64,
}

impl Turns {
    /// Index of the request to be served next; none if there is none.
    pub fn next<'a>(
        &self,
        now: Instant,
        claims: impl Iterator<Item = &'a Claim> + Clone,
    ) -> Option<usize> {
        let claims = claims.enumerate();
        let (index, oldest) = claims
            .clone()
            .max_by(|(_, a), (_, b)| a.waited_share(now).total_cmp(&b.waited_share(now)))?;
        if self.owed_to_oldest >= oldest.cost as f64 {
            return Some(index);
        }
        claims.min_by(|(_, a), (_, b)| a.compare(now, b)).map(|(index, _)| index)
    }

    /// Records that a request of this cost was served; `is_oldest` if it had waited longest.
    pub fn record(&mut self, cost: u64, is_oldest: bool) {
        let cost = cost as f64;
        if is_oldest {
            self.owed_to_oldest = (self.owed_to_oldest - cost * (1.0 - OLDEST_SHARE)).max(0.0);
        } else {
            self.owed_to_oldest += cost * OLDEST_SHARE;
        }
    }
}
