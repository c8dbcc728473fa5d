//! Calls that run at most once, identified by an idempotency key.
//!
//! A router that times out appends a `CallVoided` record: if that precedes any claim in the log, the
//! call can never run.

use crate::{
    call::{CallInProgress, Part},
    problem::Problem,
};
use bytes::Bytes;
use corianderstand_control::start::ControlHandle;
use corianderstand_derives::derives;
use corianderstand_schema::{
    messages::RefusalReason,
    records::{Body, CallKey},
};
use corianderstand_state::{
    calls::{self, CallStatus},
    claim::{self, VoidDecision},
};
use smol_str::SmolStr;
use std::{
    pin::pin,
    time::{Duration, SystemTime},
};
use tokio::time::{self, Instant};

/// Time reserved before the deadline to append a `CallVoided` record and read its result.
const SETTLE_RESERVE: Duration = Duration::from_secs(1);
const LOG_RETRY_AFTER: Duration = Duration::from_secs(2);

#[derives(data)]
pub struct Answer {
    pub status: u16,
    pub content_type: SmolStr,
    /// The body; `None` if it was too long to be stored for repeated requests.
    pub body: Option<Bytes>,
}

/// A call to a service under an idempotency key.
pub struct KeyedCall<'a> {
    pub control: &'a ControlHandle,
    pub key: CallKey,
    /// Detects an idempotency key that is reused for another request.
    pub request_digest: u64,
    pub deadline: Instant,
}

impl KeyedCall<'_> {
    /// Answers from the log, or submits the call and waits for its outcome.
    pub async fn answer(
        &self,
        submit: impl FnOnce() -> Result<CallInProgress, Problem>,
    ) -> Result<Answer, Problem> {
        if is_past_retention(&self.key.key, SystemTime::now()) {
            return Err(Problem::KeyExpired);
        }
        let snapshot = self.control.current.load();
        match snapshot.state.calls.status(&self.key, self.request_digest) {
            CallStatus::Unclaimed if !snapshot.log_up => {
                return Err(Problem::Refused(RefusalReason::LogDown, LOG_RETRY_AFTER));
            }
            CallStatus::Unclaimed => {}
            _ => return self.wait_for_outcome().await,
        }
        let mut call = submit()?;
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let settle_at = self.deadline - SETTLE_RESERVE.min(remaining / 4);
        match time::timeout_at(settle_at, read_answer(&mut call, self.deadline)).await {
            Ok(Err(problem)) if !is_certainly_not_run(&problem) => {
                self.void_or_await_outcome(None).await
            }
            Ok(result) => result,
            Err(_) => self.void_or_await_outcome(Some(call)).await,
        }
    }

    /// Appends a `CallVoided` record, and accepts an answer from `call` in the meantime.
    async fn void_or_await_outcome(&self, call: Option<CallInProgress>) -> Result<Answer, Problem> {
        let mut settled = pin!(self.append_void());
        if let Some(mut call) = call {
            tokio::select! {
                settled = &mut settled => return settled,
                result = read_answer(&mut call, self.deadline) => match result {
                    Err(problem) if !is_certainly_not_run(&problem) => {}
                    result => return result,
                }
            }
        }
        settled.await
    }

    async fn append_void(&self) -> Result<Answer, Problem> {
        let status = self.control.current.load().state.calls.status(&self.key, self.request_digest);
        if status != CallStatus::Unclaimed {
            return self.wait_for_outcome().await;
        }
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let body = Body::CallVoided { key: self.key.clone() };
        let decision = self.control.appender.append(body, remaining).await;
        match decision.map(|decision| claim::void_decision(&decision.outcome)) {
            Ok(VoidDecision::NotRun) => Err(Problem::NotRun("timed out before it began".into())),
            Ok(VoidDecision::ReadStatus) => self.wait_for_outcome().await,
            Ok(VoidDecision::Unknown) | Err(_) => {
                Err(unknown_outcome("no answer before the deadline"))
            }
        }
    }

    async fn wait_for_outcome(&self) -> Result<Answer, Problem> {
        let mut changed = self.control.current.subscribe();
        loop {
            match self.control.current.load().state.calls.status(&self.key, self.request_digest) {
                CallStatus::Ran(answer) => return Ok(answer.into()),
                CallStatus::NotRun => {
                    return Err(Problem::NotRun("cancelled before it began".into()));
                }
                CallStatus::Conflict => {
                    return Err(Problem::Refused(RefusalReason::KeyConflict, LOG_RETRY_AFTER));
                }
                // The key expired during the wait.
                CallStatus::Unclaimed => return Err(unknown_outcome("its key has expired")),
                CallStatus::Claimed => {}
            }
            match time::timeout_at(self.deadline, changed.changed()).await {
                Ok(Ok(())) => {}
                _ => return Err(unknown_outcome("it began, but no outcome was recorded in time")),
            }
        }
    }
}

impl From<calls::Answer> for Answer {
    fn from(answer: calls::Answer) -> Self {
        let calls::Answer { status, content_type, body } = answer;
        Self { status, content_type, body: body.map(|body| Bytes::copy_from_slice(&body)) }
    }
}

fn unknown_outcome(reason: &str) -> Problem {
    Problem::Unknown(reason.into())
}

const fn is_certainly_not_run(problem: &Problem) -> bool {
    matches!(problem, Problem::Refused(..) | Problem::NotRun(_))
}

pub async fn read_answer(call: &mut CallInProgress, deadline: Instant) -> Result<Answer, Problem> {
    let mut answer = Answer { status: 200, content_type: SmolStr::default(), body: None };
    let mut body = Vec::new();
    loop {
        match call.next(deadline).await? {
            Part::Head { status, content_type } => {
                (answer.status, answer.content_type) = (status, content_type);
            }
            Part::Chunk(chunk) => body.extend_from_slice(&chunk),
            Part::Whole { .. } => {
                answer.body = Some(body.into());
                return Ok(answer);
            }
        }
    }
}

/// Whether a key's own timestamp is older than the retention of keys. Only UUIDs of version 7
/// contain a timestamp.
fn is_past_retention(key: &str, now: SystemTime) -> bool {
    let digits: String = key.chars().filter(|c| *c != '-').collect();
    if key.len() != 36 || digits.len() != 32 || !digits[12..].starts_with('7') {
        return false;
    }
    let Ok(created_ms) = u64::from_str_radix(&digits[..12], 16) else { return false };
    corianderstand_types::clock::unix_ms(now) > created_ms + calls::KEY_RETENTION_MS
}

#[cfg(test)]
mod tests;
