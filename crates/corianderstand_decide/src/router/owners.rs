//! The targets that can serve one model or service.

use super::{TargetKey, health::BaselinePace};
use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

/// How long a target that served a model is believed to have it loaded still. Most models are
/// kept for minutes; a wrong belief costs no more than no belief.
const WARM_TIMEOUT: Duration = Duration::from_secs(300);
/// How long after an answer a target certainly has the model loaded: the least time for
/// which an idle model is kept.
const SERVING_TIMEOUT: Duration = Duration::from_secs(5);

/// Targets on a ring by the hash of their names, so that all routers see the same order.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    ring: Vec<(u64, TargetKey)>,
    members: HashSet<TargetKey>,
    last_sent_at: HashMap<TargetKey, Instant>,
    last_warm: Option<TargetKey>,
    last_served_at: HashMap<TargetKey, Instant>,
    /// What is usual for this model.
    pub baseline: BaselinePace,
}

impl Owners {
    /// Replaces the targets; what was learnt stays.
    pub fn set_targets(&mut self, mut ring: Vec<(u64, TargetKey)>) {
        ring.sort_unstable();
        ring.dedup();
        self.members = ring.iter().map(|(_, target)| *target).collect();
        self.last_sent_at.retain(|target, _| self.members.contains(target));
        self.last_served_at.retain(|target, _| self.members.contains(target));
        self.ring = ring;
    }

    /// Whether a target is among them.
    pub fn contains(&self, target: TargetKey) -> bool {
        self.members.contains(&target)
    }

    /// Number of targets.
    pub const fn len(&self) -> usize {
        self.ring.len()
    }

    /// The target at this place of the ring.
    pub fn target_at(&self, index: usize) -> TargetKey {
        self.ring[index % self.ring.len()].1
    }

    /// The place of the ring where a hash belongs.
    pub fn index_of(&self, hash: u64) -> usize {
        self.ring.partition_point(|(at, _)| *at < hash)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = TargetKey> + '_ {
        self.ring.iter().map(|(_, target)| *target)
    }

    /// A request went to a target, which loads the model if it has not.
    pub fn mark_warm(&mut self, now: Instant, target: TargetKey) {
        self.last_sent_at.insert(target, now);
        self.last_warm = Some(target);
    }

    /// A target could not serve the model.
    pub fn mark_cold(&mut self, target: TargetKey) {
        self.last_sent_at.remove(&target);
        self.last_served_at.remove(&target);
    }

    /// An answer from a target is over.
    pub fn mark_served(&mut self, now: Instant, target: TargetKey) {
        self.last_served_at.insert(target, now);
    }

    /// Whether a target has just answered with the model, so that it is not merely loading it.
    pub fn is_serving(&self, now: Instant, target: TargetKey) -> bool {
        self.last_served_at
            .get(&target)
            .is_some_and(|at| now.saturating_duration_since(*at) < SERVING_TIMEOUT)
    }

    /// Whether a target is believed to have the model loaded, or to be loading it.
    pub fn is_warm(&self, now: Instant, target: TargetKey) -> bool {
        self.last_sent_at
            .get(&target)
            .is_some_and(|at| now.saturating_duration_since(*at) < WARM_TIMEOUT)
    }

    /// The target last believed to have it.
    pub fn last_warm(&self, now: Instant) -> Option<TargetKey> {
        self.last_warm.filter(|target| self.is_warm(now, *target))
    }
}
