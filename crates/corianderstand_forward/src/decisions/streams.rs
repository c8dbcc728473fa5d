//! Logs streams: how they end, where they go on, and their copies.

use super::{LineKind, StreamEnd, StreamOrigin, millis_between};
use crate::{copies, dialect, job};
use corianderstand_fleet::copies as placement;
use corianderstand_types::names;
use smol_str::SmolStr;
use std::time::Instant;

impl super::Log {
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
}
