//! Calls to a plain service; those that may not be repeated run only under a claim in the log.

use crate::{
    event::Request,
    run::{Runner, Target, failed},
};
use corianderstand_edge::service::{Answer, Call};
use corianderstand_link::trace::TraceContext;
use corianderstand_schema::{
    messages::{Ending, Operation, ToRouter},
    records::{Body, CallKey},
};
use corianderstand_state::{calls, fold::Outcome};
use std::time::Duration;

/// Time the log has to decide a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs a call and sends its answer.
pub async fn run(runner: &Runner, request: &Request, trace: TraceContext) -> (Ending, u64) {
    let Operation::Call { service, idempotency_key, .. } = &request.open.operation else {
        return (failed("the request is no call"), 0);
    };
    let answer = match idempotency_key {
        None => call(runner, request, trace).await,
        Some(key) => {
            let team = request.open.team.clone();
            let key = CallKey { team, service: service.clone(), key: key.clone() };
            call_once(runner, request, trace, key).await
        }
    };
    match answer {
        Ok(answer) => send(request, &answer).await,
        Err(ending) => (ending, 0),
    }
}

async fn send(request: &Request, answer: &Answer) -> (Ending, u64) {
    let stream = request.end.stream;
    let (status, content_type) = (answer.status, answer.content_type.clone());
    request.end.send(&ToRouter::Head { stream, status, content_type }, b"").await;
    request.end.send(&ToRouter::Chunk { stream, position: 0 }, &answer.body).await;
    let finish_reason = "stop".into();
    (Ending::Whole { prompt_tokens: 0, completion_tokens: 0, finish_reason }, 1)
}

async fn call(runner: &Runner, request: &Request, trace: TraceContext) -> Result<Answer, Ending> {
    let Target::Service(service) = &runner.target else {
        return Err(failed("this target is an engine: call a plain service elsewhere"));
    };
    let Operation::Call { method, path, content_type, idempotency_key, .. } =
        &request.open.operation
    else {
        return Err(failed("the request is no call"));
    };
    let call = Call {
        method: method.clone(),
        path: path.clone(),
        content_type: content_type.clone(),
        idempotency_key: idempotency_key.clone(),
        body: request.body.clone(),
        request: request.open.request.clone(),
        traceparent: trace.header(),
    };
    service.call(call).await.map_err(|error| {
        if error.never_sent() {
            failed(&error.to_string())
        } else {
            Ending::Unknown { reason: error.to_string().into() }
        }
    })
}

/// Runs a call only if this agent's claim is the first for its key in the log.
///
/// Without a claim two agents could run the same call for one caller who asked twice, or a
/// frozen agent could run it minutes after another did.
async fn call_once(
    runner: &Runner,
    request: &Request,
    trace: TraceContext,
    key: CallKey,
) -> Result<Answer, Ending> {
    let digest = digest(&request.body);
    let target = runner.name.clone();
    let claim = Body::Claimed { key: key.clone(), digest, target };
    let decided = runner.control.appender.append(claim, CLAIM_TIMEOUT).await;
    let decided = decided.map_err(|error| Ending::Unknown { reason: error.to_string().into() })?;
    if decided.outcome != Outcome::Applied {
        return stored(runner, &key, digest);
    }
    let answer = call(runner, request, trace).await?;
    let (status, body) = (answer.status, answer.body.to_vec());
    let ended = Body::CallEnded { key, claim: decided.offset, status, body };
    // The answer is good whether or not its record is decided in time: the claim stands, and
    // a repeat finds the call claimed until the record is folded.
    if let Err(error) = runner.control.appender.append(ended, CLAIM_TIMEOUT).await {
        tracing::warn!(%error, "outcome of a call not decided yet");
    }
    Ok(answer)
}

fn stored(runner: &Runner, key: &CallKey, digest: u64) -> Result<Answer, Ending> {
    let snapshot = runner.control.current.load();
    match snapshot.state.calls.find(key) {
        Some(calls::Call::Ended { digest: first, status, body, .. }) if *first == digest => {
            let body = bytes::Bytes::copy_from_slice(body);
            Ok(Answer { status: *status, content_type: "application/json".into(), body })
        }
        Some(calls::Call::Claimed { digest: first, .. }) if *first == digest => {
            Err(Ending::Unknown { reason: "the call is running or was cut off".into() })
        }
        Some(calls::Call::Voided { .. }) => Err(failed("the call was given up: it did not run")),
        _ => Err(failed("the key was used with another body: use a new key")),
    }
}

fn digest(body: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(body)
}
