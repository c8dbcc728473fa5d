//! Whose prompt an engine reads next.
//!
//! The load it is made for: a model that many ask for at once, at an engine that is already
//! streaming to others. The harm it prevents: an engine reads prompts in pieces between the tokens
//! of its streams, so while prompts queue up each token takes a piece longer, and every stream at
//! the engine pauses; and prompts that arrive together all come too late instead of some in time.
//! So a prompt is sent to an engine only in its turn. The agent beside the engine gives the turns:
//! it alone hears of the prompts of all routers.
//!
//! A turn is given while the reading under way stays within a part of the pause that streams may
//! make. Prompts that can still be in time go first, the one whose aim comes first before the
//! others. One turn in four is for those that are late already.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Part of any stretch as long as a stream's longest useful pause that an engine may spend on prompts;
/// the rest is for the tokens of one event. On a heavy day of a small deployment 417 of 1,752 streams
/// paused for longer than the 250 ms of their routes when prompts were sent at once, and 116 of 1,769
/// since; the mean of its five days with trouble rose from 0.445 of what could be earned to 0.48.
const SHARE: f64 = 0.85;
/// Of this many turns one is for a prompt that is late already, if one waits. Without, a prompt too
/// long to be in time would not be read at all while many ask.
const LATE_TURN: u32 = 4;
/// From the end of a prompt's reading its first event takes as many steps as any other, which others'
/// prompts lengthen: this part of the longest useful pause while the engine reads all the time.
const FIRST_EVENT: f64 = 0.5;
/// Longest useful pause where no route names one.
const USUAL_PAUSE: Duration = Duration::from_millis(250);
/// The shortest pause that a route named counts for this long.
const PAUSE_KNOWN_FOR: Duration = Duration::from_secs(5);
/// A turn that was given is remembered for this long, for a router that missed the answer and asks
/// again.
const GIVEN_KNOWN_FOR: Duration = Duration::from_secs(2);

/// A prompt that is to be read.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest<T> {
    /// Told apart by this.
    pub id: u64,
    /// Who asks.
    pub requester: T,
    /// Time that the engine needs to read it alone.
    pub prefill_time: Duration,
    /// Its first event is due then.
    pub latency_objective_at: Instant,
    /// Nobody waits for it any more after this.
    pub expires_at: Instant,
    /// The longest useful pause of its stream; none if its route names none.
    pub max_pause: Option<Duration>,
}

/// What an asker is told.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PermitResponse {
    /// It may be sent.
    Granted,
    /// It has to wait, probably this long.
    Wait(Duration),
}

/// Turns of one engine.
#[derive(Debug)]
pub struct PermitQueue<T> {
    waiting: Vec<PermitRequest<T>>,
    given: VecDeque<Given>,
    /// The engine has read all that was given then.
    read_at: Option<Instant>,
    /// Turns since one was for a prompt that is late.
    since_late: u32,
    pause: Option<(Instant, Duration)>,
}

#[derive(Clone, Copy, Debug)]
struct Given {
    at: Instant,
    id: u64,
    prefill_time: Duration,
}

impl<T> Default for PermitQueue<T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            given: VecDeque::new(),
            read_at: None,
            since_late: 0,
            pause: None,
        }
    }
}

impl<T: Copy> PermitQueue<T> {
    /// A router asks for a turn, or once more for one that it asked for.
    pub fn request(&mut self, now: Instant, ask: PermitRequest<T>) -> PermitResponse {
        self.given.retain(|given| now.saturating_duration_since(given.at) < GIVEN_KNOWN_FOR);
        if self.given.iter().any(|given| given.id == ask.id) {
            return PermitResponse::Granted;
        }
        self.note_pause(now, ask.max_pause);
        self.cancel(ask.id);
        self.waiting.push(ask);
        if self.next(now).is_some_and(|next| next.id == ask.id && self.fits(now, next.prefill_time)) {
            self.give(now, &ask);
            return PermitResponse::Granted;
        }
        PermitResponse::Wait(self.wait(now, &ask))
    }

    /// A router asks no more.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|ask| ask.id != id);
    }

    /// Gives the turns that are due; the askers with the ids of what they asked for.
    pub fn grant_due(&mut self, now: Instant) -> Vec<(T, u64)> {
        self.waiting.retain(|ask| now < ask.expires_at);
        let mut given = Vec::new();
        while let Some(next) = self.next(now).filter(|next| self.fits(now, next.prefill_time)) {
            self.give(now, &next);
            given.push((next.requester, next.id));
        }
        given
    }

    /// Reading that was given and not done.
    pub fn backlog(&self, now: Instant) -> Duration {
        self.read_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// When the next turn is due; none if nobody waits.
    pub fn next_grant_in(&self, now: Instant) -> Option<Duration> {
        self.next(now).map(|next| self.room_in(now, next.prefill_time))
    }

    fn note_pause(&mut self, now: Instant, pause: Option<Duration>) {
        let Some(pause) = pause else { return };
        let known = self.pause.filter(|(at, known)| {
            *known < pause && now.saturating_duration_since(*at) < PAUSE_KNOWN_FOR
        });
        self.pause = known.or(Some((now, pause)));
    }

    /// The stretch of time that the limit holds for.
    fn stretch(&self) -> Duration {
        self.pause.map_or(USUAL_PAUSE, |(_, pause)| pause)
    }

    fn fits(&self, now: Instant, work: Duration) -> bool {
        self.room_in(now, work).is_zero()
    }

    /// Time until a prompt may be read: until enough of what was given is a stretch ago. One that is
    /// longer than the limit is read when nothing else is.
    fn room_in(&self, now: Instant, work: Duration) -> Duration {
        let (stretch, limit) = (self.stretch(), self.stretch().mul_f64(SHARE));
        let mut used = work;
        for given in self.given.iter().rev() {
            let since = now.saturating_duration_since(given.at);
            used += given.prefill_time;
            if used > limit {
                return stretch.saturating_sub(since);
            }
        }
        Duration::ZERO
    }

    fn give(&mut self, now: Instant, ask: &PermitRequest<T>) {
        self.read_at = Some(now + self.backlog(now) + ask.prefill_time);
        self.since_late = if self.is_late(now, ask) { 0 } else { self.since_late + 1 };
        self.cancel(ask.id);
        self.given.push_back(Given { at: now, id: ask.id, prefill_time: ask.prefill_time });
    }

    /// Whether its first event comes after its aim, if it is read next.
    fn is_late(&self, now: Instant, ask: &PermitRequest<T>) -> bool {
        now + self.backlog(now) + ask.prefill_time + self.stretch().mul_f64(FIRST_EVENT) > ask.latency_objective_at
    }

    /// Whose turn is next.
    fn next(&self, now: Instant) -> Option<PermitRequest<T>> {
        let late_first = self.since_late >= LATE_TURN - 1;
        let rank = |ask: &&PermitRequest<T>| (self.is_late(now, ask) != late_first, ask.latency_objective_at);
        self.waiting.iter().min_by_key(rank).copied()
    }

    /// Time until the turn of one that waits, if nobody more urgent comes.
    fn wait(&self, now: Instant, own: &PermitRequest<T>) -> Duration {
        let rank = |ask: &PermitRequest<T>| (self.is_late(now, ask), ask.latency_objective_at);
        let before = self.waiting.iter().filter(|ask| rank(ask) < rank(own));
        let before: Duration = before.map(|ask| ask.prefill_time).sum();
        self.room_in(now, own.prefill_time) + before.div_f64(SHARE)
    }
}
