//! The choice among the targets that can serve a request.

use super::{
    Decision, MAX_TRIES, Placement, RETRY_NO_TARGET, Router, Target, TargetKey, owners::Owners,
};
use crate::request::{Refusal, RequestKey, RequestSpec, Requirement};
use corianderstand_schema::messages::RefusalReason;
use rand::RngExt;
use std::time::{Duration, Instant};

/// Targets looked at from a request's place on the ring: the first, and who takes over from it.
const RING_CANDIDATES: usize = 3;
/// Targets looked at at random, for when all those on the ring are busy.
const RANDOM_CANDIDATES: usize = 2;
/// Steps along the ring in search of candidates that can be used.
const RING_STEPS: usize = 8;
/// Most candidates: those of the ring, at random, cached, and warm.
const MAX_CANDIDATES: usize = RING_CANDIDATES + RANDOM_CANDIDATES + 2;

/// What one request adds to the wait at a target that has not told its load since. Reports lag;
/// without this a burst would all go where the last report was best.
const SENT_COST: Duration = Duration::from_millis(20);
/// Time of an ordinary answer, which a slow target multiplies.
const ORDINARY_RUN: Duration = Duration::from_millis(300);
/// A round trip to another availability zone.
const OTHER_PLACE_COST: Duration = Duration::from_millis(3);
/// Wait that is borne for the sake of a cached prompt: about what computing it again takes. It
/// bounds the load that a popular session draws to one target.
const PREFIX_WORTH: Duration = Duration::from_millis(500);
/// Wait that is borne rather than wake one more replica, whose load takes longer and whose
/// memory then stands idle. Beyond it the next replica is woken.
const WAKING_COST: Duration = Duration::from_secs(5);
/// Urgency of requests that are not sent to see whether a slow target is well again.
const URGENT: u8 = 2;
/// Slow targets looked at for one request, so that its decision takes bounded time.
const MAX_PROBED: usize = 4;
/// The same for a target that would have to load the model: a second replica is woken only if
/// the first has more to do than this.
const COLD_STEP_COST: Duration = Duration::from_secs(1);
/// What each step along the ring costs: just enough that routers agree when all else is alike.
const STEP_COST: Duration = Duration::from_micros(100);

/// The few targets that are weighed, each once.
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
    /// Made for bursts, skew and stale reports: what each of a few candidates would cost the
    /// request in time is weighed. All routers look at the same few first, so that the first
    /// requests for a cold model meet at one replica, and a session where its prompt is cached;
    /// looking at all would cost time with each target, and would send everybody to the same
    /// one until its next report.
    pub(super) fn choose(
        &mut self,
        now: Instant,
        key: RequestKey,
        last: Option<Refusal>,
    ) -> Decision {
        let no_target = Refusal { reason: RefusalReason::NotLoaded, retry_after: RETRY_NO_TARGET };
        let refusal = last.unwrap_or(no_target);
        let held = &self.requests[key];
        let over = held.tried.len() >= MAX_TRIES || now >= held.work.deadline;
        let chosen = if over { None } else { self.best(now, key) };
        let chosen = chosen.filter(|chosen| !self.would_wake_in_vain(now, key, *chosen, last));
        let Some(chosen) = chosen else {
            self.requests.remove(key);
            return Decision::Refuse(refusal);
        };
        self.note_sent(now, key, chosen);
        Decision::Send(chosen)
    }

    /// Made for a burst of first requests behind a slow store: a request that came too late for
    /// the load at one replica is too late for a load at another, and asking there would only
    /// load the model once more for nobody. A replica that answers others meanwhile has the model
    /// and too much to do: the next one is woken then, for those who come after. Its told wait does
    /// not show that, as it holds no more than it can serve in time; of 61,975 requests in a minute
    /// of overload 61,568 were refused while the second replica slept.
    fn would_wake_in_vain(
        &self,
        now: Instant,
        key: RequestKey,
        chosen: TargetKey,
        last: Option<Refusal>,
    ) -> bool {
        let held = &self.requests[key];
        let too_late = last.is_some_and(|refusal| refusal.reason == RefusalReason::Deadline);
        let Some(owners) = self.owners(&held.work) else { return false };
        let loading = || {
            let refused_by = held.tried.last();
            refused_by.is_none_or(|target| !owners.is_serving(now, *target))
        };
        too_late
            && matches!(held.work.requirement, Requirement::Weights { .. })
            && !owners.is_warm(now, chosen)
            && loading()
    }

    fn note_sent(&mut self, now: Instant, key: RequestKey, chosen: TargetKey) {
        let target = &mut self.targets[chosen];
        target.outstanding += 1;
        target.sent_since_told += 1;
        target.health.sent(now);
        if let Some(owners) = self.owners_of(key) {
            owners.note_warm(now, chosen);
        }
        let held = &mut self.requests[key];
        held.target = Some(chosen);
        held.tried.push(chosen);
        if let Some(prefix) = held.work.shape.prefix {
            self.prefixes.note(now, prefix, chosen);
        }
    }

    fn best(&mut self, now: Instant, key: RequestKey) -> Option<TargetKey> {
        let seed = self.rng.random();
        let held = &self.requests[key];
        let owners = self.owners(&held.work)?;
        if owners.len() == 0 {
            return None;
        }
        let usable = |key: TargetKey| {
            let target = self.targets.get(key);
            let open = target.is_some_and(|t| t.connected && !t.draining && t.health.takes(now));
            open && !held.tried.contains(&key)
        };
        if self.placement == Placement::Random {
            let open: Vec<TargetKey> = owners.iter().filter(|key| usable(*key)).collect();
            return (!open.is_empty()).then(|| open[seed as usize % open.len()]);
        }
        if let Some(probed) = self.probed(owners, &held.work).find(|key| usable(*key)) {
            return Some(probed);
        }
        let candidates = self.candidates(now, owners, &held.work, seed, &usable);
        let keys = candidates.keys[..candidates.count].iter().enumerate();
        let cost = |(rank, key): &(usize, &TargetKey)| {
            self.cost(now, **key, owners, &held.work, *rank as u32)
        };
        let best = keys.min_by_key(cost).map(|(_, key)| *key);
        // None of the few can be used, as after the loss of a place: then all are looked at.
        best.or_else(|| owners.iter().find(|key| usable(*key)))
    }

    /// A slow target whose turn it is to be tried again. Its recovery shows only in an answer, so
    /// now and then a request goes there whatever it costs: one that is not urgent and may be
    /// tried elsewhere.
    fn probed(&self, owners: &Owners, work: &RequestSpec) -> impl Iterator<Item = TargetKey> {
        let bears = work.repeatable && work.urgency < URGENT;
        let out = self.out.iter().take(if bears { MAX_PROBED } else { 0 });
        out.copied().filter(|key| owners.contains(*key))
    }

    fn owners(&self, work: &RequestSpec) -> Option<&Owners> {
        match &work.requirement {
            Requirement::Weights { base, .. } => self.by_model.get(&base.model),
            Requirement::Service(service) => self.by_service.get(service),
        }
    }

    fn candidates(
        &self,
        now: Instant,
        owners: &Owners,
        work: &RequestSpec,
        seed: u64,
        usable: &impl Fn(TargetKey) -> bool,
    ) -> Candidates {
        let mut found = Candidates { keys: [TargetKey::default(); MAX_CANDIDATES], count: 0 };
        let cached = work.shape.prefix.and_then(|prefix| self.prefixes.find(prefix));
        let mut take = |key: TargetKey| {
            if usable(key) {
                found.push(key);
            }
        };
        cached.into_iter().filter(|key| owners.contains(*key)).for_each(&mut take);
        owners.warm(now).into_iter().for_each(&mut take);
        let start = owners.index_of(ring_hash(work, seed, owners.warm(now).is_some()));
        let steps = RING_STEPS.min(owners.len());
        let ring = (start..start + steps).map(|index| owners.at(index));
        ring.filter(|key| usable(*key)).take(RING_CANDIDATES).for_each(&mut take);
        let random = (0..RANDOM_CANDIDATES).map(|step| seed.rotate_left(step as u32 * 31) as usize);
        random.map(|index| owners.at(index % owners.len())).for_each(&mut take);
        found
    }

    fn cost(
        &self,
        now: Instant,
        key: TargetKey,
        owners: &Owners,
        work: &RequestSpec,
        rank: u32,
    ) -> Duration {
        let target = &self.targets[key];
        let run = (ORDINARY_RUN + wait(now, target)).mul_f64(target.health.slowness(now));
        let mut cost = run + STEP_COST * rank;
        // Where a model is loaded, routers of all places must agree; a round trip is nothing to
        // a load, and each place for itself would load it once more.
        if matches!(work.requirement, Requirement::Weights { .. }) && !owners.is_warm(now, key) {
            return cost + WAKING_COST + COLD_STEP_COST * rank;
        }
        if target.place != self.place {
            cost += OTHER_PLACE_COST;
        }
        let cached = work.shape.prefix.and_then(|prefix| self.prefixes.find(prefix));
        if work.shape.prefix.is_some() && cached != Some(key) {
            cost += PREFIX_WORTH;
        }
        cost
    }
}

/// The wait at a target: what it told, less the time since, and what was sent there since.
fn wait(now: Instant, target: &Target) -> Duration {
    let told = Duration::from_millis(target.load.wait_ms);
    let since = target.told.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
    told.saturating_sub(since) + SENT_COST * target.sent_since_told
}

/// Requests of one session meet at one place of the ring, and the first requests of all sessions
/// of a cold model at another; calls to plain services, which have nothing to load, spread.
fn ring_hash(work: &RequestSpec, seed: u64, warm: bool) -> u64 {
    match (&work.requirement, work.shape.prefix) {
        (Requirement::Service(_), _) => seed,
        (Requirement::Weights { .. }, Some(prefix)) if warm => prefix,
        (Requirement::Weights { base, .. }, _) => {
            xxhash_rust::xxh3::xxh3_64(base.model.as_str().as_bytes())
        }
    }
}
