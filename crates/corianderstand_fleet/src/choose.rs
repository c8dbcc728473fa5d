//! Selects the target for one attempt of a request.
//!
//! Candidates are filtered by health, resident model and capacity. One is chosen by predicted time ([`by_time`]) where
//! that is asked for, and else the cheapest one.
//! Costs are fractions of a full batch: a cost of 0.1 equals the load of a tenth of a batch.

pub mod by_time;

use crate::{health, predict, targets};
use corianderstand_derives::derives;
use corianderstand_types::names;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3;

/// Cost of sending a request to another availability zone: 1.4 ms each way, and charged by the byte. A
/// larger difference in load goes first.
const CROSS_ZONE_COST: f64 = 0.05;
/// Cost saved per thousand prompt tokens that the target has in its prefix cache. Reading them again takes
/// about 26 ms, the work of some three steps of a full batch.
const CACHED_PREFIX_CREDIT_PER_1000_TOKENS: f64 = 0.12;
/// Weight of a target's failure score above the lowest among the candidates. A target that fails half of
/// its requests costs more than a full batch.
const FAILURE_SCORE_WEIGHT: f64 = 3.0;
/// Weight of a target's mean event interval relative to the shortest among the candidates. Some engines are
/// 1.3 times slower, and one whose streams pause for others' prompts shows it here first.
const SLOWDOWN_WEIGHT: f64 = 0.4;
const MAX_SLOWDOWN_RATIO: f64 = 4.0;
/// Largest pseudo-random cost, so that routers with the same view do not all choose the same target.
const JITTER_WEIGHT: f64 = 0.03;

/// Cost of a target that limits its requests; it is in need, and others take them at once.
const REQUEST_LIMIT_COST: f64 = 0.5;

/// Prefill backlog that costs as much as a full batch: streams pause, and a prompt sent there waits as long.
const FULL_PREFILL_BACKLOG: Duration = Duration::from_millis(250);

/// Model and optional adapter that a request names.
#[derives(name)]
pub struct RequestedModel {
    /// Base model.
    pub model: names::ModelId,
    /// Adapter to apply to the model.
    pub adapter: Option<names::AdapterId>,
}

/// Input for the choice of a target for one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Service selected by the route.
    pub service: &'a names::ServiceId,
    /// Requested model, if any.
    pub requested: Option<&'a RequestedModel>,
    /// Expected tokens of the prompt and the answer.
    pub tokens: u64,
    /// KV cache capacity of one engine in tokens; 0 if unlimited.
    pub cache_tokens: u64,
    /// Number of adapters that can be resident on one engine.
    pub adapter_slots: usize,
    /// Availability zone of this process.
    pub zone: &'a names::AvailabilityZoneId,
    /// Targets that earlier attempts of the request were sent to.
    pub tried: &'a [targets::TargetKey],
    /// Hash of the request.
    pub hash: u64,
    /// The only version that may serve the request; none if any may.
    pub version: Option<&'a names::SoftwareVersion>,
    /// Target with the longest cached prefix of the prompt, and the prefix's length in tokens.
    pub cached_prefix: Option<(targets::TargetKey, u64)>,
    /// What the request's times are predicted from; none if the choice does not go by time.
    pub work: Option<predict::Work>,
}

/// A target that can serve the request.
pub type Holder<'a> = (targets::TargetKey, &'a targets::Target);

/// Result of the choice.
#[derives(key)]
pub enum Choice {
    /// Send the attempt to this target.
    Send(targets::TargetKey),
    /// Load the adapter on this target, then send the attempt.
    LoadAdapter(targets::TargetKey),
    /// All targets that hold the model asked for rest, the first one until this time.
    Resting(Instant),
    /// All targets that hold the model are at capacity.
    Full,
    /// No target of the service holds the model.
    Cold,
    /// The service has no available target.
    NoTarget,
    /// No target of the version that the request needs is left.
    NoVersion,
}

/// Chooses a target for an attempt.
pub fn choose(now: Instant, targets: &targets::Targets, query: &Query) -> Choice {
    if query.version.is_some() && !has_version(targets, query) {
        return Choice::NoVersion;
    }
    let found = Found::among(now, targets, query);
    if !found.has_usable {
        return Choice::NoTarget;
    }
    if !found.has_holder {
        return Choice::Cold;
    }
    if !found.has_awake {
        return found.resting_until.map_or(Choice::NoTarget, Choice::Resting);
    }
    let with_capacity = found.without_wait(now);
    if with_capacity.is_empty() {
        return Choice::Full;
    }
    match query
        .requested
        .and_then(|requested| requested.adapter.as_ref().map(|adapter| (requested, adapter)))
    {
        None => best(now, &with_capacity, query).map_or(Choice::Full, Choice::Send),
        Some((requested, adapter)) => {
            choose_for_adapter(now, &with_capacity, query, requested, adapter)
        }
    }
}

/// Whether a target has the version that a request needs, if it needs one.
pub fn allows(version: Option<&names::SoftwareVersion>, target: &targets::Target) -> bool {
    version.is_none_or(|version| target.version() == Some(version))
}

/// Whether the service has a target of the version that takes the request, or may later.
fn has_version(targets: &targets::Targets, query: &Query) -> bool {
    targets.iter().any(|(key, target)| {
        let version = target.entry.version.as_ref();
        target.entry.service == *query.service
            && !target.is_leaving()
            && !query.tried.contains(&key)
            && version == query.version
    })
}

/// Prefers engines that hold the adapter, then engines without an ongoing command and with a free
/// adapter slot. Rendezvous hashing breaks ties, so that all routers load it on the same engine.
fn choose_for_adapter(
    now: Instant,
    holders: &[Holder],
    query: &Query,
    requested: &RequestedModel,
    adapter: &names::AdapterId,
) -> Choice {
    let has = |target: &targets::Target| {
        let resident = target.entry.holdings.resident(&requested.model);
        resident.is_some_and(|resident| resident.adapters.contains(adapter))
    };
    let ready: Vec<_> = holders.iter().copied().filter(|(_, target)| has(target)).collect();
    if let Some(key) = best(now, &ready, query) {
        return Choice::Send(key);
    }
    let rendezvous_hash = |target: &targets::Target| {
        let name = format!("{}/{}/{}", target.entry.id, requested.model, adapter);
        xxh3::xxh3_64(name.as_bytes())
    };
    let has_free_slot = |target: &targets::Target| {
        let resident = target.entry.holdings.resident.iter();
        resident.map(|resident| resident.adapters.len()).sum::<usize>() < query.adapter_slots
    };
    let healthy = holders
        .iter()
        .filter(|(_, target)| target.health.failure_score(now) < health::EJECTION_THRESHOLD);
    let preferred = healthy.max_by_key(|(_, target)| {
        (target.ongoing.is_none(), has_free_slot(target), rendezvous_hash(target))
    });
    let preferred = preferred.or(holders.first());
    preferred.map_or(Choice::Full, |(key, _)| Choice::LoadAdapter(*key))
}

/// What one pass over the targets finds: how far any of them comes, and those that can take the request.
#[derive(Default)]
struct Found<'a> {
    has_usable: bool,
    has_holder: bool,
    /// Whether any holder does not rest.
    has_awake: bool,
    /// When the first rest ends.
    resting_until: Option<Instant>,
    with_capacity: Vec<Holder<'a>>,
    /// Shortest and longest wait for a slot of these.
    waits: Option<(Duration, Duration)>,
}

impl<'a> Found<'a> {
    fn among(now: Instant, targets: &'a targets::Targets, query: &Query) -> Self {
        let with_capacity = Vec::with_capacity(targets.len());
        let mut found = Self { with_capacity, ..Self::default() };
        let service = query.service.as_str();
        let usable = targets.iter().filter(|(key, target)| {
            target.entry.service.as_str() == service
                && allows(query.version, target)
                && target.accepts_requests(now)
                && !query.tried.contains(key)
        });
        for (key, target) in usable {
            found.has_usable = true;
            if query.requested.is_some_and(|requested| !target.serves(now, &requested.model)) {
                continue;
            }
            found.has_holder = true;
            if let Some(until) = target.resting_until(now) {
                let earliest = found.resting_until.map_or(until, |earliest| earliest.min(until));
                found.resting_until = Some(earliest);
                continue;
            }
            found.has_awake = true;
            if has_capacity(now, target, query) {
                let wait = target.slot_wait(now);
                let (shortest, longest) = found.waits.unwrap_or((wait, wait));
                found.waits = Some((shortest.min(wait), longest.max(wait)));
                found.with_capacity.push((key, target));
            }
        }
        found
    }

    /// The targets that need not wait for a slot, or those with the shortest wait if there are none.
    fn without_wait(self, now: Instant) -> Vec<Holder<'a>> {
        let Self { mut with_capacity, waits, .. } = self;
        if let Some((shortest, longest)) = waits
            && shortest < longest
        {
            with_capacity.retain(|(_, target)| target.slot_wait(now) == shortest);
        }
        with_capacity
    }
}

/// Whether the target can start the request without queueing it.
fn has_capacity(now: Instant, target: &targets::Target, query: &Query) -> bool {
    let memory = query.cache_tokens == 0
        || target.estimated_tokens(now) + query.tokens <= query.cache_tokens;
    target.estimated_requests(now) < target.entry.slots.max(1) && memory
}

fn best(now: Instant, holders: &[Holder], query: &Query) -> Option<targets::TargetKey> {
    match &query.work {
        None => cheapest(now, holders, query),
        Some(work) => {
            let candidates = by_time::candidates(now, holders, query, work);
            by_time::draw(&candidates).map(|candidate| candidate.key)
        }
    }
}

fn cheapest(now: Instant, holders: &[Holder], query: &Query) -> Option<targets::TargetKey> {
    let failure_scores = holders.iter().map(|(_, target)| target.health.failure_score(now));
    let least_failure_score = failure_scores.fold(f64::INFINITY, f64::min);
    let intervals = holders.iter().filter_map(|(_, target)| target.event_interval.mean(now));
    let shortest_interval =
        intervals.min().map_or(f64::INFINITY, |interval| interval.as_secs_f64());
    let cost = |key: targets::TargetKey, target: &targets::Target| {
        let slots = f64::from(target.entry.slots.max(1));
        let batch = f64::from(target.estimated_requests(now)) / slots;
        let memory = match query.cache_tokens {
            0 => 0.0,
            capacity => (target.estimated_tokens(now) + query.tokens) as f64 / capacity as f64,
        };
        let zone = if target.entry.zone == *query.zone { 0.0 } else { CROSS_ZONE_COST };
        let failure_score =
            (target.health.failure_score(now) - least_failure_score) * FAILURE_SCORE_WEIGHT;
        let cached_prefix = match query.cached_prefix {
            Some((holder, tokens)) if holder == key => {
                tokens as f64 / 1_000.0 * CACHED_PREFIX_CREDIT_PER_1000_TOKENS
            }
            _ => 0.0,
        };
        let slowdown = target
            .event_interval
            .mean(now)
            .map_or(0.0, |interval| interval.as_secs_f64() / shortest_interval - 1.0);
        let slowdown = slowdown.clamp(0.0, MAX_SLOWDOWN_RATIO) * SLOWDOWN_WEIGHT;
        let jitter = (query.hash ^ xxh3::xxh3_64(target.entry.id.as_str().as_bytes())) % 1_000;
        let prefill =
            target.prefill_backlog(now).as_secs_f64() / FULL_PREFILL_BACKLOG.as_secs_f64();
        let limit = if target.request_limit.is_some() { REQUEST_LIMIT_COST } else { 0.0 };
        batch.max(memory) + prefill + limit + zone + failure_score + slowdown - cached_prefix
            + jitter as f64 / 1_000.0 * JITTER_WEIGHT
    };
    let costs = holders.iter().map(|&(key, target)| (cost(key, target), key));
    costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
}
