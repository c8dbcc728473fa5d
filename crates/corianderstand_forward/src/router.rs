//! The router process: its settings, what its parts share, and its start and stop.

use crate::{
    client, control, copies, decisions, dialect, follow, job, metrics, peers, pool, prefill,
    readers, server, transfer, view,
};
use corianderstand_derives::derives;
use corianderstand_fleet::{budget, choose, demand, targets, wait_limit};
use corianderstand_schema::peers::StoreUse;
use corianderstand_types::{clock, names, pause};
use http::StatusCode;
use smol_str::SmolStr;
use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::Notify;

/// What a router needs of a platform.
pub trait Platform: dialect::Dialect + dialect::Store + 'static {}

impl<T: dialect::Dialect + dialect::Store + 'static> Platform for T {}

/// What a router is told at its start.
#[derives(data)]
pub struct Settings {
    /// Its name, unlike that of any other router.
    pub name: SmolStr,
    /// Where it stands.
    pub zone: names::AvailabilityZoneId,
    /// Processor that its host gives it, in thousandths of a core; the strongest router plans.
    pub strength: u32,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where its readiness is asked for.
    pub ready: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: SmolStr,
    /// Where its metrics are asked for.
    pub metrics: Option<SocketAddr>,
    /// Where other processes reach it.
    pub peers: SocketAddr,
    /// Port at which agents are reached, on their engine's address.
    pub agent_port: u16,
    /// What may change while it runs.
    pub bounds: Bounds,
}

/// Settings that may change while a router runs.
#[derives(data)]
#[derive(Default)]
pub struct Bounds {
    /// Other routers that may be there.
    pub seeds: Vec<SocketAddr>,
    /// Second attempts that the deployment allows.
    pub allowance: budget::Allowance,
    /// Time after which a target that says it leaves gets no more requests.
    pub drain_within: Duration,
    /// Time after which a configuration is in force.
    pub config_within: Duration,
    /// Time that a stop may take.
    pub stop_within: Duration,
}

/// Where settings that change while a router runs come from.
pub trait Reload {
    /// Waits for settings that differ from the last.
    fn next(&mut self) -> impl Future<Output = Settings>;
}

/// Settings that never change.
pub struct Fixed;

impl Reload for Fixed {
    async fn next(&mut self) -> Settings {
        std::future::pending().await
    }
}

/// The times of a stop.
#[derives(key)]
pub struct Stop {
    /// Requests that come from then on are refused: callers have been sent elsewhere, and what
    /// begins later would be cut.
    pub refuses_from: Instant,
    /// Requests that have no head of an answer by then get one of the router's own.
    pub answers_by: Instant,
}

/// What the parts of a router share.
pub struct Shared<P> {
    /// The platform's dialect and store.
    pub platform: P,
    /// Its settings at the start.
    pub settings: Settings,
    /// Those of its settings that may change, as they are now.
    pub bounds: RefCell<Bounds>,
    /// Time.
    pub clock: clock::SharedClock,
    /// Callers' connections, and the pauses of this process.
    pub pauses: Arc<pause::PauseDetector>,
    /// Start of this process, in Unix milliseconds.
    pub incarnation: u64,
    /// What it believes of the fleet.
    pub view: RefCell<view::View>,
    /// What it knows of other routers.
    pub peers: RefCell<peers::Peers>,
    /// What it has read of the store.
    pub copies: RefCell<copies::Copies>,
    /// Connections to targets.
    pub pool: Rc<pool::Pool>,
    /// Requests that wait for their turns at engines.
    pub turns: prefill::Turns,
    /// What became of requests.
    pub log: decisions::Log,
    /// A request waits: the planner should hear of it now.
    pub tell_planner: Notify,
    /// A target proved to be another than was thought: the store should be read now.
    pub targets_outdated: Notify,
    /// Datagrams to be sent.
    pub outbox: control::Outbox,
    /// It is stopping, and how.
    pub stopping: Cell<Option<Stop>>,
    /// Requests that are being answered.
    pub open: Cell<usize>,
}

impl<P: Platform> Shared<P> {
    /// Whether a request that comes now is refused because this router is about to end.
    pub fn refuses(&self, now: Instant) -> bool {
        self.stopping.get().is_some_and(|stop| now >= stop.refuses_from)
    }

    /// Whether the first reads of the configuration and of the targets are still under way.
    pub fn is_starting(&self) -> bool {
        let view = self.view.borrow();
        let copies = self.copies.borrow();
        let failed = |subject| copies.is_lost(subject);
        if self.stopping.get().is_some() {
            return false;
        }
        (view.table.is_none() && !failed(dialect::Subject::Config))
            || (view.targets.is_empty()
                && copies.next(dialect::Subject::Targets) == 0
                && !failed(dialect::Subject::Targets))
    }

    /// When a request that has nothing yet is given up: sooner than its own time if this router
    /// stops.
    pub fn latest(&self, job: &job::Job) -> Instant {
        self.stopping.get().map_or(job.deadline, |stop| job.deadline.min(stop.answers_by))
    }

    /// A request has come.
    pub fn note_arrival(&self, job: &job::Job) {
        let now = self.clock.now();
        let mut view = self.view.borrow_mut();
        if let Some(wanted) = &job.call.requested_model {
            let weight = demand::RequestProfile {
                prompt_tokens: job.call.prompt_tokens,
                uses_adapter: wanted.adapter.is_some(),
                latency_objective: job.route.latency_objective,
            };
            view.demand.record_request(now, &wanted.model, weight);
        }
        let allowance = self.bounds.borrow().allowance;
        view.budgets.entry(job.service.clone()).or_default().earn(now, &allowance);
    }

    /// What this router does about the store.
    pub fn role(&self, now: Instant) -> readers::Role {
        let own = peers::Rank::new(self.settings.strength, &self.settings.name);
        let neighbours = self.peers.borrow().neighbours(now, &self.settings.zone);
        readers::role(&own, &self.settings.name, &neighbours)
    }

    /// How this router learns what the store has.
    pub fn store_use(&self, now: Instant) -> StoreUse {
        let copies = self.copies.borrow();
        let lost = |subject| copies.is_lost(subject);
        if lost(dialect::Subject::Config) || lost(dialect::Subject::Targets) {
            return StoreUse::Lost;
        }
        match self.role(now) {
            readers::Role::Follows(_) => StoreUse::Follows,
            _ => StoreUse::Reads,
        }
    }

    /// How current what is known of a subject is.
    pub fn age(&self, now: Instant, subject: dialect::Subject) -> copies::Age {
        let copies = self.copies.borrow();
        let behind = self.peers.borrow().ahead(now, subject, copies.next(subject)).next().is_some();
        copies::Age { since_read: copies.since_read(now, subject), behind }
    }

    /// Takes one second attempt from the budget.
    pub fn spend_repeat(&self, service: &names::ServiceId) -> bool {
        let now = self.clock.now();
        let routers = 1 + self.peers.borrow().live(now).count();
        let mut view = self.view.borrow_mut();
        let budget = view.budgets.entry(service.clone()).or_default();
        budget.spend(now, &self.bounds.borrow().allowance, routers)
    }

    /// Chooses a target for a request.
    pub fn choose(&self, now: Instant, job: &job::Job) -> choose::Choice {
        let view = self.view.borrow();
        let engine = view.service(&job.service).and_then(|service| service.engine.as_ref());
        let query = choose::Query {
            service: &job.service,
            requested: job.call.requested_model.as_ref(),
            tokens: job.tokens(),
            cache_tokens: engine.map_or(0, |engine| engine.cache_tokens),
            adapter_slots: engine.map_or(0, |engine| engine.adapter_slots),
            zone: &self.settings.zone,
            tried: &job.tried,
            hash: job.hash,
            cached_prefix: view.prefixes.find(&job.chain),
        };
        choose::choose(now, &view.targets, &query)
    }

    /// Whether another target could take a request now that is at `key`.
    pub fn has_alternative(&self, now: Instant, job: &job::Job, key: targets::TargetKey) -> bool {
        debug_assert!(job.tried.contains(&key));
        (job.tried.len() as u32) < job.route.max_targets
            && matches!(self.choose(now, job), choose::Choice::Send(_))
    }

    /// What is known of the model or the room that a request waits for.
    pub fn expected(
        &self,
        now: Instant,
        job: &job::Job,
        choice: choose::Choice,
    ) -> wait_limit::Readiness {
        match choice {
            choose::Choice::NoTarget => wait_limit::Readiness::Unknown,
            choose::Choice::Full => wait_limit::Readiness::AtCapacity,
            choose::Choice::LoadAdapter(key) => self.view.borrow().expected_adapter(key),
            _ => self.view.borrow().expected(now, &job.service, job.call.requested_model.as_ref()),
        }
    }

    /// Where a target is, and its name.
    pub fn address(&self, key: targets::TargetKey) -> Option<(SocketAddr, names::TargetId)> {
        let view = self.view.borrow();
        view.targets.get(key).map(|target| (target.entry.addr, target.entry.id.clone()))
    }

    /// A request met trouble at a target.
    pub fn target_failed(&self, key: targets::TargetKey, why: &'static str) {
        let now = self.clock.now();
        let mut view = self.view.borrow_mut();
        let Some(target) = view.targets.get_mut(key) else { return };
        target.health.record_failure(now);
        let trouble = target.health.failure_score(now);
        tracing::debug!(target = %target.entry.id, trouble, why, "target failed");
    }

    /// No connection to a target could be opened.
    pub fn no_connection(&self, key: targets::TargetKey, error: &io::Error) {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            let now = self.clock.now();
            let mut view = self.view.borrow_mut();
            if let Some(target) = view.targets.get_mut(key) {
                target.record_unreachable(now);
                tracing::info!(target = %target.entry.id, "nobody listens at the target's address");
            }
        }
        self.target_failed(key, "no connection");
    }

    /// A target answered as it should.
    pub fn target_succeeded(&self, key: targets::TargetKey) {
        let now = self.clock.now();
        if let Some(target) = self.view.borrow_mut().targets.get_mut(key) {
            target.health.record_success(now);
        }
    }

    /// An event of a stream came after another.
    pub fn note_pause(&self, key: targets::TargetKey, now: Instant, last: Instant) {
        if let Some(target) = self.view.borrow_mut().targets.get_mut(key) {
            target.event_interval.record(now, now.saturating_duration_since(last));
        }
    }

    /// An agent told how long its engine still reads prompts.
    pub fn note_reading(&self, key: targets::TargetKey, now: Instant, reading: Duration) {
        if let Some(target) = self.view.borrow_mut().targets.get_mut(key) {
            target.record_prefill_backlog(now, reading);
        }
    }

    /// Whether a target that was chosen for a request can still get it.
    pub fn may_serve(&self, key: targets::TargetKey, job: &job::Job, now: Instant) -> bool {
        let view = self.view.borrow();
        view.targets.get(key).is_some_and(|target| {
            target.accepts_requests(now)
                && job.model().is_none_or(|model| target.serves(now, model))
        })
    }

    /// The first event of a stream came.
    pub fn note_first(&self, job: &job::Job, now: Instant) {
        let (Some(model), Some(sent)) = (job.model(), job.sent_at) else { return };
        let took = now.saturating_duration_since(sent);
        self.view.borrow_mut().demand.record_first_event(model, job.prefill_tokens, took);
    }

    /// A target told its load.
    pub fn note_load(&self, key: targets::TargetKey, load: targets::Load) {
        if let Some(target) = self.view.borrow_mut().targets.get_mut(key) {
            target.record_load(load);
        }
    }

    /// A target did not run a request: it does not hold the model, is another one, or is full.
    pub fn not_run(
        &self,
        key: targets::TargetKey,
        job: &job::Job,
        status: StatusCode,
        answers: Option<&names::TargetId>,
    ) {
        let now = self.clock.now();
        let mut view = self.view.borrow_mut();
        let Some(target) = view.targets.get_mut(key) else { return };
        self.log.attempt_failed(job, "the target did not run it", Some(status.as_u16()), now);
        if answers.is_some_and(|other| *other != target.entry.id) {
            // It has ended, and another has its address. Its entry may stay for seconds, or as long
            // as the store is away, and each request until then would be refused here.
            tracing::info!(target = %target.entry.id, by = ?answers, "target replaced");
            target.entry.draining = true;
            self.targets_outdated.notify_one();
            return;
        }
        match &job.call.requested_model {
            Some(wanted) => target.record_absent_model(now, &wanted.model),
            None => target.health.record_failure(now),
        }
    }

    /// Has an adapter loaded at a target.
    pub fn ask_for_adapter(&self, key: targets::TargetKey, job: &job::Job) {
        let asked = job.call.requested_model.as_ref().and_then(control::asked_adapter);
        control::ask_for_adapters(self, key, asked.into_iter().collect());
    }
}

/// A router that cannot start.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// cannot listen on {addr} ({error}): check that no other process uses the port
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the system says.
        error: io::Error,
    },
    /// the runtime cannot be started ({0}): check the limits on threads and descriptors
    Runtime(io::Error),
}

impl std::error::Error for StartError {}

/// Runs a router until `stop` is done and all that it has begun is answered.
///
/// # Errors
///
/// See [`StartError`].
pub fn run<P: Platform>(
    settings: Settings,
    clock: clock::SharedClock,
    platform: impl FnOnce(client::Client) -> P,
    stop: impl Future<Output = ()> + 'static,
    reload: impl Reload + 'static,
) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        let store_pool = Rc::new(pool::Pool::default());
        let platform = platform(client::Client::new(store_pool, clock.clone()));
        let udp = control::bind(settings.peers).await?;
        let shared = Rc::new(Shared {
            platform,
            incarnation: clock::unix_ms(clock.wall()),
            pauses: Arc::new(pause::PauseDetector::new(clock.since_boot())),
            clock,
            view: RefCell::default(),
            peers: RefCell::default(),
            copies: RefCell::default(),
            pool: Rc::default(),
            turns: prefill::Turns::default(),
            log: decisions::Log::default(),
            tell_planner: Notify::new(),
            targets_outdated: Notify::new(),
            outbox: control::Outbox::new(udp),
            stopping: Cell::new(None),
            open: Cell::new(0),
            bounds: RefCell::new(settings.bounds.clone()),
            settings,
        });
        let ready = server::listen(shared.settings.ready)?;
        let front = server::listen(shared.settings.front)?;
        let transfers = server::listen(shared.settings.peers)?;
        if let Some(addr) = shared.settings.metrics {
            metrics::serve(&shared, server::listen(addr)?);
        }
        tokio::task::spawn_local(follow_settings(shared.clone(), reload));
        follow::start(&shared);
        control::start(&shared);
        transfer::serve(&shared, transfers);
        server::serve_ready(&shared, ready);
        tokio::task::spawn_local(watch_pauses(shared.clone()));
        tracing::info!(name = %shared.settings.name, front = %shared.settings.front, "router started");
        server::serve(&shared, front, stop).await;
        if let Err(error) = shared.platform.withdraw(&shared.settings.name).await {
            tracing::warn!(%error, "other routers were not told of the stop");
        }
        tracing::info!("router stopped");
        Ok(())
    })
}

/// Turns the watch for pauses on the thread that reads requests.
async fn watch_pauses<P>(shared: Rc<Shared<P>>) {
    loop {
        shared.pauses.tick(shared.clock.since_boot());
        tokio::time::sleep(pause::TICK_INTERVAL).await;
    }
}

/// Puts settings that have changed into force.
async fn follow_settings<P>(shared: Rc<Shared<P>>, mut reload: impl Reload) {
    loop {
        let settings = reload.next().await;
        let bounds = settings.bounds.clone();
        let same = Settings { bounds: shared.settings.bounds.clone(), ..settings };
        if same != shared.settings {
            tracing::warn!(
                "settings other than bounds and seeds have changed: they hold from the next start on"
            );
        }
        tracing::info!(?bounds, "settings reloaded");
        *shared.bounds.borrow_mut() = bounds;
    }
}
