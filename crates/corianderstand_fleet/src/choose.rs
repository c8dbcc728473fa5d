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
const OTHER_ZONE: f64 = 0.05;
/// What a prompt's parts that a target has read are worth, for each thousand tokens: reading them
/// again takes about 26 ms, the work of some three steps of a full batch.
const READ_BEFORE_PER_THOUSAND: f64 = 0.12;
/// Weight of a target's trouble beyond that of its peers. One with half of its requests failing
/// costs more than a full batch.
const TROUBLE: f64 = 3.0;
/// Weight of a target's streams coming slower than those of the quickest that is considered: some
/// engines are 1.3 times slower, and one at whose streams others' prompts are read in between shows
/// it here first.
const SLOWER: f64 = 0.4;
/// A target counts as at most this many times slower.
const MOST_SLOWER: f64 = 4.0;
/// Share of a batch that differs between two targets without meaning: less is decided by hash, so
/// that routers with the same view do not all take the same target.
const JITTER: f64 = 0.03;

/// A target that reads prompts for this long yet costs as much as a full batch: its streams pause, and
/// a prompt sent there waits as long.
const FULL_READING: Duration = Duration::from_millis(250);

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
        Some(wanted) => {
            usable.into_iter().filter(|(_, target)| target.serves(now, &wanted.model)).collect()
        }
    };
    if holders.is_empty() {
        return Choice::Cold;
    }
    let with_room: Vec<_> =
        holders.into_iter().filter(|(_, target)| has_room(target, query)).collect();
    if with_room.is_empty() {
        return Choice::Full;
    }
    match query.requested.and_then(|wanted| wanted.adapter.as_ref().map(|adapter| (wanted, adapter))) {
        None => best(now, &with_room, query).map_or(Choice::Full, Choice::Send),
        Some((wanted, adapter)) => with_adapter(now, &with_room, query, wanted, adapter),
    }
}

/// Prefers engines that have the adapter; then those that can take an order for it and have a place left,
/// and among them by hash, so that all routers have it loaded at the same engine.
fn with_adapter(
    now: Instant,
    holders: &[(targets::TargetKey, &targets::Target)],
    query: &Query,
    wanted: &RequestedModel,
    adapter: &names::AdapterId,
) -> Choice {
    let has = |target: &targets::Target| {
        let resident = target.entry.holdings.resident(&wanted.model);
        resident.is_some_and(|resident| resident.adapters.contains(adapter))
    };
    let ready: Vec<_> = holders.iter().copied().filter(|(_, target)| has(target)).collect();
    if let Some(key) = best(now, &ready, query) {
        return Choice::Send(key);
    }
    let place = |target: &targets::Target| {
        let name = format!("{}/{}/{}", target.entry.id, wanted.model, adapter);
        xxh3::xxh3_64(name.as_bytes())
    };
    let has_place = |target: &targets::Target| {
        let resident = target.entry.holdings.resident.iter();
        resident.map(|resident| resident.adapters.len()).sum::<usize>() < query.adapter_slots
    };
    let well = holders.iter().filter(|(_, target)| target.health.failure_score(now) < health::EJECTION_THRESHOLD);
    // An engine that is carrying out an order takes none for an adapter meanwhile.
    let home =
        well.max_by_key(|(_, target)| (target.ongoing.is_none(), has_place(target), place(target)));
    let home = home.or(holders.first());
    home.map_or(Choice::Full, |(key, _)| Choice::LoadAdapter(*key))
}

/// Whether it can take the request without making it wait for another to end.
fn has_room(target: &targets::Target, query: &Query) -> bool {
    let memory = query.cache_tokens == 0 || target.tokens() + query.tokens <= query.cache_tokens;
    target.occupied() < target.entry.slots.max(1) && memory
}

fn best(
    now: Instant,
    holders: &[(targets::TargetKey, &targets::Target)],
    query: &Query,
) -> Option<targets::TargetKey> {
    let trouble = holders.iter().map(|(_, target)| target.health.failure_score(now));
    let least_trouble = trouble.fold(f64::INFINITY, f64::min);
    let paces = holders.iter().filter_map(|(_, target)| target.event_interval.mean(now));
    let quickest = paces.min().map_or(f64::INFINITY, |pace| pace.as_secs_f64());
    let cost = |key: targets::TargetKey, target: &targets::Target| {
        let slots = f64::from(target.entry.slots.max(1));
        let batch = f64::from(target.occupied()) / slots;
        let memory = match query.cache_tokens {
            0 => 0.0,
            all => (target.tokens() + query.tokens) as f64 / all as f64,
        };
        let zone = if target.entry.zone == *query.zone { 0.0 } else { OTHER_ZONE };
        let trouble = (target.health.failure_score(now) - least_trouble) * TROUBLE;
        let read = match query.cached_prefix {
            Some((there, tokens)) if there == key => {
                tokens as f64 / 1_000.0 * READ_BEFORE_PER_THOUSAND
            }
            _ => 0.0,
        };
        let slower =
            target.event_interval.mean(now).map_or(0.0, |pace| pace.as_secs_f64() / quickest - 1.0);
        let slower = slower.clamp(0.0, MOST_SLOWER) * SLOWER;
        let jitter = (query.hash ^ xxh3::xxh3_64(target.entry.id.as_str().as_bytes())) % 1_000;
        let reading = target.prefill_backlog(now).as_secs_f64() / FULL_READING.as_secs_f64();
        batch.max(memory) + reading + zone + trouble + slower - read
            + jitter as f64 / 1_000.0 * JITTER
    };
    let costs = holders.iter().map(|&(key, target)| (cost(key, target), key));
    costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
}
