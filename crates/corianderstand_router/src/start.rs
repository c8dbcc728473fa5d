//! Starts and gracefully stops the threads of a router.

use crate::{
    auth::{AuthError, Hasher},
    connections::{ConnectionPolicy, Connections},
    decide::Decider,
    dial,
    event::Event,
    http::{self, HandlerContext},
    link::LinkContext,
    operator,
    watched::{WatchedAcceptor, WatchedConnections},
};
use corianderstand_control::{
    appender::Identity,
    budget::Budget,
    measured::{self, MeasuredLog},
    metrics::{Metric, Metrics},
    paced::Paced,
    peers::HttpPeers,
    relay::{self, RecordTail},
    source::Source,
    start::{ControlHandle, ControlThread},
};
use corianderstand_decide::router::Router;
use corianderstand_edge::{hosts::HttpHostList, log::HttpLog};
use corianderstand_schema::process::RouterSettings;
use corianderstand_types::{
    clock::{self, SharedClock},
    pause,
};
use salvo::{Server, conn::tcp::TcpAcceptor, server::ServerHandle};
use std::{
    collections::{BTreeSet, HashMap},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};
use tokio::{runtime, time};

const EVENT_QUEUE_CAPACITY: usize = 16384;
/// Ratio of the HTTP library's header limit to the configured one, above which it refuses a request
/// without a [`crate::problem::Problem`].
const HEADER_HARD_LIMIT_RATIO: usize = 8;
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a router failed to start.
#[derive(Debug, displaydoc::Display)]
pub enum RouterError {
    /// cannot listen on {0} ({1}): free the address or change `listen`
    Listen(String, std::io::Error),
    /// cannot send metrics ({0}): correct or remove `statsd`
    Statsd(std::io::Error),
    /// cannot start a thread ({0}): raise the process limits of the host
    Thread(std::io::Error),
    /// {0}
    Auth(AuthError),
}

impl std::error::Error for RouterError {}

/// A running router.
pub struct RouterHandle {
    draining: Arc<AtomicBool>,
    in_flight: Arc<AtomicUsize>,
    server: ServerHandle,
    http_thread: thread::JoinHandle<()>,
    control: ControlHandle,
    readiness_grace: Duration,
    drain_limit: Duration,
}

/// Starts a router; returns once its port is bound.
///
/// # Errors
///
/// See [`RouterError`].
pub fn start(settings: RouterSettings, clock: SharedClock) -> Result<RouterHandle, RouterError> {
    let incarnation = clock::unix_ms(clock.wall());
    let hasher = Hasher::new(&settings.auth_key).map_err(RouterError::Auth)?;
    let budget = Arc::new(Budget::new(clock.clone()));
    let tail = RecordTail::new(clock.clone(), budget.clone(), relay::MAX_TAIL_BYTES);
    let source = source(&settings, &hasher, tail.clone());
    let metrics = Metrics::new(settings.statsd.as_deref(), settings.name.as_str());
    let metrics = metrics.map_err(RouterError::Statsd)?;
    let control = start_control(&settings, incarnation, &hasher, source, clock.clone(), &metrics)?;
    let (events, events_rx) = mpsc::sync_channel(EVENT_QUEUE_CAPACITY);
    let in_flight = Arc::new(AtomicUsize::new(0));
    let draining = Arc::new(AtomicBool::new(false));

    let decider = Decider {
        router: Router::new(settings.place.clone(), incarnation),
        current: control.current.clone(),
        clock: clock.clone(),
        calls: HashMap::new(),
        connections: HashMap::new(),
        applied_versions: (u64::MAX, 0, 0),
        hosts: Arc::default(),
        reported_draining: BTreeSet::new(),
        in_flight: in_flight.clone(),
        metrics: metrics.clone(),
    };
    spawn("decide", move || decider.run(&events_rx))?;
    start_link(&settings, incarnation, &control, events.clone(), budget)?;

    let peer_client = reqwest::Client::builder().no_proxy().build();
    let context = Arc::new(HandlerContext {
        router_name: settings.name.clone(),
        peer_client: peer_client.expect("the client has no settings that can fail"),
        events,
        control: control.clone(),
        log_tail: tail,
        hasher,
        peer_addresses: settings.peers.clone(),
        operator_key_hash: settings.operator_key_hash.clone(),
        metrics,
        connections: Connections::new(&settings.limits),
        max_header_bytes: settings.limits.max_header_bytes as usize,
        max_body_bytes: settings.limits.max_body_bytes as usize,
        read_timeout: settings.limits.read_timeout_ms.0,
        max_in_flight: settings.limits.max_in_flight as usize,
        in_flight: in_flight.clone(),
        is_draining: draining.clone(),
        watched_connections: WatchedConnections::new(clock.since_boot()),
        clock,
    });
    let (server, http) = start_http(&settings, incarnation, &context)?;
    let (grace, drain_limit) = (settings.timing.grace_ms.0, settings.timing.drain_ms.0);
    Ok(RouterHandle {
        draining,
        in_flight,
        server,
        http_thread: http,
        control,
        readiness_grace: grace,
        drain_limit,
    })
}

fn runtime() -> Result<runtime::Runtime, RouterError> {
    runtime::Builder::new_current_thread().enable_all().build().map_err(RouterError::Thread)
}

fn spawn(
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> Result<thread::JoinHandle<()>, RouterError> {
    let builder = thread::Builder::new().name(name.to_owned());
    builder.spawn(run).map_err(RouterError::Thread)
}

/// Selects whether this router reads the log directly or from another router.
fn source(settings: &RouterSettings, hasher: &Hasher, tail: RecordTail) -> Source {
    let log = Arc::new(HttpLog::new(&settings.log_url, settings.timing.log_poll_ms.0));
    let token = hasher.hash(operator::PEER_TOKEN_LABEL);
    let own = Some(&settings.listen);
    Source::for_process(log, &settings.name, own, &settings.peers, &token, tail)
}

fn start_control(
    settings: &RouterSettings,
    incarnation: u64,
    hasher: &Hasher,
    source: Source,
    clock: SharedClock,
    metrics: &Metrics,
) -> Result<ControlHandle, RouterError> {
    let poll = settings.timing.log_poll_ms.0;
    let control = ControlThread {
        identity: Identity { writer: settings.name.clone(), incarnation },
        log: Arc::new(MeasuredLog {
            log: Arc::new(source),
            metrics: metrics.clone(),
            clock: clock.clone(),
        }),
        hosts: Arc::new(Paced::new(HttpHostList::new(&settings.host_list_url), clock.clone())),
        peers: Arc::new(HttpPeers::new(&settings.peers, hasher.hash(operator::PEER_TOKEN_LABEL))),
        clock,
        log_read_wait: poll,
        hosts_poll_interval: settings.timing.host_list_poll_ms.0,
        may_hold_lease: true,
    };
    control.start().map_err(RouterError::Thread)
}

fn start_link(
    settings: &RouterSettings,
    incarnation: u64,
    control: &ControlHandle,
    events: mpsc::SyncSender<Event>,
    budget: Arc<Budget>,
) -> Result<(), RouterError> {
    let timing = settings.timing.clone();
    let context =
        LinkContext { router: settings.name.clone(), incarnation, timing, events, budget };
    let current = control.current.clone();
    let runtime = runtime()?;
    spawn("link", move || runtime.block_on(dial::run(context, current)))?;
    Ok(())
}

fn start_http(
    settings: &RouterSettings,
    incarnation: u64,
    context: &Arc<HandlerContext>,
) -> Result<(ServerHandle, thread::JoinHandle<()>), RouterError> {
    let listen_error = |error| RouterError::Listen(settings.listen.to_string(), error);
    let listener = std::net::TcpListener::bind(settings.listen.as_str()).map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
    // Accepted connections inherit this; Nagle's algorithm would delay tokens by up to 40 ms.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true).map_err(listen_error)?;
    let runtime = runtime()?;
    let acceptor = {
        let _entered = runtime.enter();
        let listener = tokio::net::TcpListener::from_std(listener).map_err(listen_error)?;
        TcpAcceptor::try_from(listener).map_err(listen_error)?
    };
    let mut server =
        Server::new(WatchedAcceptor::new(acceptor, context.watched_connections.clone()))
            .fuse_policy(ConnectionPolicy(context.connections.clone()));
    server.http1_mut().max_header_size(context.max_header_bytes * HEADER_HARD_LIMIT_RATIO);
    let handle = server.handle();
    let routes = http::routes(context);
    let identity = Identity { writer: settings.name.clone(), incarnation };
    let metrics_context = context.clone();
    let report_gauges = move |metrics: &Metrics| {
        metrics.gauge(Metric::RouterHeld, metrics_context.in_flight.load(Ordering::Relaxed) as u64);
        metrics.gauge(Metric::RouterConnections, metrics_context.connections.count() as u64);
        metrics_context.log_tail.budget().report(metrics);
    };
    let report = measured::report(
        context.metrics.clone(),
        identity,
        context.control.current.clone(),
        report_gauges,
    );
    let pause_context = context.clone();
    let http = spawn("http", move || {
        runtime.spawn(report);
        runtime.spawn(detect_pauses(pause_context));
        runtime.block_on(server.serve(routes));
    })?;
    Ok((handle, http))
}

/// Must run on the thread that reads requests, as it detects pauses of that thread.
async fn detect_pauses(context: Arc<HandlerContext>) {
    loop {
        context.watched_connections.tick(context.clock.since_boot());
        time::sleep(pause::TICK_INTERVAL).await;
    }
}

impl RouterHandle {
    /// Starts to drain: the router reports not ready, requests in flight continue.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests in flight, for a forced exit.
    pub fn in_flight(&self) -> Arc<AtomicUsize> {
        self.in_flight.clone()
    }

    /// Stops gracefully: serves for a grace period in which balancers notice that this router is not
    /// ready, then accepts no connections and waits until all are closed, at most the drain limit.
    ///
    /// Waits for connections rather than requests in flight, as callers may still be reading.
    pub fn join(self) {
        if let Ok(runtime) = runtime() {
            runtime.block_on(self.control.resign());
        }
        thread::sleep(self.readiness_grace);
        self.server.stop_graceful(None);
        let started_at = Instant::now();
        while !self.http_thread.is_finished() {
            if started_at.elapsed() >= self.drain_limit {
                let in_flight = self.in_flight.load(Ordering::Relaxed);
                tracing::warn!(held = in_flight, "drain limit reached with requests in flight");
                self.server.stop_forceful();
                break;
            }
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }
}
