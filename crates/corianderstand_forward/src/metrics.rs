//! Counters and latency histograms of a router, in the usual text format.

use crate::{dialect::Subject, job, router, server, stream};
use corianderstand_fleet::config;
use corianderstand_schema::peers::StoreUse;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use std::{cell::RefCell, rc::Rc, sync::atomic::AtomicU64, time::Instant};

/// Upper bounds of the histograms' buckets, in seconds: around the aims (0.3 and 2.5 s), the pauses
/// (0.15 s) and the timeouts (1.5 to 25 s) of today's routes.
const BUCKETS: [f64; 12] = [0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.5, 5.0, 10.0, 15.0, 25.0];

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct Ended {
    kind: &'static str,
    outcome: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct Reason {
    reason: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct Read {
    subject: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct Transfer {
    subject: &'static str,
    outcome: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct Kind {
    kind: &'static str,
}

/// The counters; cheap to count, read when asked for.
#[derive(Debug)]
pub struct Metrics {
    registry: RefCell<Registry>,
    requests: Family<Ended, Counter>,
    refusals: Family<Reason, Counter>,
    attempts_failed: Family<Reason, Counter>,
    left: Counter,
    lines_left_out: Counter,
    seconds: Family<Kind, Histogram>,
    first_seconds: Family<Kind, Histogram>,
    pause_seconds: Family<Kind, Histogram>,
    open: Gauge,
    waiting: Gauge,
    targets: Gauge,
    config_version: Gauge,
    config_behind: Gauge,
    config_read_age: Gauge<f64, AtomicU64>,
    reads_failed: Family<Read, Counter>,
    transfers: Family<Transfer, Counter>,
    store_fresh: Gauge,
    store_use: Gauge,
    peers: Gauge,
}

fn histogram() -> Histogram {
    Histogram::new(BUCKETS)
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: RefCell::default(),
            requests: Family::default(),
            refusals: Family::default(),
            attempts_failed: Family::default(),
            left: Counter::default(),
            lines_left_out: Counter::default(),
            seconds: Family::new_with_constructor(histogram),
            first_seconds: Family::new_with_constructor(histogram),
            pause_seconds: Family::new_with_constructor(histogram),
            open: Gauge::default(),
            waiting: Gauge::default(),
            targets: Gauge::default(),
            config_version: Gauge::default(),
            config_behind: Gauge::default(),
            config_read_age: Gauge::default(),
            reads_failed: Family::default(),
            transfers: Family::default(),
            store_fresh: Gauge::default(),
            store_use: Gauge::default(),
            peers: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        let mut registry = self.registry.borrow_mut();
        let r = &mut *registry;
        r.register("requests", "Requests by kind of route and outcome", self.requests.clone());
        r.register("refusals", "Requests refused as not run, by reason", self.refusals.clone());
        r.register(
            "attempts_failed",
            "Attempts at targets that failed",
            self.attempts_failed.clone(),
        );
        r.register("callers_left", "Callers that left before their answer", self.left.clone());
        r.register("log_lines_left_out", "Log lines beyond the limit", self.lines_left_out.clone());
        r.register("request_seconds", "Time to the whole answer", self.seconds.clone());
        r.register(
            "first_event_seconds",
            "Time to a stream's first event",
            self.first_seconds.clone(),
        );
        r.register(
            "longest_pause_seconds",
            "Longest pause in a stream",
            self.pause_seconds.clone(),
        );
        r.register("open_requests", "Requests that are being answered", self.open.clone());
        r.register("waiting_requests", "Requests that wait for a model", self.waiting.clone());
        r.register("targets", "Targets that are known", self.targets.clone());
        r.register("config_version", "Version of the configuration", self.config_version.clone());
        r.register(
            "config_behind",
            "1 if another router is known to have read more of the configuration",
            self.config_behind.clone(),
        );
        r.register(
            "config_read_age_seconds",
            "Time since the configuration was last read from the store; -1 if it never was",
            self.config_read_age.clone(),
        );
        r.register(
            "store_reads_failed",
            "Reads of the store that failed",
            self.reads_failed.clone(),
        );
        r.register(
            "transfers",
            "Records asked of other routers, by subject and outcome",
            self.transfers.clone(),
        );
        r.register("store_fresh", "1 if the store was read lately", self.store_fresh.clone());
        r.register(
            "store_use",
            "1 if this router reads the store, 2 if others of its zone read it for this one, 0 if it has lost it",
            self.store_use.clone(),
        );
        r.register("peers", "Other routers that were heard lately", self.peers.clone());
    }

    /// A request has ended.
    pub fn ended(&self, job: &job::Job, outcome: &str, now: Instant) {
        let kind = kind(&job.route);
        self.requests.get_or_create(&Ended { kind, outcome: outcome.into() }).inc();
        let took = now.saturating_duration_since(job.arrived);
        self.seconds.get_or_create(&Kind { kind }).observe(took.as_secs_f64());
    }

    /// A stream has ended.
    pub fn streamed(&self, job: &job::Job, pace: &stream::EventTimings) {
        let kind = Kind { kind: kind(&job.route) };
        if let Some(first) = pace.first_at {
            let took = first.saturating_duration_since(job.arrived);
            self.first_seconds.get_or_create(&kind).observe(took.as_secs_f64());
            self.pause_seconds.get_or_create(&kind).observe(pace.longest_gap.as_secs_f64());
        }
    }

    /// A request was refused.
    pub fn refused(&self, reason: &str) {
        self.refusals.get_or_create(&Reason { reason: reason.into() }).inc();
    }

    /// An attempt failed.
    pub fn attempt_failed(&self, reason: &str) {
        self.attempts_failed.get_or_create(&Reason { reason: reason.into() }).inc();
    }

    /// A read of the store failed.
    pub fn read_failed(&self, subject: Subject) {
        self.reads_failed.get_or_create(&Read { subject: name(subject) }).inc();
    }

    /// Records were asked of another router.
    pub fn transferred(&self, subject: Subject, outcome: &'static str) {
        self.transfers.get_or_create(&Transfer { subject: name(subject), outcome }).inc();
    }

    /// A caller has left.
    pub fn left(&self) {
        self.left.inc();
    }

    /// Log lines were left out.
    pub fn lines_left_out(&self, count: u64) {
        self.lines_left_out.inc_by(count);
    }

    /// All of it as text.
    pub fn text<P: router::Platform>(&self, shared: &router::Shared<P>) -> String {
        self.look(shared);
        let mut text = String::new();
        if let Err(error) = text::encode(&mut text, &self.registry.borrow()) {
            tracing::warn!(%error, "metrics cannot be written");
        }
        text
    }

    /// Reads what is not counted as it happens.
    fn look<P: router::Platform>(&self, shared: &router::Shared<P>) {
        let now = shared.clock.now();
        let view = shared.view.borrow();
        let version = view.table.as_ref().map_or(0, |table| table.config().version);
        let fresh = shared.copies.borrow().is_fresh(now, Subject::Targets);
        self.open.set(shared.open.get() as i64);
        self.waiting.set(view.waiting.values().map(|&count| i64::from(count)).sum());
        self.targets.set(view.targets.len() as i64);
        self.config_version.set(version as i64);
        let age = shared.age(now, Subject::Config);
        self.config_behind.set(i64::from(age.behind));
        self.config_read_age.set(age.since_read.map_or(-1.0, |age| age.as_secs_f64()));
        self.store_fresh.set(i64::from(fresh));
        self.store_use.set(match shared.store_use(now) {
            StoreUse::Lost => 0,
            StoreUse::Reads => 1,
            StoreUse::Follows => 2,
        });
        self.peers.set(shared.peers.borrow().live(now).count() as i64);
    }
}

const fn name(subject: Subject) -> &'static str {
    match subject {
        Subject::Config => "configuration",
        Subject::Targets => "targets",
        Subject::Routers => "routers",
    }
}

const fn kind(route: &config::Route) -> &'static str {
    match (route.streams, route.retry_policy) {
        (true, _) if route.resumable => "resumable stream",
        (true, _) => "stream",
        (false, config::RetryPolicy::Allowed) => "repeatable",
        (false, config::RetryPolicy::Never) => "once",
    }
}

/// Answers whoever asks for the metrics.
pub fn serve<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    listener: tokio::net::TcpListener,
) {
    server::serve_text(shared, listener, |shared, path| {
        (path == PATH).then(|| shared.log.metrics.text(shared))
    });
}

/// Path of the metrics.
pub const PATH: &str = "/metrics";
