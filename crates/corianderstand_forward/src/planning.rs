//! Collects the planner's inputs and publishes its plans to the agents.

use crate::{pacing, peers, router};
use corianderstand_fleet::{config, features, health, plan, snapshot, targets};
use corianderstand_schema::peers::{self as wire, PeerMessage};
use corianderstand_types::names;
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Intervals at which a plan is renewed, or sent again if its agent does not confirm it.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(500);
const MAX_RENEW_INTERVAL: Duration = Duration::from_millis(1_000);
/// Bounds the messages of a planner with many engines.
const RENEW_INTERVAL_PER_ENGINE: Duration = Duration::from_micros(1_600);
/// Longer than the interval between an agent's reports.
const CONFIRMATION_TTL: Duration = Duration::from_millis(1_200);
/// Serial numbers of one planner's plans, which begin at its start time: they must differ from another's.
const SERIAL_BITS: u32 = 20;

#[derive(Debug)]
struct SentPlan {
    at: Instant,
    serial: u64,
    parts: Vec<wire::PlanPart>,
    recipients: Rc<peers::FanOut>,
}

/// Runs the planner and remembers which plan each engine was last sent.
#[derive(Default)]
pub struct PlanPublisher {
    planner: plan::Planner,
    last_plan_serial: u64,
    last_sent_plans: HashMap<targets::TargetKey, SentPlan>,
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
        self.planner.set_options(options(shared, service, spec));
        self.planner.plan(now, &engines, &models);
        record_placements(shared, service, self.planner.placed());
        let planned = self.planner.desired();
        let renew_interval = (RENEW_INTERVAL_PER_ENGINE * engines.len() as u32)
            .clamp(MIN_RENEW_INTERVAL, MAX_RENEW_INTERVAL);
        let recipients = Rc::new(shared.peers.borrow().report_recipients());
        // Agents without a report are included, as their first plan contains the routers' addresses.
        for engine in &engines {
            let Some(planned) = planned.get(&engine.key) else { continue };
            let parts = plan_parts(engine, planned, &models);
            let last = self.last_sent_plans.get(&engine.key);
            let last = last.filter(|sent| sent.parts == parts && sent.recipients == recipients);
            let is_due = |last: &SentPlan| now.saturating_duration_since(last.at) >= renew_interval;
            if last.is_some_and(|last| !is_due(last)) {
                continue;
            }
            let serial = match last {
                Some(last) => last.serial,
                None => {
                    self.last_plan_serial =
                        (self.last_plan_serial + 1).max(shared.incarnation << SERIAL_BITS);
                    self.last_plan_serial
                }
            };
            if last.is_some() && is_confirmed(shared, now, engine.key, serial) {
                send_renewal(shared, serial, engine);
            } else {
                let header =
                    PlanHeader { serial, renew_interval, service, spec, recipients: &recipients };
                send_plan(shared, engine, &header, parts.clone());
            }
            let sent = SentPlan { at: now, serial, parts, recipients: recipients.clone() };
            self.last_sent_plans.insert(engine.key, sent);
        }
        let planned: HashSet<_> = engines.iter().map(|engine| engine.key).collect();
        self.last_sent_plans.retain(|key, _| planned.contains(key));
    }
}

/// How the models of a service are placed: by speed where the operator says so, or where its targets state their pace.
fn options<P>(
    shared: &router::Shared<P>,
    service: &config::Service,
    spec: &config::Engine,
) -> plan::Options {
    let view = shared.view.borrow();
    let mut targets = view.targets.iter().map(|(_, target)| target);
    let states_pace =
        targets.any(|target| target.entry.service == service.name && target.pace.is_stated());
    let switch = shared.bounds.borrow().features.placement;
    plan::Options {
        by_speed: features::is_used(switch, states_pace),
        store_loads_per_s: spec.loads_per_s,
    }
}

fn record_placements<P>(
    shared: &router::Shared<P>,
    service: &config::Service,
    placements: &[plan::Placed],
) {
    let view = shared.view.borrow();
    for placed in placements {
        shared.decision_log.metrics.placement(placed.source);
        let target = view.targets.get(placed.engine).map(|target| target.entry.id.as_str());
        tracing::info!(
            service = %service.name,
            model = %placed.model,
            target = target.unwrap_or_default(),
            evicted = ?placed.evicted,
            utility = placed.utility,
            speed = placed.speed,
            growth = placed.growth,
            source = placed.source.name(),
            "model placed"
        );
    }
}

/// What plans of several engines have in common, and the serial number of one.
struct PlanHeader<'a> {
    serial: u64,
    renew_interval: Duration,
    service: &'a config::Service,
    spec: &'a config::Engine,
    recipients: &'a peers::FanOut,
}

/// Whether an engine's agent reported lately that it follows the plan. One that restarts knows no plan and is
/// silent until it is sent one.
fn is_confirmed<P>(
    shared: &router::Shared<P>,
    now: Instant,
    key: targets::TargetKey,
    serial: u64,
) -> bool {
    let view = shared.view.borrow();
    let Some(target) = view.targets.get(key) else { return false };
    let is_recent = |at| now.saturating_duration_since(at) < CONFIRMATION_TTL;
    target.confirmed_plan == serial && target.agent_last_received_at.is_some_and(is_recent)
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
    let usual = pacing::usual(shared, &view, now, service);
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
            speed: usual.map_or(1.0, |usual| usual.speed(&target.pace)),
            is_leaving: view.targets.is_leaving(&target.entry.id),
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

/// Address of an engine's agent.
fn agent_addr<P>(shared: &router::Shared<P>, key: targets::TargetKey) -> Option<SocketAddr> {
    let view = shared.view.borrow();
    let host = view.targets.get(key)?.entry.addr.ip();
    Some(SocketAddr::new(host, shared.settings.agent_port))
}

fn send_renewal<P>(shared: &router::Shared<P>, serial: u64, engine: &snapshot::EngineView) {
    let Some(agent) = agent_addr(shared, engine.key) else { return };
    let renewal = wire::PlanRenewal {
        planner: shared.settings.name.as_str().into(),
        strength: shared.settings.cpu_millicores,
        serial,
    };
    shared.outbox.send(agent, &PeerMessage::PlanRenewed(renewal));
}

fn send_plan<P: router::Platform>(
    shared: &router::Shared<P>,
    engine: &snapshot::EngineView,
    header: &PlanHeader,
    parts: Vec<wire::PlanPart>,
) {
    let Some(agent) = agent_addr(shared, engine.key) else { return };
    let Some(target) = shared.view.borrow().targets.get(engine.key).map(|t| t.entry.id.clone())
    else {
        return;
    };
    let to_text = |addr: &SocketAddr| addr.to_string().into();
    let routers = [shared.settings.peer_addr];
    let routers = routers.iter().chain(&header.recipients.direct).map(to_text);
    let plan = wire::EnginePlan {
        planner: shared.settings.name.as_str().into(),
        strength: shared.settings.cpu_millicores,
        serial: header.serial,
        target,
        health_path: header.service.health_path.clone(),
        weights_mb: header.spec.weights_mb,
        adapter_places: header.spec.adapter_slots as u32,
        parts,
        routers: routers.collect(),
        relays: header.recipients.relays.iter().map(to_text).collect(),
        renew_ms: header.renew_interval.as_millis() as u32,
    };
    tracing::trace!(target = %plan.target, serial = header.serial, "plan sent");
    shared.outbox.send(agent, &PeerMessage::EnginePlan(plan));
}
