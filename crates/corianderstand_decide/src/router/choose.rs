//! Selection of a target for a request, by estimated cost.

use super::{
    BalancingPolicy, Decision, MAX_ATTEMPTS, NO_TARGET_RETRY_AFTER, Router, Target, TargetKey,
    target_ring::TargetRing,
};
use crate::request::{Refusal, RequestKey, RequestSpec, Requirement};
use corianderstand_schema::messages::RefusalReason;
use rand::RngExt;
use std::time::{Duration, Instant};

const RING_CANDIDATES: usize = 3;
const RANDOM_CANDIDATES: usize = 2;
const MAX_RING_STEPS: usize = 8;
/// Includes the target with the cached prefix and the last warm target.
const MAX_CANDIDATES: usize = RING_CANDIDATES + RANDOM_CANDIDATES + 2;

/// Wait added by each request sent since a target's last load report.
const UNREPORTED_REQUEST_COST: Duration = Duration::from_millis(20);
const TYPICAL_RUN_TIME: Duration = Duration::from_millis(300);
const CROSS_ZONE_COST: Duration = Duration::from_millis(3);
const PREFIX_MISS_COST: Duration = Duration::from_millis(500);
const COLD_START_COST: Duration = Duration::from_secs(5);
const MIN_UNPROBED_URGENCY: u8 = 2;
const MAX_PROBE_CANDIDATES: usize = 4;
/// Cost of each step along the hash ring to a target that has to load the model.
const COLD_RING_STEP_COST: Duration = Duration::from_secs(1);
/// Cost of each step along the hash ring, which breaks ties alike on all routers.
const RING_STEP_COST: Duration = Duration::from_micros(100);

struct Candidates {
    keys: [TargetKey; MAX_CANDIDATES],
    count: usize,
}

impl Candidates {
    fn push(&mut self, key: TargetKey) {
        if self.count < MAX_CANDIDATES && !self.keys[..self.count].contains(&key) {
            self.keys[self.count] = key;
            self.count += 1;
        }
    }
}

impl Router {
    /// Sends a request to the candidate with the lowest estimated cost, or refuses it.
    ///
    /// All routers take the same candidates from the hash ring, so that they load a cold model at one
    /// target.
    pub(super) fn choose(
        &mut self,
        now: Instant,
        key: RequestKey,
        last: Option<Refusal>,
    ) -> Decision {
        let no_target =
            Refusal { reason: RefusalReason::NotLoaded, retry_after: NO_TARGET_RETRY_AFTER };
        let refusal = last.unwrap_or(no_target);
        let request = &self.requests[key];
        let exhausted = request.attempted.len() >= MAX_ATTEMPTS || now >= request.spec.deadline;
        let chosen = if exhausted { None } else { self.select_target(now, key) };
        let chosen = chosen.filter(|chosen| !self.is_futile_cold_start(now, key, *chosen, last));
        let Some(chosen) = chosen else {
            self.requests.remove(key);
            return Decision::Refuse(refusal);
        };
        self.record_sent(now, key, chosen);
        Decision::Send(chosen)
    }

    /// Returns whether a request refused for its deadline would start a load at `chosen` that can't
    /// finish in time. If the refusing target serves the model, the load is for later requests.
    fn is_futile_cold_start(
        &self,
        now: Instant,
        key: RequestKey,
        chosen: TargetKey,
        last: Option<Refusal>,
    ) -> bool {
        let request = &self.requests[key];
        let too_late = last.is_some_and(|refusal| refusal.reason == RefusalReason::Deadline);
        let Some(ring) = self.request_ring(&request.spec) else { return false };
        let loading = || {
            let refused_by = request.attempted.last();
            refused_by.is_none_or(|target| !ring.is_serving(now, *target))
        };
        too_late
            && matches!(request.spec.requirement, Requirement::Weights { .. })
            && !ring.is_warm(now, chosen)
            && loading()
    }

    fn record_sent(&mut self, now: Instant, key: RequestKey, chosen: TargetKey) {
        let target = &mut self.targets[chosen];
        target.outstanding += 1;
        target.sent_since_report += 1;
        target.health.record_sent(now);
        if let Some(ring) = self.request_ring_mut(key) {
            ring.mark_warm(now, chosen);
        }
        let request = &mut self.requests[key];
        request.target = Some(chosen);
        request.attempted.push(chosen);
        if let Some(prefix) = request.spec.shape.prefix {
            self.prefixes.record(now, prefix, chosen);
        }
    }

    fn select_target(&mut self, now: Instant, key: RequestKey) -> Option<TargetKey> {
        let seed = self.rng.random();
        let request = &self.requests[key];
        let ring = self.request_ring(&request.spec)?;
        if ring.len() == 0 {
            return None;
        }
        let usable = |key: TargetKey| {
            let target = self.targets.get(key);
            let open = target.is_some_and(|t| t.connected && !t.draining && t.health.accepts(now));
            open && !request.attempted.contains(&key)
        };
        if self.policy == BalancingPolicy::Random {
            let open: Vec<TargetKey> = ring.iter().filter(|key| usable(*key)).collect();
            return (!open.is_empty()).then(|| open[seed as usize % open.len()]);
        }
        if let Some(probed) = self.probe_targets(ring, &request.spec).find(|key| usable(*key)) {
            return Some(probed);
        }
        let candidates = self.candidates(now, ring, &request.spec, seed, &usable);
        let keys = candidates.keys[..candidates.count].iter().enumerate();
        let cost = |(rank, key): &(usize, &TargetKey)| {
            self.cost(now, **key, ring, &request.spec, *rank as u32)
        };
        let best = keys.min_by_key(cost).map(|(_, key)| *key);
        // No candidate is usable, as after the loss of a zone: fall back to any usable target.
        best.or_else(|| ring.iter().find(|key| usable(*key)))
    }

    /// Returns ejected targets that this request may probe: none if it is urgent or not repeatable.
    fn probe_targets(
        &self,
        ring: &TargetRing,
        spec: &RequestSpec,
    ) -> impl Iterator<Item = TargetKey> {
        let may_probe = spec.repeatable && spec.urgency < MIN_UNPROBED_URGENCY;
        let ejected = self.ejected.iter().take(if may_probe { MAX_PROBE_CANDIDATES } else { 0 });
        ejected.copied().filter(|key| ring.contains(*key))
    }

    fn request_ring(&self, spec: &RequestSpec) -> Option<&TargetRing> {
        match &spec.requirement {
            Requirement::Weights { base, .. } => self.by_model.get(&base.model),
            Requirement::Service(service) => self.by_service.get(service),
        }
    }

    fn candidates(
        &self,
        now: Instant,
        ring: &TargetRing,
        spec: &RequestSpec,
        seed: u64,
        usable: &impl Fn(TargetKey) -> bool,
    ) -> Candidates {
        let mut found = Candidates { keys: [TargetKey::default(); MAX_CANDIDATES], count: 0 };
        let cached = spec.shape.prefix.and_then(|prefix| self.prefixes.find(prefix));
        let mut add = |key: TargetKey| {
            if usable(key) {
                found.push(key);
            }
        };
        cached.into_iter().filter(|key| ring.contains(*key)).for_each(&mut add);
        ring.last_warm(now).into_iter().for_each(&mut add);
        let start = ring.index_of(ring_hash(spec, seed, ring.last_warm(now).is_some()));
        let steps = MAX_RING_STEPS.min(ring.len());
        let ring_targets = (start..start + steps).map(|index| ring.target_at(index));
        ring_targets.filter(|key| usable(*key)).take(RING_CANDIDATES).for_each(&mut add);
        let random = (0..RANDOM_CANDIDATES).map(|step| seed.rotate_left(step as u32 * 31) as usize);
        random.map(|index| ring.target_at(index % ring.len())).for_each(&mut add);
        found
    }

    fn cost(
        &self,
        now: Instant,
        key: TargetKey,
        ring: &TargetRing,
        spec: &RequestSpec,
        rank: u32,
    ) -> Duration {
        let target = &self.targets[key];
        let run = (TYPICAL_RUN_TIME + wait(now, target)).mul_f64(target.health.slowness(now));
        let mut cost = run + RING_STEP_COST * rank;
        // The zone of a cold target is ignored, so that routers of all zones load a model at one
        // target.
        if matches!(spec.requirement, Requirement::Weights { .. }) && !ring.is_warm(now, key) {
            return cost + COLD_START_COST + COLD_RING_STEP_COST * rank;
        }
        if target.zone != self.zone {
            cost += CROSS_ZONE_COST;
        }
        let cached = spec.shape.prefix.and_then(|prefix| self.prefixes.find(prefix));
        if spec.shape.prefix.is_some() && cached != Some(key) {
            cost += PREFIX_MISS_COST;
        }
        cost
    }
}

/// Estimates the wait at a target from its last report and the requests sent since.
fn wait(now: Instant, target: &Target) -> Duration {
    let reported = Duration::from_millis(target.load.wait_ms);
    let since =
        target.load_reported_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
    reported.saturating_sub(since) + UNREPORTED_REQUEST_COST * target.sent_since_report
}

/// Start on the hash ring: by prefix for a warm model, by model for a cold one, random for a service.
fn ring_hash(spec: &RequestSpec, seed: u64, warm: bool) -> u64 {
    match (&spec.requirement, spec.shape.prefix) {
        (Requirement::Service(_), _) => seed,
        (Requirement::Weights { .. }, Some(prefix)) if warm => prefix,
        (Requirement::Weights { base, .. }, _) => {
            xxhash_rust::xxh3::xxh3_64(base.model.as_str().as_bytes())
        }
    }
}
