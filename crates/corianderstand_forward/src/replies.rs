//! Responses of the router itself, in place of a target's.
//!
//! A request that may have run is never refused as one that has not: it is failed instead.

use crate::{body::ResponseBody, job, quotas, router, suspicion, waiting};
use bytes::Bytes;
use corianderstand_fleet::{crashes, wait_limit};
use http::{HeaderValue, Response, StatusCode, header};
use smol_str::SmolStr;
use std::time::Duration;

/// Refuses a request over the quota of its workspace.
pub fn refuse_by_quota<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    rank: u8,
    refusal: quotas::Refusal,
) -> Response<ResponseBody> {
    let retry_after = match refusal {
        quotas::Refusal::OutOfTime { retry_after, .. } => retry_after,
        _ => wait_limit::retry_after(refusal.retry_after(), job.jitter()),
    };
    shared.decision_log.over_quota(job, rank, refusal, retry_after, shared.clock.now());
    local_response(refusal.status(), refusal.reason(), Some(retry_after))
}

/// Refuses a request that has not run; one that may have run is failed instead.
pub fn refuse<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    why: &'static str,
    retry_after: Duration,
) -> Response<ResponseBody> {
    if job.may_have_run {
        return fail(shared, job, StatusCode::BAD_GATEWAY, why);
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    shared.decision_log.refused(
        &job.request.id,
        &job.route.name,
        status,
        why,
        job.arrived_at,
        shared.clock.now(),
    );
    local_response(status, why, Some(wait_limit::retry_after(retry_after, job.jitter())))
}

/// Refuses a request that got no place; fails it if an earlier attempt may have run.
pub fn refuse_unplaced<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    rejected: &waiting::PlacementError,
) -> Response<ResponseBody> {
    let waiting::PlacementError { reason, retry_after, standing } = *rejected;
    let Some(standing) = standing.filter(|_| !job.may_have_run) else {
        return refuse(shared, job, reason, retry_after);
    };
    let retry_after = wait_limit::retry_after(retry_after, job.jitter());
    let now = shared.clock.now();
    shared.decision_log.refused_place(job, reason, retry_after, &standing, now);
    local_response(StatusCode::SERVICE_UNAVAILABLE, reason, Some(retry_after))
}

/// Refuses a request that is blocked; fails it if this attempt may have run.
pub fn refuse_blocked<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    block: &crashes::Block,
) -> Response<ResponseBody> {
    if job.may_have_run {
        return fail(shared, job, StatusCode::BAD_GATEWAY, suspicion::reason(block));
    }
    let now = shared.clock.now();
    shared.decision_log.blocked(job, block, now);
    let retry_after = block.until.saturating_duration_since(now);
    local_response(StatusCode::SERVICE_UNAVAILABLE, suspicion::reason(block), Some(retry_after))
}

/// Answers a request that may have run: with a target's error response if there is one, else with `status`.
pub fn fail<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    status: StatusCode,
    why: &'static str,
) -> Response<ResponseBody> {
    let now = shared.clock.now();
    let Some(job::ErrorResponse { head, body }) = job.error_response.clone() else {
        shared.decision_log.answered(job, status, why, now);
        return local_response(status, why, None);
    };
    shared.decision_log.attempt_failed(job, why, None, now);
    shared.decision_log.answered(job, head.status, "whole", now);
    Response::from_parts(head, ResponseBody::of_target(body))
}

/// A response of the router itself.
pub fn local_response(
    status: StatusCode,
    why: &'static str,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::from_static(why.as_bytes())));
    *response.status_mut() = status;
    if let Some(retry_after) = retry_after {
        let text = SmolStr::from(format!("{:.3}", retry_after.as_secs_f64()));
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
