//! Waiting rooms of a router: one for each model, or service without models, that requests wait for.
//!
//! [`corianderstand_room::room`] decides whose turn it is; this module wakes that request. It decides on the place and
//! takes it, or passes it on. At most one request of a room is called at a time.

use corianderstand_derives::derives;
use corianderstand_room::{order, room, share};
use corianderstand_types::{clock, names};
use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::Notify;

/// Requests that are asked one after the other whether they can use a place that may be free.
const MAX_CALLS: u32 = 4;
/// The same, if a request has seen a place that it can use.
const MAX_CALLS_FOR_FREE_PLACE: u32 = 16;
/// Rooms above which those without requests are closed.
const MAX_ROOMS: usize = 256;
/// Patience of requests that are served in the order in which they arrive.
const ARRIVAL_ORDER_PATIENCE: Duration = Duration::from_secs(3_600);

/// What requests wait for.
#[derives(name)]
pub struct Key {
    /// The service.
    pub service: names::ServiceId,
    /// The model; none for a service without models.
    pub model: Option<names::ModelId>,
}

/// Where a request stands, for logs.
#[derives(data)]
#[derive(Copy)]
pub struct Standing {
    /// Rank of the request.
    pub rank: u8,
    /// Requests of its workspace that wait in the same room, itself included.
    pub own_waiting: usize,
    /// All requests that wait in the same room.
    pub waiting: usize,
    /// What its workspace may be granted until it has its share; negative beyond.
    pub balance: f64,
}

/// All rooms of a router.
#[derive(Default)]
pub struct Rooms {
    open: RefCell<HashMap<Key, Place>>,
    weights: RefCell<Option<(u64, Rc<share::Weights>)>>,
}

#[derive(Default)]
struct Place {
    room: room::Room,
    wakers: HashMap<room::Ticket, Rc<Notify>>,
    /// The request that decides on a place now.
    called: Option<room::Ticket>,
    calls_left: u32,
    /// The first request of the last round; it looks for places that nobody told of.
    first: Option<room::Ticket>,
    /// Requests that have seen a place which they can use.
    contenders: VecDeque<room::Ticket>,
    /// Notified when what targets hold has changed.
    targets_changed: Rc<Notify>,
}

impl Place {
    fn begin_round(&mut self, now: Instant) {
        self.room.begin_round();
        self.calls_left = self.calls_left.max(MAX_CALLS);
        if self.called.is_none() {
            self.first = self.room.next(now);
        }
        self.call_next(now);
    }

    /// Calls the request whose turn it is; after the last call, one that has seen a place.
    fn call_next(&mut self, now: Instant) {
        if self.called.is_some() {
            return;
        }
        let next = if self.calls_left > 0 { self.room.next(now) } else { None };
        self.calls_left = self.calls_left.saturating_sub(1);
        self.called = next.or_else(|| {
            let contender = self.contenders.pop_front()?;
            (!self.room.is_kept_from(Some(contender))).then_some(contender)
        });
        let Some(called) = self.called else { return };
        self.contenders.retain(|contender| *contender != called);
        if let Some(waker) = self.wakers.get(&called) {
            waker.notify_one();
        }
    }

    fn leave(&mut self, now: Instant, ticket: room::Ticket) {
        self.room.leave(ticket);
        self.forget(now, ticket);
    }

    fn forget(&mut self, now: Instant, ticket: room::Ticket) {
        self.wakers.remove(&ticket);
        self.contenders.retain(|contender| *contender != ticket);
        if self.called == Some(ticket) {
            self.called = None;
            self.call_next(now);
        }
        if self.first == Some(ticket) {
            self.first = self.room.next(now);
            if let Some(waker) = self.first.and_then(|first| self.wakers.get(&first)) {
                waker.notify_one();
            }
        }
    }
}

impl Rooms {
    /// Weights of workspaces under the configuration of this version; `stated` is asked if it is a new one.
    pub fn weights(
        &self,
        version: u64,
        stated: impl FnOnce() -> share::Weights,
    ) -> Rc<share::Weights> {
        let mut weights = self.weights.borrow_mut();
        match &*weights {
            Some((known, weights)) if *known == version => weights.clone(),
            _ => {
                let new = Rc::new(stated());
                *weights = Some((version, new.clone()));
                new
            }
        }
    }

    /// Whether requests wait in a room.
    pub fn is_contended(&self, key: &Key) -> bool {
        self.open.borrow().get(key).is_some_and(|place| !place.room.is_empty())
    }

    /// Number of requests that wait for targets of a service.
    pub fn waiting_for(&self, service: &names::ServiceId) -> usize {
        let open = self.open.borrow();
        let places = open.iter().filter(|(key, _)| key.service == *service);
        places.map(|(_, place)| place.room.len()).sum()
    }

    /// Records that a request took a place without waiting.
    pub fn record(&self, key: &Key, entry: room::Entry) {
        if let Some(place) = self.open.borrow_mut().get_mut(key) {
            place.room.record(entry);
        }
    }

    /// Takes back a place that a request could not use.
    pub fn refund(&self, key: &Key, entry: room::Entry) {
        if let Some(place) = self.open.borrow_mut().get_mut(key) {
            place.room.refund(entry);
        }
    }

    /// Records a request that is refused without waiting.
    pub fn record_refused(&self, key: &Key, entry: &room::Entry) {
        if let Some(place) = self.open.borrow_mut().get_mut(key) {
            place.room.record_refused(entry);
        }
    }

    /// Time that a request has to wait, if that can be told.
    pub fn expected_wait(&self, key: &Key, entry: &room::Entry) -> Option<Duration> {
        self.open.borrow().get(key)?.room.expected_wait(entry)
    }

    /// Where a request stands.
    pub fn standing(&self, key: &Key, entry: &room::Entry) -> Standing {
        let open = self.open.borrow();
        let room = open.get(key).map(|place| &place.room);
        Standing {
            rank: entry.claim.rank,
            own_waiting: room.map_or(0, |room| room.len_of(entry.workspace)),
            waiting: room.map_or(0, room::Room::len),
            balance: room.map_or(0.0, |room| room.balance(entry.workspace)),
        }
    }

    /// Adds a request to a room.
    pub fn enter(
        self: &Rc<Self>,
        clock: &clock::SharedClock,
        key: &Key,
        entry: room::Entry,
    ) -> Seat {
        let now = clock.now();
        let mut open = self.open.borrow_mut();
        if open.len() >= MAX_ROOMS && !open.contains_key(key) {
            open.retain(|_, place| !place.room.is_empty());
        }
        let place = open.entry(key.clone()).or_default();
        let was_empty = place.room.is_empty();
        let ticket = place.room.enter(now, entry);
        if was_empty {
            place.first = Some(ticket);
        }
        let waker = Rc::new(Notify::new());
        place.wakers.insert(ticket, waker.clone());
        drop(open);
        Seat { rooms: self.clone(), clock: clock.clone(), key: key.clone(), ticket, waker }
    }

    /// Returns a handle that is notified when what targets hold of a model has changed.
    pub fn targets_changed(&self, key: &Key) -> Rc<Notify> {
        self.open.borrow_mut().entry(key.clone()).or_default().targets_changed.clone()
    }

    /// Calls those that wait for a place that is free now: one of the model, then of the other models of the target.
    /// Those that are more urgent decide first.
    pub fn wake_freed(
        &self,
        now: Instant,
        service: &names::ServiceId,
        model: Option<&names::ModelId>,
        others: &[&names::ModelId],
    ) {
        let mut open = self.open.borrow_mut();
        if open.is_empty() {
            return;
        }
        let models = others.iter().map(|other| Some((*other).clone()));
        let models = std::iter::once(model.cloned()).chain(models);
        let keys = models.map(|model| Key { service: service.clone(), model });
        let mut first: Vec<_> = keys
            .filter_map(|key| {
                let place = open.get_mut(&key).filter(|place| !place.room.is_empty())?;
                Some((place.room.first_claim(now)?, key))
            })
            .collect();
        first.sort_by(|(a, _), (b, _)| a.compare(now, b));
        for (_, key) in first {
            if let Some(place) = open.get_mut(&key) {
                place.begin_round(now);
            }
        }
    }

    /// Calls those that wait for a model, after a change of what targets hold.
    pub fn wake_model(&self, now: Instant, model: &names::ModelId) {
        self.wake_where(now, |key| key.model.as_ref() == Some(model));
    }

    /// Calls those that wait in any room.
    pub fn wake_all(&self, now: Instant) {
        self.wake_where(now, |_| true);
    }

    fn wake_where(&self, now: Instant, is_concerned: impl Fn(&Key) -> bool) {
        let mut open = self.open.borrow_mut();
        for (_, place) in open.iter_mut().filter(|(key, _)| is_concerned(key)) {
            place.targets_changed.notify_waiters();
            place.begin_round(now);
        }
    }
}

/// A request in a room; it leaves the room when this is dropped.
pub struct Seat {
    rooms: Rc<Rooms>,
    clock: clock::SharedClock,
    key: Key,
    ticket: room::Ticket,
    waker: Rc<Notify>,
}

impl Seat {
    /// Waits until the request is called, or has become the first.
    pub async fn called(&self) {
        self.waker.notified().await;
    }

    /// Whether it looks for places that nobody told of.
    pub fn is_first(&self) -> bool {
        self.with(|place| place.first == Some(self.ticket))
    }

    /// Whether it may take a place that it has seen. Else those before it are asked first.
    pub fn may_take(&self) -> bool {
        let now = self.clock.now();
        self.with(|place| {
            if place.called.is_none() && place.room.next(now) == Some(self.ticket) {
                place.called = Some(self.ticket);
            }
            if place.called == Some(self.ticket) {
                return true;
            }
            if !place.contenders.contains(&self.ticket) {
                place.contenders.push_back(self.ticket);
                place.calls_left = place.calls_left.max(MAX_CALLS_FOR_FREE_PLACE);
            }
            place.call_next(now);
            place.called == Some(self.ticket)
        })
    }

    /// Passes a place on, if it was called for one.
    pub fn pass(&self, why: room::Pass) {
        let now = self.clock.now();
        self.with(|place| {
            place.contenders.retain(|contender| *contender != self.ticket);
            if place.called == Some(self.ticket) {
                place.called = None;
                place.room.pass(self.ticket, why);
                place.call_next(now);
            }
        });
    }

    /// Asks those that wait whether there is a place that nobody told of.
    pub fn begin_round(&self) {
        let now = self.clock.now();
        self.with(|place| place.begin_round(now));
    }

    /// Takes a place and leaves; the next one is called.
    pub fn take(self) {
        let now = self.clock.now();
        self.with(|place| {
            place.room.grant(now, self.ticket);
            place.calls_left = place.calls_left.max(1);
            place.forget(now, self.ticket);
        });
    }

    fn with<R>(&self, act: impl FnOnce(&mut Place) -> R) -> R {
        let mut open = self.rooms.open.borrow_mut();
        act(open.entry(self.key.clone()).or_default())
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let now = self.clock.now();
        self.with(|place| place.leave(now, self.ticket));
    }
}

/// The entry of a request where neither shares nor ranks count: it is served in the order of arrival.
pub fn entry_by_arrival(arrived_at: Instant) -> room::Entry {
    let due_at = arrived_at + ARRIVAL_ORDER_PATIENCE;
    let claim =
        order::Claim { rank: 0, cost: 1, arrived_at, objective_at: due_at, expires_at: due_at };
    room::Entry { claim, workspace: 0, weight: 1.0 }
}
