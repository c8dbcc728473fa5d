//! Selects the routers of each availability zone that exchange status with the other zones.
//!
//! In a small deployment each router sends its status to every other one. In a large one the strongest routers of
//! a zone are its hubs: hubs send theirs to the hubs of all zones and to the routers of their own, which send
//! theirs to these hubs only. So the messages of a router don't grow with the number of all routers.

use crate::peers;
use corianderstand_derives::derives;
use corianderstand_types::names;
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// Up to this many routers, each sends its status to every other one: some 3 KB/s into each.
pub const MAX_MESH_ROUTERS: usize = 48;
/// Two hubs read the store for their zone, and two can take over at once.
pub const HUB_COUNT: usize = 4;
/// Hubs of a zone that pass messages on to its routers. Each passes on all, so that one may be lost.
pub const RELAY_COUNT: usize = 2;

/// A router that can be a hub.
#[derives(data)]
pub struct Candidate {
    /// Its name.
    pub name: SmolStr,
    /// Its availability zone.
    pub zone: names::AvailabilityZoneId,
    /// The routers of the highest rank are the hubs.
    pub rank: peers::Rank,
}

/// The hubs of each zone, in order of rank.
#[derives(data)]
#[derive(Default)]
pub struct Hubs {
    by_zone: BTreeMap<names::AvailabilityZoneId, Vec<SmolStr>>,
}

impl Hubs {
    /// Selects the hubs among the routers that are not known to be unresponsive.
    pub fn select(candidates: impl IntoIterator<Item = Candidate>) -> Self {
        let mut zones: BTreeMap<_, Vec<(peers::Rank, SmolStr)>> = BTreeMap::new();
        for Candidate { name, zone, rank } in candidates {
            zones.entry(zone).or_default().push((rank, name));
        }
        let by_zone = zones.into_iter().map(|(zone, mut members)| {
            members.sort_unstable_by(|a, b| b.cmp(a));
            (zone, members.into_iter().take(HUB_COUNT).map(|(_, name)| name).collect())
        });
        Self { by_zone: by_zone.collect() }
    }

    /// The hubs of a zone.
    pub fn of_zone(&self, zone: &names::AvailabilityZoneId) -> &[SmolStr] {
        self.by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Whether a router is a hub of its zone.
    pub fn is_hub(&self, zone: &names::AvailabilityZoneId, name: &str) -> bool {
        self.of_zone(zone).iter().any(|hub| hub == name)
    }

    /// The zones and the hubs that pass messages on to the routers of each.
    pub fn relays(&self) -> impl Iterator<Item = (&names::AvailabilityZoneId, &[SmolStr])> {
        self.by_zone.iter().map(|(zone, hubs)| (zone, &hubs[..hubs.len().min(RELAY_COUNT)]))
    }
}
