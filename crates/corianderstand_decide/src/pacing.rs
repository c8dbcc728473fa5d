//! Pacing of loads for the weight store's rate and concurrency.
//!
//! [`Coordinator`] is one queue for the whole deployment, held by one process; [`LoadLimiter`] is what
//! each agent falls back to when nobody coordinates. Neither needs the log.

#[cfg(test)]
mod tests;

use crate::work::Store;
use corianderstand_derives::derives;
use corianderstand_types::{names::TargetId, weights::Weights};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// A load that took this many hundredths of its expected time shows that the store is crowded.
///
/// At the stated concurrency a load takes its stated time; one and a half times it means that
/// half as many again share the store. Less would take ordinary scatter for crowding.
const CONGESTED_PERCENT: u32 = 150;
/// Deadlines within this time count as alike, so that among them the shortest load goes first.
const DEADLINE_BUCKET: Duration = Duration::from_secs(10);
/// A grant is taken back after this many times the expected time of its load, as its agent may
/// have died. Sooner, a store four times slower than stated would get more loads than it bears.
const GRANT_EXPIRY_FACTOR: u32 = 6;

/// One agent's own pace, when nobody coordinates.
///
/// Made for the time without a coordinator. A fixed part of the store's rate for each engine
/// would be safe, but a burst that meets few engines would crawl while the store stands idle.
/// So each starts with half of what the store bears, adds one after each load that was as quick
/// as stated, and halves after one that was slow: together they settle near what it bears.
#[derives(data)]
pub struct LoadLimiter {
    store: Store,
    limit: u32,
    running: u32,
    next_start: Option<Instant>,
}

impl LoadLimiter {
    /// A gate before this store.
    pub fn new(store: Store) -> Self {
        Self { store, limit: (store.concurrent / 2).max(1), running: 0, next_start: None }
    }

    /// Notes what the settings say of the store now.
    pub fn set_store(&mut self, store: Store) {
        self.store = store;
        self.limit = self.limit.min(store.concurrent.max(1));
    }

    /// Loads that this agent may have on their way.
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Starts a load if it may start now.
    pub fn try_start(&mut self, now: Instant) -> bool {
        if self.running >= self.limit || self.next_start.is_some_and(|at| now < at) {
            return false;
        }
        self.running += 1;
        self.next_start = Some(now + Duration::from_secs(1) / self.store.per_second.max(1));
        true
    }

    /// Whether no load may start until one has ended.
    pub const fn is_full(&self) -> bool {
        self.running >= self.limit
    }

    /// When [`LoadLimiter::try_start`] is worth another try; `None` until a load has ended.
    pub fn next_start(&self) -> Option<Instant> {
        (self.running < self.limit).then_some(self.next_start).flatten()
    }

    /// A load that this gate let through has ended.
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

/// An agent's wish to load something.
#[derives(data)]
#[derive(Eq)]
pub struct LoadRequest {
    /// Whose engine loads.
    pub target: TargetId,
    /// What.
    pub weights: Weights,
    /// 0 low, 1 normal, 2 urgent.
    pub urgency: u8,
    /// When the first who waits must be answered.
    pub deadline: Instant,
    /// Time it is expected to take.
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

/// One queue of loads for the whole deployment.
///
/// Made for a burst of first requests. All loads at once would share the store, and all would
/// become ready together at the end; in turn, the first are ready after one load's time and only
/// the last as late as before. Urgent ones go first, then those due soon, then the shortest.
#[derive(Clone, Debug)]
pub struct Coordinator {
    store: Store,
    epoch: Instant,
    waiting: BTreeMap<Rank, LoadRequest>,
    ranks: BTreeMap<LoadKey, Rank>,
    running: BTreeMap<LoadKey, Instant>,
    expiries: BTreeSet<(Instant, LoadKey)>,
    next_start: Instant,
    sequence: u64,
}

impl Coordinator {
    /// An empty queue before this store.
    pub fn new(now: Instant, store: Store) -> Self {
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

    /// Takes an agent's wish; the same one twice counts once.
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

    /// A load has ended, or is no longer wanted.
    pub fn done(&mut self, target: &TargetId, weights: &Weights) {
        let load = (target.clone(), weights.clone());
        if let Some(rank) = self.ranks.remove(&load) {
            self.waiting.remove(&rank);
        }
        if let Some(expiry) = self.running.remove(&load) {
            self.expiries.remove(&(expiry, load));
        }
    }

    /// An agent is gone, and its loads with it.
    pub fn remove_target(&mut self, target: &TargetId) {
        let of_target = |load: &&LoadKey| load.0 == *target;
        let loads = self.ranks.keys().chain(self.running.keys()).filter(of_target);
        for (target, weights) in loads.cloned().collect::<Vec<LoadKey>>() {
            self.done(&target, &weights);
        }
    }

    /// Loads that may start now.
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

    /// An agent that died in the middle of a load never says that it is done; its grant would
    /// narrow the store for all others for ever.
    fn drop_expired(&mut self, now: Instant) {
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, load)) = self.expiries.pop_first() else { return };
            self.running.remove(&load);
        }
    }

    /// When [`Coordinator::grant_due_loads`] is worth calling next.
    pub fn next_wake(&self) -> Option<Instant> {
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let has_capacity = (self.running.len() as u32) < self.store.concurrent.max(1);
        let start = (has_capacity && !self.waiting.is_empty()).then_some(self.next_start);
        start.into_iter().chain(expiry).min()
    }
}
