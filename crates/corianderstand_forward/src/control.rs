//! The control protocol between routers and agents, over UDP.
//!
//! Each datagram is self-contained and sent periodically, so nothing is acknowledged.

use crate::{
    broadcast, catch_up, config_proof, continuations, ended_targets, follow, peers, planning,
    quotas, readers, request_slots, retries, router, status, target_reports,
};
use corianderstand_fleet::{choose, exits, targets};
use corianderstand_schema::peers::{self as wire, PeerMessage};
use corianderstand_types::names;
use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::net::UdpSocket;

/// Batches a burst of first requests into one update and one plan.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(20);
/// Must be shorter than the time for which an agent keeps an adapter in use loaded.
const ADAPTERS_IN_USE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for other work after each plan, as a multiple of the time that the plan took: a weak host may have to
/// plan for hundreds of engines.
const PLANNING_REST_RATIO: u32 = 4;
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Sends datagrams.
pub struct Outbox {
    socket: Rc<UdpSocket>,
    dropped_datagrams: Cell<u64>,
}

impl Outbox {
    /// Creates an outbox that sends from `socket`.
    pub const fn new(socket: Rc<UdpSocket>) -> Self {
        Self { socket, dropped_datagrams: Cell::new(0) }
    }

    /// Sends a message, or drops it if the socket's buffer is full.
    pub fn send(&self, addr: SocketAddr, message: &PeerMessage) {
        self.send_all(&[addr], message);
    }

    /// Sends a message to several processes, as [`Self::send`] does.
    pub fn send_all(&self, addresses: &[SocketAddr], message: &PeerMessage) {
        let Some(bytes) = encode(message).filter(|_| !addresses.is_empty()) else { return };
        for addr in addresses {
            if let Err(error) = self.socket.try_send_to(&bytes, *addr) {
                self.dropped_datagrams.set(self.dropped_datagrams.get() + 1);
                tracing::debug!(%addr, %error, dropped = self.dropped_datagrams.get(), "dropped a peer message");
            }
        }
    }
}

/// Encodes a message; none if that fails.
pub fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    let encoded = postcard::to_stdvec(message);
    encoded.inspect_err(|error| tracing::warn!(%error, "failed to encode a peer message")).ok()
}

/// Binds the UDP socket.
pub async fn bind(addr: SocketAddr) -> Result<Rc<UdpSocket>, router::StartError> {
    let socket = UdpSocket::bind(addr).await;
    socket.map(Rc::new).map_err(|error| router::StartError::Listen { addr, error })
}

/// Receives messages from a socket forever.
pub async fn receive(socket: &UdpSocket, mut on_message: impl FnMut(SocketAddr, PeerMessage)) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => match postcard::from_bytes(&buf[..len]) {
                Ok(message) => on_message(from, message),
                Err(error) => tracing::debug!(%from, %error, "failed to decode a peer message"),
            },
            Err(error) => {
                // Usually an ICMP error in reply to an earlier datagram.
                tracing::debug!(%error, "failed to receive a peer message");
            }
        }
    }
}

/// Starts the receive loop and the control loop.
pub fn start<P: router::Platform>(shared: &Rc<router::Shared<P>>) {
    let receiver = shared.clone();
    tokio::task::spawn_local(async move {
        let socket = receiver.outbox.socket.clone();
        receive(&socket, |from, message| on_message(&receiver, from, message)).await;
    });
    tokio::task::spawn_local(run(shared.clone()));
}

fn on_message<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    from: SocketAddr,
    message: PeerMessage,
) {
    let now = shared.clock.now();
    match message {
        PeerMessage::RouterNews(update) => {
            if update.router.as_str() == shared.settings.name {
                return;
            }
            let has_waiting = update.models.iter().any(|model| model.waiting > 0);
            let name = update.router.clone();
            let is_new = shared.peers.borrow_mut().on_update(now, from, update);
            if is_new {
                status::greet(shared, from);
            }
            target_reports::welcome(shared, now, name.as_str(), from);
            // Only the planner acts on this: if each router forwarded it, updates would multiply.
            if has_waiting {
                request_plan(shared, now);
            }
        }
        PeerMessage::RecordsNews(update) => {
            follow::via_readers::on_records_update(shared, now, from, update);
        }
        PeerMessage::RoutersUnheard(report) => {
            shared.peers.borrow_mut().on_unheard(now, &report);
        }
        PeerMessage::EngineNews(update) => {
            on_engine_update(shared, now, from, update);
            ended_targets::record_replaced(shared, now);
        }
        PeerMessage::EngineGone(exit) => {
            let is_known =
                shared.view.borrow_mut().targets.record_exit(now, &exit.target, exit.born);
            if is_known {
                tracing::info!(target = %exit.target, "target exited, as its agent reports");
                request_plan(shared, now);
            }
            let ended = targets::Incarnation { id: exit.target.clone(), started_at_ms: exit.born };
            ended_targets::record_exit(shared, now, &ended, exits::Confirmation::Agent);
        }
        PeerMessage::EngineReplaced(wire::EngineReplaced { target, born, before }) => {
            let replaced =
                targets::EngineReplacement { id: target, started_at_ms: born, previous_id: before };
            if shared.view.borrow_mut().targets.replace(now, &replaced) {
                tracing::info!(target = %replaced.id, before = %replaced.previous_id,
                    "target restarted under another name, as its agent reports");
                ended_targets::record_replaced(shared, now);
                request_plan(shared, now);
            }
        }
        PeerMessage::PrefillAnswer(response) => {
            shared.prefill_permits.resolve(response.id, (&response).into());
        }
        PeerMessage::SlotAsked(request) => {
            request_slots::on_request(shared, now, from, &request);
        }
        PeerMessage::SlotAnswer(response) => request_slots::on_response(shared, &response),
        PeerMessage::FreshnessAsked(question) => {
            config_proof::on_question(shared, from, &question);
        }
        PeerMessage::FreshnessAnswer(_) => {
            tracing::debug!(%from, "ignored a proof without an era, of a router of an earlier version");
        }
        PeerMessage::ConfigProven(answer) => config_proof::on_answer(shared, &answer),
        PeerMessage::QuotaAsked(request) => quotas::on_request(shared, now, from, &request),
        PeerMessage::QuotaAnswer(response) => quotas::on_response(shared, now, &response),
        PeerMessage::StreamsBegan(origins) => continuations::on_origins(shared, now, origins),
        PeerMessage::OriginAsked(question) => {
            continuations::on_question(shared, now, from, &question);
        }
        PeerMessage::OriginAnswer(answer) => continuations::on_answer(shared, answer),
        PeerMessage::TargetReports(update) => target_reports::on_update(shared, now, update),
        PeerMessage::ToZone(request) => {
            broadcast::pass_on(shared, from, &request);
            on_relayed(shared, from, &request.message);
        }
        PeerMessage::Relayed(relayed) => match relayed.origin.parse() {
            Ok(origin) => on_relayed(shared, origin, &relayed.message),
            Err(error) => tracing::debug!(%from, %error, "ignored a message of unknown origin"),
        },
        PeerMessage::EnginePlan(_)
        | PeerMessage::PlanRenewed(_)
        | PeerMessage::AdaptersAsked(_)
        | PeerMessage::PrefillAsked(_)
        | PeerMessage::PrefillWithdrawn(_) => {
            tracing::debug!(%from, "ignored a message addressed to agents");
        }
    }
}

fn on_relayed<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    origin: SocketAddr,
    message: &[u8],
) {
    match postcard::from_bytes(message) {
        // Nothing is passed on twice.
        Ok(PeerMessage::ToZone(_) | PeerMessage::Relayed(_)) => {
            tracing::debug!(%origin, "ignored a relayed message within another");
        }
        Ok(message) => on_message(shared, origin, message),
        Err(error) => tracing::debug!(%origin, %error, "failed to decode a relayed message"),
    }
}

fn on_engine_update<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    from: SocketAddr,
    update: wire::EngineUpdate,
) {
    let plan_serial = update.plan_serial;
    let report = to_report(now, update);
    let id = report.id.clone();
    let mut view = shared.view.borrow_mut();
    let table = view.route_table.clone();
    let has_engine = |name: &names::ServiceId| {
        let service = table.as_ref().and_then(|table| table.config().service(name));
        service.is_some_and(|service| service.engine.is_some())
    };
    if view.targets.infer_successor(now, &report.id, report.started_at_ms, from.ip(), has_engine) {
        tracing::info!(target = %report.id, "target discovered from its agent");
    }
    let Some(key) = view.targets.key(&report.id) else { return };
    let before = view.targets.get(key).map(|t| (t.entry.holdings.clone(), t.ongoing.clone()));
    if !view.targets.report(now, report) {
        return;
    }
    let started_at_ms = view.targets.get(key).map_or(0, |t| t.entry.started_at_ms);
    shared.suspicion.record_running(now, &id, started_at_ms);
    let key = view.targets.key(&id).unwrap_or(key);
    if let Some(target) = view.targets.get_mut(key) {
        target.confirmed_plan = plan_serial;
    }
    let after = view.targets.get(key).map(|t| (t.entry.holdings.clone(), t.ongoing.clone()));
    let Some((holdings, ongoing)) = after else { return };
    let changed =
        before.as_ref().is_none_or(|(h, o)| *h != holdings || o.is_some() != ongoing.is_some());
    if changed {
        for resident in &holdings.resident {
            view.rooms.wake_model(now, &resident.model);
        }
        drop(view);
        request_plan(shared, now);
    }
}

fn request_plan<P>(shared: &router::Shared<P>, now: Instant) {
    if shared.peers.borrow().planner(now) == peers::Planner::Own {
        shared.control_wake.notify_one();
    }
}

fn to_report(now: Instant, update: wire::EngineUpdate) -> targets::AgentReport {
    let ongoing = update.ongoing.into_iter().next().map(|command| {
        if command.loads {
            let ready_at = now + Duration::from_millis(u64::from(command.remaining_ms));
            targets::OngoingCommand::Loading {
                model: command.model,
                ready_at,
                from_store: command.from_store,
            }
        } else {
            targets::OngoingCommand::Unloading { model: command.model }
        }
    });
    let resident = update.resident.into_iter();
    let resident = resident
        .map(|part| targets::Resident { model: part.model, adapters: part.adapters })
        .collect();
    let cached_weights = update.copies.into_iter().next();
    let cached_weights_reported = cached_weights.is_some();
    let (in_memory, on_disk) =
        cached_weights.map(|cached| (cached.in_memory, cached.on_disk)).unwrap_or_default();
    targets::AgentReport {
        id: update.target,
        started_at_ms: update.born,
        holdings: targets::Holdings {
            commands_accepted: update.orders,
            resident,
            in_memory,
            on_disk,
        },
        cached_weights_reported,
        ongoing,
        load: targets::Load {
            running: update.running,
            waiting: update.waiting,
            cache_used: Some(update.cache_used),
            slowdown_percent: None,
        },
    }
}

async fn run<P: router::Platform>(shared: Rc<router::Shared<P>>) {
    let mut planning = planning::PlanPublisher::new(shared.clock.now());
    let mut sent = SendState::default();
    let mut catch_up = catch_up::CatchUp::default();
    let mut next_plan_at = shared.clock.now();
    loop {
        let now = shared.clock.now();
        shared.peers.borrow_mut().select_hubs(now);
        let planner = shared.peers.borrow().planner(now);
        status::send(&shared, now, planner, &mut sent.status);
        send_adapters_in_use(&shared, now, &mut sent);
        target_reports::send(&shared, now);
        log_role_change(&shared, now, &mut sent);
        catch_up.poll(&shared, now);
        if can_plan(&shared) && planner == peers::Planner::Own && now >= next_plan_at {
            planning.publish(&shared, now);
            let end = shared.clock.now();
            next_plan_at = end + end.saturating_duration_since(now) * PLANNING_REST_RATIO;
        }
        shared.connection_pool.sweep(now);
        follow::expire(&shared, now);
        continuations::observe_versions(&shared, now);
        shared.peers.borrow_mut().expire(now);
        retries::observe_routers(&shared, now);
        tokio::time::sleep(MIN_SEND_INTERVAL).await;
        tokio::select! {
            () = shared.control_wake.notified() => {}
            () = tokio::time::sleep(status::PLANNER_UPDATE_INTERVAL) => {}
        }
    }
}

/// Whether this router may plan, and keep what routers share.
pub fn can_plan<P>(shared: &router::Shared<P>) -> bool {
    let view = shared.view.borrow();
    view.route_table.is_some() && !view.targets.is_empty() && shared.stopping.get().is_none()
}

/// Requests adapters from a target's agent.
pub fn request_adapters<P>(
    shared: &router::Shared<P>,
    key: targets::TargetKey,
    adapters: Vec<wire::RequestedAdapter>,
) {
    let view = shared.view.borrow();
    let Some(target) = view.targets.get(key) else { return };
    let request = wire::AdapterRequest { target: target.entry.id.clone(), adapters };
    let agent = SocketAddr::new(target.entry.addr.ip(), shared.settings.agent_port);
    shared.outbox.send(agent, &PeerMessage::AdaptersAsked(request));
}

/// Converts a requested model to its adapter on the wire, if it has one.
pub fn to_requested_adapter(requested: &choose::RequestedModel) -> Option<wire::RequestedAdapter> {
    let adapter = requested.adapter.clone()?;
    Some(wire::RequestedAdapter { model: requested.model.clone(), adapter })
}

/// Keeps the adapters of requests in flight from being evicted.
fn send_adapters_in_use<P>(shared: &router::Shared<P>, now: Instant, sent: &mut SendState) {
    let due = sent
        .adapters_sent_at
        .is_none_or(|at| now.saturating_duration_since(at) >= ADAPTERS_IN_USE_INTERVAL);
    if !due {
        return;
    }
    sent.adapters_sent_at = Some(now);
    let in_use: Vec<_> = {
        let view = shared.view.borrow();
        let in_use = view.targets.iter().map(|(key, target)| {
            let adapters = target.in_flight.keys().filter_map(to_requested_adapter);
            (key, adapters.collect::<Vec<_>>())
        });
        in_use.filter(|(_, adapters)| !adapters.is_empty()).collect()
    };
    for (key, adapters) in in_use {
        request_adapters(shared, key, adapters);
    }
}

fn log_role_change<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    sent: &mut SendState,
) {
    let role = shared.role(now);
    if sent.role.as_ref() != Some(&role) {
        tracing::info!(?role, before = ?sent.role, "store reader role changed");
        sent.role = Some(role);
    }
}

#[derive(Default)]
struct SendState {
    status: status::SendState,
    adapters_sent_at: Option<Instant>,
    role: Option<readers::Role>,
}
