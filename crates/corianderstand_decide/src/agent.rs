//! Decisions beside one target: admit, queue, refuse, load, unload.

use crate::{
    ledger::{Ledger, LedgerError, Stage},
    queue::Queue,
    work::{Need, Refusal, RequestKey, Sizes, Work},
};
use corianderstand_derives::derives;
use corianderstand_schema::messages::{Load, RefusalReason};
use corianderstand_types::{names::ModelId, units::Mib, weights::Weights};
use slotmap::SlotMap;
use std::{
    collections::BTreeSet,
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
}

/// Shortest time to come back that a refusal names.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

#[derives(data)]
struct Held {
    work: Work,
    running: bool,
}

/// The state of the decisions beside one target.
#[derive(Clone, Debug)]
pub struct Agent {
    limits: Limits,
    ledger: Ledger,
    queue: Queue,
    requests: SlotMap<RequestKey, Held>,
    running: u32,
    slots: BTreeSet<ModelId>,
    draining: bool,
    mean_run: Duration,
}

impl Agent {
    /// An idle agent whose engine has `memory`.
    pub fn new(limits: Limits, memory: Mib) -> Self {
        Self {
            limits,
            ledger: Ledger::new(memory),
            queue: Queue::default(),
            requests: SlotMap::with_key(),
            running: 0,
            slots: BTreeSet::new(),
            draining: false,
            mean_run: Duration::from_millis(100),
        }
    }

    /// The ledger, to look at.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Takes over what the engine says is loaded.
    pub fn rebuild(&mut self, loaded: impl IntoIterator<Item = (Weights, Mib, bool)>) {
        self.ledger.rebuild(loaded);
    }

    /// Models of which this target owns a slot.
    pub fn set_slots(&mut self, slots: BTreeSet<ModelId>) {
        self.slots = slots;
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
        self.step(now, sizes)
    }

    /// Models that a request held here needs.
    pub fn models_in_use(&self) -> BTreeSet<ModelId> {
        let bases = self.requests.values().filter_map(|held| held.work.weights().next());
        bases.map(|base| base.model.clone()).collect()
    }

    /// Unloads what no slot allows any more, and refuses requests that wait for it.
    ///
    /// A slot is given back only after its model is out of the engine's memory. Requests that
    /// wait for such a model can only be served elsewhere, so they are told at once.
    pub fn drop_unowned(&mut self) -> Vec<Action> {
        let slots = &self.slots;
        let unowned = |key: &RequestKey| {
            let base = self.requests.get(*key).and_then(|held| held.work.weights().next());
            base.is_some_and(|base| !slots.contains(&base.model))
        };
        let keys: Vec<RequestKey> = self.queue.iter().filter(unowned).collect();
        let idle = self.ledger.drop_idle(|model| slots.contains(model));
        let refusal = Refusal { reason: RefusalReason::NotLoaded, retry_after: MIN_RETRY_AFTER };
        let mut actions: Vec<Action> =
            keys.into_iter().map(|key| self.refuse(key, refusal)).collect();
        actions.extend(idle.into_iter().map(|(weights, memory)| Action::Unload(weights, memory)));
        actions
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
        self.requests.get(key).is_some_and(|held| held.running)
    }

    /// How busy the target is.
    pub fn load(&self) -> Load {
        let wait_ms = self.expected_wait().as_millis() as u64;
        Load { running: self.running, queued: self.queue.len() as u32, wait_ms }
    }

    /// Takes a request, or refuses it at once.
    pub fn submit(
        &mut self,
        now: Instant,
        work: Work,
        sizes: &dyn Sizes,
    ) -> (RequestKey, Vec<Action>) {
        let refusal = self.refusal(now, &work, sizes);
        let (urgency, deadline) = (work.urgency, work.deadline);
        let key = self.requests.insert(Held { work, running: false });
        if let Some(refusal) = refusal {
            self.requests.remove(key);
            return (key, vec![Action::Refuse(key, refusal)]);
        }
        self.queue.push(key, urgency, deadline);
        (key, self.step(now, sizes))
    }

    /// Made for bursts: a request that cannot be answered in time, or finds no room to wait, is
    /// refused on arrival. Admitting it would use the target for an answer nobody awaits and
    /// make those behind it late too.
    fn refusal(&self, now: Instant, work: &Work, sizes: &dyn Sizes) -> Option<Refusal> {
        let refuse = |reason, retry_after: Duration| {
            Some(Refusal { reason, retry_after: retry_after.max(MIN_RETRY_AFTER) })
        };
        if self.draining {
            return refuse(RefusalReason::Draining, MIN_RETRY_AFTER);
        }
        let wait = self.expected_wait();
        if let Need::Weights { base, .. } = &work.need {
            if !self.slots.contains(&base.model) {
                return refuse(RefusalReason::NotLoaded, MIN_RETRY_AFTER);
            }
            let load =
                if self.ledger.is_ready(base) { Duration::ZERO } else { sizes.load_time(base) };
            if now + load > work.deadline {
                return refuse(RefusalReason::Deadline, load);
            }
        }
        if self.queue.len() as u32 >= self.limits.queue {
            return refuse(RefusalReason::QueueFull, wait);
        }
        if now + wait > work.deadline {
            return refuse(RefusalReason::Deadline, wait);
        }
        None
    }

    fn expected_wait(&self) -> Duration {
        if self.running < self.limits.concurrency {
            return Duration::ZERO;
        }
        self.mean_run * (self.queue.len() as u32 + 1) / self.limits.concurrency
    }

    /// A request has ended or its caller has left.
    pub fn finished(&mut self, now: Instant, key: RequestKey, sizes: &dyn Sizes) -> Vec<Action> {
        self.queue.remove(key);
        if let Some(held) = self.requests.remove(key)
            && held.running
        {
            self.running -= 1;
            for weights in held.work.weights() {
                self.ledger.end_use(weights, now);
            }
        }
        self.step(now, sizes)
    }

    /// Folds the length of a run into the expectation of the next.
    pub fn observe_run(&mut self, took: Duration) {
        self.mean_run = (self.mean_run * 7 + took) / 8;
    }

    /// An order to load has been answered; `None` if its outcome is unknown.
    pub fn loaded(
        &mut self,
        now: Instant,
        weights: &Weights,
        outcome: Option<bool>,
        sizes: &dyn Sizes,
    ) -> Vec<Action> {
        match outcome {
            Some(true) => self.ledger.set_stage(weights, Stage::Ready),
            Some(false) => self.ledger.remove(weights),
            None => self.ledger.set_stage(weights, Stage::Unknown),
        }
        let mut actions = if outcome == Some(true) { vec![] } else { self.refuse_waiting(weights) };
        actions.extend(self.step(now, sizes));
        actions
    }

    /// An order to unload has been answered.
    pub fn unloaded(
        &mut self,
        now: Instant,
        weights: &Weights,
        confirmed: bool,
        sizes: &dyn Sizes,
    ) -> Vec<Action> {
        if confirmed {
            self.ledger.remove(weights);
        } else {
            self.ledger.set_stage(weights, Stage::Unknown);
        }
        self.step(now, sizes)
    }

    /// Those who wait for a load that failed are told at once rather than at their deadline.
    fn refuse_waiting(&mut self, weights: &Weights) -> Vec<Action> {
        let waits = |key: &RequestKey| {
            self.requests.get(*key).is_some_and(|held| held.work.weights().any(|w| w == weights))
        };
        let keys: Vec<RequestKey> = self.queue.iter().filter(waits).collect();
        let refusal = Refusal { reason: RefusalReason::NotLoaded, retry_after: MIN_RETRY_AFTER };
        keys.into_iter().map(|key| self.refuse(key, refusal)).collect()
    }

    fn refuse(&mut self, key: RequestKey, refusal: Refusal) -> Action {
        self.queue.remove(key);
        self.requests.remove(key);
        Action::Refuse(key, refusal)
    }

    /// When [`Agent::step`] must be called next, if nothing happens before.
    pub fn next_wake(&self) -> Option<Instant> {
        self.queue.next_deadline()
    }

    /// Refuses what is too late, starts what can start, orders what is missing.
    pub fn step(&mut self, now: Instant, sizes: &dyn Sizes) -> Vec<Action> {
        let late = Refusal { reason: RefusalReason::Deadline, retry_after: MIN_RETRY_AFTER };
        let expired = self.queue.take_expired(now);
        let mut actions: Vec<Action> =
            expired.into_iter().map(|key| self.refuse(key, late)).collect();
        let waiting: Vec<RequestKey> = self.queue.iter().collect();
        for key in waiting {
            self.step_request(now, key, sizes, &mut actions);
        }
        actions
    }

    fn step_request(
        &mut self,
        now: Instant,
        key: RequestKey,
        sizes: &dyn Sizes,
        actions: &mut Vec<Action>,
    ) {
        let weights: Vec<Weights> = self.requests[key].work.weights().cloned().collect();
        let missing: Vec<&Weights> =
            weights.iter().filter(|weights| !self.ledger.is_ready(weights)).collect();
        if missing.is_empty() {
            if self.running < self.limits.concurrency {
                self.run(now, key, &weights);
                actions.push(Action::Run(key));
            }
            return;
        }
        // The model first: an engine takes an adapter only for a model that it holds.
        self.wake(missing[0], &weights[0], sizes, actions);
    }

    fn run(&mut self, now: Instant, key: RequestKey, weights: &[Weights]) {
        self.queue.remove(key);
        self.running += 1;
        self.requests[key].running = true;
        for weights in weights {
            self.ledger.begin_use(weights, now);
        }
    }

    /// Orders a load if it fits, else makes room for it.
    fn wake(
        &mut self,
        weights: &Weights,
        keep: &Weights,
        sizes: &dyn Sizes,
        actions: &mut Vec<Action>,
    ) {
        let Some(memory) = sizes.memory(weights) else { return };
        match self.ledger.reserve(weights, memory) {
            Ok(()) => actions.push(Action::Load(weights.clone(), memory)),
            Err(LedgerError::Reserved) => {}
            Err(LedgerError::NoRoom { missing }) => self.evict(missing, keep, actions),
        }
    }

    /// Unloads the least recently used that nobody uses, until enough will be free.
    fn evict(&mut self, missing: Mib, keep: &Weights, actions: &mut Vec<Action>) {
        let unloading = self.ledger.entries().filter(|(_, entry)| entry.stage == Stage::Unloading);
        let mut coming: u64 = unloading.map(|(_, entry)| entry.memory.0).sum();
        let mut idle: Vec<(Weights, Mib, Option<Instant>)> = self
            .ledger
            .entries()
            .filter(|(w, e)| e.stage == Stage::Ready && e.users == 0 && w.model != keep.model)
            .map(|(w, e)| (w.clone(), e.memory, e.last_used))
            .collect();
        idle.sort_by_key(|(_, _, last_used)| *last_used);
        for (weights, memory, _) in idle {
            if coming >= missing.0 {
                break;
            }
            coming += memory.0;
            self.ledger.set_stage(&weights, Stage::Unloading);
            actions.push(Action::Unload(weights, memory));
        }
    }
}

impl Work {
    /// What must be loaded before it can run.
    pub fn weights(&self) -> impl Iterator<Item = &Weights> {
        let (base, adapter) = match &self.need {
            Need::Weights { base, adapter } => (Some(base), adapter.as_ref()),
            Need::Service(_) => (None, None),
        };
        base.into_iter().chain(adapter)
    }
}
