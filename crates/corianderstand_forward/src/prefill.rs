//! A router's side of the turns in which an engine reads prompts.
//!
//! See [`corianderstand_fleet::prefill`] for what the turns are for. The agent beside the engine
//! gives them; a router asks by datagram and waits. An agent that does not answer is not waited for:
//! the request is sent, as it would be where no agent stands.

use crate::{job, router};
use corianderstand_fleet::{targets, wait_limit};
use corianderstand_schema::peers::{self as wire, PeerMessage};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::Notify;

/// An agent that has not answered within this time has not got the question, or is frozen: it is two
/// ways between availability zones and some wake-ups of a busy host away.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(30);
/// Questions without an answer after which a request is sent without a turn.
const MAX_UNANSWERED_REQUESTS: u32 = 2;
/// A request that waits for its turn asks again after this time, in case the turn was given and the
/// datagram lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// A turn that is further away than this is worth a look at other engines.
const CHOOSE_AGAIN_WAIT: Duration = Duration::from_millis(40);

/// What became of asking for a turn.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PermitOutcome {
    /// The request may be sent.
    Granted,
    /// Another engine may be the better choice now.
    ChooseAgain,
    /// Its turn comes too late for its caller.
    TooLate {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Requests of this router that wait for their turns.
#[derive(Debug, Default)]
pub struct PendingPermits {
    pending: RefCell<HashMap<u64, Rc<PendingAnswer>>>,
    last_number: Cell<u64>,
}

#[derive(Debug, Default)]
struct PendingAnswer {
    answer: Cell<Option<PermitAnswer>>,
    changed: Notify,
}

#[derive(Clone, Copy, Debug)]
struct PermitAnswer {
    granted: bool,
    wait: Duration,
    prefill_backlog: Duration,
}

impl PendingPermits {
    /// An agent's answer.
    pub fn on_answer(&self, answer: &wire::PrefillAnswer) {
        // A request that was withdrawn meanwhile is no longer here.
        let Some(pending) = self.pending.borrow().get(&answer.id).cloned() else { return };
        pending.answer.set(Some(PermitAnswer {
            granted: answer.given,
            wait: Duration::from_millis(u64::from(answer.wait_ms)),
            prefill_backlog: Duration::from_micros(u64::from(answer.reading_us)),
        }));
        pending.changed.notify_one();
    }

    fn next_id(&self, incarnation: u64) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        xxhash_rust::xxh3::xxh3_64_with_seed(&self.last_number.get().to_le_bytes(), incarnation)
    }
}

/// One request's question; withdrawn when it is dropped without its turn.
struct PermitClaim<'a, P: router::Platform> {
    shared: &'a router::Shared<P>,
    agent: std::net::SocketAddr,
    request: wire::PrefillAsked,
    pending: Rc<PendingAnswer>,
    granted: bool,
}

impl<P: router::Platform> Drop for PermitClaim<'_, P> {
    fn drop(&mut self) {
        self.shared.turns.pending.borrow_mut().remove(&self.request.id);
        if !self.granted {
            let withdrawal = wire::PrefillWithdrawn { id: self.request.id };
            self.shared.outbox.send(self.agent, &PeerMessage::PrefillWithdrawn(withdrawal));
        }
    }
}

impl<'a, P: router::Platform> PermitClaim<'a, P> {
    fn new(shared: &'a router::Shared<P>, job: &job::Job, key: targets::TargetKey) -> Option<Self> {
        let now = shared.clock.now();
        let view = shared.view.borrow();
        let target = view.targets.get(key).filter(|target| target.agent_is_responsive(now))?;
        let prefill_time = job.reading_time(&view, key, now)?;
        let agent = std::net::SocketAddr::new(target.entry.addr.ip(), shared.settings.agent_port);
        let id = shared.turns.next_id(shared.incarnation);
        let pending = Rc::<PendingAnswer>::default();
        shared.turns.pending.borrow_mut().insert(id, pending.clone());
        let request = wire::PrefillAsked {
            id,
            work_us: prefill_time.as_micros() as u32,
            aim_in_ms: 0,
            useful_ms: 0,
            pause_ms: job.route.gap_objective.unwrap_or_default().as_millis() as u32,
        };
        Some(Self { shared, agent, request, pending, granted: false })
    }

    fn send(&mut self, job: &job::Job) {
        let now = self.shared.clock.now();
        let millis_until = |at: Instant| at.saturating_duration_since(now).as_millis() as u32;
        self.request.aim_in_ms = millis_until(job.silent_since + job.route.latency_objective);
        self.request.useful_ms = millis_until(self.expires_at(job));
        self.shared.outbox.send(self.agent, &PeerMessage::PrefillAsked(self.request.clone()));
    }

    fn expires_at(&self, job: &job::Job) -> Instant {
        job.held_until().min(self.shared.latest(job))
    }

    async fn answer(&self, within: Duration) -> Option<PermitAnswer> {
        tokio::time::timeout(within, self.pending.changed.notified()).await.ok()?;
        self.pending.answer.take()
    }

    fn granted(&mut self) -> PermitOutcome {
        self.granted = true;
        PermitOutcome::Granted
    }
}

/// Waits for a request's turn at an engine. With `settled` it goes there even if its turn is far
/// away: a look at other engines has not found a better one.
pub async fn acquire_permit<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    key: targets::TargetKey,
    final_choice: bool,
) -> PermitOutcome {
    let Some(mut claim) = PermitClaim::new(shared, job, key) else { return PermitOutcome::Granted };
    let mut unanswered = 0;
    while unanswered < MAX_UNANSWERED_REQUESTS {
        claim.send(job);
        let Some(answer) = claim.answer(RESPONSE_TIMEOUT).await else {
            unanswered += 1;
            continue;
        };
        let now = shared.clock.now();
        shared.note_reading(key, now, answer.prefill_backlog);
        if answer.granted {
            return claim.granted();
        }
        if now + answer.wait >= claim.expires_at(job) {
            return PermitOutcome::TooLate {
                retry_after: wait_limit::retry_after(answer.wait, job.spread()),
            };
        }
        if !shared.may_serve(key, job, now) || (!final_choice && answer.wait >= CHOOSE_AGAIN_WAIT) {
            return PermitOutcome::ChooseAgain;
        }
        if claim.answer(RESEND_INTERVAL).await.is_some_and(|answer| answer.granted) {
            return claim.granted();
        }
        unanswered = 0;
    }
    tracing::debug!(id = %job.call.id, "sent without a turn: the agent is silent");
    claim.granted()
}
