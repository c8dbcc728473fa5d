//! Requests waiting beside a target, and who goes next.
//!
//! A request whose weights are in the engine's memory is *ready* and waits for room only; others
//! wait for a load. Ready requests go by their team's share first, then by urgency, deadline and
//! length. Every operation takes time logarithmic in the requests that wait; choosing the next
//! looks at each team that has ready requests.

mod backlog;
#[cfg(test)]
mod tests;

use crate::work::RequestKey;
use backlog::Backlog;
use corianderstand_derives::derives;
use corianderstand_types::{names::WorkspaceId, weights::Weights};
use slotmap::SecondaryMap;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Whether a request holds its room in the target for long.
#[derives(key)]
pub enum Length {
    /// A summary, a quote, a call: seconds.
    Short,
    /// A design chat: up to minutes.
    Long,
}

const LENGTHS: [Length; 2] = [Length::Short, Length::Long];

/// The order in which ready requests go.
#[derives(key)]
#[derive(Default)]
pub enum QueueDiscipline {
    /// By share, urgency and deadline.
    #[default]
    Fair,
    /// First come first served, all alike: the baseline of the measurements.
    Fifo,
}

/// Place in the queue: higher urgency first, then the earlier deadline.
#[derives(key)]
pub struct QueuePosition {
    urgency_rank: u8,
    sort_deadline: Option<Instant>,
    sequence: u64,
    key: RequestKey,
    deadline: Instant,
}

impl QueuePosition {
    /// When it must be answered.
    pub const fn deadline(self) -> Instant {
        self.deadline
    }

    /// 0 is the most urgent.
    pub const fn urgency_rank(self) -> u8 {
        self.urgency_rank
    }
}

/// A request that is to wait.
#[derives(data)]
pub struct QueuedRequest {
    /// Whose it is.
    pub team: WorkspaceId,
    /// How long it holds its room.
    pub length: Length,
    /// 0 low, 1 normal, 2 urgent.
    pub urgency: u8,
    /// When it must be answered.
    pub deadline: Instant,
    /// What must be loaded first.
    pub missing: Option<Weights>,
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

/// Part of the room that either length can always get while it has work: one slot in this many.
///
/// Without it a few design chats hold all of a target for minutes and every summary behind them
/// misses its deadline; or a flood of summaries never lets a chat begin. A quarter keeps the
/// loss small while one kind alone is there: short requests may use all room, long ones three
/// quarters.
pub const RESERVED_SLOTS_DIVISOR: u32 = 4;
/// Thousandths that the guaranteed shares of all teams add up to at most.
pub const FULL_SHARE_PERMILLE: u32 = 1000;

/// The queue, and what of it runs.
#[derive(Clone, Debug)]
pub struct Queue {
    concurrency: u32,
    discipline: QueueDiscipline,
    total_shares: u32,
    teams: BTreeMap<WorkspaceId, TeamQueue>,
    missing: BTreeMap<Weights, BTreeSet<QueuePosition>>,
    entries: SecondaryMap<RequestKey, Entry>,
    deadlines: BTreeSet<(Instant, RequestKey)>,
    backlog: [Backlog; 2],
    running: [u32; 2],
    sequence: u64,
}

impl Queue {
    /// An empty queue before a target that runs `concurrency` requests at once.
    pub fn new(concurrency: u32, discipline: QueueDiscipline) -> Self {
        Self {
            concurrency: concurrency.max(1),
            discipline,
            total_shares: FULL_SHARE_PERMILLE,
            teams: BTreeMap::new(),
            missing: BTreeMap::new(),
            entries: SecondaryMap::new(),
            deadlines: BTreeSet::new(),
            backlog: Default::default(),
            running: [0; 2],
            sequence: 0,
        }
    }

    /// Sum of the shares of all teams; above [`FULL_SHARE_PERMILLE`] each is guaranteed its part of it.
    pub fn set_total_shares(&mut self, total: u32) {
        self.total_shares = total.max(FULL_SHARE_PERMILLE);
    }

    /// Adds a request of a team with this guaranteed share.
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
        match &request.missing {
            None => team.ready[index].insert(position),
            Some(weights) => self.missing.entry(weights.clone()).or_default().insert(position),
        };
        self.entries.insert(key, Entry { request, position });
    }

    /// Removes a request that waits.
    pub fn remove(&mut self, key: RequestKey) -> Option<QueuedRequest> {
        let Entry { request, position } = self.entries.remove(key)?;
        let index = request.length as usize;
        self.deadlines.remove(&(request.deadline, key));
        self.backlog[index].remove(position.urgency_rank, position.deadline);
        if let Some(weights) = &request.missing {
            self.remove_missing(weights, position);
        }
        if let Some(team) = self.teams.get_mut(&request.team) {
            team.ready[index].remove(&position);
            team.waiting -= 1;
            team.backlog[index].remove(position.urgency_rank, position.deadline);
        }
        self.drop_unused(&request.team);
        Some(request)
    }

    fn remove_missing(&mut self, weights: &Weights, position: QueuePosition) {
        if let Some(positions) = self.missing.get_mut(weights) {
            positions.remove(&position);
            if positions.is_empty() {
                self.missing.remove(weights);
            }
        }
    }

    fn drop_unused(&mut self, team: &WorkspaceId) {
        if self.teams.get(team).is_some_and(TeamQueue::is_unused) {
            self.teams.remove(team);
        }
    }

    /// Sets what a request waits for; `None` if all it needs is loaded.
    pub fn set_missing(&mut self, key: RequestKey, missing: Option<Weights>) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.request.missing == missing {
            return;
        }
        let (position, index) = (entry.position, entry.request.length as usize);
        let before = std::mem::replace(&mut entry.request.missing, missing.clone());
        let team = entry.request.team.clone();
        match before {
            Some(weights) => self.remove_missing(&weights, position),
            None => {
                self.teams.get_mut(&team).map(|team| team.ready[index].remove(&position));
            }
        }
        match missing {
            Some(weights) => {
                self.missing.entry(weights).or_default().insert(position);
            }
            None => {
                self.teams.get_mut(&team).map(|team| team.ready[index].insert(position));
            }
        }
    }

    /// Requests that wait for these weights, in order.
    pub fn waiting_for(&self, weights: &Weights) -> Vec<RequestKey> {
        self.missing.get(weights).into_iter().flatten().map(|position| position.key).collect()
    }

    /// Weights that requests wait for, each with the first that does.
    pub fn missing(&self) -> impl Iterator<Item = (&Weights, QueuePosition)> {
        self.missing.iter().filter_map(|(weights, positions)| Some((weights, *positions.first()?)))
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests running.
    pub fn running(&self) -> u32 {
        self.running.iter().sum()
    }

    /// Requests of a team that run.
    pub fn running_of(&self, team: &WorkspaceId) -> u32 {
        self.teams.get(team).map_or(0, |team| team.running)
    }

    /// Requests of a team that wait for room only.
    pub fn ready_of(&self, team: &WorkspaceId) -> usize {
        self.teams.get(team).map_or(0, |team| team.ready.iter().map(BTreeSet::len).sum())
    }

    /// Requests of a team that wait.
    pub fn waiting_of(&self, team: &WorkspaceId) -> u32 {
        self.teams.get(team).map_or(0, |team| team.waiting)
    }

    /// Earliest deadline of any request waiting.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Requests whose deadline has passed; they stay until removed.
    pub fn expired(&self, now: Instant) -> Vec<RequestKey> {
        self.deadlines.iter().take_while(|(at, _)| *at <= now).map(|(_, key)| *key).collect()
    }

    /// Takes out the request that runs next, if there is room, and counts it as running.
    ///
    /// Made for skewed demand: a team below its guaranteed share goes before any that is above,
    /// whatever their urgency, so that no team's flood of urgent work takes what another is
    /// owed. Room that nobody is owed goes to the more urgent, then to the team that uses least
    /// of its share. What was lent comes back with the next requests that end; running work is
    /// not cut off, as its answer so far would be lost.
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
        LENGTHS.into_iter().filter_map(move |length| {
            let position = *team.ready[length as usize].first()?;
            let allowed = self.discipline == QueueDiscipline::Fifo || self.has_slot(length);
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

    fn has_slot(&self, length: Length) -> bool {
        length == Length::Short || self.running[Length::Long as usize] < self.long_limit()
    }

    /// Long requests that may run at once.
    fn long_limit(&self) -> u32 {
        (self.concurrency - self.reserved_slots()).max(1)
    }

    /// A running request has ended.
    pub fn ended(&mut self, team: &WorkspaceId, length: Length) {
        let running = &mut self.running[length as usize];
        *running = running.saturating_sub(1);
        if let Some(team) = self.teams.get_mut(team) {
            team.running = team.running.saturating_sub(1);
        }
        self.drop_unused(team);
    }

    /// Time until a request with these properties would begin, if its weights were loaded.
    ///
    /// The work ahead of it is what is at least as urgent and due no later, of its length;
    /// behind a flood of other teams its own team's guaranteed share bounds the wait.
    pub fn expected_wait(
        &self,
        request: &QueuedRequest,
        share: u32,
        mean_run: Duration,
    ) -> Duration {
        let index = request.length as usize;
        let slots = self.slots(request.length);
        let full = self.running() >= self.concurrency || !self.has_slot(request.length);
        let urgency_rank = u8::MAX - request.urgency;
        let ahead = self.backlog[index].ahead(urgency_rank, request.deadline);
        if !full && ahead == 0 {
            return Duration::ZERO;
        }
        // A request that runs is on average half done.
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

    /// Ready requests that cannot be answered in time even if all goes on as expected.
    ///
    /// Made for sudden slowness: what was admitted when the target was quick may be hopeless now.
    /// Its callers are told at once. This looks at all that wait, so it is called at intervals.
    pub fn infeasible(&self, now: Instant, mean_runs: [Duration; 2]) -> Vec<RequestKey> {
        if self.discipline == QueueDiscipline::Fifo {
            return Vec::new();
        }
        let of = |length| self.infeasible_of_length(now, length, mean_runs[length as usize]);
        LENGTHS.into_iter().flat_map(of).collect()
    }

    fn infeasible_of_length(
        &self,
        now: Instant,
        length: Length,
        mean_run: Duration,
    ) -> Vec<RequestKey> {
        let slots = self.slots(length);
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

    /// Slots that requests of this length can get.
    fn slots(&self, length: Length) -> u32 {
        let long = self.running[Length::Long as usize];
        match length {
            Length::Short => self.concurrency.saturating_sub(long).max(1),
            Length::Long => self.long_limit(),
        }
    }

    /// Whole slots out of these that a team with this share is guaranteed.
    fn guaranteed_slots(&self, share: u32, slots: u32) -> u32 {
        (u64::from(share) * u64::from(slots) / u64::from(self.total_shares)) as u32
    }
}

/// The first ready request of one team and length; the least one runs next.
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
