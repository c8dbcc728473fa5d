//! A waiting room: requests that wait for the same places, and whose turn it is.
//!
//! The share of the workspace goes first ([`crate::share`]), then urgency ([`order::Claim`]); a part of what is granted
//! goes to the request that has waited longest ([`order::Turns`]). The next request is found without a look at all of
//! them: each workspace has its requests in order, and only the first ones are compared.
//!
//! A request that can't use a place that is free, as it lacks something of its own, passes it on to the next. One that
//! is too large for what is free passes it on a limited number of times: then the next places are kept for it.

use crate::{order, ranks, share};
use corianderstand_derives::derives;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Number of places that a request which is too large for them leaves to others before places are kept for it.
pub const MAX_PLACES_LEFT: u32 = 8;
/// Part of the pace that a rank has for itself while it starves.
const STARVING_PART: f64 = 0.25;
/// Time over which the pace of grants is measured.
const PACE_WINDOW: Duration = Duration::from_millis(200);
/// Weight of the last window in the pace.
const PACE_GAIN: f64 = 0.5;
/// Resolution of the time for which requests may wait, in steps for each doubling. Within a step the one that came first
/// counts as the one that has waited longest.
const PATIENCE_STEPS: f64 = 4.0;

/// A request that waits.
#[derives(key)]
pub struct Ticket {
    number: u64,
    /// Where it is kept.
    index: usize,
}

/// Requests that wait, by their tickets.
#[derive(Clone, Debug, Default)]
struct Tickets {
    kept: Vec<Option<(u64, Waiting)>>,
    free: Vec<usize>,
    last_number: u64,
}

impl Tickets {
    fn insert(&mut self, waiting: Waiting) -> Ticket {
        self.last_number += 1;
        let index = self.free.pop().unwrap_or_else(|| {
            self.kept.push(None);
            self.kept.len() - 1
        });
        self.kept[index] = Some((self.last_number, waiting));
        Ticket { number: self.last_number, index }
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let kept = self.kept.get_mut(ticket.index)?;
        let (_, waiting) = kept.take_if(|(number, _)| *number == ticket.number)?;
        self.free.push(ticket.index);
        Some(waiting)
    }

    fn get(&self, ticket: Ticket) -> Option<&Waiting> {
        let kept = self.kept.get(ticket.index)?.as_ref();
        kept.filter(|(number, _)| *number == ticket.number).map(|(_, waiting)| waiting)
    }

    fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Waiting> {
        let kept = self.kept.get_mut(ticket.index)?.as_mut();
        kept.filter(|(number, _)| *number == ticket.number).map(|(_, waiting)| waiting)
    }

    const fn len(&self) -> usize {
        self.kept.len() - self.free.len()
    }
}

/// What a request that waits is judged by.
#[derives(data)]
#[derive(Copy)]
pub struct Entry {
    /// Its urgency and its cost.
    pub claim: order::Claim,
    /// Its workspace.
    pub workspace: u64,
    /// Weight of the workspace.
    pub weight: f64,
}

/// Why a request does not take a place that is free.
#[derives(key)]
pub enum Pass {
    /// It needs more than what is free.
    TooLarge,
    /// It lacks something of its own.
    Unfit,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    entry: Entry,
    is_late: bool,
    /// Set while it has passed on the place.
    passed: Option<Pass>,
    places_left: u32,
}

/// Requests of one workspace, in order.
#[derive(Clone, Debug, Default)]
struct Queue {
    /// Requests that can meet their objective, by rank and time left.
    timely: BTreeSet<(u8, Instant, Instant, Ticket)>,
    /// The other ones, by rank and the time until they expire.
    late: BTreeSet<(u8, Instant, Instant, Ticket)>,
    /// When timely requests become late.
    objectives: BTreeSet<(Instant, Ticket)>,
    /// By the time for which they may wait and their arrival.
    by_patience: BTreeMap<u32, BTreeSet<(Instant, Ticket)>>,
    timely_cost: [u64; ranks::RANKS],
    len: usize,
}

/// Requests that wait for the same places.
#[derive(Clone, Debug, Default)]
pub struct Room {
    waiting: Tickets,
    queues: BTreeMap<u64, Queue>,
    passed: Vec<Ticket>,
    /// The request for which the next places are kept.
    kept_for: Option<Ticket>,
    shares: share::Shares,
    turns: order::Turns,
    served: ranks::Served,
    pace: Pace,
}

/// Cost granted per second while requests wait.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    window: Option<(Instant, u64)>,
    per_s: Option<f64>,
}

impl Pace {
    fn record(&mut self, now: Instant, cost: u64) {
        let (began_at, granted) = *self.window.get_or_insert((now, 0));
        let granted = granted + cost;
        let elapsed = now.saturating_duration_since(began_at);
        self.window = Some((began_at, granted));
        if elapsed < PACE_WINDOW {
            return;
        }
        let per_s = granted as f64 / elapsed.as_secs_f64();
        self.per_s = Some(self.per_s.map_or(per_s, |mean| mean + (per_s - mean) * PACE_GAIN));
        self.window = Some((now, 0));
    }
}

impl Room {
    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.len() == 0
    }

    /// Adds a request.
    pub fn enter(&mut self, now: Instant, entry: Entry) -> Ticket {
        self.served.record_asked(entry.claim.rank);
        let is_late = !entry.claim.is_timely(now);
        let waiting = Waiting { entry, is_late, passed: None, places_left: 0 };
        let queue = self.queues.entry(entry.workspace).or_default();
        if queue.len == 0 {
            self.shares.begin_waiting(entry.workspace, entry.weight);
        }
        queue.len += 1;
        let ticket = self.waiting.insert(waiting);
        queue.insert(ticket, &waiting);
        ticket
    }

    /// Removes a request that no longer waits.
    pub fn leave(&mut self, ticket: Ticket) {
        let Some(waiting) = self.waiting.remove(ticket) else { return };
        if waiting.passed.is_some() {
            self.passed.retain(|passed| *passed != ticket);
        }
        if self.kept_for == Some(ticket) {
            self.kept_for = None;
        }
        let workspace = waiting.entry.workspace;
        let Some(queue) = self.queues.get_mut(&workspace) else { return };
        if waiting.passed.is_none() {
            queue.remove(ticket, &waiting);
        }
        queue.len -= 1;
        if queue.len == 0 {
            self.shares.end_waiting(workspace);
            self.queues.remove(&workspace);
        }
        if self.queues.is_empty() {
            self.pace.window = None;
        }
    }

    /// The request whose turn it is, among those that have not passed on the place.
    pub fn next(&mut self, now: Instant) -> Option<Ticket> {
        if let Some(kept_for) = self.kept_for {
            let is_passed = self.waiting.get(kept_for).is_some_and(|one| one.passed.is_some());
            return (!is_passed).then_some(kept_for);
        }
        self.refresh_late(now);
        let within = |workspace: &u64| self.shares.is_within(*workspace);
        let has_any = |queue: &Queue| !queue.by_patience.is_empty();
        let some_within = self.queues.iter().any(|(name, queue)| has_any(queue) && within(name));
        let preferred = self.queues.iter().filter(|(name, _)| !some_within || within(name));
        let first = preferred.flat_map(|(_, queue)| queue.first_by_each_order());
        let first: Vec<_> = first
            .filter_map(|ticket| Some((ticket, self.waiting.get(ticket)?.entry.claim)))
            .collect();
        let next = self.turns.next(now, first.iter().map(|(_, claim)| claim));
        next.map(|index| first[index].0)
    }

    /// The claim of the request whose turn it is at the beginning of a round.
    pub fn first_claim(&mut self, now: Instant) -> Option<order::Claim> {
        self.begin_round();
        let next = self.next(now)?;
        self.waiting.get(next).map(|waiting| waiting.entry.claim)
    }

    /// Gives the place to a request, which leaves.
    pub fn grant(&mut self, now: Instant, ticket: Ticket) {
        let Some(granted) = self.waiting.get(ticket).copied() else { return };
        let entry = granted.entry;
        let longest_waiting = self.longest_waiting(now);
        self.turns.record(entry.claim.cost, longest_waiting == Some(ticket));
        self.shares.record(entry.workspace, entry.weight, entry.claim.cost);
        self.served.record_served(entry.claim.rank);
        self.leave(ticket);
        for passed in &self.passed {
            let Some(one) = self.waiting.get_mut(*passed) else { continue };
            one.places_left += 1;
            let is_kept_for = one.passed == Some(Pass::TooLarge)
                && one.places_left >= MAX_PLACES_LEFT
                && self.kept_for.is_none();
            if is_kept_for {
                self.kept_for = Some(*passed);
            }
        }
        if !self.is_empty() {
            self.pace.record(now, entry.claim.cost);
        }
    }

    /// Records that a request took a place without waiting.
    pub fn record(&mut self, entry: Entry) {
        self.shares.record(entry.workspace, entry.weight, entry.claim.cost);
        self.served.record_asked(entry.claim.rank);
        self.served.record_served(entry.claim.rank);
    }

    /// Records a request that is refused without waiting.
    pub fn record_refused(&mut self, entry: &Entry) {
        self.served.record_asked(entry.claim.rank);
    }

    /// Takes back what was granted to a request that could not use it.
    pub fn refund(&mut self, entry: Entry) {
        self.shares.refund(entry.workspace, entry.weight, entry.claim.cost);
    }

    /// Has a request pass on the place to the next, until the next round.
    pub fn pass(&mut self, ticket: Ticket, why: Pass) {
        let Some(waiting) = self.waiting.get_mut(ticket) else { return };
        if waiting.passed.replace(why).is_some() {
            return;
        }
        let before = Waiting { passed: None, ..*waiting };
        if let Some(queue) = self.queues.get_mut(&waiting.entry.workspace) {
            queue.remove(ticket, &before);
        }
        self.passed.push(ticket);
    }

    /// Begins a round: places may be free that were not, so those that passed are asked again.
    pub fn begin_round(&mut self) {
        for ticket in std::mem::take(&mut self.passed) {
            let Some(waiting) = self.waiting.get_mut(ticket) else { continue };
            waiting.passed = None;
            if let Some(queue) = self.queues.get_mut(&waiting.entry.workspace) {
                queue.insert(ticket, waiting);
            }
        }
    }

    /// Whether the next places are kept for another request.
    pub fn is_kept_from(&self, ticket: Option<Ticket>) -> bool {
        self.kept_for.is_some() && self.kept_for != ticket
    }

    /// Time that a request of this kind has to wait, if that can be told. It counts the timely requests of the
    /// workspace that are as urgent, at the workspace's part of the pace; for a rank that starves only those of the rank.
    pub fn expected_wait(&self, entry: &Entry) -> Option<Duration> {
        let per_s = self.pace.per_s.filter(|per_s| *per_s > 0.0)?;
        let queue = self.queues.get(&entry.workspace);
        let rank = ranks::index(entry.claim.rank);
        let ahead = |queue: &Queue| queue.timely_cost[..=rank].iter().sum::<u64>() as f64;
        let own = queue.map_or(0.0, ahead);
        let all: f64 = self.queues.values().map(ahead).sum();
        let competing = self.shares.competing_weight(entry.workspace, entry.weight);
        let part = entry.weight / competing.max(entry.weight);
        let mut wait = (own / (per_s * part)).min(all / per_s);
        if self.served.is_starving(entry.claim.rank) {
            let of_rank = self.queues.values().map(|queue| queue.timely_cost[rank]).sum::<u64>();
            wait = wait.min(of_rank as f64 / (per_s * STARVING_PART));
        }
        Some(Duration::from_secs_f64(wait))
    }

    /// What a workspace may be granted until it has its share; negative beyond.
    pub fn balance(&self, workspace: u64) -> f64 {
        self.shares.balance(workspace)
    }

    /// Number of requests of a workspace that wait.
    pub fn len_of(&self, workspace: u64) -> usize {
        self.queues.get(&workspace).map_or(0, |queue| queue.len)
    }

    fn longest_waiting(&self, now: Instant) -> Option<Ticket> {
        let first = self.queues.values().flat_map(Queue::oldest_of_each_patience);
        let shares = first.filter_map(|ticket| {
            Some((self.waiting.get(ticket)?.entry.claim.waited_share(now), ticket))
        });
        shares.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, ticket)| ticket)
    }

    /// Moves the requests that have become late.
    fn refresh_late(&mut self, now: Instant) {
        for queue in self.queues.values_mut() {
            while let Some(&(objective_at, ticket)) = queue.objectives.first() {
                if now <= objective_at {
                    break;
                }
                let Some(waiting) = self.waiting.get_mut(ticket) else { break };
                queue.remove(ticket, waiting);
                waiting.is_late = true;
                queue.insert(ticket, waiting);
            }
        }
    }
}

impl Queue {
    fn insert(&mut self, ticket: Ticket, waiting: &Waiting) {
        let claim = waiting.entry.claim;
        if waiting.is_late {
            self.late.insert((claim.rank, claim.expires_at, claim.arrived_at, ticket));
        } else {
            self.timely.insert((claim.rank, claim.objective_at, claim.arrived_at, ticket));
            self.objectives.insert((claim.objective_at, ticket));
            self.timely_cost[ranks::index(claim.rank)] += claim.cost;
        }
        self.by_patience
            .entry(patience_step(&claim))
            .or_default()
            .insert((claim.arrived_at, ticket));
    }

    fn remove(&mut self, ticket: Ticket, waiting: &Waiting) {
        let claim = waiting.entry.claim;
        if waiting.is_late {
            self.late.remove(&(claim.rank, claim.expires_at, claim.arrived_at, ticket));
        } else {
            self.timely.remove(&(claim.rank, claim.objective_at, claim.arrived_at, ticket));
            self.objectives.remove(&(claim.objective_at, ticket));
            self.timely_cost[ranks::index(claim.rank)] -= claim.cost;
        }
        let step = patience_step(&claim);
        if let Some(same) = self.by_patience.get_mut(&step) {
            same.remove(&(claim.arrived_at, ticket));
            if same.is_empty() {
                self.by_patience.remove(&step);
            }
        }
    }

    /// The most urgent request, and those that have waited longest.
    fn first_by_each_order(&self) -> impl Iterator<Item = Ticket> + '_ {
        let urgent = self.timely.first().or_else(|| self.late.first());
        urgent.map(|key| key.3).into_iter().chain(self.oldest_of_each_patience())
    }

    fn oldest_of_each_patience(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.by_patience.values().filter_map(|same| same.first().map(|(_, ticket)| *ticket))
    }
}

fn patience_step(claim: &order::Claim) -> u32 {
    let patience = claim.expires_at.saturating_duration_since(claim.arrived_at);
    let millis = patience.as_secs_f64() * 1_000.0;
    (millis.max(1.0).log2() * PATIENCE_STEPS) as u32
}
