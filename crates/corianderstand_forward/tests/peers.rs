//! What a router believes of the others.

use corianderstand_forward::{dialect::Subject, peers::Peers};
use corianderstand_schema::peers::{RouterNews, StoreUse};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

const PEER: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7_380);
const MOMENT: Duration = Duration::from_millis(200);

fn news(incarnation: u64, config_next: u64) -> RouterNews {
    RouterNews {
        router: "router-b".into(),
        incarnation,
        zone: "here".into(),
        store: StoreUse::Reads,
        strength: 1,
        fit: true,
        config_next,
        targets_next: 0,
        models: Vec::new(),
        running: Vec::new(),
    }
}

fn ahead(peers: &Peers, now: Instant) -> Vec<u64> {
    peers.ahead(now, Subject::Config, 0).map(|(next, _)| next).collect()
}

/// A datagram of a router's earlier start arrives after the first of its new one. Taken, it would tell
/// of requests and records that are no more.
#[test]
fn what_an_earlier_start_said_is_left_out() {
    let (mut peers, now) = (Peers::default(), Instant::now());
    peers.on_update(now, PEER, news(2_000, 5));
    peers.on_update(now + MOMENT, PEER, news(1_000, 9));
    assert_eq!(ahead(&peers, now + MOMENT), [5]);
}

/// A host's clock goes back, and its router starts anew: its start looks earlier than the one before.
/// Left out for as long as it runs, it would not be asked for a change that it alone has read.
#[test]
fn a_router_whose_clock_went_back_is_heard_again() {
    let (mut peers, start) = (Peers::default(), Instant::now());
    peers.on_update(start, PEER, news(2_000, 5));
    let heard = (1..40).map(|turn| start + MOMENT * turn).find(|now| {
        peers.on_update(*now, PEER, news(1_000, 9));
        ahead(&peers, *now) == [9]
    });
    let heard = heard.map(|now| now - start);
    assert!(heard.is_some_and(|after| after < Duration::from_secs(3)), "{heard:?}");
}
