//! Classifies hosts as live, leaving or gone from readings of an unreliable host list.
//!
//! The *list lag* is the configured time by which the host list may be out of date.
//!
//! - A host listed as leaving is *leaving* at once, and *live* after it was listed so for the list lag.
//! - A host is *gone* once it is missing from an accepted reading and was last listed at least the
//!   list lag ago.
//! - An empty reading is rejected; one with fewer than half of the known hosts is accepted only if all
//!   readings have been like that for [`SHRINK_LAG_FACTOR`] times the list lag.

use crate::snapshot::Hosts;
use corianderstand_edge::hosts::{HostEntry, HostState};
use corianderstand_types::names::HostId;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Multiple of the list lag after which a host list that lost most of its hosts is accepted.
pub const SHRINK_LAG_FACTOR: u32 = 6;

#[derive(Clone, Copy, Debug)]
struct KnownHost {
    /// When it was last listed, or first announced by an agent.
    last_listed_at: Instant,
    live_since: Instant,
    is_leaving: bool,
    is_missing: bool,
}

/// The known hosts, derived from all readings of the host list.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    known: BTreeMap<HostId, KnownHost>,
    shrunken_since: Option<Instant>,
}

impl Membership {
    /// Applies a reading of the host list; returns whether it was accepted as complete.
    pub fn apply_reading(
        &mut self,
        now: Instant,
        list_lag: Duration,
        entries: &[HostEntry],
    ) -> bool {
        for entry in entries {
            self.apply_entry(now, list_lag, entry);
        }
        if !self.accepts_reading(now, list_lag, entries.len()) {
            return false;
        }
        let listed: BTreeSet<&HostId> = entries.iter().map(|entry| &entry.host).collect();
        for (host, known) in &mut self.known {
            known.is_missing = !listed.contains(host) && now >= known.last_listed_at + list_lag;
        }
        true
    }

    /// Records the hosts of all announced agents and removes missing hosts without one.
    pub fn record_announced(&mut self, now: Instant, hosts: &BTreeSet<HostId>) {
        for host in hosts {
            let new = KnownHost {
                last_listed_at: now,
                live_since: now,
                is_leaving: false,
                is_missing: false,
            };
            self.known.entry(host.clone()).or_insert(new);
        }
        self.known.retain(|host, known| !known.is_missing || hosts.contains(host));
    }

    /// The hosts by state.
    pub fn hosts(&self) -> Hosts {
        let mut hosts = Hosts::default();
        for (host, known) in &self.known {
            let set = match (known.is_missing, known.is_leaving) {
                (true, _) => &mut hosts.gone,
                (false, true) => &mut hosts.leaving,
                (false, false) => &mut hosts.live,
            };
            set.insert(host.clone());
        }
        hosts
    }

    fn apply_entry(&mut self, now: Instant, list_lag: Duration, entry: &HostEntry) {
        let new = KnownHost {
            last_listed_at: now,
            live_since: now,
            is_leaving: false,
            is_missing: false,
        };
        let known = self.known.entry(entry.host.clone()).or_insert(new);
        known.last_listed_at = now;
        known.is_missing = false;
        match entry.state {
            HostState::Leaving => {
                known.is_leaving = true;
                known.live_since = now;
            }
            HostState::Live if now >= known.live_since + list_lag => known.is_leaving = false,
            HostState::Live => {}
        }
    }

    /// Rejects readings of a faulty or truncated list.
    fn accepts_reading(&mut self, now: Instant, list_lag: Duration, listed_count: usize) -> bool {
        let present = self.known.values().filter(|known| !known.is_missing).count();
        if listed_count > 0 && listed_count * 2 >= present {
            self.shrunken_since = None;
            return true;
        }
        if listed_count == 0 {
            // An empty reading shows that the list is faulty: restart the period.
            self.shrunken_since = None;
            return false;
        }
        let since = *self.shrunken_since.get_or_insert(now);
        now >= since + list_lag * SHRINK_LAG_FACTOR
    }
}

#[cfg(test)]
mod tests;
