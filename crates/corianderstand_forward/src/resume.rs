//! Continues a stream at another target after the events that were forwarded.

use crate::{attempt, ended_targets, exchange, job, retries, router, suspicion, waiting};
use corianderstand_fleet::targets;
use std::rc::Rc;

/// Requests the rest of a stream from another target; `cause` is why the last one is left.
pub async fn resume<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut job::Job,
    cause: &'static str,
) -> Result<attempt::Answered<P>, &'static str> {
    let key = find_other_target(shared, job, cause).await?;
    resume_at(shared, job, key).await
}

/// Chooses another target for a stream, and waits for it as [`waiting::find_target`] does.
pub async fn find_other_target<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut job::Job,
    cause: &'static str,
) -> Result<targets::TargetKey, &'static str> {
    if !exchange::may_try_another(shared, job, cause) {
        return Err("no further target is allowed");
    }
    waiting::find_target(shared, job).await.map_err(|rejected| rejected.reason)
}

/// Continues a stream at a target that was found for it.
pub async fn resume_at<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut job::Job,
    mut key: targets::TargetKey,
) -> Result<attempt::Answered<P>, &'static str> {
    let outcome = loop {
        if let Some(block) = shared.suspicion.block(shared.clock.now(), job) {
            return Err(suspicion::reason(&block));
        }
        job.tried_targets.push(key);
        match attempt::attempt(shared, job, key).await {
            attempt::AttemptOutcome::Left => {
                exchange::record_left(shared, job);
                let found = waiting::find_target(shared, job).await;
                key = found.map_err(|rejected| rejected.reason)?;
            }
            outcome => break outcome,
        }
    };
    match outcome {
        attempt::AttemptOutcome::Answered(answered) if answered.head.status.is_success() => {
            Ok(*answered)
        }
        attempt::AttemptOutcome::Answered(answered) => {
            ended_targets::record_failed(shared, job, &answered.in_flight);
            Err("the other target failed")
        }
        attempt::AttemptOutcome::NotSent
        | attempt::AttemptOutcome::Left
        | attempt::AttemptOutcome::NotRun => Err("the other target did not take it"),
        attempt::AttemptOutcome::Unknown(why) => Err(why),
        attempt::AttemptOutcome::Denied(denied) => Err(denied.reason()),
        attempt::AttemptOutcome::BudgetExhausted => Err(retries::BUDGET_EXHAUSTED),
        attempt::AttemptOutcome::DeadlineExceeded => Err("the time is over"),
    }
}
