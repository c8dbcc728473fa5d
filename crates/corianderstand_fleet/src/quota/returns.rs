//! When callers that the quota of a workspace refuses should come back, at its keeper.
//!
//! While more is asked for than the quota holds, all of it goes to requests that can still be in time: a late answer
//! would take what another caller needs now. Bookings begin when that is expected to be over, for as much of the
//! quota as is surely left then. Who finds none is told that moment, and is refused at once if it comes back before.

use super::{Waiter, lanes::Kind, queue::Supply};
use corianderstand_derives::derives;
use corianderstand_room::booking;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Callers may use this part of the time that they have left until they come back.
const HONOURED_RATIO: f64 = 1.0 / 3.0;
/// Part of the quota that may be booked. What is usually asked for must find room beside it at once.
pub const BOOKED_RATIO: f64 = 0.35;
/// Who comes back without a booking waits for at most this part of the time left.
const HELD_RATIO: f64 = 0.5;
/// How long those that were told when the flood may be over are known.
const TOLD_TTL: Duration = Duration::from_secs(12);
/// Bounds those that are known.
const MAX_TOLD: usize = 8_192;
/// A flood is over after this time without refusals.
const FLOOD_PAUSE: Duration = Duration::from_secs(1);
/// Bounds of the time for which a flood is expected to go on; in between, as long as it has lasted.
const MIN_FLOOD: Duration = Duration::from_secs(4);
const MAX_FLOOD: Duration = Duration::from_secs(8);
/// Longest time that is told to a caller.
const MAX_RETURN: Duration = Duration::from_secs(10);
/// Part of the quota that is expected to be free for those who come back after a flood.
const SPARE_RATIO: f64 = 0.5;

/// A booking that a router has told to a caller.
#[derives(key)]
pub struct Told {
    /// The request.
    pub key: u64,
    /// Its cost.
    pub cost: u64,
    /// Its lane.
    pub kind: Kind,
    /// Time until it should come back.
    pub after: Duration,
}

/// A time in which requests can't be granted in time.
#[derive(Clone, Copy, Debug)]
struct Flood {
    started_at: Instant,
    last_refusal_at: Instant,
}

/// The callers that were refused.
#[derive(Debug)]
pub struct Returns {
    calendar: booking::Calendar,
    flood: Option<Flood>,
    /// When those without a booking were told to come back after the flood, by their keys.
    told: HashMap<u64, Instant>,
    /// Cost of those, less what was spare since.
    told_cost: (f64, Instant),
}

impl Returns {
    /// Nobody was refused.
    pub fn new(now: Instant) -> Self {
        Self {
            calendar: booking::Calendar::new(now),
            flood: None,
            told: HashMap::new(),
            told_cost: (0.0, now),
        }
    }

    /// Whether requests were refused lately.
    pub fn is_flooded(&self, now: Instant) -> bool {
        self.flood
            .is_some_and(|flood| now.saturating_duration_since(flood.last_refusal_at) < FLOOD_PAUSE)
    }

    /// Records that a request that came for the first time can't be granted in time.
    pub fn record_flood(&mut self, now: Instant) {
        let started_at = match self.flood {
            Some(flood) if self.is_flooded(now) => flood.started_at,
            _ => now,
        };
        self.flood = Some(Flood { started_at, last_refusal_at: now });
    }

    /// Records bookings that another keeper made.
    pub fn record_told(&mut self, now: Instant, told: &[Told]) {
        for told in told {
            let booking = booking::Booking {
                at: now + told.after.min(MAX_RETURN),
                cost: told.cost,
                group: group(told.kind),
            };
            self.calendar.record(now, booking::Key(told.key), booking);
        }
    }

    /// Uses up the booking of a request that comes back at its moment, which is returned.
    pub fn take_booking(&mut self, now: Instant, key: u64) -> Option<Instant> {
        self.calendar.take(now, booking::Key(key)).map(|booking| booking.at)
    }

    /// Whether a request was told to come back without a booking; it is no longer known then.
    pub fn take_told(&mut self, key: u64) -> bool {
        self.told.remove(&key).is_some()
    }

    /// What is booked per second for a time from now on.
    pub fn booked_per_s(&self, now: Instant, time: Duration) -> f64 {
        self.calendar.booked_per_s(now, time)
    }

    /// Finds room for a request that came back without a booking, which waits for it.
    pub fn hold(&mut self, now: Instant, waiter: &Waiter, supply: &Supply) -> Option<Instant> {
        let at = self.book(now, waiter, supply, now + waiter.expiry.mul_f64(HELD_RATIO))?;
        self.calendar.use_up(booking::Key(waiter.key));
        Some(at)
    }

    /// Time until a refused request should come back, and whether it has a booking then.
    pub fn refuse(
        &mut self,
        now: Instant,
        waiter: &Waiter,
        supply: &Supply,
        may_book: bool,
    ) -> (Duration, bool) {
        let latest = now + waiter.expiry.mul_f64(HONOURED_RATIO);
        let booked = if may_book { self.book(now, waiter, supply, latest) } else { None };
        if let Some(at) = booked {
            return (at.saturating_duration_since(now), true);
        }
        if self.told.len() < MAX_TOLD {
            self.told.insert(waiter.key, now);
        }
        (self.flood_end(now, waiter, supply), false)
    }

    fn book(
        &mut self,
        now: Instant,
        waiter: &Waiter,
        supply: &Supply,
        latest: Instant,
    ) -> Option<Instant> {
        let flood_remaining = self.flood_remaining(now);
        let room = |ahead: Duration| {
            let is_flooded = ahead < flood_remaining;
            let all = if is_flooded { 0.0 } else { supply.per_s * BOOKED_RATIO };
            booking::Room { own: all, all }
        };
        let key = booking::Key(waiter.key);
        let group = group(Kind::new(waiter.rank, waiter.objective));
        let inquiry = booking::Inquiry { key, group, cost: waiter.cost, latest };
        self.calendar.book(now, &inquiry, room).map(|booking| booking.at)
    }

    /// How much longer the flood is expected to go on.
    fn flood_remaining(&self, now: Instant) -> Duration {
        match self.flood {
            Some(flood) if self.is_flooded(now) => {
                now.saturating_duration_since(flood.started_at).clamp(MIN_FLOOD, MAX_FLOOD)
            }
            _ => Duration::ZERO,
        }
    }

    /// Time until the flood is expected to be over, after those that were told so before.
    fn flood_end(&mut self, now: Instant, waiter: &Waiter, supply: &Supply) -> Duration {
        let spare = (supply.per_s * SPARE_RATIO).max(f64::MIN_POSITIVE);
        let (told, at) = self.told_cost;
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        let told = (told - elapsed * spare).max(0.0);
        let behind = Duration::try_from_secs_f64(told / spare).unwrap_or(MAX_RETURN);
        let cost = (waiter.cost as f64).min(supply.max_cost.max(0.0));
        self.told_cost = ((told + cost).min(spare * MAX_RETURN.as_secs_f64()), now);
        self.flood_remaining(now).saturating_add(behind).min(MAX_RETURN)
    }

    /// Forgets bookings whose moment is over, and callers that did not come back.
    pub fn expire(&mut self, now: Instant) {
        self.told.retain(|_, at| now.saturating_duration_since(*at) < TOLD_TTL);
        self.calendar.expire(now);
    }
}

/// Bookings of one lane.
fn group(kind: Kind) -> booking::Group {
    booking::Group(u16::from(kind.rank) << 8 | u16::from(kind.patience))
}
