//! What is loaded, in which order, and what makes room for it.

use super::{Action, Agent, MIN_RETRY_AFTER};
use crate::{
    ledger::{LedgerError, Stage},
    pacing::{LoadLimiter, LoadRequest},
    work::{Refusal, Sizes, Store, Work},
};
use corianderstand_derives::derives;
use corianderstand_schema::messages::RefusalReason;
use corianderstand_types::{units::Mib, weights::Weights};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Time a coordinator has to grant or queue a load before the agent falls back to its own pace.
/// A coordinator answers within a round trip; this is long enough for a change of lease, and
/// short against any load.
pub const GRANT_PATIENCE: Duration = Duration::from_secs(5);
/// Time that requests wait for room in memory while all of it is in use. Longer, they would find
/// out only at their deadline that another replica should have served them.
const ROOM_PATIENCE: Duration = Duration::from_secs(2);
/// How long a load stays wanted for callers that were told to come back for it.
const WANTED_FOR: Duration = Duration::from_secs(60);
/// Pause before an order of unknown outcome is repeated; engines take a repeat as the same order.
const REPEAT_PAUSE: Duration = Duration::from_secs(2);

/// Memory is set aside, the order is not sent yet.
#[derives(data)]
struct Pending {
    less_urgent: u8,
    deadline: Instant,
    load_time: Duration,
    memory: Mib,
    asked: Instant,
    granted: bool,
}

/// Wanted although nobody waits: callers were told to come back, or a burst is due.
#[derives(data)]
pub(super) struct Wanted {
    pub urgency: u8,
    pub until: Instant,
}

/// The order was sent.
#[derives(data)]
struct Started {
    at: Instant,
    expected: Duration,
    by_gate: bool,
}

/// Loads that are wanted, wait for their turn, or are on their way.
#[derive(Clone, Debug)]
pub(super) struct Loads {
    gate: LoadLimiter,
    coordinated: bool,
    unordered: BTreeSet<Weights>,
    wanted: BTreeMap<Weights, Wanted>,
    pending: BTreeMap<Weights, Pending>,
    started: BTreeMap<Weights, Started>,
    repeats: BTreeMap<Weights, (Instant, bool)>,
    without_room: BTreeMap<Weights, Instant>,
    waiting: BTreeMap<Weights, u32>,
    slowness: f64,
}

/// Part of the difference by which one load moves what the next is expected to take.
const SLOWNESS_STEP: f64 = 0.5;

impl Default for Loads {
    fn default() -> Self {
        Self {
            gate: LoadLimiter::new(Store::default()),
            coordinated: false,
            unordered: BTreeSet::new(),
            wanted: BTreeMap::new(),
            pending: BTreeMap::new(),
            started: BTreeMap::new(),
            repeats: BTreeMap::new(),
            without_room: BTreeMap::new(),
            waiting: BTreeMap::new(),
            slowness: 1.0,
        }
    }
}

impl Loads {
    pub fn set_store(&mut self, store: Store) {
        self.gate.set_store(store);
    }

    pub const fn set_coordinated(&mut self, coordinated: bool) {
        self.coordinated = coordinated;
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

    /// Whether anyone waits for it or was told to come back for it.
    pub fn is_awaited(&self, weights: &Weights) -> bool {
        self.waiting.contains_key(weights)
    }

    /// Time until it is loaded.
    pub fn left(&self, now: Instant, weights: &Weights, load_time: Duration) -> Duration {
        match self.started.get(weights) {
            // Overdue: the store is slow, and may need as long again as it already took.
            Some(started) => {
                let took = now.saturating_duration_since(started.at);
                let expected = started.expected.mul_f64(self.slowness);
                expected.checked_sub(took).unwrap_or(took)
            }
            None => load_time.mul_f64(self.slowness),
        }
    }

    /// When orders may be due without any other event. Never a time at which nothing would be
    /// done: the caller would come back at once, for ever.
    pub fn next_wake(&self) -> Option<Instant> {
        let pending = self.pending.values().filter_map(|pending| self.turn_of(pending));
        let repeats = self.repeats.values().map(|(at, _)| *at);
        let room = self.without_room.values().map(|since| *since + ROOM_PATIENCE);
        pending.chain(repeats).chain(room).min()
    }

    fn turn_of(&self, pending: &Pending) -> Option<Instant> {
        let gate = self.gate.next_start();
        if !self.coordinated {
            return gate;
        }
        let patience = pending.asked + GRANT_PATIENCE;
        if self.gate.is_full() {
            None
        } else {
            Some(gate.map_or(patience, |gate| gate.max(patience)))
        }
    }

    /// Made for a store that is slower than stated: callers told the stated time would come back
    /// too early, again and again.
    fn observe(&mut self, took: Duration, expected: Duration) {
        let times = took.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        self.slowness += (times.max(1.0) - self.slowness) * SLOWNESS_STEP;
    }

    pub fn want(&mut self, weights: &Weights, wanted: Wanted) {
        self.unordered.insert(weights.clone());
        self.wanted.insert(weights.clone(), wanted);
    }

    /// Forgets what is wanted no longer.
    pub fn drop_unwanted(&mut self, now: Instant) {
        self.wanted.retain(|_, wanted| now < wanted.until);
    }

    /// Until when it is kept for those who were told to come back.
    pub fn wanted_until(&self, weights: &Weights) -> Option<Instant> {
        self.wanted.get(weights).map(|wanted| wanted.until)
    }
}

impl Agent {
    /// A load that some request waits for.
    pub(super) fn note_missing(&mut self, weights: &Weights) {
        if self.ledger.find(weights).is_none_or(|entry| entry.stage == Stage::Unloading) {
            self.loads.unordered.insert(weights.clone());
        }
    }

    /// Made for first requests with a short deadline: the request is refused, yet what it needs
    /// is loaded, so that its caller finds it when coming back. Without this a model whose
    /// callers all wait less than its load takes would stay cold for ever.
    pub(super) fn want(&mut self, now: Instant, work: &Work, sizes: &dyn Sizes) {
        let Some(weights) = self.missing(work) else { return };
        if self.ledger.find(&weights).is_some() {
            return;
        }
        let until = now + sizes.load_time(&weights) + WANTED_FOR;
        self.loads.want(&weights, Wanted { urgency: work.urgency, until });
    }

    /// Sets memory aside for what is missing and sends the orders whose turn it is.
    ///
    /// Made for a burst of first requests for several models: urgent ones first, then those due
    /// soon, then the shortest.
    pub(super) fn order_loads(
        &mut self,
        now: Instant,
        sizes: &dyn Sizes,
        actions: &mut Vec<Action>,
    ) {
        if !self.loads.unordered.is_empty() || !self.loads.without_room.is_empty() {
            self.reserve_unordered(now, sizes, actions);
        }
        self.start_pending(now, actions);
        self.repeat_orders(now, sizes, actions);
    }

    fn reserve_unordered(&mut self, now: Instant, sizes: &dyn Sizes, actions: &mut Vec<Action>) {
        let firsts: BTreeMap<&Weights, (u8, Instant)> = self
            .queue
            .missing()
            .map(|(weights, place)| (weights, (place.urgency_rank(), place.deadline())))
            .collect();
        let mut ranked: Vec<(u8, Instant, Duration, Weights)> = Vec::new();
        for weights in &self.loads.unordered {
            let waiting = firsts.get(weights).copied();
            let wanted = self.loads.wanted.get(weights).filter(|wanted| now < wanted.until);
            let wanted = wanted.map(|wanted| (u8::MAX - wanted.urgency, wanted.until));
            if let Some((less_urgent, deadline)) = waiting.into_iter().chain(wanted).min() {
                let load_time = sizes.load_time(weights);
                ranked.push((less_urgent, deadline, load_time, weights.clone()));
            }
        }
        self.loads.unordered.retain(|weights| ranked.iter().any(|(.., kept)| kept == weights));
        self.loads.without_room.retain(|weights, _| self.loads.unordered.contains(weights));
        ranked.sort();
        for (less_urgent, deadline, load_time, weights) in ranked {
            let Some(memory) = sizes.memory(&weights) else {
                self.loads.unordered.remove(&weights);
                continue;
            };
            let pending =
                Pending { less_urgent, deadline, load_time, memory, asked: now, granted: false };
            self.reserve(now, &weights, pending, sizes, actions);
        }
    }

    fn reserve(
        &mut self,
        now: Instant,
        weights: &Weights,
        pending: Pending,
        sizes: &dyn Sizes,
        actions: &mut Vec<Action>,
    ) {
        match self.ledger.reserve(weights, pending.memory) {
            Ok(()) => {
                self.loads.unordered.remove(weights);
                self.loads.without_room.remove(weights);
                if self.loads.coordinated {
                    actions.push(Action::AskLoad(self.ask(weights, &pending)));
                }
                self.loads.pending.insert(weights.clone(), pending);
            }
            Err(LedgerError::Reserved) => {
                let stage = self.ledger.find(weights).map(|entry| entry.stage);
                if stage != Some(Stage::Unloading) {
                    self.loads.unordered.remove(weights);
                }
            }
            Err(LedgerError::NoRoom { missing }) => {
                let coming = self.evict(now, missing, weights, sizes, actions);
                self.note_room(now, weights, coming, sizes, actions);
            }
        }
    }

    fn ask(&self, weights: &Weights, pending: &Pending) -> LoadRequest {
        LoadRequest {
            // The process that sends the wish fills in its own name.
            target: corianderstand_types::names::TargetId::default(),
            weights: weights.clone(),
            urgency: u8::MAX - pending.less_urgent,
            deadline: pending.deadline,
            load_time: pending.load_time,
        }
    }

    /// Made for memory that is all in use: those who wait for a load that finds no room are told
    /// soon, so that another replica may serve them, instead of at their deadline.
    fn note_room(
        &mut self,
        now: Instant,
        weights: &Weights,
        coming: bool,
        sizes: &dyn Sizes,
        actions: &mut Vec<Action>,
    ) {
        if coming {
            self.loads.without_room.remove(weights);
            return;
        }
        let since = *self.loads.without_room.entry(weights.clone()).or_insert(now);
        if now < since + ROOM_PATIENCE {
            return;
        }
        self.loads.without_room.remove(weights);
        self.loads.unordered.remove(weights);
        self.loads.wanted.remove(weights);
        let refused = self.refuse_waiting(now, weights, RefusalReason::QueueFull, sizes);
        actions.extend(refused);
    }

    fn start_pending(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.loads.pending.is_empty() {
            return;
        }
        let mut turns: Vec<(u8, Instant, Duration, Weights)> = self
            .loads
            .pending
            .iter()
            .map(|(w, p)| (p.less_urgent, p.deadline, p.load_time, w.clone()))
            .collect();
        turns.sort();
        for (.., weights) in turns {
            let pending = &self.loads.pending[&weights];
            let waits = self.loads.coordinated && now < pending.asked + GRANT_PATIENCE;
            let by_gate = !pending.granted && !waits && self.loads.gate.try_start(now);
            if pending.granted || by_gate {
                let (memory, expected) = (pending.memory, pending.load_time);
                self.loads.pending.remove(&weights);
                self.loads.started.insert(weights.clone(), Started { at: now, expected, by_gate });
                actions.push(Action::Load(weights, memory));
            }
        }
    }

    /// The coordinator lets a load start.
    pub fn granted(&mut self, now: Instant, weights: &Weights, sizes: &dyn Sizes) -> Vec<Action> {
        if let Some(pending) = self.loads.pending.get_mut(weights) {
            pending.granted = true;
        }
        self.step(now, sizes)
    }

    /// An order's outcome may be unknown for ever if its answer was lost; asking the same again
    /// settles it, and until then its memory counts as used.
    fn repeat_orders(&mut self, now: Instant, sizes: &dyn Sizes, actions: &mut Vec<Action>) {
        let due = self.loads.repeats.iter().filter(|(_, (at, _))| now >= *at);
        let due: Vec<(Weights, bool)> = due.map(|(w, (_, load))| (w.clone(), *load)).collect();
        for (weights, load) in due {
            self.loads.repeats.remove(&weights);
            // Settled meanwhile by asking the engine: a repeat could undo what followed.
            let unknown = self.ledger.find(&weights).filter(|e| e.stage == Stage::Unknown);
            let Some(memory) = unknown.map(|entry| entry.memory) else { continue };
            // It is on its way again, so an older answer of the engine settles nothing.
            let stage = if load { Stage::Loading } else { Stage::Unloading };
            self.ledger.set_stage(&weights, stage);
            if load {
                let expected = sizes.load_time(&weights);
                let started = Started { at: now, expected, by_gate: false };
                self.loads.started.insert(weights.clone(), started);
                actions.push(Action::Load(weights, memory));
            } else {
                actions.push(Action::Unload(weights, memory));
            }
        }
    }

    /// An order to load has been answered; `None` if its outcome is unknown.
    pub fn loaded(
        &mut self,
        now: Instant,
        weights: &Weights,
        outcome: Option<bool>,
        sizes: &dyn Sizes,
    ) -> Vec<Action> {
        if let Some(started) = self.loads.started.remove(weights) {
            let took = now.saturating_duration_since(started.at);
            self.loads.observe(took, started.expected);
            if started.by_gate {
                self.loads.gate.ended(took, started.expected, outcome == Some(true));
            }
        }
        let mut actions = Vec::new();
        match outcome {
            Some(true) => {
                self.ledger.set_stage(weights, Stage::Ready);
                for key in self.queue.waiting_for(weights) {
                    self.refresh_missing(key);
                }
                self.note_idle(now, weights, sizes);
            }
            Some(false) => {
                self.ledger.remove(weights);
                self.loads.wanted.remove(weights);
                actions = self.refuse_waiting(now, weights, RefusalReason::NotLoaded, sizes);
            }
            None => {
                self.ledger.set_stage(weights, Stage::Unknown);
                self.loads.repeats.insert(weights.clone(), (now + REPEAT_PAUSE, true));
                actions = self.refuse_waiting(now, weights, RefusalReason::NotLoaded, sizes);
            }
        }
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
            if self.loads.is_awaited(weights) {
                self.loads.unordered.insert(weights.clone());
            }
        } else {
            self.ledger.set_stage(weights, Stage::Unknown);
            self.loads.repeats.insert(weights.clone(), (now + REPEAT_PAUSE, false));
        }
        self.step(now, sizes)
    }

    /// Those who wait for a load that failed are told at once rather than at their deadline.
    fn refuse_waiting(
        &mut self,
        now: Instant,
        weights: &Weights,
        reason: RefusalReason,
        sizes: &dyn Sizes,
    ) -> Vec<Action> {
        let refusal = Refusal { reason, retry_after: MIN_RETRY_AFTER };
        let keys = self.queue.waiting_for(weights);
        keys.into_iter().map(|key| self.refuse(now, key, refusal, sizes)).collect()
    }
}
