//! What routers know of one another, and which of them plans.
//!
//! The strongest of the fit routers that were heard of lately plans; among equals the one with the
//! least name. There is no vote, because two planners at once cost at most a needless load: each
//! engine has one agent, which follows the better of the planners that it hears. Only the planner is
//! told what each router is asked for; the others need to know that a router is there, which takes a
//! hundredth of that. On links of 10 Mbit/s the whole of it to all used up the link.

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

/// A planner that was not heard for this long is followed by the next: four of its messages, of
/// which a link that loses three in a hundred loses all less than once in a million.
const PLANNER_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Another router that was not heard for this long is not counted; it says that it is there each
/// second.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_600);
/// A router that was not heard of for this long is not told anything any more, as it may have been
/// removed; it is heard of again when it is back.
const PEER_EXPIRY: Duration = Duration::from_secs(30);

/// Who plans rather than another: the stronger, then the one with the lesser name.
#[derives(name)]
pub struct Rank {
    strength: u32,
    name: std::cmp::Reverse<SmolStr>,
}

impl Rank {
    /// The rank of a router.
    pub fn new(strength: u32, name: &str) -> Self {
        Self { strength, name: std::cmp::Reverse(name.into()) }
    }
}

/// Another router.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it is reached.
    pub addr: SocketAddr,
    /// When it was last heard.
    pub last_received_at: Option<Instant>,
    /// What it said then.
    pub update: Option<peers::RouterNews>,
    announced_at: Instant,
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
    /// A router of that name is reached there.
    pub fn add(&mut self, now: Instant, name: SmolStr, addr: SocketAddr) {
        let peer = Peer { addr, last_received_at: None, update: None, announced_at: now };
        let peer = self.by_name.entry(name).or_insert(peer);
        peer.addr = addr;
        peer.announced_at = now;
    }

    /// A router has stopped.
    pub fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// A router was heard. What an earlier start of it said, and arrives late, is left out; but a clock
    /// that has gone back makes a new start look earlier, and a router that was left out for that
    /// would be neither followed nor asked for as long as it runs. A datagram is late by a moment
    /// only, so what comes after a silence is of the start that runs now.
    pub fn on_update(&mut self, now: Instant, addr: SocketAddr, update: peers::RouterNews) {
        let name = update.router.0.clone();
        self.add(now, name.clone(), addr);
        let Some(peer) = self.by_name.get_mut(&name) else { return };
        let unresponsive = peer.is_unresponsive(now);
        if unresponsive
            || peer.update.as_ref().is_none_or(|last| last.incarnation <= update.incarnation)
        {
            peer.last_received_at = Some(now);
            peer.update = Some(update);
        }
    }

    /// All that are told what happens here.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.by_name.values().map(|peer| peer.addr)
    }

    /// Those that were heard lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&SmolStr, &Peer)> {
        self.by_name.iter().filter(move |(_, peer)| !peer.is_unresponsive(now))
    }

    /// Those heard lately that have read more of a subject, and how far.
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

    /// Those heard lately in a zone.
    pub fn neighbours(
        &self,
        now: Instant,
        zone: &names::AvailabilityZoneId,
    ) -> Vec<readers::Neighbour> {
        let neighbours = self.live(now).filter_map(|(name, peer)| {
            let update = peer.update.as_ref().filter(|update| update.zone == *zone)?;
            let rank = Rank::new(update.strength, name);
            Some(readers::Neighbour { rank, addr: peer.addr, store: update.store })
        });
        neighbours.collect()
    }

    /// What those heard lately said.
    pub fn updates(&self, now: Instant) -> impl Iterator<Item = &peers::RouterNews> {
        self.live(now).filter_map(|(_, peer)| peer.update.as_ref())
    }

    /// The router that plans; none if it is the one that asks, whose rank this is.
    pub fn planner(&self, now: Instant, own: &Rank) -> Option<SocketAddr> {
        let candidates = self.live(now).filter_map(|(name, peer)| {
            let update = peer.update.as_ref().filter(|update| update.fit)?;
            let rank = Rank::new(update.strength, name);
            (rank > *own).then_some((rank, peer))
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_by(|a, b| b.0.cmp(&a.0));
        // Only the best says often that it is there. If it has fallen silent, the next one plans.
        let (_, best) = candidates.first()?;
        let unresponsive = best
            .last_received_at
            .is_none_or(|at| now.saturating_duration_since(at) >= PLANNER_TIMEOUT);
        candidates.get(usize::from(unresponsive)).map(|(_, peer)| peer.addr)
    }

    /// Forgets those that were not heard for long.
    pub fn expire(&mut self, now: Instant) {
        self.by_name.retain(|_, peer| {
            let last_seen_at =
                peer.last_received_at.unwrap_or(peer.announced_at).max(peer.announced_at);
            now.saturating_duration_since(last_seen_at) < PEER_EXPIRY
        });
    }

    /// What the other routers are asked for, and how many requests wait there.
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
