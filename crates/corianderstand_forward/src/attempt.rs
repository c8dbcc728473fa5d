//! One attempt to send a request to a target.

use crate::{
    admission, body_end, copies, dialect, ended_targets, job, pool, request_slots, retries, router,
};
use bytes::Bytes;
use corianderstand_fleet::targets;
use http::{HeaderValue, Request, Response, Version, header};
use http_body_util::Full;
use hyper::body::Incoming;
use std::{rc::Rc, time::Duration};

/// Subtracted from the forwarded deadline, so that the target's timeout response arrives in time.
const TARGET_RESPONSE_MARGIN: Duration = Duration::from_millis(25);
/// Multiple of the latency objective after which a retryable request is sent to another target.
const RESPONSE_TIMEOUT_OBJECTIVES: u32 = 2;
/// Slow but healthy targets respond within 0.3 s.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// How one attempt ended.
pub enum AttemptOutcome<P: router::Platform> {
    /// The target sent a response head.
    Answered(Box<Answered<P>>),
    /// Nothing was written to the target.
    NotSent,
    /// The target takes no more requests, or none now; nothing was written to it.
    Left,
    /// The target reported that it did not run the request.
    NotRun,
    /// The request may have run.
    Unknown(&'static str),
    /// The request may no longer run; nothing was sent.
    Denied(admission::Denied),
    /// It may not be sent once more; nothing was written.
    BudgetExhausted,
    /// The request's deadline was exceeded.
    DeadlineExceeded,
}

/// A response head and the connection that carries its body.
pub struct Answered<P: router::Platform> {
    /// Status and headers, in the version that callers get.
    pub head: http::response::Parts,
    /// How the body is delimited.
    pub framing: body_end::Framing,
    /// The parsed headers.
    pub response_head: dialect::ResponseHead,
    /// The body.
    pub body: Incoming,
    /// The connection.
    pub lease: pool::Lease,
    /// Counts the request as in flight at the target.
    pub in_flight: job::InFlight<P>,
}

/// Sends the request to a target and waits for the response head.
pub async fn attempt<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut job::Job,
    key: targets::TargetKey,
) -> AttemptOutcome<P> {
    let now = shared.clock.now();
    let Some((addr, id)) = shared.target_address(key) else { return AttemptOutcome::Left };
    job.last_target = id.clone();
    job.sent_at = Some(now);
    job.prefill_tokens = job.uncached_tokens(&shared.view.borrow(), key);
    job.prefill_backlog = shared.prefill_backlog(key, now);
    let time_left =
        job.deadline.saturating_duration_since(now).saturating_sub(TARGET_RESPONSE_MARGIN);
    if time_left.is_zero() {
        return AttemptOutcome::DeadlineExceeded;
    }
    let admitted = match admission::check_again(shared, job) {
        Ok(admitted) => admitted,
        Err(denied) => return AttemptOutcome::Denied(denied),
    };
    let in_flight = job::InFlight::begin(shared, key, job);
    job.copy = copies::place(shared, job, &in_flight);
    let forwarded = dialect::ForwardedRequest {
        target: &id,
        time_left,
        priority: job.request.requested_model.is_some().then_some(admitted.priority),
        workspace: admitted.workspace.as_ref(),
        progress: job.route.streams.then_some(&job.progress),
        copy_to: job.copy.as_ref().map(copies::Copy::addr),
        copy_from: job.goes_on_from.as_ref().map(|copy| copy.source(&job.request.id)),
    };
    let req = build_request(shared, job, &admitted, &forwarded);
    let mut lease = match shared.connection_pool.lease(now, addr).await {
        Ok(lease) => lease,
        Err(error) => {
            shared.record_connection_failure(key, &error);
            tracing::debug!(%addr, %error, "no connection to the target");
            return AttemptOutcome::NotSent;
        }
    };
    let mut unsent = Some(req);
    loop {
        let Some(req) = unsent.take() else { return AttemptOutcome::NotSent };
        // It may have left since it was chosen, or changed: a permit, a slot and a connection take time.
        if !shared.accepts(key, job, shared.clock.now()) {
            return AttemptOutcome::Left;
        }
        if !retries::charge(shared, job) {
            return AttemptOutcome::BudgetExhausted;
        }
        shared.record_sent(key);
        let sending = lease.sender.try_send_request(req);
        let outcome = wait_for_head(shared, job, key, sending).await;
        if !matches!(outcome, HeadOutcome::NotSent(_)) {
            retries::record_written(shared, job);
        }
        let response = match outcome {
            HeadOutcome::Received(response) => response,
            HeadOutcome::NotSent(req) if lease.is_reused => {
                // The target closed the idle connection before anything was written.
                match shared.connection_pool.open(addr).await {
                    Ok(new) => lease = new,
                    Err(error) => {
                        shared.record_connection_failure(key, &error);
                        return AttemptOutcome::NotSent;
                    }
                }
                unsent = Some(*req);
                continue;
            }
            HeadOutcome::NotSent(_) => {
                shared.record_target_failure(key, "connection closed at once");
                return AttemptOutcome::NotSent;
            }
            HeadOutcome::ConnectionLost => {
                ended_targets::record_broken(shared, job, &in_flight, None);
                shared.record_target_failure(key, "connection lost");
                return AttemptOutcome::Unknown("the target's connection was lost");
            }
            HeadOutcome::TimedOut => {
                shared.record_target_failure(key, "silent");
                return AttemptOutcome::Unknown("the target was silent");
            }
            HeadOutcome::DeadlineExceeded => {
                shared.record_target_failure(key, "time over");
                return AttemptOutcome::DeadlineExceeded;
            }
        };
        return classify_head(shared, job, lease, in_flight, response);
    }
}

fn classify_head<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &job::Job,
    lease: pool::Lease,
    in_flight: job::InFlight<P>,
    response: Response<Incoming>,
) -> AttemptOutcome<P> {
    let key = in_flight.key();
    let (mut head, body) = response.into_parts();
    let framing = body_end::Framing::of(&head, &job.method);
    // Else the version of the target decides how the caller's answer is delimited.
    head.version = Version::HTTP_11;
    let info = shared.platform.parse_response(head.status, &head.headers);
    if info.request_id.as_ref().is_some_and(|id| *id != job.request.id) {
        shared.record_target_failure(key, "answer to another request");
        return AttemptOutcome::Unknown("the answer was to another request");
    }
    if info.request_id.is_none() && lease.is_reused && !job.request.id.is_empty() {
        // It may be an additional response to the request before, and the answer is still to come. What it says of the
        // target itself is heeded all the same.
        shared.record_answered_leaving(key, &info);
        if info.rest.is_some() {
            shared.record_rest(key, job, &info);
        }
        shared.record_target_failure(key, "answer to no request");
        return AttemptOutcome::Unknown("the answer names no request");
    }
    if let Some(load) = info.load {
        shared.record_load(key, load);
    }
    request_slots::record_limit(shared, key, job, &info);
    shared.record_answered_leaving(key, &info);
    shared.record_rest(key, job, &info);
    if info.not_run && job.goes_on_from.is_some() {
        let (why, status) = (copies::NO_COPY, Some(head.status.as_u16()));
        shared.decision_log.attempt_failed(job, why, status, shared.clock.now());
        return AttemptOutcome::NotRun;
    }
    if info.not_run {
        shared.record_unexecuted(key, job, head.status, &info);
        // The body isn't read; dropping the lease closes the connection.
        return AttemptOutcome::NotRun;
    }
    if !info.is_signed {
        shared.record_target_failure(key, "answer without signature");
        return AttemptOutcome::Unknown("the answer was not the target's");
    }
    if head.status.is_success() {
        shared.record_response_time(key, job, info.load);
    }
    AttemptOutcome::Answered(Box::new(Answered {
        head,
        framing,
        response_head: info,
        body,
        lease,
        in_flight,
    }))
}

enum HeadOutcome {
    Received(Response<Incoming>),
    NotSent(Box<Request<pool::Body>>),
    ConnectionLost,
    TimedOut,
    DeadlineExceeded,
}

async fn wait_for_head<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    key: targets::TargetKey,
    sending: impl Future<
        Output = Result<Response<Incoming>, hyper::client::conn::TrySendError<Request<pool::Body>>>,
    >,
) -> HeadOutcome {
    tokio::pin!(sending);
    let response_timeout = response_timeout(job);
    let mut poll_at = (shared.clock.now() + response_timeout).min(shared.response_deadline(job));
    loop {
        tokio::select! {
            sent = &mut sending => {
                return match sent {
                    Ok(response) => HeadOutcome::Received(response),
                    Err(mut error) => match error.take_message() {
                        Some(req) => HeadOutcome::NotSent(Box::new(req)),
                        None => HeadOutcome::ConnectionLost,
                    },
                };
            }
            () = tokio::time::sleep_until(poll_at.into()) => {}
        }
        let now = shared.clock.now();
        if now >= shared.response_deadline(job) {
            return HeadOutcome::DeadlineExceeded;
        }
        if job.route.may_retry() && shared.has_alternative(now, job, key) {
            return HeadOutcome::TimedOut;
        }
        poll_at = (now + response_timeout).min(shared.response_deadline(job));
    }
}

/// How the read of a body that is no stream ended.
pub enum BodyOutcome {
    /// With the body, or with its break.
    Ended(body_end::Read, Bytes),
    /// It goes on, and another target can take the request.
    TimedOut,
    /// The request's deadline was exceeded.
    DeadlineExceeded,
}

/// Reads the body of an answer that is no stream.
pub async fn wait_for_body<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    key: targets::TargetKey,
    collecting: impl Future<Output = (body_end::Read, Bytes)>,
) -> BodyOutcome {
    tokio::pin!(collecting);
    loop {
        let now = shared.clock.now();
        let deadline = shared.response_deadline(job);
        if now >= deadline {
            return BodyOutcome::DeadlineExceeded;
        }
        let poll_at = (now + response_timeout(job)).min(deadline);
        if let Ok((read, bytes)) = tokio::time::timeout_at(poll_at.into(), &mut collecting).await {
            return BodyOutcome::Ended(read, bytes);
        }
        let now = shared.clock.now();
        if now < deadline && job.route.may_retry() && shared.has_alternative(now, job, key) {
            return BodyOutcome::TimedOut;
        }
    }
}

/// Time after which another target is sought for a request that may be repeated.
fn response_timeout(job: &job::Job) -> Duration {
    (job.route.latency_objective * RESPONSE_TIMEOUT_OBJECTIVES).max(MIN_RESPONSE_TIMEOUT)
}

fn build_request<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    admitted: &admission::Admitted,
    forwarded: &dialect::ForwardedRequest,
) -> Request<pool::Body> {
    let mut headers = job.headers.clone();
    if admitted.removes_credential {
        shared.platform.remove_credential(&mut headers);
    }
    shared.platform.rewrite_request(&mut headers, forwarded);
    if !job.body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(job.body.len()));
    }
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.uri.clone();
    *req.headers_mut() = headers;
    req
}
