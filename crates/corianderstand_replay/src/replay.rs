//! The event loop of a replay.

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
        self, LONG_ANSWER_TOKENS, Refusal, RequestKey, RequestShape, RequestSpec, Requirement,
        SchedulingConfig,
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

const UNLOAD_TIME: Duration = Duration::from_millis(100);
/// How long the replay runs after the last retry.
const DRAIN_TIME: Duration = Duration::from_secs(600);

enum Event {
    Line(usize),
    Retry(usize),
    Finished { engine: usize, key: RequestKey },
    DeadlinePassed { engine: usize, key: RequestKey },
    StoreProgress,
    GrantLoads,
    AgentWake(usize),
    Unloaded { engine: usize, weights: Weights },
    SlotsReassigned(usize),
}

struct Replay<'a> {
    trace: &'a Trace,
    config: TraceConfig,
    clock: ManualClock,
    start: Instant,
    routers: Vec<Router>,
    target_keys: Vec<TargetKey>,
    engines: Vec<Engine>,
    slots: BTreeMap<ModelId, Vec<usize>>,
    store: Store,
    coordinator: Option<Coordinator>,
    callers: Vec<Caller>,
    events: BTreeMap<(Duration, u64), Event>,
    last_sequence: u64,
    store_progress_at: Option<Duration>,
    load_grants_at: Option<Duration>,
    last_calls: HashMap<ModelId, Duration>,
    outcome: Outcome,
}

/// Replays a trace with a strategy.
pub fn run(trace: &Trace, strategy: &Strategy) -> Outcome {
    let mut replay = Replay::new(trace, strategy);
    let last = trace.lines.last().map_or(0, |line| line.at_ms);
    let end = Duration::from_millis(last) + RETRY_WINDOW + DRAIN_TIME;
    while let Some(((at, _), event)) = replay.events.pop_first() {
        if at > end {
            break;
        }
        replay.clock.advance(at - replay.clock.elapsed());
        replay.handle(event);
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
            let mut engine = Engine::new(spec, strategy, owned_models(&slots, number));
            engine.agent.set_unix_time(start, header.begins);
            engine
        });
        let mut target_keys = Vec::new();
        let mut routers = Vec::new();
        for (seed, zone) in header.routers.iter().enumerate() {
            let mut router = Router::with_policy(zone.clone(), seed as u64, strategy.placement);
            let add = |spec: &crate::trace::EngineSpec| router.add_target(&spec.name, &spec.zone);
            target_keys = header.engines.iter().map(add).collect();
            target_keys.iter().for_each(|key| router.set_connected(*key, true));
            routers.push(router);
        }
        let config = TraceConfig::new(header, strategy);
        let coordinator = strategy.coordinated.then(|| Coordinator::new(start, config.store()));
        let mut replay = Self {
            trace,
            store: Store::new(header.store.per_second, header.store.concurrent),
            config,
            clock,
            start,
            routers,
            target_keys,
            engines: engines.collect(),
            slots,
            coordinator,
            callers: Vec::new(),
            events: BTreeMap::new(),
            last_sequence: 0,
            store_progress_at: None,
            load_grants_at: None,
            last_calls: HashMap::new(),
            outcome: Outcome { strategy: strategy.name.clone(), ..Outcome::default() },
        };
        replay.publish_owners();
        replay.schedule_line(0);
        (0..replay.engines.len()).for_each(|engine| replay.schedule_wake(engine));
        replay
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_sequence += 1;
        self.events.insert((at.max(self.clock.elapsed()), self.last_sequence), event);
    }

    fn schedule_line(&mut self, index: usize) {
        if let Some(line) = self.trace.lines.get(index) {
            self.schedule(Duration::from_millis(line.at_ms), Event::Line(index));
        }
    }

    fn schedule_wake(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let Some(at) = state.next_wake(self.start) else { return };
        let at = at.max(self.clock.elapsed());
        if state.scheduled_wake.is_none_or(|planned| at < planned) {
            state.scheduled_wake = Some(at);
            self.schedule(at, Event::AgentWake(engine));
        }
    }

    fn publish_owners(&mut self) {
        let owners: BTreeMap<ModelId, Vec<TargetKey>> = self
            .slots
            .iter()
            .map(|(model, engines)| {
                (model.clone(), engines.iter().map(|e| self.target_keys[*e]).collect())
            })
            .collect();
        self.routers.iter_mut().for_each(|router| router.set_replica_slot_owners(owners.clone()));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Line(index) => self.process_line(index),
            Event::Retry(caller) => {
                let now = self.clock.elapsed();
                self.callers[caller].retry(now);
                self.submit(caller);
            }
            Event::Finished { engine, key } => self.finish_request(engine, key),
            Event::DeadlinePassed { engine, key } => self.abort_at_deadline(engine, key),
            Event::StoreProgress => self.advance_store(),
            Event::GrantLoads => self.grant_loads(),
            Event::AgentWake(engine) => {
                // Ignore a superseded wake, or each of them would schedule further ones.
                if self.engines[engine].scheduled_wake != Some(self.clock.elapsed()) {
                    return;
                }
                self.engines[engine].scheduled_wake = None;
                self.run_agent(engine, |engine, now, config| engine.agent.step(now, config));
            }
            Event::Unloaded { engine, weights } => {
                self.run_agent(engine, |engine, now, config| {
                    engine.agent.on_unload_finished(now, &weights, true, config)
                });
            }
            Event::SlotsReassigned(engine) => self.reassign_slots(engine),
        }
    }

    fn process_line(&mut self, index: usize) {
        self.schedule_line(index + 1);
        let trace = self.trace;
        match &trace.lines[index].event {
            TraceEvent::Call(call) => self.start_call(call),
            TraceEvent::Fault(Fault::StoreSlower(times)) => {
                self.store.set_slowdown(self.clock.elapsed(), *times);
                self.schedule_store();
            }
            TraceEvent::Fault(Fault::EngineSlower { engine, times }) => {
                let engine = self.index_of(engine);
                self.engines[engine].slowdown = *times;
            }
            TraceEvent::Fault(Fault::HostGone(engine)) => self.on_host_lost(self.index_of(engine)),
        }
    }

    fn index_of(&self, name: &TargetId) -> usize {
        let found = self.engines.iter().position(|engine| engine.spec.name == *name);
        found.expect("Trace::parse rejects unknown engines")
    }

    fn start_call(&mut self, call: &Call) {
        let now = self.clock.elapsed();
        let last = self.last_calls.insert(call.model.clone(), now);
        let is_wake = last.is_none_or(|last| now - last >= IDLE_GAP);
        self.outcome.calls += 1;
        self.callers.push(Caller::new(call, now, is_wake));
        self.submit(self.callers.len() - 1);
    }

    fn request_spec(&self, caller: &Caller) -> RequestSpec {
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
            shape: RequestShape { length, prefix: call.session },
        }
    }

    fn submit(&mut self, caller: usize) {
        let spec = self.request_spec(&self.callers[caller]);
        let router = self.callers[caller].call.router;
        let now = self.now();
        let (key, decision) = self.routers[router].submit(now, spec);
        self.dispatch(caller, router, key, decision);
    }

    fn dispatch(&mut self, caller: usize, router: usize, key: RequestKey, decision: Decision) {
        match decision {
            Decision::Refuse(refusal) => self.on_refusal(caller, refusal),
            Decision::Send(target) => {
                let engine = self.target_keys.iter().position(|known| *known == target);
                let engine = engine.expect("every target is an engine of the trace");
                let spec = self.request_spec(&self.callers[caller]);
                self.run_agent(engine, |engine, now, config| {
                    let (agent_key, actions) = engine.agent.submit(now, spec, config);
                    let request = InFlightRequest { caller, router, key, started_at: None };
                    engine.in_flight.insert(agent_key, request);
                    actions
                });
            }
        }
    }

    fn run_agent(
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
        let actions = decide(state, now, &self.config);
        for action in actions {
            self.execute(engine, action);
        }
        self.update_share_deficits(engine);
        self.schedule_wake(engine);
    }

    fn execute(&mut self, engine: usize, action: Action) {
        let now = self.clock.elapsed();
        match action {
            Action::Run(key) => self.start_request(engine, key),
            Action::Refuse(key, refusal) => {
                let load = self.engines[engine].agent.load();
                let Some(request) = self.engines[engine].in_flight.remove(&key) else { return };
                let now = self.now();
                let decision =
                    self.routers[request.router].refused(now, request.key, refusal, load);
                self.dispatch(request.caller, request.router, request.key, decision);
            }
            Action::Load(weights, _) => {
                self.outcome.loads += 1;
                let seconds = self.config.load_time(&weights).as_secs_f64();
                self.store.start(now, (engine, weights), seconds);
                self.schedule_store();
            }
            Action::Unload(weights, _) => {
                self.schedule(now + UNLOAD_TIME, Event::Unloaded { engine, weights });
            }
            Action::RequestLoadGrant(mut load_request) => {
                load_request.target = self.engines[engine].spec.name.clone();
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.request(load_request);
                }
                self.schedule_load_grants(now);
            }
        }
    }

    fn start_request(&mut self, engine: usize, key: RequestKey) {
        let now = self.clock.elapsed();
        let slowdown = self.engines[engine].slowdown;
        let Some(request) = self.engines[engine].in_flight.get_mut(&key) else { return };
        request.started_at = Some(now);
        let caller = &mut self.callers[request.caller];
        if !std::mem::replace(&mut caller.has_started, true) {
            self.outcome.record_first_token(caller.is_wake, now - caller.first_attempt_at);
        }
        let token_ms = self.trace.token_ms(&caller.call.model);
        let duration = Duration::from_millis(caller.call.tokens * token_ms).mul_f64(slowdown);
        let deadline = caller.deadline;
        if now + duration <= deadline {
            self.schedule(now + duration, Event::Finished { engine, key });
        } else {
            self.schedule(deadline, Event::DeadlinePassed { engine, key });
        }
    }

    fn finish_request(&mut self, engine: usize, key: RequestKey) {
        let (elapsed, now) = (self.clock.elapsed(), self.now());
        let Some(request) = self.engines[engine].in_flight.remove(&key) else { return };
        let caller = &mut self.callers[request.caller];
        caller.is_pending = false;
        let tokens = caller.call.tokens;
        self.outcome.served += 1;
        *self.outcome.served_by_minute.entry(elapsed.as_secs() / 60).or_default() += 1;
        let duration = elapsed - request.started_at.unwrap_or(elapsed);
        self.routers[request.router].progressed(now, request.key, tokens, duration);
        self.run_agent(engine, |engine, now, config| {
            engine.agent.on_request_finished(now, key, config)
        });
        let load = self.engines[engine].agent.load();
        self.routers[request.router].finished(now, request.key, Some(load));
    }

    fn abort_at_deadline(&mut self, engine: usize, key: RequestKey) {
        let Some(request) = self.engines[engine].in_flight.remove(&key) else { return };
        self.callers[request.caller].is_pending = false;
        self.outcome.late += 1;
        let now = self.now();
        self.routers[request.router].finished(now, request.key, None);
        self.run_agent(engine, |engine, now, config| {
            engine.agent.on_request_finished(now, key, config)
        });
    }

    fn on_refusal(&mut self, caller: usize, refusal: Refusal) {
        let now = self.clock.elapsed();
        let at = now + refusal.retry_after;
        let caller_state = &mut self.callers[caller];
        caller_state.is_pending = false;
        self.outcome.refusals += 1;
        if now > caller_state.deadline {
            self.outcome.unanswered += 1;
        }
        if caller_state.will_retry(at) {
            self.schedule(at, Event::Retry(caller));
        } else {
            self.outcome.given_up += 1;
        }
    }

    fn schedule_store(&mut self) {
        let next = self.store.next_event().map(|at| at.max(self.clock.elapsed()));
        if let Some(at) = next
            && self.store_progress_at.is_none_or(|planned| at < planned)
        {
            self.store_progress_at = Some(at);
            self.schedule(at, Event::StoreProgress);
        }
    }

    fn advance_store(&mut self) {
        if self.store_progress_at != Some(self.clock.elapsed()) {
            return;
        }
        self.store_progress_at = None;
        let finished = self.store.remove_finished(self.clock.elapsed());
        for (engine, weights) in finished {
            if let Some(coordinator) = &mut self.coordinator {
                coordinator.done(&self.engines[engine].spec.name, &weights);
            }
            self.run_agent(engine, |engine, now, config| {
                engine.agent.on_load_finished(now, &weights, Some(true), config)
            });
            self.schedule_load_grants(self.clock.elapsed());
        }
        self.schedule_store();
    }

    /// Keeps a single event scheduled, as each one schedules its successor.
    fn schedule_load_grants(&mut self, at: Duration) {
        if self.load_grants_at.is_none_or(|planned| at < planned) {
            self.load_grants_at = Some(at);
            self.schedule(at, Event::GrantLoads);
        }
    }

    fn grant_loads(&mut self) {
        if self.load_grants_at != Some(self.clock.elapsed()) {
            return;
        }
        self.load_grants_at = None;
        let now = self.now();
        let Some(coordinator) = &mut self.coordinator else { return };
        let granted = coordinator.grant_due_loads(now);
        let next = coordinator.next_wake();
        for load_request in granted {
            let engine = self.index_of(&load_request.target);
            self.run_agent(engine, |engine, now, config| {
                engine.agent.on_load_granted(now, &load_request.weights, config)
            });
        }
        if let Some(at) = next.filter(|at| *at > now) {
            self.schedule_load_grants(at - self.start);
        }
    }

    fn update_share_deficits(&mut self, engine: usize) {
        let now = self.clock.elapsed();
        let total = self.config.total_shares().max(request::DEFAULT_SHARE);
        let state = &mut self.engines[engine];
        for team in &self.trace.header.teams {
            let guaranteed = state.spec.concurrency * team.share / total.max(1000);
            let running = state.agent.running_of(&team.name);
            let below = state.agent.ready_of(&team.name) > 0 && running < guaranteed;
            update_share_deficit(
                &mut state.below_share_since,
                &mut self.outcome,
                &team.name,
                now,
                below,
            );
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

fn update_share_deficit(
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

fn owned_models(slots: &BTreeMap<ModelId, Vec<usize>>, engine: usize) -> BTreeSet<ModelId> {
    let owned = slots.iter().filter(|(_, engines)| engines.contains(&engine));
    owned.map(|(model, _)| model.clone()).collect()
}
