//! A weighted fair queue of the requests waiting for one target.
//!
//! A request whose weights are loaded is *ready* and waits only for a free batch slot. Ready requests
//! are dequeued by their team's use of its guaranteed share, then by urgency and deadline.

mod backlog;
#[cfg(test)]
mod tests;

use crate::request::RequestKey;
use backlog::Backlog;
use corianderstand_derives::derives;
use corianderstand_types::{names::WorkspaceId, weights::Weights};
use slotmap::SecondaryMap;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// The expected duration of a request.
#[derives(key)]
pub enum Length {
    /// Seconds, such as a summary or a service call.
    Short,
    /// Up to minutes, such as a chat.
    Long,
}

const ALL_LENGTHS: [Length; 2] = [Length::Short, Length::Long];

/// The order in which ready requests are dequeued.
#[derives(key)]
#[derive(Default)]
pub enum QueueDiscipline {
    /// By use of the team's guaranteed share, then urgency and deadline.
    #[default]
    Fair,
    /// By arrival: the baseline of the benchmarks.
    Fifo,
}

/// Sort key of a queued request: higher urgency first, then the earlier deadline.
#[derives(key)]
pub struct QueuePosition {
    urgency_rank: u8,
    sort_deadline: Option<Instant>,
    sequence: u64,
    key: RequestKey,
    deadline: Instant,
}

impl QueuePosition {
    /// The request's deadline.
    pub const fn deadline(self) -> Instant {
        self.deadline
    }

    /// The inverted urgency; lower is dequeued earlier.
    pub const fn urgency_rank(self) -> u8 {
        self.urgency_rank
    }
}

/// Properties of a request that determine its dequeue order.
#[derives(data)]
pub struct QueuedRequest {
    /// The team that sent it.
    pub team: WorkspaceId,
    /// Its expected duration.
    pub length: Length,
    /// 0 low, 1 normal, 2 urgent.
    pub urgency: u8,
    /// Time by which its response is due.
    pub deadline: Instant,
    /// Weights that must be loaded before it can run.
    pub missing_weights: Option<Weights>,
}

#[derives(data)]
struct Entry {
    request: QueuedRequest,
    position: QueuePosition,
}

#[derives(data)]
#[derive(Default)]
struct TeamQueue {
    share: u32,
    ready: [BTreeSet<QueuePosition>; 2],
    running: u32,
    waiting: u32,
    backlog: [Backlog; 2],
}

impl TeamQueue {
    fn is_unused(&self) -> bool {
        self.running == 0 && self.backlog.iter().all(Backlog::is_empty)
    }
}

/// One batch slot in this many is reserved for each [`Length`], so that neither starves the other.
pub const RESERVED_SLOTS_DIVISOR: u32 = 4;
/// Sum of the teams' guaranteed shares, in thousandths, that equals a target's whole capacity.
pub const FULL_SHARE_PERMILLE: u32 = 1000;

/// A queue of requests, with counts of those running.
#[derive(Clone, Debug)]
pub struct Queue {
    concurrency: u32,
    discipline: QueueDiscipline,
    total_shares: u32,
    teams: BTreeMap<WorkspaceId, TeamQueue>,
    positions_by_missing_weights: BTreeMap<Weights, BTreeSet<QueuePosition>>,
    entries: SecondaryMap<RequestKey, Entry>,
    deadlines: BTreeSet<(Instant, RequestKey)>,
    backlog: [Backlog; 2],
    running: [u32; 2],
    sequence: u64,
}

impl Queue {
    /// Creates an empty queue for a target that runs `concurrency` requests at once.
    pub fn new(concurrency: u32, discipline: QueueDiscipline) -> Self {
        Self {
            concurrency: concurrency.max(1),
            discipline,
            total_shares: FULL_SHARE_PERMILLE,
            teams: BTreeMap::new(),
            positions_by_missing_weights: BTreeMap::new(),
            entries: SecondaryMap::new(),
            deadlines: BTreeSet::new(),
            backlog: Default::default(),
            running: [0; 2],
            sequence: 0,
        }
    }

    /// Sets the sum of all teams' guaranteed shares, which are scaled down to [`FULL_SHARE_PERMILLE`].
    pub fn set_total_shares(&mut self, total: u32) {
        self.total_shares = total.max(FULL_SHARE_PERMILLE);
    }

    /// Enqueues a request; `share` is its team's guaranteed share in thousandths.
    pub fn push(&mut self, key: RequestKey, share: u32, request: QueuedRequest) {
        self.sequence += 1;
        let fair = self.discipline == QueueDiscipline::Fair;
        let position = QueuePosition {
            urgency_rank: if fair { u8::MAX - request.urgency } else { 0 },
            sort_deadline: fair.then_some(request.deadline),
            sequence: self.sequence,
            key,
            deadline: request.deadline,
        };
        let index = request.length as usize;
        let team = self.teams.entry(request.team.clone()).or_default();
        team.share = share;
        team.waiting += 1;
        team.backlog[index].add(position.urgency_rank, position.deadline);
        self.backlog[index].add(position.urgency_rank, position.deadline);
        self.deadlines.insert((request.deadline, key));
        match &request.missing_weights {
            None => team.ready[index].insert(position),
            Some(weights) => self
                .positions_by_missing_weights
                .entry(weights.clone())
                .or_default()
                .insert(position),
        };
        self.entries.insert(key, Entry { request, position });
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, key: RequestKey) -> Option<QueuedRequest> {
        let Entry { request, position } = self.entries.remove(key)?;
        let index = request.length as usize;
        self.deadlines.remove(&(request.deadline, key));
        self.backlog[index].remove(position.urgency_rank, position.deadline);
        if let Some(weights) = &request.missing_weights {
            self.remove_missing_weights(weights, position);
        }
        if let Some(team) = self.teams.get_mut(&request.team) {
            team.ready[index].remove(&position);
            team.waiting -= 1;
            team.backlog[index].remove(position.urgency_rank, position.deadline);
        }
        self.drop_unused(&request.team);
        Some(request)
    }

    fn remove_missing_weights(&mut self, weights: &Weights, position: QueuePosition) {
        if let Some(positions) = self.positions_by_missing_weights.get_mut(weights) {
            positions.remove(&position);
            if positions.is_empty() {
                self.positions_by_missing_weights.remove(weights);
            }
        }
    }

    fn drop_unused(&mut self, team: &WorkspaceId) {
        if self.teams.get(team).is_some_and(TeamQueue::is_unused) {
            self.teams.remove(team);
        }
    }

    /// Sets the weights that a request waits for; `None` makes it ready.
    pub fn set_missing_weights(&mut self, key: RequestKey, missing: Option<Weights>) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.request.missing_weights == missing {
            return;
        }
        let (position, index) = (entry.position, entry.request.length as usize);
        let before = std::mem::replace(&mut entry.request.missing_weights, missing.clone());
        let team = entry.request.team.clone();
        match before {
            Some(weights) => self.remove_missing_weights(&weights, position),
            None => {
                self.teams.get_mut(&team).map(|team| team.ready[index].remove(&position));
            }
        }
        match missing {
            Some(weights) => {
                self.positions_by_missing_weights.entry(weights).or_default().insert(position);
            }
            None => {
                self.teams.get_mut(&team).map(|team| team.ready[index].insert(position));
            }
        }
    }

    /// Returns the requests that wait for these weights, in dequeue order.
    pub fn waiting_for(&self, weights: &Weights) -> Vec<RequestKey> {
        self.positions_by_missing_weights
            .get(weights)
            .into_iter()
            .flatten()
            .map(|position| position.key)
            .collect()
    }

    /// Iterates over missing weights, each with the position of the first request that needs them.
    pub fn missing_weights(&self) -> impl Iterator<Item = (&Weights, QueuePosition)> {
        self.positions_by_missing_weights
            .iter()
            .filter_map(|(weights, positions)| Some((weights, *positions.first()?)))
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running.iter().sum()
    }

    /// Returns the number of a team's running requests.
    pub fn running_of(&self, team: &WorkspaceId) -> u32 {
        self.teams.get(team).map_or(0, |team| team.running)
    }

    /// Returns the number of a team's ready requests.
    pub fn ready_of(&self, team: &WorkspaceId) -> usize {
        self.teams.get(team).map_or(0, |team| team.ready.iter().map(BTreeSet::len).sum())
    }

    /// Returns the number of a team's waiting requests, including those that are not ready.
    pub fn waiting_of(&self, team: &WorkspaceId) -> u32 {
        self.teams.get(team).map_or(0, |team| team.waiting)
    }

    /// Returns the earliest deadline of all waiting requests.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the waiting requests whose deadline has passed.
    pub fn expired(&self, now: Instant) -> Vec<RequestKey> {
        self.deadlines.iter().take_while(|(at, _)| *at <= now).map(|(_, key)| *key).collect()
    }

    /// Dequeues the next ready request if a batch slot is free, and counts it as running.
    ///
    /// Teams below their guaranteed share come first, then lengths below their reserved batch slots,
    /// then more urgent requests, then the teams that use least of their share.
    pub fn pop(&mut self) -> Option<RequestKey> {
        if self.running() >= self.concurrency {
            return None;
        }
        let best = self.teams.values().flat_map(|team| self.dequeue_candidates(team)).min()?;
        let key = best.position.key;
        let request = self.remove(key)?;
        self.running[request.length as usize] += 1;
        let team = self.teams.entry(request.team).or_default();
        team.running += 1;
        team.share = best.share;
        Some(key)
    }

    fn dequeue_candidates<'a>(
        &'a self,
        team: &'a TeamQueue,
    ) -> impl Iterator<Item = DequeueCandidate> + 'a {
        ALL_LENGTHS.into_iter().filter_map(move |length| {
            let position = *team.ready[length as usize].first()?;
            let allowed = self.discipline == QueueDiscipline::Fifo || self.has_batch_slot(length);
            allowed.then(|| self.dequeue_candidate(team, length, position))
        })
    }

    fn dequeue_candidate(
        &self,
        team: &TeamQueue,
        length: Length,
        position: QueuePosition,
    ) -> DequeueCandidate {
        if self.discipline == QueueDiscipline::Fifo {
            let (over_share, over_reserved, share_usage) = (false, false, 0);
            return DequeueCandidate {
                over_share,
                over_reserved,
                urgency_rank: 0,
                share_usage,
                arrival_order: position.sequence,
                position,
                share: team.share,
            };
        }
        let share = u64::from(team.share.max(1));
        let running = u64::from(team.running);
        DequeueCandidate {
            over_share: running * u64::from(self.total_shares)
                >= share * u64::from(self.concurrency)
                && running > 0,
            over_reserved: self.running[length as usize] >= self.reserved_slots(),
            urgency_rank: position.urgency_rank,
            share_usage: running * u64::from(FULL_SHARE_PERMILLE) / share,
            arrival_order: 0,
            position,
            share: team.share,
        }
    }

    fn reserved_slots(&self) -> u32 {
        self.concurrency / RESERVED_SLOTS_DIVISOR
    }

    fn has_batch_slot(&self, length: Length) -> bool {
        length == Length::Short || self.running[Length::Long as usize] < self.max_running_long()
    }

    fn max_running_long(&self) -> u32 {
        (self.concurrency - self.reserved_slots()).max(1)
    }

    /// Releases the batch slot of a request that has ended.
    pub fn ended(&mut self, team: &WorkspaceId, length: Length) {
        let running = &mut self.running[length as usize];
        *running = running.saturating_sub(1);
        if let Some(team) = self.teams.get_mut(team) {
            team.running = team.running.saturating_sub(1);
        }
        self.drop_unused(team);
    }

    /// Estimates how long a request whose weights are loaded would wait for a batch slot.
    pub fn expected_wait(
        &self,
        request: &QueuedRequest,
        share: u32,
        mean_run: Duration,
    ) -> Duration {
        let index = request.length as usize;
        let slots = self.available_batch_slots(request.length);
        let full = self.running() >= self.concurrency || !self.has_batch_slot(request.length);
        let urgency_rank = u8::MAX - request.urgency;
        let ahead = self.backlog[index].ahead(urgency_rank, request.deadline);
        if !full && ahead == 0 {
            return Duration::ZERO;
        }
        // A running request is half done on average.
        let slot_wait = mean_run / 2 * self.running[index].min(slots) / slots;
        let global_wait = slot_wait + mean_run * ahead / slots;
        let guaranteed = self.guaranteed_slots(share, slots);
        if guaranteed == 0 {
            return global_wait;
        }
        let team = self.teams.get(&request.team);
        let own_ahead = team.map_or(0, |t| t.backlog[index].ahead(urgency_rank, request.deadline));
        let running = team.map_or(0, |team| team.running);
        let share_wait = if running < guaranteed { Duration::ZERO } else { mean_run / 2 };
        global_wait.min(slot_wait + share_wait + mean_run * own_ahead / guaranteed)
    }

    /// Returns the ready requests that would miss their deadline at these mean run times.
    pub fn infeasible(&self, now: Instant, mean_run_times: [Duration; 2]) -> Vec<RequestKey> {
        if self.discipline == QueueDiscipline::Fifo {
            return Vec::new();
        }
        let of = |length| self.infeasible_of_length(now, length, mean_run_times[length as usize]);
        ALL_LENGTHS.into_iter().flat_map(of).collect()
    }

    fn infeasible_of_length(
        &self,
        now: Instant,
        length: Length,
        mean_run: Duration,
    ) -> Vec<RequestKey> {
        let slots = self.available_batch_slots(length);
        let ready = |team: &TeamQueue| team.ready[length as usize].clone();
        let mut positions: Vec<QueuePosition> = self.teams.values().flat_map(ready).collect();
        positions.sort_unstable();
        let mut infeasible = Vec::new();
        let mut ahead = 0;
        let mut ahead_of_own: BTreeMap<&WorkspaceId, u32> = BTreeMap::new();
        for position in positions {
            let request = &self.entries[position.key].request;
            let own_ahead = ahead_of_own.entry(&request.team).or_default();
            let guaranteed = self.guaranteed_slots(self.teams[&request.team].share, slots);
            let guaranteed_wait =
                if guaranteed == 0 { Duration::MAX } else { mean_run * *own_ahead / guaranteed };
            let wait = (mean_run * ahead / slots).min(guaranteed_wait);
            if now + wait + mean_run > position.deadline {
                infeasible.push(position.key);
            } else {
                ahead += 1;
                *own_ahead += 1;
            }
        }
        infeasible
    }

    fn available_batch_slots(&self, length: Length) -> u32 {
        let long = self.running[Length::Long as usize];
        match length {
            Length::Short => self.concurrency.saturating_sub(long).max(1),
            Length::Long => self.max_running_long(),
        }
    }

    fn guaranteed_slots(&self, share: u32, slots: u32) -> u32 {
        (u64::from(share) * u64::from(slots) / u64::from(self.total_shares)) as u32
    }
}

/// The first ready request of one team and length; the smallest is dequeued next.
#[derives(key)]
struct DequeueCandidate {
    over_share: bool,
    over_reserved: bool,
    urgency_rank: u8,
    share_usage: u64,
    arrival_order: u64,
    position: QueuePosition,
    share: u32,
}
