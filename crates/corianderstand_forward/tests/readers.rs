//! Routers that let others of their zone read the store.

mod common;

use common::{MemoryStore, RouterThread, Target};
use corianderstand_forward::{
    copies::Copies,
    dialect::{Record, Subject},
    peers,
    readers::{Neighbour, Role, role},
    router,
};
use corianderstand_schema::peers::{PeerMessage, RouterNews, StoreUse};
use rstest::rstest;
use std::{net::SocketAddr, time::Duration};
use tokio::{net::UdpSocket, sync::watch};

/// Routers that are said to be in the zone, beside those that run.
const SAID: usize = 8;
/// Pause between two of their messages.
const SAY_PAUSE: Duration = Duration::from_millis(200);
/// Time for which calls are counted.
const COUNTED: Duration = Duration::from_secs(2);
/// Calls of a router that others read for, in that time: at most one each time that both readers are
/// busy.
const FEW: usize = 3;

fn neighbour(index: u16, store: StoreUse) -> Neighbour {
    let rank = peers::Rank::new(u32::from(index), &format!("router-{index}"));
    Neighbour { rank, addr: SocketAddr::from(([127, 0, 0, 1], index)), store }
}

fn zone(count: u16) -> Vec<Neighbour> {
    (1..=count).map(|index| neighbour(index, StoreUse::Reads)).collect()
}

fn own(strength: u32) -> peers::Rank {
    peers::Rank::new(strength, "own")
}

#[rstest]
#[case::a_small_zone_reads_one_and_all(7, 0, None)]
#[case::the_weakest_follows(12, 0, Some([11, 12]))]
#[case::the_third_follows(12, 10, Some([11, 12]))]
#[case::the_second_reads(12, 11, None)]
#[case::the_first_reads(12, 20, None)]
fn the_strongest_two_of_a_zone_read(
    #[case] others: u16,
    #[case] strength: u32,
    #[case] wanted: Option<[u16; 2]>,
) {
    let follows = match role(&own(strength), "own", &zone(others)) {
        Role::Follows(readers) => {
            let mut ports: Vec<_> = readers.iter().map(SocketAddr::port).collect();
            ports.sort_unstable();
            Some(ports)
        }
        _ => None,
    };
    assert_eq!(follows, wanted.map(|ports| ports.to_vec()));
}

/// Records of readers that the store turns away grow older and older.
#[test]
fn routers_that_have_lost_the_store_are_not_followed() {
    let mut zone = zone(12);
    zone[11].store = StoreUse::Lost;
    zone[10].store = StoreUse::Lost;
    let Role::Follows(readers) = role(&own(0), "own", &zone) else { panic!("two others read") };
    let mut ports: Vec<_> = readers.iter().map(SocketAddr::port).collect();
    ports.sort_unstable();
    assert_eq!(ports, [9, 10]);
    let all_lost: Vec<_> = (1..=12).map(|index| neighbour(index, StoreUse::Lost)).collect();
    assert_eq!(role(&own(0), "own", &all_lost), Role::ReadsInNeed, "it tries now and then");
    assert_eq!(role(&own(11), "own", &all_lost), Role::ReadsForOthers, "it goes on trying");
}

fn said(name: String, strength: u32, store: StoreUse) -> PeerMessage {
    PeerMessage::RouterNews(RouterNews {
        router: name.as_str().into(),
        incarnation: 1,
        zone: "here".into(),
        store,
        strength,
        fit: false,
        config_next: 0,
        targets_next: 0,
        models: Vec::new(),
        running: Vec::new(),
    })
}

/// Says for ever that there are other routers in the zone. One of them is stronger than all, so that
/// there are two readers, and refuses every transfer.
async fn say_neighbours(router: SocketAddr, store: watch::Receiver<StoreUse>) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    loop {
        for index in 0..SAID {
            let strength = if index == 0 { u32::MAX } else { 1 };
            let message = said(format!("said-{index}"), strength, *store.borrow());
            let message = postcard::to_stdvec(&message).unwrap();
            socket.send_to(&message, router).await.unwrap();
        }
        tokio::time::sleep(SAY_PAUSE).await;
    }
}

/// Settings of a router, with the bounds of a small deployment.
fn settings(name: &str, strength: u32, seeds: Vec<SocketAddr>) -> router::Settings {
    let mut settings = RouterThread::settings(name, seeds, Duration::from_secs(8));
    settings.strength = strength;
    settings.bounds.drain_within = Duration::from_secs(2);
    settings
}

/// A router that reads, one that follows it, and their stores.
struct Zone {
    store: MemoryStore,
    reader: RouterThread,
    readers_store: MemoryStore,
    follower: RouterThread,
    followers_store: MemoryStore,
    /// What the other routers say of the store.
    said: watch::Sender<StoreUse>,
    /// Its port belongs to nobody else meanwhile.
    _target: Target,
}

impl Zone {
    async fn start() -> Self {
        let store = MemoryStore::default();
        let target = Target::start().await;
        store.config(common::config(1, vec![common::route("/one/", "desk")]));
        store.target(target.entry("target-1", "desk"));
        let (readers_store, followers_store) = (store.isolated(), store.isolated());
        let reader = RouterThread::start_on(&readers_store, settings("reader", 2_000, Vec::new()));
        let weak = settings("follower", 1_000, vec![reader.peers]);
        let follower = RouterThread::start_on(&followers_store, weak);
        let (said, says) = watch::channel(StoreUse::Reads);
        tokio::spawn(say_neighbours(follower.peers, says));
        reader.wait_ready().await;
        follower.wait_ready().await;
        let zone =
            Self { store, reader, readers_store, follower, followers_store, said, _target: target };
        zone.wait_follows().await;
        zone
    }

    /// Waits until the follower makes few calls.
    async fn wait_follows(&self) {
        let wait = async {
            loop {
                let before = self.followers_store.read_count();
                tokio::time::sleep(COUNTED).await;
                if self.followers_store.read_count() - before <= FEW {
                    return;
                }
            }
        };
        tokio::time::timeout(common::WAIT_LIMIT, wait).await.expect("it lets others read");
    }

    /// Time until the follower no longer says that a path leads nowhere.
    async fn known_after(&self, path: &str) -> Duration {
        let began = tokio::time::Instant::now();
        let ask = async {
            let headers = [("x-id", "r"), ("x-deadline-ms", "200")];
            while common::get(self.follower.front, path, &headers).await.unwrap()[9..12] == *"404" {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(common::WAIT_LIMIT, ask).await.expect("the configuration is known");
        began.elapsed()
    }
}

/// Calls to the store grow with the number of routers, or a change does not come to those that follow.
#[tokio::test]
async fn a_change_comes_to_a_router_that_others_read_for() {
    let zone = Zone::start().await;
    let before = (zone.followers_store.read_count(), zone.readers_store.read_count());
    zone.store.config(common::config(2, vec![common::route("/two/", "desk")]));
    let took = zone.known_after("/two/").await;
    assert!(took < zone.follower.settings.bounds.config_within, "in force after {took:?}");
    tokio::time::sleep(COUNTED).await;
    let calls = zone.followers_store.read_count() - before.0;
    assert!(calls <= 2 * FEW, "{calls} calls of the follower");
    assert!(zone.readers_store.read_count() - before.1 > FEW, "the reader reads");
}

/// The store turns the reader away just before a change, and nobody tells those that follow it.
#[tokio::test]
async fn a_change_comes_although_the_reader_has_lost_the_store() {
    let zone = Zone::start().await;
    zone.readers_store.set_unavailable(true);
    zone.store.config(common::config(2, vec![common::route("/two/", "desk")]));
    let took = zone.known_after("/two/").await;
    assert!(took < zone.follower.settings.bounds.config_within, "in force after {took:?}");
}

/// The reader ends without a word just before a change.
#[tokio::test]
async fn a_target_that_leaves_is_known_although_the_reader_has_ended() {
    let mut zone = Zone::start().await;
    zone.reader.stop();
    let other = Target::start().await;
    zone.store.target(other.entry("target-2", "desk"));
    zone.store.target_gone("target-1");
    let ask = async {
        loop {
            let headers = [("x-id", "r"), ("x-deadline-ms", "300")];
            drop(common::get(zone.follower.front, "/one/1", &headers).await);
        }
    };
    let served = async { other.next().await.answer_whole("r", "paid").await };
    tokio::select! {
        () = ask => {}
        () = served => {}
    }
}

/// Small hosts' links are full of renewals that say nothing new.
#[test]
fn renewals_are_not_handed_over_again() {
    let record =
        |key: &str, offset| Record { key: key.into(), value: Some("entry".into()), offset };
    let (subject, mut copies) = (Subject::Targets, Copies::default());
    copies.keep(subject, record("same", 1), 7);
    copies.keep(subject, record("other", 2), 8);
    copies.keep(subject, record("same", 3), 7);
    copies.keep(subject, record("other", 4), 9);
    let gone = Record { value: None, ..record("gone", 5) };
    copies.keep(subject, gone.clone(), 0);
    copies.advance(subject, 6);
    let page = copies.changes(subject, 3);
    let mut keys: Vec<_> = page.records.iter().map(|record| record.key.as_str()).collect();
    keys.sort_unstable();
    assert_eq!(keys, ["gone", "other"], "what was removed is news as well");
    assert!(!page.whole && page.next == 6);
    assert_eq!(copies.page(subject).records.len(), 3, "a router that starts takes all");
}

/// A store that is coming back is asked by each of hundreds of routers three times a second.
#[tokio::test]
async fn a_router_that_others_read_for_asks_a_store_that_is_away_seldom() {
    let zone = Zone::start().await;
    zone.store.set_down(true);
    zone.said.send(StoreUse::Lost).unwrap();
    tokio::time::sleep(COUNTED).await;
    let before = (zone.followers_store.read_count(), zone.readers_store.read_count());
    tokio::time::sleep(2 * COUNTED).await;
    let calls = zone.followers_store.read_count() - before.0;
    let readers_calls = zone.readers_store.read_count() - before.1;
    assert!(calls * 3 < readers_calls, "{calls} calls beside the reader's {readers_calls}");
    zone.store.set_down(false);
    zone.said.send(StoreUse::Reads).unwrap();
    zone.store.config(common::config(2, vec![common::route("/two/", "desk")]));
    let took = zone.known_after("/two/").await;
    assert!(took < zone.follower.settings.bounds.config_within, "in force after {took:?}");
}
