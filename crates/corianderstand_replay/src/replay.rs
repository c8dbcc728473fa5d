//! Moves the clock from event to event and hands them to routers and agents.

mod faults;

use crate::{
    callers::{Caller, RETRY_WINDOW},
    engines::{Engine, InFlightRequest, TraceConfig},
    outcome::{IDLE_GAP, Outcome},
    store::Store,
    strategies::Strategy,
    trace::{Call, Fault, Trace, TraceEvent},
};
use corianderstand_decide::{
    agent::Action,
    pacing::Coordinator,
    queue::Length,
    request::{
        self, LONG_ANSWER_TOKENS, Refusal, RequestKey, RequestSpec, Requirement, SchedulingConfig,
        Shape,
    },
    router::{Decision, Router, TargetKey},
};
use corianderstand_types::{
    clock::{Clock, ManualClock},
    names::{ModelId, TargetId, WorkspaceId},
    weights::Weights,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// Time of an unload.
const UNLOAD: Duration = Duration::from_millis(100);
/// After the last line of a trace, until the replay ends.
const TAIL: Duration = Duration::from_secs(600);

/// What is going to happen.
enum Event {
    Line(usize),
    Ask(usize),
    Ended { engine: usize, key: RequestKey },
    Cut { engine: usize, key: RequestKey },
    Store,
    Coordinate,
    Wake(usize),
    Unloaded { engine: usize, weights: Weights },
    SlotsMoved(usize),
}

struct Replay<'a> {
    trace: &'a Trace,
    sizes: TraceConfig,
    clock: ManualClock,
    start: Instant,
    routers: Vec<Router>,
    keys: Vec<TargetKey>,
    engines: Vec<Engine>,
    slots: BTreeMap<ModelId, Vec<usize>>,
    store: Store,
    coordinator: Option<Coordinator>,
    callers: Vec<Caller>,
    events: BTreeMap<(Duration, u64), Event>,
    number: u64,
    store_at: Option<Duration>,
    coordinate_at: Option<Duration>,
    last_calls: HashMap<ModelId, Duration>,
    outcome: Outcome,
}

/// Replays a trace one way.
pub fn run(trace: &Trace, strategy: &Strategy) -> Outcome {
    let mut replay = Replay::new(trace, strategy);
    let last = trace.lines.last().map_or(0, |line| line.at_ms);
    let end = Duration::from_millis(last) + RETRY_WINDOW + TAIL;
    while let Some(((at, _), event)) = replay.events.pop_first() {
        if at > end {
            break;
        }
        replay.clock.advance(at - replay.clock.elapsed());
        replay.take(event);
    }
    replay.finish(end)
}

impl<'a> Replay<'a> {
    fn new(trace: &'a Trace, strategy: &Strategy) -> Self {
        let clock = ManualClock::default();
        let start = clock.now();
        let header = &trace.header;
        let index = |name: &TargetId| header.engines.iter().position(|engine| engine.name == *name);
        let slots: BTreeMap<ModelId, Vec<usize>> = header
            .models
            .iter()
            .map(|model| (model.name.clone(), model.slots.iter().filter_map(index).collect()))
            .collect();
        let engines = header.engines.iter().enumerate().map(|(number, spec)| {
            let mut engine = Engine::new(spec, strategy, owned(&slots, number));
            engine.agent.set_unix_time(start, header.begins);
            engine
        });
        let mut keys = Vec::new();
        let mut routers = Vec::new();
        for (seed, zone) in header.routers.iter().enumerate() {
            let mut router = Router::with_policy(zone.clone(), seed as u64, strategy.placement);
            let add = |spec: &crate::trace::EngineSpec| router.add_target(&spec.name, &spec.zone);
            keys = header.engines.iter().map(add).collect();
            keys.iter().for_each(|key| router.set_connected(*key, true));
            routers.push(router);
        }
        let sizes = TraceConfig::new(header, strategy);
        let coordinator = strategy.coordinated.then(|| Coordinator::new(start, sizes.store()));
        let mut replay = Self {
            trace,
            store: Store::new(header.store.per_second, header.store.concurrent),
            sizes,
            clock,
            start,
            routers,
            keys,
            engines: engines.collect(),
            slots,
            coordinator,
            callers: Vec::new(),
            events: BTreeMap::new(),
            number: 0,
            store_at: None,
            coordinate_at: None,
            last_calls: HashMap::new(),
            outcome: Outcome { strategy: strategy.name.clone(), ..Outcome::default() },
        };
        replay.set_owners();
        replay.plan_line(0);
        (0..replay.engines.len()).for_each(|engine| replay.plan_wake(engine));
        replay
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn plan(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.events.insert((at.max(self.clock.elapsed()), self.number), event);
    }

    fn plan_line(&mut self, index: usize) {
        if let Some(line) = self.trace.lines.get(index) {
            self.plan(Duration::from_millis(line.at_ms), Event::Line(index));
        }
    }

    fn plan_wake(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let Some(at) = state.next_wake(self.start) else { return };
        let at = at.max(self.clock.elapsed());
        if state.scheduled_wake.is_none_or(|planned| at < planned) {
            state.scheduled_wake = Some(at);
            self.plan(at, Event::Wake(engine));
        }
    }

    fn set_owners(&mut self) {
        let owners: BTreeMap<ModelId, Vec<TargetKey>> = self
            .slots
            .iter()
            .map(|(model, engines)| {
                (model.clone(), engines.iter().map(|e| self.keys[*e]).collect())
            })
            .collect();
        self.routers.iter_mut().for_each(|router| router.set_owners(owners.clone()));
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Line(index) => self.line(index),
            Event::Ask(caller) => {
                let now = self.clock.elapsed();
                self.callers[caller].retry(now);
                self.ask(caller);
            }
            Event::Ended { engine, key } => self.ended(engine, key),
            Event::Cut { engine, key } => self.cut(engine, key),
            Event::Store => self.store_moved(),
            Event::Coordinate => self.coordinate(),
            Event::Wake(engine) => {
                // An earlier one was planned since; if this one planned too, they would multiply.
                if self.engines[engine].scheduled_wake != Some(self.clock.elapsed()) {
                    return;
                }
                self.engines[engine].scheduled_wake = None;
                self.drive(engine, |engine, now, sizes| engine.agent.step(now, sizes));
            }
            Event::Unloaded { engine, weights } => {
                self.drive(engine, |engine, now, sizes| {
                    engine.agent.on_unload_finished(now, &weights, true, sizes)
                });
            }
            Event::SlotsMoved(engine) => self.move_slots(engine),
        }
    }

    fn line(&mut self, index: usize) {
        self.plan_line(index + 1);
        let trace = self.trace;
        match &trace.lines[index].event {
            TraceEvent::Call(call) => self.first_asked(call),
            TraceEvent::Fault(Fault::StoreSlower(times)) => {
                self.store.set_slowdown(self.clock.elapsed(), *times);
                self.plan_store();
            }
            TraceEvent::Fault(Fault::EngineSlower { engine, times }) => {
                let engine = self.engine(engine);
                self.engines[engine].slowdown = *times;
            }
            TraceEvent::Fault(Fault::HostGone(engine)) => self.host_gone(self.engine(engine)),
        }
    }

    fn engine(&self, name: &TargetId) -> usize {
        let found = self.engines.iter().position(|engine| engine.spec.name == *name);
        found.expect("the trace was checked to name its engines")
    }

    fn first_asked(&mut self, call: &Call) {
        let now = self.clock.elapsed();
        let last = self.last_calls.insert(call.model.clone(), now);
        let is_wake = last.is_none_or(|last| now - last >= IDLE_GAP);
        self.outcome.calls += 1;
        self.callers.push(Caller::new(call, now, is_wake));
        self.ask(self.callers.len() - 1);
    }

    fn work(&self, caller: &Caller) -> RequestSpec {
        let call = &caller.call;
        let base = Weights::model(call.model.clone(), "1".into());
        let adapter = call
            .adapter
            .as_ref()
            .map(|name| Weights { adapter: Some(name.as_str().into()), ..base.clone() });
        let long = call.tokens > LONG_ANSWER_TOKENS;
        let length = if long { Length::Long } else { Length::Short };
        RequestSpec {
            team: call.team.clone(),
            requirement: Requirement::Weights { base, adapter },
            urgency: call.urgency,
            deadline: self.start + caller.deadline,
            repeatable: true,
            shape: Shape { length, prefix: call.session },
        }
    }

    fn ask(&mut self, caller: usize) {
        let work = self.work(&self.callers[caller]);
        let router = self.callers[caller].call.router;
        let now = self.now();
        let (key, decision) = self.routers[router].submit(now, work);
        self.decided(caller, router, key, decision);
    }

    fn decided(&mut self, caller: usize, router: usize, key: RequestKey, decision: Decision) {
        match decision {
            Decision::Refuse(refusal) => self.refused(caller, refusal),
            Decision::Send(target) => {
                let engine = self.keys.iter().position(|known| *known == target);
                let engine = engine.expect("routers know the engines of the trace only");
                let work = self.work(&self.callers[caller]);
                self.drive(engine, |engine, now, sizes| {
                    let (agent_key, actions) = engine.agent.submit(now, work, sizes);
                    let request = InFlightRequest { caller, router, key, started_at: None };
                    engine.in_flight.insert(agent_key, request);
                    actions
                });
            }
        }
    }

    /// Lets an agent decide, and does what it decided.
    fn drive(
        &mut self,
        engine: usize,
        decide: impl FnOnce(&mut Engine, Instant, &dyn SchedulingConfig) -> Vec<Action>,
    ) {
        let (elapsed, now) = (self.clock.elapsed(), self.now());
        let state = &mut self.engines[engine];
        if !state.alive {
            return;
        }
        state.accumulate_idle(elapsed);
        let actions = decide(state, now, &self.sizes);
        for action in actions {
            self.perform(engine, action);
        }
        self.watch_shares(engine);
        self.plan_wake(engine);
    }

    fn perform(&mut self, engine: usize, action: Action) {
        let now = self.clock.elapsed();
        match action {
            Action::Run(key) => self.run(engine, key),
            Action::Refuse(key, refusal) => {
                let load = self.engines[engine].agent.load();
                let Some(request) = self.engines[engine].in_flight.remove(&key) else { return };
                let now = self.now();
                let decision =
                    self.routers[request.router].refused(now, request.key, refusal, load);
                self.decided(request.caller, request.router, request.key, decision);
            }
            Action::Load(weights, _) => {
                self.outcome.loads += 1;
                let seconds = self.sizes.load_time(&weights).as_secs_f64();
                self.store.start(now, (engine, weights), seconds);
                self.plan_store();
            }
            Action::Unload(weights, _) => {
                self.plan(now + UNLOAD, Event::Unloaded { engine, weights });
            }
            Action::RequestLoadGrant(mut ask) => {
                ask.target = self.engines[engine].spec.name.clone();
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.request(ask);
                }
                self.plan_coordinate(now);
            }
        }
    }

    fn run(&mut self, engine: usize, key: RequestKey) {
        let now = self.clock.elapsed();
        let slowdown = self.engines[engine].slowdown;
        let Some(request) = self.engines[engine].in_flight.get_mut(&key) else { return };
        request.started_at = Some(now);
        let caller = &mut self.callers[request.caller];
        if !std::mem::replace(&mut caller.has_started, true) {
            self.outcome.record_first_token(caller.is_wake, now - caller.first_attempt_at);
        }
        let token_ms = self.trace.token_ms(&caller.call.model);
        let took = Duration::from_millis(caller.call.tokens * token_ms).mul_f64(slowdown);
        let deadline = caller.deadline;
        if now + took <= deadline {
            self.plan(now + took, Event::Ended { engine, key });
        } else {
            self.plan(deadline, Event::Cut { engine, key });
        }
    }

    fn ended(&mut self, engine: usize, key: RequestKey) {
        let (elapsed, now) = (self.clock.elapsed(), self.now());
        let Some(request) = self.engines[engine].in_flight.remove(&key) else { return };
        let caller = &mut self.callers[request.caller];
        caller.is_pending = false;
        let tokens = caller.call.tokens;
        self.outcome.served += 1;
        *self.outcome.served_by_minute.entry(elapsed.as_secs() / 60).or_default() += 1;
        let took = elapsed - request.started_at.unwrap_or(elapsed);
        self.routers[request.router].progressed(now, request.key, tokens, took);
        self.drive(engine, |engine, now, sizes| engine.agent.on_request_finished(now, key, sizes));
        let load = self.engines[engine].agent.load();
        self.routers[request.router].finished(now, request.key, Some(load));
    }

    /// The router gives a running request up at its deadline, and says so.
    fn cut(&mut self, engine: usize, key: RequestKey) {
        let Some(request) = self.engines[engine].in_flight.remove(&key) else { return };
        self.callers[request.caller].is_pending = false;
        self.outcome.late += 1;
        let now = self.now();
        self.routers[request.router].finished(now, request.key, None);
        self.drive(engine, |engine, now, sizes| engine.agent.on_request_finished(now, key, sizes));
    }

    fn refused(&mut self, caller: usize, refusal: Refusal) {
        let now = self.clock.elapsed();
        let at = now + refusal.retry_after;
        let caller_state = &mut self.callers[caller];
        caller_state.is_pending = false;
        self.outcome.refusals += 1;
        if now > caller_state.deadline {
            self.outcome.unanswered += 1;
        }
        if caller_state.will_retry(at) {
            self.plan(at, Event::Ask(caller));
        } else {
            self.outcome.given_up += 1;
        }
    }

    fn plan_store(&mut self) {
        let next = self.store.next_event().map(|at| at.max(self.clock.elapsed()));
        if let Some(at) = next
            && self.store_at.is_none_or(|planned| at < planned)
        {
            self.store_at = Some(at);
            self.plan(at, Event::Store);
        }
    }

    fn store_moved(&mut self) {
        if self.store_at != Some(self.clock.elapsed()) {
            return;
        }
        self.store_at = None;
        let ended = self.store.take_finished(self.clock.elapsed());
        for (engine, weights) in ended {
            if let Some(coordinator) = &mut self.coordinator {
                coordinator.done(&self.engines[engine].spec.name, &weights);
            }
            self.drive(engine, |engine, now, sizes| {
                engine.agent.on_load_finished(now, &weights, Some(true), sizes)
            });
            self.plan_coordinate(self.clock.elapsed());
        }
        self.plan_store();
    }

    /// One event at a time is planned; each planning its own next one would let them multiply.
    fn plan_coordinate(&mut self, at: Duration) {
        if self.coordinate_at.is_none_or(|planned| at < planned) {
            self.coordinate_at = Some(at);
            self.plan(at, Event::Coordinate);
        }
    }

    fn coordinate(&mut self) {
        if self.coordinate_at != Some(self.clock.elapsed()) {
            return;
        }
        self.coordinate_at = None;
        let now = self.now();
        let Some(coordinator) = &mut self.coordinator else { return };
        let granted = coordinator.grant_due_loads(now);
        let next = coordinator.next_wake();
        for ask in granted {
            let engine = self.engine(&ask.target);
            self.drive(engine, |engine, now, sizes| {
                engine.agent.on_load_granted(now, &ask.weights, sizes)
            });
        }
        if let Some(at) = next.filter(|at| *at > now) {
            self.plan_coordinate(at - self.start);
        }
    }

    /// How long a team with ready work is below what it is owed.
    fn watch_shares(&mut self, engine: usize) {
        let now = self.clock.elapsed();
        let total = self.sizes.total_shares().max(request::DEFAULT_SHARE);
        let state = &mut self.engines[engine];
        for team in &self.trace.header.teams {
            let owed = state.spec.concurrency * team.share / total.max(1000);
            let running = state.agent.running_of(&team.name);
            let below = state.agent.ready_of(&team.name) > 0 && running < owed;
            note_below(&mut state.below_share_since, &mut self.outcome, &team.name, now, below);
        }
    }

    fn finish(mut self, end: Duration) -> Outcome {
        for engine in &mut self.engines {
            engine.accumulate_idle(end);
            self.outcome.idle_hours += engine.idle_hours;
        }
        self.outcome.unanswered +=
            self.callers.iter().filter(|caller| caller.is_pending).count() as u64;
        self.outcome.finish();
        self.outcome
    }
}

fn note_below(
    since: &mut BTreeMap<WorkspaceId, Duration>,
    outcome: &mut Outcome,
    team: &WorkspaceId,
    now: Duration,
    below: bool,
) {
    if below {
        since.entry(team.clone()).or_insert(now);
    } else if let Some(since) = since.remove(team) {
        let longest = outcome.longest_share_deficit_ms.entry(team.0.clone()).or_default();
        *longest = (*longest).max((now - since).as_millis() as u64);
    }
}

fn owned(slots: &BTreeMap<ModelId, Vec<usize>>, engine: usize) -> BTreeSet<ModelId> {
    let owned = slots.iter().filter(|(_, engines)| engines.contains(&engine));
    owned.map(|(model, _)| model.clone()).collect()
}
