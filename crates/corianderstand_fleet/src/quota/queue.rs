//! The requests of all routers that wait for the quota of a workspace, at its keeper.
//!
//! Routers name the requests that wait and ask again until each is answered. A request that can't be granted by the time
//! it needs is refused at once, with a booking if there is room for one that its caller can honour. What is granted to a
//! request is kept for its router's next claim.

use super::{
    Waiter,
    lanes::{self, Kind, Place},
    returns,
};
use corianderstand_derives::derives;
use corianderstand_room::order;
use smol_str::SmolStr;
use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// The most requests that wait for one quota.
const MAX_WAITING: usize = 10_000;
/// Costs above are as absurd as this one; keeps sums within their type.
const MAX_COST: u64 = 1 << 48;
/// Part of a request's patience by which it must be expected to be granted: the demand of the next moments isn't known.
const EXPECTED_RATIO: f64 = 0.8;
/// Time until a router asks again and has its answer.
const ANSWER_TIME: Duration = Duration::from_millis(40);
/// Least time for which a request that holds a booking waits.
const BOOKED_PATIENCE: Duration = Duration::from_millis(500);
/// What is granted returns after this time unless its router asks.
const COLLECT_TIME: Duration = Duration::from_millis(400);
/// A router that sent no claim for this long is passed over.
const SILENCE_TIME: Duration = Duration::from_millis(400);
/// Time for which answers are known to have been sent, in case they were lost.
const ANSWERED_TTL: Duration = Duration::from_millis(600);
/// The most refusals, and the most grants, that one answer to a router holds.
const MAX_ANSWERS: usize = 48;
/// The most answers that are remembered or kept for routers.
const MAX_ANSWERED: usize = 20_000;
/// Bookings due in this time are taken out of what new requests can expect.
const BOOKED_AHEAD: Duration = Duration::from_secs(1);
/// What becomes of a request that waited.
#[derives(key)]
pub enum Decision {
    /// Its cost is granted.
    Served,
    /// It can't be granted in time.
    Refused {
        /// When it should come back.
        retry_after: Duration,
        /// Whether room is kept for it then.
        is_booked: bool,
        /// How many waited before it.
        before: u32,
    },
}

/// A decision on a request that its router named.
#[derives(key)]
pub struct Answer {
    /// The router's number of the request.
    pub id: u64,
    /// The decision.
    pub decision: Decision,
}

/// What there is of the quota.
#[derive(Clone, Copy, Debug)]
pub struct Supply {
    /// What may be granted now; below zero if more was.
    pub level: f64,
    /// What is kept for requests that come.
    pub reserved: f64,
    /// What comes in per second.
    pub per_s: f64,
    /// The most that a grant may exceed what there is.
    pub max_debt: f64,
    /// The most that a request may cost.
    pub max_cost: f64,
}

/// Router, its start, and its number of a request.
type WaiterKey = (SmolStr, u64, u64);

#[derive(Debug)]
struct Entry {
    router: SmolStr,
    incarnation: u64,
    waiter: Waiter,
    claim: order::Claim,
    place: Place,
    granted_at: Option<Instant>,
}

/// The requests that wait for one quota.
#[derive(Debug)]
pub struct Queue {
    lanes: lanes::Lanes,
    entries: HashMap<u64, Entry>,
    numbers: HashMap<WaiterKey, u64>,
    due: BTreeSet<(Instant, u64)>,
    granted: BTreeSet<(Instant, u64)>,
    /// Entries by router.
    by_router: HashMap<SmolStr, BTreeSet<u64>>,
    refused: HashMap<SmolStr, Vec<(Instant, Answer)>>,
    answered: HashMap<WaiterKey, Instant>,
    heard: HashMap<SmolStr, (u64, Instant)>,
    returns: returns::Returns,
    last_number: u64,
    uncollected: u64,
}

impl Queue {
    /// A queue in which nothing waits.
    pub fn new(now: Instant) -> Self {
        Self {
            lanes: lanes::Lanes::default(),
            entries: HashMap::new(),
            numbers: HashMap::new(),
            due: BTreeSet::new(),
            granted: BTreeSet::new(),
            by_router: HashMap::new(),
            refused: HashMap::new(),
            answered: HashMap::new(),
            heard: HashMap::new(),
            returns: returns::Returns::new(now),
            last_number: 0,
            uncollected: 0,
        }
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    /// What is granted to requests whose routers have not asked since.
    pub fn uncollected(&self) -> u64 {
        self.uncollected
    }

    /// Number of routers whose requests wait.
    pub fn routers(&self) -> usize {
        self.by_router.len()
    }

    /// Whether requests were refused lately.
    pub fn is_flooded(&self, now: Instant) -> bool {
        self.returns.is_flooded(now)
    }

    /// Records that a router was heard. What its start before waited for is forgotten; returns what was granted to that.
    pub fn hear(&mut self, now: Instant, router: &SmolStr, incarnation: u64) -> u64 {
        let before = self.heard.insert(router.clone(), (incarnation, now));
        if before.is_none_or(|(last, _)| last == incarnation) {
            return 0;
        }
        self.refused.remove(router);
        let numbers = self.by_router.get(router).cloned().unwrap_or_default();
        numbers.into_iter().map(|number| self.remove_unserved(number)).sum()
    }

    /// Takes in the requests that a router names.
    pub fn announce(
        &mut self,
        now: Instant,
        router: &SmolStr,
        incarnation: u64,
        waiters: &[Waiter],
        supply: &Supply,
    ) {
        self.lanes.find_small(now, supply.per_s);
        for waiter in waiters {
            let key = (router.clone(), incarnation, waiter.id);
            if self.numbers.contains_key(&key) {
                continue;
            }
            // The answer was lost, and what it granted has been returned by this claim.
            let is_repeated = self.answered.remove(&key).is_some();
            let waiter = Waiter { cost: waiter.cost.min(MAX_COST), ..*waiter };
            self.admit(now, key, &waiter, supply, is_repeated);
        }
    }

    /// Forgets requests that a router says have left; returns what was granted to them.
    pub fn withdraw(&mut self, router: &SmolStr, incarnation: u64, ids: &[u64]) -> u64 {
        let numbers = ids
            .iter()
            .filter_map(|id| self.numbers.get(&(router.clone(), incarnation, *id)).copied());
        let numbers: Vec<_> = numbers.collect();
        numbers.into_iter().map(|number| self.remove_unserved(number)).sum()
    }

    /// Records bookings that another keeper made.
    pub fn record_told(&mut self, now: Instant, told: &[returns::Told]) {
        self.returns.record_told(now, told);
    }

    fn admit(
        &mut self,
        now: Instant,
        key: WaiterKey,
        waiter: &Waiter,
        supply: &Supply,
        is_repeated: bool,
    ) {
        let kind = Kind::new(waiter.rank, waiter.objective);
        let has_come_back = self.returns.take_told(waiter.key);
        let booked = self.returns.take_booking(now, waiter.key);
        let mut booked_at = booked.or(is_repeated.then_some(now));
        if booked_at.is_none() {
            let is_in_time = match has_come_back {
                // Its objective is over, so it must not delay those that can still meet theirs.
                true => {
                    if self.has_room(waiter, supply) {
                        booked_at = self.returns.hold(now, waiter, supply);
                    }
                    false
                }
                false => {
                    self.record_fresh(now, kind, waiter, supply);
                    self.can_be_granted_in_time(now, kind, waiter, supply)
                }
            };
            if !has_come_back && !is_in_time {
                self.returns.record_flood(now);
            }
            if booked_at.is_none() && !is_in_time {
                let decision = self.refuse(now, kind, waiter, supply);
                self.keep_refusal(now, &key.0, Answer { id: waiter.id, decision });
                return;
            }
        }
        let patience = match booked_at {
            Some(at) => (at + BOOKED_PATIENCE)
                .saturating_duration_since(now)
                .max(waiter.objective)
                .min(waiter.expiry),
            None => waiter.objective,
        };
        let claim = order::Claim {
            rank: waiter.rank,
            cost: waiter.cost,
            arrived_at: now,
            objective_at: now + patience,
            expires_at: now + waiter.expiry,
        };
        self.last_number += 1;
        let number = self.last_number;
        let place = Place::new(kind, &claim, booked_at, number);
        self.lanes.insert(now, place, waiter.cost);
        self.due.insert((claim.objective_at, number));
        self.by_router.entry(key.0.clone()).or_default().insert(number);
        let (router, incarnation) = (key.0.clone(), key.1);
        self.numbers.insert(key, number);
        let waiter = *waiter;
        let entry = Entry { router, incarnation, waiter, claim, place, granted_at: None };
        self.entries.insert(number, entry);
    }

    fn record_fresh(&mut self, now: Instant, kind: Kind, waiter: &Waiter, supply: &Supply) {
        // What exceeds the quota by itself isn't demand that others should make room for.
        if waiter.cost as f64 <= supply.max_cost {
            self.lanes.record_demand(now, kind, waiter.cost);
        }
    }

    fn can_be_granted_in_time(
        &self,
        now: Instant,
        kind: Kind,
        waiter: &Waiter,
        supply: &Supply,
    ) -> bool {
        if !self.has_room(waiter, supply) {
            return false;
        }
        let per_s = supply.per_s - self.returns.booked_per_s(now, BOOKED_AHEAD);
        let per_s = per_s.max(supply.per_s * (1.0 - returns::BOOKED_RATIO));
        let lacking = (waiter.cost as f64 - supply.max_debt).max(0.0);
        let wait = self.lanes.wait(now, kind, lacking, supply.level, per_s);
        wait <= waiter.objective.saturating_sub(ANSWER_TIME).mul_f64(EXPECTED_RATIO)
    }

    /// Whether a request could wait here at all.
    fn has_room(&self, waiter: &Waiter, supply: &Supply) -> bool {
        self.due.len() < MAX_WAITING && waiter.cost as f64 <= supply.max_cost
    }

    /// Decides when a request that can't be granted in time should come back.
    fn refuse(&mut self, now: Instant, kind: Kind, waiter: &Waiter, supply: &Supply) -> Decision {
        let before = u32::try_from(self.lanes.waiting_before(kind)).unwrap_or(u32::MAX);
        let may_book = self.has_room(waiter, supply);
        let (retry_after, is_booked) = self.returns.refuse(now, waiter, supply, may_book);
        Decision::Refused { retry_after, is_booked, before }
    }

    /// Refuses those whose time to be granted is over. Returns what was granted and not asked for.
    pub fn expire(&mut self, now: Instant, supply: &Supply) -> u64 {
        while let Some((due_at, number)) = self.due.first().copied().filter(|(at, _)| *at < now) {
            self.due.remove(&(due_at, number));
            let Some(entry) = self.entries.get(&number) else { continue };
            let (router, waiter, kind) = (entry.router.clone(), entry.waiter, entry.place.kind);
            self.remove(number);
            let decision = self.refuse(now, kind, &waiter, supply);
            self.keep_refusal(now, &router, Answer { id: waiter.id, decision });
        }
        let mut returned = 0;
        while let Some((at, number)) = self.granted.first().copied() {
            if now.saturating_duration_since(at) < COLLECT_TIME {
                break;
            }
            returned += self.remove_unserved(number);
        }
        self.answered.retain(|_, at| now.saturating_duration_since(*at) < ANSWERED_TTL);
        self.heard.retain(|_, (_, at)| now.saturating_duration_since(*at) < ANSWERED_TTL);
        let heard = &self.heard;
        self.refused.retain(|router, answers| !answers.is_empty() && heard.contains_key(router));
        self.lanes.expire(now);
        self.returns.expire(now);
        returned
    }

    /// Grants in order while there is something. Returns the sum.
    pub fn grant(&mut self, now: Instant, supply: &Supply) -> u64 {
        let mut level = supply.level;
        let mut sum = 0;
        while level > 0.0 {
            let Some(number) = self.lanes.next(now, level > supply.reserved) else { break };
            let Some(entry) = self.entries.get_mut(&number) else { break };
            let heard = self.heard.get(&entry.router);
            if heard.is_none_or(|(_, at)| now.saturating_duration_since(*at) >= SILENCE_TIME) {
                self.remove(number);
                continue;
            }
            let cost = entry.waiter.cost;
            if cost as f64 > level + supply.max_debt {
                if cost as f64 <= supply.max_cost {
                    break;
                }
                // The quota was lowered.
                let (router, waiter, kind) = (entry.router.clone(), entry.waiter, entry.place.kind);
                self.remove(number);
                let decision = self.refuse(now, kind, &waiter, supply);
                self.keep_refusal(now, &router, Answer { id: waiter.id, decision });
                continue;
            }
            entry.granted_at = Some(now);
            let (place, objective_at) = (entry.place, entry.claim.objective_at);
            self.lanes.record_granted(now, place, cost);
            self.lanes.remove(place);
            self.due.remove(&(objective_at, number));
            self.granted.insert((now, number));
            level -= cost as f64;
            sum += cost;
            self.uncollected += cost;
        }
        sum
    }

    /// What a router is to be told, with the cost that is granted by it.
    pub fn collect(&mut self, now: Instant, router: &SmolStr) -> Vec<(Answer, u64)> {
        let mut answers = Vec::new();
        if let Some(refused) = self.refused.get_mut(router) {
            let count = refused.len().min(MAX_ANSWERS);
            let refused = refused.drain(..count);
            let answer = |(at, answer): (Instant, Answer)| {
                (answer.after(now.saturating_duration_since(at)), 0)
            };
            answers.extend(refused.map(answer));
        }
        let numbers = self.by_router.get(router).into_iter().flatten().copied();
        let granted: Vec<_> =
            numbers.filter(|number| self.is_granted(*number)).take(MAX_ANSWERS).collect();
        for number in granted {
            let Some(entry) = self.remove(number) else { continue };
            let answer = Answer { id: entry.waiter.id, decision: Decision::Served };
            answers.push((answer, entry.waiter.cost));
            if self.answered.len() < MAX_ANSWERED {
                self.answered.insert((entry.router, entry.incarnation, entry.waiter.id), now);
            }
        }
        answers
    }

    fn is_granted(&self, number: u64) -> bool {
        self.entries.get(&number).is_some_and(|entry| entry.granted_at.is_some())
    }

    fn keep_refusal(&mut self, now: Instant, router: &SmolStr, answer: Answer) {
        let answers = self.refused.entry(router.clone()).or_default();
        if answers.len() < MAX_WAITING {
            answers.push((now, answer));
        }
    }

    /// Removes an entry; returns its cost if it was granted.
    fn remove_unserved(&mut self, number: u64) -> u64 {
        let entry = self.remove(number);
        entry.filter(|entry| entry.granted_at.is_some()).map_or(0, |entry| entry.waiter.cost)
    }

    fn remove(&mut self, number: u64) -> Option<Entry> {
        let entry = self.entries.remove(&number)?;
        self.lanes.remove(entry.place);
        self.due.remove(&(entry.claim.objective_at, number));
        if let Some(at) = entry.granted_at {
            self.granted.remove(&(at, number));
            self.uncollected -= entry.waiter.cost;
        }
        self.numbers.remove(&(entry.router.clone(), entry.incarnation, entry.waiter.id));
        if let Some(numbers) = self.by_router.get_mut(&entry.router) {
            numbers.remove(&number);
            if numbers.is_empty() {
                self.by_router.remove(&entry.router);
            }
        }
        Some(entry)
    }
}

impl Answer {
    /// The answer as it is a time later.
    fn after(mut self, time: Duration) -> Self {
        if let Decision::Refused { retry_after, .. } = &mut self.decision {
            *retry_after = retry_after.saturating_sub(time);
        }
        self
    }
}
