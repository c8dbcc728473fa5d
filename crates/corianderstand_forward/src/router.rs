//! The router process: settings, shared state, startup and shutdown.

use crate::{
    body_end, client, config_proof, continuations, control, copies, decisions, dialect, follow,
    hedge, job, metrics, pacing, peers, pool, prefill, quotas, readers, replicated_records,
    request_slots, retries, server, silent_routers, suspicion, target_reports, transfer, view,
};
use corianderstand_derives::derives;
use corianderstand_fleet::{
    budget, choose, demand, features, overload, quota, request_slots as slots, targets, wait_limit,
};
use corianderstand_schema::peers::StoreUse;
use corianderstand_types::{clock, names, pause};
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

/// A platform that a router can run on.
pub trait Platform: dialect::Dialect + dialect::Store + 'static {}

impl<T: dialect::Dialect + dialect::Store + 'static> Platform for T {}

/// Settings of a router.
#[derives(data)]
pub struct Settings {
    /// Unique name of the router.
    pub name: SmolStr,
    /// Its availability zone.
    pub zone: names::AvailabilityZoneId,
    /// CPU available to it, in thousandths of a core; the router with the most is the planner.
    pub cpu_millicores: u32,
    /// Listener for callers.
    pub caller_addr: SocketAddr,
    /// Listener for readiness checks.
    pub readiness_addr: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: SmolStr,
    /// Listener for metrics, if any.
    pub metrics_addr: Option<SocketAddr>,
    /// Address for datagrams and transfers between processes.
    pub peer_addr: SocketAddr,
    /// UDP port of agents, at the address of their engine.
    pub agent_port: u16,
    /// Whether all routers start for the first time, so that none has announced itself yet.
    pub is_first_start: bool,
    /// Settings that can be reloaded.
    pub bounds: Bounds,
}

/// Settings that can be reloaded while a router runs.
#[derives(data)]
#[derive(Default)]
pub struct Bounds {
    /// Addresses at which other routers may be found.
    pub seeds: Vec<SocketAddr>,
    /// Limits how many retries each service's requests may cause.
    pub allowance: budget::Allowance,
    /// Time within which a draining target must stop receiving requests.
    pub drain_within: Duration,
    /// Time within which a new configuration must be in force.
    pub config_within: Duration,
    /// Time after which a revoked credential must not be accepted, by routers out of touch too; none if
    /// those may accept it until they learn of its revocation.
    pub revoke_within: Option<Duration>,
    /// How far requests may exceed the quota of their workspace.
    pub quota_tolerance: quota::Tolerance,
    /// Time within which a shutdown must complete.
    pub stop_within: Duration,
    /// Features that the operator switches.
    pub features: features::Features,
}

impl Bounds {
    /// Age of the configuration up to which it decides on a credential: one that it knows may have been
    /// revoked since, another one may have been added.
    pub fn max_config_age(&self, is_known: bool) -> Option<Duration> {
        if is_known { self.revoke_within } else { Some(self.config_within) }
    }
}

/// A source of reloaded settings.
pub trait Reload {
    /// Prepares the source. Called in the runtime, before the router listens.
    fn start(&mut self) {}

    /// Waits for settings that differ from the last ones.
    fn next(&mut self) -> impl Future<Output = Settings>;
}

/// A [`Reload`] whose settings never change.
pub struct StaticSettings;

impl Reload for StaticSettings {
    async fn next(&mut self) -> Settings {
        std::future::pending().await
    }
}

/// Deadlines of a shutdown.
#[derives(key)]
pub struct StopDeadlines {
    /// New requests are rejected from then on.
    pub reject_from: Instant,
    /// Requests without a response head by then get an error response.
    pub respond_by: Instant,
}

/// State shared by the parts of a router.
pub struct Shared<P> {
    /// The platform's dialect and store.
    pub platform: P,
    /// Settings at startup.
    pub settings: Settings,
    /// Current values of the settings that can be reloaded.
    pub bounds: RefCell<Bounds>,
    /// Source of monotonic and wall-clock time.
    pub clock: clock::SharedClock,
    /// Detects pauses of this process, for callers' connections.
    pub pause_detector: Arc<pause::PauseDetector>,
    /// Startup time of this process, in Unix milliseconds.
    pub incarnation: u64,
    /// This router's view of the fleet.
    pub view: RefCell<view::View>,
    /// Other routers.
    pub peers: RefCell<peers::Peers>,
    /// Replicated records of the store.
    pub replicated_records: RefCell<replicated_records::ReplicatedRecords>,
    /// Wakes when this router's entry in the store has to be written again.
    pub entry_changed: Notify,
    /// Wakes what waits for the store to come back from an older copy.
    pub era_raised: Notify,
    /// Proof that the configuration is complete.
    pub config_proof: config_proof::State,
    /// Quotas of workspaces.
    pub quotas: quotas::State,
    /// Retry budgets of services.
    pub retries: retries::State,
    /// Where streams began, and at which software versions.
    pub continuations: continuations::State,
    /// Copies of the KV caches of streams.
    pub copies: copies::State,
    /// Connections to targets.
    pub connection_pool: Rc<pool::Pool>,
    /// Requests that wait for prefill permits.
    pub prefill_permits: prefill::PendingPermits,
    /// Requests, and parts of prompts, that end the targets that run them.
    pub suspicion: suspicion::State,
    /// What the other routers are still to be told of targets.
    pub target_reports: Rc<target_reports::Queue>,
    /// Slots of the targets that limit their requests and whose schedules this router keeps.
    pub request_schedule: RefCell<slots::Schedule>,
    /// Reservations that wait for another router's response.
    pub pending_slots: request_slots::PendingSlots,
    /// Second requests for answers that are late.
    pub hedges: hedge::State,
    /// Memory of answers that are being read.
    pub answer_buffers: body_end::Buffers,
    /// Log of request outcomes.
    pub decision_log: decisions::Log,
    /// Wakes the control loop to send updates or to plan at once.
    pub control_wake: Rc<Notify>,
    /// Triggers a read of the store after a target's address was reused by another target.
    pub targets_outdated: Notify,
    /// Sends datagrams to peers.
    pub outbox: control::Outbox,
    /// Set once a shutdown has begun.
    pub stopping: Cell<Option<StopDeadlines>>,
    /// How late this router's timers are.
    pub overload: RefCell<overload::Overload>,
    /// Number of requests in progress.
    pub open_requests: Cell<usize>,
}

impl<P: Platform> Shared<P> {
    /// Whether new requests are rejected because of a shutdown.
    pub fn rejects_requests(&self, now: Instant) -> bool {
        self.stopping.get().is_some_and(|stop| now >= stop.reject_from)
    }

    /// Whether the first reads of the configuration or the targets are still pending.
    pub fn is_starting(&self) -> bool {
        let view = self.view.borrow();
        let records = self.replicated_records.borrow();
        let failed = |subject| records.last_read_failed(subject);
        if self.stopping.get().is_some() {
            return false;
        }
        (view.route_table.is_none() && !failed(dialect::Subject::Config))
            || (view.targets.is_empty()
                && records.next(dialect::Subject::Targets).offset() == 0
                && !failed(dialect::Subject::Targets))
    }

    /// Deadline of the response, which a shutdown may bring forward.
    pub fn response_deadline(&self, job: &job::Job) -> Instant {
        self.stopping.get().map_or(job.deadline, |stop| job.deadline.min(stop.respond_by))
    }

    /// Adds a request to the demand for its model and to its service's retry budget. One that was sent before a pause
    /// belongs to an earlier window of the budget, and allows no retry now.
    pub fn record_arrival(&self, job: &job::Job, may_predate_pause: bool) {
        let now = self.clock.now();
        let mut view = self.view.borrow_mut();
        if let Some(requested) = &job.request.requested_model {
            let profile = demand::RequestProfile {
                prompt_tokens: job.request.prompt_tokens,
                uses_adapter: requested.adapter.is_some(),
                latency_objective: job.route.latency_objective,
            };
            view.demand.record_request(now, &requested.model, profile);
        }
        let allowance = self.bounds.borrow().allowance;
        if !may_predate_pause {
            self.retries.record_request(now, &job.service, &allowance);
        }
    }

    /// Returns this router's role in reading the store.
    pub fn role(&self, now: Instant) -> readers::Role {
        self.peers.borrow().role(now)
    }

    /// Returns how this router obtains the store's records.
    pub fn store_use(&self, now: Instant) -> StoreUse {
        let records = self.replicated_records.borrow();
        let failed = |subject| records.last_read_failed(subject);
        if failed(dialect::Subject::Config) || failed(dialect::Subject::Targets) {
            return StoreUse::Lost;
        }
        match self.role(now) {
            readers::Role::Follows(_) => StoreUse::Follows,
            _ => StoreUse::Reads,
        }
    }

    /// Returns the age of a subject's records, and whether a peer has newer ones.
    pub fn age(&self, now: Instant, subject: dialect::Subject) -> replicated_records::Age {
        let records = self.replicated_records.borrow();
        let behind =
            self.peers.borrow().ahead(now, subject, records.progress(subject)).next().is_some();
        replicated_records::Age {
            since_read: records.since_read(now, subject),
            is_behind_peer: behind,
        }
    }

    /// Returns what a decision to send a request to a target rests on.
    pub fn target_knowledge(
        &self,
        now: Instant,
        key: targets::TargetKey,
    ) -> decisions::TargetKnowledge {
        let (view, records) = (self.view.borrow(), self.replicated_records.borrow());
        let subject = dialect::Subject::Targets;
        let target = view.targets.get(key);
        let origin = target.and_then(|target| records.origin(subject, target.entry.id.as_str()));
        decisions::TargetKnowledge { origin, age: records.since_store_read(now, subject) }
    }

    /// Chooses a target for a request.
    pub fn choose_target(&self, now: Instant, job: &job::Job) -> choose::Choice {
        self.choose_for(now, job, job.expected_tokens())
    }

    /// Whether a target has a slot for a request that it could hold if more of its memory were free.
    pub fn has_slot(&self, now: Instant, job: &job::Job) -> bool {
        let view = self.view.borrow();
        let engine = view.service(&job.service).and_then(|service| service.engine.as_ref());
        let capacity = engine.map_or(0, |engine| engine.cache_tokens);
        let fits = capacity == 0 || job.expected_tokens() <= capacity;
        drop(view);
        fits && matches!(self.choose_for(now, job, 0), choose::Choice::Send(_))
    }

    fn choose_for(&self, now: Instant, job: &job::Job, tokens: u64) -> choose::Choice {
        if job.progress == continuations::Progress::Unknown {
            return choose::Choice::NoVersion;
        }
        let view = self.view.borrow();
        let engine = view.service(&job.service).and_then(|service| service.engine.as_ref());
        let query = choose::Query {
            service: &job.service,
            requested: job.request.requested_model.as_ref(),
            tokens,
            cache_tokens: engine.map_or(0, |engine| engine.cache_tokens),
            adapter_slots: engine.map_or(0, |engine| engine.adapter_slots),
            zone: &self.settings.zone,
            tried: &job.tried_targets,
            hash: job.request_id_hash,
            version: job.progress.continuation().map(continuations::Continuation::version),
            cached_prefix: view.cached_prefixes.find(&job.prompt_prefixes),
            work: pacing::work(self, &view, now, job),
        };
        choose::choose(now, &view.targets, &query)
    }

    /// Whether a request sent to `key` could be sent to another target now.
    pub fn has_alternative(&self, now: Instant, job: &job::Job, key: targets::TargetKey) -> bool {
        debug_assert!(job.tried_targets.contains(&key));
        job.tried_targets.len() as u32 + job.targets_beside.get() < job.route.max_targets
            && matches!(self.choose_target(now, job), choose::Choice::Send(_))
    }

    /// Estimates when the model or capacity that a request waits for is available.
    pub fn expected_readiness(
        &self,
        now: Instant,
        job: &job::Job,
        choice: choose::Choice,
    ) -> wait_limit::Readiness {
        match choice {
            choose::Choice::NoTarget | choose::Choice::NoVersion => wait_limit::Readiness::Unknown,
            choose::Choice::Resting(until) => wait_limit::Readiness::ReadyAt(until),
            choose::Choice::Full => wait_limit::Readiness::AtCapacity,
            choose::Choice::LoadAdapter(key) => self.view.borrow().adapter_readiness(now, key),
            _ => self.view.borrow().model_readiness(
                now,
                &job.service,
                job.request.requested_model.as_ref(),
                &job.progress,
            ),
        }
    }

    /// Returns a target's address and id.
    pub fn target_address(&self, key: targets::TargetKey) -> Option<(SocketAddr, names::TargetId)> {
        let view = self.view.borrow();
        view.targets.get(key).map(|target| (target.entry.addr, target.entry.id.clone()))
    }

    /// Whether a target asked for rest that is not over.
    pub fn is_resting(&self, key: targets::TargetKey, now: Instant) -> bool {
        let view = self.view.borrow();
        view.targets.get(key).is_some_and(|target| target.resting_until(now).is_some())
    }

    /// Whether a target chosen earlier still takes the request.
    pub fn accepts(&self, key: targets::TargetKey, job: &job::Job, now: Instant) -> bool {
        let view = self.view.borrow();
        view.targets
            .get(key)
            .is_some_and(|target| takes_requests(now, target) && job.progress.allows(target))
    }

    /// Whether a target chosen earlier can still serve the request.
    pub fn may_serve(&self, key: targets::TargetKey, job: &job::Job, now: Instant) -> bool {
        let view = self.view.borrow();
        view.targets.get(key).is_some_and(|target| {
            takes_requests(now, target)
                && job.progress.allows(target)
                && job.model().is_none_or(|model| target.serves(now, model))
        })
    }

    /// Requests that a target load the adapter of a request.
    pub fn request_adapter(&self, key: targets::TargetKey, job: &job::Job) {
        let adapter = job.request.requested_model.as_ref().and_then(control::to_requested_adapter);
        control::request_adapters(self, key, adapter.into_iter().collect());
    }
}

/// Whether a request may be sent to a target at this moment.
fn takes_requests(now: Instant, target: &targets::Target) -> bool {
    target.accepts_requests(now) && target.resting_until(now).is_none()
}

/// Why a router or an agent cannot start.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// cannot listen on {addr} ({error}): check that no other process uses the port
    Listen {
        /// Address of the listener.
        addr: SocketAddr,
        /// Error of the system.
        error: io::Error,
    },
    /// the runtime cannot be started ({0}): check the limits on threads and descriptors
    Runtime(io::Error),
}

impl std::error::Error for StartError {}

/// Runs a router until `stop` is done and the requests in progress are answered.
pub fn run<P: Platform>(
    settings: Settings,
    clock: clock::SharedClock,
    platform: impl FnOnce(client::Client) -> P,
    stop: impl Future<Output = ()> + 'static,
    mut reload: impl Reload + 'static,
) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        reload.start();
        let store_pool = Rc::new(pool::Pool::default());
        let platform = platform(client::Client::new(store_pool, clock.clone()));
        let socket = control::bind(settings.peer_addr).await?;
        let own = peers::Own {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            strength: settings.cpu_millicores,
            addr: settings.peer_addr,
        };
        let control_wake = Rc::new(Notify::new());
        let target_reports = Rc::new(target_reports::Queue::new(control_wake.clone()));
        let shared = Rc::new(Shared {
            platform,
            incarnation: clock::unix_ms(clock.wall()),
            pause_detector: Arc::new(pause::PauseDetector::new(clock.since_boot())),
            view: RefCell::default(),
            peers: RefCell::new(peers::Peers::new(own)),
            replicated_records: RefCell::default(),
            entry_changed: Notify::new(),
            era_raised: Notify::new(),
            config_proof: config_proof::State::default(),
            quotas: quotas::State::default(),
            retries: retries::State::new(clock.now(), settings.is_first_start),
            continuations: continuations::State::default(),
            copies: copies::State::default(),
            connection_pool: Rc::default(),
            prefill_permits: prefill::PendingPermits::default(),
            request_schedule: RefCell::default(),
            pending_slots: request_slots::PendingSlots::default(),
            suspicion: suspicion::State::new(settings.name.clone(), target_reports.clone()),
            target_reports,
            hedges: hedge::State::default(),
        answer_buffers: body_end::Buffers::default(),
        decision_log: decisions::Log::default(),
            control_wake,
            targets_outdated: Notify::new(),
            outbox: control::Outbox::new(socket),
            stopping: Cell::new(None),
            overload: RefCell::new(overload::Overload::new(clock.now(), pause::TICK_INTERVAL)),
            open_requests: Cell::new(0),
            bounds: RefCell::new(settings.bounds.clone()),
            clock,
            settings,
        });
        let ready = server::listen(shared.settings.readiness_addr)?;
        let front = server::listen(shared.settings.caller_addr)?;
        let peers = server::listen(shared.settings.peer_addr)?;
        if let Some(addr) = shared.settings.metrics_addr {
            metrics::serve(&shared, server::listen(addr)?);
        }
        tokio::task::spawn_local(apply_reloads(shared.clone(), reload));
        follow::start(&shared);
        control::start(&shared);
        config_proof::start(&shared);
        quotas::start(&shared);
        silent_routers::start(&shared);
        transfer::serve(&shared, peers);
        server::serve_ready(&shared, ready);
        tokio::task::spawn_local(tick_pause_detector(shared.clone()));
        let settings = &shared.settings;
        tracing::info!(name = %settings.name, front = %settings.caller_addr, first = settings.is_first_start, "router started");
        server::serve(&shared, front, stop).await;
        if let Err(error) = shared.platform.withdraw(&shared.settings.name).await {
            tracing::warn!(%error, "failed to withdraw this router from the store");
        }
        tracing::info!("router stopped");
        Ok(())
    })
}

/// Must run on the thread that reads requests, as it detects pauses of that thread.
async fn tick_pause_detector<P>(shared: Rc<Shared<P>>) {
    loop {
        shared.pause_detector.tick(shared.clock.since_boot());
        shared.overload.borrow_mut().tick(shared.clock.now());
        tokio::time::sleep(pause::TICK_INTERVAL).await;
    }
}

async fn apply_reloads<P>(shared: Rc<Shared<P>>, mut reload: impl Reload) {
    loop {
        let settings = reload.next().await;
        let bounds = settings.bounds.clone();
        let other_settings = Settings {
            bounds: shared.settings.bounds.clone(),
            is_first_start: shared.settings.is_first_start,
            ..settings
        };
        if other_settings != shared.settings {
            tracing::warn!(
                "settings other than bounds and seeds have changed: restart to apply them"
            );
        }
        tracing::info!(?bounds, "settings reloaded");
        *shared.bounds.borrow_mut() = bounds;
    }
}
