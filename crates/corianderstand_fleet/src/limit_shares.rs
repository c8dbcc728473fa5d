//! Which part of a limit that all routers share one of them may use.
//!
//! Each router that is not proved gone owns an equal part of every limit. Silence proves nothing: a router that is not
//! heard may be cut off and still use its part. A limit's [`Order`] ranks the routers, and each one turns to the first
//! in that order that it hears and that hears it. That router, the keeper, uses the parts of all that turn to it.
//! Routers report whom they don't hear, so that each part is used by one keeper, whichever links are cut.
//!
//! A keeper gives parts up at once and takes them over after [`TAKE_OVER_DELAY`], when their last keeper has noticed as
//! well ([`Gradual`]).

use corianderstand_derives::derives;
use smol_str::SmolStr;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};
use xxhash_rust::xxh3;

/// Longest time by which one router notices later than another that a link between them is cut: an interval of hellos,
/// and one for the report that is lost.
pub const TAKE_OVER_DELAY: Duration = Duration::from_millis(2_200);
/// Routers with at least this part of the strongest one's processor capacity come first in each order.
const MIN_STRENGTH_RATIO: f64 = 0.5;

/// Hash of a router's name, by which routers name those that they don't hear.
#[derives(key)]
pub struct RouterHash(pub u32);

impl RouterHash {
    /// The hash of a name.
    pub fn of(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// Selects the order of the routers that may keep a limit.
#[derives(key)]
pub struct Order(pub u64);

/// Another router, as this one sees it.
#[derives(data)]
pub struct Router {
    /// Processor capacity, in thousandths of a core.
    pub strength: u32,
    /// Whether each of the two hears the other.
    pub is_connected: bool,
    /// Whether it may keep limits, as far as it told.
    pub is_fit: bool,
    /// Whether its process is known to have ended and was not heard since.
    pub is_down: bool,
    /// Whether all others have had time to learn of it.
    pub is_settled: bool,
    /// Whom it doesn't hear, as it reported.
    pub unheard: BTreeSet<RouterHash>,
}

/// The routers that are not proved gone, as one of them sees them.
#[derives(data)]
pub struct View {
    /// Name of the router itself.
    pub own: SmolStr,
    /// Its processor capacity, in thousandths of a core.
    pub strength: u32,
    /// Whether it may keep limits.
    pub is_fit: bool,
    /// Whether the others have had time to learn of it.
    pub is_settled: bool,
    /// All others.
    pub others: BTreeMap<SmolStr, Router>,
}

impl View {
    /// Number of parts of each limit.
    pub fn parts(&self) -> usize {
        1 + self.others.len()
    }

    /// Whether all routers but those that are down hear each other, so that none can use a part that another uses.
    pub fn is_complete(&self) -> bool {
        let is_down = |hash: &RouterHash| {
            self.others.iter().any(|(name, r)| r.is_down && RouterHash::of(name) == *hash)
        };
        self.others.values().all(|r| r.is_down || r.is_connected && r.unheard.iter().all(is_down))
    }

    /// Whether more than half of the routers are connected to this one, itself included.
    pub fn has_majority(&self) -> bool {
        let connected = 1 + self.others.values().filter(|r| r.is_connected).count();
        2 * connected > self.parts()
    }

    /// The routers that this one may turn to, the first that it should turn to first.
    pub fn keepers(&self, order: Order) -> Vec<&SmolStr> {
        let may_keep = |name: &SmolStr| match self.others.get(name) {
            Some(router) => router.is_connected && router.is_fit && !router.is_down,
            None => self.is_fit,
        };
        self.ranked(order).into_iter().filter(|name| may_keep(name)).collect()
    }

    /// The routers that turn to `keeper`, as far as this router sees, itself included.
    pub fn turning_to(&self, order: Order, keeper: &SmolStr) -> Vec<&SmolStr> {
        let ranked = self.ranked(order);
        let turns = |router: &&SmolStr| {
            let may_ask = |name: &&&SmolStr| **name == keeper || self.may_turn_to(router, name);
            self.is_reached(router)
                && self.hear_each_other(router, keeper)
                && ranked.iter().find(may_ask) == Some(&keeper)
        };
        ranked.iter().copied().filter(turns).collect()
    }

    /// The part of a limit that `keeper` may use, as far as this router sees.
    pub fn share(&self, order: Order, keeper: &SmolStr) -> f64 {
        let is_complete = self.is_complete();
        let turning = self.turning_to(order, keeper);
        let owners = turning.into_iter().filter(|name| self.may_own(name, is_complete));
        owners.count() as f64 / self.parts() as f64
    }

    /// Whether all routers that this one is connected to turn to it.
    pub fn keeps_for_all(&self, order: Order) -> bool {
        let reached = 1 + self.others.keys().filter(|name| self.is_reached(name)).count();
        self.turning_to(order, &self.own).len() == reached
    }

    /// The part of a limit that all routers together use that this one is connected to, itself included.
    pub fn connected_share(&self) -> f64 {
        let connected = self.others.values().filter(|r| r.is_connected).count();
        (1 + connected) as f64 / self.parts() as f64
    }

    fn is_reached(&self, name: &SmolStr) -> bool {
        self.others.get(name).is_none_or(|router| router.is_connected && !router.is_down)
    }

    /// Whether a router's part may be used at all. One that is stopping or starting leaves its part unused.
    fn may_own(&self, name: &SmolStr, is_complete: bool) -> bool {
        match self.others.get(name) {
            Some(router) => router.is_fit && (router.is_settled || is_complete),
            None => self.is_fit && (self.is_settled || is_complete),
        }
    }

    /// Whether a router may take another one for its keeper. What this router can't know counts as possible.
    fn may_turn_to(&self, owner: &SmolStr, keeper: &SmolStr) -> bool {
        let can_keep = match self.others.get(keeper) {
            Some(router) if router.is_down => false,
            Some(router) => router.is_fit || !router.is_connected,
            None => self.is_fit,
        };
        can_keep && self.hear_each_other(owner, keeper)
    }

    fn hear_each_other(&self, a: &SmolStr, b: &SmolStr) -> bool {
        a == b || (self.may_hear(a, b) && self.may_hear(b, a))
    }

    /// Whether `listener` may hear `speaker`.
    fn may_hear(&self, listener: &SmolStr, speaker: &SmolStr) -> bool {
        let reports_silence = self
            .others
            .get(listener)
            .is_some_and(|router| router.unheard.contains(&RouterHash::of(speaker)));
        match self.others.get(speaker) {
            _ if reports_silence => false,
            Some(speaker) if *listener == self.own => speaker.is_connected,
            // A router that this one doesn't hear may hear anyone.
            _ => true,
        }
    }

    /// All routers in a limit's order, the same at each router that knows the same ones.
    fn ranked(&self, order: Order) -> Vec<&SmolStr> {
        let strengths = self.others.values().map(|router| router.strength);
        let strongest = strengths.chain([self.strength]).max().unwrap_or_default();
        let min_strength = f64::from(strongest) * MIN_STRENGTH_RATIO;
        let rank = |name: &SmolStr, strength: u32| {
            let is_weak = f64::from(strength) < min_strength;
            (is_weak, xxh3::xxh3_64_with_seed(name.as_bytes(), order.0))
        };
        let others = self.others.iter().map(|(name, r)| (rank(name, r.strength), name));
        let mut ranked: Vec<_> = others.collect();
        ranked.push((rank(&self.own, self.strength), &self.own));
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, name)| name).collect()
    }
}

/// A share that shrinks at once and grows after [`TAKE_OVER_DELAY`].
#[derive(Clone, Debug)]
pub struct Gradual {
    samples: VecDeque<(Instant, f64)>,
}

impl Gradual {
    /// Nothing may be used at first.
    pub fn new(now: Instant) -> Self {
        Self { samples: VecDeque::from([(now, 0.0)]) }
    }

    /// Records the share as it is seen now. In a complete view nobody else can use it still.
    pub fn observe(&mut self, now: Instant, share: f64, is_complete: bool) {
        if is_complete {
            self.samples.clear();
        }
        let mut since = now;
        while let Some((at, _)) = self.samples.pop_back_if(|(_, last)| *last >= share) {
            since = at;
        }
        self.samples.push_back((since, share));
        // The second one has been the least for the whole time.
        let is_past = |at: Instant| now.saturating_duration_since(at) >= TAKE_OVER_DELAY;
        while self.samples.get(1).is_some_and(|(at, _)| is_past(*at)) {
            self.samples.pop_front();
        }
    }

    /// The share that may be used.
    pub fn usable(&self) -> f64 {
        self.samples.front().map_or(0.0, |(_, share)| *share)
    }
}
