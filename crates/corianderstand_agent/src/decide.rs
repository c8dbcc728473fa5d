//! The `decide` thread: passes events to the scheduler and executes its actions.

use crate::{
    event::{ConnectionId, Event, Job, Request},
    freshness::FreshnessGuard,
    held_requests::{self, HeldRequests},
    reconcile::ReconcileTimer,
    release::{SlotReleaser, SlotReleases},
    view_config::ViewConfig,
};
use bytes::Bytes;
use corianderstand_control::{
    metrics::{Metric, Metrics},
    snapshot::{CurrentSnapshot, Snapshot},
};
use corianderstand_decide::{
    agent::{Action, Agent},
    ledger::Stage,
    request::{Refusal, RequestKey, RequestSpec},
};
use corianderstand_link::frame;
use corianderstand_schema::messages::{Holding, HoldingStage, Load, ToRouter};
use corianderstand_types::{
    clock::{self, SharedClock},
    names::{ModelId, TargetId},
    weights::Weights,
};
use std::{
    collections::{BTreeSet, HashMap},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc::{Receiver, RecvTimeoutError},
    },
    time::{Duration, Instant},
};
use tokio::sync::{mpsc, watch};

/// Maximum time between two polls of the snapshot.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(100);
const MS_PER_SECOND: u64 = 1000;

pub struct Decider {
    pub agent: Agent,
    pub target: TargetId,
    pub current: CurrentSnapshot,
    pub clock: SharedClock,
    pub jobs: mpsc::UnboundedSender<Job>,
    pub load: watch::Sender<Load>,
    /// Whether no request is queued, running or held; a graceful shutdown waits for it.
    pub idle: watch::Sender<bool>,
    pub in_flight: Arc<AtomicUsize>,
    pub requests: HashMap<RequestKey, Request>,
    pub streams: HashMap<(ConnectionId, u64), RequestKey>,
    pub queued_at: HashMap<RequestKey, Instant>,
    pub metrics: Metrics,
    /// Whether the ledger has been rebuilt from the engine's loaded weights.
    pub rebuilt: bool,
    pub loadable_models: BTreeSet<ModelId>,
    pub releaser: SlotReleaser,
    pub releases: watch::Sender<SlotReleases>,
    pub stopping: bool,
    pub freshness: FreshnessGuard,
    pub reconcile_timer: ReconcileTimer,
    pub held_requests: HeldRequests<Box<(RequestSpec, Request)>>,
}

impl Decider {
    /// Runs until all event senders are dropped.
    pub fn run(mut self, events: &Receiver<Event>) {
        loop {
            let now = self.clock.now();
            let wake = self.agent.next_wake().map(|at| at.saturating_duration_since(now));
            let max_wait = if self.held_requests.is_empty() {
                MAX_POLL_INTERVAL
            } else {
                held_requests::POLL_INTERVAL
            };
            let wait = wake.unwrap_or(max_wait).min(max_wait);
            let event = events.recv_timeout(wait);
            let snapshot = self.current.load();
            self.freshness.on_iteration(self.clock.now(), snapshot.reads);
            self.submit_held(&snapshot);
            match event {
                Ok(event) => self.handle(event, &snapshot),
                Err(RecvTimeoutError::Timeout) => self.step(&snapshot),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.query_loaded_if_due();
            self.load.send_replace(self.agent.load());
            self.idle.send_replace(self.agent.is_idle() && self.held_requests.is_empty());
            self.in_flight.store(self.requests.len(), Ordering::Relaxed);
        }
    }

    fn step(&mut self, snapshot: &Snapshot) {
        self.refresh_slots(snapshot);
        let now = self.clock.now();
        self.agent.set_unix_time(now, clock::unix_ms(self.clock.wall()) / MS_PER_SECOND);
        let actions = self.agent.step(now, &ViewConfig(&snapshot.view));
        self.execute(actions, snapshot);
    }

    fn query_loaded_if_due(&mut self) {
        let ledger = self.agent.ledger();
        if self.reconcile_timer.is_due(self.clock.now(), ledger.has_unknown()) {
            drop(self.jobs.send(Job::QueryLoaded { ledger_version: ledger.version() }));
        }
    }

    /// Applies the current slots and releases those that are unwanted and unloaded.
    ///
    /// Does nothing until the log has been read to its end and the engine queried: before that,
    /// the slot table and the ledger are incomplete.
    fn refresh_slots(&mut self, snapshot: &Snapshot) {
        if !snapshot.caught_up || !self.rebuilt {
            return;
        }
        let leaving = self.stopping || snapshot.state.targets.is_leaving(&self.target);
        self.agent.set_draining(leaving);
        let (state, in_use) = (&snapshot.state, self.agent.models_in_use());
        let loadable_models =
            self.releaser.loadable_models(state, &snapshot.view, &self.target, leaving, &in_use);
        if loadable_models != self.loadable_models {
            self.loadable_models.clone_from(&loadable_models);
            self.agent.set_replica_slots(loadable_models.clone());
        }
        let ledger = self.agent.ledger();
        let releases =
            self.releaser.update_releases(state, &self.target, &loadable_models, |model| {
                ledger.holds(model)
            });
        self.releases.send_if_modified(|current| {
            let changed = current != releases;
            if changed {
                current.clone_from(releases);
            }
            changed
        });
    }

    fn submit_held(&mut self, snapshot: &Snapshot) {
        if self.held_requests.is_empty() {
            return;
        }
        self.refresh_slots(snapshot);
        for submitted in self.held_requests.remove_ready(self.clock.now(), snapshot.state.next) {
            let actions = self.submit(*submitted, snapshot);
            self.execute(actions, snapshot);
        }
    }

    fn submit(&mut self, submitted: (RequestSpec, Request), snapshot: &Snapshot) -> Vec<Action> {
        let (spec, request) = submitted;
        let now = self.clock.now();
        let (key, actions) = self.agent.submit(now, spec, &ViewConfig(&snapshot.view));
        self.queued_at.insert(key, now);
        self.streams.insert((request.response.connection, request.response.stream), key);
        self.requests.insert(key, request);
        actions
    }

    fn handle(&mut self, event: Event, snapshot: &Snapshot) {
        self.refresh_slots(snapshot);
        let now = self.clock.now();
        self.agent.set_unix_time(now, clock::unix_ms(self.clock.wall()) / MS_PER_SECOND);
        let config = ViewConfig(&snapshot.view);
        let actions = match event {
            Event::Submit(submitted) => {
                let request = &submitted.1;
                let stream = (request.response.connection, request.response.stream);
                let (next, as_of) = (snapshot.state.next, request.open.as_of);
                match self.held_requests.hold(now, next, as_of, stream, submitted) {
                    Some(submitted) => self.submit(*submitted, snapshot),
                    None => Vec::new(),
                }
            }
            Event::Cancelled { connection, stream } => {
                self.held_requests.cancel((connection, stream));
                let key = self.streams.get(&(connection, stream)).copied();
                key.map_or_else(Vec::new, |key| self.cancel(key, &config))
            }
            Event::Disconnected(connection) => {
                self.held_requests.remove_connection(connection);
                let disconnected = self.streams.iter().filter(|((c, _), _)| *c == connection);
                let keys: Vec<RequestKey> = disconnected.map(|(_, key)| *key).collect();
                keys.into_iter().flat_map(|key| self.cancel(key, &config)).collect()
            }
            Event::RequestFinished { key } => {
                self.remove_request(key);
                self.agent.on_request_finished(now, key, &config)
            }
            Event::LoadFinished(weights, outcome) => {
                self.agent.on_load_finished(now, &weights, outcome, &config)
            }
            Event::UnloadFinished(weights, confirmed) => {
                self.agent.on_unload_finished(now, &weights, confirmed, &config)
            }
            Event::Rebuilt(loaded) => {
                self.agent.rebuild(loaded);
                self.rebuilt = true;
                Vec::new()
            }
            Event::ListHoldings(outbound) => {
                self.send_holdings(&outbound, snapshot);
                Vec::new()
            }
            Event::LoadedReported { ledger_version, loaded } => {
                let actions = loaded
                    .map(|loaded| self.agent.reconcile(now, ledger_version, &loaded, &config))
                    .unwrap_or_default();
                self.reconcile_timer.on_response(now, self.agent.ledger().has_unknown());
                actions
            }
            Event::Drain => {
                self.stopping = true;
                self.agent.set_draining(true);
                Vec::new()
            }
        };
        self.execute(actions, snapshot);
    }

    fn send_holdings(&self, outbound: &mpsc::Sender<Bytes>, snapshot: &Snapshot) {
        let holdings = self.agent.ledger().entries().map(|(weights, entry)| Holding {
            weights: weights.to_string().into(),
            stage: match entry.stage {
                Stage::Loading => HoldingStage::Loading,
                Stage::Ready => HoldingStage::Warm,
                Stage::Unloading => HoldingStage::Unloading,
                Stage::Unknown => HoldingStage::Unknown,
            },
            memory_mib: entry.memory.0,
            users: entry.users,
        });
        let holdings = holdings.collect();
        let version = snapshot.state.documents.version;
        if let Ok(frame) = frame::encode(&ToRouter::Holdings { version, holdings }, b"") {
            // The query may be repeated, so a full connection just drops the reply.
            drop(outbound.try_send(frame));
        }
    }

    /// Removes a queued request. The `target` thread ends a running one when its credit closes.
    fn cancel(&mut self, key: RequestKey, config: &ViewConfig<'_>) -> Vec<Action> {
        if self.agent.is_running(key) {
            return Vec::new();
        }
        self.remove_request(key);
        self.agent.on_request_finished(self.clock.now(), key, config)
    }

    fn remove_request(&mut self, key: RequestKey) -> Option<Request> {
        self.queued_at.remove(&key);
        let request = self.requests.remove(&key)?;
        self.streams.remove(&(request.response.connection, request.response.stream));
        Some(request)
    }

    fn execute(&mut self, actions: Vec<Action>, snapshot: &Snapshot) {
        for action in actions {
            let job = match action {
                Action::Run(key) => {
                    let Some(request) = self.requests.get(&key) else { continue };
                    let job = Job::Run(key, Box::new(request.clone()));
                    if let Some(queued_at) = self.queued_at.remove(&key) {
                        self.metrics.time(Metric::AgentWait, self.clock.now() - queued_at);
                    }
                    job
                }
                Action::Refuse(key, refusal) => {
                    let Some(request) = self.remove_request(key) else { continue };
                    let reason = refusal.reason.to_string();
                    self.metrics.count_tagged(Metric::AgentRefusals, 1, "reason", &reason);
                    let refused = self.refused_message(&request, refusal);
                    Job::Refuse(Box::new(request), refused)
                }
                // Never load without a slot or based on a stale snapshot.
                Action::Load(weights, _)
                    if !self.loadable_models.contains(&weights.model)
                        || !self.freshness.is_fresh(snapshot.reads) =>
                {
                    self.fail_load(&weights, snapshot);
                    continue;
                }
                Action::Load(weights, memory) => {
                    if weights.adapter.is_none() {
                        self.metrics.count(Metric::AgentColdStarts, 1);
                    }
                    let fence = self.fencing_token(&weights, snapshot);
                    Job::Load { weights, memory, fence }
                }
                Action::Unload(weights, memory) => {
                    let fence = self.fencing_token(&weights, snapshot);
                    Job::Unload { weights, memory, fence }
                }
                // Only requested under a coordinator, which agents do not use.
                Action::RequestLoadGrant(_) => continue,
            };
            // The scheduler bounds runs and commands; refusals are bounded by incoming requests.
            drop(self.jobs.send(job));
        }
    }

    /// Reports a load that must not run now as failed, so that its requests go elsewhere.
    fn fail_load(&mut self, weights: &Weights, snapshot: &Snapshot) {
        let config = ViewConfig(&snapshot.view);
        let actions = self.agent.on_load_finished(self.clock.now(), weights, Some(false), &config);
        self.execute(actions, snapshot);
    }

    fn refused_message(&self, request: &Request, refusal: Refusal) -> ToRouter {
        ToRouter::Refused {
            stream: request.response.stream,
            reason: refusal.reason,
            retry_after_ms: refusal.retry_after.as_millis() as u64,
            load: self.agent.load(),
        }
    }

    fn fencing_token(&self, weights: &Weights, snapshot: &Snapshot) -> u64 {
        let slot = snapshot.state.slots.owned(&weights.model, &self.target);
        slot.map_or(snapshot.state.next, |slot| slot.assigned)
    }
}
