//! Schedules the prompts that are sent to an engine.
//!
//! An engine interleaves prefill with the decoding of its streams, so queued prompts delay every
//! stream. The agent of an engine therefore grants prefill permits to the routers: within any window, granted
//! prompts may take a limited part of the time. Prompts of workspaces within their share are granted first, and among
//! them those that can still meet their latency objective, by rank and objective. Every fourth permit goes to a prompt
//! that is already late, whatever its rank. Routers that state neither share nor rank have all of theirs alike.
//!
//! Requests that were granted hold memory and a slot of the engine before a report of the engine can show
//! them. The agent counts them over all routers, and grants nothing that would exceed what the engine has.

mod window;

use crate::pace;
use corianderstand_derives::derives;
use corianderstand_room::{ranks, share};
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// One permit in this many goes to a late prompt, if any waits, so that late prompts do not starve.
const LATE_PERMIT_INTERVAL: u32 = 4;
/// Window if no route specifies a maximum pause.
const DEFAULT_MAX_PAUSE: Duration = Duration::from_millis(250);
/// Time for which the shortest requested maximum pause stays in effect.
const MAX_PAUSE_TTL: Duration = Duration::from_secs(5);
/// A tenth of the slow moments are slower than the learned one.
const SLOW_MOMENT_MARGIN: f64 = 1.1;
/// Slow moments that streams are kept from, although none so slow was seen.
const MIN_SLOW_MOMENT: f64 = 1.5;
/// Time for which the last stated time between events stays in effect.
const EVENT_TIME_TTL: Duration = Duration::from_secs(2);
/// Time for which a granted permit is kept, so that a repeated request is granted again.
const GRANT_TTL: Duration = Duration::from_secs(2);

/// Time in which a granted request reaches the engine, across availability zones and over a new connection.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);
/// The same for most of them. More in an engine's queue than expected do no harm, so that slots are counted by this.
const USUAL_ARRIVAL_TIME: Duration = Duration::from_millis(30);
/// Age of a report from which on it says nothing of the engine's memory and slots.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Expected time until memory or a slot is free, if the engine has none left.
const ROOM_WAIT: Duration = Duration::from_millis(100);
/// Resolution of the part of the requests of a rank that is served.
const RATIO_STEPS: f64 = 1_000.0;
/// Number of waiting requests from which on those that cannot be served in time are refused at once.
const MAX_WAITING: usize = 4_096;

/// What a request takes of an engine, and for whom. The default is that of a router that states none of it.
#[derives(data)]
#[derive(Copy)]
pub struct Claim {
    /// Priority of its workspace and route; 0 is the highest.
    pub rank: u8,
    /// Hash of its workspace.
    pub workspace: u64,
    /// Weight of the workspace, relative to the mean.
    pub weight: f64,
    /// Tokens that it holds in the engine's memory at its end; 0 if they are not counted.
    pub tokens: u64,
    /// Slots of the engine; 0 if they are not counted.
    pub slots: u32,
}

impl Default for Claim {
    fn default() -> Self {
        Self { rank: 0, workspace: 0, weight: 1.0, tokens: 0, slots: 0 }
    }
}

/// What an engine holds, by its own report.
#[derives(data)]
#[derive(Copy)]
pub struct Held {
    /// Requests that it runs or queues.
    pub requests: u32,
    /// Tokens in its KV cache that cannot be evicted.
    pub tokens: u64,
    /// Capacity of its KV cache in tokens; 0 if unknown.
    pub capacity: u64,
}

/// Times of an engine in a usual moment of its host.
#[derives(data)]
#[derive(Copy)]
pub struct UsualPace {
    /// Time between events of its streams.
    pub event_time: Duration,
    /// Prefill time of the prompt, without such events in between.
    pub reading_time: Duration,
}

/// Request for a prefill permit.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest<T> {
    /// Identifies the prompt; a repeated request has the same id.
    pub id: u64,
    /// Recipient of the permit.
    pub requester: T,
    /// Time that the engine needs for the prompt's prefill alone.
    pub prefill_time: Duration,
    /// What counts in place of it if the engine states its pace; none if that does not count.
    pub streams: Option<UsualPace>,
    /// When the first event is due.
    pub latency_objective_at: Instant,
    /// When its caller gives up.
    pub expires_at: Instant,
    /// Maximum pause between events of the stream, if the route specifies one.
    pub max_pause: Option<Duration>,
    /// What it takes of the engine, and for whom.
    pub claim: Claim,
}

/// Response to a permit request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PermitResponse {
    /// The prompt may be sent.
    Granted,
    /// The prompt has to wait, for this expected time.
    Wait(Duration),
}

/// Prefill permits of one engine.
#[derive(Debug)]
pub struct PermitQueue<T> {
    waiting: Vec<PermitRequest<T>>,
    granted: VecDeque<Grant>,
    /// When the engine will have finished all granted prompts.
    idle_at: Option<Instant>,
    /// Permits granted since the last one for a late prompt.
    permits_since_late: u32,
    max_pause: Option<(Instant, Duration)>,
    event_time: Option<(Instant, Duration)>,
    pace: pace::Pace,
    shares: share::Shares,
    served: ranks::Served,
    held: Option<(Instant, Held)>,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    granted_at: Instant,
    id: u64,
    prefill_time: Duration,
    tokens: u64,
    /// From then on a report of the engine shows its slot.
    arrives_at: Instant,
    /// From then on a report of the engine shows its tokens.
    shown_at: Instant,
}

impl<T> Default for PermitQueue<T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            granted: VecDeque::new(),
            idle_at: None,
            permits_since_late: 0,
            max_pause: None,
            event_time: None,
            pace: pace::Pace::default(),
            shares: share::Shares::default(),
            served: ranks::Served::default(),
            held: None,
        }
    }
}

impl<T: Copy> PermitQueue<T> {
    /// Adds or replaces a permit request and grants it if it is due.
    pub fn request(&mut self, now: Instant, request: PermitRequest<T>) -> PermitResponse {
        self.forget_grants(now);
        if let Some(index) = self.granted.iter().position(|grant| grant.id == request.id) {
            let is_shown =
                |grant: &Grant| self.held.is_some_and(|(asked_at, _)| asked_at >= grant.shown_at);
            let counts = request.claim.tokens > 0 || request.claim.slots > 0;
            if !(counts && is_shown(&self.granted[index])) {
                return PermitResponse::Granted;
            }
            // Its router stood still and has not sent it: its room may have gone to others.
            self.granted.remove(index);
        }
        self.record_max_pause(now, request.max_pause);
        if let Some(streams) = request.streams {
            self.event_time = Some((now, streams.event_time));
        }
        if self.waiting.iter().all(|other| other.id != request.id) {
            self.served.record_asked(request.claim.rank);
        }
        self.cancel(request.id);
        self.add(request);
        if self
            .next_request(now)
            .is_some_and(|next| next.id == request.id && self.is_due(now, &next))
        {
            self.grant(now, &request);
            return PermitResponse::Granted;
        }
        let wait = self.expected_wait(now, &request);
        if now + wait >= request.expires_at || self.waiting.len() > MAX_WAITING {
            // Its router refuses it, and withdraws it; the message may be lost.
            self.cancel(request.id);
        }
        PermitResponse::Wait(wait)
    }

    /// Removes a permit request.
    pub fn cancel(&mut self, id: u64) {
        self.remove(|request| request.id == id);
    }

    /// Records what the engine holds, by a report that was asked for at this time.
    pub fn record_held(&mut self, asked_at: Instant, held: Held) {
        self.held = Some((asked_at, held));
    }

    /// Records how long the engine says that work takes now, in percent.
    pub fn record_stated_pace(&mut self, now: Instant, percent: u32) {
        self.pace.record_stated(now, percent);
    }

    /// Whether the engine has said how long work takes.
    pub const fn knows_pace(&self) -> bool {
        self.pace.is_stated()
    }

    /// Forgets what was granted on an engine that has ended, and its pace.
    pub fn forget_engine(&mut self) {
        self.held = None;
        self.event_time = None;
        self.pace = pace::Pace::default();
        self.granted.clear();
        self.idle_at = None;
    }

    /// Whether a request waits for memory or a slot of the engine.
    pub fn awaits_room(&self, now: Instant) -> bool {
        self.next_request(now).is_some_and(|next| !self.has_room(now, &next.claim))
    }

    /// Whether a request waits for what a report of the engine tells: its memory, slots or pace.
    pub fn awaits_report(&self, now: Instant) -> bool {
        let waits_for_pace = self.event_time(now).is_some() && !self.waiting.is_empty();
        waits_for_pace || self.awaits_room(now)
    }

    fn add(&mut self, request: PermitRequest<T>) {
        let Claim { workspace, weight, .. } = request.claim;
        if !self.waiting.iter().any(|other| other.claim.workspace == workspace) {
            self.shares.begin_waiting(workspace, weight);
        }
        self.waiting.push(request);
    }

    fn remove(&mut self, is_gone: impl Fn(&PermitRequest<T>) -> bool) {
        let gone: Vec<_> = self.waiting.extract_if(.., |request| is_gone(request)).collect();
        for request in gone {
            let workspace = request.claim.workspace;
            if !self.waiting.iter().any(|other| other.claim.workspace == workspace) {
                self.shares.end_waiting(workspace);
            }
        }
    }

    /// Keeps the grants that are asked for again, or that a report can't show yet.
    fn forget_grants(&mut self, now: Instant) {
        let asked_at = self.held.map(|(asked_at, _)| asked_at);
        self.granted.retain(|grant| {
            let is_young = now.saturating_duration_since(grant.granted_at) < GRANT_TTL;
            is_young
                || asked_at.is_some_and(|asked_at| {
                    asked_at < grant.shown_at && now < grant.shown_at + GRANT_TTL
                })
        });
    }

    /// Grants all permits that are due; returns the requesters and the ids of their prompts.
    pub fn grant_due(&mut self, now: Instant) -> Vec<(T, u64)> {
        self.remove(|request| now >= request.expires_at);
        self.forget_grants(now);
        let mut granted = Vec::new();
        while let Some(next) = self.next_request(now).filter(|next| self.is_due(now, next)) {
            self.grant(now, &next);
            granted.push((next.requester, next.id));
        }
        granted
    }

    /// Remaining prefill time of all granted prompts.
    pub fn backlog(&self, now: Instant) -> Duration {
        self.idle_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Time until the next permit is due; none if no request waits.
    pub fn next_grant_in(&self, now: Instant) -> Option<Duration> {
        self.next_request(now).map(|next| {
            let room = if self.has_room(now, &next.claim) { Duration::ZERO } else { ROOM_WAIT };
            self.time_until_capacity(now, &next).max(room)
        })
    }

    fn record_max_pause(&mut self, now: Instant, max_pause: Option<Duration>) {
        let Some(max_pause) = max_pause else { return };
        let current = self.max_pause.filter(|(at, current)| {
            *current < max_pause && now.saturating_duration_since(*at) < MAX_PAUSE_TTL
        });
        self.max_pause = current.or(Some((now, max_pause)));
    }

    /// Time between events in a usual moment, if the engine states its pace.
    fn event_time(&self, now: Instant) -> Option<Duration> {
        if !self.pace.is_stated() {
            return None;
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < EVENT_TIME_TTL;
        self.event_time.filter(|(at, _)| is_recent(*at)).map(|(_, event_time)| event_time)
    }

    fn max_pause(&self) -> Duration {
        self.max_pause.map_or(DEFAULT_MAX_PAUSE, |(_, max_pause)| max_pause)
    }

    fn stream_pace(&self, now: Instant) -> Option<window::StreamPace> {
        let event_time = self.event_time(now)?;
        let slowdown = self.pace.slowdown(now);
        let slow_moment =
            (self.pace.slow_moment(slowdown) * SLOW_MOMENT_MARGIN).max(MIN_SLOW_MOMENT);
        Some(window::StreamPace { event_time, slowdown, slow_moment })
    }

    /// Period over which the prefill time is limited.
    fn window(&self, now: Instant) -> window::Window {
        let of_pause = || window::Window::of_pause(self.max_pause());
        let beside_event = |pace| window::Window::beside_event(self.max_pause(), &pace);
        self.stream_pace(now).map_or_else(of_pause, beside_event)
    }

    /// The window if no slow moment of the host begins.
    fn calm_window(&self, now: Instant) -> window::Window {
        let calm =
            |pace: window::StreamPace| window::StreamPace { slow_moment: pace.slowdown, ..pace };
        let beside_event = |pace| window::Window::beside_event(self.max_pause(), &calm(pace));
        self.stream_pace(now).map_or_else(|| self.window(now), beside_event)
    }

    /// The window that a prompt has to fit in. One whose first event would be late if it waited for another window is
    /// surely late, while a slow moment that makes others pause may not come.
    fn window_of(&self, now: Instant, request: &PermitRequest<T>) -> window::Window {
        let window = self.window(now);
        let is_urgent = !self.is_late(now, request) && self.is_late(now + window.length, request);
        if is_urgent { self.calm_window(now) } else { window }
    }

    /// Time that the prompt's prefill takes now.
    fn prefill_time(&self, now: Instant, request: &PermitRequest<T>) -> Duration {
        match request.streams {
            Some(usual) if self.pace.is_stated() => {
                usual.reading_time.mul_f64(self.pace.slowdown(now))
            }
            _ => request.prefill_time,
        }
    }

    fn is_due(&self, now: Instant, request: &PermitRequest<T>) -> bool {
        self.time_until_capacity(now, request).is_zero() && self.has_room(now, &request.claim)
    }

    /// Whether the engine has memory and a slot for a request, besides those that its report can't show yet. One that
    /// is larger than the engine's memory is left to the engine, which refuses it.
    fn has_room(&self, now: Instant, claim: &Claim) -> bool {
        let Some((asked_at, held)) = self.held else { return true };
        if now.saturating_duration_since(asked_at) >= REPORT_TTL {
            return true;
        }
        let on_the_way = self.granted.iter().filter(|grant| grant.arrives_at > asked_at);
        let requests = held.requests.saturating_add(on_the_way.count() as u32);
        let hidden = self.granted.iter().filter(|grant| grant.shown_at > asked_at);
        let tokens = hidden.fold(held.tokens, |sum, grant| sum.saturating_add(grant.tokens));
        let fits_memory = claim.tokens == 0
            || held.capacity == 0
            || claim.tokens > held.capacity
            || tokens.saturating_add(claim.tokens) <= held.capacity;
        fits_memory && (claim.slots == 0 || requests < claim.slots)
    }

    /// Time until the prompt fits into the limit of the window. One that exceeds the limit by
    /// itself fits once no other permit lies within the window.
    fn time_until_capacity(&self, now: Instant, request: &PermitRequest<T>) -> Duration {
        let window = self.window_of(now, request);
        let mut used = self.prefill_time(now, request);
        for grant in self.granted.iter().rev() {
            let since = now.saturating_duration_since(grant.granted_at);
            used += grant.prefill_time;
            if used > window.limit {
                return window.length.saturating_sub(since);
            }
        }
        Duration::ZERO
    }

    fn grant(&mut self, now: Instant, request: &PermitRequest<T>) {
        let was_late = self.is_late(now, request);
        let prefill_time = self.prefill_time(now, request);
        self.idle_at = Some(now + self.backlog(now) + prefill_time);
        // Where shares and ranks do not count, one that is only just in time counts as late.
        let is_late =
            if request.claim == Claim::default() { self.is_late(now, request) } else { was_late };
        self.permits_since_late = if is_late { 0 } else { self.permits_since_late + 1 };
        let Claim { workspace, weight, tokens, .. } = request.claim;
        self.shares.record(workspace, weight, tokens.max(1));
        self.served.record_served(request.claim.rank);
        self.cancel(request.id);
        self.granted.push_back(Grant {
            granted_at: now,
            id: request.id,
            prefill_time,
            tokens,
            arrives_at: now + USUAL_ARRIVAL_TIME,
            shown_at: now + ARRIVAL_TIME + self.backlog(now),
        });
    }

    /// Whether the first event would miss its latency objective if the prompt were granted now.
    fn is_late(&self, now: Instant, request: &PermitRequest<T>) -> bool {
        now + self.backlog(now)
            + self.prefill_time(now, request)
            + self.window(now).first_event_delay
            > request.latency_objective_at
    }

    fn next_request(&self, now: Instant) -> Option<PermitRequest<T>> {
        let prefer_late = self.permits_since_late >= LATE_PERMIT_INTERVAL - 1
            && self.waiting.iter().any(|request| self.is_late(now, request));
        let priority = |request: &&PermitRequest<T>| {
            // A permit that goes to a late prompt goes to the rank that is served least.
            let rank = if prefer_late {
                (self.served.ratio(request.claim.rank) * RATIO_STEPS) as u32
            } else {
                u32::from(request.claim.rank)
            };
            let is_other = self.is_late(now, request) != prefer_late;
            (self.is_above_share(request), is_other, rank, request.latency_objective_at)
        };
        self.waiting.iter().min_by_key(priority).copied()
    }

    fn is_above_share(&self, request: &PermitRequest<T>) -> bool {
        !self.shares.is_within(request.claim.workspace)
    }

    /// Expected time until a waiting request is granted, if no more urgent one arrives. Of other workspaces only what
    /// is granted in turn with this one's own stands before it, by their weights.
    fn expected_wait(&self, now: Instant, request: &PermitRequest<T>) -> Duration {
        let wait = self.expected_wait_by(&self.window(now), now, request);
        if now + wait < request.latency_objective_at {
            return wait;
        }
        // What is ahead becomes urgent as well.
        self.expected_wait_by(&self.calm_window(now), now, request)
    }

    fn expected_wait_by(
        &self,
        window: &window::Window,
        now: Instant,
        request: &PermitRequest<T>,
    ) -> Duration {
        let priority = |request: &PermitRequest<T>| {
            (self.is_late(now, request), request.claim.rank, request.latency_objective_at)
        };
        let share_of = |other: &PermitRequest<T>| window.share_of(self.prefill_time(now, other));
        let sum = |is_ahead: &dyn Fn(&PermitRequest<T>) -> bool| -> Duration {
            let ahead =
                self.waiting.iter().filter(|other| other.id != request.id && is_ahead(other));
            ahead.map(share_of).sum()
        };
        let own = request.claim.workspace;
        let before = |other: &PermitRequest<T>| priority(other) <= priority(request);
        let own_ahead = sum(&|other| other.claim.workspace == own && before(other));
        let others = sum(&|other| other.claim.workspace != own && before(other));
        let weight = request.claim.weight;
        let competing = self.shares.competing_weight(own, weight);
        let in_turn = (own_ahead + share_of(request)).mul_f64((competing / weight).max(1.0) - 1.0);
        let mut ahead = own_ahead + others.min(in_turn);
        let rank = request.claim.rank;
        if self.served.is_starving(rank) {
            let of_rank = sum(&|other| other.claim.rank == rank);
            ahead = ahead.min(of_rank * LATE_PERMIT_INTERVAL);
        }
        let room = if self.has_room(now, &request.claim) { Duration::ZERO } else { ROOM_WAIT };
        self.time_until_capacity(now, request).max(room) + ahead
    }
}
