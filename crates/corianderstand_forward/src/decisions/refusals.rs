//! Logs requests that are refused, and those that wait for a quota.

use super::{LineKind, NO_ROUTE, millis_between};
use crate::{admission, job, quotas, replicated_records, rooms, suspicion};
use corianderstand_fleet::{crashes, fingerprint::Feature};
use corianderstand_types::names;
use http::StatusCode;
use smol_str::SmolStr;
use std::time::{Duration, Instant};

impl super::Log {
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
}
