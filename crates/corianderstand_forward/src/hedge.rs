//! Sends a request that may be repeated to a second target if its answer is late ([`corianderstand_fleet::hedge`]).
//!
//! The first whole answer wins. The other request is cancelled at once, as its connection is closed.

use crate::{answer, attempt, job, retries, router};
use corianderstand_fleet::{choose, hedge, targets};
use corianderstand_types::names;
use smol_str::SmolStr;
use std::{
    cell::RefCell,
    collections::HashMap,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

/// Reason logged for a request that is sent a second time as its answer is late.
const LATE: &str = "the answer is late";

/// The second requests of services at this router.
#[derive(Default)]
pub struct State {
    services: RefCell<HashMap<names::ServiceId, hedge::Hedging>>,
}

/// How sending a request ended, to one target or to two.
pub enum Outcome<P: router::Platform> {
    /// No answer was read.
    Attempted(attempt::AttemptOutcome<P>),
    /// An answer that is no stream was read.
    Read(Box<answer::ReadAnswer<P>>),
}

impl<P: router::Platform> Outcome<P> {
    fn is_success(&self) -> bool {
        matches!(self, Self::Read(answer) if answer.is_success())
    }

    /// Whether it is of more use to the caller than another outcome.
    fn is_better_than(&self, other: &Self) -> bool {
        let use_of = |outcome: &Self| match outcome {
            Self::Read(answer) if answer.is_success() => 2,
            Self::Read(_) => 1,
            Self::Attempted(_) => 0,
        };
        use_of(self) > use_of(other)
    }
}

/// Counts a request for the limit of second requests, however often it will be sent.
pub fn record_request<P: router::Platform>(shared: &router::Shared<P>, job: &job::Job) {
    if is_used(shared, job) && job.route.may_retry() {
        let percent = shared.bounds.borrow().features.hedge_percent;
        shared.hedges.earn(&job.service, percent);
    }
}

/// Whether the answer times of the request's service are of use.
fn is_used<P: router::Platform>(shared: &router::Shared<P>, job: &job::Job) -> bool {
    shared.bounds.borrow().features.hedge_percent > 0.0 && !job.route.streams
}

/// Sends the request to a target, and to a second one if the answer is late and the operator allows it.
pub async fn send<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut job::Job,
    key: targets::TargetKey,
) -> Outcome<P> {
    if !is_used(shared, job) {
        return send_once(shared, job, key).await;
    }
    let late_after =
        job.route.may_retry().then(|| shared.hedges.late_after(&job.service)).flatten();
    let begun_at = shared.clock.now();
    let outcome = match late_after {
        Some(late_after) => send_hedged(shared, job, key, begun_at + late_after).await,
        None => send_once(shared, job, key).await,
    };
    // Answers that may not be repeated tell how long answers of the service take as well.
    if outcome.is_success() {
        let now = shared.clock.now();
        shared.hedges.record(now, &job.service, now.saturating_duration_since(begun_at));
    }
    outcome
}

impl State {
    fn earn(&self, service: &names::ServiceId, percent: f64) {
        self.services.borrow_mut().entry(service.clone()).or_default().limit.earn(percent);
    }

    /// The time after which an answer is late, if that is known.
    fn late_after(&self, service: &names::ServiceId) -> Option<Duration> {
        self.services.borrow().get(service)?.times.late_after()
    }

    fn record(&self, now: Instant, service: &names::ServiceId, time: Duration) {
        self.services.borrow_mut().entry(service.clone()).or_default().times.record(now, time);
    }

    fn decide(
        &self,
        service: &names::ServiceId,
        situation: &hedge::Situation,
    ) -> Result<(), hedge::Denial> {
        let services = self.services.borrow();
        let limit = services.get(service).map(|hedging| hedging.limit).unwrap_or_default();
        hedge::decide(&limit, situation)
    }

    fn spend(&self, service: &names::ServiceId) {
        if let Some(hedging) = self.services.borrow_mut().get_mut(service) {
            hedging.limit.spend();
        }
    }
}

async fn send_once<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut job::Job,
    key: targets::TargetKey,
) -> Outcome<P> {
    match attempt::attempt(shared, job, key).await {
        attempt::AttemptOutcome::Answered(answered)
            if !(job.route.streams && answered.head.status.is_success()) =>
        {
            Outcome::Read(Box::new(answer::ReadAnswer::read(shared, job, *answered).await))
        }
        outcome => Outcome::Attempted(outcome),
    }
}

/// A second request that is under way; its end is logged, also if the caller leaves.
struct Second<P: router::Platform> {
    shared: Rc<router::Shared<P>>,
    key: targets::TargetKey,
    id: SmolStr,
    arrived_at: Instant,
    result: &'static str,
}

impl<P: router::Platform> Drop for Second<P> {
    fn drop(&mut self) {
        let Self { shared, id, arrived_at, result, .. } = self;
        shared.decision_log.hedge_ended(id, result, *arrived_at, shared.clock.now());
    }
}

/// How a request ended that may have been sent to two targets.
struct Ended<P: router::Platform> {
    outcome: Outcome<P>,
    /// The second request, if one was sent.
    second: Option<Second<P>>,
    /// Whether the outcome is the second target's.
    is_of_second: bool,
}

/// Sends the request, and a second one if it has no answer by `late_at`.
async fn send_hedged<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut job::Job,
    key: targets::TargetKey,
    late_at: Instant,
) -> Outcome<P> {
    let mut second = job.for_second_target();
    let ended = send_both(shared, job, &mut second, key, late_at).await;
    let Some(mut sent) = ended.second else { return ended.outcome };
    sent.result = match (ended.is_of_second, ended.outcome.is_success()) {
        (true, true) => "won",
        (false, true) => "cancelled",
        (_, false) => "failed",
    };
    if ended.is_of_second {
        *job = second;
    } else {
        // The last one stays the target of the first request, which may turn out not to have run it.
        let last = job.tried_targets.len().saturating_sub(1);
        job.tried_targets.insert(last, sent.key);
        job.targets_beside.set(0);
        job.may_have_run = true;
    }
    ended.outcome
}

async fn send_both<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut job::Job,
    second: &mut job::Job,
    key: targets::TargetKey,
    late_at: Instant,
) -> Ended<P> {
    let targets_beside = job.targets_beside.clone();
    let mut first = pin!(send_once(shared, job, key));
    if let Ok(outcome) = tokio::time::timeout_at(late_at.into(), &mut first).await {
        return Ended { outcome, second: None, is_of_second: false };
    }
    let second_key = match begin_second(shared, second) {
        Ok(key) => key,
        Err(denial) => {
            shared.decision_log.hedge_denied(second, denial, shared.clock.now());
            return Ended { outcome: first.await, second: None, is_of_second: false };
        }
    };
    targets_beside.set(1);
    shared.decision_log.hedged(second, key_name(shared, second_key), shared.clock.now());
    let sent = Second {
        shared: shared.clone(),
        key: second_key,
        id: second.request.id.clone(),
        arrived_at: second.arrived_at,
        result: "left",
    };
    let other = pin!(send_once(shared, second, second_key));
    let (outcome, is_of_second) = race(first, other).await;
    Ended { outcome, second: Some(sent), is_of_second }
}

/// Returns the first success, or the better one of two failures, and whether it is the second request's.
async fn race<P: router::Platform>(
    mut first: std::pin::Pin<&mut impl Future<Output = Outcome<P>>>,
    mut second: std::pin::Pin<&mut impl Future<Output = Outcome<P>>>,
) -> (Outcome<P>, bool) {
    tokio::select! {
        outcome = &mut first => {
            if outcome.is_success() {
                return (outcome, false);
            }
            let other = second.await;
            if other.is_better_than(&outcome) { (other, true) } else { (outcome, false) }
        }
        outcome = &mut second => {
            if outcome.is_success() {
                return (outcome, true);
            }
            let other = first.await;
            if outcome.is_better_than(&other) { (outcome, true) } else { (other, false) }
        }
    }
}

/// Chooses the target of a second request and reserves it; none is sent if anything speaks against it.
fn begin_second<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    second: &mut job::Job,
) -> Result<targets::TargetKey, hedge::Denial> {
    let now = shared.clock.now();
    let choice = match shared.choose_target(now, second) {
        choose::Choice::Send(key) => Some(key),
        _ => None,
    };
    let is_suspect = shared.suspicion.block(now, second).is_some()
        || shared.suspicion.held_until(now, second, &shared.peers.borrow()).is_some();
    let situation = hedge::Situation {
        tried: second.tried_targets.len() as u32,
        max_targets: second.route.max_targets,
        is_suspect,
        waiting: waiting(shared, second),
        other: choice.and_then(|key| other(shared, now, key)),
    };
    shared.hedges.decide(&second.service, &situation)?;
    let key = choice.ok_or(hedge::Denial::NoTarget)?;
    if !retries::reserve(shared, second, LATE) {
        return Err(hedge::Denial::Budget);
    }
    shared.hedges.spend(&second.service);
    second.tried_targets.push(key);
    Ok(key)
}

fn other<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    key: targets::TargetKey,
) -> Option<hedge::Other> {
    let view = shared.view.borrow();
    let target = view.targets.get(key)?;
    let slots = target.entry.slots.max(1);
    Some(hedge::Other {
        free_slots: slots.saturating_sub(target.estimated_requests(now)),
        is_limited: target.request_limit.is_some(),
    })
}

/// Requests that wait for a place at the service, or for the model.
fn waiting<P: router::Platform>(shared: &router::Shared<P>, job: &job::Job) -> usize {
    let view = shared.view.borrow();
    let for_model = job.model().and_then(|model| view.waiting_requests.get(model));
    let for_model = for_model.copied().unwrap_or(0) as usize;
    for_model.max(view.rooms.waiting_for(&job.service))
}

fn key_name<P: router::Platform>(
    shared: &router::Shared<P>,
    key: targets::TargetKey,
) -> names::TargetId {
    shared.target_address(key).map(|(_, id)| id).unwrap_or_default()
}
