//! What is known of each target: what it registered, what its agent reports, what requests met.
//!
//! Three sources speak of one target, each with its own delay, and one of them may be wrong: a
//! registered entry can be stale, or written by somebody else. An incarnation of a target is told
//! by the time of its start, and the order of its entries by the number of their renewal. What its
//! agent says of its memory comes straight from the engine and goes before what an entry says, as
//! long as the agent is heard. Nothing older replaces anything newer, and a target that was leaving
//! never comes back in the same incarnation.

mod entry;

pub use entry::{Entry, Holdings, Load, Ongoing, Replaced, Report, Resident};

use crate::{choose, health};
use corianderstand_derives::derives;
use corianderstand_types::names;
use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, HashMap},
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

slotmap::new_key_type! {
    /// One target in [`Targets`].
    pub struct TargetKey;
}

/// After an engine refused a model for not having it, it is asked again after this time at the
/// latest; a newer account of its memory ends it sooner. A load from memory takes 0.4 s.
const ABSENT_MODEL_TTL: Duration = Duration::from_millis(400);
/// An agent that was not heard of for this long counts as gone; its reports come each half second, or
/// each 0.9 s where there are many routers, and a datagram may be lost.
pub const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A target at whose address nobody listens is left alone for this time. Its process has ended; one
/// that starts again takes 2 to 4 s and says so. Meanwhile each request sent there would be refused,
/// its caller's next one too, and no other engine would load its models. Asked again this often in
/// case it was not true, it costs its callers one attempt in that time.
const UNREACHABLE_EJECTION_TIME: Duration = Duration::from_millis(700);

/// The last entry of a target that is gone is kept for this time, for one that starts again at its
/// place under another name; that takes 2 to 4 s, and some more for its agent to say so.
const REMOVED_ENTRY_TTL: Duration = Duration::from_secs(15);

/// One target.
#[derive(Clone, Debug)]
pub struct Target {
    /// What it registered last.
    pub entry: Entry,
    /// The order that it is carrying out, as its agent says.
    pub ongoing: Option<Ongoing>,
    /// When its agent was last heard.
    pub agent_last_received_at: Option<Instant>,
    /// Trouble that requests met.
    pub health: health::Health,
    /// Requests of this process that are at it, by what they want.
    pub in_flight: BTreeMap<choose::RequestedModel, u32>,
    /// Requests of this process that are at it.
    pub local_requests: u32,
    /// Tokens that these are expected to need.
    pub local_tokens: u64,
    /// How slowly its streams come.
    pub event_interval: health::EventInterval,
    /// When it is gone, if that is known.
    pub leaves_at: Option<Instant>,
    load: Load,
    local_requests_at_load: u32,
    local_tokens_at_load: u64,
    absent_until: HashMap<names::ModelId, Instant>,
    /// Until when it reads prompts, as its agent told.
    prefill_until: Option<Instant>,
    missing_since: Option<Instant>,
    ejected_until: Option<Instant>,
}

impl Target {
    fn new(entry: Entry) -> Self {
        Self {
            entry,
            ongoing: None,
            agent_last_received_at: None,
            health: health::Health::default(),
            in_flight: BTreeMap::new(),
            local_requests: 0,
            local_tokens: 0,
            event_interval: health::EventInterval::default(),
            leaves_at: None,
            load: Load::default(),
            local_requests_at_load: 0,
            local_tokens_at_load: 0,
            absent_until: HashMap::new(),
            prefill_until: None,
            missing_since: None,
            ejected_until: None,
        }
    }

    /// Whether it may be given new requests.
    pub fn accepts_requests(&self, now: Instant) -> bool {
        !self.entry.draining && self.ejected_until.is_none_or(|until| now >= until)
    }

    /// Nobody listens at its address: its process has ended.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.ejected_until = Some(now + UNREACHABLE_EJECTION_TIME);
    }

    /// Requests of this process that are at it, by model.
    pub fn running(&self) -> BTreeMap<names::ModelId, u32> {
        let mut running = BTreeMap::new();
        for (wanted, count) in &self.in_flight {
            *running.entry(wanted.model.clone()).or_default() += count;
        }
        running
    }

    /// Whether its agent was heard lately.
    pub fn agent_is_responsive(&self, now: Instant) -> bool {
        self.agent_last_received_at
            .is_some_and(|at| now.saturating_duration_since(at) < AGENT_RESPONSE_TIMEOUT)
    }

    /// Whether a model is there to be asked for.
    pub fn serves(&self, now: Instant, model: &names::ModelId) -> bool {
        let leaving =
            matches!(&self.ongoing, Some(Ongoing::Unloading { model: gone }) if gone == model);
        let absent = self.absent_until.get(model).is_some_and(|until| now < *until);
        !leaving && !absent && self.entry.holdings.resident(model).is_some()
    }

    /// Requests at it, of all routers, as far as is known: what it said last, and what this
    /// process has sent and got back since.
    pub fn occupied(&self) -> u32 {
        let reported = self.load.running + self.load.waiting;
        (reported + self.local_requests)
            .saturating_sub(self.local_requests_at_load)
            .max(self.local_requests)
    }

    /// Tokens in its cache memory, by the same reckoning.
    pub fn tokens(&self) -> u64 {
        let reported = self.load.cache_used.unwrap_or(0);
        (reported + self.local_tokens)
            .saturating_sub(self.local_tokens_at_load)
            .max(self.local_tokens)
    }

    /// Takes what it says of its load.
    pub fn record_load(&mut self, load: Load) {
        let cache_used = load.cache_used.or(self.load.cache_used);
        self.load = Load { cache_used, ..load };
        self.local_requests_at_load = self.local_requests;
        self.local_tokens_at_load = self.local_tokens;
    }

    /// Its agent told how long it still reads the prompts that were given to it.
    pub fn record_prefill_backlog(&mut self, now: Instant, backlog: Duration) {
        self.prefill_until = Some(now + backlog);
    }

    /// How long it still reads prompts, as far as is known.
    pub fn prefill_backlog(&self, now: Instant) -> Duration {
        self.prefill_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// It has refused a model for not having it.
    pub fn record_absent_model(&mut self, now: Instant, model: &names::ModelId) {
        self.absent_until.insert(model.clone(), now + ABSENT_MODEL_TTL);
    }

    fn set_holdings(&mut self, holdings: Holdings) {
        if holdings != self.entry.holdings {
            self.absent_until.clear();
            self.entry.holdings = holdings;
        }
    }
}

/// What changed with an entry.
#[derives(key)]
pub enum Change {
    /// A target or an incarnation that was not known.
    New,
    /// It began to leave.
    Draining,
    /// What it holds changed.
    Holdings,
    /// Nothing that matters.
    Nothing,
    /// The entry is older than what is known, and was left out.
    Stale,
}

/// All targets.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    arena: SlotMap<TargetKey, Target>,
    by_id: HashMap<names::TargetId, TargetKey>,
    by_host: HashMap<IpAddr, Vec<TargetKey>>,
    drained: HashMap<names::TargetId, u64>,
    removed: HashMap<names::TargetId, (Instant, Entry)>,
}

impl Targets {
    /// One target.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    /// One target, to change it.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.arena.get_mut(key)
    }

    /// The target of that name.
    pub fn key(&self, id: &names::TargetId) -> Option<TargetKey> {
        self.by_id.get(id).copied()
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.arena.iter()
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// An agent says that its engine has started again under another name: what was known of its
    /// place holds for the new one until that has registered, which takes a second or two. False if
    /// that says nothing new.
    ///
    /// Each engine's agent speaks for it alone; without that word an engine that lost its power was
    /// ordered nothing for up to 2.3 s after it was back.
    pub fn replace(&mut self, now: Instant, replaced: &Replaced) -> bool {
        let Replaced { id, born, before } = replaced;
        if self.key(id).is_some() || self.drained.contains_key(id) {
            return false;
        }
        let known = self.key(before).map(|key| self.arena[key].entry.clone());
        let Some(previous) =
            known.or_else(|| self.removed.get(before).map(|(_, entry)| entry.clone()))
        else {
            return false;
        };
        if let Some(key) = self.key(before) {
            self.remove_target(now, key);
        }
        self.removed.remove(before);
        self.drained.insert(before.clone(), previous.born);
        self.insert_successor(now, id, *born, previous);
        true
    }

    /// An agent speaks for an engine that is not known. What is known at its host is then the engine
    /// before, as an agent stands beside one engine only; false if that says nothing new.
    ///
    /// A router that starts together with all engines reads the entries of those that have ended, and
    /// the agents' word that they were replaced came before it knew them. It would send requests to
    /// engines that are no more until it reads the store again. `is_engines` tells the services of engines:
    /// an agent has no word on a plain service's target at the same host. If the engine before lives after all,
    /// its next entry ends the one introduced.
    pub fn infer_successor(
        &mut self,
        now: Instant,
        id: &names::TargetId,
        born: u64,
        host: IpAddr,
        is_engines: impl Fn(&names::ServiceId) -> bool,
    ) -> bool {
        // What an engine that has ended said last may arrive after its follower is known.
        let over = self.removed.contains_key(id) || self.drained.contains_key(id);
        if over || self.by_id.contains_key(id) {
            return false;
        }
        let Some(&[key]) = self.by_host.get(&host).map(Vec::as_slice) else { return false };
        let previous = self.arena[key].entry.clone();
        if !is_engines(&previous.service) {
            return false;
        }
        self.remove_target(now, key);
        self.insert_successor(now, id, born, previous);
        true
    }

    /// What was known of an engine's place holds for the one that runs there now.
    fn insert_successor(&mut self, now: Instant, id: &names::TargetId, born: u64, previous: Entry) {
        let holdings =
            Holdings { on_disk: previous.holdings.on_disk.clone(), ..Default::default() };
        let entry = Entry {
            id: id.clone(),
            born,
            renewals: 0,
            draining: false,
            leaves_in: None,
            holdings,
            ..previous
        };
        let key = self.insert(now, entry);
        self.arena[key].missing_since = Some(now);
    }

    /// Takes an entry. Entries are to come in the order in which they were written: one that is new at
    /// an address ends what was known there.
    pub fn register(&mut self, now: Instant, entry: Entry) -> Change {
        if self.drained.get(&entry.id).is_some_and(|&born| entry.born <= born) {
            return Change::Stale;
        }
        let Some(key) = self.key(&entry.id) else {
            self.remove_at_addr(now, entry.addr);
            self.insert(now, entry);
            return Change::New;
        };
        let target = &mut self.arena[key];
        if entry.born < target.entry.born
            || (entry.born == target.entry.born && entry.renewals < target.entry.renewals)
        {
            return Change::Stale;
        }
        if entry.born > target.entry.born {
            self.remove_target(now, key);
            self.insert(now, entry);
            return Change::New;
        }
        target.missing_since = None;
        let changed = target.entry.holdings != entry.holdings;
        let drains = entry.draining && !target.entry.draining;
        target.entry.draining |= entry.draining;
        target.entry.slots = entry.slots;
        if let Some(leaves_in) = entry.leaves_in {
            target.leaves_at.get_or_insert(now + leaves_in);
        }
        target.entry.renewals = entry.renewals;
        let changed = changed && !target.agent_is_responsive(now);
        if changed {
            target.set_holdings(entry.holdings);
        } else {
            target.entry.holdings.in_memory = entry.holdings.in_memory;
            target.entry.holdings.on_disk = entry.holdings.on_disk;
        }
        match (drains, changed) {
            (true, _) => Change::Draining,
            (false, true) => Change::Holdings,
            (false, false) => Change::Nothing,
        }
    }

    /// Takes what an agent says; false if the engine is not known or this is old.
    pub fn report(&mut self, now: Instant, report: Report) -> bool {
        let Some(key) = self.key(&report.id) else { return false };
        let target = &mut self.arena[key];
        let starts_known = report.born > 0 && target.entry.born > 0;
        if starts_known && report.born < target.entry.born {
            return false;
        }
        if starts_known && report.born > target.entry.born {
            // The engine has started again under its name; its entry will follow.
            let entry = Entry {
                born: report.born,
                renewals: 0,
                holdings: Holdings::default(),
                draining: false,
                leaves_in: None,
                ..target.entry.clone()
            };
            self.remove_target(now, key);
            self.insert(now, entry);
            return self.report(now, report);
        }
        // Datagrams may overtake each other.
        let responsive = target.agent_is_responsive(now);
        if responsive && report.holdings.orders < target.entry.holdings.orders {
            return false;
        }
        target.agent_last_received_at = Some(now);
        if target.entry.renewals == 0 && target.missing_since.is_some() {
            // It has not registered yet, and lives.
            target.missing_since = Some(now);
        }
        target.ejected_until = None;
        target.ongoing = report.ongoing;
        target.record_load(report.load);
        let mut holdings = report.holdings;
        if !report.cached_weights_reported {
            let known = &mut target.entry.holdings;
            holdings.in_memory = std::mem::take(&mut known.in_memory);
            holdings.on_disk = std::mem::take(&mut known.on_disk);
        }
        target.set_holdings(holdings);
        true
    }

    /// Its agent says that this start of it has ended; false if it is not known or has started
    /// again since.
    pub fn record_exit(&mut self, now: Instant, id: &names::TargetId, born: u64) -> bool {
        let Some(key) = self.key(id) else { return false };
        let target = &mut self.arena[key];
        let same = born == target.entry.born || born == 0;
        if same {
            target.record_unreachable(now);
        }
        same
    }

    /// Its entry was removed: it is gone at once, or, with `grace`, unless it registers again
    /// within that time.
    pub fn remove(&mut self, now: Instant, id: &names::TargetId, grace: bool) {
        let Some(key) = self.key(id) else { return };
        if grace {
            self.arena[key].missing_since.get_or_insert(now);
        } else {
            self.remove_target(now, key);
        }
    }

    /// Forgets those that have been missing for `grace`; returns their names.
    pub fn expire(&mut self, now: Instant, grace: Duration) -> Vec<names::TargetId> {
        let over = |target: &Target| {
            target.missing_since.is_some_and(|at| now.saturating_duration_since(at) >= grace)
        };
        let gone = self.arena.iter().filter(|(_, target)| over(target));
        let gone: Vec<TargetKey> = gone.map(|(key, _)| key).collect();
        let ids = gone.iter().map(|&key| self.arena[key].entry.id.clone()).collect();
        gone.into_iter().for_each(|key| self.remove_target(now, key));
        ids
    }

    /// Forgets what was known at an address that belongs to another target now. Its entry stays in the
    /// store for seconds after its end, or as long as the store is away.
    fn remove_at_addr(&mut self, now: Instant, addr: SocketAddr) {
        let there = self.by_host.get(&addr.ip()).into_iter().flatten().copied();
        let ended: Vec<_> = there.filter(|key| self.arena[*key].entry.addr == addr).collect();
        ended.into_iter().for_each(|key| self.remove_target(now, key));
    }

    fn insert(&mut self, now: Instant, entry: Entry) -> TargetKey {
        let (id, host) = (entry.id.clone(), entry.addr.ip());
        let leaves_at = entry.leaves_in.map(|left| now + left);
        let key = self.arena.insert(Target { leaves_at, ..Target::new(entry) });
        self.by_id.insert(id, key);
        self.by_host.entry(host).or_default().push(key);
        key
    }

    fn remove_target(&mut self, now: Instant, key: TargetKey) {
        let Some(target) = self.arena.remove(key) else { return };
        self.by_id.remove(&target.entry.id);
        let host = target.entry.addr.ip();
        if let Some(there) = self.by_host.get_mut(&host) {
            there.retain(|other| *other != key);
            if there.is_empty() {
                self.by_host.remove(&host);
            }
        }
        if target.entry.draining {
            self.drained.insert(target.entry.id.clone(), target.entry.born);
        }
        self.removed
            .retain(|_, (since, _)| now.saturating_duration_since(*since) < REMOVED_ENTRY_TTL);
        self.removed.insert(target.entry.id.clone(), (now, target.entry));
    }
}
