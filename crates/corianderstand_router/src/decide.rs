//! The `decide` thread: feeds events to the pure logic and hands on what it decides.

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

/// Longest time between two looks at the snapshot.
const LONGEST_WAIT: Duration = Duration::from_millis(100);
/// When to come back after the connection to the only target broke.
const RETRY_LOST: Duration = Duration::from_millis(500);

/// The thread's state.
pub struct Decider {
    /// The pure logic.
    pub router: Router,
    /// Snapshots.
    pub current: CurrentSnapshot,
    /// Time.
    pub clock: SharedClock,
    /// Requests held, so that they can be sent to a second target.
    pub calls: HashMap<RequestKey, Call>,
    /// Connections that are up.
    pub connections: HashMap<TargetId, mpsc::Sender<Command>>,
    /// Versions of the targets, slots and settings that the logic knows.
    pub versions: (u64, u64, u64),
    /// Hosts that the logic knows.
    pub hosts: std::sync::Arc<Hosts>,
    /// Targets whose agents said that they take no new work.
    pub told: BTreeSet<TargetId>,
    /// Requests held, for the limit and for a planned stop.
    pub held: std::sync::Arc<AtomicUsize>,
    /// Where measures go.
    pub metrics: Metrics,
}

impl Decider {
    /// Runs until all senders of events are gone.
    pub fn run(mut self, events: &Receiver<Event>) {
        loop {
            let event = events.recv_timeout(LONGEST_WAIT);
            self.refresh();
            match event {
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.held.store(self.calls.len(), Ordering::Relaxed);
        }
    }

    fn refresh(&mut self) {
        let snapshot = self.current.load();
        let state = &snapshot.state;
        let versions = (state.targets.version, state.slots.version, state.documents.version);
        if versions == self.versions && self.hosts == snapshot.hosts {
            return;
        }
        self.versions = versions;
        self.hosts = snapshot.hosts.clone();
        self.refresh_targets(&snapshot);
        let mut owners: BTreeMap<ModelId, Vec<TargetKey>> = BTreeMap::new();
        for (slot, owner) in &state.slots.by_key {
            if let Some(key) = self.router.target(&owner.target) {
                owners.entry(slot.model.clone()).or_default().push(key);
            }
        }
        self.router.set_owners(owners);
    }

    fn refresh_targets(&mut self, snapshot: &Snapshot) {
        let targets = &snapshot.state.targets.by_name;
        let names: Vec<TargetId> = self.router.targets().map(|t| t.name.clone()).collect();
        for name in names.iter().filter(|name| !targets.contains_key(*name)) {
            self.router.remove_target(name);
            self.told.remove(name);
        }
        let mut services: BTreeMap<ServiceId, Vec<TargetKey>> = BTreeMap::new();
        for (name, target) in targets {
            let key = self.router.add_target(name, &target.record.place);
            self.router.set_connected(key, self.connections.contains_key(name));
            // The host list may tell a router before the agent does, or while it cannot.
            let leaving = target.leaving || self.hosts.leaving.contains(&target.record.host);
            self.router.set_draining(key, leaving || self.told.contains(name));
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

    fn take(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Submit(submitted) => {
                let (work, call) = *submitted;
                let (key, decision) = self.router.submit(now, work);
                self.calls.insert(key, call);
                self.perform(key, decision);
            }
            Event::Connected { target, draining, commands } => {
                self.connections.insert(target.clone(), commands);
                if draining {
                    self.told.insert(target.clone());
                } else {
                    self.told.remove(&target);
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
                self.told.insert(target.clone());
                if let Some(key) = self.router.target(&target) {
                    self.router.set_draining(key, true);
                }
            }
            Event::Refused { key, refusal, load } => {
                if self.calls.contains_key(&key) {
                    let decision = self.router.refused(now, key, refusal, load);
                    self.perform_again(key, decision);
                }
            }
            Event::Ended { key, load } => {
                self.calls.remove(&key);
                self.router.finished(now, key, load);
            }
            Event::Lost { key, position, failed } => self.lost(key, position, failed),
        }
    }

    /// A request's target was lost before its answer was whole. A request that may be repeated
    /// goes on at another target, from the position reached; of others it is not known whether
    /// they ran. Where no other target takes it up now, its handler decides.
    fn lost(&mut self, key: RequestKey, position: u64, failed: bool) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        call.open.position = call.open.position.max(position);
        // What the handler has not read yet fills its ring; it gives credit for the rest.
        call.open.window = call.reply.capacity().saturating_sub(REPLY_EXTRA_CAPACITY) as u64;
        let reason = RefusalReason::NotLoaded;
        let refusal = Refusal { reason, retry_after: RETRY_LOST };
        match self.router.connection_lost(self.clock.now(), key, refusal) {
            Some(decision @ Decision::Send(_)) => self.perform(key, decision),
            Some(Decision::Refuse(_)) | None => {
                if let Some(call) = self.calls.remove(&key) {
                    drop(call.reply.try_send(Update::Lost { failed }));
                }
            }
        }
    }

    /// As [`Self::perform`], for a request that was with a target already.
    fn perform_again(&mut self, key: RequestKey, decision: Decision) {
        if matches!(decision, Decision::Send(_)) {
            self.metrics.count(Metric::RouterRetries, 1);
        }
        self.perform(key, decision);
    }

    fn perform(&mut self, key: RequestKey, decision: Decision) {
        match decision {
            Decision::Send(target) => self.send(key, target),
            Decision::Refuse(refusal) => {
                if let Some(call) = self.calls.remove(&key) {
                    let moving = self.is_moving(&call.open.operation, refusal.reason);
                    drop(call.reply.try_send(Update::Refused { refusal, moving }));
                }
            }
        }
    }

    /// Whether a refusal comes from a replica that is out of service for a moment: decided for,
    /// but stopping, restarting or moving. Its callers wait a little rather than see an error.
    fn is_moving(&self, operation: &Operation, reason: RefusalReason) -> bool {
        if !matches!(reason, RefusalReason::Draining | RefusalReason::NotLoaded) {
            return false;
        }
        let snapshot = self.current.load();
        let (wanted, owners): (usize, Vec<&TargetId>) = match operation {
            Operation::Completion { model, .. } | Operation::Chat { model, .. } => {
                let slots = snapshot.state.slots.by_key.iter();
                let slots = slots.filter(|(slot, _)| slot.model == *model);
                let owners = slots.map(|(_, owner)| &owner.target).collect();
                (snapshot.view.replicas(model) as usize, owners)
            }
            Operation::Call { service, .. } => {
                let targets = snapshot.state.targets.by_name.iter();
                let offers = targets.filter(|(_, t)| t.record.service.as_ref() == Some(service));
                (1, offers.map(|(name, _)| name).collect())
            }
        };
        let serves = |name: &&&TargetId| {
            let target = self.router.target(name).and_then(|key| self.router.target_state(key));
            target.is_some_and(|target| target.connected && !target.draining)
        };
        owners.iter().filter(serves).count() < wanted.max(owners.len())
    }

    fn send(&mut self, key: RequestKey, target: TargetKey) {
        let name = self.router.target_state(target).map(|target| target.name.clone());
        let connection = name.and_then(|name| self.connections.get(&name));
        let Some(mut call) = self.calls.get(&key).cloned() else { return };
        call.open.stream = link::stream_id(key);
        // The target may fold the slot a little later than this router did; it waits for this.
        call.open.as_of = self.versions.1.max(self.versions.2);
        let open = Command::Open(Box::new(call));
        if connection.is_none_or(|connection| connection.try_send(open).is_err()) {
            // The connection is gone or far behind: its ring is as good as a refusal.
            let refusal = Refusal { reason: RefusalReason::QueueFull, retry_after: RETRY_LOST };
            let load = Load { running: 0, queued: 0, wait_ms: 0 };
            let decision = self.router.refused(self.clock.now(), key, refusal, load);
            self.perform_again(key, decision);
        }
    }
}
