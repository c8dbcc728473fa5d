//! Bookings: the moments at which requests that were refused find room.
//!
//! Time is divided into slots, of which only a part may be booked. Nothing is withheld for a booking: who holds one is
//! served before others when it comes back, and room that nobody takes goes to those that wait. So a booking costs
//! nothing if its holder stays away, and all bookings can be kept as long as their part is below what there is.

use corianderstand_derives::derives;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// Length of a slot.
const SLOT: Duration = Duration::from_millis(100);
/// How far ahead rooms are booked.
const HORIZON: Duration = Duration::from_secs(15);
/// A moment that is nearer isn't worth a new connection.
const MIN_DELAY: Duration = Duration::from_millis(200);
/// How much earlier than told the holder of a booking may come: callers round the time.
const EARLY_TIME: Duration = Duration::from_millis(100);
/// How much later it may come; a new connection takes up to a second.
const GRACE_TIME: Duration = Duration::from_millis(1_200);
/// Bounds the memory for one room.
const MAX_BOOKINGS: usize = 8_192;

/// Identifies what was refused: a hash of its content and caller, which is the same when it comes back.
#[derives(key)]
pub struct Key(pub u64);

/// Requests of one group share a part of each slot.
#[derives(key)]
pub struct Group(pub u16);

/// Room that is kept for a request.
#[derives(key)]
pub struct Booking {
    /// When its holder should come.
    pub at: Instant,
    /// How much room it takes.
    pub cost: u64,
    /// The group whose part it takes.
    pub group: Group,
}

/// What is asked for.
#[derives(key)]
pub struct Inquiry {
    /// The request.
    pub key: Key,
    /// Its group.
    pub group: Group,
    /// How much room it takes.
    pub cost: u64,
    /// The latest moment that its caller can honour.
    pub latest: Instant,
}

/// What may be booked in a second.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// By the group.
    pub own: f64,
    /// By all groups.
    pub all: f64,
}

/// The bookings of one room.
#[derive(Debug)]
pub struct Calendar {
    origin: Instant,
    taken: BTreeMap<(u64, Group), f64>,
    by_key: HashMap<Key, Booking>,
    by_time: BTreeSet<(Instant, Key)>,
}

impl Calendar {
    /// A calendar without bookings.
    pub fn new(now: Instant) -> Self {
        Self {
            origin: now,
            taken: BTreeMap::new(),
            by_key: HashMap::new(),
            by_time: BTreeSet::new(),
        }
    }

    /// Books the first moment with room; none if there is none that the caller can honour. Who holds a booking keeps it.
    ///
    /// `room` returns what may be booked in a second that lies a time ahead.
    pub fn book(
        &mut self,
        now: Instant,
        inquiry: &Inquiry,
        room: impl Fn(Duration) -> Room,
    ) -> Option<Booking> {
        self.expire(now);
        if let Some(booking) = self.by_key.get(&inquiry.key) {
            return Some(*booking);
        }
        if self.by_key.len() >= MAX_BOOKINGS {
            return None;
        }
        let (at, parts) = self.find(now, inquiry, room)?;
        for (slot, part) in parts {
            *self.taken.entry((slot, inquiry.group)).or_default() += part;
        }
        let booking = Booking { at, cost: inquiry.cost, group: inquiry.group };
        self.insert(inquiry.key, booking);
        Some(booking)
    }

    fn find(
        &self,
        now: Instant,
        inquiry: &Inquiry,
        room: impl Fn(Duration) -> Room,
    ) -> Option<(Instant, Vec<(u64, f64)>)> {
        let latest = inquiry.latest.min(now + HORIZON);
        let first = self.slot(now + MIN_DELAY) + 1;
        let mut left = (inquiry.cost as f64).max(f64::MIN_POSITIVE);
        let mut parts = Vec::new();
        for slot in first..self.slot(latest) {
            let starts_at = self.start(slot);
            let room = room(starts_at.saturating_duration_since(now));
            let own = self.taken.get(&(slot, inquiry.group)).copied().unwrap_or_default();
            let all = self.taken_in(slot, slot);
            let in_slot = room.all * SLOT.as_secs_f64();
            let part = (room.own * SLOT.as_secs_f64() - own).min(in_slot - all).min(left);
            if part <= 0.0 {
                continue;
            }
            parts.push((slot, part));
            left -= part;
            if left <= 0.0 {
                let until = ((all + part) / in_slot).min(1.0);
                return Some((starts_at + SLOT.mul_f64(until), parts));
            }
        }
        None
    }

    /// Records a booking that another keeper of the room has made.
    pub fn record(&mut self, now: Instant, key: Key, booking: Booking) {
        self.expire(now);
        let is_near = booking.at <= now + HORIZON && booking.at + GRACE_TIME >= now;
        if is_near && self.by_key.len() < MAX_BOOKINGS && !self.by_key.contains_key(&key) {
            let slot = self.slot(booking.at);
            *self.taken.entry((slot, booking.group)).or_default() += booking.cost as f64;
            self.insert(key, booking);
        }
    }

    fn insert(&mut self, key: Key, booking: Booking) {
        self.by_key.insert(key, booking);
        self.by_time.insert((booking.at, key));
    }

    /// The booking of a request that comes back, if its moment has come. It is used up by this.
    pub fn take(&mut self, now: Instant, key: Key) -> Option<Booking> {
        self.expire(now);
        let booking = self.by_key.get(&key).copied()?;
        if now + EARLY_TIME < booking.at {
            return None;
        }
        self.by_key.remove(&key);
        self.by_time.remove(&(booking.at, key));
        Some(booking)
    }

    /// Uses up a booking whose holder waits for its moment.
    pub fn use_up(&mut self, key: Key) {
        if let Some(booking) = self.by_key.remove(&key) {
            self.by_time.remove(&(booking.at, key));
        }
    }

    /// Room per second that is booked for a time from now on, over all groups.
    pub fn booked_per_s(&self, now: Instant, time: Duration) -> f64 {
        let booked = self.taken_in(self.slot(now), self.slot(now + time));
        booked / time.max(SLOT).as_secs_f64()
    }

    fn taken_in(&self, first: u64, last: u64) -> f64 {
        let slots = (first, Group(u16::MIN))..=(last, Group(u16::MAX));
        self.taken.range(slots).map(|(_, cost)| cost).sum()
    }

    /// Number of bookings that have not been used.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Forgets bookings that nobody took in time.
    pub fn expire(&mut self, now: Instant) {
        while let Some((at, key)) = self.by_time.first().copied() {
            if at + GRACE_TIME >= now {
                break;
            }
            self.by_time.pop_first();
            self.by_key.remove(&key);
        }
        let current = self.slot(now);
        while self.taken.first_key_value().is_some_and(|((slot, _), _)| *slot < current) {
            self.taken.pop_first();
        }
    }

    fn slot(&self, at: Instant) -> u64 {
        (at.saturating_duration_since(self.origin).as_millis() / SLOT.as_millis()) as u64
    }

    fn start(&self, slot: u64) -> Instant {
        self.origin + SLOT * slot as u32
    }
}
