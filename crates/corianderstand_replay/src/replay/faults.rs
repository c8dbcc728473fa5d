//! Host loss: fails over its requests and reassigns its slots.

use super::{Event, Replay, owned_models};
use crate::engines::InFlightRequest;
use corianderstand_decide::request::Refusal;
use corianderstand_schema::messages::RefusalReason;
use corianderstand_types::names::ModelId;
use std::time::Duration;

/// Delay until the loss is detected and the slots are reassigned.
const REASSIGN_DELAY: Duration = Duration::from_secs(12);
/// `retry_after` for a request that lost its only target.
const RETRY_AFTER_LOSS: Duration = Duration::from_millis(500);

impl Replay<'_> {
    pub(super) fn on_host_lost(&mut self, engine: usize) {
        let elapsed = self.clock.elapsed();
        self.engines[engine].accumulate_idle(elapsed);
        self.engines[engine].alive = false;
        self.store.cancel_loads(elapsed, engine);
        let (name, key) = (self.engines[engine].spec.name.clone(), self.target_keys[engine]);
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.remove_target(&name);
        }
        self.routers.iter_mut().for_each(|router| router.set_connected(key, false));
        let in_flight = std::mem::take(&mut self.engines[engine].in_flight);
        let mut in_flight: Vec<InFlightRequest> = in_flight.into_values().collect();
        in_flight.sort_by_key(|request| request.caller);
        for request in in_flight {
            self.fail_over(request);
        }
        self.schedule(elapsed + REASSIGN_DELAY, Event::SlotsReassigned(engine));
        self.schedule_load_grants(elapsed);
    }

    fn fail_over(&mut self, request: InFlightRequest) {
        let refusal = Refusal { reason: RefusalReason::NotLoaded, retry_after: RETRY_AFTER_LOSS };
        let now = self.now();
        match self.routers[request.router].connection_lost(now, request.key, refusal) {
            Some(decision) => self.dispatch(request.caller, request.router, request.key, decision),
            None => {
                self.callers[request.caller].is_pending = false;
                self.outcome.broken += 1;
            }
        }
    }

    pub(super) fn reassign_slots(&mut self, lost_engine: usize) {
        let models: Vec<ModelId> = self.slots.keys().cloned().collect();
        for model in models {
            let owners = &self.slots[&model];
            if !owners.contains(&lost_engine) {
                continue;
            }
            let count =
                |engine: usize| self.slots.values().flatten().filter(|e| **e == engine).count();
            let free =
                (0..self.engines.len()).filter(|e| self.engines[*e].alive && !owners.contains(e));
            let chosen = free.min_by_key(|engine| (count(*engine), *engine));
            let owners = self.slots.get_mut(&model).expect("models come from the same map");
            owners.retain(|engine| *engine != lost_engine);
            owners.extend(chosen);
        }
        for engine in 0..self.engines.len() {
            let slots = owned_models(&self.slots, engine);
            self.engines[engine].agent.set_replica_slots(slots);
        }
        self.publish_owners();
    }
}
