//! Target selection for a request, with a bounded wait if no target is available.
//!
//! Requests that wait for the same targets get the places in the order of their room ([`rooms`]). Where shares and ranks
//! do not count, that is the order of arrival.

use crate::{exchange, job, pacing, prefill, request_slots, rooms, router, suspicion};
use corianderstand_fleet::{choose, features, shares, targets, wait_limit};
use corianderstand_room::{order, room};
use corianderstand_types::names;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Interval at which an adapter is requested again, as datagrams may be lost.
const ADAPTER_REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Interval at which a waiting request is checked without a notification.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which those that wait for a model decide again whether to wait on, as it may come later than expected.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Part of the time until its deadline for which a request that may run only once waits for a place.
const RUNS_ONCE_WAIT_RATIO: f64 = 0.4;

/// Number of targets given up because of a long wait for a prefill permit.
const MAX_ABANDONED_CHOICES: u32 = 2;

/// A request for which no target is available in time.
pub struct PlacementError {
    /// The logged reason.
    pub reason: &'static str,
    /// When the caller should retry.
    pub retry_after: Duration,
    /// Where the request stood, if shares and ranks count.
    pub standing: Option<rooms::Standing>,
}

impl PlacementError {
    const fn new(reason: &'static str, retry_after: Duration) -> Self {
        Self { reason, retry_after, standing: None }
    }
}

/// Chooses a target for the request, and waits for one within the request's wait limit.
pub async fn find_target<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut job::Job,
) -> Result<targets::TargetKey, PlacementError> {
    let mut wait = Wait::new(shared, job);
    match find(shared, job, &mut wait).await {
        Ok(key) => Ok(key),
        Err(error) => {
            let standing = wait.is_ordered.then(|| wait.rooms.standing(&wait.key, &wait.entry));
            Err(PlacementError { standing, ..error })
        }
    }
}

async fn find<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &job::Job,
    wait: &mut Wait<P>,
) -> Result<targets::TargetKey, PlacementError> {
    let mut choices = 0;
    loop {
        let now = shared.clock.now();
        if let Some(block) = shared.suspicion.block(now, job) {
            let retry_after = block.until.saturating_duration_since(now);
            return Err(PlacementError::new(suspicion::reason(&block), retry_after));
        }
        // Nothing is awaited between the choice and the wait for a change, so that none is missed.
        let choice = shared.choose_target(now, job);
        let choose::Choice::Send(key) = choice else {
            let until = wait.hold_until(job, choice, now)?;
            wait.pass(job, choice, now);
            wait.next(choice, until, now).await;
            continue;
        };
        let held = shared.suspicion.held_until(now, job, &shared.peers.borrow());
        if let Some(until) = held {
            wait.seat = None;
            hold_suspect(shared, job, now, until).await?;
            continue;
        }
        if !wait.may_take() {
            let until = wait.hold_until(job, choose::Choice::Full, now)?;
            wait.next(choice, until, now).await;
            continue;
        }
        let placing = wait.take(job, key, now);
        match request_slots::acquire(shared, job, key).await {
            request_slots::SlotOutcome::Granted => {}
            request_slots::SlotOutcome::ChooseAgain => {
                wait.give_back(placing);
                continue;
            }
            request_slots::SlotOutcome::TooLate { retry_after } => {
                wait.give_back(placing);
                return Err(PlacementError::new("its target limits its requests", retry_after));
            }
        }
        choices += 1;
        match prefill::acquire_permit(shared, job, key, choices > MAX_ABANDONED_CHOICES).await {
            prefill::PermitOutcome::Granted => {
                let now = shared.clock.now();
                let knowledge = shared.target_knowledge(now, key);
                let view = shared.view.borrow();
                let predicted = pacing::predict(shared, &view, now, job, key);
                shared.decision_log.placed(job, &view, key, knowledge, predicted, now);
                return Ok(key);
            }
            prefill::PermitOutcome::ChooseAgain => wait.give_back(placing),
            prefill::PermitOutcome::TooLate { retry_after } => {
                wait.give_back(placing);
                return Err(PlacementError::new("its prompt cannot be read in time", retry_after));
            }
        }
    }
}

/// What a request is judged by if it waits for a place; none where shares and ranks do not count.
pub fn entry<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
) -> Option<room::Entry> {
    let view = shared.view.borrow();
    let table = view.route_table.as_ref()?;
    let directory = table.workspaces();
    let switch = shared.bounds.borrow().features.room;
    if !features::is_used(switch, directory.is_some()) {
        return None;
    }
    let weights = directory.map(|directory| {
        view.rooms.weights(table.config().version, || {
            for workspace in shares::unusable(directory) {
                tracing::warn!(%workspace, "its quota is no weight: it has the mean weight");
            }
            shares::weights(directory)
        })
    });
    let workspace = job.workspace.as_ref().map_or(0, shares::hash);
    let claim = order::Claim {
        rank: job.rank,
        cost: job.expected_tokens().max(1),
        arrived_at: job.idle_since,
        objective_at: job.idle_since + job.route.latency_objective,
        expires_at: job.abandoned_at().min(shared.response_deadline(job)),
    };
    Some(room::Entry { claim, workspace, weight: weights.map_or(1.0, |all| all.of(workspace)) })
}

/// A request that looks for a place.
struct Wait<P: router::Platform> {
    shared: Rc<router::Shared<P>>,
    rooms: Rc<rooms::Rooms>,
    key: rooms::Key,
    entry: room::Entry,
    /// Whether shares and ranks count.
    is_ordered: bool,
    seat: Option<rooms::Seat>,
    guard: Option<WaitingGuard<P>>,
    is_logged: bool,
}

impl<P: router::Platform> Wait<P> {
    fn new(shared: &Rc<router::Shared<P>>, job: &job::Job) -> Self {
        let rooms = shared.view.borrow().rooms.clone();
        let key = job.room();
        let entry = entry(shared, job);
        Self {
            shared: shared.clone(),
            rooms,
            key,
            is_ordered: entry.is_some(),
            entry: entry.unwrap_or_else(|| rooms::entry_by_arrival(job.idle_since)),
            seat: None,
            guard: None,
            is_logged: false,
        }
    }

    /// Until when the request is held for what the choice says, or why it is refused.
    fn hold_until(
        &mut self,
        job: &job::Job,
        choice: choose::Choice,
        now: Instant,
    ) -> Result<Instant, PlacementError> {
        let shared = &self.shared;
        let expected = shared.expected_readiness(now, job, choice);
        let deadline = shared.response_deadline(job);
        let until = job.abandoned_at().min(deadline);
        if !std::mem::replace(&mut self.is_logged, true) {
            let standing = self.rooms.standing(&self.key, &self.entry);
            let standing = self.is_ordered.then_some(&standing);
            shared.decision_log.waits(job, reason(choice), expected, standing, now);
        }
        let error = |retry_after| PlacementError::new(reason(choice), retry_after);
        let until = match wait_limit::decide(now, until, expected, job.jitter()) {
            wait_limit::Decision::Hold { until } => until.min(deadline),
            wait_limit::Decision::Refuse { after } => return Err(error(after)),
        };
        let until = if self.is_ordered && job.route.runs_at_most_once() {
            let patience = job.deadline.saturating_duration_since(job.arrived_at);
            until.min(job.arrived_at + patience.mul_f64(RUNS_ONCE_WAIT_RATIO))
        } else {
            until
        };
        if now >= until {
            return Err(error(exchange::REFUSED_RETRY_AFTER));
        }
        let is_full = choice == choose::Choice::Full;
        if self.is_ordered && is_full && self.seat.is_none() {
            let wait = self.rooms.expected_wait(&self.key, &self.entry);
            if let Some(wait) = wait.filter(|wait| now + *wait >= until) {
                self.rooms.record_refused(&self.key, &self.entry);
                return Err(error(wait_limit::retry_after(wait, job.jitter())));
            }
        }
        if let (None, Some(model)) = (&self.guard, job.model()) {
            self.guard = Some(WaitingGuard::begin(&self.shared, model));
        }
        Ok(until)
    }

    /// Passes on the place for which the request was called. One that waits for its adapter leaves the room, as no
    /// place is of use to it.
    fn pass(&mut self, job: &job::Job, choice: choose::Choice, now: Instant) {
        if let choose::Choice::LoadAdapter(key) = choice {
            self.shared.request_adapter(key, job);
            self.seat = None;
            return;
        }
        let is_too_large = choice == choose::Choice::Full
            && job.expected_tokens() > 0
            && self.shared.has_slot(now, job);
        let why = if is_too_large { room::Pass::TooLarge } else { room::Pass::Unfit };
        match &self.seat {
            Some(seat) => seat.pass(why),
            None => self.enter(),
        }
    }

    fn enter(&mut self) {
        self.seat = Some(self.rooms.enter(&self.shared.clock, &self.key, self.entry));
    }

    /// Whether it may take the place that it has seen now.
    fn may_take(&mut self) -> bool {
        if self.seat.is_none() {
            if !self.rooms.is_contended(&self.key) {
                return true;
            }
            self.enter();
        }
        self.seat.as_ref().is_none_or(rooms::Seat::may_take)
    }

    /// Waits until the request is called, or is to look again.
    async fn next(&self, choice: choose::Choice, until: Instant, now: Instant) {
        let Some(seat) = &self.seat else {
            let next_poll = (now + poll_interval(choice)).min(until);
            let changed = self.rooms.targets_changed(&self.key);
            let changed = changed.notified();
            drop(tokio::time::timeout_at(next_poll.into(), changed).await);
            return;
        };
        loop {
            let now = self.shared.clock.now();
            let is_first = seat.is_first();
            let next_poll = match choice {
                _ if is_first => (now + POLL_INTERVAL).min(until),
                choose::Choice::Cold => (now + RECHECK_INTERVAL).min(until),
                _ => until,
            };
            tokio::select! {
                () = seat.called() => return,
                () = tokio::time::sleep_until(next_poll.into()) => {}
            }
            if next_poll >= until || !is_first {
                return;
            }
            seat.begin_round();
        }
    }

    /// Takes a place at a target; it counts until the request is sent.
    fn take(
        &mut self,
        job: &job::Job,
        key: targets::TargetKey,
        now: Instant,
    ) -> Option<Placing<P>> {
        let placing = self.is_ordered.then(|| Placing::begin(&self.shared, key, job));
        match self.seat.take() {
            Some(seat) => {
                let standing = self.rooms.standing(&self.key, &self.entry);
                self.shared.decision_log.granted(job, &standing, now);
                seat.take();
            }
            None => self.rooms.record(&self.key, self.entry),
        }
        placing
    }

    fn give_back(&self, placing: Option<Placing<P>>) {
        drop(placing);
        self.rooms.refund(&self.key, self.entry);
    }
}

/// Counts a request at a target from the choice until it is sent.
struct Placing<P: router::Platform> {
    shared: Rc<router::Shared<P>>,
    key: targets::TargetKey,
    tokens: u64,
}

impl<P: router::Platform> Placing<P> {
    fn begin(shared: &Rc<router::Shared<P>>, key: targets::TargetKey, job: &job::Job) -> Self {
        let tokens = job.expected_tokens();
        if let Some(target) = shared.view.borrow_mut().targets.get_mut(key) {
            target.placing_requests += 1;
            target.placing_tokens += tokens;
        }
        Self { shared: shared.clone(), key, tokens }
    }
}

impl<P: router::Platform> Drop for Placing<P> {
    fn drop(&mut self) {
        if let Some(target) = self.shared.view.borrow_mut().targets.get_mut(self.key) {
            target.placing_requests = target.placing_requests.saturating_sub(1);
            target.placing_tokens = target.placing_tokens.saturating_sub(self.tokens);
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
        return Err(PlacementError::new("targets ended while they ran it", retry_after));
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
