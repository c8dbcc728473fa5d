//! What routers know of one another, and which of them plans.
//!
//! Each router tells the others a few times a second what it is asked for. The fit router with the
//! least name that was heard of lately plans; there is no vote, because two planners at once cost
//! at most a needless load: each engine has one agent, which follows the planner with the least
//! name that it hears.

use corianderstand_fleet::demand;
use corianderstand_schema::peers;
use corianderstand_types::names;
use smol_str::SmolStr;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// A router that was not heard of for this long does not plan any more: four of its messages, of
/// which a link that loses three in a hundred loses all less than once in a million.
const SILENT_AFTER: Duration = Duration::from_millis(1_100);
/// A router that was not heard of for this long is not told anything any more, as it may have been
/// removed; it is heard of again when it is back.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);

/// Another router.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it is reached.
    pub addr: SocketAddr,
    /// When it was last heard.
    pub heard: Option<Instant>,
    /// What it said then.
    pub news: Option<peers::RouterNews>,
    known: Instant,
}

/// The other routers.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_name: BTreeMap<SmolStr, Peer>,
}

impl Peers {
    /// A router of that name is reached there.
    pub fn add(&mut self, now: Instant, name: SmolStr, addr: SocketAddr) {
        let peer = Peer { addr, heard: None, news: None, known: now };
        let peer = self.by_name.entry(name).or_insert(peer);
        peer.addr = addr;
        peer.known = now;
    }

    /// A router has stopped.
    pub fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// A router was heard. What an earlier start of it said, and arrives late, is left out.
    pub fn hear(&mut self, now: Instant, addr: SocketAddr, news: peers::RouterNews) {
        let name = news.router.0.clone();
        self.add(now, name.clone(), addr);
        let Some(peer) = self.by_name.get_mut(&name) else { return };
        if peer.news.as_ref().is_none_or(|last| last.incarnation <= news.incarnation) {
            peer.heard = Some(now);
            peer.news = Some(news);
        }
    }

    /// All that are told what happens here.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.by_name.values().map(|peer| peer.addr)
    }

    /// Those that were heard lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&SmolStr, &Peer)> {
        self.by_name.iter().filter(move |(_, peer)| {
            peer.heard.is_some_and(|at| now.saturating_duration_since(at) < SILENT_AFTER)
        })
    }

    /// What those heard lately said.
    pub fn news(&self, now: Instant) -> impl Iterator<Item = &peers::RouterNews> {
        self.live(now).filter_map(|(_, peer)| peer.news.as_ref())
    }

    /// Whether the router of this name plans: no fit one before it was heard lately.
    pub fn plans(&self, now: Instant, name: &str) -> bool {
        !self.live(now).any(|(other, peer)| {
            other.as_str() < name && peer.news.as_ref().is_some_and(|news| news.fit)
        })
    }

    /// Forgets those that were not heard for long.
    pub fn expire(&mut self, now: Instant) {
        self.by_name.retain(|_, peer| {
            let last = peer.heard.unwrap_or(peer.known).max(peer.known);
            now.saturating_duration_since(last) < FORGOTTEN_AFTER
        });
    }

    /// What the other routers are asked for, and how many requests wait there.
    pub fn demand(&self, now: Instant) -> BTreeMap<names::ModelId, (demand::Asked, u32)> {
        let mut sums: BTreeMap<names::ModelId, (demand::Asked, u32)> = BTreeMap::new();
        for said in self.news(now).flat_map(|news| &news.models) {
            let sum = sums.entry(said.model.clone()).or_default();
            sum.0 = sum.0.and(demand::Asked {
                per_s: f64::from(said.per_1000_s) / 1_000.0,
                adapted_per_s: f64::from(said.adapted_per_1000_s) / 1_000.0,
                prompt_tokens_per_s: f64::from(said.prompt_tokens_per_s),
                read_s_per_token: f64::from(said.read_ns_per_token) / 1e9,
                aim: Duration::from_millis(u64::from(said.aim_ms)),
            });
            sum.1 += said.waiting;
        }
        sums
    }
}
