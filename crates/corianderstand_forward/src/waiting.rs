//! Target selection for a request, with a bounded wait if no target is available.

use crate::{exchange, job, pacing, prefill, request_slots, router, suspicion};
use corianderstand_fleet::{choose, targets, wait_limit};
use corianderstand_types::names;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Interval at which an adapter is requested again, as datagrams may be lost.
const ADAPTER_REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Interval at which a waiting request is checked without a notification.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Number of targets given up because of a long wait for a prefill permit.
const MAX_ABANDONED_CHOICES: u32 = 2;

/// A request for which no target is available in time.
pub struct PlacementError {
    /// The logged reason.
    pub reason: &'static str,
    /// When the caller should retry.
    pub retry_after: Duration,
}

/// Chooses a target for the request, and waits for one within the request's wait limit.
pub async fn find_target<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut job::Job,
) -> Result<targets::TargetKey, PlacementError> {
    let mut waiting_guard = None;
    let mut choices = 0;
    loop {
        let now = shared.clock.now();
        let waker = shared.view.borrow_mut().waker(job.model());
        // Registers before choosing, so that a change in between is not missed.
        let woken = waker.notified();
        tokio::pin!(woken);
        woken.as_mut().enable();
        if let Some(block) = shared.suspicion.block(now, job) {
            let retry_after = block.until.saturating_duration_since(now);
            return Err(PlacementError { reason: suspicion::reason(&block), retry_after });
        }
        let choice = shared.choose_target(now, job);
        let (until, interval) = match choice {
            choose::Choice::Send(key) => {
                let held = shared.suspicion.held_until(now, job, &shared.peers.borrow());
                if let Some(until) = held {
                    hold_suspect(shared, job, now, until).await?;
                    continue;
                }
                match request_slots::acquire(shared, job, key).await {
                    request_slots::SlotOutcome::Granted => {}
                    request_slots::SlotOutcome::ChooseAgain => continue,
                    request_slots::SlotOutcome::TooLate { retry_after } => {
                        let reason = "its target limits its requests";
                        return Err(PlacementError { reason, retry_after });
                    }
                }
                choices += 1;
                match prefill::acquire_permit(shared, job, key, choices > MAX_ABANDONED_CHOICES)
                    .await
                {
                    prefill::PermitOutcome::Granted => {
                        let now = shared.clock.now();
                        let knowledge = shared.target_knowledge(now, key);
                        let view = shared.view.borrow();
                        let predicted = pacing::predict(shared, &view, now, job, key);
                        shared.decision_log.placed(job, &view, key, knowledge, predicted, now);
                        return Ok(key);
                    }
                    prefill::PermitOutcome::ChooseAgain => continue,
                    prefill::PermitOutcome::TooLate { retry_after } => {
                        return Err(PlacementError {
                            reason: "its prompt cannot be read in time",
                            retry_after,
                        });
                    }
                }
            }
            choose::Choice::LoadAdapter(_)
            | choose::Choice::Resting(_)
            | choose::Choice::Full
            | choose::Choice::Cold
            | choose::Choice::NoTarget
            | choose::Choice::NoVersion => {
                if let choose::Choice::LoadAdapter(key) = choice {
                    shared.request_adapter(key, job);
                }
                let expected = shared.expected_readiness(now, job, choice);
                let until = job.abandoned_at().min(shared.response_deadline(job));
                if waiting_guard.is_none() {
                    shared.decision_log.waits(job, reason(choice), expected, now);
                }
                match wait_limit::decide(now, until, expected, job.jitter()) {
                    wait_limit::Decision::Hold { until } => {
                        (until.min(shared.response_deadline(job)), poll_interval(choice))
                    }
                    wait_limit::Decision::Refuse { after } => {
                        return Err(PlacementError { reason: reason(choice), retry_after: after });
                    }
                }
            }
        };
        if now >= until {
            return Err(PlacementError {
                reason: reason(choice),
                retry_after: exchange::REFUSED_RETRY_AFTER,
            });
        }
        if let (None, Some(model)) = (&waiting_guard, job.model()) {
            waiting_guard = Some(WaitingGuard::begin(shared, model));
        }
        let next_poll = (now + interval).min(until);
        tokio::select! {
            () = woken => {}
            () = tokio::time::sleep_until(next_poll.into()) => {}
        }
    }
}

/// Waits for the turn of a request that may have ended its targets.
async fn hold_suspect<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    now: Instant,
    until: Instant,
) -> Result<(), PlacementError> {
    shared.decision_log.held(job, until, now);
    if until >= job.abandoned_at().min(shared.response_deadline(job)) {
        let retry_after = until.saturating_duration_since(now);
        return Err(PlacementError { reason: "targets ended while they ran it", retry_after });
    }
    tokio::time::sleep_until(until.into()).await;
    Ok(())
}

const fn poll_interval(choice: choose::Choice) -> Duration {
    match choice {
        choose::Choice::LoadAdapter(_) => ADAPTER_REQUEST_INTERVAL,
        _ => POLL_INTERVAL,
    }
}

const fn reason(choice: choose::Choice) -> &'static str {
    match choice {
        choose::Choice::Resting(_) => "its targets asked for rest",
        choose::Choice::Full => "all targets are full",
        choose::Choice::Cold => "the model cannot be there in time",
        choose::Choice::NoTarget => "no target can be used",
        choose::Choice::NoVersion => "no target of the stream's version is left",
        choose::Choice::LoadAdapter(_) => "the adapter was not loaded in time",
        choose::Choice::Send(_) => "the time is over",
    }
}

struct WaitingGuard<P: router::Platform> {
    shared: Rc<router::Shared<P>>,
    model: names::ModelId,
}

impl<P: router::Platform> WaitingGuard<P> {
    fn begin(shared: &Rc<router::Shared<P>>, model: &names::ModelId) -> Self {
        let mut view = shared.view.borrow_mut();
        *view.waiting_requests.entry(model.clone()).or_default() += 1;
        drop(view);
        shared.control_wake.notify_one();
        Self { shared: shared.clone(), model: model.clone() }
    }
}

impl<P: router::Platform> Drop for WaitingGuard<P> {
    fn drop(&mut self) {
        let mut view = self.shared.view.borrow_mut();
        if let Some(count) = view.waiting_requests.get_mut(&self.model) {
            *count -= 1;
            if *count == 0 {
                view.waiting_requests.remove(&self.model);
            }
        }
    }
}
