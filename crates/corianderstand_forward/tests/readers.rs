//! Routers that follow reader routers of their zone instead of reading the store.

mod common;

use common::{MemoryStore, RouterThread, Target, content, position};
use corianderstand_forward::{
    dialect::{Page, Record, RouterEntry, Subject},
    hubs, peers,
    readers::{self, Neighbour, READER_COUNT, Role},
    replicated_records::{PageEnd, ReplicatedRecords, Source},
    router,
};
use corianderstand_schema::peers::{PeerMessage, RouterUpdate, StoreUse};
use corianderstand_types::position::{Era, Position};
use rstest::rstest;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{net::UdpSocket, sync::watch};

/// Simulated routers in the zone, in addition to the running ones.
const SIMULATED_ROUTERS: usize = 8;
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
const COUNTING_TIME: Duration = Duration::from_secs(2);
/// Maximum calls of a follower in that time: one whenever both readers are busy.
const MAX_FOLLOWER_CALLS: usize = 3;

fn neighbour(index: u16, store: StoreUse) -> Neighbour {
    let rank = peers::Rank::new(u32::from(index), &format!("router-{index}"));
    Neighbour { rank, addr: SocketAddr::from(([127, 0, 0, 1], index)), store_use: store }
}

fn zone(count: u16) -> Vec<Neighbour> {
    (1..=count).map(|index| neighbour(index, StoreUse::Reads)).collect()
}

/// Role of a router in a zone of `neighbours` and itself.
fn role(own: &peers::Rank, store_readers: usize, neighbours: &[Neighbour]) -> Role {
    let zone = readers::Zone { size: neighbours.len() + 1, store_readers, neighbours };
    readers::role(own, "own", &zone)
}

fn own(strength: u32) -> peers::Rank {
    peers::Rank::new(strength, "own")
}

#[rstest]
#[case::all_routers_of_a_small_zone_read(3, 0, None)]
#[case::the_weakest_of_five_follows(4, 0, Some([3, 4]))]
#[case::the_second_of_eight_reads(7, 6, None)]
#[case::the_weakest_follows(12, 0, Some([11, 12]))]
#[case::the_third_follows(12, 10, Some([11, 12]))]
#[case::the_second_reads(12, 11, None)]
#[case::the_first_reads(12, 20, None)]
fn the_strongest_two_of_a_zone_read(
    #[case] others: u16,
    #[case] strength: u32,
    #[case] expected: Option<[u16; 2]>,
) {
    let follows = match role(&own(strength), READER_COUNT, &zone(others)) {
        Role::Follows(readers) => {
            let mut ports: Vec<_> = readers.iter().map(SocketAddr::port).collect();
            ports.sort_unstable();
            Some(ports)
        }
        _ => None,
    };
    assert_eq!(follows, expected.map(|ports| ports.to_vec()));
}

/// Followers of a reader without the store would get ever older records.
#[test]
fn routers_that_have_lost_the_store_are_not_followed() {
    let mut zone = zone(12);
    zone[11].store_use = StoreUse::Lost;
    zone[10].store_use = StoreUse::Lost;
    let Role::Follows(readers) = role(&own(0), READER_COUNT, &zone) else {
        panic!("two others read")
    };
    let mut ports: Vec<_> = readers.iter().map(SocketAddr::port).collect();
    ports.sort_unstable();
    assert_eq!(ports, [9, 10]);
    let all_lost: Vec<_> = (1..=12).map(|index| neighbour(index, StoreUse::Lost)).collect();
    assert_eq!(
        role(&own(0), READER_COUNT, &all_lost),
        Role::ReadsAsFallback,
        "it tries the store at a low rate"
    );
    assert_eq!(
        role(&own(11), READER_COUNT, &all_lost),
        Role::ReadsForOthers,
        "it keeps reading the store"
    );
}

/// Guards against zones whose only reader of the store is lost, and against calls by a second one beside it.
#[test]
fn the_second_reader_follows_the_first_until_it_has_lost_the_store() {
    let mut zone = zone(12);
    assert_eq!(role(&own(20), 1, &zone), Role::ReadsForOthers);
    assert_eq!(role(&own(11), 1, &zone), Role::Follows(vec![zone[11].addr]));
    let Role::Follows(readers) = role(&own(0), 1, &zone) else { panic!("two others read") };
    assert_eq!(readers.len(), READER_COUNT, "others may ask both");
    zone[11].store_use = StoreUse::Lost;
    assert_eq!(role(&own(11), 1, &zone), Role::ReadsForOthers);
}

/// Guards against records that look younger at each router that they pass through.
#[test]
fn records_keep_the_time_of_their_read() {
    let (subject, now) = (Subject::Targets, Instant::now());
    let mut records = ReplicatedRecords::default();
    records.record_read(now, now - Duration::from_secs(2), subject);
    assert_eq!(records.since_store_read(now, subject), Some(Duration::from_secs(2)));
    records.record_read(now, now - Duration::from_secs(3), subject);
    assert_eq!(records.since_store_read(now, subject), Some(Duration::from_secs(2)));
}

fn router_update(name: String, strength: u32, store: StoreUse) -> PeerMessage {
    PeerMessage::RouterNews(RouterUpdate { store, strength, ..common::router_update(&name) })
}

/// The strongest simulated router acts as the second reader and refuses all transfers.
async fn simulate_neighbours(router: SocketAddr, store: watch::Receiver<StoreUse>) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    loop {
        for index in 0..SIMULATED_ROUTERS {
            let strength = if index == 0 { u32::MAX } else { 1 };
            let message = router_update(format!("simulated-{index}"), strength, *store.borrow());
            let message = postcard::to_stdvec(&message).unwrap();
            socket.send_to(&message, router).await.unwrap();
        }
        tokio::time::sleep(UPDATE_INTERVAL).await;
    }
}

fn settings(name: &str, strength: u32, seeds: Vec<SocketAddr>) -> router::Settings {
    let mut settings = RouterThread::settings(name, seeds, Duration::from_secs(8));
    settings.cpu_millicores = strength;
    settings.bounds.drain_within = Duration::from_secs(2);
    settings
}

/// A reader, a follower of it, and their stores.
struct Zone {
    store: MemoryStore,
    reader: RouterThread,
    readers_store: MemoryStore,
    follower: RouterThread,
    followers_store: MemoryStore,
    /// How the simulated routers report to use the store.
    simulated_store_use: watch::Sender<StoreUse>,
    /// Keeps the target's port reserved.
    _target: Target,
}

impl Zone {
    async fn start() -> Self {
        let store = MemoryStore::default();
        let target = Target::start().await;
        store.put_config(common::config(1, vec![common::route("/one/", "desk")]));
        store.put_target(target.entry("target-1", "desk"));
        let (readers_store, followers_store) = (store.isolated(), store.isolated());
        let reader = RouterThread::start_on(&readers_store, settings("reader", 2_000, Vec::new()));
        let follower_settings = settings("follower", 1_000, vec![reader.peers]);
        let follower = RouterThread::start_on(&followers_store, follower_settings);
        let (simulated_store_use, receiver) = watch::channel(StoreUse::Reads);
        tokio::spawn(simulate_neighbours(follower.peers, receiver));
        reader.wait_ready().await;
        follower.wait_ready().await;
        let zone = Self {
            store,
            reader,
            readers_store,
            follower,
            followers_store,
            simulated_store_use,
            _target: target,
        };
        zone.wait_until_following().await;
        zone
    }

    /// Waits until the follower makes few calls to the store.
    async fn wait_until_following(&self) {
        let wait = async {
            loop {
                let before = self.followers_store.read_count();
                tokio::time::sleep(COUNTING_TIME).await;
                if self.followers_store.read_count() - before <= MAX_FOLLOWER_CALLS {
                    return;
                }
            }
        };
        tokio::time::timeout(common::WAIT_LIMIT, wait).await.expect("the router follows");
    }

    /// Time until the follower no longer answers 404 on a path.
    async fn time_until_known(&self, path: &str) -> Duration {
        let started_at = tokio::time::Instant::now();
        let poll = async {
            let headers = [("x-id", "r"), ("x-deadline-ms", "200")];
            while common::get(self.follower.front, path, &headers).await.unwrap()[9..12] == *"404" {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(common::WAIT_LIMIT, poll).await.expect("the configuration is known");
        started_at.elapsed()
    }
}

/// Store calls must not grow with the number of routers, nor changes arrive late.
#[tokio::test]
async fn a_follower_receives_a_change_with_few_store_calls() {
    let zone = Zone::start().await;
    let before = (zone.followers_store.read_count(), zone.readers_store.read_count());
    zone.store.put_config(common::config(2, vec![common::route("/two/", "desk")]));
    let elapsed = zone.time_until_known("/two/").await;
    assert!(elapsed < zone.follower.settings.bounds.config_within, "in force after {elapsed:?}");
    tokio::time::sleep(COUNTING_TIME).await;
    let calls = zone.followers_store.read_count() - before.0;
    assert!(calls <= 2 * MAX_FOLLOWER_CALLS, "{calls} calls of the follower");
    assert!(zone.readers_store.read_count() - before.1 > MAX_FOLLOWER_CALLS, "the reader reads");
}

/// Followers must notice on their own that the reader has lost the store.
#[tokio::test]
async fn a_follower_receives_a_change_although_its_reader_has_lost_the_store() {
    let zone = Zone::start().await;
    zone.readers_store.set_unavailable(true);
    zone.store.put_config(common::config(2, vec![common::route("/two/", "desk")]));
    let elapsed = zone.time_until_known("/two/").await;
    assert!(elapsed < zone.follower.settings.bounds.config_within, "in force after {elapsed:?}");
}

/// Followers must notice a reader that ends without notice.
#[tokio::test]
async fn a_follower_learns_of_a_removed_target_although_its_reader_has_stopped() {
    let mut zone = Zone::start().await;
    zone.reader.stop();
    let other = Target::start().await;
    zone.store.put_target(other.entry("target-2", "desk"));
    zone.store.remove_target("target-1");
    let poll = async {
        loop {
            let headers = [("x-id", "r"), ("x-deadline-ms", "300")];
            drop(common::get(zone.follower.front, "/one/1", &headers).await);
        }
    };
    let served = async { other.next().await.answer_whole("r", "paid").await };
    tokio::select! {
        () = poll => {}
        () = served => {}
    }
}

/// Guards against a target that a follower keeps for good, as its reader started after the target's removal.
#[tokio::test]
async fn a_follower_learns_of_a_removal_from_a_reader_that_started_after_it() {
    let mut zone = Zone::start().await;
    zone.followers_store.set_unavailable(true);
    zone.reader.stop();
    while !zone.reader.has_ended() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let other = Target::start().await;
    zone.store.put_target(other.entry("target-2", "another"));
    zone.store.remove_target("target-1");
    zone.reader = RouterThread::start_on(&zone.readers_store, zone.reader.settings.clone());
    zone.reader.wait_ready().await;
    let removed = async {
        let headers = [("x-id", "r"), ("x-deadline-ms", "300")];
        while common::get(zone.follower.front, "/one/1", &headers).await.unwrap()[9..12] != *"503" {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let within = zone.follower.settings.bounds.drain_within * 3;
    tokio::time::timeout(within, removed).await.expect("no request is sent to the target");
}

/// Guards against changes without the removals that a reader never heard of: what it starts with lacks them.
#[test]
fn changes_since_before_the_first_read_are_all_records() {
    let (subject, mut records) = (Subject::Targets, ReplicatedRecords::default());
    let kept = Record { key: "kept".into(), value: Some("entry".into()), position: position(2) };
    records.insert(subject, kept, Source::Store, content(7));
    records.advance(subject, PageEnd { next: position(6), whole: true });
    assert!(records.changes(subject, position(5)).whole);
    assert!(!records.changes(subject, position(6)).whole, "what follows is known");
    records.advance(subject, PageEnd { next: position(9), whole: false });
    assert!(!records.changes(subject, position(6)).whole);
    // After a compaction the newest of each key is read again.
    records.advance(subject, PageEnd { next: position(12), whole: true });
    assert!(records.changes(subject, position(9)).whole);
}

/// Guards against a removed target that a page from a peer brings back, as it was sent before the removal.
#[test]
fn a_page_that_ends_before_the_known_records_changes_nothing() {
    let (subject, mut records) = (Subject::Targets, ReplicatedRecords::default());
    let record = |key: &str, offset| Record {
        key: key.into(),
        value: Some("x".into()),
        position: position(offset),
    };
    records.insert(subject, record("kept", 2), Source::Store, content(7));
    records.advance(subject, PageEnd { next: position(9), whole: true });
    let page = |next| Page {
        records: vec![record("removed", 4), record("kept", 2)],
        next: position(next),
        whole: true,
        reaches_end: false,
    };
    assert_eq!(records.newer(subject, page(8)), []);
    assert_eq!(records.newer(subject, page(10)), [record("removed", 4)], "a later page has it");
}

/// Guards against a target that a follower keeps, as it read the copy's entry, and its reader knows of the removal from
/// before the store came back.
#[test]
fn a_removal_of_an_earlier_era_in_a_page_of_all_keys_counts() {
    let (subject, mut records) = (Subject::Targets, ReplicatedRecords::default());
    let at = |era, offset| Position::new(Era(era), offset);
    let record = |value: Option<&str>, position| Record {
        key: "target".into(),
        value: value.map(|value| value.to_owned().into()),
        position,
    };
    records.raise(Instant::now(), Era(2));
    records.insert(subject, record(Some("x"), at(2, 3)), Source::Store, content(7));
    records.advance(subject, PageEnd { next: at(2, 5), whole: true });
    let page = Page {
        records: vec![record(None, at(1, 40))],
        next: at(2, 9),
        whole: true,
        reaches_end: false,
    };
    assert_eq!(records.newer(subject, page), [record(None, at(2, 8))]);
}

/// Guards against followers that remove all targets, as their reader takes entries that were written again for renewals.
#[test]
fn entries_that_were_written_again_since_the_store_came_back_are_transferred() {
    let (subject, mut records) = (Subject::Targets, ReplicatedRecords::default());
    let entry = |position| Record { key: "target".into(), value: Some("x".into()), position };
    let at = |era, offset| Position::new(Era(era), offset);
    records.raise(Instant::now(), Era(1));
    records.insert(subject, entry(at(1, 20)), Source::Store, content(7));
    records.advance(subject, PageEnd { next: at(1, 21), whole: true });
    records.raise(Instant::now(), Era(2));
    records.advance(subject, PageEnd { next: at(2, 5), whole: true });
    assert_eq!(records.awaited(subject), 1);
    records.insert(subject, entry(at(2, 6)), Source::Store, content(7));
    records.advance(subject, PageEnd { next: at(2, 7), whole: false });
    assert_eq!(records.awaited(subject), 0);
    assert_eq!(records.changes(subject, at(2, 5)).records, [entry(at(2, 6))]);
}

/// Guards against removals that are held back although the store was there: only this router stood still.
#[test]
fn a_pause_without_a_failed_read_is_no_recovery_of_the_store() {
    let (subject, start) = (Subject::Targets, Instant::now());
    let later = start + Duration::from_secs(6);
    let after_pause = |has_failed: bool| {
        let mut records = ReplicatedRecords::default();
        records.record_read(start, start, subject);
        if has_failed {
            records.record_read_failure(subject);
        }
        records.record_read(later, later, subject);
        records.recent_recovery(later, subject)
    };
    assert_eq!(after_pause(false), None);
    assert_eq!(after_pause(true), Some(later));
}

/// Renewals without changes would fill the links of small hosts.
#[test]
fn mere_renewals_are_not_transferred() {
    let record = |key: &str, offset| Record {
        key: key.into(),
        value: Some("entry".into()),
        position: position(offset),
    };
    let (subject, mut records) = (Subject::Targets, ReplicatedRecords::default());
    records.insert(subject, record("same", 1), Source::Store, content(7));
    records.insert(subject, record("other", 2), Source::Store, content(8));
    records.insert(subject, record("same", 3), Source::Store, content(7));
    records.insert(subject, record("other", 4), Source::Store, content(9));
    let removed = Record { value: None, ..record("gone", 5) };
    records.insert(subject, removed, Source::Store, content(0));
    records.advance(subject, PageEnd { next: position(6), whole: false });
    let page = records.changes(subject, position(3));
    let mut keys: Vec<_> = page.records.iter().map(|record| record.key.as_str()).collect();
    keys.sort_unstable();
    assert_eq!(keys, ["gone", "other"], "removals are changes");
    assert!(!page.whole && page.next == position(6));
    assert_eq!(
        records.full_page(subject).records.len(),
        3,
        "a starting router fetches all records"
    );
}

/// Hundreds of polling routers would overload a recovering store.
#[tokio::test]
async fn a_follower_rarely_calls_an_unreachable_store() {
    let zone = Zone::start().await;
    zone.store.set_down(true);
    zone.simulated_store_use.send(StoreUse::Lost).unwrap();
    tokio::time::sleep(COUNTING_TIME).await;
    let before = (zone.followers_store.read_count(), zone.readers_store.read_count());
    tokio::time::sleep(2 * COUNTING_TIME).await;
    let calls = zone.followers_store.read_count() - before.0;
    let readers_calls = zone.readers_store.read_count() - before.1;
    assert!(calls * 3 < readers_calls, "{calls} calls beside the reader's {readers_calls}");
    zone.store.set_down(false);
    zone.simulated_store_use.send(StoreUse::Reads).unwrap();
    zone.store.put_config(common::config(2, vec![common::route("/two/", "desk")]));
    let elapsed = zone.time_until_known("/two/").await;
    assert!(elapsed < zone.follower.settings.bounds.config_within, "in force after {elapsed:?}");
}

/// Guards against one read of the store for each router of a large deployment that starts.
#[tokio::test]
async fn the_list_of_routers_comes_from_a_seed() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_target(target.entry("target-1", "desk"));
    for index in 0..hubs::MAX_MESH_ROUTERS {
        store.put_router(RouterEntry {
            router: format!("listed-{index}").into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: Some("here".into()),
            strength: 2,
            is_suspected: false,
            versions: Default::default(),
        });
    }
    store.put_config(common::config(1, vec![common::route("/pay/", "desk")]));
    let seed = RouterThread::start(&store);
    seed.wait_ready().await;

    let own_store = store.isolated();
    let router = RouterThread::start_on(&own_store, settings("router-b", 1, vec![seed.peers]));
    router.wait_ready().await;
    tokio::time::sleep(COUNTING_TIME).await;
    assert_eq!(own_store.router_list_reads(), 0);
}
