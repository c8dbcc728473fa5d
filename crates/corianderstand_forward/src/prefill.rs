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
const ANSWER_WITHIN: Duration = Duration::from_millis(30);
/// Questions without an answer after which a request is sent without a turn.
const MOST_QUESTIONS: u32 = 2;
/// A request that waits for its turn asks again after this time, in case the turn was given and the
/// datagram lost.
const ASK_AGAIN: Duration = Duration::from_millis(150);
/// A turn that is further away than this is worth a look at other engines.
const LONG_WAIT: Duration = Duration::from_millis(40);

/// What became of asking for a turn.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Turn {
    /// The request may be sent.
    Given,
    /// Another engine may be the better choice now.
    LookAgain,
    /// Its turn comes too late for its caller.
    TooLate {
        /// When to come back.
        after: Duration,
    },
}

/// Requests of this router that wait for their turns.
#[derive(Debug, Default)]
pub struct Turns {
    waiting: RefCell<HashMap<u64, Rc<Waiting>>>,
    last: Cell<u64>,
}

#[derive(Debug, Default)]
struct Waiting {
    answer: Cell<Option<Answer>>,
    changed: Notify,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    given: bool,
    wait: Duration,
    reading: Duration,
}

impl Turns {
    /// An agent's answer.
    pub fn take(&self, answer: &wire::PrefillAnswer) {
        // A request that was withdrawn meanwhile is no longer here.
        let Some(waiting) = self.waiting.borrow().get(&answer.id).cloned() else { return };
        waiting.answer.set(Some(Answer {
            given: answer.given,
            wait: Duration::from_millis(u64::from(answer.wait_ms)),
            reading: Duration::from_micros(u64::from(answer.reading_us)),
        }));
        waiting.changed.notify_one();
    }

    fn next_id(&self, incarnation: u64) -> u64 {
        self.last.set(self.last.get() + 1);
        xxhash_rust::xxh3::xxh3_64_with_seed(&self.last.get().to_le_bytes(), incarnation)
    }
}

/// One request's question; withdrawn when it is dropped without its turn.
struct Question<'a, P: router::Platform> {
    shared: &'a router::Shared<P>,
    agent: std::net::SocketAddr,
    ask: wire::PrefillAsked,
    waiting: Rc<Waiting>,
    given: bool,
}

impl<P: router::Platform> Drop for Question<'_, P> {
    fn drop(&mut self) {
        self.shared.turns.waiting.borrow_mut().remove(&self.ask.id);
        if !self.given {
            let withdrawn = wire::PrefillWithdrawn { id: self.ask.id };
            self.shared.outbox.send(self.agent, &PeerMessage::PrefillWithdrawn(withdrawn));
        }
    }
}

impl<'a, P: router::Platform> Question<'a, P> {
    fn new(shared: &'a router::Shared<P>, job: &job::Job, key: targets::TargetKey) -> Option<Self> {
        let now = shared.clock.now();
        let view = shared.view.borrow();
        let target = view.targets.get(key).filter(|target| target.agent_is_responsive(now))?;
        let work = job.prefill_time(&view, key, now)?;
        let agent = std::net::SocketAddr::new(target.entry.addr.ip(), shared.settings.agent_port);
        let id = shared.turns.next_id(shared.incarnation);
        let waiting = Rc::<Waiting>::default();
        shared.turns.waiting.borrow_mut().insert(id, waiting.clone());
        let ask = wire::PrefillAsked {
            id,
            work_us: work.as_micros() as u32,
            aim_in_ms: 0,
            useful_ms: 0,
            pause_ms: job.route.gap_objective.unwrap_or_default().as_millis() as u32,
        };
        Some(Self { shared, agent, ask, waiting, given: false })
    }

    fn send(&mut self, job: &job::Job) {
        let now = self.shared.clock.now();
        let until = |at: Instant| at.saturating_duration_since(now).as_millis() as u32;
        self.ask.aim_in_ms = until(job.idle_since + job.route.latency_objective);
        self.ask.useful_ms = until(self.useful_until(job));
        self.shared.outbox.send(self.agent, &PeerMessage::PrefillAsked(self.ask.clone()));
    }

    fn useful_until(&self, job: &job::Job) -> Instant {
        job.abandoned_at().min(self.shared.latest(job))
    }

    async fn answer(&self, within: Duration) -> Option<Answer> {
        tokio::time::timeout(within, self.waiting.changed.notified()).await.ok()?;
        self.waiting.answer.take()
    }

    fn given(&mut self) -> Turn {
        self.given = true;
        Turn::Given
    }
}

/// Waits for a request's turn at an engine. With `settled` it goes there even if its turn is far
/// away: a look at other engines has not found a better one.
pub async fn turn<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    key: targets::TargetKey,
    settled: bool,
) -> Turn {
    let Some(mut question) = Question::new(shared, job, key) else { return Turn::Given };
    let mut unanswered = 0;
    while unanswered < MOST_QUESTIONS {
        question.send(job);
        let Some(answer) = question.answer(ANSWER_WITHIN).await else {
            unanswered += 1;
            continue;
        };
        let now = shared.clock.now();
        shared.note_reading(key, now, answer.reading);
        if answer.given {
            return question.given();
        }
        if now + answer.wait >= question.useful_until(job) {
            return Turn::TooLate { after: wait_limit::retry_after(answer.wait, job.jitter()) };
        }
        if !shared.may_serve(key, job, now) || (!settled && answer.wait >= LONG_WAIT) {
            return Turn::LookAgain;
        }
        if question.answer(ASK_AGAIN).await.is_some_and(|answer| answer.given) {
            return question.given();
        }
        unanswered = 0;
    }
    tracing::debug!(id = %job.call.id, "sent without a turn: the agent is silent");
    question.given()
}
