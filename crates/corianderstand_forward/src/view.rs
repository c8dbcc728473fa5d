//! A router's local view of the fleet, and notifications of its changes.

use crate::{continuations, pacing, rooms};
use corianderstand_fleet::{
    choose, config, demand, pace, prefixes, routes, snapshot, targets, wait_limit,
};
use corianderstand_types::names;
use std::{collections::BTreeMap, rc::Rc, time::Instant};
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
    /// Size of the events of streams.
    pub event_size: pace::EventSize,
    /// Usual times of services.
    pub service_paces: pacing::Services,
    /// Number of requests that wait for each model.
    pub waiting_requests: BTreeMap<names::ModelId, u32>,
    /// Which target has which prompt prefixes cached.
    pub cached_prefixes: prefixes::Prefixes,
    /// Requests that wait for targets.
    pub rooms: Rc<rooms::Rooms>,
    targets_changed: Rc<Notify>,
}

impl View {
    /// Returns a handle notified when the configuration or the targets change.
    pub fn changed(&self) -> Rc<Notify> {
        self.targets_changed.clone()
    }

    /// Calls the requests that wait for any target.
    pub fn wake_all(&self, now: Instant) {
        self.targets_changed.notify_waiters();
        self.rooms.wake_all(now);
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
