//! A router's local view of the fleet, and notifications of its changes.

use crate::continuations;
use corianderstand_fleet::{
    choose, config, demand, prefixes, routes, snapshot, targets, wait_limit,
};
use corianderstand_types::names;
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Instant,
};
use tokio::sync::Notify;

/// A router's view of the fleet, owned by a single thread.
#[derive(Default)]
pub struct View {
    /// The configuration in force, once one is known.
    pub route_table: Option<Rc<routes::Table>>,
    /// The known targets.
    pub targets: targets::Targets,
    /// Demand for models at this router.
    pub demand: demand::Demand,
    /// Number of requests that wait for each model.
    pub waiting_requests: BTreeMap<names::ModelId, u32>,
    /// Which target has which prompt prefixes cached.
    pub cached_prefixes: prefixes::Prefixes,
    wakers: HashMap<names::ModelId, Rc<Notify>>,
    targets_changed: Rc<Notify>,
}

impl View {
    /// Returns a handle notified when `model` becomes available, or any target if it is none.
    pub fn waker(&mut self, model: Option<&names::ModelId>) -> Rc<Notify> {
        match model {
            Some(model) => self.wakers.entry(model.clone()).or_default().clone(),
            None => self.targets_changed.clone(),
        }
    }

    /// Wakes the requests that wait for a model.
    pub fn wake(&self, model: &names::ModelId) {
        if let Some(waker) = self.wakers.get(model) {
            waker.notify_waiters();
        }
    }

    /// Wakes all waiting requests.
    pub fn wake_all(&self) {
        self.targets_changed.notify_waiters();
        self.wakers.values().for_each(|waker| waker.notify_waiters());
    }

    /// Returns the configuration of a service.
    pub fn service(&self, name: &names::ServiceId) -> Option<&config::Service> {
        self.route_table.as_ref()?.config().service(name)
    }

    /// Estimates when an engine can load an adapter; it executes one command at a time.
    pub fn adapter_readiness(
        &self,
        now: Instant,
        key: targets::TargetKey,
    ) -> wait_limit::Readiness {
        match self.targets.get(key).and_then(|target| target.ongoing_command(now)) {
            Some(targets::OngoingCommand::Loading { ready_at, .. }) => {
                wait_limit::Readiness::ReadyAt(*ready_at)
            }
            Some(targets::OngoingCommand::Unloading { .. }) | None => {
                wait_limit::Readiness::AtCapacity
            }
        }
    }

    /// Estimates when a model is ready on any engine of a service that may serve the request.
    pub fn model_readiness(
        &self,
        now: Instant,
        service: &names::ServiceId,
        requested: Option<&choose::RequestedModel>,
        progress: &continuations::Progress,
    ) -> wait_limit::Readiness {
        let Some(requested) = requested else { return wait_limit::Readiness::Unknown };
        let spec = self.service(service).and_then(|service| service.engine.as_ref());
        let Some(model) = spec.and_then(|engine| engine.model(&requested.model)) else {
            return wait_limit::Readiness::Unknown;
        };
        let mut fastest: Option<std::time::Duration> = None;
        for (key, target) in self.targets.iter() {
            let is_usable = target.accepts_requests(now) && progress.allows(target);
            if target.entry.service != *service || !is_usable {
                continue;
            }
            if target.serves(now, &requested.model) {
                return wait_limit::Readiness::AtCapacity;
            }
            if let Some(targets::OngoingCommand::Loading { model, ready_at, .. }) =
                target.ongoing_command(now)
                && *model == requested.model
            {
                return wait_limit::Readiness::ReadyAt(*ready_at);
            }
            let view = snapshot::EngineView {
                key,
                accepts_commands: true,
                weights_mb: 0,
                slots: 0,
                adapter_slots: 0,
                holdings: target.entry.holdings.clone(),
                ongoing: None,
                request_limit: None,
                speed: 1.0,
                is_leaving: false,
                running: BTreeMap::new(),
            };
            let (time, _) = snapshot::load_source(&view, model);
            fastest = Some(fastest.map_or(time, |least| least.min(time)));
        }
        // Models are loaded where requests of any version need them, not for the rest of a stream.
        let fastest = fastest.filter(|_| *progress == continuations::Progress::Fresh);
        fastest.map_or(wait_limit::Readiness::Unknown, wait_limit::Readiness::LoadTime)
    }
}
