//! Startup and graceful shutdown of an agent.

use crate::{
    accept::{self, ConnectionContext},
    announce,
    decide::Decider,
    event::Event,
    freshness::FreshnessGuard,
    held_requests::HeldRequests,
    reconcile::ReconcileTimer,
    release::{SlotReleaser, SlotReleases},
    run::{JobRunner, Target},
};
use corianderstand_control::{
    appender::Identity,
    budget::Budget,
    measured::{self, MeasuredLog},
    metrics::{Metric, Metrics},
    paced::UnusedHostList,
    peers::{HttpPeers, NoPeers, Peers},
    relay::RecordTail,
    snapshot::CurrentSnapshot,
    source::Source,
    start::{ControlHandle, ControlThread},
};
use corianderstand_decide::agent::{Agent, Limits};
use corianderstand_edge::{engine::HttpEngine, log::HttpLog, service::HttpService};
use corianderstand_schema::{
    messages::Load,
    process::{AgentSettings, TargetKind},
    records::TargetRecord,
};
use corianderstand_types::{
    clock::{self, SharedClock},
    names::TargetId,
    units::Mib,
};
use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, atomic::AtomicUsize, mpsc as std_mpsc},
    thread,
    time::Duration,
};
use tokio::{
    runtime,
    sync::{mpsc, watch},
    time,
};

const EVENT_QUEUE_CAPACITY: usize = 8192;
const SERVICE_TIMEOUT: Duration = Duration::from_secs(30);
/// Agents keep no records, as they have no followers.
const TAIL_CAPACITY_BYTES: usize = 0;
/// Interval between the queries of the engine at startup.
const REBUILD_QUERY_INTERVAL: Duration = Duration::from_millis(500);
const IDLE_SETTLE_INTERVAL: Duration = Duration::from_millis(100);

/// An error that prevents an agent from starting.
#[derive(Debug, displaydoc::Display)]
pub enum AgentError {
    /// cannot listen on {0} ({1}): another agent is running for this target, or the address in `listen` is wrong
    Listen(String, std::io::Error),
    /// cannot send metrics ({0}): correct or remove `statsd`
    Statsd(std::io::Error),
    /// cannot start a thread ({0}): raise the process limits of the host
    Thread(std::io::Error),
}

impl std::error::Error for AgentError {}

/// A running agent.
#[derive(Debug)]
pub struct AgentHandle {
    events: std_mpsc::SyncSender<Event>,
    draining: watch::Sender<bool>,
    idle: watch::Receiver<bool>,
    in_flight: Arc<AtomicUsize>,
    control: ControlHandle,
    target: TargetId,
    drain_limit: Duration,
}

/// Starts an agent and returns as soon as its port is bound.
pub fn start(settings: AgentSettings, clock: SharedClock) -> Result<AgentHandle, AgentError> {
    let listener = bind_listener(&settings.listen)?;
    let incarnation = clock::unix_ms(clock.wall());
    let metrics = Metrics::new(settings.statsd.as_deref(), settings.name.as_str());
    let metrics = metrics.map_err(AgentError::Statsd)?;
    let budget = Arc::new(Budget::new(clock.clone()));
    let source = source(&settings, &clock, budget.clone());
    let control = start_control(&settings, incarnation, source, clock.clone(), &metrics)?;
    let (events, events_rx) = std_mpsc::sync_channel(EVENT_QUEUE_CAPACITY);
    let (jobs, jobs_rx) = mpsc::unbounded_channel();
    let (load, load_rx) = watch::channel(Load { running: 0, queued: 0, wait_ms: 0 });
    let (idle, idle_rx) = watch::channel(true);
    let in_flight = Arc::new(AtomicUsize::new(0));
    let (draining, draining_rx) = watch::channel(false);
    let (releases, releases_rx) = watch::channel(SlotReleases::new());
    let target = TargetId(settings.name.0.clone());

    let decider = Decider {
        agent: Agent::new(limits(&settings), engine_memory(&settings)),
        target: target.clone(),
        current: control.current.clone(),
        clock: clock.clone(),
        jobs,
        load,
        idle,
        in_flight: in_flight.clone(),
        requests: HashMap::new(),
        streams: HashMap::new(),
        queued_at: HashMap::new(),
        metrics: metrics.clone(),
        rebuilt: matches!(settings.target.kind, TargetKind::Service { .. }),
        loadable_models: BTreeSet::new(),
        releaser: SlotReleaser::default(),
        releases,
        stopping: false,
        freshness: FreshnessGuard::new(clock.now()),
        reconcile_timer: ReconcileTimer::new(clock.now()),
        held_requests: HeldRequests::default(),
    };
    spawn("decide", move || decider.run(&events_rx))?;

    let runner = JobRunner {
        target: connect(&settings),
        name: target.clone(),
        events: events.clone(),
        load: load_rx.clone(),
        control: control.clone(),
        clock: clock.clone(),
        metrics: metrics.clone(),
        undecided_claims: Arc::default(),
    };
    let target_runtime = runtime()?;
    target_runtime.spawn(report_metrics(
        &settings,
        incarnation,
        &control,
        metrics,
        load_rx.clone(),
        budget,
    ));
    spawn("target", move || target_runtime.block_on(runner.run(jobs_rx)))?;

    let context = ConnectionContext {
        target: target.clone(),
        incarnation,
        idle_timeout: settings.timing.silence_ms.0,
        events: events.clone(),
        load: load_rx,
        draining: draining_rx.clone(),
        clock,
    };
    let link_runtime = runtime()?;
    let (link_control, link_target) = (control.clone(), connect(&settings));
    let record = target_record(&settings);
    let link_events = events.clone();
    spawn("link", move || {
        link_runtime.block_on(async move {
            // Query the engine before accepting connections from routers.
            rebuild_ledger(&link_target, &link_events).await;
            tokio::spawn(announce::append_releases(link_control.clone(), releases_rx));
            tokio::spawn(announce::keep_announced(link_control, record, incarnation, draining_rx));
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => accept::run(listener, context).await,
                Err(error) => tracing::error!(%error, "cannot use the bound port"),
            }
        });
    })?;
    let drain_limit = settings.timing.drain_ms.0;
    Ok(AgentHandle { events, draining, idle: idle_rx, in_flight, control, target, drain_limit })
}

fn report_metrics(
    settings: &AgentSettings,
    incarnation: u64,
    control: &ControlHandle,
    metrics: Metrics,
    load: watch::Receiver<Load>,
    budget: Arc<Budget>,
) -> impl Future<Output = ()> + Send + use<> {
    let identity = Identity { writer: settings.name.clone(), incarnation };
    let extra_gauges = move |metrics: &Metrics| {
        let load = load.borrow();
        metrics.gauge(Metric::AgentRunning, u64::from(load.running));
        metrics.gauge(Metric::AgentQueue, u64::from(load.queued));
        metrics.gauge(Metric::AgentWaitEstimate, load.wait_ms);
        budget.report(metrics);
    };
    measured::report(metrics, identity, control.current.clone(), extra_gauges)
}

/// Binds the port, which also locks out a second agent for the same target.
///
/// Two agents would each reserve the engine's whole memory. The socket must never set
/// `SO_REUSEPORT`, which would disable this lock.
fn bind_listener(address: &str) -> Result<std::net::TcpListener, AgentError> {
    let bind = || -> std::io::Result<std::net::TcpListener> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    bind().map_err(|error| AgentError::Listen(address.to_owned(), error))
}

fn runtime() -> Result<runtime::Runtime, AgentError> {
    runtime::Builder::new_current_thread().enable_all().build().map_err(AgentError::Thread)
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), AgentError> {
    let builder = thread::Builder::new().name(name.to_owned());
    builder.spawn(run).map(drop).map_err(AgentError::Thread)
}

/// Returns the source of the log, which includes routers if peers and a token are configured.
fn source(settings: &AgentSettings, clock: &SharedClock, budget: Arc<Budget>) -> Source {
    let log = Arc::new(HttpLog::new(&settings.log_url, settings.timing.log_poll_ms.0));
    let tail = RecordTail::new(clock.clone(), budget, TAIL_CAPACITY_BYTES);
    let token = settings.peer_token.clone().unwrap_or_default();
    let peers = if token.is_empty() { &[] } else { settings.peers.as_slice() };
    Source::for_process(log, &settings.name, None, peers, &token, tail)
}

fn start_control(
    settings: &AgentSettings,
    incarnation: u64,
    source: Source,
    clock: SharedClock,
    metrics: &Metrics,
) -> Result<ControlHandle, AgentError> {
    let poll = settings.timing.log_poll_ms.0;
    let control = ControlThread {
        identity: Identity { writer: settings.name.clone(), incarnation },
        log: Arc::new(MeasuredLog {
            log: Arc::new(source),
            metrics: metrics.clone(),
            clock: clock.clone(),
        }),
        hosts: Arc::new(UnusedHostList),
        peers: peers(settings),
        clock,
        log_read_wait: poll,
        hosts_poll_interval: settings.timing.host_list_poll_ms.0,
        may_hold_lease: false,
    };
    control.start().map_err(AgentError::Thread)
}

fn peers(settings: &AgentSettings) -> Arc<dyn Peers> {
    match &settings.peer_token {
        Some(token) => Arc::new(HttpPeers::new(&settings.peers, token.clone())),
        None => Arc::new(NoPeers),
    }
}

fn limits(settings: &AgentSettings) -> Limits {
    Limits { concurrency: settings.target.concurrency, queue: settings.target.queue }
}

fn engine_memory(settings: &AgentSettings) -> Mib {
    match &settings.target.kind {
        TargetKind::Engine { memory_mib, .. } => *memory_mib,
        TargetKind::Service { .. } => Mib(0),
    }
}

fn connect(settings: &AgentSettings) -> Target {
    let url = &settings.target.url;
    match &settings.target.kind {
        TargetKind::Engine { .. } => Target::Engine(Arc::new(HttpEngine::new(url))),
        TargetKind::Service { .. } => {
            Target::Service(Arc::new(HttpService::new(url, SERVICE_TIMEOUT)))
        }
    }
}

fn target_record(settings: &AgentSettings) -> TargetRecord {
    let (accelerators, service) = match &settings.target.kind {
        TargetKind::Engine { accelerators, .. } => (*accelerators, None),
        TargetKind::Service { service, .. } => (0, Some(service.clone())),
    };
    TargetRecord {
        target: TargetId(settings.name.0.clone()),
        host: settings.host.clone(),
        place: settings.place.clone(),
        address: settings.advertise.clone().unwrap_or_else(|| settings.listen.clone()),
        memory_mib: engine_memory(settings),
        accelerators,
        service,
    }
}

/// Rebuilds the ledger from the second of two queries of the engine, as a command from a previous
/// agent process may be executed just after the first response.
async fn rebuild_ledger(target: &Target, events: &std_mpsc::SyncSender<Event>) {
    let Target::Engine(engine) = target else { return };
    let mut responses = 0;
    loop {
        match engine.loaded().await {
            Ok(_) if responses == 0 => responses = 1,
            Ok(loaded) => {
                let loaded = loaded.into_iter();
                let loaded = loaded.map(|l| (l.weights, Mib(l.memory_mib), l.ready)).collect();
                drop(events.send(Event::Rebuilt(loaded)));
                return;
            }
            Err(error) => {
                tracing::warn!(%error, "cannot query the engine's loaded weights, retrying");
            }
        }
        time::sleep(REBUILD_QUERY_INTERVAL).await;
    }
}

impl AgentHandle {
    /// Begins a graceful shutdown: refuses new requests and finishes those in flight.
    pub fn drain(&self) {
        self.draining.send_replace(true);
        drop(self.events.send(Event::Drain));
    }

    /// Returns the number of requests queued or running.
    pub fn in_flight(&self) -> Arc<AtomicUsize> {
        self.in_flight.clone()
    }

    /// Waits until nothing is in flight or the drain limit has passed, then records in the log
    /// that the target is down.
    pub fn join(mut self) {
        let Ok(runtime) = runtime() else { return };
        runtime.block_on(async {
            // Lets the decide loop count requests that have just arrived.
            time::sleep(IDLE_SETTLE_INTERVAL * 2).await;
            let idle = self.idle.wait_for(|idle| *idle);
            if time::timeout(self.drain_limit, idle).await.is_err() {
                tracing::warn!("graceful shutdown: drain limit reached with requests in flight");
            }
            announce::announce_down(&self.control, &self.target).await;
        });
    }

    /// Returns the snapshots of the agreed state.
    pub const fn current(&self) -> &CurrentSnapshot {
        &self.control.current
    }
}
