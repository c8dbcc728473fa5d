//! The targets that can serve one model or service.

use super::{TargetKey, health::Usual};
use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

/// How long a target that served a model is believed to have it loaded still. Most models are
/// kept for minutes; a wrong belief costs no more than no belief.
const WARM_FOR: Duration = Duration::from_secs(300);
/// How long after an answer a target certainly has the model loaded: the least time for
/// which an idle model is kept.
const SERVING_FOR: Duration = Duration::from_secs(5);

/// Targets on a ring by the hash of their names, so that all routers see the same order.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    ring: Vec<(u64, TargetKey)>,
    members: HashSet<TargetKey>,
    warm: HashMap<TargetKey, Instant>,
    last_warm: Option<TargetKey>,
    served: HashMap<TargetKey, Instant>,
    /// What is usual for this model.
    pub usual: Usual,
}

impl Owners {
    /// Replaces the targets; what was learnt stays.
    pub fn set(&mut self, mut ring: Vec<(u64, TargetKey)>) {
        ring.sort_unstable();
        ring.dedup();
        self.members = ring.iter().map(|(_, target)| *target).collect();
        self.warm.retain(|target, _| self.members.contains(target));
        self.served.retain(|target, _| self.members.contains(target));
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
    pub fn at(&self, index: usize) -> TargetKey {
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
    pub fn note_warm(&mut self, now: Instant, target: TargetKey) {
        self.warm.insert(target, now);
        self.last_warm = Some(target);
    }

    /// A target could not serve the model.
    pub fn note_cold(&mut self, target: TargetKey) {
        self.warm.remove(&target);
        self.served.remove(&target);
    }

    /// An answer from a target is over.
    pub fn note_served(&mut self, now: Instant, target: TargetKey) {
        self.served.insert(target, now);
    }

    /// Whether a target has just answered with the model, so that it is not merely loading it.
    pub fn is_serving(&self, now: Instant, target: TargetKey) -> bool {
        self.served.get(&target).is_some_and(|at| now.saturating_duration_since(*at) < SERVING_FOR)
    }

    /// Whether a target is believed to have the model loaded, or to be loading it.
    pub fn is_warm(&self, now: Instant, target: TargetKey) -> bool {
        self.warm.get(&target).is_some_and(|at| now.saturating_duration_since(*at) < WARM_FOR)
    }

    /// The target last believed to have it.
    pub fn warm(&self, now: Instant) -> Option<TargetKey> {
        self.last_warm.filter(|target| self.is_warm(now, *target))
    }
}
