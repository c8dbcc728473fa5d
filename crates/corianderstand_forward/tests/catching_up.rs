//! When a router queries a peer for records, and which one.

use corianderstand_forward::{
    catch_up::{Lag, ReadProgress},
    replicated_records::Progress,
};
use corianderstand_types::position::{Era, Position};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

const CONFIG_WITHIN: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(250);

const fn known(offset: u64) -> Progress {
    Progress { config_version: 0, next: Position::new(Era(0), offset) }
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_380))
}

fn progress<'a>(
    ahead: &'a [(Progress, SocketAddr)],
    last_received_at: Option<Instant>,
    last_read_failed: bool,
) -> ReadProgress<'a> {
    ReadProgress {
        router: "router-a",
        peers_ahead: ahead,
        last_received_at,
        last_read_failed,
        is_at_end: false,
        is_starting: false,
        is_follower: false,
        config_within: CONFIG_WITHIN,
    }
}

/// Time until a peer is queried, by when the store last delivered data.
fn time_until_query(
    start: Instant,
    last_received_at: impl Fn(Instant) -> Option<Instant>,
) -> Option<Duration> {
    let (mut lag, ahead) = (Lag::default(), [(known(9), peer(1))]);
    let polls = (0..40).map(|poll| start + POLL_INTERVAL * poll);
    let mut queries = polls.filter(|now| {
        lag.peer_to_query(*now, &progress(&ahead, last_received_at(*now), false)).is_some()
    });
    queries.next().map(|now| now - start)
}

/// The configuration would cross the link twice.
#[test]
fn no_peer_is_queried_while_the_store_delivers() {
    let start = Instant::now();
    let after = time_until_query(start, Some);
    // A trickling connection is tolerated for half of the limit only.
    assert_eq!(after, Some(CONFIG_WITHIN / 2));
}

/// Waiting for a dead connection to time out would exhaust the time limit.
#[test]
fn a_peer_is_queried_when_the_store_is_unresponsive() {
    let start = Instant::now();
    let after = time_until_query(start, |_| None);
    assert!(after.is_some_and(|after| after < CONFIG_WITHIN / 4), "{after:?}");
    let after = time_until_query(start, |_| start.checked_sub(CONFIG_WITHIN));
    assert!(after.is_some_and(|after| after < CONFIG_WITHIN / 4), "{after:?}");
}

/// A peer is the only source while the store refuses this router.
#[test]
fn a_peer_is_queried_at_once_after_a_failed_read() {
    let (now, ahead) = (Instant::now(), [(known(9), peer(1))]);
    assert!(Lag::default().peer_to_query(now, &progress(&ahead, None, true)).is_some());
}

/// A router without a configuration rejects all requests.
#[test]
fn a_starting_router_queries_a_peer_at_once() {
    let (now, ahead) = (Instant::now(), [(known(9), peer(1))]);
    let start = |last_received_at| ReadProgress {
        is_starting: true,
        ..progress(&ahead, last_received_at, false)
    };
    assert!(Lag::default().peer_to_query(now, &start(None)).is_some());
    assert!(Lag::default().peer_to_query(now, &start(Some(now))).is_none());
}

/// Else the next change would be fetched from a peer while the store is delivering it.
#[test]
fn the_lag_restarts_after_catching_up() {
    let start = Instant::now();
    let (mut lag, ahead) = (Lag::default(), [(known(9), peer(1))]);
    assert!(lag.peer_to_query(start, &progress(&ahead, None, false)).is_none());
    assert!(lag.peer_to_query(start + CONFIG_WITHIN / 2, &progress(&[], None, false)).is_none());
    assert!(lag.peer_to_query(start + CONFIG_WITHIN, &progress(&ahead, None, false)).is_none());
}

/// A single peer queried by all routers would saturate its link, or may be dead.
#[test]
fn routers_query_different_peers() {
    let (now, ahead) =
        (Instant::now(), (1..=8).map(|number| (known(9), peer(number))).collect::<Vec<_>>());
    let mut queried: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for number in 0..80 {
        let router = format!("router-{number}");
        let progress = ReadProgress { router: &router, ..progress(&ahead, None, true) };
        let (_, addr) = Lag::default().peer_to_query(now, &progress).unwrap();
        *queried.entry(addr).or_default() += 1;
    }
    assert!(queried.len() == 8 && queried.values().all(|&count| count <= 20), "{queried:?}");

    let mut lag = Lag::default();
    let mut tried: Vec<_> =
        (0..8).filter_map(|_| lag.peer_to_query(now, &progress(&ahead, None, true))).collect();
    tried.sort_unstable();
    tried.dedup();
    assert!(tried.len() >= 3, "{tried:?}");
}

/// A peer with fewer records would require a second transfer.
#[test]
fn the_peer_with_the_highest_offset_is_queried() {
    let ahead = [(known(7), peer(1)), (known(9), peer(2)), (known(8), peer(3))];
    let queried = Lag::default().peer_to_query(Instant::now(), &progress(&ahead, None, true));
    assert_eq!(queried, Some((known(9), peer(2))));
}
