//! Requests waiting beside a target, and who goes next.
//!
//! A request whose weights are in the engine's memory is *ready* and waits for room only; others
//! wait for a load. Ready requests go by their team's share first, then by urgency, deadline and
//! length. Every operation takes time logarithmic in the requests that wait; choosing the next
//! looks at each team that has ready requests.

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
pub enum Order {
    /// By share, urgency and deadline.
    #[default]
    Fair,
    /// First come first served, all alike: the baseline of the measurements.
    FirstCome,
}

/// Place in the queue: higher urgency first, then the earlier deadline.
#[derives(key)]
pub struct Place {
    less_urgent: u8,
    due: Option<Instant>,
    number: u64,
    key: RequestKey,
    deadline: Instant,
}

impl Place {
    /// When it must be answered.
    pub const fn deadline(self) -> Instant {
        self.deadline
    }

    /// 0 is the most urgent.
    pub const fn less_urgent(self) -> u8 {
        self.less_urgent
    }
}

/// A request that is to wait.
#[derives(data)]
pub struct Waiting {
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
    waiting: Waiting,
    place: Place,
}

#[derives(data)]
#[derive(Default)]
struct TeamQueue {
    share: u32,
    ready: [BTreeSet<Place>; 2],
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
pub const LENGTH_ROOM_DIVISOR: u32 = 4;
/// Thousandths that the guaranteed shares of all teams add up to at most.
pub const WHOLE_SHARE: u32 = 1000;

/// The queue, and what of it runs.
#[derive(Clone, Debug)]
pub struct Queue {
    concurrency: u32,
    order: Order,
    total_shares: u32,
    teams: BTreeMap<WorkspaceId, TeamQueue>,
    missing: BTreeMap<Weights, BTreeSet<Place>>,
    entries: SecondaryMap<RequestKey, Entry>,
    deadlines: BTreeSet<(Instant, RequestKey)>,
    backlog: [Backlog; 2],
    running: [u32; 2],
    number: u64,
}

impl Queue {
    /// An empty queue before a target that runs `concurrency` requests at once.
    pub fn new(concurrency: u32, order: Order) -> Self {
        Self {
            concurrency: concurrency.max(1),
            order,
            total_shares: WHOLE_SHARE,
            teams: BTreeMap::new(),
            missing: BTreeMap::new(),
            entries: SecondaryMap::new(),
            deadlines: BTreeSet::new(),
            backlog: Default::default(),
            running: [0; 2],
            number: 0,
        }
    }

    /// Sum of the shares of all teams; above [`WHOLE_SHARE`] each is guaranteed its part of it.
    pub fn set_total_shares(&mut self, total: u32) {
        self.total_shares = total.max(WHOLE_SHARE);
    }

    /// Adds a request of a team with this guaranteed share.
    pub fn push(&mut self, key: RequestKey, share: u32, waiting: Waiting) {
        self.number += 1;
        let fair = self.order == Order::Fair;
        let place = Place {
            less_urgent: if fair { u8::MAX - waiting.urgency } else { 0 },
            due: fair.then_some(waiting.deadline),
            number: self.number,
            key,
            deadline: waiting.deadline,
        };
        let index = waiting.length as usize;
        let team = self.teams.entry(waiting.team.clone()).or_default();
        team.share = share;
        team.waiting += 1;
        team.backlog[index].add(place.less_urgent, place.deadline);
        self.backlog[index].add(place.less_urgent, place.deadline);
        self.deadlines.insert((waiting.deadline, key));
        match &waiting.missing {
            None => team.ready[index].insert(place),
            Some(weights) => self.missing.entry(weights.clone()).or_default().insert(place),
        };
        self.entries.insert(key, Entry { waiting, place });
    }

    /// Removes a request that waits.
    pub fn remove(&mut self, key: RequestKey) -> Option<Waiting> {
        let Entry { waiting, place } = self.entries.remove(key)?;
        let index = waiting.length as usize;
        self.deadlines.remove(&(waiting.deadline, key));
        self.backlog[index].remove(place.less_urgent, place.deadline);
        if let Some(weights) = &waiting.missing {
            self.remove_missing(weights, place);
        }
        if let Some(team) = self.teams.get_mut(&waiting.team) {
            team.ready[index].remove(&place);
            team.waiting -= 1;
            team.backlog[index].remove(place.less_urgent, place.deadline);
        }
        self.drop_unused(&waiting.team);
        Some(waiting)
    }

    fn remove_missing(&mut self, weights: &Weights, place: Place) {
        if let Some(places) = self.missing.get_mut(weights) {
            places.remove(&place);
            if places.is_empty() {
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
        if entry.waiting.missing == missing {
            return;
        }
        let (place, index) = (entry.place, entry.waiting.length as usize);
        let before = std::mem::replace(&mut entry.waiting.missing, missing.clone());
        let team = entry.waiting.team.clone();
        match before {
            Some(weights) => self.remove_missing(&weights, place),
            None => {
                self.teams.get_mut(&team).map(|team| team.ready[index].remove(&place));
            }
        }
        match missing {
            Some(weights) => {
                self.missing.entry(weights).or_default().insert(place);
            }
            None => {
                self.teams.get_mut(&team).map(|team| team.ready[index].insert(place));
            }
        }
    }

    /// Requests that wait for these weights, in order.
    pub fn waiting_for(&self, weights: &Weights) -> Vec<RequestKey> {
        self.missing.get(weights).into_iter().flatten().map(|place| place.key).collect()
    }

    /// Weights that requests wait for, each with the first that does.
    pub fn missing(&self) -> impl Iterator<Item = (&Weights, Place)> {
        self.missing.iter().filter_map(|(weights, places)| Some((weights, *places.first()?)))
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
        let best = self.teams.values().flat_map(|team| self.heads(team)).min()?;
        let key = best.place.key;
        let waiting = self.remove(key)?;
        self.running[waiting.length as usize] += 1;
        let team = self.teams.entry(waiting.team).or_default();
        team.running += 1;
        team.share = best.share;
        Some(key)
    }

    fn heads<'a>(&'a self, team: &'a TeamQueue) -> impl Iterator<Item = Head> + 'a {
        LENGTHS.into_iter().filter_map(move |length| {
            let place = *team.ready[length as usize].first()?;
            let allowed = self.order == Order::FirstCome || self.has_room(length);
            allowed.then(|| self.head(team, length, place))
        })
    }

    fn head(&self, team: &TeamQueue, length: Length, place: Place) -> Head {
        if self.order == Order::FirstCome {
            let (lent, beyond_room, used) = (false, false, 0);
            return Head {
                lent,
                beyond_room,
                less_urgent: 0,
                used,
                place_order: place.number,
                place,
                share: team.share,
            };
        }
        let share = u64::from(team.share.max(1));
        let running = u64::from(team.running);
        Head {
            lent: running * u64::from(self.total_shares) >= share * u64::from(self.concurrency)
                && running > 0,
            beyond_room: self.running[length as usize] >= self.room(),
            less_urgent: place.less_urgent,
            used: running * u64::from(WHOLE_SHARE) / share,
            place_order: 0,
            place,
            share: team.share,
        }
    }

    fn room(&self) -> u32 {
        self.concurrency / LENGTH_ROOM_DIVISOR
    }

    fn has_room(&self, length: Length) -> bool {
        length == Length::Short || self.running[Length::Long as usize] < self.long_limit()
    }

    /// Long requests that may run at once.
    fn long_limit(&self) -> u32 {
        (self.concurrency - self.room()).max(1)
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
    pub fn expected_wait(&self, asked: &Waiting, share: u32, mean_run: Duration) -> Duration {
        let index = asked.length as usize;
        let slots = self.slots(asked.length);
        let full = self.running() >= self.concurrency || !self.has_room(asked.length);
        let less_urgent = u8::MAX - asked.urgency;
        let ahead = self.backlog[index].ahead(less_urgent, asked.deadline);
        if !full && ahead == 0 {
            return Duration::ZERO;
        }
        // A request that runs is on average half done.
        let turn = mean_run / 2 * self.running[index].min(slots) / slots;
        let of_all = turn + mean_run * ahead / slots;
        let owed = self.owed(share, slots);
        if owed == 0 {
            return of_all;
        }
        let team = self.teams.get(&asked.team);
        let own = team.map_or(0, |t| t.backlog[index].ahead(less_urgent, asked.deadline));
        let running = team.map_or(0, |team| team.running);
        let catching_up = if running < owed { Duration::ZERO } else { mean_run / 2 };
        of_all.min(turn + catching_up + mean_run * own / owed)
    }

    /// Ready requests that cannot be answered in time even if all goes on as expected.
    ///
    /// Made for sudden slowness: what was admitted when the target was quick may be hopeless now.
    /// Its callers are told at once. This looks at all that wait, so it is called at intervals.
    pub fn hopeless(&self, now: Instant, mean_runs: [Duration; 2]) -> Vec<RequestKey> {
        if self.order == Order::FirstCome {
            return Vec::new();
        }
        let of = |length| self.hopeless_of(now, length, mean_runs[length as usize]);
        LENGTHS.into_iter().flat_map(of).collect()
    }

    fn hopeless_of(&self, now: Instant, length: Length, mean_run: Duration) -> Vec<RequestKey> {
        let slots = self.slots(length);
        let ready = |team: &TeamQueue| team.ready[length as usize].clone();
        let mut places: Vec<Place> = self.teams.values().flat_map(ready).collect();
        places.sort_unstable();
        let mut lost = Vec::new();
        let mut ahead = 0;
        let mut ahead_of_own: BTreeMap<&WorkspaceId, u32> = BTreeMap::new();
        for place in places {
            let waiting = &self.entries[place.key].waiting;
            let own = ahead_of_own.entry(&waiting.team).or_default();
            let owed = self.owed(self.teams[&waiting.team].share, slots);
            let guaranteed = if owed == 0 { Duration::MAX } else { mean_run * *own / owed };
            let wait = (mean_run * ahead / slots).min(guaranteed);
            if now + wait + mean_run > place.deadline {
                lost.push(place.key);
            } else {
                ahead += 1;
                *own += 1;
            }
        }
        lost
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
    fn owed(&self, share: u32, slots: u32) -> u32 {
        (u64::from(share) * u64::from(slots) / u64::from(self.total_shares)) as u32
    }
}

/// The first ready request of one team and length; the least one runs next.
#[derives(key)]
struct Head {
    lent: bool,
    beyond_room: bool,
    less_urgent: u8,
    used: u64,
    place_order: u64,
    place: Place,
    share: u32,
}
