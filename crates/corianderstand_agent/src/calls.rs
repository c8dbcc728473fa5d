//! Calls to a plain service. Calls with an idempotency key run only under a claim in the log.

use crate::{
    event::Request,
    run::{Finish, JobRunner, Target, failed},
};
use corianderstand_control::appender::{AppendError, FoldedAppend};
use corianderstand_edge::{
    EdgeError,
    service::{Call, ServiceResponse},
};
use corianderstand_link::trace::TraceContext;
use corianderstand_schema::{
    messages::{Ending, Operation, RefusalReason, ToRouter},
    records::{Body, CallAnswer, CallKey},
};
use corianderstand_state::{
    calls::{self, CallStatus},
    claim::{self, ClaimAction},
    fold::Outcome,
};
use smol_str::SmolStr;
use std::{sync::atomic::Ordering, time::Duration};
use tokio::{sync::oneshot, time};

/// Time to wait for the log to decide a claim before the request is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a response waits for its record, which lets a retry find the outcome after a crash.
const RECORD_WAIT_LIMIT: Duration = Duration::from_secs(1);
/// Time for which an append is retried while the log is down.
const RECORD_APPEND_TIMEOUT: Duration = Duration::from_secs(6 * 3600);
/// Retry delay sent to callers while the log is down.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Retry delay sent to callers while the table of idempotency keys is full.
const KEYS_FULL_RETRY_AFTER: Duration = Duration::from_secs(60);

type CallResult = Result<ServiceResponse, Finish>;

pub async fn run(runner: &JobRunner, request: &Request, trace: TraceContext) -> Finish {
    let Operation::Call { service, method, path, idempotency_key, .. } = &request.open.operation
    else {
        return ended(failed("the request is no call"));
    };
    let result = match idempotency_key {
        None => call(runner, request, trace).await.map_err(|error| {
            let reason: SmolStr = error.to_string().into();
            ended(Ending::Failed { reason })
        }),
        Some(key) => {
            let team = request.open.team.clone();
            let idempotent = IdempotentCall {
                key: CallKey { team, service: service.clone(), key: key.clone() },
                digest: calls::digest(method, path, &request.body),
            };
            idempotent.call(runner, request, trace).await
        }
    };
    match result {
        Ok(response) => send_response(request, &response).await,
        Err(finish) => finish,
    }
}

const fn ended(ending: Ending) -> Finish {
    Finish::Ended(ending, 0)
}

async fn send_response(request: &Request, response: &ServiceResponse) -> Finish {
    let stream = request.response.stream;
    let (status, content_type) = (response.status, response.content_type.clone());
    request.response.send(&ToRouter::Head { stream, status, content_type }, b"").await;
    request.response.send(&ToRouter::Chunk { stream, position: 0 }, &response.body).await;
    let finish_reason = "stop".into();
    let whole = Ending::Whole { prompt_tokens: 0, completion_tokens: 0, finish_reason };
    Finish::Ended(whole, 1)
}

async fn call(
    runner: &JobRunner,
    request: &Request,
    trace: TraceContext,
) -> Result<ServiceResponse, EdgeError> {
    match (&runner.target, &request.open.operation) {
        (
            Target::Service(service),
            Operation::Call { method, path, content_type, idempotency_key, .. },
        ) => {
            let call = Call {
                method: method.clone(),
                path: path.clone(),
                content_type: content_type.clone(),
                idempotency_key: idempotency_key.clone(),
                body: request.body.clone(),
                request: request.open.request.clone(),
                traceparent: trace.header(),
            };
            service.call(call).await
        }
        _ => {
            let (system, detail) = ("this target", "it is no plain service".into());
            Err(EdgeError::Malformed { system, detail })
        }
    }
}

/// A call that must run at most once.
struct IdempotentCall {
    key: CallKey,
    digest: u64,
}

impl IdempotentCall {
    /// Runs the call only if this agent's claim is the first for its key in the log.
    async fn call(&self, runner: &JobRunner, request: &Request, trace: TraceContext) -> CallResult {
        let snapshot = runner.control.current.load();
        match snapshot.state.calls.status(&self.key, self.digest) {
            CallStatus::Unclaimed => {}
            status => return result_of(status),
        }
        if !is_before_deadline(runner, request) {
            return Err(Finish::Refused(RefusalReason::Deadline, LOG_RETRY_AFTER));
        }
        // A claim queued while the log is stalled would only be withdrawn later.
        let log_stalled = runner.undecided_claims.load(Ordering::Relaxed) > 0;
        let log_down = !snapshot.log_up || runner.control.appender.is_failing();
        if log_stalled || log_down {
            return Err(Finish::Refused(RefusalReason::LogDown, LOG_RETRY_AFTER));
        }
        let Some(FoldedAppend { offset, outcome }) = self.claim(runner, request).await else {
            return Err(Finish::Refused(RefusalReason::LogDown, LOG_RETRY_AFTER));
        };
        let before_deadline = is_before_deadline(runner, request);
        match claim::claim_action(&outcome, true, before_deadline) {
            ClaimAction::Run => self.run(runner, request, trace, offset).await,
            ClaimAction::Withdraw => {
                self.record(runner, offset, None).await;
                Err(not_run("its deadline passed before it could begin"))
            }
            ClaimAction::ReadStatus => {
                result_of(runner.control.current.load().state.calls.status(&self.key, self.digest))
            }
            ClaimAction::Refuse => {
                Err(Finish::Refused(RefusalReason::QueueFull, KEYS_FULL_RETRY_AFTER))
            }
        }
    }

    /// Claims the key; `None` if the log has not decided in time. If such a claim is applied
    /// later, the spawned task withdraws it, so that it never runs after its caller was refused.
    async fn claim(&self, runner: &JobRunner, request: &Request) -> Option<FoldedAppend> {
        let (key, target) = (self.key.clone(), runner.name.clone());
        let body = Body::Claimed { key, digest: self.digest, target };
        let (tx, mut rx) = oneshot::channel();
        let (task_runner, idempotent) = (runner.clone(), Self { key: self.key.clone(), ..*self });
        tokio::spawn(async move {
            let decided = task_runner.control.appender.append(body, RECORD_APPEND_TIMEOUT).await;
            if let Err(decided) = tx.send(decided) {
                task_runner.undecided_claims.fetch_sub(1, Ordering::Relaxed);
                idempotent.withdraw_late_claim(&task_runner, decided).await;
            }
        });
        let time_left = request.deadline.saturating_duration_since(runner.clock.now());
        let decided = tokio::select! {
            biased;
            decided = time::timeout(CLAIM_TIMEOUT.min(time_left), &mut rx) => decided.ok(),
            // The reads may notice the outage only after their wait.
            () = runner.control.appender.wait_until_failing() => None,
        };
        if let Some(Ok(decided)) = decided {
            return decided.ok();
        }
        // Incremented before the channel is closed, so that the task never decrements first.
        runner.undecided_claims.fetch_add(1, Ordering::Relaxed);
        rx.close();
        match rx.try_recv() {
            Ok(decided) => {
                runner.undecided_claims.fetch_sub(1, Ordering::Relaxed);
                decided.ok()
            }
            Err(_) => None,
        }
    }

    async fn withdraw_late_claim(
        &self,
        runner: &JobRunner,
        decided: Result<FoldedAppend, AppendError>,
    ) {
        let Ok(FoldedAppend { offset, outcome }) = decided else { return };
        if claim::claim_action(&outcome, false, false) == ClaimAction::Withdraw {
            tracing::warn!(key = %self.key.key, "late claim withdrawn: the call does not run");
            self.record(runner, offset, None).await;
        }
    }

    async fn run(
        &self,
        runner: &JobRunner,
        request: &Request,
        trace: TraceContext,
        claim: u64,
    ) -> CallResult {
        match call(runner, request, trace).await {
            Ok(response) => {
                self.record(runner, claim, Some(stored_answer(&response))).await;
                Ok(response)
            }
            // The connection was refused, so the service cannot have received the call.
            Err(error) if error.never_sent() => {
                self.record(runner, claim, None).await;
                Err(not_run(&error.to_string()))
            }
            Err(error) => Err(ended(Ending::Unknown { reason: error.to_string().into() })),
        }
    }

    /// Records the outcome in the background and waits for the record for a limited time.
    async fn record(&self, runner: &JobRunner, claim: u64, answer: Option<CallAnswer>) {
        let body = Body::CallEnded { key: self.key.clone(), claim, answer };
        let appender = runner.control.appender.clone();
        let record = tokio::spawn(async move {
            match appender.append(body, RECORD_APPEND_TIMEOUT).await {
                Ok(FoldedAppend { outcome: Outcome::Applied, .. }) => {}
                other => tracing::error!(?other, "outcome of a call not recorded"),
            }
        });
        if time::timeout(RECORD_WAIT_LIMIT, record).await.is_err() {
            tracing::warn!(key = %self.key.key, "outcome of a call not yet recorded in the log");
        }
    }
}

/// Returns whether the deadline is ahead by this process's clock and by the log's, which detects
/// requests read late after a pause.
fn is_before_deadline(runner: &JobRunner, request: &Request) -> bool {
    let now_ms = runner.control.current.load().log_now_ms(runner.clock.wall());
    let expires_ms = request.open.expires_ms;
    runner.clock.now() < request.deadline && (expires_ms == 0 || now_ms < expires_ms)
}

fn stored_answer(response: &ServiceResponse) -> CallAnswer {
    let stores_body = response.body.len() <= calls::MAX_ANSWER_BODY_BYTES;
    CallAnswer {
        status: response.status,
        content_type: response.content_type.clone(),
        body: stores_body.then(|| response.body.to_vec()),
    }
}

fn not_run(reason: &str) -> Finish {
    ended(Ending::NotRun { reason: reason.into() })
}

/// Returns the result of a retry; the router waits in its records for an outcome unknown here.
fn result_of(status: CallStatus) -> CallResult {
    match status {
        CallStatus::Ran(calls::Answer { status, content_type, body: Some(body) }) => {
            let body = bytes::Bytes::copy_from_slice(&body);
            Ok(ServiceResponse { status, content_type, body })
        }
        CallStatus::NotRun => Err(not_run("it was given up before it began")),
        CallStatus::Conflict => Err(Finish::Refused(RefusalReason::KeyConflict, LOG_RETRY_AFTER)),
        CallStatus::Claimed | CallStatus::Unclaimed | CallStatus::Ran(_) => {
            Err(ended(Ending::Unknown { reason: "it was claimed before".into() }))
        }
    }
}
