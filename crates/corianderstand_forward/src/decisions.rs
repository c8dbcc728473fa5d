//! Rate-limited logging of routing decisions and request outcomes.

use crate::{
    admission, body_end, copies, dialect, job, metrics, quotas, replicated_records, rooms, stream,
    suspicion, view,
};
use corianderstand_fleet::{
    budget, copies as placement, crashes, exits, fingerprint::Feature, hedge, predict, targets,
    wait_limit,
};
use corianderstand_types::{names, position::Position};
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

    /// Logs that a target ended while it ran a request.
    pub fn target_ended(
        &self,
        attempt: &exits::BrokenAttempt,
        confirmation: exits::Confirmation,
        now: Instant,
    ) {
        self.metrics.target_ended(confirmation);
        if self.may_log(LineKind::TargetEnded, now) {
            tracing::info!(
                id = %attempt.request_id,
                fingerprint = %attempt.fingerprint,
                parts = join_parts(&attempt.parts),
                caller = %attempt.caller,
                at = %attempt.target.id,
                born = attempt.target.started_at_ms,
                ran_ms = millis_between(attempt.broke_at, attempt.sent_at),
                survived_ms = attempt.survived.as_millis() as u64,
                confirmed_by = confirmation.as_str(),
                confirmed_ms = millis_between(now, attempt.broke_at),
                "target ended under the request"
            );
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

    /// Logs the end of a stream.
    pub fn streamed(&self, job: &job::Job, end: &StreamEnd, now: Instant) {
        let kind = if end.how == "whole" { LineKind::Answered } else { LineKind::Failed };
        let outcome = if kind == LineKind::Failed { end.how } else { "answered" };
        self.metrics.request_ended(job, outcome, now);
        self.metrics.stream_ended(job, &end.timings);
        if self.may_log(kind, now) {
            let (how, events, resumes) = (end.how, end.events, end.resumes);
            let (total_ms, tried) = (millis_between(now, job.arrived_at), job.tried_targets.len());
            let first_ms =
                end.timings.first_event_at.map(|first| millis_between(first, job.arrived_at));
            let longest_pause_ms = end.timings.longest_gap.as_millis() as u64;
            let latency_objective_ms = job.route.latency_objective.as_millis() as u64;
            let gap_objective_ms = job.route.gap_objective.map(|gap| gap.as_millis() as u64);
            let target = job.last_target.as_str();
            let model = job.model().map(names::ModelId::as_str);
            tracing::info!(id = %job.request.id, route = %job.route.name, at = target, model, prompt = job.request.prompt_tokens, how, events, resumes, tried, first_ms, longest_pause_ms, ms = total_ms, aim_ms = latency_objective_ms, pause_aim_ms = gap_objective_ms, "streamed");
        }
    }

    /// Logs at which version the stream goes on that a request takes up.
    pub fn stream_resolved(
        &self,
        request: &dialect::RequestHead,
        origin: &StreamOrigin,
        now: Instant,
    ) {
        self.metrics.stream_resolved(origin.source);
        if self.may_log(LineKind::StreamResolved, now) {
            tracing::info!(
                id = %request.id,
                resumes = request.resumes.as_ref().map(SmolStr::as_str),
                last_event = request.last_event_id,
                version = origin.version,
                known_from = origin.source,
                age_ms = origin.age.map(|age| age.as_millis() as u64),
                asked = origin.asked,
                answered = origin.answered,
                offered = ?origin.offered,
                "stream taken up"
            );
        }
    }

    /// Logs that a stream has a copy at a second engine.
    pub fn copy_placed(&self, job: &job::Job, copy: &copies::Copy, now: Instant) {
        self.metrics.copy_placed(copy.bytes());
        if self.may_log(LineKind::Copy, now) {
            let (at, to) = (copy.runs_at().as_str(), copy.kept_at().as_str());
            let (tokens, kb) = (copy.tokens(), copy.bytes() >> 10);
            tracing::info!(id = %job.request.id, route = %job.route.name, at, to, tokens, kb, "copy placed");
        }
    }

    /// Logs that a stream that ends with its engine has no copy.
    pub fn copy_denied(&self, job: &job::Job, denial: placement::Denial, now: Instant) {
        let why = denial.as_str();
        self.metrics.copy_denied(why);
        let is_at_risk = !matches!(
            denial,
            placement::Denial::NotOffered | placement::Denial::Resumable | placement::Denial::Short
        );
        if is_at_risk && self.may_log(LineKind::Copy, now) {
            tracing::info!(id = %job.request.id, route = %job.route.name, at = %job.last_target, why, "no copy");
        }
    }

    /// Logs whether a broken run goes on from its copy.
    pub fn moved_to_copy(&self, job: &job::Job, moved: &copies::Moved, now: Instant) {
        let why = moved.outcome.err().copied();
        self.metrics.moved_to_copy(why);
        if self.may_log(LineKind::Moved, now) {
            let (from, to) = (moved.from.as_str(), moved.to.as_str());
            let (last_event, cause) = (moved.broken.last_event, moved.broken.why);
            let copy_age_ms = moved.age.as_millis() as u64;
            let (since_event_ms, ms) =
                (millis_between(now, moved.broken.last_sign), millis_between(now, job.arrived_at));
            let message = if why.is_none() { "goes on from its copy" } else { "lost its copy" };
            tracing::info!(id = %job.request.id, from, to, last_event, cause, copy_age_ms, since_event_ms, why, ms, "{message}");
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

    /// Logs a rejected request.
    pub fn refused(
        &self,
        id: &SmolStr,
        route: &str,
        status: StatusCode,
        why: &str,
        arrived: Instant,
        now: Instant,
    ) {
        self.metrics.request_refused(why);
        if self.may_log(LineKind::Refused, now) {
            let (ms, status) = (millis_between(now, arrived), status.as_u16());
            tracing::info!(%id, route, status, why, ms, "refused");
        }
    }

    /// Logs a request that got no place in time, and where it stood.
    pub fn refused_place(
        &self,
        job: &job::Job,
        why: &str,
        retry_after: Duration,
        standing: &rooms::Standing,
        now: Instant,
    ) {
        self.metrics.request_refused(why);
        self.metrics.place_refused(job.workspace.as_ref(), standing.rank);
        if self.may_log(LineKind::Refused, now) {
            let rooms::Standing { rank, own_waiting, waiting, balance } = *standing;
            tracing::info!(
                id = %job.request.id,
                route = %job.route.name,
                status = StatusCode::SERVICE_UNAVAILABLE.as_u16(),
                why,
                workspace = job.workspace.as_ref().map(names::WorkspaceId::as_str),
                rank,
                of_workspace = own_waiting,
                of_all = waiting,
                share_left = balance as i64,
                retry_ms = retry_after.as_millis() as u64,
                ms = millis_between(now, job.arrived_at),
                "refused"
            );
        }
    }

    /// Logs a refused request under which, or under a part of which, targets ended.
    pub fn blocked(&self, job: &job::Job, block: &crashes::Block, now: Instant) {
        let why = suspicion::reason(block);
        let (fingerprint, part) = match block.feature {
            Feature::Request(fingerprint) => (Some(fingerprint.to_string()), None),
            Feature::Part(part) => (None, Some(part.to_string())),
        };
        self.metrics.request_refused(why);
        if self.may_log(LineKind::Refused, now) {
            tracing::info!(
                id = %job.request.id,
                route = %job.route.name,
                status = StatusCode::SERVICE_UNAVAILABLE.as_u16(),
                why,
                fingerprint,
                part,
                ends = block.ends,
                last_end_ms = millis_between(now, block.last_end),
                noticed_by = ?block.observers,
                ms = millis_between(now, job.arrived_at),
                "refused"
            );
        }
    }

    /// Logs a request that matches no route, apart from the other rejections' rate limit.
    pub fn no_route(
        &self,
        id: &SmolStr,
        version: u64,
        age: replicated_records::Age,
        arrived: Instant,
        now: Instant,
    ) {
        self.metrics.request_refused(NO_ROUTE);
        if self.may_log(LineKind::Denied, now) {
            let age_ms = age.since_read.map(|age| age.as_millis() as u64);
            let (behind, ms) = (age.is_behind_peer, millis_between(now, arrived));
            let status = StatusCode::NOT_FOUND.as_u16();
            let why = NO_ROUTE;
            tracing::info!(%id, status, why, config = version, age_ms, behind, ms, "refused");
        }
    }

    /// Logs a request that may not run, apart from the other rejections' rate limit.
    pub fn denied(
        &self,
        id: &SmolStr,
        route: &str,
        denied: admission::Denied,
        proof_age: Option<Duration>,
        arrived: Instant,
        now: Instant,
    ) {
        let why = denied.reason();
        self.metrics.request_refused(why);
        if self.may_log(LineKind::Denied, now) {
            let (status, ms) = (denied.status().as_u16(), millis_between(now, arrived));
            let proof_age_ms = proof_age.map(|age| age.as_millis() as u64);
            tracing::info!(%id, route, status, why, proof_age_ms, ms, "refused");
        }
    }

    /// Logs that a request waits for the quota of its workspace.
    pub fn waits_for_quota(&self, job: &job::Job, rank: u8, cost: u64, now: Instant) {
        if self.may_log(LineKind::Placed, now) {
            tracing::info!(
                id = %job.request.id,
                route = %job.route.name,
                workspace = job.workspace.as_ref().map(names::WorkspaceId::as_str),
                rank,
                tokens = cost,
                why = "its workspace's quota",
                waited_ms = millis_between(now, job.arrived_at),
                "waits"
            );
        }
    }

    /// Logs that a request that waited was granted its cost from the quota of its workspace.
    pub fn granted_from_quota(
        &self,
        job: &job::Job,
        rank: u8,
        cost: u64,
        waited: Duration,
        now: Instant,
    ) {
        self.metrics.quota_decided(rank, "granted", waited);
        if self.may_log(LineKind::Granted, now) {
            tracing::info!(
                id = %job.request.id,
                route = %job.route.name,
                workspace = job.workspace.as_ref().map(names::WorkspaceId::as_str),
                rank,
                tokens = cost,
                waited_ms = waited.as_millis() as u64,
                "granted"
            );
        }
    }

    /// Logs a request that the quota of its workspace does not admit.
    pub fn over_quota(
        &self,
        job: &job::Job,
        rank: u8,
        refusal: quotas::Refusal,
        retry_after: Duration,
        now: Instant,
    ) {
        let why = refusal.reason();
        self.metrics.request_refused(why);
        let (before, is_booked) = match refusal {
            quotas::Refusal::OutOfTime { before, is_booked, .. } => (Some(before), is_booked),
            quotas::Refusal::UsedUp { .. } | quotas::Refusal::Unanswered => (None, false),
        };
        let outcome = if is_booked { "booked" } else { "refused" };
        let waited = now.saturating_duration_since(job.arrived_at);
        self.metrics.quota_decided(rank, outcome, waited);
        if self.may_log(LineKind::Refused, now) {
            let (status, ms) = (refusal.status().as_u16(), millis_between(now, job.arrived_at));
            let workspace = job.workspace.as_ref().map(names::WorkspaceId::as_str);
            let (tokens, retry_ms) = (job.request.token_count(), retry_after.as_millis() as u64);
            tracing::info!(id = %job.request.id, route = %job.route.name, workspace, rank, before, booked = is_booked, tokens, status, why, retry_ms, ms, "refused");
        }
    }

    /// Logs a record of the store that can't be read.
    pub fn record_ignored(
        &self,
        subject: dialect::Subject,
        error: &dialect::RecordError,
        position: Position,
        source: replicated_records::Source,
        now: Instant,
    ) {
        if self.may_log(LineKind::RecordIgnored, now) {
            tracing::warn!(?subject, %error, %position, %source, "record ignored");
        }
    }

    /// Logs that the registered entry of a target changed.
    pub fn target_changed(
        &self,
        id: &names::TargetId,
        change: targets::RegistrationChange,
        origin: replicated_records::Origin,
        within: Option<Duration>,
        now: Instant,
    ) {
        let replicated_records::Origin { source, position } = origin;
        let within_ms = within.map(|time| time.as_millis() as u64);
        if change == targets::RegistrationChange::Draining {
            self.metrics.target_left(within);
            tracing::info!(target = %id, %position, %source, within_ms, "target is leaving");
        } else if self.may_log(LineKind::TargetChanged, now) {
            tracing::info!(target = %id, ?change, %position, %source, within_ms, "target changed");
        }
    }

    /// Logs that a target says in a response that it is leaving.
    pub fn target_answered_leaving(&self, entry: &targets::Entry) {
        let started_at_ms = entry.started_at_ms;
        tracing::info!(target = %entry.id, born = started_at_ms, source = "its answer", "target is leaving");
    }

    /// Logs that a target wants no requests from this router for a time.
    pub fn rest_asked(
        &self,
        job: &job::Job,
        target: &names::TargetId,
        rest: Duration,
        now: Instant,
    ) {
        self.metrics.rest_asked();
        if self.may_log(LineKind::TargetChanged, now) {
            let rest_ms = rest.as_millis() as u64;
            tracing::info!(id = %job.request.id, at = %target, rest_ms, "target asks for rest");
        }
    }

    /// Logs that the entry of a target was removed.
    pub fn target_removed(
        &self,
        id: &names::TargetId,
        known: bool,
        grace: bool,
        origin: replicated_records::Origin,
        within: Option<Duration>,
    ) {
        let replicated_records::Origin { source, position } = origin;
        let within_ms = within.map(|time| time.as_millis() as u64);
        if known {
            self.metrics.target_left(within);
        }
        tracing::info!(target = %id, known, grace, %position, %source, within_ms, "target's entry removed");
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
