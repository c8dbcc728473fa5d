//! Spaces the requests of all routers to targets that limit them.
//!
//! One router keeps the [`Schedule`] of a target, and the others reserve slots there. A reservation
//! tells at once when its request may be sent, or that this would be too late.

use corianderstand_derives::derives;
use corianderstand_types::names;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Requests that may be sent at once after a pause.
const BURST: u32 = 2;
/// Lowest rate, so that a target that takes nothing is asked now and then whether it still does.
const MIN_REQUESTS_PER_S: f64 = 0.1;
/// Schedules of targets without requests are dropped after this time.
const SCHEDULE_TTL: Duration = Duration::from_secs(30);

/// Result of a reservation.
#[derives(key)]
pub struct Reservation {
    /// Time until the request may be sent.
    pub wait: Duration,
    /// Whether the slot is reserved; if not, the wait is longer than the request can use.
    pub is_reserved: bool,
}

/// Time between two requests to a target that takes `per_s` requests per second.
pub fn interval(per_s: f64) -> Duration {
    Duration::from_secs_f64(1.0 / per_s.max(MIN_REQUESTS_PER_S))
}

/// The next slots of targets that limit their requests.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    next_slots: HashMap<names::TargetId, Instant>,
}

impl Schedule {
    /// Reserves the next slot of a target, if it is free within `max_wait`.
    pub fn reserve(
        &mut self,
        now: Instant,
        target: &names::TargetId,
        per_s: f64,
        max_wait: Duration,
    ) -> Reservation {
        self.next_slots.retain(|_, next| now.saturating_duration_since(*next) < SCHEDULE_TTL);
        let interval = interval(per_s);
        let next = self.next_slots.get(target).copied().unwrap_or(now).max(now);
        let ahead = next.saturating_duration_since(now);
        let wait = ahead.saturating_sub(interval * (BURST - 1));
        let is_reserved = wait <= max_wait;
        if is_reserved {
            self.next_slots.insert(target.clone(), next + interval);
        }
        Reservation { wait, is_reserved }
    }
}
