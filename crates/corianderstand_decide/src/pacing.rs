//! Rate and concurrency limits on loads from the weight store.
//!
//! A [`Coordinator`] queues the loads of the whole deployment in one process; a [`LoadLimiter`]
//! limits the loads of one agent while there is no coordinator. Neither depends on the log.

#[cfg(test)]
mod tests;

use crate::request::StoreLimits;
use corianderstand_derives::derives;
use corianderstand_types::{names::TargetId, weights::Weights};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// A load slower than this percentage of its expected time indicates a congested store.
const CONGESTED_PERCENT: u32 = 150;
/// Loads whose deadlines fall into the same bucket are granted shortest first.
const DEADLINE_BUCKET: Duration = Duration::from_secs(10);
/// A grant expires after this many times the expected load time, as its agent may have died.
const GRANT_EXPIRY_FACTOR: u32 = 6;

/// Limits one agent's loads from the weight store while there is no coordinator.
///
/// Adapts its limit by additive increase and multiplicative decrease.
#[derives(data)]
pub struct LoadLimiter {
    store: StoreLimits,
    limit: u32,
    running: u32,
    next_start: Option<Instant>,
}

impl LoadLimiter {
    /// Creates a limiter of loads from `store`.
    pub fn new(store: StoreLimits) -> Self {
        Self { store, limit: (store.concurrent / 2).max(1), running: 0, next_start: None }
    }

    /// Applies changed settings of the store.
    pub fn set_store(&mut self, store: StoreLimits) {
        self.store = store;
        self.limit = self.limit.min(store.concurrent.max(1));
    }

    /// Returns how many loads this agent may run at once.
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Starts a load if the limits allow it now.
    pub fn try_start(&mut self, now: Instant) -> bool {
        if self.running >= self.limit || self.next_start.is_some_and(|at| now < at) {
            return false;
        }
        self.running += 1;
        self.next_start = Some(now + Duration::from_secs(1) / self.store.per_second.max(1));
        true
    }

    /// Returns whether no load may start until one has ended.
    pub const fn is_full(&self) -> bool {
        self.running >= self.limit
    }

    /// Returns when to call [`LoadLimiter::try_start`] again; `None` if a load has to end first.
    pub fn next_start(&self) -> Option<Instant> {
        (self.running < self.limit).then_some(self.next_start).flatten()
    }

    /// Records the end of a load that [`LoadLimiter::try_start`] allowed, and adapts the limit.
    pub fn ended(&mut self, took: Duration, expected: Duration, succeeded: bool) {
        self.running = self.running.saturating_sub(1);
        let congested = took > expected * CONGESTED_PERCENT / 100;
        self.limit = if congested || !succeeded {
            (self.limit / 2).max(1)
        } else {
            (self.limit + 1).min(self.store.concurrent.max(1))
        };
    }
}

/// An agent's request for a load grant.
#[derives(data)]
#[derive(Eq)]
pub struct LoadRequest {
    /// The target whose engine loads.
    pub target: TargetId,
    /// The weights to load.
    pub weights: Weights,
    /// Urgency: 0 low, 1 normal, 2 urgent.
    pub urgency: u8,
    /// Earliest deadline of the requests that wait for the weights.
    pub deadline: Instant,
    /// Expected duration of the load.
    pub load_time: Duration,
}

type LoadKey = (TargetId, Weights);

#[derives(name)]
struct Rank {
    urgency_rank: u8,
    deadline_bucket: u64,
    load_time: Duration,
    sequence: u64,
}

/// Grants the deployment's loads within the weight store's limits: urgent ones first, then those with
/// the earliest deadlines, then the shortest.
#[derive(Clone, Debug)]
pub struct Coordinator {
    store: StoreLimits,
    epoch: Instant,
    waiting: BTreeMap<Rank, LoadRequest>,
    ranks: BTreeMap<LoadKey, Rank>,
    running: BTreeMap<LoadKey, Instant>,
    expiries: BTreeSet<(Instant, LoadKey)>,
    next_start: Instant,
    sequence: u64,
}

impl Coordinator {
    /// Creates an empty queue for `store`.
    pub fn new(now: Instant, store: StoreLimits) -> Self {
        Self {
            store,
            epoch: now,
            waiting: BTreeMap::new(),
            ranks: BTreeMap::new(),
            running: BTreeMap::new(),
            expiries: BTreeSet::new(),
            next_start: now,
            sequence: 0,
        }
    }

    /// Enqueues a load; a load that is queued or running already is ignored.
    pub fn request(&mut self, request: LoadRequest) {
        let load = (request.target.clone(), request.weights.clone());
        if self.ranks.contains_key(&load) || self.running.contains_key(&load) {
            return;
        }
        self.sequence += 1;
        let until_deadline = request.deadline.saturating_duration_since(self.epoch);
        let rank = Rank {
            urgency_rank: u8::MAX - request.urgency,
            deadline_bucket: until_deadline.as_secs() / DEADLINE_BUCKET.as_secs(),
            load_time: request.load_time,
            sequence: self.sequence,
        };
        self.ranks.insert(load, rank.clone());
        self.waiting.insert(rank, request);
    }

    /// Removes a load that has ended or was cancelled.
    pub fn done(&mut self, target: &TargetId, weights: &Weights) {
        let load = (target.clone(), weights.clone());
        if let Some(rank) = self.ranks.remove(&load) {
            self.waiting.remove(&rank);
        }
        if let Some(expiry) = self.running.remove(&load) {
            self.expiries.remove(&(expiry, load));
        }
    }

    /// Removes all loads of a target whose agent has disappeared.
    pub fn remove_target(&mut self, target: &TargetId) {
        let of_target = |load: &&LoadKey| load.0 == *target;
        let loads = self.ranks.keys().chain(self.running.keys()).filter(of_target);
        for (target, weights) in loads.cloned().collect::<Vec<LoadKey>>() {
            self.done(&target, &weights);
        }
    }

    /// Grants and returns the loads that may start now.
    pub fn grant_due_loads(&mut self, now: Instant) -> Vec<LoadRequest> {
        self.drop_expired(now);
        let mut granted = Vec::new();
        while (self.running.len() as u32) < self.store.concurrent.max(1) && now >= self.next_start {
            let Some((_, request)) = self.waiting.pop_first() else { break };
            let load = (request.target.clone(), request.weights.clone());
            self.ranks.remove(&load);
            let expiry = now + request.load_time * GRANT_EXPIRY_FACTOR;
            self.running.insert(load.clone(), expiry);
            self.expiries.insert((expiry, load));
            self.next_start = now + Duration::from_secs(1) / self.store.per_second.max(1);
            granted.push(request);
        }
        granted
    }

    /// Releases the grants of agents that died while loading.
    fn drop_expired(&mut self, now: Instant) {
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, load)) = self.expiries.pop_first() else { return };
            self.running.remove(&load);
        }
    }

    /// Returns when to call [`Coordinator::grant_due_loads`] next.
    pub fn next_wake(&self) -> Option<Instant> {
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let has_capacity = (self.running.len() as u32) < self.store.concurrent.max(1);
        let start = (has_capacity && !self.waiting.is_empty()).then_some(self.next_start);
        start.into_iter().chain(expiry).min()
    }
}
