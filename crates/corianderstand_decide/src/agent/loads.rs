//! Scheduling of loads.

use super::{Action, Agent, MIN_RETRY_AFTER};
use crate::{
    ledger::{LedgerError, Stage},
    pacing::{LoadLimiter, LoadRequest},
    request::{Refusal, RequestSpec, SchedulingConfig, StoreLimits},
};
use corianderstand_derives::derives;
use corianderstand_schema::messages::RefusalReason;
use corianderstand_types::{units::Mib, weights::Weights};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Time to wait for a coordinator's grant of a load before the agent's own limiter applies.
pub const GRANT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that requests wait for engine memory before they are refused.
const CAPACITY_WAIT_LIMIT: Duration = Duration::from_secs(2);
/// Time beyond the expected load time for which a refused request keeps its [`LoadDemand`].
const DEMAND_TTL: Duration = Duration::from_secs(60);
/// Delay before a command of unknown outcome is retried; engines treat retries as idempotent.
const COMMAND_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A load with reserved memory whose command has not been sent.
#[derives(data)]
struct PendingLoad {
    urgency_rank: u8,
    deadline: Instant,
    load_time: Duration,
    memory: Mib,
    requested_at: Instant,
    granted: bool,
}

/// Demand for a load without queued requests: for refused callers, or for a prewarm.
#[derives(data)]
pub(super) struct LoadDemand {
    pub urgency: u8,
    pub until: Instant,
}

#[derives(data)]
struct StartedLoad {
    started_at: Instant,
    expected_load_time: Duration,
    by_limiter: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Loads {
    limiter: LoadLimiter,
    has_coordinator: bool,
    unreserved: BTreeSet<Weights>,
    demands: BTreeMap<Weights, LoadDemand>,
    pending: BTreeMap<Weights, PendingLoad>,
    started: BTreeMap<Weights, StartedLoad>,
    retries: BTreeMap<Weights, (Instant, bool)>,
    without_capacity: BTreeMap<Weights, Instant>,
    waiting: BTreeMap<Weights, u32>,
    slowdown_ratio: f64,
}

const SLOWDOWN_SMOOTHING_RATIO: f64 = 0.5;

impl Default for Loads {
    fn default() -> Self {
        Self {
            limiter: LoadLimiter::new(StoreLimits::default()),
            has_coordinator: false,
            unreserved: BTreeSet::new(),
            demands: BTreeMap::new(),
            pending: BTreeMap::new(),
            started: BTreeMap::new(),
            retries: BTreeMap::new(),
            without_capacity: BTreeMap::new(),
            waiting: BTreeMap::new(),
            slowdown_ratio: 1.0,
        }
    }
}

impl Loads {
    pub fn set_store(&mut self, store: StoreLimits) {
        self.limiter.set_store(store);
    }

    pub const fn set_coordinated(&mut self, coordinated: bool) {
        self.has_coordinator = coordinated;
    }

    pub fn begin_waiting(&mut self, weights: &Weights) {
        *self.waiting.entry(weights.clone()).or_default() += 1;
    }

    pub fn end_waiting(&mut self, weights: &Weights) {
        let Some(count) = self.waiting.get_mut(weights) else { return };
        *count -= 1;
        if *count == 0 {
            self.waiting.remove(weights);
        }
    }

    pub fn is_awaited(&self, weights: &Weights) -> bool {
        self.waiting.contains_key(weights)
    }

    pub fn remaining(&self, now: Instant, weights: &Weights, load_time: Duration) -> Duration {
        match self.started.get(weights) {
            // An overdue load is expected to take as long again.
            Some(started) => {
                let took = now.saturating_duration_since(started.started_at);
                let expected = started.expected_load_time.mul_f64(self.slowdown_ratio);
                expected.checked_sub(took).unwrap_or(took)
            }
            None => load_time.mul_f64(self.slowdown_ratio),
        }
    }

    /// When the next command is due; a time at which none is would make the event loop spin.
    pub fn next_wake(&self) -> Option<Instant> {
        let pending = self.pending.values().filter_map(|pending| self.next_start_of(pending));
        let retries = self.retries.values().map(|(at, _)| *at);
        let capacity = self.without_capacity.values().map(|since| *since + CAPACITY_WAIT_LIMIT);
        pending.chain(retries).chain(capacity).min()
    }

    fn next_start_of(&self, pending: &PendingLoad) -> Option<Instant> {
        let limiter_start = self.limiter.next_start();
        if !self.has_coordinator {
            return limiter_start;
        }
        let grant_deadline = pending.requested_at + GRANT_TIMEOUT;
        if self.limiter.is_full() {
            None
        } else {
            Some(limiter_start.map_or(grant_deadline, |at| at.max(grant_deadline)))
        }
    }

    fn observe(&mut self, took: Duration, expected: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        self.slowdown_ratio += (ratio.max(1.0) - self.slowdown_ratio) * SLOWDOWN_SMOOTHING_RATIO;
    }

    pub fn record_demand(&mut self, weights: &Weights, demand: LoadDemand) {
        self.unreserved.insert(weights.clone());
        self.demands.insert(weights.clone(), demand);
    }

    pub fn drop_expired_demand(&mut self, now: Instant) {
        self.demands.retain(|_, demand| now < demand.until);
    }

    pub fn demanded_until(&self, weights: &Weights) -> Option<Instant> {
        self.demands.get(weights).map(|demand| demand.until)
    }
}

impl Agent {
    pub(super) fn record_missing_weights(&mut self, weights: &Weights) {
        if self.ledger.find(weights).is_none_or(|entry| entry.stage == Stage::Unloading) {
            self.loads.unreserved.insert(weights.clone());
        }
    }

    /// Requests a load for a refused request; otherwise a model whose callers' deadlines are shorter
    /// than its load time would never be loaded.
    pub(super) fn record_demand(
        &mut self,
        now: Instant,
        spec: &RequestSpec,
        config: &dyn SchedulingConfig,
    ) {
        let Some(weights) = self.missing_weights(spec) else { return };
        if self.ledger.find(&weights).is_some() {
            return;
        }
        let until = now + config.load_time(&weights) + DEMAND_TTL;
        self.loads.record_demand(&weights, LoadDemand { urgency: spec.urgency, until });
    }

    /// Reserves memory for missing weights and starts the loads that may start.
    pub(super) fn schedule_loads(
        &mut self,
        now: Instant,
        config: &dyn SchedulingConfig,
        actions: &mut Vec<Action>,
    ) {
        if !self.loads.unreserved.is_empty() || !self.loads.without_capacity.is_empty() {
            self.reserve_memory(now, config, actions);
        }
        self.start_pending(now, actions);
        self.retry_commands(now, config, actions);
    }

    fn reserve_memory(
        &mut self,
        now: Instant,
        config: &dyn SchedulingConfig,
        actions: &mut Vec<Action>,
    ) {
        let first_waiting: BTreeMap<&Weights, (u8, Instant)> = self
            .queue
            .missing_weights()
            .map(|(weights, entry)| (weights, (entry.urgency_rank(), entry.deadline())))
            .collect();
        let mut ranked: Vec<(u8, Instant, Duration, Weights)> = Vec::new();
        for weights in &self.loads.unreserved {
            let waiting = first_waiting.get(weights).copied();
            let demand = self.loads.demands.get(weights).filter(|demand| now < demand.until);
            let demand = demand.map(|demand| (u8::MAX - demand.urgency, demand.until));
            if let Some((urgency_rank, deadline)) = waiting.into_iter().chain(demand).min() {
                let load_time = config.load_time(weights);
                ranked.push((urgency_rank, deadline, load_time, weights.clone()));
            }
        }
        self.loads.unreserved.retain(|weights| ranked.iter().any(|(.., kept)| kept == weights));
        self.loads.without_capacity.retain(|weights, _| self.loads.unreserved.contains(weights));
        ranked.sort();
        for (urgency_rank, deadline, load_time, weights) in ranked {
            let Some(memory) = config.memory(&weights) else {
                self.loads.unreserved.remove(&weights);
                continue;
            };
            let pending = PendingLoad {
                urgency_rank,
                deadline,
                load_time,
                memory,
                requested_at: now,
                granted: false,
            };
            self.reserve(now, &weights, pending, config, actions);
        }
    }

    fn reserve(
        &mut self,
        now: Instant,
        weights: &Weights,
        pending: PendingLoad,
        config: &dyn SchedulingConfig,
        actions: &mut Vec<Action>,
    ) {
        match self.ledger.reserve(weights, pending.memory) {
            Ok(()) => {
                self.loads.unreserved.remove(weights);
                self.loads.without_capacity.remove(weights);
                if self.loads.has_coordinator {
                    actions.push(Action::RequestLoadGrant(self.grant_request(weights, &pending)));
                }
                self.loads.pending.insert(weights.clone(), pending);
            }
            Err(LedgerError::AlreadyReserved) => {
                let stage = self.ledger.find(weights).map(|entry| entry.stage);
                if stage != Some(Stage::Unloading) {
                    self.loads.unreserved.remove(weights);
                }
            }
            Err(LedgerError::InsufficientMemory { missing }) => {
                let will_fit = self.evict(now, missing, weights, config, actions);
                self.check_capacity_wait(now, weights, will_fit, config, actions);
            }
        }
    }

    fn grant_request(&self, weights: &Weights, pending: &PendingLoad) -> LoadRequest {
        LoadRequest {
            // The sender fills in its own target.
            target: corianderstand_types::names::TargetId::default(),
            weights: weights.clone(),
            urgency: u8::MAX - pending.urgency_rank,
            deadline: pending.deadline,
            load_time: pending.load_time,
        }
    }

    /// Refuses the requests for weights that haven't fit in memory for [`CAPACITY_WAIT_LIMIT`].
    fn check_capacity_wait(
        &mut self,
        now: Instant,
        weights: &Weights,
        will_fit: bool,
        config: &dyn SchedulingConfig,
        actions: &mut Vec<Action>,
    ) {
        if will_fit {
            self.loads.without_capacity.remove(weights);
            return;
        }
        let since = *self.loads.without_capacity.entry(weights.clone()).or_insert(now);
        if now < since + CAPACITY_WAIT_LIMIT {
            return;
        }
        self.loads.without_capacity.remove(weights);
        self.loads.unreserved.remove(weights);
        self.loads.demands.remove(weights);
        let refused = self.refuse_waiting(now, weights, RefusalReason::QueueFull, config);
        actions.extend(refused);
    }

    fn start_pending(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.loads.pending.is_empty() {
            return;
        }
        let mut ranked: Vec<(u8, Instant, Duration, Weights)> = self
            .loads
            .pending
            .iter()
            .map(|(w, p)| (p.urgency_rank, p.deadline, p.load_time, w.clone()))
            .collect();
        ranked.sort();
        for (.., weights) in ranked {
            let pending = &self.loads.pending[&weights];
            let awaiting_grant =
                self.loads.has_coordinator && now < pending.requested_at + GRANT_TIMEOUT;
            let by_limiter =
                !pending.granted && !awaiting_grant && self.loads.limiter.try_start(now);
            if pending.granted || by_limiter {
                let (memory, expected_load_time) = (pending.memory, pending.load_time);
                self.loads.pending.remove(&weights);
                self.loads.started.insert(
                    weights.clone(),
                    StartedLoad { started_at: now, expected_load_time, by_limiter },
                );
                actions.push(Action::Load(weights, memory));
            }
        }
    }

    /// Handles the coordinator's grant of a load.
    pub fn on_load_granted(
        &mut self,
        now: Instant,
        weights: &Weights,
        config: &dyn SchedulingConfig,
    ) -> Vec<Action> {
        if let Some(pending) = self.loads.pending.get_mut(weights) {
            pending.granted = true;
        }
        self.step(now, config)
    }

    fn retry_commands(
        &mut self,
        now: Instant,
        config: &dyn SchedulingConfig,
        actions: &mut Vec<Action>,
    ) {
        let due = self.loads.retries.iter().filter(|(_, (at, _))| now >= *at);
        let due: Vec<(Weights, bool)> = due.map(|(w, (_, load))| (w.clone(), *load)).collect();
        for (weights, load) in due {
            self.loads.retries.remove(&weights);
            // If a query resolved the outcome meanwhile, a retry could undo a later command.
            let unknown = self.ledger.find(&weights).filter(|e| e.stage == Stage::Unknown);
            let Some(memory) = unknown.map(|entry| entry.memory) else { continue };
            // Marks the entry as changed, so that an older query response doesn't resolve it.
            let stage = if load { Stage::Loading } else { Stage::Unloading };
            self.ledger.set_stage(&weights, stage);
            if load {
                let expected_load_time = config.load_time(&weights);
                let started =
                    StartedLoad { started_at: now, expected_load_time, by_limiter: false };
                self.loads.started.insert(weights.clone(), started);
                actions.push(Action::Load(weights, memory));
            } else {
                actions.push(Action::Unload(weights, memory));
            }
        }
    }

    /// Handles the result of a load command; `None` if its outcome is unknown.
    pub fn on_load_finished(
        &mut self,
        now: Instant,
        weights: &Weights,
        outcome: Option<bool>,
        config: &dyn SchedulingConfig,
    ) -> Vec<Action> {
        if let Some(started) = self.loads.started.remove(weights) {
            let took = now.saturating_duration_since(started.started_at);
            self.loads.observe(took, started.expected_load_time);
            if started.by_limiter {
                self.loads.limiter.ended(took, started.expected_load_time, outcome == Some(true));
            }
        }
        let mut actions = Vec::new();
        match outcome {
            Some(true) => {
                self.ledger.set_stage(weights, Stage::Ready);
                for key in self.queue.waiting_for(weights) {
                    self.refresh_missing_weights(key);
                }
                self.schedule_expiry(now, weights, config);
            }
            Some(false) => {
                self.ledger.remove(weights);
                self.loads.demands.remove(weights);
                actions = self.refuse_waiting(now, weights, RefusalReason::NotLoaded, config);
            }
            None => {
                self.ledger.set_stage(weights, Stage::Unknown);
                self.loads.retries.insert(weights.clone(), (now + COMMAND_RETRY_DELAY, true));
                actions = self.refuse_waiting(now, weights, RefusalReason::NotLoaded, config);
            }
        }
        actions.extend(self.step(now, config));
        actions
    }

    /// Handles the result of an unload command.
    pub fn on_unload_finished(
        &mut self,
        now: Instant,
        weights: &Weights,
        confirmed: bool,
        config: &dyn SchedulingConfig,
    ) -> Vec<Action> {
        if confirmed {
            self.ledger.remove(weights);
            if self.loads.is_awaited(weights) {
                self.loads.unreserved.insert(weights.clone());
            }
        } else {
            self.ledger.set_stage(weights, Stage::Unknown);
            self.loads.retries.insert(weights.clone(), (now + COMMAND_RETRY_DELAY, false));
        }
        self.step(now, config)
    }

    fn refuse_waiting(
        &mut self,
        now: Instant,
        weights: &Weights,
        reason: RefusalReason,
        config: &dyn SchedulingConfig,
    ) -> Vec<Action> {
        let refusal = Refusal { reason, retry_after: MIN_RETRY_AFTER };
        let keys = self.queue.waiting_for(weights);
        keys.into_iter().map(|key| self.refuse(now, key, refusal, config)).collect()
    }
}
