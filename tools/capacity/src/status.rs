//! Simulates how routers learn of each other: each from all others, or through hubs.
//!
//! Both run the routers' own code ([`corianderstand_forward::peers`]), without sockets.

use corianderstand_forward::{
    dialect::RouterEntry,
    peers::{Own, Peers, Planner},
};
use corianderstand_schema::peers::{PeerMessage, RouterUpdate, StoreUse};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// More routers take minutes to simulate.
const SIZES: [(usize, Way); 5] =
    [(100, Way::Mesh), (350, Way::Mesh), (100, Way::Hubs), (350, Way::Hubs), (1_000, Way::Hubs)];
const ZONES: usize = 5;
const STRONG_PER_ZONE: usize = 10;
const LOSS: f64 = 0.01;
const TICK: Duration = Duration::from_millis(250);
const HELLO_INTERVAL: Duration = Duration::from_millis(1_000);
const MEASURED: Duration = Duration::from_secs(4);
/// Longest time simulated after the loss of the planner and of all hubs of its zone.
const MAX_AGREEMENT: Duration = Duration::from_secs(15);
/// Resolution of that time.
const AGREEMENT_INTERVAL: Duration = Duration::from_millis(500);
const LOST_HUBS: usize = 4;

/// How routers learn of each other.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
pub enum Way {
    /// Each sends its status to all others.
    Mesh,
    /// Through the hubs of each zone.
    Hubs,
}

/// Cost of one way at one size.
#[derive(Clone, Debug, Serialize)]
pub struct StatusCost {
    /// How routers learn of each other.
    pub way: Way,
    /// Number of routers.
    pub routers: usize,
    /// Messages per second into the router in the middle.
    pub messages_middle: f64,
    /// Messages per second into the busiest router.
    pub messages_busiest: f64,
    /// Payload into the router in the middle, in KB per second.
    pub kb_middle: f64,
    /// Payload into the busiest router, in KB per second.
    pub kb_busiest: f64,
    /// Time until all running routers agree on a planner, after the planner and the hubs of its zone were lost;
    /// none within the simulated time.
    pub agreement_ms: Option<u64>,
}

/// Simulates both ways at all sizes.
pub fn simulate() -> Vec<StatusCost> {
    SIZES.into_iter().map(|(routers, way)| Fleet::new(routers, way).measure(way)).collect()
}

fn addr(index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_380))
}

fn strength(index: usize) -> u32 {
    if index / ZONES < STRONG_PER_ZONE { 1_000 } else { 90 }
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

fn name(index: usize) -> String {
    format!("edge-zone-{}-{index:04}", index % ZONES)
}

fn hello(index: usize, planner: Option<SocketAddr>) -> RouterUpdate {
    RouterUpdate {
        router: name(index).as_str().into(),
        incarnation: 1_790_000_000_000,
        zone: zone(index).as_str().into(),
        store: StoreUse::Reads,
        strength: strength(index),
        delay_ms: 0,
        fit: true,
        config_next: 1_000,
        targets_next: 100_000,
        routers_next: 1_000,
        planner: planner.map(|addr| addr.to_string()).unwrap_or_default().into(),
        expects_updates: true,
        models: Vec::new(),
        running: Vec::new(),
    }
}

fn hello_bytes() -> f64 {
    let message = PeerMessage::RouterNews(hello(1, Some(addr(1))));
    postcard::to_stdvec(&message).map_or(0.0, |bytes| bytes.len() as f64)
}

struct Fleet {
    now: Instant,
    routers: Vec<Peers>,
    lost: Vec<bool>,
    sent_at: Vec<Option<Instant>>,
    /// Whether each was the planner when it last sent its status.
    plans: Vec<bool>,
    received: Vec<usize>,
    by_addr: HashMap<SocketAddr, usize>,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(count: usize, way: Way) -> Self {
        let now = Instant::now();
        let router = |index: usize| {
            let zone = zone(index).as_str().into();
            let own = Own {
                name: name(index).into(),
                zone,
                strength: strength(index),
                addr: addr(index),
            };
            let mut peers = Peers::new(own);
            peers.set_needs_mesh(way == Way::Mesh);
            for other in (0..count).filter(|other| *other != index) {
                let entry = RouterEntry {
                    router: name(other).into(),
                    addr: addr(other),
                    zone: Some(self::zone(other).as_str().into()),
                    strength: strength(other),
                    is_suspected: false,
                    versions: Default::default(),
                };
                peers.add_announced(now, entry);
            }
            peers
        };
        Self {
            now,
            routers: (0..count).map(router).collect(),
            lost: vec![false; count],
            sent_at: vec![None; count],
            plans: vec![false; count],
            received: vec![0; count],
            by_addr: (0..count).map(|index| (addr(index), index)).collect(),
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    fn planner(&self, index: usize) -> Option<SocketAddr> {
        match self.routers[index].planner(self.now) {
            Planner::Own => Some(addr(index)),
            Planner::Other(planner) => planner,
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for index in (0..self.routers.len()).filter(|index| !self.lost[*index]).collect::<Vec<_>>()
        {
            let now = self.now;
            self.routers[index].select_hubs(now);
            let interval = if self.plans[index] { HELLO_INTERVAL / 4 } else { HELLO_INTERVAL };
            let is_due = self.sent_at[index].is_none_or(|at| now >= at + interval);
            if !is_due {
                continue;
            }
            self.sent_at[index] = Some(now);
            let planner = self.planner(index);
            self.plans[index] = planner == Some(addr(index));
            let update = hello(index, planner);
            for to in self.routers[index].contacts(now) {
                let to = self.by_addr[&to];
                if !self.lost[to] && self.rng.random::<f64>() >= LOSS {
                    self.received[to] += 1;
                    self.routers[to].on_update(now, addr(index), update.clone());
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Whether all running routers name the same one of them as the planner.
    fn agrees(&self) -> bool {
        let running = (0..self.routers.len()).filter(|index| !self.lost[*index]);
        let mut planners: Vec<_> = running.map(|index| self.planner(index)).collect();
        planners.dedup();
        let is_running = |planner: &SocketAddr| !self.lost[self.by_addr[planner]];
        matches!(&planners[..], [Some(planner)] if is_running(planner))
    }

    fn measure(mut self, way: Way) -> StatusCost {
        self.run(MEASURED);
        self.received.iter_mut().for_each(|count| *count = 0);
        self.run(MEASURED);
        let mut received = self.received.clone();
        received.sort_unstable();
        (0..LOST_HUBS).for_each(|place| self.lost[place * ZONES] = true);
        let lost_at = self.now;
        while !self.agrees() && self.now < lost_at + MAX_AGREEMENT {
            self.run(AGREEMENT_INTERVAL);
        }
        let agreement = self.agrees().then(|| (self.now - lost_at).as_millis() as u64);
        let per_s = |count: usize| count as f64 / MEASURED.as_secs_f64();
        let messages_middle = per_s(received[received.len() / 2]);
        let messages_busiest = per_s(received[received.len() - 1]);
        StatusCost {
            way,
            routers: self.routers.len(),
            messages_middle,
            messages_busiest,
            kb_middle: messages_middle * hello_bytes() / 1_000.0,
            kb_busiest: messages_busiest * hello_bytes() / 1_000.0,
            agreement_ms: agreement,
        }
    }
}
