//! Until when the known configuration is proven to be complete.
//!
//! A read of the store proves that every change acknowledged before the read was sent is known, so the
//! proof dates from the sending of the read. A peer states the age of its own proof; counted from the
//! sending of the question, the age only grows on the way from router to router, so that routers which
//! ask each other in a ring do not keep a proof alive.
//!
//! All times are since boot, including suspension: a router that stood still does not look fresh.

use corianderstand_derives::derives;
use std::{collections::VecDeque, time::Duration};

/// Questions that are remembered; later ones replace those without an answer.
const MAX_QUESTIONS: usize = 16;

/// A peer's answer to a question about its proof.
#[derives(key)]
pub struct Answer {
    /// Id of the question.
    pub id: u64,
    /// Whether this router knows all that the peer has applied.
    pub is_known: bool,
    /// Age of the peer's proof when it answered.
    pub age: Duration,
}

/// Proof of how complete a router's configuration is.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    proven_at: Option<Duration>,
    /// The newest record could not be applied, so nothing proves that the configuration is complete.
    is_incomplete: bool,
    questions: VecDeque<(u64, Duration)>,
    last_id: u64,
}

impl Freshness {
    /// Age of the proof; none if there is no proof.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let proven_at = self.proven_at.filter(|_| !self.is_incomplete)?;
        Some(now.saturating_sub(proven_at))
    }

    /// Whether the proof is at most this old.
    pub fn is_proven_within(&self, now: Duration, max_age: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }

    /// Records a read that was sent at a time and returned all records up to the end of the log.
    pub fn record_read(&mut self, sent_at: Duration) {
        self.proven_at = self.proven_at.max(Some(sent_at));
    }

    /// Records whether the newest record could be applied.
    pub fn record_applied(&mut self, is_applied: bool) {
        self.is_incomplete = !is_applied;
    }

    /// Registers a question to a peer and returns its id.
    pub fn ask(&mut self, now: Duration) -> u64 {
        if self.questions.len() == MAX_QUESTIONS {
            self.questions.pop_front();
        }
        self.last_id += 1;
        self.questions.push_back((self.last_id, now));
        self.last_id
    }

    /// Applies a peer's answer, unless the peer has records that are not known here. Returns whether the
    /// proof became younger.
    pub fn apply(&mut self, answer: &Answer) -> bool {
        let Some(position) = self.questions.iter().position(|(id, _)| *id == answer.id) else {
            return false;
        };
        let Some((_, asked_at)) = self.questions.remove(position) else { return false };
        if !answer.is_known {
            return false;
        }
        let Some(proven_at) = asked_at.checked_sub(answer.age) else { return false };
        let is_younger = self.proven_at < Some(proven_at);
        self.proven_at = self.proven_at.max(Some(proven_at));
        is_younger
    }
}
