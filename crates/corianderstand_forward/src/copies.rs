//! Copies of the KV caches of streams at second engines, and how a run goes on from one.
//!
//! [`corianderstand_fleet::copies`] says which streams get one. The router that relays a stream alone knows of its copy:
//! both end together. A run that goes on from its copy is the same run, so that it may, even if its route allows no
//! second target and no retry. The engine before must have ended: a closed connection alone doesn't show it, as the
//! engine may still work on the run. An engine that has no copy does not run the request.

use crate::{attempt, continuations, dialect, ended_targets, job, retries, router, suspicion};
use corianderstand_fleet::{config, copies, features, targets};
use corianderstand_types::names;
use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Reason logged when the engine that was to go on has no copy.
pub const NO_COPY: &str = "it has no copy";

/// Moves of one run, which may be what ends its engines.
const MAX_MOVES: u32 = 2;

/// What a router knows of its copies.
#[derive(Default)]
pub struct State {
    usage: Rc<RefCell<copies::Usage>>,
}

impl State {
    /// Number of streams that have a copy.
    pub fn kept(&self) -> u32 {
        self.usage.borrow().copies()
    }
}

/// An engine at one start.
#[derive(Clone, Debug)]
struct Engine {
    key: targets::TargetKey,
    target: targets::Incarnation,
    addr: SocketAddr,
}

/// A copy of the KV cache of a run, which grows with it. Counts until it is dropped.
#[derive(Debug)]
pub struct Copy {
    runs_at: Engine,
    kept_at: Engine,
    version: names::SoftwareVersion,
    placed_at: Instant,
    tokens: u64,
    support: config::CacheSupport,
    usage: Rc<RefCell<copies::Usage>>,
}

impl Copy {
    /// Address of the engine that keeps it.
    pub const fn addr(&self) -> SocketAddr {
        self.kept_at.addr
    }

    /// Name of the engine that keeps it.
    pub const fn kept_at(&self) -> &names::TargetId {
        &self.kept_at.target.id
    }

    /// Name of the engine whose run it is a copy of.
    pub const fn runs_at(&self) -> &names::TargetId {
        &self.runs_at.target.id
    }

    /// How a request names it.
    pub const fn source<'a>(&self, run: &'a str) -> dialect::CopySource<'a> {
        dialect::CopySource { addr: self.kept_at.addr, run }
    }

    /// Time since it was placed.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.placed_at)
    }

    /// Size that it is expected to reach.
    pub const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Bytes that are expected to be moved for it.
    pub const fn bytes(&self) -> u64 {
        self.tokens.saturating_mul(self.support.token_bytes)
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        self.usage.borrow_mut().remove(self.kept_at.key, self.tokens);
    }
}

/// Places a copy of the run that is about to be sent to a target, if it gets one.
pub fn place<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    in_flight: &job::InFlight<P>,
) -> Option<Copy> {
    let may_move = job.route.streams && job.moves < MAX_MOVES;
    let requested = job.request.requested_model.as_ref().filter(|_| may_move)?;
    let now = shared.clock.now();
    let view = shared.view.borrow();
    let engine = view.service(&job.service)?.engine.as_ref()?;
    let switch = shared.bounds.borrow().features.stream_copies;
    let states_pace = |(_, target): (targets::TargetKey, &targets::Target)| {
        target.entry.service == job.service && target.pace.is_stated()
    };
    let is_called_for = engine.cache.copies && view.targets.iter().any(states_pace);
    if !features::is_used(switch, is_called_for) {
        return None;
    }
    let query = copies::Query {
        service: &job.service,
        requested,
        runs_at: in_flight.key(),
        may_resume: job.route.may_retry()
            && (job.tried_targets.len() as u32) < job.route.max_targets,
        priority: job.route.priority,
        prompt_tokens: job.request.prompt_tokens,
        output_tokens: job.expected_output_tokens(),
        cache_tokens: engine.cache_tokens,
        support: engine.cache,
        hash: job.request_id_hash,
    };
    let usage = &shared.copies.usage;
    let placed = copies::place(now, &view.targets, &usage.borrow(), &query);
    let key = match placed {
        Ok(key) => key,
        Err(denial) => {
            shared.decision_log.copy_denied(job, denial, now);
            return None;
        }
    };
    let (target, addr) = in_flight.target()?;
    let kept_at = view.targets.get(key)?;
    let copy = Copy {
        runs_at: Engine { key: in_flight.key(), target: target.clone(), addr: *addr },
        kept_at: Engine { key, target: kept_at.entry.incarnation(), addr: kept_at.entry.addr },
        version: kept_at.version()?.clone(),
        placed_at: now,
        tokens: query.tokens(),
        support: engine.cache,
        usage: usage.clone(),
    };
    usage.borrow_mut().add(key, copy.tokens);
    shared.decision_log.copy_placed(job, &copy, now);
    Some(copy)
}

/// A run whose connection broke.
#[derive(Clone, Copy, Debug)]
pub struct Broken {
    /// The last event that was forwarded; none if there was none.
    pub last_event: Option<u64>,
    /// When its engine was last known to work on it.
    pub last_sign: Instant,
    /// Why its target was left.
    pub why: &'static str,
}

/// Goes on with a broken run at the engine that keeps its copy. None if it has no copy, or can't go on from it; the
/// copy is used up.
pub async fn go_on<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut job::Job,
    broken: Broken,
) -> Option<attempt::Answered<P>> {
    let copy = job.copy.take()?;
    let (from, to, age) =
        (copy.runs_at().clone(), copy.kept_at().clone(), copy.age(shared.clock.now()));
    let went_on = send_to_copy(shared, job, copy, broken).await;
    let now = shared.clock.now();
    let moved = Moved { from: &from, to: &to, age, broken, outcome: went_on.as_ref().map(|_| ()) };
    shared.decision_log.moved_to_copy(job, &moved, now);
    went_on.ok()
}

/// What became of a run that was to go on from its copy.
#[derive(Clone, Copy, Debug)]
pub struct Moved<'a> {
    /// The engine that ran it.
    pub from: &'a names::TargetId,
    /// The engine that keeps the copy.
    pub to: &'a names::TargetId,
    /// Time since the copy was placed.
    pub age: Duration,
    /// How the run broke.
    pub broken: Broken,
    /// Why it doesn't go on, if it doesn't.
    pub outcome: Result<(), &'a &'static str>,
}

async fn send_to_copy<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut job::Job,
    copy: Copy,
    broken: Broken,
) -> Result<attempt::Answered<P>, &'static str> {
    let Engine { key, target, addr } = &copy.runs_at;
    ended_targets::confirm_end(shared, job, *key, target, *addr).await?;
    wait_for_turn(shared, job).await?;
    check(shared, job, &copy, broken)?;
    if broken.last_event.is_some() {
        let version = Some(copy.version.clone());
        job.progress = continuations::Progress::after(version, broken.last_event);
    }
    let key = copy.kept_at.key;
    job.last_failure = broken.why;
    job.tried_targets.push(key);
    job.goes_on_from = Some(copy);
    job.moves += 1;
    let outcome = attempt::attempt(shared, job, key).await;
    job.goes_on_from = None;
    match outcome {
        attempt::AttemptOutcome::Answered(answered) if answered.head.status.is_success() => {
            Ok(*answered)
        }
        attempt::AttemptOutcome::Answered(answered) => {
            ended_targets::record_failed(shared, job, &answered.in_flight);
            Err("the engine of the copy failed")
        }
        attempt::AttemptOutcome::NotSent => Err("no connection to the engine of the copy"),
        attempt::AttemptOutcome::Left => Err("the engine of the copy is leaving"),
        attempt::AttemptOutcome::NotRun => Err(NO_COPY),
        attempt::AttemptOutcome::Unknown(why) => Err(why),
        attempt::AttemptOutcome::Denied(denied) => Err(denied.reason()),
        attempt::AttemptOutcome::BudgetExhausted => Err(retries::BUDGET_EXHAUSTED),
        attempt::AttemptOutcome::DeadlineExceeded => Err("the time is over"),
    }
}

/// Whether the engine of the run is known to have ended.
pub fn is_source_ended<P>(shared: &router::Shared<P>, copy: &Copy) -> bool {
    ended_targets::has_ended(shared, &copy.runs_at.target)
}

/// Waits for the turn of a request that may have ended its engine.
async fn wait_for_turn<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
) -> Result<(), &'static str> {
    let now = shared.clock.now();
    let Some(until) = shared.suspicion.held_until(now, job, &shared.peers.borrow()) else {
        return Ok(());
    };
    if until >= job.abandoned_at().min(shared.response_deadline(job)) {
        return Err("targets ended while they ran it");
    }
    shared.decision_log.held(job, until, now);
    tokio::time::sleep_until(until.into()).await;
    Ok(())
}

/// Whether the copy may still be used. Time may have passed since the break, also in a pause of this router.
fn check<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    copy: &Copy,
    broken: Broken,
) -> Result<(), &'static str> {
    let now = shared.clock.now();
    if let Some(block) = shared.suspicion.block(now, job) {
        return Err(suspicion::reason(&block));
    }
    if now >= job.abandoned_at() {
        return Err("its caller has waited too long");
    }
    if now.saturating_duration_since(broken.last_sign) >= copy.support.copy_ttl {
        return Err("the copy has expired");
    }
    let view = shared.view.borrow();
    let target = view.targets.get(copy.kept_at.key);
    let is_same = |target: &&targets::Target| {
        target.entry.incarnation().matches(&copy.kept_at.target)
            && target.entry.addr == copy.kept_at.addr
    };
    let target = target.filter(is_same).ok_or("the engine of the copy is gone")?;
    if target.version() != Some(&copy.version) {
        return Err("the engine of the copy may have another version");
    }
    Ok(())
}
