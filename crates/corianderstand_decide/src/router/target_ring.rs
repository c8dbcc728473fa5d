//! The targets that can serve one model or service.

use super::{TargetKey, health::BaselinePartTime};
use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

/// Time after a request was sent for which a target is assumed to have the model loaded.
const WARM_TIMEOUT: Duration = Duration::from_secs(300);
/// Time after a response for which a target certainly has the model loaded.
const SERVING_TIMEOUT: Duration = Duration::from_secs(5);

/// A hash ring of targets, ordered by the hash of their names so that all routers agree.
#[derive(Clone, Debug, Default)]
pub struct TargetRing {
    ring: Vec<(u64, TargetKey)>,
    members: HashSet<TargetKey>,
    last_sent_at: HashMap<TargetKey, Instant>,
    last_warm: Option<TargetKey>,
    last_served_at: HashMap<TargetKey, Instant>,
    pub baseline: BaselinePartTime,
}

impl TargetRing {
    pub fn set_targets(&mut self, mut ring: Vec<(u64, TargetKey)>) {
        ring.sort_unstable();
        ring.dedup();
        self.members = ring.iter().map(|(_, target)| *target).collect();
        self.last_sent_at.retain(|target, _| self.members.contains(target));
        self.last_served_at.retain(|target, _| self.members.contains(target));
        self.ring = ring;
    }

    pub fn contains(&self, target: TargetKey) -> bool {
        self.members.contains(&target)
    }

    pub const fn len(&self) -> usize {
        self.ring.len()
    }

    /// Returns the target at a ring index, which wraps around.
    pub fn target_at(&self, index: usize) -> TargetKey {
        self.ring[index % self.ring.len()].1
    }

    pub fn index_of(&self, hash: u64) -> usize {
        self.ring.partition_point(|(at, _)| *at < hash)
    }

    pub fn iter(&self) -> impl Iterator<Item = TargetKey> + '_ {
        self.ring.iter().map(|(_, target)| *target)
    }

    /// Records that a request was sent to a target, which loads the model if necessary.
    pub fn mark_warm(&mut self, now: Instant, target: TargetKey) {
        self.last_sent_at.insert(target, now);
        self.last_warm = Some(target);
    }

    pub fn mark_cold(&mut self, target: TargetKey) {
        self.last_sent_at.remove(&target);
        self.last_served_at.remove(&target);
    }

    pub fn mark_served(&mut self, now: Instant, target: TargetKey) {
        self.last_served_at.insert(target, now);
    }

    /// Returns whether a target has responded recently, so that it isn't still loading the model.
    pub fn is_serving(&self, now: Instant, target: TargetKey) -> bool {
        self.last_served_at
            .get(&target)
            .is_some_and(|at| now.saturating_duration_since(*at) < SERVING_TIMEOUT)
    }

    /// Returns whether a target is assumed to have the model loaded, or to be loading it.
    pub fn is_warm(&self, now: Instant, target: TargetKey) -> bool {
        self.last_sent_at
            .get(&target)
            .is_some_and(|at| now.saturating_duration_since(*at) < WARM_TIMEOUT)
    }

    pub fn last_warm(&self, now: Instant) -> Option<TargetKey> {
        self.last_warm.filter(|target| self.is_warm(now, *target))
    }
}
