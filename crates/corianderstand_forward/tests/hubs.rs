//! Hubs: which routers exchange status in a large deployment, and what happens when hubs are lost.

mod common;

use corianderstand_forward::{
    dialect::{RouterEntry, Subject},
    hubs,
    peers::{Own, Peers, Planner},
    readers::Role,
};
use corianderstand_schema::peers::{RouterUpdate, StoreUse};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

const ZONES: usize = 5;
const STRONG_PER_ZONE: usize = 10;
const HELLO_INTERVAL: Duration = Duration::from_millis(1_000);
const TICK: Duration = Duration::from_millis(100);

fn addr(index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_380))
}

fn name(index: usize) -> String {
    format!("router-{index:04}")
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

/// The first routers of each zone are strong hosts.
fn strength(index: usize) -> u32 {
    if index / ZONES < STRONG_PER_ZONE { 1_000 } else { 90 }
}

fn entry(index: usize) -> RouterEntry {
    RouterEntry {
        router: name(index).into(),
        addr: addr(index),
        zone: Some(zone(index).as_str().into()),
        strength: strength(index),
        is_suspected: false,
        versions: Default::default(),
    }
}

fn update(index: usize, planner: Option<SocketAddr>) -> RouterUpdate {
    RouterUpdate {
        router: name(index).as_str().into(),
        incarnation: 1,
        zone: zone(index).as_str().into(),
        store: StoreUse::Reads,
        strength: strength(index),
        delay_ms: 0,
        fit: true,
        config_next: 7,
        targets_next: 0,
        routers_next: 0,
        planner: planner.map(|addr| addr.to_string()).unwrap_or_default().into(),
        expects_updates: true,
        models: Vec::new(),
        running: Vec::new(),
    }
}

/// A router that knows `count` routers, itself among them.
fn peers(index: usize, count: usize, now: Instant) -> Peers {
    let own = Own {
        name: name(index).into(),
        zone: zone(index).as_str().into(),
        strength: strength(index),
        addr: addr(index),
    };
    let mut peers = Peers::new(own);
    for other in (0..count).filter(|other| *other != index) {
        peers.add_announced(now, entry(other));
    }
    peers.select_hubs(now);
    peers
}

#[test]
fn routers_of_a_small_deployment_are_all_contacts() {
    let now = Instant::now();
    let peers = peers(0, hubs::MAX_MESH_ROUTERS, now);
    assert!(peers.is_mesh());
    assert_eq!(peers.contacts(now).len(), hubs::MAX_MESH_ROUTERS - 1);
    assert_eq!(peers.fan_out().direct.len(), hubs::MAX_MESH_ROUTERS - 1);
}

/// Guards against status messages that grow with the number of all routers.
#[rstest]
#[case::of_hundreds(357)]
#[case::twice_as_many(714)]
fn contacts_grow_with_the_zone_only(#[case] count: usize) {
    let now = Instant::now();
    let follower = peers(count - 1, count, now);
    assert_eq!(follower.contacts(now).len(), hubs::HUB_COUNT);
    assert_eq!(follower.fan_out().relays.len(), ZONES * hubs::RELAY_COUNT);
    let hub = peers(0, count, now);
    let zone_size = count.div_ceil(ZONES);
    assert_eq!(hub.contacts(now).len(), zone_size - 1 + (ZONES - 1) * hubs::HUB_COUNT);
    assert!(hub.is_relay() && !follower.is_relay());
}

/// Guards against quotas kept by routers that know only some of the others.
#[test]
fn all_routers_are_contacts_where_each_must_hear_all_others() {
    let now = Instant::now();
    let mut peers = peers(0, 357, now);
    peers.set_needs_mesh(true);
    peers.select_hubs(now);
    assert_eq!(peers.contacts(now).len(), 356);
}

/// Guards against routers that follow a reader which was lost without notice.
#[test]
fn a_silent_hub_is_replaced_and_returns_when_it_is_heard() {
    let start = Instant::now();
    let (count, own) = (100, 99);
    let mut follower = peers(own, count, start);
    let hub_of_zone = |place: usize| own % ZONES + place * ZONES;
    let readers = |peers: &Peers, now| match peers.role(now) {
        Role::Follows(mut readers) => {
            readers.sort_unstable();
            readers
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(readers(&follower, start), [addr(hub_of_zone(0)), addr(hub_of_zone(1))]);
    let mut now = start;
    for _ in 0..4 {
        now += HELLO_INTERVAL;
        for place in 1..hubs::HUB_COUNT {
            follower.on_update(now, addr(hub_of_zone(place)), update(hub_of_zone(place), None));
        }
        follower.select_hubs(now);
    }
    assert_eq!(readers(&follower, now), [addr(hub_of_zone(1)), addr(hub_of_zone(2))]);
    follower.on_update(now, addr(hub_of_zone(0)), update(hub_of_zone(0), None));
    follower.select_hubs(now);
    assert_eq!(readers(&follower, now), [addr(hub_of_zone(0)), addr(hub_of_zone(1))]);
}

/// Guards against retry budgets and limits that count routers only while they are heard.
#[test]
fn routers_that_need_not_be_heard_count_as_running() {
    let start = Instant::now();
    let mut follower = peers(99, 100, start);
    let later = start + HELLO_INTERVAL * 60;
    for place in 0..hubs::HUB_COUNT {
        let hub = 99 % ZONES + place * ZONES;
        follower.on_update(later, addr(hub), update(hub, None));
    }
    follower.select_hubs(later);
    follower.expire(later);
    assert_eq!(follower.live(later).count(), 99);
}

#[test]
fn a_follower_learns_the_planner_from_its_hub() {
    let now = Instant::now();
    let mut follower = peers(99, 100, now);
    assert_eq!(follower.planner(now), Planner::Other(None));
    follower.on_update(now, addr(4), update(4, Some(addr(0))));
    assert_eq!(follower.planner(now), Planner::Other(Some(addr(0))));
}

/// Routers that exchange status over links that lose datagrams, some of them killed.
struct Fleet {
    now: Instant,
    routers: Vec<Peers>,
    killed: Vec<bool>,
    hello_sent_at: Vec<Option<Instant>>,
    received: Vec<usize>,
    loss: f64,
    rng: ChaCha8Rng,
    by_addr: HashMap<SocketAddr, usize>,
}

impl Fleet {
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        let now = Instant::now();
        Self {
            now,
            routers: (0..count).map(|index| peers(index, count, now)).collect(),
            killed: vec![false; count],
            hello_sent_at: vec![None; count],
            received: vec![0; count],
            loss,
            rng: ChaCha8Rng::seed_from_u64(seed),
            by_addr: (0..count).map(|index| (addr(index), index)).collect(),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for index in 0..self.routers.len() {
                if !self.killed[index] {
                    self.step(index);
                }
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let router = &mut self.routers[index];
        router.select_hubs(now);
        router.expire(now);
        let is_planner = router.planner(now) == Planner::Own;
        let sent_at = self.hello_sent_at[index];
        let interval = if is_planner { HELLO_INTERVAL / 4 } else { HELLO_INTERVAL };
        if sent_at.is_some_and(|at| now.saturating_duration_since(at) < interval) {
            return;
        }
        self.hello_sent_at[index] = Some(now);
        let planner = match router.planner(now) {
            Planner::Own => Some(addr(index)),
            Planner::Other(planner) => planner,
        };
        let hello = update(index, planner);
        for to in self.routers[index].contacts(now) {
            let to = self.by_addr[&to];
            if !self.killed[to] && self.rng.random::<f64>() >= self.loss {
                self.received[to] += 1;
                self.routers[to].on_update(now, addr(index), hello.clone());
            }
        }
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.routers.len()).filter(|index| !self.killed[*index])
    }

    /// The planner of each running router, by its address.
    fn planners(&self) -> Vec<Option<SocketAddr>> {
        let planner = |index: usize| match self.routers[index].planner(self.now) {
            Planner::Own => Some(addr(index)),
            Planner::Other(planner) => planner,
        };
        self.running().map(planner).collect()
    }

    fn agrees_on(&self, planner: usize) -> bool {
        self.planners().iter().all(|other| *other == Some(addr(planner)))
    }
}

/// Guards against two planners, or none, after the strongest routers were lost together.
#[rstest]
#[case::few(60, 0.0, 1)]
#[case::with_losses(120, 0.05, 2)]
#[case::larger(200, 0.02, 3)]
fn all_routers_agree_on_a_planner_after_hubs_were_lost(
    #[case] count: usize,
    #[case] loss: f64,
    #[case] seed: u64,
) {
    let mut fleet = Fleet::new(count, loss, seed);
    fleet.run(HELLO_INTERVAL * 5);
    assert!(fleet.agrees_on(0), "{:?}", fleet.planners());
    // All hubs of zone 0, the planner among them, and one hub of each other zone.
    (0..hubs::HUB_COUNT).for_each(|place| fleet.killed[place * ZONES] = true);
    (1..ZONES).for_each(|zone| fleet.killed[zone] = true);
    fleet.run(HELLO_INTERVAL * 9);
    assert!(fleet.agrees_on(ZONES + 1), "{:?}", fleet.planners());
    // A router is heard again that comes back.
    fleet.killed[0] = false;
    fleet.run(HELLO_INTERVAL * 6);
    assert!(fleet.agrees_on(0), "{:?}", fleet.planners());
}

/// Guards against routers without a planner for good after a third of them was killed at random.
#[rstest]
fn all_routers_agree_on_a_planner_after_random_losses(#[values(11, 12, 13, 14)] seed: u64) {
    let count = 150;
    let mut fleet = Fleet::new(count, 0.05, seed);
    fleet.run(HELLO_INTERVAL * 3);
    let indices: Vec<usize> = (0..count).collect();
    let killed: Vec<usize> = indices.sample(&mut fleet.rng, count / 3).copied().collect();
    killed.iter().for_each(|index| fleet.killed[*index] = true);
    fleet.run(HELLO_INTERVAL * 15);
    let strongest = fleet.running().filter(|index| strength(*index) == 1_000).min();
    let expected = strongest.expect("a strong router is left");
    assert!(fleet.agrees_on(expected), "{expected}: {:?}", fleet.planners());
}

/// Guards against messages into each router that grow with the deployment.
#[test]
fn messages_into_a_router_are_bounded() {
    let mut fleet = Fleet::new(357, 0.0, 5);
    fleet.run(HELLO_INTERVAL * 3);
    let mut received: Vec<usize> = fleet.received.iter().map(|count| count / 3).collect();
    received.sort_unstable();
    let (middle, busiest) = (received[received.len() / 2], received[received.len() - 1]);
    assert!(middle <= 2 * hubs::HUB_COUNT, "{middle} a second into the middle one");
    assert!(busiest <= 357 / ZONES + 8 * ZONES, "{busiest} a second into the busiest");
}

#[test]
fn newer_records_of_contacts_are_known() {
    let now = Instant::now();
    let mut follower = peers(99, 100, now);
    assert_eq!(follower.ahead(now, Subject::Config, common::progress(0)).count(), 0);
    follower.on_update(now, addr(4), update(4, None));
    let ahead: Vec<_> = follower.ahead(now, Subject::Config, common::progress(0)).collect();
    assert_eq!(ahead, [(common::progress(7), addr(4))]);
}
