//! What each router of the simulation knows of the others: hellos that are lost, delayed by a freeze or cut off.

use super::{LOSS_RATIO, PEER_TIMEOUT};
use corianderstand_fleet::{
    limit_shares::{Gradual, Order, Router, RouterHash, View},
    quota::Part,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use xxhash_rust::xxh3;

const HELLO_INTERVAL: Duration = Duration::from_secs(1);
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Time without an update after which a router knows that it stood still.
const MAX_PAUSE: Duration = Duration::from_secs(2);
const ORDER: Order = Order(0);
const NAMES: usize = 200;
const KEEPERS: usize = 2;

/// What one router knows of another.
#[derive(Clone, Default)]
struct Peer {
    heard_at: Option<Instant>,
    is_fit: bool,
    is_down: bool,
    unheard: Option<(Instant, BTreeSet<RouterHash>)>,
}

struct Member {
    is_up: bool,
    is_frozen: bool,
    is_fit: bool,
    peers: Vec<Peer>,
    usable: Gradual,
    view: Option<View>,
    hello_at: Instant,
    updated_at: Instant,
    distrusts_until: Option<Instant>,
    /// Hellos in the socket of a router that stands still.
    buffered: Vec<(usize, bool, BTreeSet<RouterHash>)>,
}

/// All routers.
pub struct Membership {
    names: Vec<SmolStr>,
    members: Vec<Member>,
    /// Links that carry nothing, from a router to another.
    cut: BTreeSet<(usize, usize)>,
}

fn member(now: Instant, count: usize) -> Member {
    Member {
        is_up: true,
        is_frozen: false,
        is_fit: true,
        peers: vec![Peer::default(); count],
        usable: Gradual::new(now),
        view: None,
        hello_at: now,
        updated_at: now,
        distrusts_until: None,
        buffered: Vec::new(),
    }
}

impl Membership {
    pub fn new(now: Instant, count: usize) -> Self {
        // The first router ranks first.
        let mut names: Vec<SmolStr> = (0..NAMES).map(|n| format!("r{n}").into()).collect();
        names.sort_by_key(|name| xxh3::xxh3_64_with_seed(name.as_bytes(), ORDER.0));
        let members = (0..count).map(|_| member(now, count)).collect();
        Self { names, members, cut: BTreeSet::new() }
    }

    pub fn name(&self, index: usize) -> &SmolStr {
        &self.names[index]
    }

    pub fn index(&self, name: &str) -> usize {
        self.names.iter().position(|other| other == name).unwrap()
    }

    pub fn add(&mut self, now: Instant) {
        self.members.push(member(now, 0));
        let count = self.members.len();
        self.members.iter_mut().for_each(|m| m.peers.resize_with(count, Peer::default));
    }

    /// Ends a router, or starts it again.
    pub fn set_up(&mut self, now: Instant, index: usize, is_up: bool) {
        self.members[index] = Member { is_up, ..member(now, self.members.len()) };
    }

    pub fn begin_stop(&mut self, now: Instant, index: usize) {
        (self.members[index].is_fit, self.members[index].hello_at) = (false, now);
    }

    pub fn freeze(&mut self, now: Instant, index: usize, is_frozen: bool) {
        self.members[index].is_frozen = is_frozen;
        for (from, is_fit, unheard) in std::mem::take(&mut self.members[index].buffered) {
            self.hear(now, from, index, is_fit, &unheard);
        }
    }

    /// Cuts or heals the way from some routers to others.
    pub fn set_cut(&mut self, from: &[usize], to: &[usize], is_cut: bool) {
        for link in from.iter().flat_map(|a| to.iter().map(|b| (*a, *b))) {
            if is_cut {
                self.cut.insert(link)
            } else {
                self.cut.remove(&link)
            };
        }
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.contains(&(from, to))
    }

    /// Exchanges the hellos that are due, and updates what routers conclude.
    pub fn step(&mut self, now: Instant, rng: &mut ChaCha8Rng) {
        for index in 0..self.members.len() {
            let member = &self.members[index];
            if !member.is_up || member.is_frozen {
                continue;
            }
            if member.view.is_none() || now >= member.updated_at + UPDATE_INTERVAL {
                self.update(now, index);
            }
            if now >= self.members[index].hello_at {
                self.members[index].hello_at = now + HELLO_INTERVAL;
                self.send_hello(now, index, rng);
            }
        }
    }

    fn unheard(&self, now: Instant, index: usize) -> BTreeSet<RouterHash> {
        let peers = self.members[index].peers.iter().enumerate();
        let silent = peers.filter(|(other, peer)| *other != index && !is_young(now, peer.heard_at));
        silent.map(|(other, _)| RouterHash::of(&self.names[other])).collect()
    }

    fn send_hello(&mut self, now: Instant, index: usize, rng: &mut ChaCha8Rng) {
        let unheard = self.unheard(now, index);
        let is_fit = self.members[index].is_fit;
        for other in (0..self.members.len()).filter(|other| *other != index) {
            if self.is_cut(index, other) || rng.random::<f64>() < LOSS_RATIO {
                continue;
            }
            if self.members[other].is_frozen {
                self.members[other].buffered.push((index, is_fit, unheard.clone()));
            } else if self.members[other].is_up {
                self.hear(now, index, other, is_fit, &unheard);
            }
        }
    }

    fn hear(
        &mut self,
        now: Instant,
        from: usize,
        to: usize,
        is_fit: bool,
        unheard: &BTreeSet<RouterHash>,
    ) {
        let is_first = self.members[to].peers[from].heard_at.is_none();
        let peer = &mut self.members[to].peers[from];
        (peer.heard_at, peer.is_fit, peer.is_down) = (Some(now), is_fit, false);
        peer.unheard = (!unheard.is_empty()).then(|| (now, unheard.clone()));
        // A router that starts is greeted.
        if is_first && !self.is_cut(to, from) && self.members[from].is_up {
            let unheard = self.unheard(now, to);
            let is_fit = self.members[to].is_fit;
            if !self.members[from].is_frozen {
                let peer = &mut self.members[from].peers[to];
                (peer.heard_at, peer.is_fit, peer.is_down) = (Some(now), is_fit, false);
                peer.unheard = (!unheard.is_empty()).then_some((now, unheard));
            }
        }
    }

    fn update(&mut self, now: Instant, index: usize) {
        let own = RouterHash::of(&self.names[index]);
        let member = &self.members[index];
        let others = member.peers.iter().enumerate().filter(|(other, _)| *other != index);
        let others: BTreeMap<_, _> = others
            .map(|(other, peer)| {
                let reported = peer.unheard.as_ref().filter(|(at, _)| is_young(now, Some(*at)));
                let unheard = reported.map(|(_, unheard)| unheard.clone()).unwrap_or_default();
                let router = Router {
                    strength: 1,
                    is_connected: is_young(now, peer.heard_at) && !unheard.contains(&own),
                    is_fit: peer.is_fit,
                    is_down: peer.is_down,
                    is_settled: true,
                    unheard,
                };
                (self.names[other].clone(), router)
            })
            .collect();
        let own = self.names[index].clone();
        let view = View { own, strength: 1, is_fit: member.is_fit, is_settled: true, others };
        let member = &mut self.members[index];
        if now.saturating_duration_since(member.updated_at) >= MAX_PAUSE {
            member.usable = Gradual::new(now);
            member.distrusts_until =
                Some(now + corianderstand_fleet::limit_shares::TAKE_OVER_DELAY);
        }
        member.updated_at = now;
        let trusts = member.distrusts_until.is_none_or(|until| now >= until);
        let share = view.share(ORDER, &view.own);
        member.usable.observe(now, share, view.is_complete() && trusts);
        member.view = Some(view);
    }

    /// The routers that one asks, in order.
    pub fn keepers(&self, viewer: usize) -> Vec<usize> {
        let view = self.members[viewer].view.as_ref();
        let names = view.map(|view| view.keepers(ORDER)).unwrap_or_default();
        names.into_iter().take(KEEPERS).map(|name| self.index(name)).collect()
    }

    /// What a router has of the quota for the requests of another.
    pub fn part(&mut self, now: Instant, keeper: usize, claimant: usize) -> Option<Part> {
        if now >= self.members[keeper].updated_at + UPDATE_INTERVAL * 2 {
            self.update(now, keeper);
        }
        let member = &self.members[keeper];
        let view = member.view.as_ref()?;
        let names = view.keepers(ORDER);
        if view.share(ORDER, &view.own) > 0.0 {
            let turning = view.turning_to(ORDER, &view.own);
            let is_served = view.keeps_for_all(ORDER) || turning.contains(&&self.names[claimant]);
            let part = Part { share: member.usable.usable(), is_standby: false };
            return Some(part).filter(|part| is_served && part.share > 0.0);
        }
        let first = names.first().filter(|_| names.get(1) == Some(&&view.own))?;
        Some(Part { share: view.share(ORDER, first), is_standby: true })
    }

    /// A standby that is asked finds out whether the first keeper has ended.
    pub fn probe(&mut self, now: Instant, standby: usize) {
        let Some(first) = self.keepers(standby).first().copied() else { return };
        let is_refused = !self.members[first].is_up
            && !self.is_cut(standby, first)
            && !self.is_cut(first, standby);
        if is_refused {
            self.members[standby].peers[first].is_down = true;
            self.update(now, standby);
        }
    }
}

fn is_young(now: Instant, at: Option<Instant>) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < PEER_TIMEOUT)
}
