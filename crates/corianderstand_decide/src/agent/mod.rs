//! Decisions beside one target: admit, queue, refuse, load, keep, unload.
//!
//! [`Agent`] takes events and the time and returns [`Action`]s. `admit` decides whether a request
//! can be answered in time, `loads` what is loaded, `evict` what makes room for it, `keep` how long a
//! model that nobody calls stays loaded.

mod admit;
mod evict;
mod keep;
mod loads;
#[cfg(test)]
mod tests;

use crate::{
    history::Histories,
    ledger::Ledger,
    pacing::LoadRequest,
    queue::{Length, Queue, QueueDiscipline, QueuedRequest},
    work::{Need, Refusal, RequestKey, Sizes, Work},
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

/// Limits of one agent.
#[derives(data)]
#[derive(Copy)]
pub struct Limits {
    /// Requests that run at once: what the target can batch. More would slow all of them.
    pub concurrency: u32,
    /// Requests that wait: beyond it a queue only turns refusals into late refusals.
    pub queue: u32,
}

/// How long a model that nobody calls is kept.
#[derives(key)]
#[derive(Default)]
pub enum Keep {
    /// By its own history and what a cold start costs.
    #[default]
    Learned,
    /// A fixed time after the last call: the baseline of the measurements.
    Fixed(Duration),
}

/// What is unloaded to make room.
#[derives(key)]
#[derive(Default)]
pub enum Eviction {
    /// What is least worth keeping.
    #[default]
    LeastWorth,
    /// The least recently used: the baseline of the measurements.
    LeastRecent,
}

/// Which of the ways to decide are used; [`Policy::default`] is the one to run.
#[derives(key)]
#[derive(Default)]
pub struct Policy {
    /// How long idle models are kept.
    pub keep: Keep,
    /// What makes room.
    pub eviction: Eviction,
    /// Who goes next.
    pub order: QueueDiscipline,
}

/// What is to be done.
#[derives(data)]
#[derive(Eq)]
pub enum Action {
    /// Run a request.
    Run(RequestKey),
    /// Tell a request's router that it is not run.
    Refuse(RequestKey, Refusal),
    /// Order the engine to load.
    Load(Weights, Mib),
    /// Order the engine to unload.
    Unload(Weights, Mib),
    /// Ask whoever paces loads in the deployment for a grant.
    AskLoad(LoadRequest),
}

/// Shortest time to come back that a refusal names.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Time between two looks at all that wait for those that have become hopeless. Each look costs
/// time in proportion to the queue; a caller learns a quarter of a second late at most.
const SHED_INTERVAL: Duration = Duration::from_millis(250);

#[derives(data)]
struct Held {
    work: Work,
    since: Option<Instant>,
}

/// The state of the decisions beside one target.
#[derive(Clone, Debug)]
pub struct Agent {
    limits: Limits,
    policy: Policy,
    ledger: Ledger,
    queue: Queue,
    requests: SlotMap<RequestKey, Held>,
    users: BTreeMap<ModelId, u32>,
    slots: BTreeSet<ModelId>,
    draining: bool,
    runs: [admit::MeanRun; 2],
    returns: admit::Returns,
    loads: loads::Loads,
    keep: keep::Keeping,
    next_shed: Option<Instant>,
}

impl Agent {
    /// An idle agent whose engine has `memory`.
    pub fn new(limits: Limits, memory: Mib) -> Self {
        Self::with_policy(limits, memory, Policy::default())
    }

    /// An idle agent that decides in one of the ways compared in the measurements.
    pub fn with_policy(limits: Limits, memory: Mib, policy: Policy) -> Self {
        Self {
            limits,
            policy,
            ledger: Ledger::new(memory),
            queue: Queue::new(limits.concurrency, policy.order),
            requests: SlotMap::with_key(),
            users: BTreeMap::new(),
            slots: BTreeSet::new(),
            draining: false,
            runs: admit::MeanRun::both(),
            returns: admit::Returns::default(),
            loads: loads::Loads::default(),
            keep: keep::Keeping::default(),
            next_shed: None,
        }
    }

    /// The ledger, to look at.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Requests of a team that run here.
    pub fn running_of(&self, team: &WorkspaceId) -> u32 {
        self.queue.running_of(team)
    }

    /// Requests of a team that wait here for room only.
    pub fn ready_of(&self, team: &WorkspaceId) -> usize {
        self.queue.ready_of(team)
    }

    /// Takes over what the engine says is loaded.
    pub fn rebuild(&mut self, loaded: impl IntoIterator<Item = (Weights, Mib, bool)>) {
        self.ledger.rebuild(loaded);
        self.keep.look_at_all();
        let keys: Vec<RequestKey> = self.requests.keys().collect();
        for key in keys {
            self.refresh_missing(key);
        }
    }

    /// Models of which this target owns a slot.
    pub fn set_slots(&mut self, slots: BTreeSet<ModelId>) {
        self.slots = slots;
        self.keep.look_at_all();
    }

    /// Tells the time of day: `wall` is in seconds since the Unix epoch.
    pub fn set_wall(&mut self, now: Instant, wall: u64) {
        self.keep.set_wall(now, wall);
    }

    /// Whether a coordinator paces loads; without one this agent falls back to its own pace.
    pub fn set_coordinated(&mut self, coordinated: bool) {
        self.loads.set_coordinated(coordinated);
    }

    /// What is known of the calls of each model, for a peer to keep.
    pub const fn histories(&self) -> &Histories {
        self.keep.histories()
    }

    /// Takes over what a peer kept.
    pub fn merge_histories(&mut self, histories: Histories) {
        self.keep.merge(histories);
    }

    /// Settles orders of unknown outcome by what the engine says, asked as of a version of the
    /// ledger.
    pub fn reconcile(
        &mut self,
        now: Instant,
        version: u64,
        loaded: &[(Weights, Mib, bool)],
        sizes: &dyn Sizes,
    ) -> Vec<Action> {
        self.ledger.reconcile(now, version, loaded);
        if self.ledger.version() != version {
            self.keep.look_at_all();
            let keys: Vec<RequestKey> = self.requests.keys().collect();
            for key in keys {
                self.refresh_missing(key);
            }
        }
        self.step(now, sizes)
    }

    /// Models that a request held here needs.
    pub fn models_in_use(&self) -> BTreeSet<ModelId> {
        self.users.keys().cloned().collect()
    }

    /// Sets whether new work is refused.
    pub const fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether a request runs.
    pub fn is_running(&self, key: RequestKey) -> bool {
        self.requests.get(key).is_some_and(|held| held.since.is_some())
    }

    /// How busy the target is.
    pub fn load(&self) -> Load {
        let wait_ms = self.typical_wait().as_millis() as u64;
        Load { running: self.queue.running(), queued: self.queue.len() as u32, wait_ms }
    }

    /// Takes a request, or refuses it at once.
    pub fn submit(
        &mut self,
        now: Instant,
        work: Work,
        sizes: &dyn Sizes,
    ) -> (RequestKey, Vec<Action>) {
        self.queue.set_total_shares(sizes.total_shares());
        self.loads.set_store(sizes.store());
        let waiting = self.waiting(&work);
        let refusal = self.refusal(now, &work, &waiting, sizes);
        if let Need::Weights { base, .. } = &work.need
            && self.slots.contains(&base.model)
        {
            self.keep.called(now, base);
        }
        let share = sizes.share(&work.team);
        if let Some(refusal) = refusal {
            if refusal.reason == RefusalReason::Deadline {
                self.want(now, &work, sizes);
            }
            let key = self.requests.insert(Held { work, since: None });
            self.requests.remove(key);
            let mut actions = vec![Action::Refuse(key, refusal)];
            actions.extend(self.step(now, sizes));
            return (key, actions);
        }
        for weights in work.weights() {
            self.loads.begin_waiting(weights);
        }
        if let Some(base) = work.weights().next() {
            *self.users.entry(base.model.clone()).or_default() += 1;
        }
        if let Some(missing) = &waiting.missing {
            self.note_missing(missing);
        }
        let key = self.requests.insert(Held { work, since: None });
        self.queue.push(key, share, waiting);
        self.next_shed.get_or_insert(now + SHED_INTERVAL);
        (key, self.step(now, sizes))
    }

    fn waiting(&self, work: &Work) -> QueuedRequest {
        QueuedRequest {
            team: work.team.clone(),
            length: work.shape.length,
            urgency: work.urgency,
            deadline: work.deadline,
            missing: self.missing(work),
        }
    }

    /// The first of what a request needs that is not loaded: the model itself before its
    /// adapter, as an engine takes an adapter only for a model that it holds.
    fn missing(&self, work: &Work) -> Option<Weights> {
        work.weights().find(|weights| !self.is_usable(weights)).cloned()
    }

    fn is_usable(&self, weights: &Weights) -> bool {
        self.ledger.is_ready(weights)
    }

    fn refresh_missing(&mut self, key: RequestKey) {
        let Some(held) = self.requests.get(key) else { return };
        if held.since.is_some() {
            return;
        }
        let missing = self.missing(&held.work);
        if let Some(weights) = &missing {
            self.note_missing(weights);
        }
        self.queue.set_missing(key, missing);
    }

    /// A request has ended or its caller has left.
    pub fn finished(&mut self, now: Instant, key: RequestKey, sizes: &dyn Sizes) -> Vec<Action> {
        self.release(now, key, sizes);
        self.step(now, sizes)
    }

    fn release(&mut self, now: Instant, key: RequestKey, sizes: &dyn Sizes) {
        let Some(held) = self.requests.remove(key) else { return };
        if self.queue.remove(key).is_some() {
            for weights in held.work.weights() {
                self.loads.end_waiting(weights);
            }
        }
        if let Some(since) = held.since {
            let length = held.work.shape.length;
            self.queue.ended(&held.work.team, length);
            self.runs[length as usize].observe(now.saturating_duration_since(since));
            for weights in held.work.weights() {
                self.ledger.end_use(weights, now);
            }
        }
        if let Need::Weights { base, .. } = &held.work.need {
            self.end_user(&base.model);
            self.note_idle(now, base, sizes);
        }
    }

    fn end_user(&mut self, model: &ModelId) {
        let Some(count) = self.users.get_mut(model) else { return };
        *count -= 1;
        if *count == 0 {
            self.users.remove(model);
        }
    }

    fn refuse(
        &mut self,
        now: Instant,
        key: RequestKey,
        refusal: Refusal,
        sizes: &dyn Sizes,
    ) -> Action {
        self.release(now, key, sizes);
        Action::Refuse(key, refusal)
    }

    /// When [`Agent::step`] must be called next, if nothing happens before.
    pub fn next_wake(&self) -> Option<Instant> {
        let shed = self.next_shed.filter(|_| !self.queue.is_empty());
        let wakes =
            [self.queue.next_deadline(), shed, self.keep.next_wake(), self.loads.next_wake()];
        wakes.into_iter().flatten().min()
    }

    /// Refuses what is too late, starts what can start, orders what is missing.
    pub fn step(&mut self, now: Instant, sizes: &dyn Sizes) -> Vec<Action> {
        let mut actions = Vec::new();
        self.give_up_late(now, sizes, &mut actions);
        self.drop_idle(now, sizes, &mut actions);
        self.order_loads(now, sizes, &mut actions);
        while let Some(key) = self.queue.pop() {
            self.run(now, key);
            if self.is_too_late(now, key) {
                actions.push(self.refuse_late(now, key, sizes));
            } else {
                actions.push(Action::Run(key));
            }
        }
        actions
    }

    /// Made for saturation: whoever waited until too little time was left even for a short run
    /// is told now. Run all the same, it would be cut at its deadline, and its room is lost to
    /// another that could still be answered.
    fn is_too_late(&self, now: Instant, key: RequestKey) -> bool {
        let work = &self.requests[key].work;
        let least = self.runs[work.shape.length as usize].least();
        self.policy.order == QueueDiscipline::Fair && now + least > work.deadline
    }

    fn refuse_late(&mut self, now: Instant, key: RequestKey, sizes: &dyn Sizes) -> Action {
        let length = self.requests[key].work.shape.length;
        let retry_after = self.book_return(now, MIN_RETRY_AFTER, length);
        self.requests[key].since = None;
        let team = self.requests[key].work.team.clone();
        self.queue.ended(&team, length);
        for weights in self.requests[key].work.clone().weights() {
            self.ledger.end_use(weights, now);
        }
        self.refuse(now, key, Refusal { reason: RefusalReason::Deadline, retry_after }, sizes)
    }

    fn run(&mut self, now: Instant, key: RequestKey) {
        self.requests[key].since = Some(now);
        let work = self.requests[key].work.clone();
        for weights in work.weights() {
            self.loads.end_waiting(weights);
            self.ledger.begin_use(weights, now);
        }
    }

    fn give_up_late(&mut self, now: Instant, sizes: &dyn Sizes, actions: &mut Vec<Action>) {
        let mut late = self.queue.expired(now);
        if self.next_shed.is_some_and(|at| now >= at) {
            late.extend(self.queue.infeasible(now, self.runs.map(admit::MeanRun::mean)));
            self.next_shed = Some(now + SHED_INTERVAL);
        }
        for key in late {
            if !self.requests.contains_key(key) {
                continue;
            }
            let retry_after = self.book_return(now, MIN_RETRY_AFTER, Length::Short);
            let refusal = Refusal { reason: RefusalReason::Deadline, retry_after };
            actions.push(self.refuse(now, key, refusal, sizes));
        }
        if self.queue.is_empty() {
            self.next_shed = None;
        }
    }

    /// Whether any request waits for a model or runs on it.
    fn is_in_use(&self, model: &ModelId) -> bool {
        self.users.contains_key(model)
    }
}
