//! The order of the requests that wait for the quota of a workspace.
//!
//! Requests of one rank and patience form a lane, in which those whose objective ends first go first. Who returns with
//! a booking goes before all lanes, and lanes of small requests before the others. Of the rest, a part of what is
//! granted is divided over the lanes by what each asks for, so that none starves, and the remainder goes to the most
//! urgent lane that has requests. Each step looks at the first of each lane, so that its cost doesn't grow with the
//! number of requests.

use crate::decaying_rate;
use corianderstand_derives::derives;
use corianderstand_room::order;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time over which the demand of a lane is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// A request with a booking is granted this much before its moment.
const EARLY_TIME: Duration = Duration::from_millis(100);
/// Share of what is granted that is divided over the lanes by their demand.
const DIVIDED_RATIO: f64 = 0.5;
/// A request is small if its lane's mean cost is at most this part of the mean cost of all.
const SMALL_COST_RATIO: f64 = 0.4;
/// Part of the quota that lanes of small requests may ask for to be served before all others.
const SMALL_DEMAND_RATIO: f64 = 0.5;
/// Demand, per second, below which an empty lane is forgotten.
const MIN_DEMAND: f64 = 0.5;
/// The lowest priority that is told apart; bounds the lanes.
const MAX_RANK: u8 = 15;

/// Which lane a request waits in. The lesser one is more urgent.
#[derives(key)]
pub struct Kind {
    /// Priority of its workspace and route.
    pub rank: u8,
    /// Binary logarithm of the time until its objective, in milliseconds.
    pub patience: u8,
}

impl Kind {
    /// The lane of a request.
    pub fn new(rank: u8, patience: Duration) -> Self {
        let ms = (patience.as_millis() as u64).max(1);
        Self { rank: rank.min(MAX_RANK), patience: ms.ilog2() as u8 }
    }
}

/// A request's place among those that wait.
#[derives(key)]
pub struct Place {
    /// Its lane.
    pub kind: Kind,
    /// When it was told to come back, if it holds a booking.
    pub booked_at: Option<Instant>,
    /// When it has to be granted.
    pub due_at: Instant,
    /// Identifies it; later ones are greater.
    pub number: u64,
}

impl Place {
    /// The place of a request that waits.
    pub fn new(kind: Kind, claim: &order::Claim, booked_at: Option<Instant>, number: u64) -> Self {
        Self { kind, booked_at, due_at: claim.objective_at, number }
    }
}

#[derive(Debug)]
struct Lane {
    waiting: BTreeMap<(Instant, u64), u64>,
    cost: u64,
    demand: decaying_rate::DecayingRate,
    /// Requests per second, whether they wait or not.
    requests: decaying_rate::DecayingRate,
    /// Whether its requests are served before all others, as they cost little.
    is_small: bool,
    /// Its part of what was divided and went to others.
    owed: f64,
}

impl Lane {
    fn new(now: Instant) -> Self {
        Self {
            waiting: BTreeMap::new(),
            cost: 0,
            demand: decaying_rate::DecayingRate::new(now),
            requests: decaying_rate::DecayingRate::new(now),
            is_small: false,
            owed: 0.0,
        }
    }

    /// Cost of its requests per second.
    fn demand(&self, now: Instant) -> f64 {
        self.demand.value(now, DEMAND_WINDOW)
    }

    /// Whether its first request has a right to be granted now.
    fn is_owed_its_first(&self) -> bool {
        self.waiting.first_key_value().is_some_and(|(_, cost)| self.owed >= *cost as f64)
    }
}

/// The requests that wait.
#[derive(Debug, Default)]
pub struct Lanes {
    lanes: BTreeMap<Kind, Lane>,
    /// Those that hold bookings, by their moments.
    booked: BTreeMap<(Instant, u64), u64>,
}

impl Lanes {
    /// Counts the demand for a request, whether it will wait or not.
    pub fn record_demand(&mut self, now: Instant, kind: Kind, cost: u64) {
        let lane = self.lanes.entry(kind).or_insert_with(|| Lane::new(now));
        lane.demand.add(now, DEMAND_WINDOW, cost as f64);
        lane.requests.add(now, DEMAND_WINDOW, 1.0);
    }

    /// Finds the lanes whose requests are served before all others, as many of them cost no more than a few of the rest:
    /// those of small requests, as long as they ask for a part of the quota only.
    pub fn find_small(&mut self, now: Instant, per_s: f64) {
        let requests = |lane: &Lane| lane.requests.value(now, DEMAND_WINDOW);
        let demand: f64 = self.lanes.values().map(|lane| lane.demand(now)).sum();
        let mean = demand / self.lanes.values().map(requests).sum::<f64>();
        let mut left = per_s * SMALL_DEMAND_RATIO;
        let mut lanes: Vec<_> = self.lanes.values_mut().collect();
        lanes.sort_by(|a, b| a.demand(now).total_cmp(&b.demand(now)));
        for lane in lanes {
            let demand = lane.demand(now);
            lane.is_small = demand <= mean * SMALL_COST_RATIO * requests(lane) && demand <= left;
            left -= if lane.is_small { demand } else { 0.0 };
        }
    }

    /// Adds a request.
    pub fn insert(&mut self, now: Instant, place: Place, cost: u64) {
        if let Some(at) = place.booked_at {
            self.booked.insert((at, place.number), cost);
            return;
        }
        let lane = self.lanes.entry(place.kind).or_insert_with(|| Lane::new(now));
        lane.waiting.insert((place.due_at, place.number), cost);
        lane.cost += cost;
    }

    /// Removes a request. Returns false if it did not wait.
    pub fn remove(&mut self, place: Place) -> bool {
        if let Some(at) = place.booked_at {
            return self.booked.remove(&(at, place.number)).is_some();
        }
        let Some(lane) = self.lanes.get_mut(&place.kind) else { return false };
        let removed = lane.waiting.remove(&(place.due_at, place.number));
        lane.cost -= removed.unwrap_or_default();
        if lane.waiting.is_empty() {
            lane.owed = 0.0;
        }
        removed.is_some()
    }

    /// Number of the request to be granted next. Those that hold bookings for later are granted only if
    /// something is to spare.
    pub fn next(&self, now: Instant, is_spare: bool) -> Option<u64> {
        let booked = self.booked.first_key_value().map(|(key, _)| *key);
        if let Some((_, number)) = booked.filter(|(at, _)| *at <= now + EARLY_TIME) {
            return Some(number);
        }
        let early = booked.filter(|_| is_spare).map(|(_, number)| number);
        self.next_of_lanes().or(early)
    }

    fn next_of_lanes(&self) -> Option<u64> {
        let small = self.lanes.values().find(|lane| lane.is_small && !lane.waiting.is_empty());
        let owed = self.lanes.values().filter(|lane| lane.is_owed_its_first());
        let lane = small
            .or_else(|| owed.max_by(|a, b| a.owed.total_cmp(&b.owed)))
            .or_else(|| self.lanes.values().find(|lane| !lane.waiting.is_empty()))?;
        lane.waiting.first_key_value().map(|((_, number), _)| *number)
    }

    /// Records that a request is granted, before it is removed.
    pub fn record_granted(&mut self, now: Instant, place: Place, cost: u64) {
        let is_divided = self.lanes.get(&place.kind).is_some_and(|lane| !lane.is_small);
        if place.booked_at.is_some() || !is_divided {
            return;
        }
        let total = self.divided_demand(now);
        for lane in self.lanes.values_mut().filter(|lane| !lane.waiting.is_empty()) {
            let share = lane.demand(now) / total.max(f64::MIN_POSITIVE);
            lane.owed += cost as f64 * share * DIVIDED_RATIO;
        }
        if let Some(lane) = self.lanes.get_mut(&place.kind) {
            lane.owed = (lane.owed - cost as f64).max(0.0);
        }
    }

    /// Time until a new request of a lane would be granted, behind those that wait, if `per_s` comes in and `level` is
    /// there. It needs `lacking` beyond what others need.
    pub fn wait(&self, now: Instant, kind: Kind, lacking: f64, level: f64, per_s: f64) -> Duration {
        let per_s = per_s.max(f64::MIN_POSITIVE);
        let own = self.lanes.get(&kind).map_or(0, |lane| lane.cost) as f64;
        let before: u64 = self.lanes_before(kind).map(|lane| lane.cost).sum();
        let before = before as f64 + (-level).max(0.0);
        let behind = (own + lacking - level.max(0.0)).max(0.0);
        let wait = behind / self.drain_per_s(now, kind, per_s) + before / per_s;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    /// What a lane gets per second if the demand goes on: its own part of what is divided, and what lanes before it
    /// leave of the rest.
    pub fn drain_per_s(&self, now: Instant, kind: Kind, per_s: f64) -> f64 {
        if self.is_small(kind) {
            return per_s.max(f64::MIN_POSITIVE);
        }
        let small = self.lanes.values().filter(|lane| lane.is_small);
        let per_s = (per_s - small.map(|lane| lane.demand(now)).sum::<f64>()).max(0.0);
        let total = self.divided_demand(now);
        let divided = (per_s * DIVIDED_RATIO / total.max(f64::MIN_POSITIVE)).min(1.0);
        let mut rest = (per_s - total * divided).max(0.0);
        for lane in self.lanes.range(..kind).map(|(_, lane)| lane).filter(|lane| !lane.is_small) {
            rest = (rest - lane.demand(now) * (1.0 - divided)).max(0.0);
        }
        let own = self.lanes.get(&kind).map_or(0.0, |lane| lane.demand(now)) * divided;
        (own + rest).max(f64::MIN_POSITIVE)
    }

    fn is_small(&self, kind: Kind) -> bool {
        self.lanes.get(&kind).is_some_and(|lane| lane.is_small)
    }

    /// The lanes that are served before a lane.
    fn lanes_before(&self, kind: Kind) -> impl Iterator<Item = &Lane> {
        let is_small = self.is_small(kind);
        let is_before = move |(other, lane): &(&Kind, &Lane)| match (lane.is_small, is_small) {
            (true, false) => true,
            (false, true) => false,
            _ => **other < kind,
        };
        self.lanes.iter().filter(is_before).map(|(_, lane)| lane)
    }

    /// Demand of the lanes that what is granted is divided over.
    fn divided_demand(&self, now: Instant) -> f64 {
        let divided = self.lanes.values().filter(|lane| !lane.is_small);
        divided.map(|lane| lane.demand(now)).sum()
    }

    /// A lane's share of the demand.
    pub fn demand_share(&self, now: Instant, kind: Kind) -> f64 {
        let total: f64 = self.lanes.values().map(|lane| lane.demand(now)).sum();
        let own = self.lanes.get(&kind).map_or(0.0, |lane| lane.demand(now));
        own / total.max(f64::MIN_POSITIVE)
    }

    /// Number of requests that wait before a new one of a lane.
    pub fn waiting_before(&self, kind: Kind) -> usize {
        let own = self.lanes.get(&kind).map_or(0, |lane| lane.waiting.len());
        let before: usize = self.lanes_before(kind).map(|lane| lane.waiting.len()).sum();
        own + before + self.booked.len()
    }

    /// Forgets lanes that nobody uses.
    pub fn expire(&mut self, now: Instant) {
        self.lanes.retain(|_, lane| !lane.waiting.is_empty() || lane.demand(now) >= MIN_DEMAND);
    }
}
