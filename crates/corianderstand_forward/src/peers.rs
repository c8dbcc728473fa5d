//! Membership of the other routers, and selection of the planner.
//!
//! The strongest responsive router that is fit to plan is the planner. No election is needed: if there
//! are two, each agent follows the one of higher rank. Only the planner receives the demand of each
//! router, as broadcasts would saturate slow links.

use crate::{dialect, readers};
use corianderstand_derives::derives;
use corianderstand_fleet::demand;
use corianderstand_schema::peers;
use corianderstand_types::names;
use smol_str::SmolStr;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Spans four updates of the planner, so that packet loss alone does not cause a change.
const PLANNER_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Each router sends a hello every second.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_600);
const PEER_EXPIRY: Duration = Duration::from_secs(30);

/// Order of routers for selecting the planner: by strength, then by least name.
#[derives(name)]
pub struct Rank {
    strength: u32,
    name: std::cmp::Reverse<SmolStr>,
}

impl Rank {
    /// Creates the rank of a router.
    pub fn new(strength: u32, name: &str) -> Self {
        Self { strength, name: std::cmp::Reverse(name.into()) }
    }
}

/// Another router.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address for datagrams and transfers.
    pub addr: SocketAddr,
    /// When its last update was received.
    pub last_received_at: Option<Instant>,
    /// Its last update.
    pub update: Option<peers::RouterUpdate>,
    announced_at: Instant,
    /// When the first update of its current incarnation was received.
    incarnation_seen_at: Option<Instant>,
}

impl Peer {
    fn is_unresponsive(&self, now: Instant) -> bool {
        self.last_received_at.is_none_or(|at| now.saturating_duration_since(at) >= PEER_TIMEOUT)
    }
}

/// The other routers.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_name: BTreeMap<SmolStr, Peer>,
}

impl Peers {
    /// Adds a router, or changes its address.
    pub fn add(&mut self, now: Instant, name: SmolStr, addr: SocketAddr) {
        let peer = Peer {
            addr,
            last_received_at: None,
            update: None,
            announced_at: now,
            incarnation_seen_at: None,
        };
        let peer = self.by_name.entry(name).or_insert(peer);
        peer.addr = addr;
        peer.announced_at = now;
    }

    /// Removes a router that has stopped.
    pub fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Records an update, unless it is of an earlier incarnation. After a timeout any incarnation is
    /// accepted, as a clock set back makes a restarted router look older.
    pub fn on_update(&mut self, now: Instant, addr: SocketAddr, update: peers::RouterUpdate) {
        let name = update.router.0.clone();
        self.add(now, name.clone(), addr);
        let Some(peer) = self.by_name.get_mut(&name) else { return };
        let unresponsive = peer.is_unresponsive(now);
        if unresponsive
            || peer.update.as_ref().is_none_or(|last| last.incarnation <= update.incarnation)
        {
            let last = peer.update.as_ref().map(|last| last.incarnation);
            if last != Some(update.incarnation) {
                peer.incarnation_seen_at = Some(now);
            }
            peer.last_received_at = Some(now);
            peer.update = Some(update);
        }
    }

    /// When the first update of a router's current incarnation was received.
    pub fn incarnation_seen_at(&self, name: &str) -> Option<Instant> {
        self.by_name.get(name)?.incarnation_seen_at
    }

    /// Addresses of all known routers.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.by_name.values().map(|peer| peer.addr)
    }

    /// Routers that are responsive.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&SmolStr, &Peer)> {
        self.by_name.iter().filter(move |(_, peer)| !peer.is_unresponsive(now))
    }

    /// Responsive routers whose next offset of a subject is beyond `known`.
    pub fn ahead(
        &self,
        now: Instant,
        subject: dialect::Subject,
        known: u64,
    ) -> impl Iterator<Item = (u64, SocketAddr)> {
        self.live(now).filter_map(move |(_, peer)| {
            let update = peer.update.as_ref()?;
            let next = match subject {
                dialect::Subject::Config => update.config_next,
                dialect::Subject::Targets => update.targets_next,
                dialect::Subject::Routers => return None,
            };
            (next > known).then_some((next, peer.addr))
        })
    }

    /// Responsive routers of an availability zone.
    pub fn neighbours(
        &self,
        now: Instant,
        zone: &names::AvailabilityZoneId,
    ) -> Vec<readers::Neighbour> {
        let neighbours = self.live(now).filter_map(|(name, peer)| {
            let update = peer.update.as_ref().filter(|update| update.zone == *zone)?;
            let rank = Rank::new(update.strength, name);
            Some(readers::Neighbour { rank, addr: peer.addr, store_use: update.store })
        });
        neighbours.collect()
    }

    /// Last updates of responsive routers.
    pub fn updates(&self, now: Instant) -> impl Iterator<Item = &peers::RouterUpdate> {
        self.live(now).filter_map(|(_, peer)| peer.update.as_ref())
    }

    /// Returns the planner's address, or none if the router of rank `own` is the planner.
    pub fn planner(&self, now: Instant, own: &Rank) -> Option<SocketAddr> {
        let candidates = self.live(now).filter_map(|(name, peer)| {
            let update = peer.update.as_ref().filter(|update| update.fit)?;
            let rank = Rank::new(update.strength, name);
            (rank > *own).then_some((rank, peer))
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_by(|a, b| b.0.cmp(&a.0));
        // Only the planner sends updates often enough for the shorter timeout.
        let (_, best) = candidates.first()?;
        let unresponsive = best
            .last_received_at
            .is_none_or(|at| now.saturating_duration_since(at) >= PLANNER_TIMEOUT);
        candidates.get(usize::from(unresponsive)).map(|(_, peer)| peer.addr)
    }

    /// Removes routers that have been unresponsive for long.
    pub fn expire(&mut self, now: Instant) {
        self.by_name.retain(|_, peer| {
            let last_active_at =
                peer.last_received_at.unwrap_or(peer.announced_at).max(peer.announced_at);
            now.saturating_duration_since(last_active_at) < PEER_EXPIRY
        });
    }

    /// Sums the demand and the waiting requests of the other routers by model.
    pub fn demand(&self, now: Instant) -> BTreeMap<names::ModelId, (demand::ModelDemand, u32)> {
        let mut sums: BTreeMap<names::ModelId, (demand::ModelDemand, u32)> = BTreeMap::new();
        for model in self.updates(now).flat_map(|update| &update.models) {
            let sum = sums.entry(model.model.clone()).or_default();
            sum.0 = sum.0.combine(demand::ModelDemand {
                requests_per_s: f64::from(model.per_1000_s) / 1_000.0,
                adapter_requests_per_s: f64::from(model.adapted_per_1000_s) / 1_000.0,
                prompt_tokens_per_s: f64::from(model.prompt_tokens_per_s),
                prefill_s_per_token: f64::from(model.read_ns_per_token) / 1e9,
                latency_objective: Duration::from_millis(u64::from(model.aim_ms)),
            });
            sum.1 += model.waiting;
        }
        sums
    }
}
