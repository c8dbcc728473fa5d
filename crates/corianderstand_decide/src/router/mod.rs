//! Routing decisions: which target a request is sent to, and when it is refused.
//!
//! [`Router`] compares a few candidates by the time that each would cost the request: queueing,
//! slowness, a cold start, another zone, a prefix cache miss.

mod budget;
mod choose;
mod health;
mod prefixes;
mod target_ring;
#[cfg(test)]
mod tests;

use crate::request::{Refusal, RequestKey, RequestSpec, Requirement};
use budget::RetryBudget;
use corianderstand_derives::derives;
use corianderstand_schema::messages::{Load, RefusalReason};
use corianderstand_types::names::{AvailabilityZoneId, ModelId, ServiceId, TargetId};
use health::Health;
pub use prefixes::CacheEvent;
use prefixes::PrefixIndex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::Hash,
    time::{Duration, Instant},
};
use target_ring::TargetRing;

new_key_type! {
    /// A target known to this router.
    pub struct TargetKey;
}

/// A router's state of one target.
#[derives(data)]
pub struct Target {
    /// The target's name.
    pub name: TargetId,
    /// The target's availability zone.
    pub zone: AvailabilityZoneId,
    /// Whether the connection to its agent is up.
    pub connected: bool,
    /// Whether the target is shutting down and accepts no new requests.
    pub draining: bool,
    /// Requests that this router has sent and that haven't ended.
    pub outstanding: u32,
    /// The last reported load.
    pub load: Load,
    load_reported_at: Option<Instant>,
    sent_since_report: u32,
    health: Health,
}

impl Target {
    /// Returns whether it is ejected for slow progress and gets probe requests only.
    pub const fn is_ejected(&self) -> bool {
        self.health.is_ejected()
    }

    fn record_load(&mut self, now: Instant, load: Load) {
        self.load = load;
        self.load_reported_at = Some(now);
        self.sent_since_report = 0;
    }
}

/// How a target is selected.
#[derives(key)]
#[derive(Default)]
pub enum BalancingPolicy {
    /// The candidate with the lowest estimated cost.
    #[default]
    LeastCost,
    /// Any usable target, at random: the baseline of the benchmarks.
    Random,
}

/// What to do with a request.
#[derives(data)]
#[derive(Copy, Eq)]
pub enum Decision {
    /// Send it to a target.
    Send(TargetKey),
    /// Refuse it.
    Refuse(Refusal),
}

#[derives(data)]
struct PendingRequest {
    spec: RequestSpec,
    target: Option<TargetKey>,
    attempted: Vec<TargetKey>,
}

/// Targets that a request is sent to before it is refused; bounds the load of retries.
pub const MAX_ATTEMPTS: usize = 3;
/// Retry delay while no target serves the model or service.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Selects targets for requests, and tracks what the selection depends on.
#[derive(Clone, Debug)]
pub struct Router {
    zone: AvailabilityZoneId,
    targets: SlotMap<TargetKey, Target>,
    by_name: BTreeMap<TargetId, TargetKey>,
    policy: BalancingPolicy,
    by_model: HashMap<ModelId, TargetRing>,
    by_service: HashMap<ServiceId, TargetRing>,
    prefixes: PrefixIndex,
    retry_budget: RetryBudget,
    ejected: BTreeSet<TargetKey>,
    requests: SlotMap<RequestKey, PendingRequest>,
    rng: ChaCha8Rng,
}

impl Router {
    /// Creates a router in `zone`; `seed` makes its random choices reproducible.
    pub fn new(zone: AvailabilityZoneId, seed: u64) -> Self {
        Self::with_policy(zone, seed, BalancingPolicy::default())
    }

    /// Creates a router with a balancing policy.
    pub fn with_policy(zone: AvailabilityZoneId, seed: u64, policy: BalancingPolicy) -> Self {
        Self {
            zone,
            policy,
            targets: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            by_model: HashMap::new(),
            by_service: HashMap::new(),
            prefixes: PrefixIndex::default(),
            retry_budget: RetryBudget::default(),
            ejected: BTreeSet::new(),
            requests: SlotMap::with_key(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Adds a target; a known target keeps its state.
    pub fn add_target(&mut self, name: &TargetId, zone: &AvailabilityZoneId) -> TargetKey {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let load = Load { running: 0, queued: 0, wait_ms: 0 };
        let key = self.targets.insert(Target {
            name: name.clone(),
            zone: zone.clone(),
            connected: false,
            draining: false,
            outstanding: 0,
            load,
            load_reported_at: None,
            sent_since_report: 0,
            health: Health::default(),
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Removes a target.
    pub fn remove_target(&mut self, name: &TargetId) {
        if let Some(key) = self.by_name.remove(name) {
            self.prefixes.invalidate_target(key);
            self.targets.remove(key);
            self.ejected.remove(&key);
        }
    }

    /// Sets the targets that own replica slots of each model.
    pub fn set_replica_slot_owners(&mut self, owners: BTreeMap<ModelId, Vec<TargetKey>>) {
        let known = std::mem::take(&mut self.by_model);
        self.by_model = self.build_rings(known, owners);
    }

    /// Sets the targets that offer each service.
    pub fn set_services(&mut self, services: BTreeMap<ServiceId, Vec<TargetKey>>) {
        let known = std::mem::take(&mut self.by_service);
        self.by_service = self.build_rings(known, services);
    }

    fn build_rings<K: Ord + Hash>(
        &self,
        mut known: HashMap<K, TargetRing>,
        targets_by_key: BTreeMap<K, Vec<TargetKey>>,
    ) -> HashMap<K, TargetRing> {
        let hash = |key: TargetKey| {
            let name = self.targets.get(key).map_or("", |target| target.name.as_str());
            (xxhash_rust::xxh3::xxh3_64(name.as_bytes()), key)
        };
        let ring = |(name, keys): (K, Vec<TargetKey>)| {
            let mut ring = known.remove(&name).unwrap_or_default();
            ring.set_targets(keys.into_iter().map(hash).collect());
            (name, ring)
        };
        targets_by_key.into_iter().map(ring).collect()
    }

    /// Returns the key of a target.
    pub fn target(&self, name: &TargetId) -> Option<TargetKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the state of a target.
    pub fn target_state(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Iterates over all targets.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Sets whether the connection to a target's agent is up.
    pub fn set_connected(&mut self, key: TargetKey, connected: bool) {
        if let Some(target) = self.targets.get_mut(key) {
            target.connected = connected;
        }
    }

    /// Sets whether a target is draining.
    pub fn set_draining(&mut self, key: TargetKey, draining: bool) {
        if let Some(target) = self.targets.get_mut(key) {
            target.draining = draining;
        }
    }

    /// Returns whether a request may be retried after a target may have started it.
    pub fn is_repeatable(&self, key: RequestKey) -> bool {
        self.requests.get(key).is_some_and(|request| request.spec.repeatable)
    }

    /// Returns the number of requests that haven't ended.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Accepts a request and sends it to a target, or refuses it.
    pub fn submit(&mut self, now: Instant, spec: RequestSpec) -> (RequestKey, Decision) {
        self.retry_budget.deposit();
        let key =
            self.requests.insert(PendingRequest { spec, target: None, attempted: Vec::new() });
        (key, self.choose(now, key, None))
    }

    /// Retries a refused request at another target, if the reason and the retry budget allow it.
    pub fn refused(
        &mut self,
        now: Instant,
        key: RequestKey,
        refusal: Refusal,
        load: Load,
    ) -> Decision {
        let target = self.release_target(now, key, Some(load));
        let is_final = matches!(
            refusal.reason,
            RefusalReason::BadRequest | RefusalReason::KeyConflict | RefusalReason::LogDown
        );
        if refusal.reason == RefusalReason::NotLoaded
            && let Some(target) = target
            && let Some(ring) = self.request_ring_mut(key)
        {
            ring.mark_cold(target);
        }
        if is_final || !self.retry_budget.try_withdraw() {
            self.requests.remove(key);
            return Decision::Refuse(refusal);
        }
        self.choose(now, key, Some(refusal))
    }

    /// Handles the loss of the connection to a request's target. Returns `None` if the request
    /// isn't repeatable and may have run.
    pub fn connection_lost(
        &mut self,
        now: Instant,
        key: RequestKey,
        refusal: Refusal,
    ) -> Option<Decision> {
        let repeatable = self.is_repeatable(key);
        if let Some(target) = self.release_target(now, key, None) {
            self.observe_health(target, |health, may_eject| health.observe_loss(now, may_eject));
        }
        if !repeatable {
            self.requests.remove(key);
            return None;
        }
        if !self.retry_budget.try_withdraw() {
            self.requests.remove(key);
            return Some(Decision::Refuse(refusal));
        }
        Some(self.choose(now, key, Some(refusal)))
    }

    /// Records for the target's health that `parts` of a response took `took`.
    pub fn progressed(&mut self, now: Instant, key: RequestKey, parts: u64, took: Duration) {
        let time_per_part = took / u32::try_from(parts).unwrap_or(u32::MAX).max(1);
        let Some(ratio) =
            self.request_ring_mut(key).map(|ring| ring.baseline.observe(time_per_part))
        else {
            return;
        };
        if let Some(target) = self.requests.get(key).and_then(|request| request.target) {
            self.observe_health(target, |health, may_eject| {
                health.observe(now, ratio, may_eject);
            });
        }
    }

    /// Applies an event of a target's prefix cache.
    pub fn apply_cache_event(&mut self, now: Instant, target: TargetKey, event: &CacheEvent) {
        self.prefixes.apply_event(now, target, event);
    }

    /// Records the load that a target has reported.
    pub fn record_load(&mut self, now: Instant, target: TargetKey, load: Load) {
        if let Some(target) = self.targets.get_mut(target) {
            target.record_load(now, load);
        }
    }

    fn observe_health(&mut self, target: TargetKey, observe: impl FnOnce(&mut Health, bool)) {
        let may_eject =
            (self.ejected.len() + 1) * health::MAX_EJECTED_DIVISOR <= self.targets.len();
        let Some(state) = self.targets.get_mut(target) else { return };
        observe(&mut state.health, may_eject);
        if state.is_ejected() {
            self.ejected.insert(target);
        } else {
            self.ejected.remove(&target);
        }
    }

    fn request_ring_mut(&mut self, key: RequestKey) -> Option<&mut TargetRing> {
        match &self.requests.get(key)?.spec.requirement {
            Requirement::Weights { base, .. } => self.by_model.get_mut(&base.model),
            Requirement::Service(service) => self.by_service.get_mut(service),
        }
    }

    /// Removes a request that has ended; `load` is given if its target completed the response.
    pub fn finished(&mut self, now: Instant, key: RequestKey, load: Option<Load>) {
        let answered = load.is_some();
        let target = self.release_target(now, key, load);
        if let Some(target) = target.filter(|_| answered)
            && let Some(ring) = self.request_ring_mut(key)
        {
            ring.mark_served(now, target);
        }
        self.requests.remove(key);
    }

    fn release_target(
        &mut self,
        now: Instant,
        key: RequestKey,
        load: Option<Load>,
    ) -> Option<TargetKey> {
        let key = self.requests.get_mut(key).and_then(|request| request.target.take())?;
        let target = self.targets.get_mut(key)?;
        target.outstanding = target.outstanding.saturating_sub(1);
        if let Some(load) = load {
            target.record_load(now, load);
        }
        Some(key)
    }
}
