//! The log of what became of requests, and what the process came to believe.
//!
//! One line for each decision, with what decided it. Lines are limited by kind: a flood of one kind
//! leaves out its own lines beyond a number a second, says how many, and takes no room from others.

use crate::{copies, job, metrics, stream, view};
use corianderstand_fleet::{targets, wait_limit};
use corianderstand_types::names;
use http::StatusCode;
use smol_str::SmolStr;
use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

/// Lines of one kind in a second. Requests come at some 30 a second to a host; ten times that in a
/// burst would be 60 KB of log a second.
const LINES_PER_S: u32 = 60;
/// Over this time the number is counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Why a request whose path leads nowhere is refused.
pub const NO_ROUTE: &str = "no route for this host and path";

/// How a stream ended.
#[derive(Clone, Copy, Debug)]
pub struct StreamEnd<'a> {
    /// Whole, or why not.
    pub how: &'a str,
    /// Events that were passed on.
    pub events: u64,
    /// Times that another target took it up.
    pub resumes: u32,
    /// How the events came.
    pub pace: stream::EventTimings,
}

/// Kinds of lines, each with its own limit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Kind {
    Placed,
    Attempt,
    Answered,
    Failed,
    Refused,
    Denied,
    Left,
}

const KINDS: usize = 7;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    since: Option<Instant>,
    lines: u32,
    left_out: u64,
}

/// Writes the lines.
#[derive(Debug, Default)]
pub struct Log {
    /// The same, counted.
    pub metrics: metrics::Metrics,
    counts: RefCell<[Count; KINDS]>,
}

impl Log {
    /// A request goes to a target.
    pub fn placed(&self, job: &job::Job, view: &view::View, key: targets::TargetKey, now: Instant) {
        if !self.allows(Kind::Placed, now) {
            return;
        }
        let Some(target) = view.targets.get(key) else { return };
        let agent_age_ms = target.agent_last_received_at.map(|at| ms(now, at));
        let version = view.table.as_ref().map(|table| table.config().version);
        tracing::info!(
            id = %job.call.id,
            route = %job.route.name,
            at = %target.entry.id,
            model = job.model().map(names::ModelId::as_str),
            occupied = target.estimated_requests(),
            trouble = format_args!("{:.2}", target.health.failure_score(now)),
            agent_age_ms,
            config = version,
            waited_ms = ms(now, job.arrived),
            "placed"
        );
    }

    /// A request waits, or the reason for its wait has changed.
    pub fn waits(&self, job: &job::Job, why: &str, expected: wait_limit::Readiness, now: Instant) {
        if self.allows(Kind::Placed, now) {
            let waited_ms = ms(now, job.arrived);
            let ready_in_ms = match expected {
                wait_limit::Readiness::ReadyAt(at) => Some(ms(at, now)),
                wait_limit::Readiness::LoadTime(time) => Some(time.as_millis() as u64),
                wait_limit::Readiness::AtCapacity | wait_limit::Readiness::Unknown => None,
            };
            let model = job.model().map(names::ModelId::as_str);
            tracing::info!(id = %job.call.id, model, why, ready_in_ms, waited_ms, "waits");
        }
    }

    /// An attempt at a target has failed or was not run.
    pub fn attempt_failed(&self, job: &job::Job, why: &str, status: Option<u16>, now: Instant) {
        self.metrics.attempt_failed(why);
        if self.allows(Kind::Attempt, now) {
            let (at, ms) = (job.last_target.as_str(), ms(now, job.arrived));
            tracing::info!(id = %job.call.id, at, why, status, ms, "attempt failed");
        }
    }

    /// A request was answered with what a target said, or with a failure.
    pub fn answered(&self, job: &job::Job, status: StatusCode, how: &str, now: Instant) {
        let kind = if status.is_server_error() { Kind::Failed } else { Kind::Answered };
        self.metrics.ended(job, if kind == Kind::Failed { how } else { "answered" }, now);
        if self.allows(kind, now) {
            let (ms, tried, status) = (ms(now, job.arrived), job.tried.len(), status.as_u16());
            let trouble = job.last_failure;
            let aim_ms = job.route.latency_objective.as_millis() as u64;
            tracing::info!(id = %job.call.id, route = %job.route.name, status, how, trouble, tried, ms, aim_ms, "answered");
        }
    }

    /// A stream has ended.
    pub fn streamed(&self, job: &job::Job, end: &StreamEnd, now: Instant) {
        let kind = if end.how == "whole" { Kind::Answered } else { Kind::Failed };
        let outcome = if kind == Kind::Failed { end.how } else { "answered" };
        self.metrics.ended(job, outcome, now);
        self.metrics.streamed(job, &end.pace);
        if self.allows(kind, now) {
            let (how, events, resumes) = (end.how, end.events, end.resumes);
            let (total_ms, tried) = (ms(now, job.arrived), job.tried.len());
            let first_ms = end.pace.first_at.map(|first| ms(first, job.arrived));
            let longest_pause_ms = end.pace.longest_gap.as_millis() as u64;
            let aim_ms = job.route.latency_objective.as_millis() as u64;
            let pause_aim_ms = job.route.gap_objective.map(|pause| pause.as_millis() as u64);
            let target = job.last_target.as_str();
            let model = job.model().map(names::ModelId::as_str);
            tracing::info!(id = %job.call.id, route = %job.route.name, at = target, model, prompt = job.call.prompt_tokens, how, events, resumes, tried, first_ms, longest_pause_ms, ms = total_ms, aim_ms, pause_aim_ms, "streamed");
        }
    }

    /// A request was refused.
    pub fn refused(
        &self,
        id: &SmolStr,
        route: &str,
        status: StatusCode,
        why: &str,
        arrived: Instant,
        now: Instant,
    ) {
        self.metrics.refused(why);
        if self.allows(Kind::Refused, now) {
            let (ms, status) = (ms(now, arrived), status.as_u16());
            tracing::info!(%id, route, status, why, ms, "refused");
        }
    }

    /// A request was answered that its path leads nowhere: by which configuration, how long ago the
    /// store was last read, and whether another router was known to have read more. Lines of their
    /// own kind, as these are few and a flood of refusals must not crowd them out.
    pub fn denied(
        &self,
        id: &SmolStr,
        version: u64,
        age: copies::Age,
        arrived: Instant,
        now: Instant,
    ) {
        self.metrics.refused(NO_ROUTE);
        if self.allows(Kind::Denied, now) {
            let age_ms = age.since_read.map(|age| age.as_millis() as u64);
            let (behind, ms) = (age.behind, ms(now, arrived));
            let status = StatusCode::NOT_FOUND.as_u16();
            let why = NO_ROUTE;
            tracing::info!(%id, status, why, config = version, age_ms, behind, ms, "refused");
        }
    }

    /// A caller has left before its answer was whole.
    pub fn left(&self, id: &SmolStr, events: u64, now: Instant) {
        self.metrics.left();
        if self.allows(Kind::Left, now) {
            tracing::info!(%id, events, "caller left");
        }
    }

    fn allows(&self, kind: Kind, now: Instant) -> bool {
        let count = &mut self.counts.borrow_mut()[kind as usize];
        let over = count.since.is_none_or(|at| now.saturating_duration_since(at) >= WINDOW);
        if over {
            if count.left_out > 0 {
                tracing::warn!(?kind, left_out = count.left_out, "lines left out");
                self.metrics.lines_left_out(count.left_out);
            }
            *count = Count { since: Some(now), lines: 0, left_out: 0 };
        }
        if count.lines >= LINES_PER_S {
            count.left_out += 1;
            return false;
        }
        count.lines += 1;
        true
    }
}

fn ms(now: Instant, since: Instant) -> u64 {
    now.saturating_duration_since(since).as_millis() as u64
}
