//! Tracking of the other routers.

mod common;

use corianderstand_forward::{dialect::Subject, peers::Peers};
use corianderstand_schema::peers::RouterUpdate;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

const PEER_ADDR: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7_380);
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

fn update(incarnation: u64, config_next: u64) -> RouterUpdate {
    RouterUpdate { incarnation, fit: true, config_next, ..common::router_update("router-b") }
}

fn ahead(peers: &Peers, now: Instant) -> Vec<u64> {
    let ahead = peers.ahead(now, Subject::Config, common::progress(0));
    ahead.map(|(progress, _)| progress.next.offset()).collect()
}

/// Guards against outdated demand and offsets after a restart.
#[test]
fn late_updates_of_an_earlier_incarnation_are_ignored() {
    let (mut peers, now) = (Peers::default(), Instant::now());
    peers.on_update(now, PEER_ADDR, update(2_000, 5));
    peers.on_update(now + UPDATE_INTERVAL, PEER_ADDR, update(1_000, 9));
    assert_eq!(ahead(&peers, now + UPDATE_INTERVAL), [5]);
}

/// Guards against ignoring a router for good after its host's clock was set back.
#[test]
fn a_restarted_router_with_an_earlier_clock_is_accepted() {
    let (mut peers, start) = (Peers::default(), Instant::now());
    peers.on_update(start, PEER_ADDR, update(2_000, 5));
    let accepted_at = (1..40).map(|index| start + UPDATE_INTERVAL * index).find(|now| {
        peers.on_update(*now, PEER_ADDR, update(1_000, 9));
        ahead(&peers, *now) == [9]
    });
    let delay = accepted_at.map(|now| now - start);
    assert!(delay.is_some_and(|delay| delay < Duration::from_secs(3)), "{delay:?}");
}
