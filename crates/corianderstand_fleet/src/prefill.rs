//! Schedules the prompts that are sent to an engine.
//!
//! An engine interleaves prefill with the decoding of its streams, so queued prompts delay every
//! stream. The agent of an engine therefore grants prefill permits to the routers: within any
//! window as long as the maximum pause of a stream, granted prompts may take a limited part of the
//! time. Prompts that can still meet their latency objective are granted first, earliest objective
//! first. Every fourth permit goes to a prompt that is already late.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Part of the window that an engine may spend on prefill; the rest is for the tokens of one event.
const PREFILL_TIME_RATIO: f64 = 0.85;
/// One permit in this many goes to a late prompt, if any waits, so that late prompts do not starve.
const LATE_PERMIT_INTERVAL: u32 = 4;
/// Expected delay from the end of a prefill to the first event, relative to the window.
const FIRST_EVENT_DELAY_RATIO: f64 = 0.5;
/// Window if no route specifies a maximum pause.
const DEFAULT_MAX_PAUSE: Duration = Duration::from_millis(250);
/// Time for which the shortest requested maximum pause stays in effect.
const MAX_PAUSE_TTL: Duration = Duration::from_secs(5);
/// Time for which a granted permit is kept, so that a repeated request is granted again.
const GRANT_TTL: Duration = Duration::from_secs(2);

/// Request for a prefill permit.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest<T> {
    /// Identifies the prompt; a repeated request has the same id.
    pub id: u64,
    /// Recipient of the permit.
    pub requester: T,
    /// Time that the engine needs for the prompt's prefill alone.
    pub prefill_time: Duration,
    /// When the first event is due.
    pub latency_objective_at: Instant,
    /// When its caller gives up.
    pub expires_at: Instant,
    /// Maximum pause between events of the stream, if the route specifies one.
    pub max_pause: Option<Duration>,
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
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    granted_at: Instant,
    id: u64,
    prefill_time: Duration,
}

impl<T> Default for PermitQueue<T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            granted: VecDeque::new(),
            idle_at: None,
            permits_since_late: 0,
            max_pause: None,
        }
    }
}

impl<T: Copy> PermitQueue<T> {
    /// Adds or replaces a permit request and grants it if it is due.
    pub fn request(&mut self, now: Instant, request: PermitRequest<T>) -> PermitResponse {
        self.granted.retain(|grant| now.saturating_duration_since(grant.granted_at) < GRANT_TTL);
        if self.granted.iter().any(|grant| grant.id == request.id) {
            return PermitResponse::Granted;
        }
        self.record_max_pause(now, request.max_pause);
        self.cancel(request.id);
        self.waiting.push(request);
        if self
            .next_request(now)
            .is_some_and(|next| next.id == request.id && self.fits_window(now, next.prefill_time))
        {
            self.grant(now, &request);
            return PermitResponse::Granted;
        }
        PermitResponse::Wait(self.expected_wait(now, &request))
    }

    /// Removes a permit request.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|request| request.id != id);
    }

    /// Grants all permits that are due; returns the requesters and the ids of their prompts.
    pub fn grant_due(&mut self, now: Instant) -> Vec<(T, u64)> {
        self.waiting.retain(|request| now < request.expires_at);
        let mut granted = Vec::new();
        while let Some(next) =
            self.next_request(now).filter(|next| self.fits_window(now, next.prefill_time))
        {
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
        self.next_request(now).map(|next| self.time_until_capacity(now, next.prefill_time))
    }

    fn record_max_pause(&mut self, now: Instant, max_pause: Option<Duration>) {
        let Some(max_pause) = max_pause else { return };
        let current = self.max_pause.filter(|(at, current)| {
            *current < max_pause && now.saturating_duration_since(*at) < MAX_PAUSE_TTL
        });
        self.max_pause = current.or(Some((now, max_pause)));
    }

    /// Period over which the prefill time is limited: the maximum pause of the streams.
    fn window(&self) -> Duration {
        self.max_pause.map_or(DEFAULT_MAX_PAUSE, |(_, max_pause)| max_pause)
    }

    fn fits_window(&self, now: Instant, prefill_time: Duration) -> bool {
        self.time_until_capacity(now, prefill_time).is_zero()
    }

    /// Time until the prompt fits into the limit of the window. One that exceeds the limit by
    /// itself fits once no other permit lies within the window.
    fn time_until_capacity(&self, now: Instant, prefill_time: Duration) -> Duration {
        let (window, limit) = (self.window(), self.window().mul_f64(PREFILL_TIME_RATIO));
        let mut used = prefill_time;
        for grant in self.granted.iter().rev() {
            let since = now.saturating_duration_since(grant.granted_at);
            used += grant.prefill_time;
            if used > limit {
                return window.saturating_sub(since);
            }
        }
        Duration::ZERO
    }

    fn grant(&mut self, now: Instant, request: &PermitRequest<T>) {
        self.idle_at = Some(now + self.backlog(now) + request.prefill_time);
        self.permits_since_late =
            if self.is_late(now, request) { 0 } else { self.permits_since_late + 1 };
        self.cancel(request.id);
        self.granted.push_back(Grant {
            granted_at: now,
            id: request.id,
            prefill_time: request.prefill_time,
        });
    }

    /// Whether the first event would miss its latency objective if the prompt were granted now.
    fn is_late(&self, now: Instant, request: &PermitRequest<T>) -> bool {
        now + self.backlog(now)
            + request.prefill_time
            + self.window().mul_f64(FIRST_EVENT_DELAY_RATIO)
            > request.latency_objective_at
    }

    fn next_request(&self, now: Instant) -> Option<PermitRequest<T>> {
        let prefer_late = self.permits_since_late >= LATE_PERMIT_INTERVAL - 1;
        let priority = |request: &&PermitRequest<T>| {
            (self.is_late(now, request) != prefer_late, request.latency_objective_at)
        };
        self.waiting.iter().min_by_key(priority).copied()
    }

    /// Expected time until a waiting request is granted, if no more urgent one arrives.
    fn expected_wait(&self, now: Instant, request: &PermitRequest<T>) -> Duration {
        let priority =
            |request: &PermitRequest<T>| (self.is_late(now, request), request.latency_objective_at);
        let ahead = self.waiting.iter().filter(|other| priority(other) < priority(request));
        let ahead: Duration = ahead.map(|request| request.prefill_time).sum();
        self.time_until_capacity(now, request.prefill_time) + ahead.div_f64(PREFILL_TIME_RATIO)
    }
}
