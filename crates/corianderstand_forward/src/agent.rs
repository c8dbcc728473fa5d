//! The agent process: beside one engine, and the only one that gives it orders.
//!
//! It asks its engine for its account of itself, tells routers of it, and works off the plan that
//! the planning router sends, one order at a time. It is not on the way of requests: when it is
//! frozen or killed, the engine goes on serving what it holds. Because each engine is ordered from
//! one host only, no two holders can take turns at it, and no lease is needed.

mod permits;
mod report;

use crate::{control, dialect, router};
use corianderstand_derives::derives;
use corianderstand_fleet::{prefill, reconcile};
use corianderstand_schema::peers::{self, PeerMessage};
use corianderstand_types::{clock, names};
use smol_str::SmolStr;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::Notify;

/// Pause between two looks at the engine while nothing is under way.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two looks while an order is carried out: a load from memory takes 0.4 s, and each
/// millisecond after its end is a millisecond that requests wait.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Pause between two messages to routers if nothing changes, and what each router beyond some twenty
/// adds to it, so that the messages of fifty engines take under a tenth of a small host's processor.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
const UPDATE_INTERVAL_PER_ROUTER: Duration = Duration::from_millis(25);
/// Longest such pause; routers count an agent as gone after three of them.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(900);
/// A router that asked for an adapter within this time hears at once that it is there.
const REQUESTER_RETENTION: Duration = Duration::from_millis(500);
/// A planner that was not heard for this long is no longer the one to follow.
const PLANNER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Adapters that were asked for within this time are kept in mind.
const ADAPTER_REQUEST_RETENTION: Duration = Duration::from_secs(8);
/// An order without an answer is taken as lost when the engine shows nothing of it for this long.
/// The next one carries the same number of orders, so the engine carries out one of them at most, and
/// one given too early costs a refused call. An engine beside its agent answers within some ms, and
/// meanwhile nothing else can be ordered.
const COMMAND_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// What an agent is told at its start.
#[derives(data)]
pub struct Settings {
    /// Its name.
    pub name: SmolStr,
    /// Where routers reach it.
    pub listen: SocketAddr,
}

/// An order that is under way.
#[derive(Clone, Debug)]
struct OngoingCommand {
    command: reconcile::Command,
    started_at: Instant,
    expected_duration: Duration,
    from_store: bool,
    accepted: bool,
    commands_before: u64,
}

/// A plan that is being followed.
#[derive(Clone, Debug)]
struct ReceivedPlan {
    plan: peers::EnginePlan,
    received_at: Instant,
}

/// What the engine said of itself when it was asked its name. Not all engines say when they started,
/// so fewer orders than it had accepted before tell a new start as well, and so does a plan for another
/// engine: an agent that has missed a start would else tell routers that the new engine is the old one.
#[derive(Clone, Debug)]
struct EngineIdentity {
    name: Option<names::TargetId>,
    /// The engine that the plan was for then.
    planned_target: names::TargetId,
    started_at_ms: u64,
    commands_accepted: u64,
}

#[derive(Default)]
struct State {
    plan: Option<ReceivedPlan>,
    requested_adapters: Vec<reconcile::AdapterRequest>,
    ongoing: Option<OngoingCommand>,
    last_update: Option<(Instant, peers::EngineNews)>,
    /// The engine said that it is not this one: the plan is for one that has ended.
    ended_target: Option<names::TargetId>,
    /// The name that the engine said; none after it did not answer.
    identity: Option<EngineIdentity>,
    recent_requesters: BTreeMap<SocketAddr, Instant>,
}

struct Agent<E> {
    settings: Settings,
    clock: clock::SharedClock,
    engine: E,
    outbox: control::Outbox,
    state: RefCell<State>,
    wake: Notify,
    permits: RefCell<prefill::PermitQueue<SocketAddr>>,
    permits_changed: Notify,
}

/// Runs an agent until `stop` is done.
///
/// # Errors
///
/// See [`router::StartError`].
pub fn run<E: dialect::EngineCalls + 'static>(
    settings: Settings,
    clock: clock::SharedClock,
    engine: impl FnOnce(crate::client::Client) -> E,
    stop: impl Future<Output = ()>,
) -> Result<(), router::StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(router::StartError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        let socket = control::bind(settings.listen).await?;
        let pool = Rc::new(crate::pool::Pool::default());
        let agent = Rc::new(Agent {
            engine: engine(crate::client::Client::new(pool, clock.clone())),
            outbox: control::Outbox::new(socket.clone()),
            state: RefCell::default(),
            wake: Notify::new(),
            permits: RefCell::default(),
            permits_changed: Notify::new(),
            settings,
            clock,
        });
        tracing::info!(name = %agent.settings.name, "agent started");
        let listening = agent.clone();
        tokio::task::spawn_local(async move {
            control::receive(&socket, |from, message| listening.on_message(from, message)).await;
        });
        tokio::select! {
            () = agent.poll_engine() => {}
            () = agent.grant_permits() => {}
            () = stop => {}
        }
        tracing::info!("agent stopped");
        Ok(())
    })
}

impl<E: dialect::EngineCalls> Agent<E> {
    fn on_message(&self, from: SocketAddr, message: PeerMessage) {
        let now = self.clock.now();
        match message {
            PeerMessage::EnginePlan(plan) => self.on_plan(now, plan),
            PeerMessage::AdaptersAsked(request) => self.on_adapters_requested(now, from, request),
            PeerMessage::PrefillAsked(request) => self.on_prefill_request(now, from, &request),
            PeerMessage::PrefillWithdrawn(withdrawn) => {
                self.permits.borrow_mut().cancel(withdrawn.id);
                self.permits_changed.notify_one();
            }
            PeerMessage::RouterNews(_)
            | PeerMessage::PrefillAnswer(_)
            | PeerMessage::EngineNews(_)
            | PeerMessage::EngineGone(_)
            | PeerMessage::EngineReplaced(_) => {
                tracing::debug!(%from, "message that is for routers");
            }
        }
    }

    /// Follows the best of the planners heard lately.
    fn on_plan(&self, now: Instant, plan: peers::EnginePlan) {
        let mut state = self.state.borrow_mut();
        if let Some(last) = &state.plan {
            let responsive = now.saturating_duration_since(last.received_at) < PLANNER_TIMEOUT;
            let different_planner = last.plan.planner != plan.planner;
            if responsive && different_planner && planner_rank(&last.plan) > planner_rank(&plan) {
                return;
            }
            if !different_planner && plan.serial < last.plan.serial && responsive {
                return;
            }
            if different_planner {
                tracing::info!(planner = %plan.planner, before = %last.plan.planner, "another planner");
            }
        }
        let changed = state.plan.as_ref().is_none_or(|last| last.plan.parts != plan.parts);
        state.plan = Some(ReceivedPlan { plan, received_at: now });
        if changed {
            self.wake.notify_one();
        }
    }

    /// Keeps in mind what is asked for, the newest first.
    fn on_adapters_requested(&self, now: Instant, from: SocketAddr, request: peers::AdaptersAsked) {
        let mut state = self.state.borrow_mut();
        state.recent_requesters.insert(from, now);
        state
            .recent_requesters
            .retain(|_, at| now.saturating_duration_since(*at) < REQUESTER_RETENTION);
        for adapter in request.adapters {
            state
                .requested_adapters
                .retain(|old| old.model != adapter.model || old.adapter != adapter.adapter);
            let requested = reconcile::AdapterRequest {
                model: adapter.model,
                adapter: adapter.adapter,
                requested_at: now,
            };
            state.requested_adapters.insert(0, requested);
        }
        state.requested_adapters.retain(|requested| {
            now.saturating_duration_since(requested.requested_at) < ADAPTER_REQUEST_RETENTION
        });
        self.wake.notify_one();
    }

    async fn poll_engine(&self) {
        let mut unresponsive = false;
        loop {
            let pause = match self.engine.report().await {
                Ok(report) => {
                    if std::mem::take(&mut unresponsive) {
                        tracing::info!("the engine answers again");
                    }
                    self.on_report(report).await
                }
                Err(error) => {
                    if !std::mem::replace(&mut unresponsive, true) {
                        tracing::warn!(%error, "the engine does not answer: it is asked again");
                    }
                    let mut state = self.state.borrow_mut();
                    state.ongoing = None;
                    state.identity = None;
                    drop(state);
                    if matches!(error, dialect::ReportError::Ended(_)) {
                        self.send_engine_gone();
                    }
                    IDLE_POLL_INTERVAL
                }
            };
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Acts on the engine's account of itself; returns when to look again.
    async fn on_report(&self, report: dialect::EngineReport) -> Duration {
        let now = self.clock.now();
        self.finish_ongoing(now, &report);
        let Some(plan) = self.state.borrow().plan.clone() else { return IDLE_POLL_INTERVAL };
        let name = self.engine_name(&plan.plan, &report).await;
        if let Some(name) = name.filter(|name| *name != plan.plan.target) {
            self.send_engine_replaced(&plan.plan, &report, name);
            return IDLE_POLL_INTERVAL;
        }
        self.send_update(now, &plan.plan, &report);
        let Some(command) = self.next_command(now, &plan.plan, &report) else {
            let busy = report.busy || report.adapters_coming > 0;
            let in_progress = self.state.borrow().ongoing.is_some() || busy;
            return if in_progress { BUSY_POLL_INTERVAL } else { IDLE_POLL_INTERVAL };
        };
        self.execute(now, &plan.plan, &report, command).await;
        BUSY_POLL_INTERVAL
    }

    /// Tells all routers that the engine's process has ended, again each time that it is found so.
    fn send_engine_gone(&self) {
        let state = self.state.borrow();
        let (Some(plan), Some((_, last))) = (&state.plan, &state.last_update) else { return };
        let gone = peers::EngineGone { target: last.target.clone(), born: last.born };
        for addr in router_addresses(&plan.plan) {
            self.outbox.send(addr, &PeerMessage::EngineGone(gone.clone()));
        }
    }

    /// The engine's name, asked for once after each start of it and each change of the plan's engine.
    async fn engine_name(
        &self,
        plan: &peers::EnginePlan,
        report: &dialect::EngineReport,
    ) -> Option<names::TargetId> {
        let started_at_ms = report.born.unwrap_or(0);
        let commands_accepted = report.holdings.commands_accepted;
        if let Some(identity) = &mut self.state.borrow_mut().identity
            && identity.started_at_ms == started_at_ms
            && identity.commands_accepted <= commands_accepted
            && identity.planned_target == plan.target
        {
            identity.commands_accepted = commands_accepted;
            return identity.name.clone();
        }
        match self.engine.name(&plan.health_path).await {
            Ok(name) => {
                tracing::info!(?name, born = started_at_ms, "the engine's name");
                let planned_target = plan.target.clone();
                let identity = EngineIdentity {
                    name: name.clone(),
                    planned_target,
                    started_at_ms,
                    commands_accepted,
                };
                self.state.borrow_mut().identity = Some(identity);
                name
            }
            Err(error) => {
                tracing::warn!(%error, "the engine did not say its name: it is asked again");
                None
            }
        }
    }

    /// Tells routers that this engine has replaced the one that the plan is for, so that they plan
    /// for it before it has registered.
    fn send_engine_replaced(
        &self,
        plan: &peers::EnginePlan,
        report: &dialect::EngineReport,
        name: names::TargetId,
    ) {
        let replaced = PeerMessage::EngineReplaced(peers::EngineReplaced {
            target: name,
            born: report.born.unwrap_or(0),
            before: plan.target.clone(),
        });
        router_addresses(plan).for_each(|addr| self.outbox.send(addr, &replaced));
    }

    /// Sees whether what is under way has ended.
    fn finish_ongoing(&self, now: Instant, report: &dialect::EngineReport) {
        let mut state = self.state.borrow_mut();
        let Some(ongoing) = &state.ongoing else { return };
        let observed = report.holdings.commands_accepted > ongoing.commands_before;
        let timed_out =
            now.saturating_duration_since(ongoing.started_at) > COMMAND_RESPONSE_TIMEOUT;
        let ended = !report.busy && (observed || timed_out);
        if ended {
            let ms = now.saturating_duration_since(ongoing.started_at).as_millis() as u64;
            tracing::info!(order = ?ongoing.command, ms, shows = observed, answered = ongoing.accepted, "order ended");
            state.ongoing = None;
        }
    }

    fn next_command(
        &self,
        now: Instant,
        plan: &peers::EnginePlan,
        report: &dialect::EngineReport,
    ) -> Option<reconcile::Command> {
        let state = self.state.borrow();
        if state.ongoing.is_some() || state.ended_target.as_ref() == Some(&plan.target) {
            return None;
        }
        let capacity = reconcile::Capacity {
            weights_mb: plan.weights_mb,
            adapter_slots: plan.adapter_places as usize,
        };
        let models = report::engine_models(plan);
        let adapters_loading = report.adapters_coming;
        let adapter = || {
            reconcile::next_adapter_command(
                now,
                capacity,
                &models,
                &report.holdings,
                adapters_loading,
                &state.requested_adapters,
            )
        };
        let model = || match report.busy {
            true => None,
            false => reconcile::next_model_command(capacity, &models, &report.holdings),
        };
        // An adapter takes some ms and its request waits; a model takes a second and more.
        if report.busy { None } else { adapter().or_else(model) }
    }

    async fn execute(
        &self,
        now: Instant,
        plan: &peers::EnginePlan,
        report: &dialect::EngineReport,
        command: reconcile::Command,
    ) {
        let (expected_duration, from_store) = report::expected_duration(plan, report, &command);
        let commands_before = report.holdings.commands_accepted;
        let ongoing = OngoingCommand {
            command: command.clone(),
            started_at: now,
            expected_duration,
            from_store,
            accepted: false,
            commands_before,
        };
        let changes_model =
            matches!(command, reconcile::Command::Load(_) | reconcile::Command::Unload(_));
        if changes_model {
            self.state.borrow_mut().ongoing = Some(ongoing);
            // Routers hear that a model goes before it does, and send nothing there any more.
            self.send_update(now, plan, report);
        }
        let target = &plan.target;
        let result = self
            .engine
            .order(dialect::SafeOrder { target, order: &command, after_orders: commands_before })
            .await;
        tracing::info!(%target, order = ?command, end = ?result, after_orders = commands_before, from_store, "order given");
        let mut state = self.state.borrow_mut();
        match result {
            dialect::OrderEnd::Accepted | dialect::OrderEnd::Unknown => {
                if let Some(ongoing) = &mut state.ongoing {
                    ongoing.accepted = result == dialect::OrderEnd::Accepted;
                }
            }
            dialect::OrderEnd::OtherEngine => {
                state.ongoing = None;
                state.ended_target = Some(target.clone());
                state.identity = None;
            }
            _ => state.ongoing = None,
        }
    }

    /// Tells routers of the engine: all when its models change or they have not heard for a while,
    /// those that asked for adapters when these change.
    fn send_update(&self, now: Instant, plan: &peers::EnginePlan, report: &dialect::EngineReport) {
        let mut state = self.state.borrow_mut();
        let update = report::engine_update(now, plan, report, state.ongoing.as_ref());
        let interval = UPDATE_INTERVAL.max(UPDATE_INTERVAL_PER_ROUTER * plan.routers.len() as u32);
        let interval = interval.min(MAX_UPDATE_INTERVAL);
        let to_all = state.last_update.as_ref().is_none_or(|(at, last)| {
            now.saturating_duration_since(*at) >= interval
                || report::needs_immediate_update(last, &update)
        });
        let adapters_changed =
            state.last_update.as_ref().is_some_and(|(_, last)| last.resident != update.resident);
        if !to_all && !adapters_changed {
            return;
        }
        let cached_weights = peers::WeightCopies {
            in_memory: report.holdings.in_memory.clone(),
            on_disk: report.holdings.on_disk.clone(),
        };
        let full = PeerMessage::EngineNews(peers::EngineNews {
            copies: vec![cached_weights],
            ..update.clone()
        });
        let short = PeerMessage::EngineNews(update.clone());
        for (index, addr) in router_addresses(plan).enumerate() {
            if to_all || state.recent_requesters.contains_key(&addr) {
                self.outbox.send(addr, if index == 0 { &full } else { &short });
            }
        }
        let sent_at = match &state.last_update {
            Some((at, _)) if !to_all => *at,
            _ => now,
        };
        state.last_update = Some((sent_at, update));
    }
}

/// Addresses of the routers that a plan names.
fn router_addresses(plan: &peers::EnginePlan) -> impl Iterator<Item = SocketAddr> {
    plan.routers.iter().filter_map(|router| match router.parse() {
        Ok(addr) => Some(addr),
        Err(error) => {
            tracing::debug!(%router, %error, "address of a router cannot be read");
            None
        }
    })
}

fn planner_rank(plan: &peers::EnginePlan) -> crate::peers::Rank {
    crate::peers::Rank::new(plan.strength, plan.planner.as_str())
}
