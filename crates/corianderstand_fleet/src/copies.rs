//! Decides which streams get a copy of their KV cache at a second engine, and at which one.
//!
//! A copy moves every token of its stream and occupies memory at the second engine for as long as the stream runs. A
//! stream that may be resumed loses no more than that by the end of its engine, as another one reads the same tokens
//! again; engines end seldom, so that copies of such streams cost more than they save. What remains are streams that
//! end with their engine. The lower the rank of its route, the smaller the part of the copies that a stream may use.

use crate::{choose, config, health, targets};
use corianderstand_types::names;
use std::{cmp::Reverse, collections::HashMap, time::Instant};
use xxhash_rust::xxh3;

/// Streams of one router that have copies at the same time.
pub const MAX_COPIES: u32 = 512;
/// Copies of one router at one engine at the same time.
pub const MAX_COPIES_PER_ENGINE: u32 = 32;
/// Part of an engine's KV cache that copies of one router may take.
const MAX_COPIED_RATIO: f64 = 0.25;
/// Part of an engine's KV cache that may be in use with the copy.
const MAX_FILL_RATIO: f64 = 0.8;
/// A stream of fewer tokens is over by the time that the first parts of its copy have arrived.
const MIN_OUTPUT_TOKENS: u64 = 48;
/// An engine that takes this multiple of the usual time would be slow to go on.
const MAX_SLOWDOWN: f64 = 2.0;
/// Lower ranks count as this one.
const LOWEST_RANK: u32 = 4;

/// A stream that is about to be sent to an engine.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Service selected by the route.
    pub service: &'a names::ServiceId,
    /// The requested model.
    pub requested: &'a choose::RequestedModel,
    /// The engine that is to run it.
    pub runs_at: targets::TargetKey,
    /// Whether another engine may take the stream up without a copy.
    pub may_resume: bool,
    /// Rank of its route; 0 is the highest.
    pub priority: u8,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Expected tokens of the response.
    pub output_tokens: u64,
    /// KV cache capacity of one engine in tokens; 0 if unlimited.
    pub cache_tokens: u64,
    /// What engines of the service can do.
    pub support: config::CacheSupport,
    /// Hash of the request.
    pub hash: u64,
}

impl Query<'_> {
    /// Tokens that the copy will hold.
    pub const fn tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}

/// Why a stream gets no copy.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Denial {
    /// Engines of the service keep no copies.
    NotOffered,
    /// Another engine may take the stream up without one.
    Resumable,
    /// The stream is short.
    Short,
    /// Too many copies.
    TooMany,
    /// The software version of its engine is not known.
    NoVersion,
    /// No second engine can go on.
    NoSecondEngine,
    /// No second engine has room.
    NoRoom,
}

impl Denial {
    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotOffered => "engines of the service keep no copies",
            Self::Resumable => "another engine may take the stream up without one",
            Self::Short => "the stream is short",
            Self::TooMany => "too many copies",
            Self::NoVersion => "the software version of its engine is not known",
            Self::NoSecondEngine => "no second engine holds the model",
            Self::NoRoom => "no second engine has room",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct EngineUsage {
    copies: u32,
    tokens: u64,
}

/// The copies of one router.
#[derive(Debug, Default)]
pub struct Usage {
    by_engine: HashMap<targets::TargetKey, EngineUsage>,
    copies: u32,
}

impl Usage {
    /// Number of copies.
    pub const fn copies(&self) -> u32 {
        self.copies
    }

    /// Counts a copy at an engine.
    pub fn add(&mut self, key: targets::TargetKey, tokens: u64) {
        let engine = self.by_engine.entry(key).or_default();
        engine.copies += 1;
        engine.tokens += tokens;
        self.copies += 1;
    }

    /// Counts a copy as gone.
    pub fn remove(&mut self, key: targets::TargetKey, tokens: u64) {
        let Some(engine) = self.by_engine.get_mut(&key) else { return };
        engine.copies = engine.copies.saturating_sub(1);
        engine.tokens = engine.tokens.saturating_sub(tokens);
        self.copies = self.copies.saturating_sub(1);
        if engine.copies == 0 {
            self.by_engine.remove(&key);
        }
    }

    fn of(&self, key: targets::TargetKey) -> EngineUsage {
        self.by_engine.get(&key).copied().unwrap_or_default()
    }
}

/// Chooses the engine that keeps a copy of the stream's KV cache.
pub fn place(
    now: Instant,
    targets: &targets::Targets,
    usage: &Usage,
    query: &Query,
) -> Result<targets::TargetKey, Denial> {
    if !query.support.copies || query.support.copy_ttl.is_zero() {
        return Err(Denial::NotOffered);
    }
    if query.may_resume {
        return Err(Denial::Resumable);
    }
    if query.output_tokens < MIN_OUTPUT_TOKENS {
        return Err(Denial::Short);
    }
    if usage.copies >= max_copies(query.priority) {
        return Err(Denial::TooMany);
    }
    let source = targets.get(query.runs_at).ok_or(Denial::NoVersion)?;
    if source.version().is_none() {
        return Err(Denial::NoVersion);
    }
    let able: Vec<_> =
        targets.iter().filter(|(_, target)| can_go_on(now, source, target, query)).collect();
    if able.is_empty() {
        return Err(Denial::NoSecondEngine);
    }
    let with_room =
        able.into_iter().filter(|(key, target)| has_room(now, target, usage.of(*key), query));
    let rank = |key: targets::TargetKey, target: &targets::Target| {
        let is_far = target.entry.zone != source.entry.zone;
        let fill = target.estimated_tokens(now) + usage.of(key).tokens;
        let draw = query.hash ^ xxh3::xxh3_64(target.entry.id.as_str().as_bytes());
        // Of nearly equal ones any, so that routers with the same view do not all choose the same.
        (is_far, fill / query.tokens().max(1), Reverse(draw))
    };
    let least = with_room.min_by_key(|(key, target)| rank(*key, target));
    least.map(|(key, _)| key).ok_or(Denial::NoRoom)
}

/// Copies that streams of a rank may use: half as many for each rank below the highest.
const fn max_copies(priority: u8) -> u32 {
    let rank = if (priority as u32) < LOWEST_RANK { priority as u32 } else { LOWEST_RANK };
    MAX_COPIES >> rank
}

/// Whether an engine could go on with a stream of another one.
fn can_go_on(
    now: Instant,
    source: &targets::Target,
    target: &targets::Target,
    query: &Query,
) -> bool {
    let has_adapter = query.requested.adapter.as_ref().is_none_or(|adapter| {
        let resident = target.entry.holdings.resident(&query.requested.model);
        resident.is_some_and(|resident| resident.adapters.contains(adapter))
    });
    target.entry.service == *query.service
        && target.entry.addr.ip() != source.entry.addr.ip()
        && target.entry.id != source.entry.id
        && target.version().is_some()
        && target.version() == source.version()
        && target.accepts_requests(now)
        && target.shutdown_at.is_none()
        && target.resting_until(now).is_none()
        && target.request_limit.is_none()
        && target.serves(now, &query.requested.model)
        && has_adapter
        && target.health.failure_score(now) < health::EJECTION_THRESHOLD
        && target.pace.slowdown(now) <= MAX_SLOWDOWN
}

fn has_room(now: Instant, target: &targets::Target, used: EngineUsage, query: &Query) -> bool {
    if used.copies >= MAX_COPIES_PER_ENGINE {
        return false;
    }
    if query.cache_tokens == 0 {
        return true;
    }
    let capacity = query.cache_tokens as f64;
    let copied = used.tokens.saturating_add(query.tokens());
    let filled = target.estimated_tokens(now).saturating_add(copied);
    copied as f64 <= capacity * MAX_COPIED_RATIO && filled as f64 <= capacity * MAX_FILL_RATIO
}
