//! Requests that wait for their cost.

use super::Refusal;
use crate::{job, router};
use corianderstand_fleet::quota::{account, unanswered};
use corianderstand_types::names;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::oneshot;

/// Time from the sending of a request to the first event of its answer.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(150);
/// A request may wait for its quota for this part of its objective, however short that is.
const MIN_PATIENCE_DIVISOR: u32 = 2;
/// Shorter waits aren't logged.
const LOGGED_WAIT: Duration = Duration::from_millis(25);

/// A request that waits for its cost.
pub(super) struct Held {
    /// Takes the outcome.
    pub(super) outcome: oneshot::Sender<Option<Refusal>>,
    /// Until when it waits for routers that start.
    pub(super) patient_until: Instant,
}

/// Withdraws a request that stops waiting, and returns its cost if it was granted meanwhile.
struct Waiting<'a, P: router::Platform> {
    shared: &'a Rc<router::Shared<P>>,
    workspace: &'a names::WorkspaceId,
    cost: u64,
    id: account::WaiterId,
    outcome: oneshot::Receiver<Option<Refusal>>,
    is_done: bool,
}

impl<P: router::Platform> Drop for Waiting<'_, P> {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        let state = &self.shared.quotas;
        state.waiting.borrow_mut().remove(&self.id);
        let mut accounts = state.accounts.borrow_mut();
        let was_waiting = accounts.withdraw(self.workspace, self.id);
        if !was_waiting && matches!(self.outcome.try_recv(), Ok(None)) {
            accounts.refund(self.workspace, self.cost);
        }
    }
}

/// The time by which a request must be sent, so that its first event is within its objective.
pub(super) fn objective_at(job: &job::Job) -> Instant {
    let objective = job.route.latency_objective;
    job.arrived_at
        + objective.saturating_sub(FIRST_EVENT_TIME).max(objective / MIN_PATIENCE_DIVISOR)
}

/// Waits for the outcome of a request, and logs that it waits unless it is known soon.
async fn wait_for_outcome<P: router::Platform>(
    waiting: &mut Waiting<'_, P>,
    job: &job::Job,
    rank: u8,
) -> Result<Option<Refusal>, oneshot::error::RecvError> {
    let soon = tokio::time::timeout(LOGGED_WAIT, &mut waiting.outcome).await;
    let Ok(outcome) = soon else {
        let log = &waiting.shared.decision_log;
        log.waits_for_quota(job, rank, waiting.cost, waiting.shared.clock.now());
        return (&mut waiting.outcome).await;
    };
    outcome
}

/// Waits until the cost of a request is granted from its workspace's quota, or why it isn't is known.
pub(super) async fn wait<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &job::Job,
    workspace: &names::WorkspaceId,
    rank: u8,
    cost: u64,
    id: account::WaiterId,
) -> Result<(), Refusal> {
    let began_at = shared.clock.now();
    let (tx, rx) = oneshot::channel();
    let patient_until = unanswered::patient_until(job.arrived_at, objective_at(job), job.deadline);
    shared.quotas.waiting.borrow_mut().insert(id, Held { outcome: tx, patient_until });
    let mut waiting = Waiting { shared, workspace, cost, id, outcome: rx, is_done: false };
    let outcome = wait_for_outcome(&mut waiting, job, rank).await;
    waiting.is_done = true;
    match outcome {
        Ok(None) => {
            let now = shared.clock.now();
            let waited = now.saturating_duration_since(began_at);
            shared.decision_log.granted_from_quota(job, rank, cost, waited, now);
            Ok(())
        }
        Ok(Some(refusal)) => Err(refusal),
        Err(_) => Err(Refusal::Unanswered),
    }
}
