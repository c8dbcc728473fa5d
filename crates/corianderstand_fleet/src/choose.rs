//! Which target gets one attempt of a request.
//!
//! The load it is made for: a few engines with large batches, of which some hold the model that is
//! wanted; a few plain services with few places each. The harm it prevents: requests to engines
//! that do not have the model, batches that slow every stream in them while others are half empty,
//! and requests that go on meeting a target that fails. Costs are in shares of a full batch, so
//! that each weight below can be read as "worth this much of a batch".

use crate::{health, targets};
use corianderstand_derives::derives;
use corianderstand_types::names;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3;

/// Another availability zone costs 1.4 ms each way and is charged by the byte; a twentieth of a
/// batch slows a step by less than that, so load goes first when it differs by more.
const CROSS_ZONE_COST: f64 = 0.05;
/// What a prompt's parts that a target has read are worth, for each thousand tokens: reading them
/// again takes about 26 ms, the work of some three steps of a full batch.
const CACHED_PREFIX_CREDIT_PER_1000_TOKENS: f64 = 0.12;
/// Weight of a target's trouble beyond that of its peers. One with half of its requests failing
/// costs more than a full batch.
const FAILURE_SCORE_WEIGHT: f64 = 3.0;
/// Weight of a target's streams coming slower than those of the quickest that is considered: some
/// engines are 1.3 times slower, and one at whose streams others' prompts are read in between shows
/// it here first.
const SLOWDOWN_WEIGHT: f64 = 0.4;
/// A target counts as at most this many times slower.
const MAX_SLOWDOWN_RATIO: f64 = 4.0;
/// Share of a batch that differs between two targets without meaning: less is decided by hash, so
/// that routers with the same view do not all take the same target.
const JITTER_WEIGHT: f64 = 0.03;

/// A target that reads prompts for this long yet costs as much as a full batch: its streams pause, and
/// a prompt sent there waits as long.
const FULL_PREFILL_BACKLOG: Duration = Duration::from_millis(250);

/// A model that a request wants.
#[derives(name)]
pub struct RequestedModel {
    /// The model.
    pub model: names::ModelId,
    /// An adapter of it.
    pub adapter: Option<names::AdapterId>,
}

/// One attempt that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service that the route leads to.
    pub service: &'a names::ServiceId,
    /// The model it wants, if any.
    pub requested: Option<&'a RequestedModel>,
    /// Tokens that it is expected to need in all.
    pub tokens: u64,
    /// Cache memory of one engine, in tokens.
    pub cache_tokens: u64,
    /// Adapters that one engine holds at once.
    pub adapter_slots: usize,
    /// Where this process stands.
    pub zone: &'a names::AvailabilityZoneId,
    /// Targets that the request has been to.
    pub tried: &'a [targets::TargetKey],
    /// A hash of the request.
    pub hash: u64,
    /// The target that last read parts of the prompt, and how many tokens.
    pub cached_prefix: Option<(targets::TargetKey, u64)>,
}

/// What to do with the attempt.
#[derives(key)]
pub enum Choice {
    /// Send it there.
    Send(targets::TargetKey),
    /// Have the adapter loaded there, then send it.
    LoadAdapter(targets::TargetKey),
    /// Targets hold the model, and none has room.
    Full,
    /// No target of the service holds the model.
    Cold,
    /// The service has no target that may be used.
    NoTarget,
}

/// Chooses a target.
pub fn choose(now: Instant, targets: &targets::Targets, query: &Query) -> Choice {
    let usable: Vec<_> = targets
        .iter()
        .filter(|(key, target)| {
            target.entry.service == *query.service
                && target.accepts_requests(now)
                && !query.tried.contains(key)
        })
        .collect();
    if usable.is_empty() {
        return Choice::NoTarget;
    }
    let holders: Vec<_> = match query.requested {
        None => usable,
        Some(requested) => {
            usable.into_iter().filter(|(_, target)| target.serves(now, &requested.model)).collect()
        }
    };
    if holders.is_empty() {
        return Choice::Cold;
    }
    let with_capacity: Vec<_> =
        holders.into_iter().filter(|(_, target)| has_capacity(target, query)).collect();
    if with_capacity.is_empty() {
        return Choice::Full;
    }
    match query
        .requested
        .and_then(|requested| requested.adapter.as_ref().map(|adapter| (requested, adapter)))
    {
        None => cheapest(now, &with_capacity, query).map_or(Choice::Full, Choice::Send),
        Some((requested, adapter)) => {
            choose_for_adapter(now, &with_capacity, query, requested, adapter)
        }
    }
}

/// Prefers engines that have the adapter; then those that can take an order for it and have a place left,
/// and among them by hash, so that all routers have it loaded at the same engine.
fn choose_for_adapter(
    now: Instant,
    holders: &[(targets::TargetKey, &targets::Target)],
    query: &Query,
    requested: &RequestedModel,
    adapter: &names::AdapterId,
) -> Choice {
    let has = |target: &targets::Target| {
        let resident = target.entry.holdings.resident(&requested.model);
        resident.is_some_and(|resident| resident.adapters.contains(adapter))
    };
    let ready: Vec<_> = holders.iter().copied().filter(|(_, target)| has(target)).collect();
    if let Some(key) = cheapest(now, &ready, query) {
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
    // An engine that is carrying out an order takes none for an adapter meanwhile.
    let preferred = healthy.max_by_key(|(_, target)| {
        (target.ongoing.is_none(), has_free_slot(target), rendezvous_hash(target))
    });
    let preferred = preferred.or(holders.first());
    preferred.map_or(Choice::Full, |(key, _)| Choice::LoadAdapter(*key))
}

/// Whether it can take the request without making it wait for another to end.
fn has_capacity(target: &targets::Target, query: &Query) -> bool {
    let memory = query.cache_tokens == 0 || target.tokens() + query.tokens <= query.cache_tokens;
    target.occupied() < target.entry.slots.max(1) && memory
}

fn cheapest(
    now: Instant,
    holders: &[(targets::TargetKey, &targets::Target)],
    query: &Query,
) -> Option<targets::TargetKey> {
    let failure_scores = holders.iter().map(|(_, target)| target.health.failure_score(now));
    let least_failure_score = failure_scores.fold(f64::INFINITY, f64::min);
    let intervals = holders.iter().filter_map(|(_, target)| target.event_interval.mean(now));
    let shortest_interval =
        intervals.min().map_or(f64::INFINITY, |interval| interval.as_secs_f64());
    let cost = |key: targets::TargetKey, target: &targets::Target| {
        let slots = f64::from(target.entry.slots.max(1));
        let batch = f64::from(target.occupied()) / slots;
        let memory = match query.cache_tokens {
            0 => 0.0,
            all => (target.tokens() + query.tokens) as f64 / all as f64,
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
        batch.max(memory) + prefill + zone + failure_score + slowdown - cached_prefix
            + jitter as f64 / 1_000.0 * JITTER_WEIGHT
    };
    let costs = holders.iter().map(|&(key, target)| (cost(key, target), key));
    costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
}
