//! Tracking of the other routers.

mod common;

use corianderstand_forward::{dialect::Subject, peers::Peers, replicated_records::Progress};
use corianderstand_schema::peers::{RecordsUpdate, RouterUpdate};
use corianderstand_types::position::{Era, Position};
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

/// Guards against a router that starts and hears of the others only with their next hello, or is greeted again and again.
#[test]
fn the_first_update_of_an_incarnation_is_told() {
    let (mut peers, now) = (Peers::default(), Instant::now());
    let is_first =
        [1, 1, 2, 1, 2].map(|incarnation| peers.on_update(now, PEER_ADDR, update(incarnation, 0)));
    assert_eq!(is_first, [true, false, true, false, false]);
}

fn records(era: u64, config_version: u64, next: u64) -> RecordsUpdate {
    RecordsUpdate {
        router: "router-b".into(),
        era,
        config_version,
        config_next: next,
        targets_next: next,
        routers_next: next,
    }
}

/// Guards against records of before the store went back that look newer by their offsets, and against configurations
/// that look older by them.
#[rstest::rstest]
#[case::targets_of_an_earlier_era(Subject::Targets, records(1, 20, 90), false)]
#[case::targets_of_this_era(Subject::Targets, records(2, 20, 31), true)]
#[case::an_older_configuration(Subject::Config, records(2, 19, 90), false)]
#[case::the_same_configuration(Subject::Config, records(2, 20, 90), false)]
#[case::a_newer_configuration_of_an_earlier_era(Subject::Config, records(1, 21, 5), true)]
fn peers_are_ahead_by_era_and_version(
    #[case] subject: Subject,
    #[case] told: RecordsUpdate,
    #[case] is_ahead: bool,
) {
    let (mut peers, now) = (Peers::default(), Instant::now());
    peers.on_update(now, PEER_ADDR, update(1, 99));
    assert!(peers.on_records(told));
    let config_version = if subject == Subject::Config { 20 } else { 0 };
    let known = Progress { config_version, next: Position::new(Era(2), 30) };
    assert_eq!(peers.ahead(now, subject, known).count() == 1, is_ahead);
}
