//! What a router may use of the retries that all share.
//!
//! The fixed number is divided by the largest number of routers that was known within a window, as to hear fewer may
//! mean to be cut off. A router that hears no majority of them goes on with its part until the others may divide by
//! fewer, and uses nothing of it then.
//!
//! Nothing is retried for a window after a start, not even by the router's own requests: the process before may just
//! have used all that its requests of a window allowed. When all routers start for the first time, only the fixed number
//! has to wait.

use super::Allowance;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time without a majority after which the routers that were known count as gone.
const MINORITY_TIMEOUT: Duration = Duration::from_secs(600);
/// Time without a majority for which the others still divide by all that were known.
const CUT_OFF_TIME: Duration = Duration::from_secs(20);
/// Two routers have no majority without each other; each keeps half.
const MAX_ROUTERS_WITHOUT_MAJORITY: usize = 2;

/// Routers of the deployment, this one included, as one router sees them.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RoutersSeen {
    /// Routers that are known; none until a complete list was read.
    pub known: Option<usize>,
    /// Routers that were heard lately.
    pub heard: usize,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    known: usize,
}

/// A router's part of the fixed number of retries.
#[derive(Clone, Debug)]
pub struct FixedShare {
    started_at: Instant,
    is_first_start: bool,
    /// Numbers of known routers, each larger than those after it.
    samples: VecDeque<Sample>,
    heard: usize,
    last_majority_at: Instant,
}

impl FixedShare {
    /// The share of a router that starts now, be it the first start of all routers or not.
    pub const fn new(now: Instant, is_first_start: bool) -> Self {
        Self {
            started_at: now,
            is_first_start,
            samples: VecDeque::new(),
            heard: 1,
            last_majority_at: now,
        }
    }

    /// Records which routers are seen.
    pub fn observe(&mut self, now: Instant, seen: RoutersSeen, allowance: &Allowance) {
        self.heard = seen.heard;
        if let Some(known) = seen.known {
            while self.samples.back().is_some_and(|sample| sample.known <= known) {
                self.samples.pop_back();
            }
            self.samples.push_back(Sample { at: now, known });
        }
        let is_past = |at: Instant, time| now.saturating_duration_since(at) >= time;
        if !self.has_majority() && !is_past(self.last_majority_at, MINORITY_TIMEOUT) {
            // What is known shrinks while nothing is heard; the number must not.
            if let Some(largest) = self.samples.front_mut() {
                largest.at = now;
                self.samples.truncate(1);
            }
            return;
        }
        self.last_majority_at = now;
        while self.samples.len() > 1
            && self.samples.front().is_some_and(|sample| is_past(sample.at, allowance.retention()))
        {
            self.samples.pop_front();
        }
    }

    /// Number of routers by which the fixed number is divided; none if it is not known.
    pub fn routers(&self) -> Option<usize> {
        self.samples.front().map(|sample| sample.known)
    }

    /// Retries that this router may use of the fixed number; none if it may not retry yet.
    pub fn retries(&self, now: Instant, allowance: &Allowance) -> Option<f64> {
        let running = now.saturating_duration_since(self.started_at);
        if running < allowance.retention() {
            // Routers that start together don't know of each other yet.
            return self.is_first_start.then_some(0.0);
        }
        let routers = self.routers().unwrap_or(usize::MAX);
        let cut_off = now.saturating_duration_since(self.last_majority_at);
        let may_use = self.has_majority()
            || routers <= MAX_ROUTERS_WITHOUT_MAJORITY
            || cut_off < CUT_OFF_TIME;
        Some(if may_use { allowance.fixed / routers as f64 } else { 0.0 })
    }

    fn has_majority(&self) -> bool {
        self.routers().is_some_and(|routers| 2 * self.heard > routers)
    }
}
