//! Admission, queueing, loading and eviction for one target.
//!
//! [`Agent`] is a state machine that takes events and the current time and returns [`Action`]s.

mod admit;
mod evict;
mod keep_alive;
mod loads;
#[cfg(test)]
mod tests;

use crate::{
    history::CallHistories,
    ledger::Ledger,
    pacing::LoadRequest,
    queue::{Length, Queue, QueueDiscipline, QueuedRequest},
    request::{Refusal, RequestKey, RequestSpec, Requirement, SchedulingConfig},
};
use corianderstand_derives::derives;
use corianderstand_schema::messages::{Load, RefusalReason};
use corianderstand_types::{
    names::{ModelId, WorkspaceId},
    units::Mib,
    weights::Weights,
};
use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Capacity limits of one agent.
#[derives(data)]
#[derive(Copy)]
pub struct Limits {
    /// Maximum number of running requests: the batch size of the target.
    pub concurrency: u32,
    /// Maximum number of queued requests.
    pub queue: u32,
}

/// How long an idle model stays loaded.
#[derives(key)]
#[derive(Default)]
pub enum KeepAlive {
    /// Derived from the model's call history and cold-start cost.
    #[default]
    Adaptive,
    /// A fixed time after the last call; a baseline for benchmarks.
    Fixed(Duration),
}

/// Which weights are evicted when memory is needed.
#[derives(key)]
#[derive(Default)]
pub enum Eviction {
    /// Those with the lowest utility.
    #[default]
    LowestUtility,
    /// The least recently used; a baseline for benchmarks.
    LeastRecentlyUsed,
}

/// The decision policies of an agent; [`Policy::default`] is the one for production.
#[derives(key)]
#[derive(Default)]
pub struct Policy {
    /// How long idle models stay loaded.
    pub keep_alive: KeepAlive,
    /// Which weights are evicted.
    pub eviction: Eviction,
    /// The order in which requests are dequeued.
    pub discipline: QueueDiscipline,
}

/// An effect that the caller of [`Agent`] must execute.
#[derives(data)]
#[derive(Eq)]
pub enum Action {
    /// Start a request.
    Run(RequestKey),
    /// Send a refusal to the request's router.
    Refuse(RequestKey, Refusal),
    /// Send the engine a load command.
    Load(Weights, Mib),
    /// Send the engine an unload command.
    Unload(Weights, Mib),
    /// Request a grant for a load from the coordinator.
    RequestLoadGrant(LoadRequest),
}

/// Minimum retry delay that a refusal recommends.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Interval between scans for queued requests that can't meet their deadline any more.
const SHED_SCAN_INTERVAL: Duration = Duration::from_millis(250);

#[derives(data)]
struct HeldRequest {
    spec: RequestSpec,
    started_at: Option<Instant>,
}

/// The decision state of one target.
#[derive(Clone, Debug)]
pub struct Agent {
    limits: Limits,
    policy: Policy,
    ledger: Ledger,
    queue: Queue,
    requests: SlotMap<RequestKey, HeldRequest>,
    model_users: BTreeMap<ModelId, u32>,
    replica_slots: BTreeSet<ModelId>,
    draining: bool,
    run_times: [admit::RunTimeEstimate; 2],
    retry_schedule: admit::RetrySchedule,
    loads: loads::Loads,
    keep_alive: keep_alive::KeepAliveState,
    next_shed_scan_at: Option<Instant>,
}

impl Agent {
    /// Creates an idle agent for an engine with `memory`.
    pub fn new(limits: Limits, memory: Mib) -> Self {
        Self::with_policy(limits, memory, Policy::default())
    }

    /// Creates an idle agent with a given policy.
    pub fn with_policy(limits: Limits, memory: Mib, policy: Policy) -> Self {
        Self {
            limits,
            policy,
            ledger: Ledger::new(memory),
            queue: Queue::new(limits.concurrency, policy.discipline),
            requests: SlotMap::with_key(),
            model_users: BTreeMap::new(),
            replica_slots: BTreeSet::new(),
            draining: false,
            run_times: admit::RunTimeEstimate::initial(),
            retry_schedule: admit::RetrySchedule::default(),
            loads: loads::Loads::default(),
            keep_alive: keep_alive::KeepAliveState::default(),
            next_shed_scan_at: None,
        }
    }

    /// The memory ledger of the engine.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Number of running requests of a team.
    pub fn running_of(&self, team: &WorkspaceId) -> u32 {
        self.queue.running_of(team)
    }

    /// Number of queued requests of a team whose weights are loaded.
    pub fn ready_of(&self, team: &WorkspaceId) -> usize {
        self.queue.ready_of(team)
    }

    /// Rebuilds the ledger from what the engine reports as loaded.
    pub fn rebuild(&mut self, loaded: impl IntoIterator<Item = (Weights, Mib, bool)>) {
        self.ledger.rebuild(loaded);
        self.keep_alive.request_rescan();
        let keys: Vec<RequestKey> = self.requests.keys().collect();
        for key in keys {
            self.refresh_missing_weights(key);
        }
    }

    /// Sets the models for which this target owns a replica slot.
    pub fn set_replica_slots(&mut self, replica_slots: BTreeSet<ModelId>) {
        self.replica_slots = replica_slots;
        self.keep_alive.request_rescan();
    }

    /// Sets the wall-clock time at `now`, in seconds since the Unix epoch.
    pub fn set_unix_time(&mut self, now: Instant, unix_s: u64) {
        self.keep_alive.set_unix_time(now, unix_s);
    }

    /// Sets whether a coordinator limits loads; otherwise this agent limits its own.
    pub fn set_coordinated(&mut self, coordinated: bool) {
        self.loads.set_coordinated(coordinated);
    }

    /// Call histories by model, for replication to a peer.
    pub const fn histories(&self) -> &CallHistories {
        self.keep_alive.histories()
    }

    /// Merges the call histories that a peer kept.
    pub fn merge_histories(&mut self, histories: CallHistories) {
        self.keep_alive.merge(histories);
    }

    /// Reconciles the ledger with the engine's response to a query sent at a ledger version.
    pub fn reconcile(
        &mut self,
        now: Instant,
        version: u64,
        loaded: &[(Weights, Mib, bool)],
        config: &dyn SchedulingConfig,
    ) -> Vec<Action> {
        self.ledger.reconcile(now, version, loaded);
        if self.ledger.version() != version {
            self.keep_alive.request_rescan();
            let keys: Vec<RequestKey> = self.requests.keys().collect();
            for key in keys {
                self.refresh_missing_weights(key);
            }
        }
        self.step(now, config)
    }

    /// Models of queued or running requests.
    pub fn models_in_use(&self) -> BTreeSet<ModelId> {
        self.model_users.keys().cloned().collect()
    }

    /// Sets whether new requests are refused.
    pub const fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Whether no request is queued or running.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether a request is running.
    pub fn is_running(&self, key: RequestKey) -> bool {
        self.requests.get(key).is_some_and(|held| held.started_at.is_some())
    }

    /// The current load of the target.
    pub fn load(&self) -> Load {
        let wait_ms = self.typical_queue_wait().as_millis() as u64;
        Load { running: self.queue.running(), queued: self.queue.len() as u32, wait_ms }
    }

    /// Queues a request, or refuses it immediately.
    pub fn submit(
        &mut self,
        now: Instant,
        spec: RequestSpec,
        config: &dyn SchedulingConfig,
    ) -> (RequestKey, Vec<Action>) {
        self.queue.set_total_shares(config.total_shares());
        self.loads.set_store(config.store());
        let waiting = self.queued_request(&spec);
        let refusal = self.refusal(now, &spec, &waiting, config);
        if let Requirement::Weights { base, .. } = &spec.requirement
            && self.replica_slots.contains(&base.model)
        {
            self.keep_alive.record_call(now, base);
        }
        let share = config.share(&spec.team);
        if let Some(refusal) = refusal {
            if refusal.reason == RefusalReason::Deadline {
                self.record_demand(now, &spec, config);
            }
            let key = self.requests.insert(HeldRequest { spec, started_at: None });
            self.requests.remove(key);
            let mut actions = vec![Action::Refuse(key, refusal)];
            actions.extend(self.step(now, config));
            return (key, actions);
        }
        for weights in spec.weights() {
            self.loads.begin_waiting(weights);
        }
        if let Some(base) = spec.weights().next() {
            *self.model_users.entry(base.model.clone()).or_default() += 1;
        }
        if let Some(missing) = &waiting.missing_weights {
            self.record_missing_weights(missing);
        }
        let key = self.requests.insert(HeldRequest { spec, started_at: None });
        self.queue.push(key, share, waiting);
        self.next_shed_scan_at.get_or_insert(now + SHED_SCAN_INTERVAL);
        (key, self.step(now, config))
    }

    fn queued_request(&self, spec: &RequestSpec) -> QueuedRequest {
        QueuedRequest {
            team: spec.team.clone(),
            length: spec.shape.length,
            urgency: spec.urgency,
            deadline: spec.deadline,
            missing_weights: self.missing_weights(spec),
        }
    }

    /// The first weights of a request that are not loaded; the base model precedes its adapter.
    fn missing_weights(&self, spec: &RequestSpec) -> Option<Weights> {
        spec.weights().find(|weights| !self.is_ready(weights)).cloned()
    }

    fn is_ready(&self, weights: &Weights) -> bool {
        self.ledger.is_ready(weights)
    }

    fn refresh_missing_weights(&mut self, key: RequestKey) {
        let Some(held) = self.requests.get(key) else { return };
        if held.started_at.is_some() {
            return;
        }
        let missing = self.missing_weights(&held.spec);
        if let Some(weights) = &missing {
            self.record_missing_weights(weights);
        }
        self.queue.set_missing_weights(key, missing);
    }

    /// Handles the end or the cancellation of a request.
    pub fn on_request_finished(
        &mut self,
        now: Instant,
        key: RequestKey,
        config: &dyn SchedulingConfig,
    ) -> Vec<Action> {
        self.release(now, key, config);
        self.step(now, config)
    }

    fn release(&mut self, now: Instant, key: RequestKey, config: &dyn SchedulingConfig) {
        let Some(held) = self.requests.remove(key) else { return };
        if self.queue.remove(key).is_some() {
            for weights in held.spec.weights() {
                self.loads.end_waiting(weights);
            }
        }
        if let Some(started_at) = held.started_at {
            let length = held.spec.shape.length;
            self.queue.ended(&held.spec.team, length);
            self.run_times[length as usize].observe(now.saturating_duration_since(started_at));
            for weights in held.spec.weights() {
                self.ledger.end_use(weights, now);
            }
        }
        if let Requirement::Weights { base, .. } = &held.spec.requirement {
            self.release_model(&base.model);
            self.schedule_expiry(now, base, config);
        }
    }

    fn release_model(&mut self, model: &ModelId) {
        let Some(count) = self.model_users.get_mut(model) else { return };
        *count -= 1;
        if *count == 0 {
            self.model_users.remove(model);
        }
    }

    fn refuse(
        &mut self,
        now: Instant,
        key: RequestKey,
        refusal: Refusal,
        config: &dyn SchedulingConfig,
    ) -> Action {
        self.release(now, key, config);
        Action::Refuse(key, refusal)
    }

    /// When [`Agent::step`] must be called next, if no event arrives before.
    pub fn next_wake(&self) -> Option<Instant> {
        let shed = self.next_shed_scan_at.filter(|_| !self.queue.is_empty());
        let wake_times =
            [self.queue.next_deadline(), shed, self.keep_alive.next_wake(), self.loads.next_wake()];
        wake_times.into_iter().flatten().min()
    }

    /// Refuses expired requests, unloads idle weights, schedules loads and starts ready requests.
    pub fn step(&mut self, now: Instant, config: &dyn SchedulingConfig) -> Vec<Action> {
        let mut actions = Vec::new();
        self.refuse_expired(now, config, &mut actions);
        self.unload_expired(now, config, &mut actions);
        self.schedule_loads(now, config, &mut actions);
        while let Some(key) = self.queue.pop() {
            self.run(now, key);
            if self.cannot_finish(now, key) {
                actions.push(self.refuse_dequeued(now, key, config));
            } else {
                actions.push(Action::Run(key));
            }
        }
        actions
    }

    /// Whether even a fast run would miss the request's deadline.
    fn cannot_finish(&self, now: Instant, key: RequestKey) -> bool {
        let spec = &self.requests[key].spec;
        let lower_bound = self.run_times[spec.shape.length as usize].lower_bound();
        self.policy.discipline == QueueDiscipline::Fair && now + lower_bound > spec.deadline
    }

    fn refuse_dequeued(
        &mut self,
        now: Instant,
        key: RequestKey,
        config: &dyn SchedulingConfig,
    ) -> Action {
        let length = self.requests[key].spec.shape.length;
        let retry_after = self.schedule_retry(now, MIN_RETRY_AFTER, length);
        self.requests[key].started_at = None;
        let team = self.requests[key].spec.team.clone();
        self.queue.ended(&team, length);
        for weights in self.requests[key].spec.clone().weights() {
            self.ledger.end_use(weights, now);
        }
        self.refuse(now, key, Refusal { reason: RefusalReason::Deadline, retry_after }, config)
    }

    fn run(&mut self, now: Instant, key: RequestKey) {
        self.requests[key].started_at = Some(now);
        let spec = self.requests[key].spec.clone();
        for weights in spec.weights() {
            self.loads.end_waiting(weights);
            self.ledger.begin_use(weights, now);
        }
    }

    fn refuse_expired(
        &mut self,
        now: Instant,
        config: &dyn SchedulingConfig,
        actions: &mut Vec<Action>,
    ) {
        let mut late = self.queue.expired(now);
        if self.next_shed_scan_at.is_some_and(|at| now >= at) {
            late.extend(
                self.queue.infeasible(now, self.run_times.map(admit::RunTimeEstimate::mean)),
            );
            self.next_shed_scan_at = Some(now + SHED_SCAN_INTERVAL);
        }
        for key in late {
            if !self.requests.contains_key(key) {
                continue;
            }
            let retry_after = self.schedule_retry(now, MIN_RETRY_AFTER, Length::Short);
            let refusal = Refusal { reason: RefusalReason::Deadline, retry_after };
            actions.push(self.refuse(now, key, refusal, config));
        }
        if self.queue.is_empty() {
            self.next_shed_scan_at = None;
        }
    }

    fn is_in_use(&self, model: &ModelId) -> bool {
        self.model_users.contains_key(model)
    }
}
