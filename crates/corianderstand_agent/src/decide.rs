//! The `decide` thread: feeds events to the pure logic and hands on what it decides.

use crate::{
    event::{ConnectionId, Event, Job, Request},
    sizes::ViewSizes,
};
use corianderstand_control::snapshot::{Current, Snapshot};
use corianderstand_decide::{
    agent::{Action, Agent},
    work::{Refusal, RequestKey},
};
use corianderstand_schema::messages::{Load, ToRouter};
use corianderstand_types::{
    clock::{self, SharedClock},
    names::TargetId,
    weights::Weights,
};
use std::{
    collections::{BTreeSet, HashMap},
    sync::mpsc::{Receiver, RecvTimeoutError},
    time::Duration,
};
use tokio::sync::{mpsc, watch};

/// Longest time between two looks at the snapshot.
const LONGEST_WAIT: Duration = Duration::from_millis(100);
const MS_PER_SECOND: u64 = 1000;

/// The thread's state.
pub struct Decider {
    /// The pure logic.
    pub agent: Agent,
    /// Name of the target.
    pub target: TargetId,
    /// Snapshots.
    pub current: Current,
    /// Time.
    pub clock: SharedClock,
    /// To the `target` thread.
    pub jobs: mpsc::UnboundedSender<Job>,
    /// How busy the target is, for the link thread.
    pub load: watch::Sender<Load>,
    /// Whether nothing is held, for a planned stop.
    pub idle: watch::Sender<bool>,
    /// Requests waiting or running.
    pub requests: HashMap<RequestKey, Request>,
    /// Their keys by stream.
    pub streams: HashMap<(ConnectionId, u64), RequestKey>,
    /// Version of the slots that the logic knows.
    pub slots_version: u64,
}

impl Decider {
    /// Runs until all senders of events are gone.
    pub fn run(mut self, events: &Receiver<Event>) {
        loop {
            let now = self.clock.now();
            let wake = self.agent.next_wake().map(|at| at.saturating_duration_since(now));
            let wait = wake.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT);
            let snapshot = self.current.load();
            match events.recv_timeout(wait) {
                Ok(event) => self.take(event, &snapshot),
                Err(RecvTimeoutError::Timeout) => self.step(&snapshot),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.load.send_replace(self.agent.load());
            self.idle.send_replace(self.agent.is_idle());
        }
    }

    fn step(&mut self, snapshot: &Snapshot) {
        self.refresh_slots(snapshot);
        let now = self.clock.now();
        self.agent.set_wall(now, clock::unix_ms(self.clock.wall()) / MS_PER_SECOND);
        let actions = self.agent.step(now, &ViewSizes(&snapshot.view));
        self.perform(actions, snapshot);
    }

    fn refresh_slots(&mut self, snapshot: &Snapshot) {
        if self.slots_version == snapshot.state.slots.version {
            return;
        }
        self.slots_version = snapshot.state.slots.version;
        let slots = snapshot.state.slots.by_key.iter();
        let ours = slots.filter(|(_, slot)| slot.target == self.target);
        let models: BTreeSet<_> = ours.map(|(key, _)| key.model.clone()).collect();
        self.agent.set_slots(models);
    }

    fn take(&mut self, event: Event, snapshot: &Snapshot) {
        self.refresh_slots(snapshot);
        let now = self.clock.now();
        self.agent.set_wall(now, clock::unix_ms(self.clock.wall()) / MS_PER_SECOND);
        let sizes = ViewSizes(&snapshot.view);
        let actions = match event {
            Event::Submit(submitted) => {
                let (work, request) = *submitted;
                let (key, actions) = self.agent.submit(now, work, &sizes);
                self.streams.insert((request.end.connection, request.end.stream), key);
                self.requests.insert(key, request);
                actions
            }
            Event::Cancelled { connection, stream } => {
                let key = self.streams.get(&(connection, stream)).copied();
                key.map_or_else(Vec::new, |key| self.cancel(key, &sizes))
            }
            Event::Gone(connection) => {
                let gone = self.streams.iter().filter(|((c, _), _)| *c == connection);
                let keys: Vec<RequestKey> = gone.map(|(_, key)| *key).collect();
                keys.into_iter().flat_map(|key| self.cancel(key, &sizes)).collect()
            }
            Event::Ended { key } => {
                self.forget(key);
                self.agent.finished(now, key, &sizes)
            }
            Event::Loaded(weights, outcome) => self.agent.loaded(now, &weights, outcome, &sizes),
            Event::Unloaded(weights, confirmed) => {
                self.agent.unloaded(now, &weights, confirmed, &sizes)
            }
            Event::Rebuilt(loaded) => {
                self.agent.rebuild(loaded);
                Vec::new()
            }
            Event::Drain => {
                self.agent.drain();
                Vec::new()
            }
        };
        self.perform(actions, snapshot);
    }

    /// A request that runs is ended by the `target` thread, which sees its credit closed; one
    /// that waits is simply forgotten.
    fn cancel(&mut self, key: RequestKey, sizes: &ViewSizes<'_>) -> Vec<Action> {
        if self.agent.is_running(key) {
            return Vec::new();
        }
        self.forget(key);
        self.agent.finished(self.clock.now(), key, sizes)
    }

    fn forget(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(&key)?;
        self.streams.remove(&(request.end.connection, request.end.stream));
        Some(request)
    }

    fn perform(&mut self, actions: Vec<Action>, snapshot: &Snapshot) {
        for action in actions {
            let job = match action {
                Action::Run(key) => {
                    let Some(request) = self.requests.get(&key) else { continue };
                    Job::Run(key, Box::new(request.clone()))
                }
                Action::Refuse(key, refusal) => {
                    let Some(request) = self.forget(key) else { continue };
                    let refused = self.refused(&request, refusal);
                    Job::Refuse(Box::new(request), refused)
                }
                Action::Load(weights, memory) => {
                    let fence = self.fence(&weights, snapshot);
                    Job::Load { weights, memory, fence }
                }
                Action::Unload(weights, memory) => {
                    let fence = self.fence(&weights, snapshot);
                    Job::Unload { weights, memory, fence }
                }
                // Asked for only under a coordinator, which no process is yet.
                Action::AskLoad(_) => continue,
            };
            // The number of jobs is bounded by the requests and models that the logic holds.
            drop(self.jobs.send(job));
        }
    }

    fn refused(&self, request: &Request, refusal: Refusal) -> ToRouter {
        ToRouter::Refused {
            stream: request.end.stream,
            reason: refusal.reason,
            retry_after_ms: refusal.retry_after.as_millis() as u64,
            load: self.agent.load(),
        }
    }

    fn fence(&self, weights: &Weights, snapshot: &Snapshot) -> u64 {
        let slot = snapshot.state.slots.owned(&weights.model, &self.target);
        slot.map_or(snapshot.state.next, |slot| slot.assigned)
    }
}
