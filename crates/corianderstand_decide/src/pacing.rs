//! Pacing of loads for the weight store's rate and concurrency.
//!
//! [`Coordinator`] is one queue for the whole deployment, held by one process; [`Gate`] is what
//! each agent falls back to when nobody coordinates. Neither needs the log.

#[cfg(test)]
mod tests;

use crate::request::StoreLimits;
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
const CROWDED_PERCENT: u32 = 150;
/// Deadlines within this time count as alike, so that among them the shortest load goes first.
const DEADLINE_STEP: Duration = Duration::from_secs(10);
/// A grant is taken back after this many times the expected time of its load, as its agent may
/// have died. Sooner, a store four times slower than stated would get more loads than it bears.
const GRANT_EXPIRY: u32 = 6;

/// One agent's own pace, when nobody coordinates.
///
/// Made for the time without a coordinator. A fixed part of the store's rate for each engine
/// would be safe, but a burst that meets few engines would crawl while the store stands idle.
/// So each starts with half of what the store bears, adds one after each load that was as quick
/// as stated, and halves after one that was slow: together they settle near what it bears.
#[derives(data)]
pub struct Gate {
    store: StoreLimits,
    limit: u32,
    running: u32,
    next_start: Option<Instant>,
}

impl Gate {
    /// A gate before this store.
    pub fn new(store: StoreLimits) -> Self {
        Self { store, limit: (store.concurrent / 2).max(1), running: 0, next_start: None }
    }

    /// Notes what the settings say of the store now.
    pub fn set_store(&mut self, store: StoreLimits) {
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

    /// When [`Gate::try_start`] is worth another try; `None` until a load has ended.
    pub fn next_start(&self) -> Option<Instant> {
        (self.running < self.limit).then_some(self.next_start).flatten()
    }

    /// A load that this gate let through has ended.
    pub fn ended(&mut self, took: Duration, expected: Duration, succeeded: bool) {
        self.running = self.running.saturating_sub(1);
        let crowded = took > expected * CROWDED_PERCENT / 100;
        self.limit = if crowded || !succeeded {
            (self.limit / 2).max(1)
        } else {
            (self.limit + 1).min(self.store.concurrent.max(1))
        };
    }
}

/// An agent's wish to load something.
#[derives(data)]
#[derive(Eq)]
pub struct Ask {
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

type Load = (TargetId, Weights);

#[derives(name)]
struct Rank {
    less_urgent: u8,
    due: u64,
    load_time: Duration,
    number: u64,
}

/// One queue of loads for the whole deployment.
///
/// Made for a burst of first requests. All loads at once would share the store, and all would
/// become ready together at the end; in turn, the first are ready after one load's time and only
/// the last as late as before. Urgent ones go first, then those due soon, then the shortest.
#[derive(Clone, Debug)]
pub struct Coordinator {
    store: StoreLimits,
    epoch: Instant,
    waiting: BTreeMap<Rank, Ask>,
    ranks: BTreeMap<Load, Rank>,
    running: BTreeMap<Load, Instant>,
    expiries: BTreeSet<(Instant, Load)>,
    next_start: Instant,
    number: u64,
}

impl Coordinator {
    /// An empty queue before this store.
    pub fn new(now: Instant, store: StoreLimits) -> Self {
        Self {
            store,
            epoch: now,
            waiting: BTreeMap::new(),
            ranks: BTreeMap::new(),
            running: BTreeMap::new(),
            expiries: BTreeSet::new(),
            next_start: now,
            number: 0,
        }
    }

    /// Takes an agent's wish; the same one twice counts once.
    pub fn ask(&mut self, ask: Ask) {
        let load = (ask.target.clone(), ask.weights.clone());
        if self.ranks.contains_key(&load) || self.running.contains_key(&load) {
            return;
        }
        self.number += 1;
        let due = ask.deadline.saturating_duration_since(self.epoch);
        let rank = Rank {
            less_urgent: u8::MAX - ask.urgency,
            due: due.as_secs() / DEADLINE_STEP.as_secs(),
            load_time: ask.load_time,
            number: self.number,
        };
        self.ranks.insert(load, rank.clone());
        self.waiting.insert(rank, ask);
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
    pub fn gone(&mut self, target: &TargetId) {
        let of_target = |load: &&Load| load.0 == *target;
        let loads = self.ranks.keys().chain(self.running.keys()).filter(of_target);
        for (target, weights) in loads.cloned().collect::<Vec<Load>>() {
            self.done(&target, &weights);
        }
    }

    /// Loads that may start now.
    pub fn step(&mut self, now: Instant) -> Vec<Ask> {
        self.drop_expired(now);
        let mut granted = Vec::new();
        while (self.running.len() as u32) < self.store.concurrent.max(1) && now >= self.next_start {
            let Some((_, ask)) = self.waiting.pop_first() else { break };
            let load = (ask.target.clone(), ask.weights.clone());
            self.ranks.remove(&load);
            let expiry = now + ask.load_time * GRANT_EXPIRY;
            self.running.insert(load.clone(), expiry);
            self.expiries.insert((expiry, load));
            self.next_start = now + Duration::from_secs(1) / self.store.per_second.max(1);
            granted.push(ask);
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

    /// When [`Coordinator::step`] is worth calling next.
    pub fn next_wake(&self) -> Option<Instant> {
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let room = (self.running.len() as u32) < self.store.concurrent.max(1);
        let start = (room && !self.waiting.is_empty()).then_some(self.next_start);
        start.into_iter().chain(expiry).min()
    }
}
