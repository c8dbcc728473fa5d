//! The `decide` thread: feeds events to the pure logic and hands on what it decides.

use crate::{
    event::{Call, Command, Event, Update},
    link,
};
use corianderstand_control::{
    metrics::{Metric, Metrics},
    snapshot::{Current, Hosts, Snapshot},
};
use corianderstand_decide::{
    router::{Decision, Router, TargetKey},
    work::{Refusal, RequestKey},
};
use corianderstand_schema::messages::{Load, RefusalReason};
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
    pub current: Current,
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
            let leaving = self.hosts.leaving.contains(&target.record.host);
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
        known.is_some_and(|known| snapshot.hosts.leaving.contains(&known.record.host))
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
            Event::Lost(key) => self.lost(key),
        }
    }

    /// The connection broke before anything of the answer came. A request that may be repeated
    /// goes to another target; of others it is not known whether they ran.
    fn lost(&mut self, key: RequestKey) {
        let Some(call) = self.calls.get(&key) else { return };
        let reason = RefusalReason::NotLoaded;
        let refusal = Refusal { reason, retry_after: RETRY_LOST };
        match self.router.lost(self.clock.now(), key, refusal) {
            Some(decision) => self.perform(key, decision),
            None => {
                drop(call.reply.try_send(Update::Lost));
                self.calls.remove(&key);
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
                    drop(call.reply.try_send(Update::Refused(refusal)));
                }
            }
        }
    }

    fn send(&mut self, key: RequestKey, target: TargetKey) {
        let name = self.router.target_state(target).map(|target| target.name.clone());
        let connection = name.and_then(|name| self.connections.get(&name));
        let (Some(connection), Some(call)) = (connection, self.calls.get(&key)) else { return };
        let mut call = call.clone();
        call.open.stream = link::stream_of(key);
        // The target may fold the slot a little later than this router did; it waits for this.
        call.open.as_of = self.versions.1.max(self.versions.2);
        if connection.try_send(Command::Open(Box::new(call))).is_err() {
            // The connection is gone or far behind: its ring is as good as a refusal.
            let refusal = Refusal { reason: RefusalReason::QueueFull, retry_after: RETRY_LOST };
            let load = Load { running: 0, queued: 0, wait_ms: 0 };
            let decision = self.router.refused(self.clock.now(), key, refusal, load);
            self.perform_again(key, decision);
        }
    }
}
