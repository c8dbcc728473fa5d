//! Logs what becomes of targets and of their entries.

use super::{LineKind, join_parts, millis_between};
use crate::{dialect, job, replicated_records};
use corianderstand_fleet::{exits, targets};
use corianderstand_types::{names, position::Position};
use std::time::{Duration, Instant};

impl super::Log {
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
}
