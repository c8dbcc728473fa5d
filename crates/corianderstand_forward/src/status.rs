//! Status that a router sends to others: to its contacts ([`crate::hubs`]), and its demand to the planner.

use crate::{control, dialect, peers, router};
use corianderstand_fleet::{demand, limit_shares};
use corianderstand_schema::peers::{self as wire, PeerMessage};
use corianderstand_types::names;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3;

/// Interval between updates to the planner of a small deployment, and between the planner's hellos to hubs.
pub const PLANNER_UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between hellos to all contacts.
const HELLO_INTERVAL: Duration = Duration::from_millis(1_000);
/// Bounds the updates that the planner of a large deployment receives.
const DEMAND_INTERVAL_PER_ROUTER: Duration = Duration::from_millis(3);
/// Must be shorter than the time after which an update counts as outdated.
const MAX_DEMAND_INTERVAL: Duration = Duration::from_millis(2_000);
/// Routers besides the hubs that learn from one router of a change, so that those that have it multiply.
const ANNOUNCED_ROUTERS: usize = 4;

/// When status was last sent.
#[derive(Default)]
pub struct SendState {
    hello_sent_at: Option<Instant>,
    planner_hello_sent_at: Option<Instant>,
    /// Whether the last hello said that this router may plan and keep quotas.
    was_fit: bool,
    /// Routers that were not heard, as last reported.
    unheard: BTreeSet<limit_shares::RouterHash>,
    demand_sent_at: Option<Instant>,
    /// As last sent to the planner.
    waiting_requests: BTreeMap<names::ModelId, u32>,
}

/// Sends the updates that are due.
pub fn send<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    planner: peers::Planner,
    sent: &mut SendState,
) {
    if let peers::Planner::Other(Some(planner)) = planner
        && is_demand_due(shared, now, sent)
    {
        shared.outbox.send(planner, &PeerMessage::RouterNews(demand_update(shared)));
    }
    let is_due = |sent_at: Option<Instant>, interval| {
        sent_at.is_none_or(|at| now.saturating_duration_since(at) >= interval)
    };
    // Until they know, routers that start have nobody to ask for quotas.
    let is_fit = control::can_plan(shared);
    if is_due(sent.hello_sent_at, HELLO_INTERVAL) || sent.was_fit != is_fit {
        sent.was_fit = is_fit;
        (sent.hello_sent_at, sent.planner_hello_sent_at) = (Some(now), Some(now));
        send_hello(shared);
        if !sent.unheard.is_empty() {
            report_unheard(shared, now, &sent.unheard);
        }
    } else if planner == peers::Planner::Own
        && is_due(sent.planner_hello_sent_at, PLANNER_UPDATE_INTERVAL)
    {
        sent.planner_hello_sent_at = Some(now);
        let hubs = shared.peers.borrow().hub_addresses();
        shared.outbox.send_all(&hubs, &PeerMessage::RouterNews(hello(shared)));
    }
    let unheard = unheard(shared, now);
    if sent.unheard != unheard {
        sent.unheard = unheard;
        report_unheard(shared, now, &sent.unheard);
    }
}

/// The routers that this one doesn't hear, where limits are shared among all that do.
fn unheard<P>(shared: &router::Shared<P>, now: Instant) -> BTreeSet<limit_shares::RouterHash> {
    let peers = shared.peers.borrow();
    if peers.needs_mesh() { peers.unheard(now) } else { BTreeSet::new() }
}

/// Tells the others whom this router doesn't hear. Who receives no such report takes it that all are heard.
fn report_unheard<P>(
    shared: &router::Shared<P>,
    now: Instant,
    unheard: &BTreeSet<limit_shares::RouterHash>,
) {
    let report = wire::UnheardRouters {
        router: shared.settings.name.as_str().into(),
        incarnation: shared.incarnation,
        unheard: unheard.iter().map(|hash| hash.0).collect(),
    };
    let contacts = shared.peers.borrow().contacts(now);
    shared.outbox.send_all(&contacts, &PeerMessage::RoutersUnheard(report));
}

/// In a large deployment, only changes of what waits are sent to the planner at once.
fn is_demand_due<P>(shared: &router::Shared<P>, now: Instant, sent: &mut SendState) -> bool {
    let peers = shared.peers.borrow();
    let interval = match peers.is_mesh() {
        true => Duration::ZERO,
        false => DEMAND_INTERVAL_PER_ROUTER * peers.addresses().count() as u32,
    };
    let interval = interval.min(MAX_DEMAND_INTERVAL);
    let view = shared.view.borrow();
    let is_due = sent.demand_sent_at.is_none_or(|at| now.saturating_duration_since(at) >= interval)
        || sent.waiting_requests != view.waiting_requests;
    if is_due {
        sent.demand_sent_at = Some(now);
        sent.waiting_requests.clone_from(&view.waiting_requests);
    }
    is_due
}

/// Announces this router to its contacts and to seeds that are not known yet.
pub fn send_hello<P: router::Platform>(shared: &router::Shared<P>) {
    let message = PeerMessage::RouterNews(hello(shared));
    let peers = shared.peers.borrow();
    let known: Vec<SocketAddr> = peers.addresses().collect();
    let own = shared.settings.peer_addr;
    let bounds = shared.bounds.borrow();
    let seeds = bounds.seeds.iter().copied();
    let seeds = seeds.filter(|seed| *seed != own && !known.contains(seed));
    let contacts = peers.contacts(shared.clock.now()).into_iter();
    let recipients: Vec<SocketAddr> = contacts.chain(seeds).collect();
    shared.outbox.send_all(&recipients, &message);
    shared.outbox.send_all(&recipients, &PeerMessage::RecordsNews(records_update(shared)));
}

/// Tells a router that has just started of this one, which it may have missed.
pub fn greet<P: router::Platform>(shared: &router::Shared<P>, addr: SocketAddr) {
    shared.outbox.send(addr, &PeerMessage::RouterNews(hello(shared)));
}

/// Announces that this router has newer records, so that others fetch them: from it as well as from hubs, whose
/// links may be slow.
pub fn announce_records<P: router::Platform>(shared: &router::Shared<P>) {
    send_hello(shared);
    if !shared.peers.borrow().is_mesh() {
        let next = shared.replicated_records.borrow().next(dialect::Subject::Config);
        let round = xxh3::xxh3_64_with_seed(shared.settings.name.as_bytes(), next.offset());
        let sample = shared.peers.borrow().sample_of_zone(round, ANNOUNCED_ROUTERS);
        shared.outbox.send_all(&sample, &PeerMessage::RouterNews(hello(shared)));
        shared.outbox.send_all(&sample, &PeerMessage::RecordsNews(records_update(shared)));
    }
}

fn hello<P: router::Platform>(shared: &router::Shared<P>) -> wire::RouterUpdate {
    let now = shared.clock.now();
    let store = shared.store_use(now);
    let records = shared.replicated_records.borrow();
    let planner = match shared.peers.borrow().planner(now) {
        peers::Planner::Own => Some(shared.settings.peer_addr),
        peers::Planner::Other(addr) => addr,
    };
    wire::RouterUpdate {
        router: shared.settings.name.as_str().into(),
        incarnation: shared.incarnation,
        zone: shared.settings.zone.clone(),
        store,
        strength: shared.settings.cpu_millicores,
        delay_ms: shared.overload.borrow().delay(now).as_millis() as u32,
        fit: control::can_plan(shared),
        config_next: records.next(dialect::Subject::Config).offset(),
        targets_next: records.next(dialect::Subject::Targets).offset(),
        routers_next: records.next(dialect::Subject::Routers).offset(),
        planner: planner.map(|addr| addr.to_string()).unwrap_or_default().into(),
        expects_updates: true,
        models: Vec::new(),
        running: Vec::new(),
    }
}

/// How far this router knows the store's records.
pub fn records_update<P: router::Platform>(shared: &router::Shared<P>) -> wire::RecordsUpdate {
    let records = shared.replicated_records.borrow();
    wire::RecordsUpdate {
        router: shared.settings.name.as_str().into(),
        era: records.era().0,
        config_version: records.config_version(),
        config_next: records.next(dialect::Subject::Config).offset(),
        targets_next: records.next(dialect::Subject::Targets).offset(),
        routers_next: records.next(dialect::Subject::Routers).offset(),
    }
}

fn demand_update<P: router::Platform>(shared: &router::Shared<P>) -> wire::RouterUpdate {
    let now = shared.clock.now();
    let hello = hello(shared);
    let mut view = shared.view.borrow_mut();
    let mut models: BTreeMap<names::ModelId, (demand::ModelDemand, u32)> = view
        .demand
        .active_models(now)
        .into_iter()
        .map(|(model, demand)| (model, (demand, 0)))
        .collect();
    for (model, waiting) in &view.waiting_requests {
        models.entry(model.clone()).or_default().1 = *waiting;
    }
    let models = models.into_iter().map(|(model, (demand, waiting))| wire::ModelDemand {
        model,
        per_1000_s: (demand.requests_per_s * 1_000.0) as u32,
        adapted_per_1000_s: (demand.adapter_requests_per_s * 1_000.0) as u32,
        prompt_tokens_per_s: demand.prompt_tokens_per_s as u32,
        read_ns_per_token: (demand.prefill_s_per_token * 1e9) as u32,
        aim_ms: demand.latency_objective.as_millis() as u32,
        waiting,
    });
    let running = view.targets.iter().flat_map(|(_, target)| {
        let id = &target.entry.id;
        target.running().into_iter().map(|(model, count)| wire::RunningCount {
            target: id.clone(),
            model,
            count,
        })
    });
    wire::RouterUpdate {
        models: models.collect(),
        running: running.collect(),
        expects_updates: false,
        ..hello
    }
}
