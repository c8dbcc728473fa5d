//! Rate-limited logging of routing decisions and request outcomes.

mod refusals;
mod streams;
mod target_states;

use crate::{body_end, job, metrics, replicated_records, rooms, stream, view};
use corianderstand_fleet::{budget, crashes, hedge, predict, targets, wait_limit};
use corianderstand_types::names;
use http::StatusCode;
use smol_str::SmolStr;
use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

/// Lines of one kind. A host gets some 30 requests a second; ten times that in a burst would be 60 KB of log a
/// second.
const MAX_LINES_PER_S: u32 = 60;
const LINE_LIMIT_WINDOW: Duration = Duration::from_secs(1);

/// Reason logged when no route matches a request's host and path.
pub const NO_ROUTE: &str = "no route for this host and path";

/// How a stream ended.
#[derive(Clone, Copy, Debug)]
pub struct StreamEnd<'a> {
    /// `whole`, or why the stream ended early.
    pub how: &'a str,
    /// Events forwarded to the caller.
    pub events: u64,
    /// Number of times another target resumed the stream.
    pub resumes: u32,
    /// Intervals between the events.
    pub timings: stream::EventTimings,
}

/// What is known of the stream that a request takes up.
#[derive(Clone, Copy, Debug)]
pub struct StreamOrigin<'a> {
    /// The version that it goes on at, if that is known.
    pub version: Option<&'a str>,
    /// Who says so.
    pub source: &'static str,
    /// Time since the version was recorded, if this router has.
    pub age: Option<Duration>,
    /// Routers that were asked.
    pub asked: usize,
    /// Routers that answered.
    pub answered: usize,
    /// Versions of the service's targets.
    pub offered: &'a [SmolStr],
}

/// What a decision to send a request to a target rests on.
#[derive(Clone, Copy, Debug)]
pub struct TargetKnowledge {
    /// Where the target's entry came from; none if only its agent has reported it.
    pub origin: Option<replicated_records::Origin>,
    /// Time since the store was read for the entries of all targets.
    pub age: Option<Duration>,
}

/// Whether a request may be sent once more, and what that rests on.
#[derive(Clone, Copy, Debug)]
pub struct RetryDecision {
    /// Whether it may.
    pub is_granted: bool,
    /// The service's budget at this router.
    pub usage: budget::Usage,
    /// This router's part of the fixed number of retries; none if it may not retry yet.
    pub fixed_share: Option<f64>,
    /// Number of routers by which that number is divided, if it is known.
    pub routers: Option<usize>,
    /// Why the last attempt failed.
    pub cause: &'static str,
}

/// Each kind has its own rate limit, so that a flood of one does not suppress the others.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum LineKind {
    Placed,
    Attempt,
    Answered,
    Failed,
    Refused,
    Denied,
    Left,
    TargetEnded,
    RecordIgnored,
    TargetChanged,
    AnswerEnded,
    StreamResolved,
    Retry,
    Hedge,
    Copy,
    Moved,
    Granted,
}

const LINE_KINDS: usize = 17;

#[derive(Clone, Copy, Debug, Default)]
struct LineCount {
    window_start: Option<Instant>,
    lines: u32,
    suppressed: u64,
}

/// Writes rate-limited log lines and updates the metrics that belong to them.
#[derive(Debug, Default)]
pub struct Log {
    /// Metrics of the same events.
    pub metrics: metrics::Metrics,
    line_counts: RefCell<[LineCount; LINE_KINDS]>,
}

impl Log {
    /// Logs that a request is sent to a target.
    pub fn placed(
        &self,
        job: &job::Job,
        view: &view::View,
        key: targets::TargetKey,
        knowledge: TargetKnowledge,
        predicted: Option<predict::Prediction>,
        now: Instant,
    ) {
        self.metrics.placed(knowledge.age, predicted.as_ref());
        if !self.may_log(LineKind::Placed, now) {
            return;
        }
        let entry_from = knowledge.origin.map(|origin| origin.source.to_string());
        let Some(target) = view.targets.get(key) else { return };
        let agent_age_ms = target.agent_last_received_at.map(|at| millis_between(now, at));
        let version = view.route_table.as_ref().map(|table| table.config().version);
        tracing::info!(
            id = %job.request.id,
            route = %job.route.name,
            workspace = job.workspace.as_ref().map(names::WorkspaceId::as_str),
            tokens = job.request.token_count(),
            at = %target.entry.id,
            version = target.entry.version.as_ref().map(names::SoftwareVersion::as_str),
            last_event = job.request.last_event_id,
            resumes = job.request.resumes.as_ref().map(SmolStr::as_str),
            model = job.model().map(names::ModelId::as_str),
            occupied = target.estimated_requests(now),
            first_in_ms = predicted.map(|times| millis(times.first_event_s)),
            event_in_ms = predicted.map(|times| millis(times.event_s)),
            whole_in_ms = predicted.map(|times| millis(times.finish_s)),
            relative_time = predicted.map(|times| percent(times.relative_time)),
            slowdown = predicted.map(|times| percent(times.slowdown)),
            slowdown_age_ms = target.pace.stated_age(now).map(|age| age.as_millis() as u64),
            speed_age_ms = target.pace.observed_age(now).map(|age| age.as_millis() as u64),
            trouble = format_args!("{:.2}", target.health.failure_score(now)),
            agent_age_ms,
            entry_from,
            entry_era = knowledge.origin.map(|origin| origin.position.era().0),
            entry_offset = knowledge.origin.map(|origin| origin.position.offset()),
            entries_age_ms = knowledge.age.map(|age| age.as_millis() as u64),
            config = version,
            sent_before = job.sends.written(),
            waited_ms = millis_between(now, job.arrived_at),
            "placed"
        );
    }

    /// Logs that a request waits for a target.
    pub fn waits(
        &self,
        job: &job::Job,
        why: &str,
        expected: wait_limit::Readiness,
        standing: Option<&rooms::Standing>,
        now: Instant,
    ) {
        if self.may_log(LineKind::Placed, now) {
            let waited_ms = millis_between(now, job.arrived_at);
            let ready_in_ms = match expected {
                wait_limit::Readiness::ReadyAt(at) => Some(millis_between(at, now)),
                wait_limit::Readiness::LoadTime(time) => Some(time.as_millis() as u64),
                wait_limit::Readiness::AtCapacity | wait_limit::Readiness::Unknown => None,
            };
            let model = job.model().map(names::ModelId::as_str);
            let workspace = job.workspace.as_ref().map(names::WorkspaceId::as_str);
            let rank = standing.map(|standing| standing.rank);
            let of_workspace = standing.map(|standing| standing.own_waiting);
            let of_all = standing.map(|standing| standing.waiting);
            let share_left = standing.map(|standing| standing.balance as i64);
            tracing::info!(id = %job.request.id, model, why, ready_in_ms, workspace, rank, of_workspace, of_all, share_left, waited_ms, "waits");
        }
    }

    /// Logs that a request that waited is given a place, and where it stood.
    pub fn granted(&self, job: &job::Job, standing: &rooms::Standing, now: Instant) {
        let waited = now.saturating_duration_since(job.idle_since);
        self.metrics.place_granted(job.workspace.as_ref(), standing.rank, waited);
        if self.may_log(LineKind::Granted, now) {
            let rooms::Standing { rank, own_waiting, waiting, balance } = *standing;
            tracing::info!(
                id = %job.request.id,
                workspace = job.workspace.as_ref().map(names::WorkspaceId::as_str),
                model = job.model().map(names::ModelId::as_str),
                rank,
                of_workspace = own_waiting,
                of_all = waiting,
                share_left = balance as i64,
                waited_ms = waited.as_millis() as u64,
                "granted"
            );
        }
    }

    /// Logs that a request waits for its slot at a target that limits its requests.
    pub fn waits_for_slot(
        &self,
        job: &job::Job,
        target: &names::TargetId,
        per_s: f64,
        wait: Duration,
        now: Instant,
    ) {
        if self.may_log(LineKind::Placed, now) {
            tracing::info!(
                id = %job.request.id,
                at = %target,
                per_s,
                why = "its target limits its requests",
                ready_in_ms = wait.as_millis() as u64,
                waited_ms = millis_between(now, job.arrived_at),
                "waits"
            );
        }
    }

    /// Logs that a request waits because targets ended while they ran it.
    pub fn held(&self, job: &job::Job, until: Instant, now: Instant) {
        if self.may_log(LineKind::Placed, now) {
            tracing::info!(
                id = %job.request.id,
                fingerprint = %job.fingerprint(),
                why = "targets ended while they ran it or another request",
                ready_in_ms = millis_between(until, now),
                waited_ms = millis_between(now, job.arrived_at),
                "waits"
            );
        }
    }

    /// Logs an attempt that failed or that the target did not execute.
    pub fn attempt_failed(&self, job: &job::Job, why: &str, status: Option<u16>, now: Instant) {
        self.metrics.attempt_failed(why);
        if self.may_log(LineKind::Attempt, now) {
            let (at, ms) = (job.last_target.as_str(), millis_between(now, job.arrived_at));
            tracing::info!(id = %job.request.id, at, why, status, ms, "attempt failed");
        }
    }

    /// Logs whether a request may be sent once more.
    pub fn retry_decided(&self, job: &job::Job, decided: &RetryDecision, now: Instant) {
        let outcome = if decided.is_granted { "granted" } else { "denied" };
        self.metrics.retry_decided(decided.cause, outcome);
        if self.may_log(LineKind::Retry, now) {
            let RetryDecision { usage, fixed_share, routers, cause, .. } = decided;
            let limit = format_args!("{:.1}", usage.limit);
            let fixed = fixed_share.map(|fixed| SmolStr::from(format!("{fixed:.1}")));
            let fixed = fixed.as_ref().map(SmolStr::as_str);
            let (service, ms) = (job.service.as_str(), millis_between(now, job.arrived_at));
            tracing::info!(id = %job.request.id, service, cause, outcome, spent = usage.retries, limit, requests = usage.requests, fixed, routers, ms, "retry");
        }
    }

    /// Logs that a request is sent to a second target, as its answer is late.
    pub fn hedged(&self, job: &job::Job, at: names::TargetId, now: Instant) {
        self.metrics.hedge("sent");
        if self.may_log(LineKind::Hedge, now) {
            let ms = millis_between(now, job.arrived_at);
            tracing::info!(id = %job.request.id, %at, ms, "sent to a second target");
        }
    }

    /// Logs that a late answer is waited for without a second request, and why.
    pub fn hedge_denied(&self, job: &job::Job, denial: hedge::Denial, now: Instant) {
        self.metrics.hedge(denial.as_str());
        if self.may_log(LineKind::Hedge, now) {
            let (why, ms) = (denial.as_str(), millis_between(now, job.arrived_at));
            tracing::info!(id = %job.request.id, why, ms, "no second request");
        }
    }

    /// Logs how a second request ended.
    pub fn hedge_ended(
        &self,
        id: &SmolStr,
        result: &'static str,
        arrived_at: Instant,
        now: Instant,
    ) {
        self.metrics.hedge(result);
        if self.may_log(LineKind::Hedge, now) {
            let ms = millis_between(now, arrived_at);
            tracing::info!(%id, result, ms, "second request ended");
        }
    }

    /// Logs the response to a request, be it the target's or a failure.
    pub fn answered(&self, job: &job::Job, status: StatusCode, how: &str, now: Instant) {
        let kind = if status.is_server_error() { LineKind::Failed } else { LineKind::Answered };
        self.metrics.request_ended(
            job,
            if kind == LineKind::Failed { how } else { "answered" },
            now,
        );
        if self.may_log(kind, now) {
            let (ms, tried, status) =
                (millis_between(now, job.arrived_at), job.tried_targets.len(), status.as_u16());
            let failure_score = job.last_failure;
            let latency_objective_ms = job.route.latency_objective.as_millis() as u64;
            tracing::info!(id = %job.request.id, route = %job.route.name, status, how, trouble = failure_score, tried, ms, aim_ms = latency_objective_ms, "answered");
        }
    }

    /// Logs how a target's answer ended, and what was concluded. An answer that was read to its stated end has no
    /// line of its own.
    pub fn answer_ended(
        &self,
        job: &job::Job,
        read: body_end::Read,
        concluded: Result<body_end::Whole, body_end::Break>,
        probe: Option<&'static str>,
        now: Instant,
    ) {
        let concluded = body_end::describe(concluded);
        self.metrics.answer_ended(read, concluded);
        let as_stated = read.framing != body_end::Framing::UntilClose
            && !read.failed
            && matches!(read.received, body_end::Received::Nothing | body_end::Received::Content);
        if !as_stated && self.may_log(LineKind::AnswerEnded, now) {
            let at = job.last_target.as_str();
            let ended = if read.failed { "error" } else { "end" };
            let (framing, received) = (read.framing.as_str(), read.received.as_str());
            let ms = millis_between(now, job.arrived_at);
            tracing::info!(id = %job.request.id, at, framing, ended, received, probe, concluded, ms, "answer ended");
        }
    }

    /// Counts a connection that is closed unread.
    pub fn connection_shed(&self) {
        self.metrics.connection_shed();
    }

    /// Logs a caller that disconnected before it had the whole response.
    pub fn caller_left(&self, id: &SmolStr, events: u64, now: Instant) {
        self.metrics.caller_left();
        if self.may_log(LineKind::Left, now) {
            tracing::info!(%id, events, "caller left");
        }
    }

    fn may_log(&self, kind: LineKind, now: Instant) -> bool {
        let count = &mut self.line_counts.borrow_mut()[kind as usize];
        let window_over = count
            .window_start
            .is_none_or(|at| now.saturating_duration_since(at) >= LINE_LIMIT_WINDOW);
        if window_over {
            if count.suppressed > 0 {
                tracing::warn!(?kind, left_out = count.suppressed, "log lines suppressed");
                self.metrics.lines_suppressed(count.suppressed);
            }
            *count = LineCount { window_start: Some(now), lines: 0, suppressed: 0 };
        }
        if count.lines >= MAX_LINES_PER_S {
            count.suppressed += 1;
            return false;
        }
        count.lines += 1;
        true
    }
}

fn millis(seconds: f64) -> u64 {
    (seconds * 1e3).round() as u64
}

fn percent(ratio: f64) -> u64 {
    (ratio * 100.0).round() as u64
}

fn millis_between(later: Instant, earlier: Instant) -> u64 {
    later.saturating_duration_since(earlier).as_millis() as u64
}

/// Parts of a prompt as one field of a log line.
fn join_parts(parts: &[crashes::AccusedPart]) -> String {
    let parts: Vec<String> = parts.iter().map(|accused| accused.part.to_string()).collect();
    parts.join(",")
}
