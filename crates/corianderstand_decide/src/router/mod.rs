//! Decisions at a router: which target a request goes to, and when to give up.
//!
//! [`Router`] weighs for a few candidates what each would cost the request in time: waiting,
//! slowness, a cold model, distance, a prompt not cached. `owners` are the targets that can
//! serve a model, `health` tells the slow ones, `prefixes` where prompts are cached, and
//! `budget` how often a request is tried again.

mod budget;
mod choose;
mod health;
mod owners;
mod prefixes;
#[cfg(test)]
mod tests;

use crate::request::{Refusal, RequestKey, RequestSpec, Requirement};
use budget::Budget;
use corianderstand_derives::derives;
use corianderstand_schema::messages::{Load, RefusalReason};
use corianderstand_types::names::{AvailabilityZoneId, ModelId, ServiceId, TargetId};
use health::Health;
use owners::Owners;
pub use prefixes::CacheEvent;
use prefixes::Prefixes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::Hash,
    time::{Duration, Instant},
};

new_key_type! {
    /// A target known to this router.
    pub struct TargetKey;
}

/// What a router knows of a target.
#[derives(data)]
pub struct Target {
    /// Its name.
    pub name: TargetId,
    /// Its availability zone.
    pub place: AvailabilityZoneId,
    /// Whether there is a live connection to its agent.
    pub connected: bool,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Requests this router has there.
    pub outstanding: u32,
    /// Its load when it last told.
    pub load: Load,
    told: Option<Instant>,
    sent_since_told: u32,
    health: Health,
}

impl Target {
    /// Whether it gets a trickle only, as it makes slow progress.
    pub const fn is_out(&self) -> bool {
        self.health.is_out()
    }

    fn note_load(&mut self, now: Instant, load: Load) {
        self.load = load;
        self.told = Some(now);
        self.sent_since_told = 0;
    }
}

/// How a target is chosen.
#[derives(key)]
#[derive(Default)]
pub enum Placement {
    /// By what it would cost the request.
    #[default]
    Weighed,
    /// Any that is connected: the baseline of the measurements.
    Random,
}

/// What to do with a request.
#[derives(data)]
#[derive(Copy, Eq)]
pub enum Decision {
    /// Send it to a target.
    Send(TargetKey),
    /// Answer that it is not run.
    Refuse(Refusal),
}

#[derives(data)]
struct Held {
    work: RequestSpec,
    target: Option<TargetKey>,
    tried: Vec<TargetKey>,
}

/// Targets a request may be tried at before it is refused: each try costs a round trip, and in
/// an overload further tries only spread it.
pub const MAX_TRIES: usize = 3;
/// When to come back if no target serves what was asked for.
const RETRY_NO_TARGET: Duration = Duration::from_secs(1);

/// The state of a router's decisions.
#[derive(Clone, Debug)]
pub struct Router {
    place: AvailabilityZoneId,
    targets: SlotMap<TargetKey, Target>,
    by_name: BTreeMap<TargetId, TargetKey>,
    placement: Placement,
    by_model: HashMap<ModelId, Owners>,
    by_service: HashMap<ServiceId, Owners>,
    prefixes: Prefixes,
    budget: Budget,
    out: BTreeSet<TargetKey>,
    requests: SlotMap<RequestKey, Held>,
    rng: ChaCha8Rng,
}

impl Router {
    /// A router in `place`; `seed` fixes its random choices.
    pub fn new(place: AvailabilityZoneId, seed: u64) -> Self {
        Self::with_placement(place, seed, Placement::default())
    }

    /// A router that chooses in one of the ways compared in the measurements.
    pub fn with_placement(place: AvailabilityZoneId, seed: u64, placement: Placement) -> Self {
        Self {
            place,
            placement,
            targets: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            by_model: HashMap::new(),
            by_service: HashMap::new(),
            prefixes: Prefixes::default(),
            budget: Budget::default(),
            out: BTreeSet::new(),
            requests: SlotMap::with_key(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Notes a target; one that is known keeps its counts.
    pub fn add_target(&mut self, name: &TargetId, place: &AvailabilityZoneId) -> TargetKey {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let load = Load { running: 0, queued: 0, wait_ms: 0 };
        let key = self.targets.insert(Target {
            name: name.clone(),
            place: place.clone(),
            connected: false,
            draining: false,
            outstanding: 0,
            load,
            told: None,
            sent_since_told: 0,
            health: Health::default(),
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Forgets a target.
    pub fn remove_target(&mut self, name: &TargetId) {
        if let Some(key) = self.by_name.remove(name) {
            self.prefixes.forget(key);
            self.targets.remove(key);
            self.out.remove(&key);
        }
    }

    /// Sets which targets own slots of each model.
    pub fn set_owners(&mut self, owners: BTreeMap<ModelId, Vec<TargetKey>>) {
        let known = std::mem::take(&mut self.by_model);
        self.by_model = self.rings(known, owners);
    }

    /// Sets which targets offer each service.
    pub fn set_services(&mut self, services: BTreeMap<ServiceId, Vec<TargetKey>>) {
        let known = std::mem::take(&mut self.by_service);
        self.by_service = self.rings(known, services);
    }

    fn rings<K: Ord + Hash>(
        &self,
        mut known: HashMap<K, Owners>,
        wanted: BTreeMap<K, Vec<TargetKey>>,
    ) -> HashMap<K, Owners> {
        let hash = |key: TargetKey| {
            let name = self.targets.get(key).map_or("", |target| target.name.as_str());
            (xxhash_rust::xxh3::xxh3_64(name.as_bytes()), key)
        };
        let ring = |(name, keys): (K, Vec<TargetKey>)| {
            let mut owners = known.remove(&name).unwrap_or_default();
            owners.set(keys.into_iter().map(hash).collect());
            (name, owners)
        };
        wanted.into_iter().map(ring).collect()
    }

    /// A target by name.
    pub fn target(&self, name: &TargetId) -> Option<TargetKey> {
        self.by_name.get(name).copied()
    }

    /// What is known of a target.
    pub fn target_state(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Notes whether there is a connection.
    pub fn set_connected(&mut self, key: TargetKey, connected: bool) {
        if let Some(target) = self.targets.get_mut(key) {
            target.connected = connected;
        }
    }

    /// Notes whether it takes new work.
    pub fn set_draining(&mut self, key: TargetKey, draining: bool) {
        if let Some(target) = self.targets.get_mut(key) {
            target.draining = draining;
        }
    }

    /// Whether a request may be sent to a second target after the first may have begun it.
    pub fn is_repeatable(&self, key: RequestKey) -> bool {
        self.requests.get(key).is_some_and(|held| held.work.repeatable)
    }

    /// Requests held.
    pub fn held(&self) -> usize {
        self.requests.len()
    }

    /// Takes a request and chooses its target, or refuses it.
    pub fn submit(&mut self, now: Instant, work: RequestSpec) -> (RequestKey, Decision) {
        self.budget.earn();
        let key = self.requests.insert(Held { work, target: None, tried: Vec::new() });
        (key, self.choose(now, key, None))
    }

    /// A target refused a request: another may take it, within the budget of tries.
    pub fn refused(
        &mut self,
        now: Instant,
        key: RequestKey,
        refusal: Refusal,
        load: Load,
    ) -> Decision {
        let target = self.leave_target(now, key, Some(load));
        let hopeless = matches!(
            refusal.reason,
            RefusalReason::BadRequest | RefusalReason::KeyConflict | RefusalReason::LogDown
        );
        if refusal.reason == RefusalReason::NotLoaded
            && let Some(target) = target
            && let Some(owners) = self.owners_of(key)
        {
            owners.note_cold(target);
        }
        if hopeless || !self.budget.spend() {
            self.requests.remove(key);
            return Decision::Refuse(refusal);
        }
        self.choose(now, key, Some(refusal))
    }

    /// The connection to a request's target broke before anything of the answer came. `None` if
    /// it may have run and may not be repeated: then its caller must be told so.
    pub fn lost(&mut self, now: Instant, key: RequestKey, refusal: Refusal) -> Option<Decision> {
        let repeatable = self.is_repeatable(key);
        if let Some(target) = self.leave_target(now, key, None) {
            self.observe_health(target, |health, may_put_out| health.lost(now, may_put_out));
        }
        if !repeatable {
            self.requests.remove(key);
            return None;
        }
        if !self.budget.spend() {
            self.requests.remove(key);
            return Some(Decision::Refuse(refusal));
        }
        Some(self.choose(now, key, Some(refusal)))
    }

    /// Parts of an answer came in this time, between the first and the last.
    ///
    /// Made for one slow target among many. It gets less as its answers become slower, and a
    /// trickle beyond a limit, so that its recovery is seen. The length of the answer does not
    /// count: a target with long chats is not slow.
    pub fn progressed(&mut self, now: Instant, key: RequestKey, parts: u64, took: Duration) {
        let each = took / u32::try_from(parts).unwrap_or(u32::MAX).max(1);
        let Some(ratio) = self.owners_of(key).map(|owners| owners.usual.observe(each)) else {
            return;
        };
        if let Some(target) = self.requests.get(key).and_then(|held| held.target) {
            self.observe_health(target, |health, may_put_out| {
                health.observe(now, ratio, may_put_out);
            });
        }
    }

    /// A target said what is in its prefix cache.
    pub fn cache_event(&mut self, now: Instant, target: TargetKey, event: &CacheEvent) {
        self.prefixes.take(now, target, event);
    }

    /// A target told how busy it is.
    pub fn note_load(&mut self, now: Instant, target: TargetKey, load: Load) {
        if let Some(target) = self.targets.get_mut(target) {
            target.note_load(now, load);
        }
    }

    fn observe_health(&mut self, target: TargetKey, observe: impl FnOnce(&mut Health, bool)) {
        let may_put_out = (self.out.len() + 1) * health::MOST_OUT_DIVISOR <= self.targets.len();
        let Some(state) = self.targets.get_mut(target) else { return };
        observe(&mut state.health, may_put_out);
        if state.is_out() {
            self.out.insert(target);
        } else {
            self.out.remove(&target);
        }
    }

    fn owners_of(&mut self, key: RequestKey) -> Option<&mut Owners> {
        match &self.requests.get(key)?.work.requirement {
            Requirement::Weights { base, .. } => self.by_model.get_mut(&base.model),
            Requirement::Service(service) => self.by_service.get_mut(service),
        }
    }

    /// A request is over.
    pub fn finished(&mut self, now: Instant, key: RequestKey, load: Option<Load>) {
        let answered = load.is_some();
        let target = self.leave_target(now, key, load);
        if let Some(target) = target.filter(|_| answered)
            && let Some(owners) = self.owners_of(key)
        {
            owners.note_served(now, target);
        }
        self.requests.remove(key);
    }

    fn leave_target(
        &mut self,
        now: Instant,
        key: RequestKey,
        load: Option<Load>,
    ) -> Option<TargetKey> {
        let key = self.requests.get_mut(key).and_then(|held| held.target.take())?;
        let target = self.targets.get_mut(key)?;
        target.outstanding = target.outstanding.saturating_sub(1);
        if let Some(load) = load {
            target.note_load(now, load);
        }
        Some(key)
    }
}
