//! Which hosts are live, leaving or gone, from a list that lags, fails and flaps.
//!
//! - A host that the list shows as *leaving* is leaving at once; it is live again only after
//!   the list has listed it live for as long as the list may lag.
//! - A host is *gone* once every believed reading for that long has been without it. No
//!   reading, no evidence: while the list does not answer, nobody goes.
//! - An empty reading is never believed. One that shows fewer than half of the hosts known is
//!   believed only after all readings have been so for [`SHRINK_LAG_FACTOR`] times the lag.
//! - A host that an agent has announced counts as known from then on, listed or not.

use crate::snapshot::Hosts;
use corianderstand_edge::hosts::{HostEntry, HostState};
use corianderstand_types::names::HostId;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// How many times the lag a greatly shrunken list must last before it is believed. Made for the
/// loss of a region, which is real but rare: a list that lost its hosts by a fault of its own is
/// far more common, and believing it would take every slot of the service away.
pub const SHRINK_LAG_FACTOR: u32 = 6;

/// One host as far as it is known.
#[derive(Clone, Copy, Debug)]
struct KnownHost {
    /// When a reading last showed it, or an agent on it was first heard of.
    last_seen: Instant,
    /// Since when it has not been listed as leaving.
    live_since: Instant,
    leaving: bool,
    missing: bool,
}

/// What the readings so far amount to.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    known: BTreeMap<HostId, KnownHost>,
    shrunken_since: Option<Instant>,
}

impl Membership {
    /// Takes a reading; false if it was not believed.
    pub fn apply_reading(&mut self, now: Instant, lag: Duration, entries: &[HostEntry]) -> bool {
        for entry in entries {
            self.apply_entry(now, lag, entry);
        }
        if !self.accepts(now, lag, entries.len()) {
            return false;
        }
        let listed: BTreeSet<&HostId> = entries.iter().map(|entry| &entry.host).collect();
        for (host, known) in &mut self.known {
            known.missing = !listed.contains(host) && now >= known.last_seen + lag;
        }
        true
    }

    /// Notes that agents on these hosts have announced themselves, and forgets hosts that are
    /// gone and have none.
    pub fn record_announced(&mut self, now: Instant, hosts: &BTreeSet<HostId>) {
        for host in hosts {
            let new = KnownHost { last_seen: now, live_since: now, leaving: false, missing: false };
            self.known.entry(host.clone()).or_insert(new);
        }
        self.known.retain(|host, known| !known.missing || hosts.contains(host));
    }

    /// The hosts now.
    pub fn hosts(&self) -> Hosts {
        let mut hosts = Hosts::default();
        for (host, known) in &self.known {
            let set = match (known.missing, known.leaving) {
                (true, _) => &mut hosts.gone,
                (false, true) => &mut hosts.leaving,
                (false, false) => &mut hosts.live,
            };
            set.insert(host.clone());
        }
        hosts
    }

    fn apply_entry(&mut self, now: Instant, lag: Duration, entry: &HostEntry) {
        let new = KnownHost { last_seen: now, live_since: now, leaving: false, missing: false };
        let known = self.known.entry(entry.host.clone()).or_insert(new);
        known.last_seen = now;
        known.missing = false;
        match entry.state {
            HostState::Leaving => {
                known.leaving = true;
                known.live_since = now;
            }
            HostState::Live if now >= known.live_since + lag => known.leaving = false,
            HostState::Live => {}
        }
    }

    /// A list that is emptied or cut short by its own fault would otherwise take away the slots
    /// of hosts that serve well, and every caller of those models would be refused.
    fn accepts(&mut self, now: Instant, lag: Duration, listed: usize) -> bool {
        let present = self.known.values().filter(|known| !known.missing).count();
        if listed > 0 && listed * 2 >= present {
            self.shrunken_since = None;
            return true;
        }
        if listed == 0 {
            // A list that was empty in between is at fault; what it shows next counts anew.
            self.shrunken_since = None;
            return false;
        }
        let since = *self.shrunken_since.get_or_insert(now);
        now >= since + lag * SHRINK_LAG_FACTOR
    }
}

#[cfg(test)]
mod tests;
