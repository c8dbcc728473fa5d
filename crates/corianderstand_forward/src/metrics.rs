//! Metrics of a router, in the Prometheus text format.

use crate::{
    body_end, config_proof, continuations, dialect::Subject, job, quotas, router, server, stream,
};
use corianderstand_fleet::{config, exits, predict, snapshot};
use corianderstand_schema::peers::StoreUse;
use corianderstand_types::names;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use smol_str::SmolStr;
use std::{
    cell::RefCell,
    collections::BTreeSet,
    rc::Rc,
    sync::atomic::AtomicU64,
    time::{Duration, Instant},
};

/// Histogram buckets; cover the usual latency objectives, gap objectives and timeouts of routes.
const BUCKET_BOUNDS_S: [f64; 12] =
    [0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.5, 5.0, 10.0, 15.0, 25.0];

/// Workspaces that have labels of their own.
const MAX_LABELLED_WORKSPACES: usize = 32;
/// Label of all others.
const OTHER_WORKSPACES: &str = "(others)";

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct RequestLabels {
    kind: &'static str,
    outcome: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct RetryLabels {
    cause: &'static str,
    outcome: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct SubjectLabel {
    subject: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct TransferLabels {
    subject: &'static str,
    outcome: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct ConfirmationLabel {
    confirmed_by: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct AnswerEndLabels {
    framing: &'static str,
    concluded: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct KnownFromLabel {
    known_from: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct ExpectationLabel {
    expected: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct PlaceLabels {
    workspace: String,
    rank: u8,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct QuotaLabels {
    rank: u32,
    outcome: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct SourceLabel {
    source: &'static str,
}

/// Counters, gauges and histograms of a router.
#[derive(Debug)]
pub struct Metrics {
    registry: RefCell<Registry>,
    requests: Family<RequestLabels, Counter>,
    refusals: Family<ReasonLabel, Counter>,
    attempts_failed: Family<ReasonLabel, Counter>,
    retries: Family<RetryLabels, Counter>,
    hedges: Family<OutcomeLabel, Counter>,
    first_sends: Counter,
    repeated_sends: Counter,
    answers_ended: Family<AnswerEndLabels, Counter>,
    streams_taken_up: Family<KnownFromLabel, Counter>,
    remembered_streams: Gauge,
    targets_ended_under_requests: Family<ConfirmationLabel, Counter>,
    blocked_requests: Gauge,
    blocked_parts: Gauge,
    callers_left: Counter,
    connections_shed: Counter,
    lines_suppressed: Counter,
    request_seconds: Family<KindLabel, Histogram>,
    first_event_seconds: Family<KindLabel, Histogram>,
    longest_pause_seconds: Family<KindLabel, Histogram>,
    open_requests: Gauge,
    waiting_requests: Gauge,
    targets: Gauge,
    limited_targets: Gauge,
    copies: Gauge,
    copies_placed: Counter,
    copied_bytes: Counter,
    copies_denied: Family<ReasonLabel, Counter>,
    moves_to_copies: Family<OutcomeLabel, Counter>,
    rests_asked: Counter,
    resting_targets: Gauge,
    slots_asked: Family<OutcomeLabel, Counter>,
    config_proof_age: Gauge<f64, AtomicU64>,
    places_granted: Family<PlaceLabels, Counter>,
    places_refused: Family<PlaceLabels, Counter>,
    place_wait_seconds: Family<PlaceLabels, Counter<f64, AtomicU64>>,
    labelled_workspaces: RefCell<BTreeSet<SmolStr>>,
    quota_wait_seconds: Family<QuotaLabels, Histogram>,
    placements: Family<SourceLabel, Counter>,
    quota_granted: Counter,
    quota_held: Gauge,
    config_version: Gauge,
    config_behind: Gauge,
    config_read_age: Gauge<f64, AtomicU64>,
    store_reads_failed: Family<SubjectLabel, Counter>,
    transfers: Family<TransferLabels, Counter>,
    entries_age_seconds: Histogram,
    placed_by_time: Family<ExpectationLabel, Counter>,
    leaving_delay_seconds: Histogram,
    store_fresh: Gauge,
    store_era: Gauge,
    store_era_rises: Counter,
    records_awaited: Gauge,
    store_use: Gauge,
    peers: Gauge,
}

fn histogram() -> Histogram {
    Histogram::new(BUCKET_BOUNDS_S)
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: RefCell::default(),
            requests: Family::default(),
            refusals: Family::default(),
            attempts_failed: Family::default(),
            retries: Family::default(),
            hedges: Family::default(),
            first_sends: Counter::default(),
            repeated_sends: Counter::default(),
            answers_ended: Family::default(),
            streams_taken_up: Family::default(),
            remembered_streams: Gauge::default(),
            targets_ended_under_requests: Family::default(),
            blocked_requests: Gauge::default(),
            blocked_parts: Gauge::default(),
            callers_left: Counter::default(),
            connections_shed: Counter::default(),
            lines_suppressed: Counter::default(),
            request_seconds: Family::new_with_constructor(histogram),
            first_event_seconds: Family::new_with_constructor(histogram),
            longest_pause_seconds: Family::new_with_constructor(histogram),
            open_requests: Gauge::default(),
            waiting_requests: Gauge::default(),
            targets: Gauge::default(),
            limited_targets: Gauge::default(),
            copies: Gauge::default(),
            copies_placed: Counter::default(),
            copied_bytes: Counter::default(),
            copies_denied: Family::default(),
            moves_to_copies: Family::default(),
            rests_asked: Counter::default(),
            resting_targets: Gauge::default(),
            slots_asked: Family::default(),
            config_proof_age: Gauge::default(),
            places_granted: Family::default(),
            places_refused: Family::default(),
            place_wait_seconds: Family::default(),
            labelled_workspaces: RefCell::default(),
            quota_wait_seconds: Family::new_with_constructor(histogram),
            placements: Family::default(),
            quota_granted: Counter::default(),
            quota_held: Gauge::default(),
            config_version: Gauge::default(),
            config_behind: Gauge::default(),
            config_read_age: Gauge::default(),
            store_reads_failed: Family::default(),
            transfers: Family::default(),
            entries_age_seconds: histogram(),
            placed_by_time: Family::default(),
            leaving_delay_seconds: histogram(),
            store_fresh: Gauge::default(),
            store_era: Gauge::default(),
            store_era_rises: Counter::default(),
            records_awaited: Gauge::default(),
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
        r.register(
            "retries",
            "Decisions whether a request may be sent once more, by why the last attempt failed",
            self.retries.clone(),
        );
        r.register(
            "second_requests",
            "Second requests for late answers: sent, won, cancelled, failed, or why none was sent",
            self.hedges.clone(),
        );
        r.register(
            "first_sends",
            "Requests that were written to a target for the first time",
            self.first_sends.clone(),
        );
        r.register(
            "repeated_sends",
            "Requests that were written to a target once more",
            self.repeated_sends.clone(),
        );
        r.register(
            "answers_ended",
            "Ends of targets' answers, by how they were delimited and what was concluded",
            self.answers_ended.clone(),
        );
        r.register(
            "streams_taken_up",
            "Requests that take up a stream, by who knows its software version",
            self.streams_taken_up.clone(),
        );
        r.register(
            "remembered_streams",
            "Streams whose software version this router remembers",
            self.remembered_streams.clone(),
        );
        r.register(
            "targets_ended_under_requests",
            "Attempts whose target ended before its response was complete",
            self.targets_ended_under_requests.clone(),
        );
        r.register(
            "blocked_requests",
            "Requests that are refused because they ended the targets that ran them",
            self.blocked_requests.clone(),
        );
        r.register(
            "blocked_parts",
            "Parts of prompts whose requests are refused because targets ended under them",
            self.blocked_parts.clone(),
        );
        r.register(
            "places_granted",
            "Requests that waited for a place at a target and got one, by workspace and rank",
            self.places_granted.clone(),
        );
        r.register(
            "places_refused",
            "Requests refused as they got no place in time, by workspace and rank",
            self.places_refused.clone(),
        );
        r.register(
            "place_wait_seconds",
            "Time for which the requests waited that got a place, by workspace and rank",
            self.place_wait_seconds.clone(),
        );
        r.register(
            "callers_left",
            "Callers that left before their answer",
            self.callers_left.clone(),
        );
        r.register(
            "connections_shed",
            "New connections that were closed unread, as other routers have room and this one has none",
            self.connections_shed.clone(),
        );
        r.register(
            "log_lines_left_out",
            "Log lines beyond the limit",
            self.lines_suppressed.clone(),
        );
        r.register("request_seconds", "Time to the whole answer", self.request_seconds.clone());
        r.register(
            "first_event_seconds",
            "Time to a stream's first event",
            self.first_event_seconds.clone(),
        );
        r.register(
            "longest_pause_seconds",
            "Longest pause in a stream",
            self.longest_pause_seconds.clone(),
        );
        r.register("open_requests", "Requests that are being answered", self.open_requests.clone());
        r.register(
            "waiting_requests",
            "Requests that wait for a model",
            self.waiting_requests.clone(),
        );
        r.register("targets", "Targets that are known", self.targets.clone());
        r.register(
            "limited_targets",
            "Targets that name a limit of requests",
            self.limited_targets.clone(),
        );
        r.register("copies", "Streams that have a copy at a second engine", self.copies.clone());
        r.register(
            "copies_placed",
            "Streams that got a copy at a second engine",
            self.copies_placed.clone(),
        );
        r.register(
            "copied_bytes",
            "Bytes that are expected to be moved for copies of streams",
            self.copied_bytes.clone(),
        );
        r.register(
            "copies_denied",
            "Streams that got no copy, by reason",
            self.copies_denied.clone(),
        );
        r.register(
            "moves_to_copies",
            "Broken streams that had a copy, by whether they go on from it, or why not",
            self.moves_to_copies.clone(),
        );
        r.register(
            "rests_asked",
            "Responses of targets that ask for rest",
            self.rests_asked.clone(),
        );
        r.register(
            "resting_targets",
            "Targets that asked for rest and get no requests",
            self.resting_targets.clone(),
        );
        r.register(
            "slots_asked",
            "Requests for a slot at a target that limits its requests, by outcome",
            self.slots_asked.clone(),
        );
        r.register(
            "config_proof_age_seconds",
            "Time since which the configuration is not proven to be complete; -1 without a proof",
            self.config_proof_age.clone(),
        );
        r.register(
            "quota_wait_seconds",
            "Waits of requests for the quota of their workspace, by rank and outcome",
            self.quota_wait_seconds.clone(),
        );
        r.register(
            "models_placed",
            "Models that this router, as planner, added to an engine's plan, by where the weights come from",
            self.placements.clone(),
        );
        r.register(
            "quota_granted",
            "Cost units of quotas that this router was granted",
            self.quota_granted.clone(),
        );
        r.register(
            "quota_held",
            "Cost units of quotas that this router was granted and has not spent",
            self.quota_held.clone(),
        );
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
            self.store_reads_failed.clone(),
        );
        r.register(
            "transfers",
            "Records asked of other routers, by subject and outcome",
            self.transfers.clone(),
        );
        r.register(
            "entries_age_seconds",
            "Time since the store was read for the targets' entries when a request is sent",
            self.entries_age_seconds.clone(),
        );
        r.register(
            "placed_by_time",
            "Requests placed by predicted time, by what was expected to be late",
            self.placed_by_time.clone(),
        );
        r.register(
            "leaving_delay_seconds",
            "Longest time from the store's record of a target's leaving until it is in force here",
            self.leaving_delay_seconds.clone(),
        );
        r.register("store_fresh", "1 if the store was read lately", self.store_fresh.clone());
        r.register("store_era", "Era of the store, 0 if it names none", self.store_era.clone());
        r.register(
            "store_era_rises",
            "Times that the store came back from an older copy",
            self.store_era_rises.clone(),
        );
        r.register(
            "records_awaited",
            "Known records that the store lacks since it came back",
            self.records_awaited.clone(),
        );
        r.register(
            "store_use",
            "1 if this router reads the store, 2 if others of its zone read it for this one, 0 if it has lost it",
            self.store_use.clone(),
        );
        r.register("peers", "Other routers that were heard lately", self.peers.clone());
    }

    /// Records the end of a request.
    pub fn request_ended(&self, job: &job::Job, outcome: &str, now: Instant) {
        let kind = route_kind(&job.route);
        self.requests.get_or_create(&RequestLabels { kind, outcome: outcome.into() }).inc();
        let elapsed = now.saturating_duration_since(job.arrived_at);
        self.request_seconds.get_or_create(&KindLabel { kind }).observe(elapsed.as_secs_f64());
    }

    /// Records the end of a stream.
    pub fn stream_ended(&self, job: &job::Job, timings: &stream::EventTimings) {
        let kind = KindLabel { kind: route_kind(&job.route) };
        if let Some(first) = timings.first_event_at {
            let elapsed = first.saturating_duration_since(job.arrived_at);
            self.first_event_seconds.get_or_create(&kind).observe(elapsed.as_secs_f64());
            self.longest_pause_seconds
                .get_or_create(&kind)
                .observe(timings.longest_gap.as_secs_f64());
        }
    }

    /// Counts a decision whether a request may be sent once more.
    pub fn retry_decided(&self, cause: &'static str, outcome: &'static str) {
        self.retries.get_or_create(&RetryLabels { cause, outcome }).inc();
    }

    /// Counts a second request by its outcome, or by why none was sent.
    pub fn hedge(&self, outcome: &'static str) {
        self.hedges.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a copy of a stream.
    pub fn copy_placed(&self, bytes: u64) {
        self.copies_placed.inc();
        self.copied_bytes.inc_by(bytes);
    }

    /// Counts a stream without a copy.
    pub fn copy_denied(&self, reason: &str) {
        self.copies_denied.get_or_create(&ReasonLabel { reason: reason.into() }).inc();
    }

    /// Counts a broken stream that had a copy; `why` is why it doesn't go on from it, if it doesn't.
    pub fn moved_to_copy(&self, why: Option<&'static str>) {
        let outcome = why.unwrap_or("went on");
        self.moves_to_copies.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a response that asks for rest.
    pub fn rest_asked(&self) {
        self.rests_asked.inc();
    }

    /// Counts a request that was written to a target.
    pub fn written(&self, is_repeated: bool) {
        if is_repeated {
            self.repeated_sends.inc();
        } else {
            self.first_sends.inc();
        }
    }

    /// Counts the end of a target's answer.
    pub fn answer_ended(&self, read: body_end::Read, concluded: &'static str) {
        let framing = read.framing.as_str();
        self.answers_ended.get_or_create(&AnswerEndLabels { framing, concluded }).inc();
    }

    /// Counts a request that takes up a stream.
    pub fn stream_resolved(&self, known_from: &'static str) {
        self.streams_taken_up.get_or_create(&KnownFromLabel { known_from }).inc();
    }

    /// Counts a refused request.
    pub fn request_refused(&self, reason: &str) {
        self.refusals.get_or_create(&ReasonLabel { reason: reason.into() }).inc();
    }

    /// Counts a failed attempt.
    pub fn attempt_failed(&self, reason: &str) {
        self.attempts_failed.get_or_create(&ReasonLabel { reason: reason.into() }).inc();
    }

    /// Counts that the store came back from an older copy.
    pub fn era_risen(&self) {
        self.store_era_rises.inc();
    }

    /// Counts a failed read of the store.
    pub fn read_failed(&self, subject: Subject) {
        self.store_reads_failed
            .get_or_create(&SubjectLabel { subject: subject_label(subject) })
            .inc();
    }

    /// Records how old the targets' entries are when a request is sent.
    pub fn placed(&self, entries_age: Option<Duration>, predicted: Option<&predict::Prediction>) {
        if let Some(predicted) = predicted {
            let expected = predicted.expectation();
            self.placed_by_time.get_or_create(&ExpectationLabel { expected }).inc();
        }
        if let Some(age) = entries_age {
            self.entries_age_seconds.observe(age.as_secs_f64());
        }
    }

    /// Records within which time a target's leaving came into force.
    pub fn target_left(&self, within: Option<Duration>) {
        if let Some(within) = within {
            self.leaving_delay_seconds.observe(within.as_secs_f64());
        }
    }

    /// Counts a transfer of records from another router.
    pub fn transferred(&self, subject: Subject, outcome: &'static str) {
        self.transfers
            .get_or_create(&TransferLabels { subject: subject_label(subject), outcome })
            .inc();
    }

    /// Counts an attempt whose target ended.
    pub fn target_ended(&self, confirmation: exits::Confirmation) {
        self.targets_ended_under_requests
            .get_or_create(&ConfirmationLabel { confirmed_by: confirmation.as_str() })
            .inc();
    }

    /// Counts a request for a slot at a target that limits its requests.
    pub fn slot_asked(&self, outcome: &'static str) {
        self.slots_asked.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a request that waited for a place and got one.
    pub fn place_granted(
        &self,
        workspace: Option<&names::WorkspaceId>,
        rank: u8,
        waited: Duration,
    ) {
        let labels = self.place_labels(workspace, rank);
        self.place_wait_seconds.get_or_create(&labels).inc_by(waited.as_secs_f64());
        self.places_granted.get_or_create(&labels).inc();
    }

    /// Counts a request that got no place in time.
    pub fn place_refused(&self, workspace: Option<&names::WorkspaceId>, rank: u8) {
        self.places_refused.get_or_create(&self.place_labels(workspace, rank)).inc();
    }

    /// Labels of a workspace and a rank; workspaces beyond a number share one.
    fn place_labels(&self, workspace: Option<&names::WorkspaceId>, rank: u8) -> PlaceLabels {
        let Some(workspace) = workspace else {
            return PlaceLabels { workspace: String::new(), rank };
        };
        let mut known = self.labelled_workspaces.borrow_mut();
        let name = workspace.as_str();
        if !known.contains(name) {
            if known.len() >= MAX_LABELLED_WORKSPACES {
                return PlaceLabels { workspace: OTHER_WORKSPACES.to_owned(), rank };
            }
            known.insert(name.into());
        }
        PlaceLabels { workspace: name.to_owned(), rank }
    }

    /// Counts a request that waited for the quota of its workspace, or was refused by it.
    pub fn quota_decided(&self, rank: u8, outcome: &'static str, waited: Duration) {
        let labels = QuotaLabels { rank: rank.into(), outcome };
        self.quota_wait_seconds.get_or_create(&labels).observe(waited.as_secs_f64());
    }

    /// Counts a model that was added to an engine's plan.
    pub fn placement(&self, source: snapshot::WeightSource) {
        self.placements.get_or_create(&SourceLabel { source: source.name() }).inc();
    }

    /// Counts what a keeper granted of a quota.
    pub fn quota_granted(&self, granted: u64) {
        self.quota_granted.inc_by(granted);
    }

    /// Counts a new connection that is closed unread.
    pub fn connection_shed(&self) {
        self.connections_shed.inc();
    }

    /// Counts a caller that disconnected before its answer.
    pub fn caller_left(&self) {
        self.callers_left.inc();
    }

    /// Counts log lines beyond the rate limit.
    pub fn lines_suppressed(&self, count: u64) {
        self.lines_suppressed.inc_by(count);
    }

    /// Encodes all metrics as text.
    pub fn encode_text<P: router::Platform>(&self, shared: &router::Shared<P>) -> String {
        self.update_gauges(shared);
        let mut text = String::new();
        if let Err(error) = text::encode(&mut text, &self.registry.borrow()) {
            tracing::warn!(%error, "failed to encode metrics");
        }
        text
    }

    fn update_gauges<P: router::Platform>(&self, shared: &router::Shared<P>) {
        let now = shared.clock.now();
        let view = shared.view.borrow();
        let version = view.route_table.as_ref().map_or(0, |table| table.config().version);
        let records = shared.replicated_records.borrow();
        let fresh = records.is_fresh(now, Subject::Targets);
        self.open_requests.set(shared.open_requests.get() as i64);
        self.waiting_requests
            .set(view.waiting_requests.values().map(|&count| i64::from(count)).sum());
        self.targets.set(view.targets.len() as i64);
        self.remembered_streams.set(continuations::remembered(shared) as i64);
        self.copies.set(i64::from(shared.copies.kept()));
        let limited = view.targets.iter().filter(|(_, target)| target.request_limit.is_some());
        self.limited_targets.set(limited.count() as i64);
        let resting = view.targets.iter().filter(|(_, target)| target.resting_until(now).is_some());
        self.resting_targets.set(resting.count() as i64);
        let proof_age = config_proof::age(shared);
        self.config_proof_age.set(proof_age.map_or(-1.0, |age| age.as_secs_f64()));
        self.quota_held.set(quotas::held(shared) as i64);
        self.config_version.set(version as i64);
        let age = shared.age(now, Subject::Config);
        self.config_behind.set(i64::from(age.is_behind_peer));
        self.config_read_age.set(age.since_read.map_or(-1.0, |age| age.as_secs_f64()));
        self.store_fresh.set(i64::from(fresh));
        self.store_era.set(records.era().0 as i64);
        let awaited = [Subject::Targets, Subject::Routers].map(|subject| records.awaited(subject));
        self.records_awaited.set(awaited.iter().sum::<usize>() as i64);
        self.store_use.set(match shared.store_use(now) {
            StoreUse::Lost => 0,
            StoreUse::Reads => 1,
            StoreUse::Follows => 2,
        });
        let blocked = shared.suspicion.block_counts(now);
        self.blocked_requests.set(blocked.requests as i64);
        self.blocked_parts.set(blocked.parts as i64);
        self.peers.set(shared.peers.borrow().live(now).count() as i64);
    }
}

const fn subject_label(subject: Subject) -> &'static str {
    match subject {
        Subject::Config => "configuration",
        Subject::Targets => "targets",
        Subject::Routers => "routers",
    }
}

const fn route_kind(route: &config::Route) -> &'static str {
    match (route.streams, route.retry_policy) {
        (true, _) if route.resumable => "resumable stream",
        (true, _) => "stream",
        (false, config::RetryPolicy::Allowed) => "repeatable",
        (false, config::RetryPolicy::Never) => "once",
    }
}

/// Serves the metrics on a listener.
pub fn serve<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    listener: tokio::net::TcpListener,
) {
    server::serve_text(shared, listener, |shared, path| {
        (path == PATH).then(|| shared.decision_log.metrics.encode_text(shared))
    });
}

/// Path of the metrics.
pub const PATH: &str = "/metrics";
