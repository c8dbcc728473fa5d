//! Collects the planner's inputs and publishes its plans to the agents.

use crate::router;
use corianderstand_fleet::{config, health, plan, snapshot, targets};
use corianderstand_schema::peers::{self as wire, PeerMessage};
use corianderstand_types::names;
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Interval at which an unchanged plan is sent again, as a datagram may be lost.
const PLAN_RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the planner and remembers which plan each engine was last sent.
#[derive(Default)]
pub struct PlanPublisher {
    planner: plan::Planner,
    last_plan_serial: u64,
    last_sent_plans: HashMap<targets::TargetKey, (Instant, Vec<wire::PlanPart>)>,
}

impl PlanPublisher {
    /// Creates a publisher whose planner starts with a warm-up phase.
    pub fn new(now: Instant) -> Self {
        Self { planner: plan::Planner::with_warm_up(now), ..Self::default() }
    }

    /// Sends each agent its engine's plan if it is new or due for resending.
    pub fn publish<P: router::Platform>(&mut self, shared: &router::Shared<P>, now: Instant) {
        let view = shared.view.borrow();
        let Some(table) = view.route_table.clone() else { return };
        drop(view);
        for service in &table.config().services {
            if let Some(engine) = &service.engine {
                self.plan_service(shared, now, service, engine);
            }
        }
    }

    fn plan_service<P: router::Platform>(
        &mut self,
        shared: &router::Shared<P>,
        now: Instant,
        service: &config::Service,
        spec: &config::Engine,
    ) {
        let engines = engine_views(shared, now, &service.name, spec);
        let models = model_views(shared, now, spec);
        let planned = self.planner.plan(now, &engines, &models);
        // Agents without a report are included, as their first plan contains the routers' addresses.
        for engine in &engines {
            let Some(planned) = planned.get(&engine.key) else { continue };
            let parts = plan_parts(engine, planned, &models);
            let unchanged = self.last_sent_plans.get(&engine.key).is_some_and(|(at, sent)| {
                *sent == parts && now.saturating_duration_since(*at) < PLAN_RESEND_INTERVAL
            });
            if !unchanged {
                self.last_plan_serial += 1;
                send_plan(shared, self.last_plan_serial, engine, (service, spec), parts.clone());
                self.last_sent_plans.insert(engine.key, (now, parts));
            }
        }
        self.last_sent_plans.retain(|key, _| engines.iter().any(|engine| engine.key == *key));
    }
}

fn engine_views<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    service: &names::ServiceId,
    spec: &config::Engine,
) -> Vec<snapshot::EngineView> {
    let view = shared.view.borrow();
    let peers = shared.peers.borrow();
    let mut running: HashMap<&names::TargetId, BTreeMap<names::ModelId, u32>> = HashMap::new();
    for count in peers.updates(now).flat_map(|update| &update.running) {
        let models = running.entry(&count.target).or_default();
        *models.entry(count.model.clone()).or_default() += count.count;
    }
    let engines = view.targets.iter().filter(|(_, target)| {
        target.entry.service == *service
            && target.accepts_requests(now)
            && (target.agent_is_responsive(now)
                || target.health.failure_score(now) < health::EJECTION_THRESHOLD)
    });
    let engines = engines.map(|(key, target)| {
        let mut running = running.remove(&target.entry.id).unwrap_or_default();
        for (model, count) in target.running() {
            *running.entry(model).or_default() += count;
        }
        snapshot::EngineView {
            key,
            accepts_commands: target.agent_is_responsive(now),
            weights_mb: spec.weights_mb,
            slots: target.entry.slots,
            adapter_slots: spec.adapter_slots,
            holdings: target.entry.holdings.clone(),
            ongoing: target.ongoing.clone(),
            request_limit: target.request_limit.map(|limit| limit.per_s),
            running,
        }
    });
    engines.collect()
}

fn model_views<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    spec: &config::Engine,
) -> BTreeMap<names::ModelId, snapshot::ModelView> {
    let view = shared.view.borrow();
    let peer_demand = shared.peers.borrow().demand(now);
    let models = spec.models.iter().map(|model| {
        let (demand, waiting) = peer_demand.get(&model.name).copied().unwrap_or_default();
        let local_waiting = view.waiting_requests.get(&model.name).copied().unwrap_or(0);
        let demand = demand.combine(view.demand.model_demand(now, &model.name));
        (
            model.name.clone(),
            snapshot::ModelView { spec: model.clone(), demand, waiting: waiting + local_waiting },
        )
    });
    models.collect()
}

/// Lists the planned models and those that are still resident, with their sizes and load times.
fn plan_parts(
    engine: &snapshot::EngineView,
    planned: &[names::ModelId],
    models: &BTreeMap<names::ModelId, snapshot::ModelView>,
) -> Vec<wire::PlanPart> {
    let unplanned = engine.holdings.resident.iter().map(|resident| &resident.model);
    let unplanned = unplanned.filter(|name| !planned.contains(name));
    let millis = |time: Duration| time.as_millis() as u32;
    let parts = planned.iter().chain(unplanned).filter_map(|name| {
        let spec = &models.get(name)?.spec;
        Some(wire::PlanPart {
            model: name.clone(),
            weights_mb: spec.weights_mb,
            adapter_mb: spec.adapter_mb,
            wanted: planned.contains(name),
            load_ms: millis(spec.load_from_store),
            disk_ms: millis(spec.load_from_disk),
            memory_ms: millis(spec.load_from_memory),
        })
    });
    parts.collect()
}

fn send_plan<P: router::Platform>(
    shared: &router::Shared<P>,
    serial: u64,
    engine: &snapshot::EngineView,
    (service, spec): (&config::Service, &config::Engine),
    parts: Vec<wire::PlanPart>,
) {
    let view = shared.view.borrow();
    let Some(target) = view.targets.get(engine.key) else { return };
    let agent = SocketAddr::new(target.entry.addr.ip(), shared.settings.agent_port);
    let peers = shared.peers.borrow();
    let routers = [shared.settings.peer_addr].into_iter().chain(peers.addresses());
    let plan = wire::EnginePlan {
        planner: shared.settings.name.as_str().into(),
        strength: shared.settings.cpu_millicores,
        serial,
        target: target.entry.id.clone(),
        health_path: service.health_path.clone(),
        weights_mb: spec.weights_mb,
        adapter_places: spec.adapter_slots as u32,
        parts,
        routers: routers.map(|addr| addr.to_string().into()).collect(),
    };
    tracing::trace!(target = %plan.target, serial, "plan sent");
    shared.outbox.send(agent, &PeerMessage::EnginePlan(plan));
}
