//! The agent process: beside one engine, and the only one that gives it orders.
//!
//! It asks its engine for its account of itself, tells routers of it, and works off the plan that
//! the planning router sends, one order at a time. It is not on the way of requests: when it is
//! frozen or killed, the engine goes on serving what it holds. Because each engine is ordered from
//! one host only, no two holders can take turns at it, and no lease is needed.

mod account;
mod turns;

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
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two looks while an order is carried out: a load from memory takes 0.4 s, and each
/// millisecond after its end is a millisecond that requests wait.
const BUSY_PAUSE: Duration = Duration::from_millis(30);
/// Pause between two messages to routers if nothing changes, and what each router beyond some twenty
/// adds to it, so that the messages of fifty engines take under a tenth of a small host's processor.
const NEWS_PAUSE: Duration = Duration::from_millis(500);
const NEWS_PAUSE_EACH: Duration = Duration::from_millis(25);
/// Longest such pause; routers count an agent as gone after three of them.
const LONGEST_NEWS_PAUSE: Duration = Duration::from_millis(900);
/// A router that asked for an adapter within this time hears at once that it is there.
const ASKED_LATELY: Duration = Duration::from_millis(500);
/// A planner that was not heard for this long is no longer the one to follow.
const PLANNER_SILENT: Duration = Duration::from_millis(1_300);
/// Adapters that were asked for within this time are kept in mind.
const ASKED_FOR: Duration = Duration::from_secs(8);
/// An order without an answer is taken as lost when the engine shows nothing of it for this long.
/// The next one carries the same number of orders, so the engine carries out one of them at most, and
/// one given too early costs a refused call. An engine beside its agent answers within some ms, and
/// meanwhile nothing else can be ordered.
const LOST_AFTER: Duration = Duration::from_millis(250);

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
struct Ongoing {
    order: reconcile::Command,
    since: Instant,
    takes: Duration,
    from_store: bool,
    answered: bool,
    after_orders: u64,
}

/// A plan that is being followed.
#[derive(Clone, Debug)]
struct Plan {
    plan: peers::EnginePlan,
    heard: Instant,
}

/// What the engine said of itself when it was asked its name. Not all engines say when they started,
/// so fewer orders than it had accepted before tell a new start as well, and so does a plan for another
/// engine: an agent that has missed a start would else tell routers that the new engine is the old one.
#[derive(Clone, Debug)]
struct Named {
    name: Option<names::TargetId>,
    /// The engine that the plan was for then.
    planned: names::TargetId,
    born: u64,
    orders: u64,
}

#[derive(Default)]
struct State {
    plan: Option<Plan>,
    asked: Vec<reconcile::AdapterRequest>,
    ongoing: Option<Ongoing>,
    said: Option<(Instant, peers::EngineNews)>,
    /// The engine said that it is not this one: the plan is for one that has ended.
    ended: Option<names::TargetId>,
    /// The name that the engine said; none after it did not answer.
    named: Option<Named>,
    askers: BTreeMap<SocketAddr, Instant>,
}

struct Agent<E> {
    settings: Settings,
    clock: clock::SharedClock,
    engine: E,
    outbox: control::Outbox,
    state: RefCell<State>,
    wake: Notify,
    turns: RefCell<prefill::PermitQueue<SocketAddr>>,
    turns_changed: Notify,
}

/// Runs an agent until `stop` is done.
///
/// # Errors
///
/// See [`router::StartError`].
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
            turns: RefCell::default(),
            turns_changed: Notify::new(),
            settings,
            clock,
        });
        tracing::info!(name = %agent.settings.name, "agent started");
        let listening = agent.clone();
        tokio::task::spawn_local(async move {
            control::receive(&socket, |from, message| listening.take(from, message)).await;
        });
        tokio::select! {
            () = agent.work() => {}
            () = agent.give_turns() => {}
            () = stop => {}
        }
        tracing::info!("agent stopped");
        Ok(())
    })
}

impl<E: dialect::EngineApi> Agent<E> {
    fn take(&self, from: SocketAddr, message: PeerMessage) {
        let now = self.clock.now();
        match message {
            PeerMessage::EnginePlan(plan) => self.take_plan(now, plan),
            PeerMessage::AdaptersAsked(asked) => self.take_asked(now, from, asked),
            PeerMessage::PrefillAsked(asked) => self.take_prefill(now, from, &asked),
            PeerMessage::PrefillWithdrawn(withdrawn) => {
                self.turns.borrow_mut().cancel(withdrawn.id);
                self.turns_changed.notify_one();
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
    fn take_plan(&self, now: Instant, plan: peers::EnginePlan) {
        let mut state = self.state.borrow_mut();
        if let Some(last) = &state.plan {
            let live = now.saturating_duration_since(last.heard) < PLANNER_SILENT;
            let other = last.plan.planner != plan.planner;
            if live && other && rank(&last.plan) > rank(&plan) {
                return;
            }
            if !other && plan.serial < last.plan.serial && live {
                return;
            }
            if other {
                tracing::info!(planner = %plan.planner, before = %last.plan.planner, "another planner");
            }
        }
        let changed = state.plan.as_ref().is_none_or(|last| last.plan.parts != plan.parts);
        state.plan = Some(Plan { plan, heard: now });
        if changed {
            self.wake.notify_one();
        }
    }

    /// Keeps in mind what is asked for, the newest first.
    fn take_asked(&self, now: Instant, from: SocketAddr, asked: peers::AdaptersAsked) {
        let mut state = self.state.borrow_mut();
        state.askers.insert(from, now);
        state.askers.retain(|_, at| now.saturating_duration_since(*at) < ASKED_LATELY);
        for ask in asked.adapters {
            state.asked.retain(|old| old.model != ask.model || old.adapter != ask.adapter);
            let ask = reconcile::AdapterRequest {
                model: ask.model,
                adapter: ask.adapter,
                requested_at: now,
            };
            state.asked.insert(0, ask);
        }
        state.asked.retain(|ask| now.saturating_duration_since(ask.requested_at) < ASKED_FOR);
        self.wake.notify_one();
    }

    async fn work(&self) {
        let mut lost = false;
        loop {
            let pause = match self.engine.report().await {
                Ok(report) => {
                    if std::mem::take(&mut lost) {
                        tracing::info!("the engine answers again");
                    }
                    self.look(report).await
                }
                Err(error) => {
                    if !std::mem::replace(&mut lost, true) {
                        tracing::warn!(%error, "the engine does not answer: it is asked again");
                    }
                    let mut state = self.state.borrow_mut();
                    state.ongoing = None;
                    state.named = None;
                    drop(state);
                    if matches!(error, dialect::ReportError::Exited(_)) {
                        self.say_gone();
                    }
                    IDLE_PAUSE
                }
            };
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Acts on the engine's account of itself; returns when to look again.
    async fn look(&self, report: dialect::EngineReport) -> Duration {
        let now = self.clock.now();
        self.settle(now, &report);
        let Some(plan) = self.state.borrow().plan.clone() else { return IDLE_PAUSE };
        let name = self.name(&plan.plan, &report).await;
        if let Some(name) = name.filter(|name| *name != plan.plan.target) {
            self.say_replaced(&plan.plan, &report, name);
            return IDLE_PAUSE;
        }
        self.say(now, &plan.plan, &report);
        let Some(order) = self.next(now, &plan.plan, &report) else {
            let busy = report.busy || report.adapters_loading > 0;
            let waits = self.state.borrow().ongoing.is_some() || busy;
            return if waits { BUSY_PAUSE } else { IDLE_PAUSE };
        };
        self.give(now, &plan.plan, &report, order).await;
        BUSY_PAUSE
    }

    /// Tells all routers that the engine's process has ended, again each time that it is found so.
    fn say_gone(&self) {
        let state = self.state.borrow();
        let (Some(plan), Some((_, said))) = (&state.plan, &state.said) else { return };
        let gone = peers::EngineGone { target: said.target.clone(), born: said.born };
        for addr in routers(&plan.plan) {
            self.outbox.send(addr, &PeerMessage::EngineGone(gone.clone()));
        }
    }

    /// The engine's name, asked for once after each start of it and each change of the plan's engine.
    async fn name(
        &self,
        plan: &peers::EnginePlan,
        report: &dialect::EngineReport,
    ) -> Option<names::TargetId> {
        let born = report.started_at_ms.unwrap_or(0);
        let orders = report.holdings.commands_accepted;
        if let Some(named) = &mut self.state.borrow_mut().named
            && named.born == born
            && named.orders <= orders
            && named.planned == plan.target
        {
            named.orders = orders;
            return named.name.clone();
        }
        match self.engine.name(&plan.health_path).await {
            Ok(name) => {
                tracing::info!(?name, born, "the engine's name");
                let planned = plan.target.clone();
                let named = Named { name: name.clone(), planned, born, orders };
                self.state.borrow_mut().named = Some(named);
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
    fn say_replaced(
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
        routers(plan).for_each(|addr| self.outbox.send(addr, &replaced));
    }

    /// Sees whether what is under way has ended.
    fn settle(&self, now: Instant, report: &dialect::EngineReport) {
        let mut state = self.state.borrow_mut();
        let Some(ongoing) = &state.ongoing else { return };
        let shows = report.holdings.commands_accepted > ongoing.after_orders;
        let silent = now.saturating_duration_since(ongoing.since) > LOST_AFTER;
        let over = !report.busy && (shows || silent);
        if over {
            let ms = now.saturating_duration_since(ongoing.since).as_millis() as u64;
            tracing::info!(order = ?ongoing.order, ms, shows, answered = ongoing.answered, "order ended");
            state.ongoing = None;
        }
    }

    fn next(
        &self,
        now: Instant,
        plan: &peers::EnginePlan,
        report: &dialect::EngineReport,
    ) -> Option<reconcile::Command> {
        let state = self.state.borrow();
        if state.ongoing.is_some() || state.ended.as_ref() == Some(&plan.target) {
            return None;
        }
        let room = reconcile::Capacity {
            weights_mb: plan.weights_mb,
            adapter_slots: plan.adapter_places as usize,
        };
        let parts = account::parts(plan);
        let coming = report.adapters_loading;
        let adapter = || {
            reconcile::next_adapter_command(
                now,
                room,
                &parts,
                &report.holdings,
                coming,
                &state.asked,
            )
        };
        let model = || match report.busy {
            true => None,
            false => reconcile::next_model_command(room, &parts, &report.holdings),
        };
        // An adapter takes some ms and its request waits; a model takes a second and more.
        if report.busy { None } else { adapter().or_else(model) }
    }

    async fn give(
        &self,
        now: Instant,
        plan: &peers::EnginePlan,
        report: &dialect::EngineReport,
        order: reconcile::Command,
    ) {
        let (takes, from_store) = account::takes(plan, report, &order);
        let after_orders = report.holdings.commands_accepted;
        let ongoing = Ongoing {
            order: order.clone(),
            since: now,
            takes,
            from_store,
            answered: false,
            after_orders,
        };
        let model_order =
            matches!(order, reconcile::Command::Load(_) | reconcile::Command::Unload(_));
        if model_order {
            self.state.borrow_mut().ongoing = Some(ongoing);
            // Routers hear that a model goes before it does, and send nothing there any more.
            self.say(now, plan, report);
        }
        let target = &plan.target;
        let end = self
            .engine
            .execute(dialect::GuardedCommand {
                target,
                command: &order,
                commands_accepted: after_orders,
            })
            .await;
        tracing::info!(%target, ?order, ?end, after_orders, from_store, "order given");
        let mut state = self.state.borrow_mut();
        match end {
            dialect::CommandOutcome::Accepted | dialect::CommandOutcome::Unknown => {
                if let Some(ongoing) = &mut state.ongoing {
                    ongoing.answered = end == dialect::CommandOutcome::Accepted;
                }
            }
            dialect::CommandOutcome::OtherEngine => {
                state.ongoing = None;
                state.ended = Some(target.clone());
                state.named = None;
            }
            _ => state.ongoing = None,
        }
    }

    /// Tells routers of the engine: all when its models change or they have not heard for a while,
    /// those that asked for adapters when these change.
    fn say(&self, now: Instant, plan: &peers::EnginePlan, report: &dialect::EngineReport) {
        let mut state = self.state.borrow_mut();
        let news = account::news(now, plan, report, state.ongoing.as_ref());
        let pause = NEWS_PAUSE.max(NEWS_PAUSE_EACH * plan.routers.len() as u32);
        let pause = pause.min(LONGEST_NEWS_PAUSE);
        let to_all = state.said.as_ref().is_none_or(|(at, said)| {
            now.saturating_duration_since(*at) >= pause || account::differs(said, &news)
        });
        let adapters = state.said.as_ref().is_some_and(|(_, said)| said.resident != news.resident);
        if !to_all && !adapters {
            return;
        }
        let copies = peers::WeightCopies {
            in_memory: report.holdings.in_memory.clone(),
            on_disk: report.holdings.on_disk.clone(),
        };
        let full =
            PeerMessage::EngineNews(peers::EngineNews { copies: vec![copies], ..news.clone() });
        let short = PeerMessage::EngineNews(news.clone());
        for (index, addr) in routers(plan).enumerate() {
            if to_all || state.askers.contains_key(&addr) {
                self.outbox.send(addr, if index == 0 { &full } else { &short });
            }
        }
        let at = match &state.said {
            Some((at, _)) if !to_all => *at,
            _ => now,
        };
        state.said = Some((at, news));
    }
}

/// Addresses of the routers that a plan names.
fn routers(plan: &peers::EnginePlan) -> impl Iterator<Item = SocketAddr> {
    plan.routers.iter().filter_map(|router| match router.parse() {
        Ok(addr) => Some(addr),
        Err(error) => {
            tracing::debug!(%router, %error, "address of a router cannot be read");
            None
        }
    })
}

fn rank(plan: &peers::EnginePlan) -> crate::peers::Rank {
    crate::peers::Rank::new(plan.strength, plan.planner.as_str())
}
