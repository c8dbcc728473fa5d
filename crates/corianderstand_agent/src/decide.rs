//! The `decide` thread: feeds events to the pure logic and hands on what it decides.

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

/// Longest time between two looks at the snapshot.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(100);
const MS_PER_SECOND: u64 = 1000;

/// The thread's state.
pub struct Decider {
    /// The pure logic.
    pub agent: Agent,
    /// Name of the target.
    pub target: TargetId,
    /// Snapshots.
    pub current: CurrentSnapshot,
    /// Time.
    pub clock: SharedClock,
    /// To the `target` thread.
    pub jobs: mpsc::UnboundedSender<Job>,
    /// How busy the target is, for the link thread.
    pub load: watch::Sender<Load>,
    /// Whether nothing is held, for a planned stop.
    pub idle: watch::Sender<bool>,
    /// Requests held, for who ends the process before they are done.
    pub in_flight: Arc<AtomicUsize>,
    /// Requests waiting or running.
    pub requests: HashMap<RequestKey, Request>,
    /// Their keys by stream.
    pub streams: HashMap<(ConnectionId, u64), RequestKey>,
    /// When each request that waits came.
    pub queued_at: HashMap<RequestKey, Instant>,
    /// Where measures go.
    pub metrics: Metrics,
    /// Whether the ledger has been taken over from the engine.
    pub rebuilt: bool,
    /// Models that may be loaded under the slots in force.
    pub loadable_models: BTreeSet<ModelId>,
    /// Slots to give back.
    pub releaser: SlotReleaser,
    /// Those that may be released, for the `link` thread.
    pub releases: watch::Sender<SlotReleases>,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Notices that this process stood still.
    pub freshness: FreshnessGuard,
    /// When to ask the engine what is loaded.
    pub reconcile_timer: ReconcileTimer,
    /// Requests that came before the records they were chosen by.
    pub held_requests: HeldRequests<Box<(RequestSpec, Request)>>,
}

impl Decider {
    /// Runs until all senders of events are gone.
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

    /// Takes over the slots in force, and gives up those that are unwanted and unloaded.
    ///
    /// A process that has not read the log to its end knows no slots; it must not take that for
    /// "no slots are mine" and unload what an earlier start of this agent loaded. Nor does one
    /// that has not asked its engine know that a slot's model is out of memory.
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
            self.agent.set_slots(loadable_models.clone());
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
        for submitted in self.held_requests.take_ready(self.clock.now(), snapshot.state.next) {
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
                let gone = self.streams.iter().filter(|((c, _), _)| *c == connection);
                let keys: Vec<RequestKey> = gone.map(|(_, key)| *key).collect();
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
            // An operator whose connection takes nothing more asks again.
            drop(outbound.try_send(frame));
        }
    }

    /// A request that runs is ended by the `target` thread, which sees its credit closed; one
    /// that waits is simply forgotten.
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
                // Whatever wanted it, nothing is loaded without a slot, nor by an old picture.
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
                // Asked for only under a coordinator, which no process is yet.
                Action::RequestLoadGrant(_) => continue,
            };
            // The logic bounds runs and orders; refusals are as many as requests come (docs/design/0007).
            drop(self.jobs.send(job));
        }
    }

    /// Takes an order back that must not be given now; who waits for it goes elsewhere.
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
