//! Probes of parts under which many targets ended at the same time.
//!
//! Targets that end together are weak evidence: their hosts may have failed. But if the part did end them, each
//! request with it that is sent when they are back ends one more. So one router at a time may send one such request:
//! it either succeeds, which clears the part, or its target ends, which blocks it.

use crate::fingerprint::PartId;
use corianderstand_derives::derives;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3;

/// Time for a probe to end its target, and for the routers to hear of it.
const PROBE_TIME: Duration = Duration::from_millis(1_000);

/// A part that only probes may have.
#[derives(key)]
pub struct Probation {
    /// The part.
    pub part: PartId,
    /// When the last target ended.
    pub since: Instant,
}

impl Probation {
    /// Number of the probe whose time it is.
    pub fn probe(&self, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.since);
        u32::try_from(elapsed.as_millis() / PROBE_TIME.as_millis()).unwrap_or(u32::MAX)
    }

    /// When the time of the next probe begins.
    pub fn next_probe_at(&self, now: Instant) -> Instant {
        self.since + PROBE_TIME * self.probe(now).saturating_add(1)
    }

    /// Whether a router may send a probe; all routers that know of one another agree.
    pub fn is_elected<'a>(
        &self,
        now: Instant,
        router: &str,
        mut others: impl Iterator<Item = &'a str>,
    ) -> bool {
        let seed = self.part.0 ^ u64::from(self.probe(now));
        let rank = |name: &str| xxh3::xxh3_64_with_seed(name.as_bytes(), seed);
        let own = rank(router);
        others.all(|other| rank(other) <= own)
    }
}
