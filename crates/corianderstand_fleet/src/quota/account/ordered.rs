//! Requests of a router that wait in order for the quota of a workspace, and the bookings that it told to callers.

use super::{MAX_WAITING, Outcome, Refusal, WaiterId};
use crate::quota::{Waiter, lanes, returns};
use corianderstand_derives::derives;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The most requests that one claim names; a datagram holds these.
const MAX_NAMED: usize = 32;
/// A request that waits is named again after this time, for a keeper that doesn't know of it.
const NAMED_TIME: Duration = Duration::from_millis(250);
/// Least time between two claims for requests that were named.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(5);
/// A request waits for at most this part of the time that it has, or until its objective, and a moment for the answer.
const MAX_HELD_DIVISOR: u32 = 2;
const OVERDUE_TIME: Duration = Duration::from_secs(1);
/// Time for which bookings are reported, which covers two reports.
const REPORTED_TIME: Duration = Duration::from_millis(500);
/// Bounds the bookings in one claim.
const MAX_REPORTED: usize = 16;
/// Bounds the numbers of requests that left which are told in one claim.
const MAX_LEFT: usize = 64;
/// What is told to a request if more wait than this router holds and nothing is known of the keeper.
const OVERFULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that may wait in order.
#[derives(key)]
pub struct Request {
    /// Its cost.
    pub cost: u64,
    /// Priority of its workspace and route; 0 is the highest.
    pub rank: u8,
    /// The latest time at which it can be sent within its latency objective.
    pub objective_at: Instant,
    /// When an answer is of no use any more.
    pub expires_at: Instant,
    /// Hash of its caller and content.
    pub key: u64,
}

impl Request {
    fn waiter(&self, now: Instant, id: WaiterId) -> Waiter {
        Waiter {
            id: id.0,
            cost: self.cost,
            rank: self.rank,
            objective: self.objective_at.saturating_duration_since(now),
            expiry: self.expires_at.saturating_duration_since(now),
            key: self.key,
        }
    }
}

#[derive(Debug)]
struct OrderedWaiter {
    id: WaiterId,
    request: Request,
    arrived_at: Instant,
    named_at: Option<Instant>,
}

impl OrderedWaiter {
    fn is_overdue(&self, now: Instant) -> bool {
        let time = self.request.expires_at.saturating_duration_since(self.arrived_at);
        let patience = self.request.objective_at.saturating_duration_since(self.arrived_at);
        let limit = patience.max(time / MAX_HELD_DIVISOR) + OVERDUE_TIME;
        now.saturating_duration_since(self.arrived_at) >= limit
    }
}

#[derive(Debug)]
struct Booked {
    told_at: Instant,
    return_at: Instant,
    key: u64,
    cost: u64,
    kind: lanes::Kind,
}

/// Those that wait, and what their callers were told.
#[derive(Debug)]
pub struct Ordered {
    /// Those that came first in front.
    waiting: VecDeque<OrderedWaiter>,
    /// Numbers of requests that were named and have left.
    left: Vec<u64>,
    /// Bookings told lately.
    booked: VecDeque<Booked>,
    /// Time between claims for requests that wait, as the keeper wants it.
    interval: Duration,
    /// What was told last to a request without a booking.
    last_retry_after: Duration,
}

impl Default for Ordered {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            left: Vec::new(),
            booked: VecDeque::new(),
            interval: Duration::ZERO,
            last_retry_after: OVERFULL_RETRY_AFTER,
        }
    }
}

impl Ordered {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether bookings were told lately.
    pub fn has_bookings(&self) -> bool {
        !self.booked.is_empty()
    }

    /// Whether claims name requests or bookings.
    pub fn is_named_in_claims(&self) -> bool {
        !self.is_empty() || self.has_bookings()
    }

    /// Sets the time between claims.
    pub fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Lets a request wait, unless too many do.
    pub fn add(&mut self, now: Instant, id: WaiterId, request: Request) -> Result<(), Refusal> {
        if self.waiting.len() >= MAX_WAITING {
            return Err(self.refusal());
        }
        self.waiting.push_back(OrderedWaiter { id, request, arrived_at: now, named_at: None });
        Ok(())
    }

    /// Refusal by this router, which knows only what the keeper told last.
    fn refusal(&self) -> Refusal {
        Refusal::OutOfTime {
            retry_after: self.last_retry_after,
            is_booked: false,
            before: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        }
    }

    /// Refuses those that have waited for longer than any keeper holds one.
    pub fn refuse_overdue(&mut self, now: Instant) -> Vec<Outcome> {
        let overdue = self.waiting.iter().filter(|waiter| waiter.is_overdue(now));
        let overdue: Vec<_> = overdue.map(|waiter| waiter.id).collect();
        let refusal = self.refusal();
        let refuse = |id| {
            self.withdraw(id);
            Outcome { waiter: id, refusal: Some(refusal) }
        };
        overdue.into_iter().map(refuse).collect()
    }

    /// Removes a request. Returns false if it did not wait.
    pub fn withdraw(&mut self, id: WaiterId) -> bool {
        let Some(waiter) = self.remove(id) else { return false };
        if waiter.named_at.is_some() && self.left.len() < MAX_WAITING {
            self.left.push(id.0);
        }
        true
    }

    fn remove(&mut self, id: WaiterId) -> Option<OrderedWaiter> {
        let position = self.waiting.iter().position(|waiter| waiter.id == id)?;
        self.waiting.remove(position)
    }

    /// Those that wait.
    pub fn ids(&self) -> impl Iterator<Item = WaiterId> {
        self.waiting.iter().map(|waiter| waiter.id)
    }

    /// Removes all.
    pub fn remove_all(&mut self) -> impl Iterator<Item = WaiterId> {
        self.waiting.drain(..).map(|waiter| waiter.id)
    }

    /// Removes a request that was granted, and returns its cost if that is within what is held.
    pub fn remove_granted(&mut self, id: WaiterId, held: u64) -> Option<u64> {
        let waiter = self.waiting.iter().find(|waiter| waiter.id == id)?;
        if waiter.request.cost > held {
            return None;
        }
        self.remove(id).map(|waiter| waiter.request.cost)
    }

    /// Removes a request that the keeper refused. Returns false if it did not wait.
    pub fn remove_refused(
        &mut self,
        now: Instant,
        id: WaiterId,
        retry_after: Duration,
        is_booked: bool,
    ) -> bool {
        let Some(waiter) = self.remove(id) else { return false };
        if is_booked {
            self.record_booked(now, &waiter, retry_after);
        } else {
            self.last_retry_after = retry_after;
        }
        true
    }

    /// Removes the most urgent request that costs no more than what is held.
    pub fn remove_first_within(&mut self, held: u64) -> Option<(WaiterId, u64)> {
        let fitting = self.waiting.iter().filter(|waiter| held > 0 && waiter.request.cost <= held);
        let first = fitting.min_by_key(|waiter| (waiter.request.rank, waiter.arrived_at))?;
        let (id, cost) = (first.id, first.request.cost);
        self.remove(id);
        self.left.push(id.0);
        Some((id, cost))
    }

    /// The requests to be named in a claim: those not named yet, and those named long ago.
    pub fn name(&mut self, now: Instant) -> Vec<Waiter> {
        let is_due = |named_at: Instant| now.saturating_duration_since(named_at) >= NAMED_TIME;
        let mut named = Vec::new();
        for is_again in [false, true] {
            for waiter in &mut self.waiting {
                let fits = match waiter.named_at {
                    None => !is_again,
                    Some(at) => is_again && is_due(at),
                };
                if fits && named.len() < MAX_NAMED {
                    waiter.named_at = Some(now);
                    named.push(waiter.request.waiter(now, waiter.id));
                }
            }
        }
        named
    }

    /// Names all anew, for a keeper that may know of none: what was granted to some may be lost.
    pub fn forget_names(&mut self) {
        self.waiting.iter_mut().for_each(|waiter| waiter.named_at = None);
    }

    /// The numbers of requests that left, to be told in a claim.
    pub fn take_left(&mut self) -> Vec<u64> {
        let count = self.left.len().min(MAX_LEFT);
        self.left.drain(..count).collect()
    }

    /// Bookings that were told to callers lately.
    pub fn told(&mut self, now: Instant) -> Vec<returns::Told> {
        let is_old =
            |booked: &Booked| now.saturating_duration_since(booked.told_at) >= REPORTED_TIME;
        while self.booked.front().is_some_and(is_old) {
            self.booked.pop_front();
        }
        let told = self.booked.iter().rev().take(MAX_REPORTED).map(|booked| returns::Told {
            key: booked.key,
            cost: booked.cost,
            kind: booked.kind,
            after: booked.return_at.saturating_duration_since(now),
        });
        told.collect()
    }

    fn record_booked(&mut self, now: Instant, waiter: &OrderedWaiter, retry_after: Duration) {
        if self.booked.len() >= MAX_WAITING {
            self.booked.pop_front();
        }
        let request = &waiter.request;
        let patience = request.objective_at.saturating_duration_since(waiter.arrived_at);
        self.booked.push_back(Booked {
            told_at: now,
            return_at: now + retry_after,
            key: request.key,
            cost: request.cost,
            kind: lanes::Kind::new(request.rank, patience),
        });
    }

    /// When a claim is due for those that wait, after one at a time.
    pub fn next_claim_at(&self, asked_at: Option<Instant>) -> Option<Instant> {
        let is_new = self.waiting.iter().any(|waiter| waiter.named_at.is_none());
        let asked_at = asked_at?;
        match (self.waiting.is_empty(), is_new) {
            (true, _) => None,
            (false, true) => Some(asked_at + self.interval / 2),
            (false, false) => Some(asked_at + self.interval.max(MIN_ASK_INTERVAL)),
        }
    }
}
