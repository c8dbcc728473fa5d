//! The `decide` thread: passes events to the routing logic and executes its decisions.

use crate::{
    event::{Call, Command, Event, REPLY_EXTRA_CAPACITY, Update},
    link,
};
use corianderstand_control::{
    metrics::{Metric, Metrics},
    snapshot::{CurrentSnapshot, Hosts, Snapshot},
};
use corianderstand_decide::{
    request::{Refusal, RequestKey},
    router::{Decision, Router, TargetKey},
};
use corianderstand_schema::messages::{Load, Operation, RefusalReason};
use corianderstand_types::{
    clock::SharedClock,
    names::{ModelId, ServiceId, TargetId},
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc::{Receiver, RecvTimeoutError},
    },
    time::Duration,
};
use tokio::sync::mpsc;

const SNAPSHOT_POLL_INTERVAL: Duration = Duration::from_millis(100);
const LOST_RETRY_AFTER: Duration = Duration::from_millis(500);

/// State of the `decide` thread.
pub struct Decider {
    pub router: Router,
    pub current: CurrentSnapshot,
    pub clock: SharedClock,
    pub calls: HashMap<RequestKey, Call>,
    pub connections: HashMap<TargetId, mpsc::Sender<Command>>,
    /// Log versions of the targets, replica slots and settings last passed to `router`.
    pub applied_versions: (u64, u64, u64),
    pub hosts: std::sync::Arc<Hosts>,
    /// Targets whose agents reported that they are draining.
    pub reported_draining: BTreeSet<TargetId>,
    pub in_flight: std::sync::Arc<AtomicUsize>,
    pub metrics: Metrics,
}

impl Decider {
    /// Runs until all event senders are dropped.
    pub fn run(mut self, events: &Receiver<Event>) {
        loop {
            let event = events.recv_timeout(SNAPSHOT_POLL_INTERVAL);
            self.refresh();
            match event {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.in_flight.store(self.calls.len(), Ordering::Relaxed);
        }
    }

    fn refresh(&mut self) {
        let snapshot = self.current.load();
        let state = &snapshot.state;
        let versions = (state.targets.version, state.slots.version, state.documents.version);
        if versions == self.applied_versions && self.hosts == snapshot.hosts {
            return;
        }
        self.applied_versions = versions;
        self.hosts = snapshot.hosts.clone();
        self.refresh_targets(&snapshot);
        let mut serving_targets: BTreeMap<ModelId, Vec<TargetKey>> = BTreeMap::new();
        for (slot, owner) in &state.slots.by_key {
            if let Some(key) = self.router.target(&owner.target) {
                serving_targets.entry(slot.model.clone()).or_default().push(key);
            }
        }
        self.router.set_replica_slot_owners(serving_targets);
    }

    fn refresh_targets(&mut self, snapshot: &Snapshot) {
        let targets = &snapshot.state.targets.by_name;
        let names: Vec<TargetId> = self.router.targets().map(|t| t.name.clone()).collect();
        for name in names.iter().filter(|name| !targets.contains_key(*name)) {
            self.router.remove_target(name);
            self.reported_draining.remove(name);
        }
        let mut services: BTreeMap<ServiceId, Vec<TargetKey>> = BTreeMap::new();
        for (name, target) in targets {
            let key = self.router.add_target(name, &target.record.place);
            self.router.set_connected(key, self.connections.contains_key(name));
            // The host list may report a leaving host before its agent does.
            let leaving = target.leaving || self.hosts.leaving.contains(&target.record.host);
            self.router.set_draining(key, leaving || self.reported_draining.contains(name));
            if let Some(service) = &target.record.service {
                services.entry(service.clone()).or_default().push(key);
            }
        }
        self.router.set_services(services);
    }

    fn is_leaving(&self, target: &TargetId) -> bool {
        let snapshot = self.current.load();
        let known = snapshot.state.targets.by_name.get(target);
        known.is_some_and(|known| {
            known.leaving || snapshot.hosts.leaving.contains(&known.record.host)
        })
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Submit(submitted) => {
                let (spec, call) = *submitted;
                let (key, decision) = self.router.submit(now, spec);
                self.calls.insert(key, call);
                self.execute(key, decision);
            }
            Event::Connected { target, is_draining: draining, commands } => {
                self.connections.insert(target.clone(), commands);
                if draining {
                    self.reported_draining.insert(target.clone());
                } else {
                    self.reported_draining.remove(&target);
                }
                if let Some(key) = self.router.target(&target) {
                    self.router.set_connected(key, true);
                    self.router.set_draining(key, draining || self.is_leaving(&target));
                }
            }
            Event::Disconnected(target) => {
                self.metrics.count(Metric::RouterLost, 1);
                self.connections.remove(&target);
                if let Some(key) = self.router.target(&target) {
                    self.router.set_connected(key, false);
                }
            }
            Event::Draining(target) => {
                self.reported_draining.insert(target.clone());
                if let Some(key) = self.router.target(&target) {
                    self.router.set_draining(key, true);
                }
            }
            Event::Refused { key, refusal, load } => {
                if self.calls.contains_key(&key) {
                    let decision = self.router.refused(now, key, refusal, load);
                    self.execute_retry(key, decision);
                }
            }
            Event::Ended { key, load } => {
                self.calls.remove(&key);
                self.router.finished(now, key, load);
            }
            Event::Lost { key, position, failed } => self.on_target_lost(key, position, failed),
        }
    }

    /// Resumes a repeatable request at another target, or reports the loss to the handler.
    fn on_target_lost(&mut self, key: RequestKey, position: u64, failed: bool) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        call.open_message.position = call.open_message.position.max(position);
        // The handler's channel still holds updates that it has not read.
        call.open_message.window =
            call.update_tx.capacity().saturating_sub(REPLY_EXTRA_CAPACITY) as u64;
        let reason = RefusalReason::NotLoaded;
        let refusal = Refusal { reason, retry_after: LOST_RETRY_AFTER };
        match self.router.connection_lost(self.clock.now(), key, refusal) {
            Some(decision @ Decision::Send(_)) => self.execute(key, decision),
            Some(Decision::Refuse(_)) | None => {
                if let Some(call) = self.calls.remove(&key) {
                    drop(call.update_tx.try_send(Update::Lost { target_failed: failed }));
                }
            }
        }
    }

    fn execute_retry(&mut self, key: RequestKey, decision: Decision) {
        if matches!(decision, Decision::Send(_)) {
            self.metrics.count(Metric::RouterRetries, 1);
        }
        self.execute(key, decision);
    }

    fn execute(&mut self, key: RequestKey, decision: Decision) {
        match decision {
            Decision::Send(target) => self.send(key, target),
            Decision::Refuse(refusal) => {
                if let Some(call) = self.calls.remove(&key) {
                    let transient =
                        self.is_transient_refusal(&call.open_message.operation, refusal.reason);
                    drop(
                        call.update_tx
                            .try_send(Update::Refused { refusal, is_transient: transient }),
                    );
                }
            }
        }
    }

    /// Whether a refusal is due to a planned replica that is stopping, restarting or moving, so
    /// that its callers should wait.
    fn is_transient_refusal(&self, operation: &Operation, reason: RefusalReason) -> bool {
        if !matches!(reason, RefusalReason::Draining | RefusalReason::NotLoaded) {
            return false;
        }
        let snapshot = self.current.load();
        let (expected, serving_targets): (usize, Vec<&TargetId>) = match operation {
            Operation::Completion { model, .. } | Operation::Chat { model, .. } => {
                let slots = snapshot.state.slots.by_key.iter();
                let slots = slots.filter(|(slot, _)| slot.model == *model);
                let serving_targets = slots.map(|(_, slot)| &slot.target).collect();
                (snapshot.view.replicas(model) as usize, serving_targets)
            }
            Operation::Call { service, .. } => {
                let targets = snapshot.state.targets.by_name.iter();
                let providers = targets.filter(|(_, t)| t.record.service.as_ref() == Some(service));
                (1, providers.map(|(name, _)| name).collect())
            }
        };
        let serves = |name: &&&TargetId| {
            let target = self.router.target(name).and_then(|key| self.router.target_state(key));
            target.is_some_and(|target| target.connected && !target.draining)
        };
        serving_targets.iter().filter(serves).count() < expected.max(serving_targets.len())
    }

    fn send(&mut self, key: RequestKey, target: TargetKey) {
        let name = self.router.target_state(target).map(|target| target.name.clone());
        let connection = name.and_then(|name| self.connections.get(&name));
        let Some(mut call) = self.calls.get(&key).cloned() else { return };
        call.open_message.stream = link::stream_id(key);
        // An agent whose state is older waits until it has read this log version.
        call.open_message.as_of = self.applied_versions.1.max(self.applied_versions.2);
        let open = Command::Open(Box::new(call));
        if connection.is_none_or(|connection| connection.try_send(open).is_err()) {
            // A closed connection or a full command queue counts as a refusal.
            let refusal =
                Refusal { reason: RefusalReason::QueueFull, retry_after: LOST_RETRY_AFTER };
            let load = Load { running: 0, queued: 0, wait_ms: 0 };
            let decision = self.router.refused(self.clock.now(), key, refusal, load);
            self.execute_retry(key, decision);
        }
    }
}
