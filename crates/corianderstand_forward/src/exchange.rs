//! Handles one request from its arrival to its response.
//!
//! A request is sent to another target only if the first did not run it, or if its route allows
//! retries, within the retry budget. A request with an unknown outcome is never reported as not run.

use crate::{
    admission, answer, attempt, body::ResponseBody, body_end, continuations, copies, decisions,
    dialect, hedge, job, quotas, replies, retries, router, stream, waiting,
};
use corianderstand_fleet::{choose, config, prefixes, targets};
use corianderstand_types::{names, pause};
use http::{Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use smol_str::SmolStr;
use std::{cell::OnceCell, net::IpAddr, rc::Rc, sync::Arc, time::Duration};
use xxhash_rust::xxh3;

/// Why a response or a connection ended early.
#[derive(Clone, Copy, PartialEq, Eq, Debug, displaydoc::Display)]
pub enum Aborted {
    /// the target closed the connection during its response
    ByTarget,
    /// the route's deadline was exceeded
    DeadlineExceeded,
    /// the caller closed the connection during its request
    ByCaller,
}

impl std::error::Error for Aborted {}

/// Timeout of a request whose caller sets none.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// `Retry-After` of a router that is starting or stopping.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Longest time that a request waits for the router's first read of the store.
const STARTUP_WAIT: Duration = Duration::from_millis(600);
const STARTUP_WAIT_DIVISOR: u32 = 4;
/// `Retry-After` when a target refused and no other may be tried.
pub const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_UNEXECUTED_ATTEMPTS: u32 = 4;

/// Handles one request; [`Aborted`] closes the caller's connection without a response.
pub async fn handle_request<P: router::Platform>(
    shared: Rc<router::Shared<P>>,
    connection: &pause::Connection,
    caller: IpAddr,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Aborted> {
    let arrived = shared.clock.now();
    let (parts, body) = req.into_parts();
    let request = shared.platform.parse_request(&parts.headers);
    let startup_wait = STARTUP_WAIT
        .min(request.caller_timeout.unwrap_or(DEFAULT_REQUEST_TIMEOUT) / STARTUP_WAIT_DIVISOR);
    drop(tokio::time::timeout(startup_wait, wait_until_started(&shared)).await);
    let (route, limit) = match find_route(&shared, &parts) {
        Ok(found) => found,
        Err(Unrouted::Unavailable(why)) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            shared.decision_log.refused(&request.id, "", status, why, arrived, shared.clock.now());
            return Ok(replies::local_response(status, why, Some(STARTING_RETRY_AFTER)));
        }
        Err(Unrouted::NoRoute { version }) => {
            let now = shared.clock.now();
            let age = shared.age(now, dialect::Subject::Config);
            shared.decision_log.no_route(&request.id, version, age, arrived, now);
            return Ok(replies::local_response(StatusCode::NOT_FOUND, decisions::NO_ROUTE, None));
        }
    };
    let admitted = match admission::admit(&shared, &route, request.credential).await {
        Ok(admitted) => admitted,
        Err(denied) => {
            return Ok(admission::refuse(&shared, &request.id, &route, denied, arrived));
        }
    };
    let wait_limit = request.caller_timeout.unwrap_or(DEFAULT_REQUEST_TIMEOUT).min(route.timeout);
    let deadline = arrived + wait_limit;
    let read = Limited::new(body, limit).collect();
    let body = match tokio::time::timeout_at(deadline.into(), read).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Ok(replies::local_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body over the limit",
                None,
            ));
        }
        Ok(Err(_)) | Err(_) => return Err(Aborted::ByCaller),
    };
    let may_predate_pause =
        shared.pause_detector.may_predate_pause(shared.clock.since_boot(), connection);
    if route.runs_at_most_once() && may_predate_pause {
        // The request may have waited in the socket, and its caller may have retried elsewhere.
        let (now, why) = (shared.clock.now(), "this router stood still for a while");
        let status = StatusCode::SERVICE_UNAVAILABLE;
        shared.decision_log.refused(&request.id, &route.name, status, why, arrived, now);
        return Ok(replies::local_response(status, why, Some(REFUSED_RETRY_AFTER)));
    }
    let hash = xxh3::xxh3_64(request.id.as_bytes());
    let Some(service) = route.service(hash).cloned() else {
        return Ok(replies::local_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "route without service",
            None,
        ));
    };
    let model = request.requested_model.as_ref().map_or("", |requested| requested.model.as_str());
    let chain = prefixes::PrefixChain::new(
        model,
        request.prompt_parts.iter().map(|part| (part.id.0, part.tokens)),
    );
    let uri = parts.uri.path_and_query().cloned().map_or_else(|| parts.uri.clone(), Uri::from);
    let rank = admitted.priority;
    let job = job::Job {
        request,
        route,
        workspace: admitted.workspace,
        rank: admitted.priority,
        service,
        method: parts.method,
        uri,
        caller,
        headers: parts.headers,
        body,
        arrived_at: arrived,
        deadline,
        idle_since: arrived,
        request_id_hash: hash,
        prompt_prefixes: chain,
        progress: continuations::Progress::Fresh,
        tried_targets: Vec::new(),
        unexecuted_attempts: 0,
        may_have_run: false,
        sent_at: None,
        last_target: names::TargetId::default(),
        prefill_tokens: 0,
        prefill_backlog: Duration::ZERO,
        last_failure: "",
        error_response: None,
        sends: retries::Sends::default(),
        targets_beside: Rc::default(),
        copy: None,
        moves: 0,
        goes_on_from: None,
        fingerprint: OnceCell::new(),
    };
    if let Some(block) = shared.suspicion.block(arrived, &job) {
        return Ok(replies::refuse_blocked(&shared, &job, &block));
    }
    let mut pending =
        PendingRequest { shared: shared.clone(), id: job.request.id.clone(), answered: false };
    let response = match spend_quota(&shared, &job, rank).await {
        Ok(charge) => {
            shared.record_arrival(&job, may_predate_pause);
            dispatch(shared, job, charge.as_ref()).await
        }
        Err(refusal) => replies::refuse_by_quota(&shared, &job, rank, refusal),
    };
    pending.answered = true;
    Ok(response)
}

/// Spends the request's cost from the quota of its workspace, if it has one.
async fn spend_quota<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &job::Job,
    rank: u8,
) -> Result<Option<quotas::Charge<P>>, quotas::Refusal> {
    let Some(workspace) = &job.workspace else { return Ok(None) };
    quotas::acquire(shared, job, workspace, rank).await
}

/// Logs that the caller left if the request is dropped before its response head is sent.
struct PendingRequest<P: router::Platform> {
    shared: Rc<router::Shared<P>>,
    id: SmolStr,
    answered: bool,
}

impl<P: router::Platform> Drop for PendingRequest<P> {
    fn drop(&mut self) {
        if !self.answered {
            self.shared.decision_log.caller_left(&self.id, 0, self.shared.clock.now());
        }
    }
}

async fn wait_until_started<P: router::Platform>(shared: &router::Shared<P>) {
    loop {
        let update = shared.view.borrow().changed();
        let update = update.notified();
        tokio::pin!(update);
        update.as_mut().enable();
        if !shared.is_starting() {
            return;
        }
        update.await;
    }
}

enum Unrouted {
    Unavailable(&'static str),
    /// The configuration of this version has no matching route.
    NoRoute {
        version: u64,
    },
}

fn find_route<P: router::Platform>(
    shared: &router::Shared<P>,
    parts: &http::request::Parts,
) -> Result<(Arc<config::Route>, usize), Unrouted> {
    if shared.rejects_requests(shared.clock.now()) {
        return Err(Unrouted::Unavailable("this router is stopping"));
    }
    let view = shared.view.borrow();
    let table =
        view.route_table.as_ref().ok_or(Unrouted::Unavailable("no configuration is known yet"))?;
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let config = table.config();
    let route = table.find(host, parts.uri.path());
    let route = route.ok_or(Unrouted::NoRoute { version: config.version })?;
    Ok((route.clone(), config.limits.body_bytes))
}

async fn dispatch<P: router::Platform>(
    shared: Rc<router::Shared<P>>,
    mut job: job::Job,
    charge: Option<&quotas::Charge<P>>,
) -> Response<ResponseBody> {
    let set_sent = |is_sent| {
        if let Some(charge) = charge {
            charge.set_sent(is_sent);
        }
    };
    job.progress = continuations::resolve(&shared, &job).await;
    if job.progress == continuations::Progress::Unknown {
        let retry_after = continuations::UNKNOWN_RETRY_AFTER;
        return replies::refuse(
            &shared,
            &job,
            "the version that began the stream is not known",
            retry_after,
        );
    }
    hedge::record_request(&shared, &job);
    loop {
        let found = waiting::find_target(&shared, &mut job).await;
        if let Some(block) = shared.suspicion.block(shared.clock.now(), &job) {
            return replies::refuse_blocked(&shared, &job, &block);
        }
        let key = match found {
            Ok(key) => key,
            Err(rejected) => return replies::refuse_unplaced(&shared, &job, &rejected),
        };
        job.tried_targets.push(key);
        set_sent(true);
        let outcome = match hedge::send(&shared, &mut job, key).await {
            hedge::Outcome::Attempted(outcome) => outcome,
            hedge::Outcome::Read(answer) => match deliver(&shared, job, *answer) {
                Ok(response) => return response,
                Err(retry) => {
                    job = *retry;
                    continue;
                }
            },
        };
        match outcome {
            attempt::AttemptOutcome::Denied(denied) => {
                set_sent(job.may_have_run);
                if job.may_have_run {
                    return replies::fail(&shared, &job, StatusCode::BAD_GATEWAY, denied.reason());
                }
                let (id, route) = (&job.request.id, &job.route);
                return admission::refuse(&shared, id, route, denied, job.arrived_at);
            }
            attempt::AttemptOutcome::Answered(answered) => {
                match start_stream(&shared, job, *answered).await {
                    Ok(response) => return response,
                    Err(retry) => job = *retry,
                }
            }
            attempt::AttemptOutcome::NotSent => {
                set_sent(job.may_have_run);
                // Nothing was written, so the attempt does not count towards `max_targets`.
                job.tried_targets.pop();
                job.unexecuted_attempts += 1;
                job.last_failure = "no connection to the target";
                shared.decision_log.attempt_failed(
                    &job,
                    job.last_failure,
                    None,
                    shared.clock.now(),
                );
                if job.unexecuted_attempts > MAX_UNEXECUTED_ATTEMPTS {
                    return replies::refuse(&shared, &job, job.last_failure, REFUSED_RETRY_AFTER);
                }
            }
            attempt::AttemptOutcome::Left => {
                set_sent(job.may_have_run);
                record_left(&shared, &mut job);
            }
            attempt::AttemptOutcome::NotRun => {
                set_sent(job.may_have_run);
                // Does not count towards `max_targets`; the target is excluded for a while anyway.
                job.tried_targets.pop();
                job.unexecuted_attempts += 1;
                job.last_failure = "the target did not run it";
                let cause = job.last_failure;
                if !may_try_another(&shared, &mut job, cause) {
                    let retry_after = refused_retry_after(&shared, &job);
                    return replies::refuse(&shared, &job, job.last_failure, retry_after);
                }
            }
            attempt::AttemptOutcome::Unknown(why) => {
                shared.decision_log.attempt_failed(&job, why, None, shared.clock.now());
                job.last_failure = why;
                job.may_have_run = true;
                let last_sign = shared.clock.now();
                let broken = copies::Broken { last_event: None, last_sign, why };
                if let Some(answered) = copies::go_on(&shared, &mut job, broken).await {
                    match start_stream(&shared, job, answered).await {
                        Ok(response) => return response,
                        Err(retry) => job = *retry,
                    }
                    continue;
                }
                if !(job.route.may_retry() && may_try_another(&shared, &mut job, why)) {
                    return replies::fail(&shared, &job, StatusCode::BAD_GATEWAY, why);
                }
            }
            attempt::AttemptOutcome::BudgetExhausted => {
                set_sent(job.may_have_run);
                let retry_after = refused_retry_after(&shared, &job);
                return replies::refuse(&shared, &job, retries::BUDGET_EXHAUSTED, retry_after);
            }
            attempt::AttemptOutcome::DeadlineExceeded => {
                return replies::fail(
                    &shared,
                    &job,
                    StatusCode::GATEWAY_TIMEOUT,
                    "the time is over",
                );
            }
        }
    }
}

/// When a request that a target did not run should come back.
fn refused_retry_after<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
) -> Duration {
    let now = shared.clock.now();
    match shared.choose_target(now, job) {
        choose::Choice::Resting(until) => until.saturating_duration_since(now),
        _ => REFUSED_RETRY_AFTER,
    }
}

/// Records that a target takes no requests any more, or none now, before the request was sent to it; it counts neither
/// as tried nor as failed.
pub fn record_left<P: router::Platform>(shared: &router::Shared<P>, job: &mut job::Job) {
    let now = shared.clock.now();
    let key = job.tried_targets.pop();
    let rests = key.is_some_and(|key| shared.is_resting(key, now));
    let refusal = if rests { targets::Refusal::Resting } else { targets::Refusal::Leaving };
    shared.decision_log.attempt_failed(job, refusal.as_str(), None, now);
}

/// Whether another target may be tried; reserves a retry. `cause` is why the last attempt failed.
pub fn may_try_another<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &mut job::Job,
    cause: &'static str,
) -> bool {
    (job.tried_targets.len() as u32) < job.route.max_targets
        && job.unexecuted_attempts < MAX_UNEXECUTED_ATTEMPTS
        && retries::reserve(shared, job, cause)
}

/// Forwards a stream, or returns the job if another target is to be tried.
async fn start_stream<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: job::Job,
    answered: attempt::Answered<P>,
) -> Result<Response<ResponseBody>, Box<job::Job>> {
    let key = answered.in_flight.key();
    match stream::start(shared, job, answered).await {
        Ok(response) => Ok(response),
        Err((job, why)) => {
            shared.record_target_failure(key, why);
            retry_or_fail(shared, *job, why)
        }
    }
}

/// Delivers an answer that is no stream, or returns the job if another target is to be tried.
fn deliver<P: router::Platform>(
    shared: &router::Shared<P>,
    mut job: job::Job,
    answer: answer::ReadAnswer<P>,
) -> Result<Response<ResponseBody>, Box<job::Job>> {
    let answer::ReadAnswer { mut head, response_head: info, lease, in_flight, body } = answer;
    let body = match body {
        answer::Body::Whole(body) => body,
        answer::Body::Broken => return retry_or_fail(shared, job, answer::BROKEN),
        answer::Body::TimedOut => return retry_or_fail(shared, job, answer::ENDLESS),
        answer::Body::DeadlineExceeded => {
            return Ok(replies::fail(
                shared,
                &job,
                StatusCode::GATEWAY_TIMEOUT,
                "the time is over",
            ));
        }
    };
    let has_two_lengths = body_end::remove_overridden_length(&mut head.headers);
    let closes = info.closes_connection || has_two_lengths;
    let keep_alive = if closes { Some(Duration::ZERO) } else { info.keep_alive };
    shared.connection_pool.release(shared.clock.now(), lease, keep_alive);
    drop(in_flight);
    shared.platform.rewrite_response(&mut head.headers);
    let may_retry = head.status.is_server_error() && job.route.may_retry();
    if may_retry && may_try_another(shared, &mut job, answer::TARGET_ERROR) {
        job.last_failure = answer::TARGET_ERROR;
        job.may_have_run = true;
        job.error_response = Some(job::ErrorResponse { head, body });
        return Err(Box::new(job));
    }
    shared.decision_log.answered(&job, head.status, "whole", shared.clock.now());
    Ok(Response::from_parts(head, ResponseBody::of_target(body)))
}

/// Returns the job if another target may be tried after an interrupted response.
fn retry_or_fail<P: router::Platform>(
    shared: &router::Shared<P>,
    mut job: job::Job,
    why: &'static str,
) -> Result<Response<ResponseBody>, Box<job::Job>> {
    shared.decision_log.attempt_failed(&job, why, None, shared.clock.now());
    job.last_failure = why;
    job.may_have_run = true;
    if job.route.may_retry() && may_try_another(shared, &mut job, why) {
        return Err(Box::new(job));
    }
    Ok(replies::fail(shared, &job, StatusCode::BAD_GATEWAY, why))
}
