//! The agent process, which runs beside one engine and is the only one to send it commands.
//!
//! It polls the engine's state, reports it to routers and executes the planner's plan one command at
//! a time. It is not on the request path: if it hangs or is killed, the engine keeps serving the
//! models it holds. As each engine has a single agent, commands need no lease.

mod permits;
mod report;
mod updates;

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

const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between polls of the engine while it executes a command that requests wait for.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// A planner that renews nothing in this many of its intervals may be superseded by one of lower rank.
const PLANNER_TIMEOUT_RENEWALS: f64 = 2.6;
const ADAPTER_REQUEST_RETENTION: Duration = Duration::from_secs(8);
/// A command without effect is sent again, with the same `after_orders` so that it executes once.
const COMMAND_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Settings of an agent.
#[derives(data)]
pub struct Settings {
    /// Name of the agent.
    pub name: SmolStr,
    /// Address on which it receives datagrams from routers.
    pub listen: SocketAddr,
}

#[derive(Clone, Debug)]
struct OngoingCommand {
    command: reconcile::Command,
    started_at: Instant,
    expected_duration: Duration,
    from_store: bool,
    is_accepted: bool,
    commands_accepted_before: u64,
}

#[derive(Clone, Debug)]
struct ReceivedPlan {
    plan: peers::EnginePlan,
    received_at: Instant,
}

/// The engine's name, cached until the engine may have restarted: a lower command count or a plan for
/// another target invalidates it too, as not all engines report their start time.
#[derive(Clone, Debug)]
struct EngineIdentity {
    engine_name: Option<names::TargetId>,
    planned_target: names::TargetId,
    started_at_ms: u64,
    commands_accepted: u64,
}

#[derive(Default)]
struct AgentState {
    plan: Option<ReceivedPlan>,
    requested_adapters: Vec<reconcile::AdapterRequest>,
    ongoing: Option<OngoingCommand>,
    last_update: Option<(Instant, peers::EngineUpdate)>,
    /// Target of a plan that the engine rejected as meant for another engine.
    mismatched_target: Option<names::TargetId>,
    identity: Option<EngineIdentity>,
    recent_requesters: BTreeMap<SocketAddr, updates::Requester>,
    /// When the engine was last asked for a report.
    report_asked_at: Option<Instant>,
    /// Start time of the engine in its last report.
    engine_started_at_ms: Option<Option<u64>>,
    /// When hubs were last sent the end or the new name of the engine.
    exit_relayed_at: Option<Instant>,
}

struct Agent<E> {
    settings: Settings,
    clock: clock::SharedClock,
    engine: E,
    outbox: control::Outbox,
    state: RefCell<AgentState>,
    wake: Notify,
    permits: RefCell<prefill::PermitQueue<SocketAddr>>,
    permits_changed: Notify,
}

/// Runs an agent until `stop` is done.
pub fn run<E: dialect::EngineApi + 'static>(
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
        let receiver = agent.clone();
        tokio::task::spawn_local(async move {
            control::receive(&socket, |from, message| receiver.on_message(from, message)).await;
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

impl<E: dialect::EngineApi> Agent<E> {
    fn on_message(&self, from: SocketAddr, message: PeerMessage) {
        let now = self.clock.now();
        match message {
            PeerMessage::EnginePlan(plan) => self.on_plan(now, plan),
            PeerMessage::AdaptersAsked(request) => self.on_adapters_requested(now, from, request),
            PeerMessage::PlanRenewed(renewal) => self.on_plan_renewed(now, &renewal),
            PeerMessage::PrefillAsked(request) => self.on_prefill_request(now, from, &request),
            PeerMessage::PrefillWithdrawn(withdrawn) => {
                self.permits.borrow_mut().cancel(withdrawn.id);
                self.permits_changed.notify_one();
            }
            PeerMessage::RouterNews(_)
            | PeerMessage::RecordsNews(_)
            | PeerMessage::RoutersUnheard(_)
            | PeerMessage::ConfigProven(_)
            | PeerMessage::PrefillAnswer(_)
            | PeerMessage::EngineNews(_)
            | PeerMessage::EngineGone(_)
            | PeerMessage::EngineReplaced(_)
            | PeerMessage::TargetReports(_)
            | PeerMessage::ToZone(_)
            | PeerMessage::Relayed(_)
            | PeerMessage::SlotAsked(_)
            | PeerMessage::SlotAnswer(_)
            | PeerMessage::FreshnessAsked(_)
            | PeerMessage::FreshnessAnswer(_)
            | PeerMessage::QuotaAsked(_)
            | PeerMessage::QuotaAnswer(_)
            | PeerMessage::StreamsBegan(_)
            | PeerMessage::OriginAsked(_)
            | PeerMessage::OriginAnswer(_) => {
                tracing::debug!(%from, "ignored a message addressed to routers");
            }
        }
    }

    /// Accepts a plan unless a planner of higher rank is active or the plan is out of order.
    fn on_plan(&self, now: Instant, plan: peers::EnginePlan) {
        let mut state = self.state.borrow_mut();
        if let Some(last) = &state.plan {
            let timeout = planner_timeout(&last.plan);
            let responsive = now.saturating_duration_since(last.received_at) < timeout;
            let different_planner = last.plan.planner != plan.planner;
            if responsive && different_planner && planner_rank(&last.plan) > planner_rank(&plan) {
                return;
            }
            if !different_planner && plan.serial < last.plan.serial && responsive {
                return;
            }
            if different_planner {
                tracing::info!(planner = %plan.planner, before = %last.plan.planner, "planner changed");
            }
        }
        let changed = state.plan.as_ref().is_none_or(|last| last.plan.serial != plan.serial);
        state.plan = Some(ReceivedPlan { plan, received_at: now });
        if changed {
            self.wake.notify_one();
        }
    }

    /// Records that the planner keeps its last plan.
    fn on_plan_renewed(&self, now: Instant, renewal: &peers::PlanRenewal) {
        let mut state = self.state.borrow_mut();
        if let Some(last) = &mut state.plan
            && last.plan.planner == renewal.planner
            && last.plan.serial == renewal.serial
        {
            last.received_at = now;
        }
    }

    fn on_adapters_requested(
        &self,
        now: Instant,
        from: SocketAddr,
        request: peers::AdapterRequest,
    ) {
        let mut state = self.state.borrow_mut();
        state.record_requester(now, from, true);
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
            let asked_at = self.clock.now();
            self.state.borrow_mut().report_asked_at = Some(asked_at);
            let delay = match self.engine.report().await {
                Ok(report) => {
                    self.record_held(asked_at, &report);
                    if std::mem::take(&mut unresponsive) {
                        tracing::info!("engine is responsive again");
                    }
                    self.on_report(report).await
                }
                Err(error) => {
                    if !std::mem::replace(&mut unresponsive, true) {
                        tracing::warn!(%error, "engine does not answer, retrying");
                    }
                    let mut state = self.state.borrow_mut();
                    state.ongoing = None;
                    state.identity = None;
                    drop(state);
                    if matches!(error, dialect::ReportError::Exited(_)) {
                        self.permits.borrow_mut().forget_engine();
                        self.send_engine_exited();
                    }
                    IDLE_POLL_INTERVAL
                }
            };
            let awaits_report = self.permits.borrow().awaits_report(self.clock.now());
            let delay = if awaits_report { delay.min(BUSY_POLL_INTERVAL) } else { delay };
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep(delay) => {}
            }
        }
    }

    /// Acts on the engine's report and returns the delay before the next poll.
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
            let busy = report.is_executing_command || report.adapters_loading > 0;
            let in_progress = self.state.borrow().ongoing.is_some() || busy;
            return if in_progress { BUSY_POLL_INTERVAL } else { IDLE_POLL_INTERVAL };
        };
        self.execute(now, &plan.plan, &report, command).await;
        BUSY_POLL_INTERVAL
    }

    fn send_engine_exited(&self) {
        let state = self.state.borrow();
        let (Some(plan), Some((_, last))) = (state.plan.clone(), &state.last_update) else {
            return;
        };
        let exited = peers::EngineGone { target: last.target.clone(), born: last.born };
        drop(state);
        self.send_identity_change(&plan.plan, &PeerMessage::EngineGone(exited));
    }

    /// Returns the engine's name, querying it only when the cached one may be stale.
    async fn engine_name(
        &self,
        plan: &peers::EnginePlan,
        report: &dialect::EngineReport,
    ) -> Option<names::TargetId> {
        let started_at_ms = report.started_at_ms.unwrap_or(0);
        let commands_accepted = report.holdings.commands_accepted;
        if let Some(identity) = &mut self.state.borrow_mut().identity
            && identity.started_at_ms == started_at_ms
            && identity.commands_accepted <= commands_accepted
            && identity.planned_target == plan.target
        {
            identity.commands_accepted = commands_accepted;
            return identity.engine_name.clone();
        }
        match self.engine.name(&plan.health_path).await {
            Ok(name) => {
                tracing::info!(?name, born = started_at_ms, "engine identified");
                let planned_target = plan.target.clone();
                let identity = EngineIdentity {
                    engine_name: name.clone(),
                    planned_target,
                    started_at_ms,
                    commands_accepted,
                };
                self.state.borrow_mut().identity = Some(identity);
                name
            }
            Err(error) => {
                tracing::warn!(%error, "engine did not report its name, retrying");
                None
            }
        }
    }

    /// Reports that this engine replaced the plan's target, so that it is planned for before it registers.
    fn send_engine_replaced(
        &self,
        plan: &peers::EnginePlan,
        report: &dialect::EngineReport,
        name: names::TargetId,
    ) {
        let replaced = PeerMessage::EngineReplaced(peers::EngineReplaced {
            target: name,
            born: report.started_at_ms.unwrap_or(0),
            before: plan.target.clone(),
        });
        self.send_identity_change(plan, &replaced);
    }

    fn finish_ongoing(&self, now: Instant, report: &dialect::EngineReport) {
        let mut state = self.state.borrow_mut();
        let Some(ongoing) = &state.ongoing else { return };
        let observed = report.holdings.commands_accepted > ongoing.commands_accepted_before;
        let timed_out =
            now.saturating_duration_since(ongoing.started_at) > COMMAND_RESPONSE_TIMEOUT;
        let finished = !report.is_executing_command && (observed || timed_out);
        if finished {
            let ms = now.saturating_duration_since(ongoing.started_at).as_millis() as u64;
            tracing::info!(order = ?ongoing.command, ms, shows = observed, answered = ongoing.is_accepted, "command ended");
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
        if state.ongoing.is_some() || state.mismatched_target.as_ref() == Some(&plan.target) {
            return None;
        }
        let capacity = reconcile::Capacity {
            weights_mb: plan.weights_mb,
            adapter_slots: plan.adapter_places as usize,
        };
        let models = report::engine_models(plan);
        let adapters_loading = report.adapters_loading;
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
        let model = || match report.is_executing_command {
            true => None,
            false => reconcile::next_model_command(capacity, &models, &report.holdings),
        };
        // Adapters load within milliseconds, models within seconds.
        if report.is_executing_command { None } else { adapter().or_else(model) }
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
            is_accepted: false,
            commands_accepted_before: commands_before,
        };
        let changes_model =
            matches!(command, reconcile::Command::Load(_) | reconcile::Command::Unload(_));
        if changes_model {
            self.state.borrow_mut().ongoing = Some(ongoing);
            // Sent before the command, so that routers stop sending requests for an unloading model.
            self.send_update(now, plan, report);
        }
        let target = &plan.target;
        let result = self
            .engine
            .execute(dialect::GuardedCommand {
                target,
                command: &command,
                commands_accepted: commands_before,
            })
            .await;
        tracing::info!(%target, order = ?command, end = ?result, after_orders = commands_before, from_store, "command sent");
        let mut state = self.state.borrow_mut();
        match result {
            dialect::CommandOutcome::Accepted | dialect::CommandOutcome::Unknown => {
                if let Some(ongoing) = &mut state.ongoing {
                    ongoing.is_accepted = result == dialect::CommandOutcome::Accepted;
                }
            }
            dialect::CommandOutcome::OtherEngine => {
                state.ongoing = None;
                state.mismatched_target = Some(target.clone());
                state.identity = None;
            }
            _ => state.ongoing = None,
        }
    }
}

fn planner_timeout(plan: &peers::EnginePlan) -> Duration {
    Duration::from_millis(u64::from(plan.renew_ms)).mul_f64(PLANNER_TIMEOUT_RENEWALS)
}

fn planner_rank(plan: &peers::EnginePlan) -> crate::peers::Rank {
    crate::peers::Rank::new(plan.strength, plan.planner.as_str())
}
