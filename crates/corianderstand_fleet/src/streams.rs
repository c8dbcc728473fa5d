//! Where streams began, and which software versions serve a service.
//!
//! What engines of two software versions write doesn't fit together, so that a stream goes on only at the version that
//! began it. Each router remembers where the streams began that it forwarded, and what other routers tell it. Without
//! such a memory the version is known only if the service has had no other one for as long as streams are
//! remembered ([`VersionHistory::sole`]).

use crate::targets;
use corianderstand_derives::derives;
use corianderstand_types::names;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};
use xxhash_rust::xxh3;

/// Time for which a stream's origin is kept: as long as callers wait for a stream, with all of their new tries.
pub const ORIGIN_TTL: Duration = Duration::from_secs(30);
/// Some 8 MB. A router forwards some 25 streams a second; what exceeds this are the oldest.
const MAX_ORIGINS: usize = 1 << 16;

/// Identifies a stream: a hash of the id of the request that brought its first event.
#[derives(key)]
#[derive(Default)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The key of the stream that a request began.
    pub fn of(request_id: &str) -> Self {
        Self(xxh3::xxh3_64(request_id.as_bytes()))
    }
}

/// Where a stream began.
#[derives(data)]
pub struct Origin {
    /// Service of the target.
    pub service: names::ServiceId,
    /// The target.
    pub target: targets::Incarnation,
    /// Its software version, if it was known.
    pub version: Option<names::SoftwareVersion>,
}

#[derive(Clone, Debug)]
struct Kept {
    origin: Origin,
    at: Instant,
}

/// Origins of streams that began lately.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    by_key: HashMap<StreamKey, Kept>,
    oldest_first: VecDeque<(Instant, StreamKey)>,
}

impl Origins {
    /// Records where a stream began. What is known already stays, but for a version that was unknown.
    pub fn record(&mut self, now: Instant, key: StreamKey, origin: Origin) {
        self.expire(now);
        let kept =
            self.by_key.entry(key).or_insert_with(|| Kept { origin: origin.clone(), at: now });
        if kept.origin.version.is_none() && kept.origin.target.matches(&origin.target) {
            kept.origin.version = origin.version;
        }
        kept.at = now;
        self.oldest_first.push_back((now, key));
    }

    /// Where a stream began, and the time since it was last recorded.
    pub fn get(&self, now: Instant, key: StreamKey) -> Option<(&Origin, Duration)> {
        let kept = self.by_key.get(&key)?;
        let age = now.saturating_duration_since(kept.at);
        (age < ORIGIN_TTL).then_some((&kept.origin, age))
    }

    /// The streams of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a names::ServiceId,
    ) -> impl Iterator<Item = (StreamKey, &'a Origin)> {
        let of_service = self.by_key.iter().filter(|(_, kept)| kept.origin.service == *service);
        of_service.map(|(key, kept)| (*key, &kept.origin))
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, key)) = self.oldest_first.front().copied() {
            let is_over = now.saturating_duration_since(at) >= ORIGIN_TTL;
            if !is_over && self.oldest_first.len() < MAX_ORIGINS {
                return;
            }
            self.oldest_first.pop_front();
            if self.by_key.get(&key).is_some_and(|kept| kept.at == at) {
                self.by_key.remove(&key);
            }
        }
    }
}

/// The software versions that services had for as long as origins are kept.
pub type RecentVersions = BTreeMap<names::ServiceId, BTreeSet<names::SoftwareVersion>>;

/// The software versions that services had lately.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// When each version was last there.
    seen: HashMap<(names::ServiceId, names::SoftwareVersion), Instant>,
    /// Targets that have not told their version yet, and when they were last there.
    untold: HashMap<names::TargetId, (names::ServiceId, Instant)>,
    /// Since when no version can have come and gone unnoticed.
    complete_since: Option<Instant>,
    /// The only versions of services before that, as other routers have told.
    sole_before: HashMap<names::ServiceId, names::SoftwareVersion>,
    /// Whether changes may have been missed since the start.
    was_interrupted: bool,
}

impl VersionHistory {
    /// Records that a target of a service is there.
    pub fn record(
        &mut self,
        now: Instant,
        service: &names::ServiceId,
        target: &names::TargetId,
        version: Option<&names::SoftwareVersion>,
    ) {
        match version {
            Some(version) => {
                self.untold.remove(target);
                self.seen.insert((service.clone(), version.clone()), now);
            }
            None => drop(self.untold.insert(target.clone(), (service.clone(), now))),
        }
    }

    /// Records all targets.
    pub fn observe(&mut self, now: Instant, targets: &targets::Targets) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < ORIGIN_TTL;
        self.seen.retain(|_, at| is_recent(at));
        self.untold.retain(|_, (_, at)| is_recent(at));
        for (_, target) in targets.iter() {
            let entry = &target.entry;
            self.record(now, &entry.service, &entry.id, entry.version.as_ref());
        }
    }

    /// Records that all targets are known from now on. If no stream can have begun before, the history is complete.
    pub fn begin(&mut self, now: Instant, is_first_start: bool) {
        let since = if is_first_start { now.checked_sub(ORIGIN_TTL) } else { None };
        self.complete_since.get_or_insert(since.unwrap_or(now));
    }

    /// Records that changes may have been missed until now.
    pub fn interrupt(&mut self, now: Instant) {
        self.sole_before.clear();
        if self.complete_since.is_some() {
            self.was_interrupted = true;
            self.complete_since = Some(now);
        }
    }

    /// Records that another router, asked at `asked_at`, has seen only this version of a service.
    pub fn record_sole(
        &mut self,
        asked_at: Instant,
        service: &names::ServiceId,
        version: &names::SoftwareVersion,
    ) {
        if self.complete_since.is_some_and(|since| since <= asked_at) {
            self.sole_before.insert(service.clone(), version.clone());
        }
    }

    /// All versions that a service had for as long as origins are kept; none if that is not known. `before` are those
    /// that it had before this process began to look, if others stated them.
    pub fn recent(
        &self,
        now: Instant,
        service: &names::ServiceId,
        before: Option<&BTreeSet<names::SoftwareVersion>>,
    ) -> Option<BTreeSet<names::SoftwareVersion>> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < ORIGIN_TTL;
        let is_young = self.complete_since.is_none_or(|since| is_recent(&since));
        let before = match before {
            _ if !is_young => BTreeSet::new(),
            Some(before) => before.clone(),
            None => BTreeSet::from([self.sole(now, service)?.clone()]),
        };
        let seen = self.seen.iter().filter(|((of, _), at)| of == service && is_recent(at));
        Some(seen.map(|((_, version), _)| version.clone()).chain(before).collect())
    }

    /// Whether more than one version of a service is known.
    pub fn has_several(&self, service: &names::ServiceId) -> bool {
        self.seen.keys().filter(|(of, _)| of == service).count() > 1
    }

    /// Records that only this version of a service was there before this process looked. It must have looked without a
    /// gap since it started.
    pub fn record_stated(&mut self, service: &names::ServiceId, version: &names::SoftwareVersion) {
        if !self.was_interrupted && self.complete_since.is_some() {
            self.sole_before.insert(service.clone(), version.clone());
        }
    }

    /// The version that all targets of a service have had for as long as origins are kept; none if there was
    /// another one, or if this process doesn't know.
    pub fn sole(
        &self,
        now: Instant,
        service: &names::ServiceId,
    ) -> Option<&names::SoftwareVersion> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < ORIGIN_TTL;
        let before = self.sole_before.get(service);
        let is_young = self.complete_since.is_none_or(|since| is_recent(&since));
        if (is_young && before.is_none())
            || self.untold.values().any(|(of, at)| of == service && is_recent(at))
        {
            return None;
        }
        let mut seen = self.seen.iter().filter(|((of, _), at)| of == service && is_recent(at));
        let ((_, version), _) = seen.next()?;
        let is_sole = seen.next().is_none() && (!is_young || before == Some(version));
        is_sole.then_some(version)
    }
}
