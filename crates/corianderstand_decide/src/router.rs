//! Decisions at a router: which target a request goes to, and when to give up.

use crate::work::{Need, Refusal, RequestKey, Work};
use corianderstand_derives::derives;
use corianderstand_schema::messages::{Load, RefusalReason};
use corianderstand_types::names::{ModelId, PlaceId, ServiceId, TargetId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::BTreeMap,
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
    pub place: PlaceId,
    /// Whether there is a live connection to its agent.
    pub connected: bool,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Requests this router has there.
    pub outstanding: u32,
    /// Its load when it last told.
    pub load: Load,
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
    work: Work,
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
    place: PlaceId,
    targets: SlotMap<TargetKey, Target>,
    by_name: BTreeMap<TargetId, TargetKey>,
    by_model: BTreeMap<ModelId, Vec<TargetKey>>,
    by_service: BTreeMap<ServiceId, Vec<TargetKey>>,
    requests: SlotMap<RequestKey, Held>,
    rng: ChaCha8Rng,
}

impl Router {
    /// A router in `place`; `seed` fixes its random choices.
    pub fn new(place: PlaceId, seed: u64) -> Self {
        Self {
            place,
            targets: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            by_model: BTreeMap::new(),
            by_service: BTreeMap::new(),
            requests: SlotMap::with_key(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Notes a target; one that is known keeps its counts.
    pub fn add_target(&mut self, name: &TargetId, place: &PlaceId) -> TargetKey {
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
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Forgets a target.
    pub fn remove_target(&mut self, name: &TargetId) {
        if let Some(key) = self.by_name.remove(name) {
            self.targets.remove(key);
        }
    }

    /// Sets which targets own slots of each model.
    pub fn set_owners(&mut self, owners: BTreeMap<ModelId, Vec<TargetKey>>) {
        self.by_model = owners;
    }

    /// Sets which targets offer each service.
    pub fn set_services(&mut self, services: BTreeMap<ServiceId, Vec<TargetKey>>) {
        self.by_service = services;
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
    pub fn submit(&mut self, now: Instant, work: Work) -> (RequestKey, Decision) {
        let key = self.requests.insert(Held { work, target: None, tried: Vec::new() });
        (key, self.choose(now, key, None))
    }

    /// A target refused a request: another may take it.
    pub fn refused(
        &mut self,
        now: Instant,
        key: RequestKey,
        refusal: Refusal,
        load: Load,
    ) -> Decision {
        self.leave_target(key, Some(load));
        let hopeless = matches!(
            refusal.reason,
            RefusalReason::BadRequest | RefusalReason::KeyConflict | RefusalReason::LogDown
        );
        if hopeless {
            self.requests.remove(key);
            return Decision::Refuse(refusal);
        }
        self.choose(now, key, Some(refusal))
    }

    /// A request is over.
    pub fn finished(&mut self, key: RequestKey, load: Option<Load>) {
        self.leave_target(key, load);
        self.requests.remove(key);
    }

    fn leave_target(&mut self, key: RequestKey, load: Option<Load>) {
        let target = self.requests.get_mut(key).and_then(|held| held.target.take());
        let Some(target) = target.and_then(|target| self.targets.get_mut(target)) else { return };
        target.outstanding = target.outstanding.saturating_sub(1);
        if let Some(load) = load {
            target.load = load;
        }
    }

    /// Made for skew and stale reports: of two candidates taken at random the less busy one
    /// gets the request. Always taking the best would send all routers to the same target
    /// until its next report.
    fn choose(&mut self, now: Instant, key: RequestKey, last: Option<Refusal>) -> Decision {
        let held = &self.requests[key];
        let no_target = Refusal { reason: RefusalReason::NotLoaded, retry_after: RETRY_NO_TARGET };
        let refusal = last.unwrap_or(no_target);
        let open = self.candidates(held);
        if open.is_empty() || held.tried.len() >= MAX_TRIES || now >= held.work.deadline {
            self.requests.remove(key);
            return Decision::Refuse(refusal);
        }
        let first = open[self.rng.random_range(0..open.len())];
        let second = open[self.rng.random_range(0..open.len())];
        let chosen = if self.cost(second) < self.cost(first) { second } else { first };
        self.targets[chosen].outstanding += 1;
        let held = &mut self.requests[key];
        held.target = Some(chosen);
        held.tried.push(chosen);
        Decision::Send(chosen)
    }

    fn candidates(&self, held: &Held) -> Vec<TargetKey> {
        let all = match &held.work.need {
            Need::Weights { base, .. } => self.by_model.get(&base.model),
            Need::Service(service) => self.by_service.get(service),
        };
        let usable = |key: &&TargetKey| {
            let target = self.targets.get(**key);
            target.is_some_and(|t| t.connected && !t.draining) && !held.tried.contains(key)
        };
        all.into_iter().flatten().filter(usable).copied().collect()
    }

    fn cost(&self, key: TargetKey) -> (u64, u32, bool) {
        let target = &self.targets[key];
        (target.load.wait_ms, target.outstanding, target.place != self.place)
    }
}
