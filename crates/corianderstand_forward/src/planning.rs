//! The router that plans: what it sees of engines and models, and the plans that it sends.

use crate::router;
use corianderstand_fleet::{config, health, plan, snapshot, targets};
use corianderstand_schema::peers::{self as wire, PeerMessage};
use corianderstand_types::names;
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// A plan that has not changed is said again after this time, in case it was lost, and so that
/// agents know that the planner is there.
const REPEAT_PLAN: Duration = Duration::from_millis(500);

/// What the planning router remembers.
#[derive(Default)]
pub struct Planning {
    planner: plan::Planner,
    serial: u64,
    sent: HashMap<targets::TargetKey, (Instant, Vec<wire::PlanPart>)>,
}

impl Planning {
    /// The planning of a router that starts now.
    pub fn starting(now: Instant) -> Self {
        Self { planner: plan::Planner::with_warm_up(now), ..Self::default() }
    }

    /// Makes a plan for each service with engines, and tells agents what is new to them.
    pub fn plan<P: router::Platform>(&mut self, shared: &router::Shared<P>, now: Instant) {
        let view = shared.view.borrow();
        let Some(table) = view.table.clone() else { return };
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
        let engines = engines(shared, now, &service.name, spec);
        let models = models(shared, now, spec);
        let wants = self.planner.plan(now, &engines, &models);
        // An agent that was not heard yet learns from its first plan whom to tell of its engine.
        for engine in &engines {
            let Some(wants) = wants.get(&engine.key) else { continue };
            let parts = parts(engine, wants, &models);
            let same = self.sent.get(&engine.key).is_some_and(|(at, sent)| {
                *sent == parts && now.saturating_duration_since(*at) < REPEAT_PLAN
            });
            if !same {
                self.serial += 1;
                send_plan(shared, self.serial, engine, (service, spec), parts.clone());
                self.sent.insert(engine.key, (now, parts));
            }
        }
        self.sent.retain(|key, _| engines.iter().any(|engine| engine.key == *key));
    }
}

fn engines<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    service: &names::ServiceId,
    spec: &config::Engine,
) -> Vec<snapshot::EngineView> {
    let view = shared.view.borrow();
    let peers = shared.peers.borrow();
    let mut running: HashMap<&names::TargetId, BTreeMap<names::ModelId, u32>> = HashMap::new();
    for count in peers.updates(now).flat_map(|news| &news.running) {
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
            running,
        }
    });
    engines.collect()
}

fn models<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    spec: &config::Engine,
) -> BTreeMap<names::ModelId, snapshot::ModelView> {
    let view = shared.view.borrow();
    let others = shared.peers.borrow().demand(now);
    let models = spec.models.iter().map(|model| {
        let (asked, waiting) = others.get(&model.name).copied().unwrap_or_default();
        let own = view.waiting.get(&model.name).copied().unwrap_or(0);
        let asked = asked.combine(view.demand.model_demand(now, &model.name));
        (
            model.name.clone(),
            snapshot::ModelView { spec: model.clone(), demand: asked, waiting: waiting + own },
        )
    });
    models.collect()
}

/// What an agent is told: sizes of all that is there or should be.
fn parts(
    engine: &snapshot::EngineView,
    wants: &[names::ModelId],
    models: &BTreeMap<names::ModelId, snapshot::ModelView>,
) -> Vec<wire::PlanPart> {
    let held = engine.holdings.resident.iter().map(|resident| &resident.model);
    let held = held.filter(|name| !wants.contains(name));
    let millis = |time: Duration| time.as_millis() as u32;
    let parts = wants.iter().chain(held).filter_map(|name| {
        let spec = &models.get(name)?.spec;
        Some(wire::PlanPart {
            model: name.clone(),
            weights_mb: spec.weights_mb,
            adapter_mb: spec.adapter_mb,
            wanted: wants.contains(name),
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
    let routers = [shared.settings.peers].into_iter().chain(peers.addresses());
    let plan = wire::EnginePlan {
        planner: shared.settings.name.as_str().into(),
        strength: shared.settings.strength,
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
