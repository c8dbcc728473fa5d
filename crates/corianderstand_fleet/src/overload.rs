//! Decides when a router closes new connections unread, because it can't serve what it would read.
//!
//! Load balancers may give most new connections to one router. Its processor is the limit, and what waits for it
//! shows as delay of its timers. A connection that is closed unread costs its caller one more try, which meets another
//! router; a request that is read too late fails. So connections are closed only while other routers have room.

use std::time::{Duration, Instant};

/// A request passes the loop several times, so this delay takes more than a short latency objective.
const START_DELAY: Duration = Duration::from_millis(100);
/// A router with a smaller delay has room: it reads new connections again.
const STOP_DELAY: Duration = Duration::from_millis(30);
/// Longer delays come from pauses of the whole process, which say nothing of what comes after.
const MAX_DELAY: Duration = Duration::from_millis(400);
/// Weight of the last tick in the mean delay.
const LAST_TICK_WEIGHT: f64 = 0.5;
/// Part of the other routers that must have room.
const MIN_SHARE_WITH_ROOM: f64 = 0.5;

/// How late the timers of this router are.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    tick_interval: Duration,
    ticked_at: Instant,
    mean_delay: Duration,
    is_shedding: bool,
}

impl Overload {
    /// A router that has just started, whose timer fires at an interval.
    pub const fn new(now: Instant, tick_interval: Duration) -> Self {
        Self { tick_interval, ticked_at: now, mean_delay: Duration::ZERO, is_shedding: false }
    }

    /// Records that the timer has fired.
    pub fn tick(&mut self, now: Instant) {
        let late = self.lateness(now);
        self.mean_delay =
            self.mean_delay.mul_f64(1.0 - LAST_TICK_WEIGHT) + late.mul_f64(LAST_TICK_WEIGHT);
        self.ticked_at = now;
    }

    fn lateness(&self, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.ticked_at);
        elapsed.saturating_sub(self.tick_interval).min(MAX_DELAY)
    }

    /// The mean delay of late, with the tick that is due.
    pub fn delay(&self, now: Instant) -> Duration {
        self.mean_delay.max(self.lateness(now))
    }

    /// Whether a new connection is closed unread. `others` are the delays that other routers reported.
    pub fn sheds(&mut self, now: Instant, others: impl Iterator<Item = Duration>) -> bool {
        let limit = if self.is_shedding { STOP_DELAY } else { START_DELAY };
        self.is_shedding = self.delay(now) >= limit && have_room(others);
        self.is_shedding
    }

    /// Whether the last new connection was closed unread.
    pub const fn is_shedding(&self) -> bool {
        self.is_shedding
    }
}

/// Whether enough other routers would read a new connection at once.
fn have_room(others: impl Iterator<Item = Duration>) -> bool {
    let (mut count, mut with_room) = (0_u32, 0_u32);
    for delay in others {
        count += 1;
        with_room += u32::from(delay < STOP_DELAY);
    }
    count > 0 && f64::from(with_room) >= f64::from(count) * MIN_SHARE_WITH_ROOM
}
