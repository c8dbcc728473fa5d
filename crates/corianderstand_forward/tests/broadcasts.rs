//! Messages that a hub passes on to the routers of its zone.

mod common;

use common::{MemoryStore, RouterThread, Target};
use corianderstand_schema::peers::{
    EngineGone, PeerMessage, RelayRequest, RelayedMessage, RouterUpdate, StoreUse,
};
use std::{net::SocketAddr, time::Duration};
use tokio::net::UdpSocket;

fn encode(message: &PeerMessage) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap()
}

fn hello(name: &str, zone: &str) -> PeerMessage {
    PeerMessage::RouterNews(RouterUpdate {
        zone: zone.into(),
        store: StoreUse::Follows,
        ..common::router_update(name)
    })
}

/// Waits for a relayed message and returns its origin.
async fn relayed(socket: &UdpSocket) -> RelayedMessage {
    let mut buf = vec![0; 65_536];
    loop {
        let (len, _) = socket.recv_from(&mut buf).await.unwrap();
        if let PeerMessage::Relayed(relayed) = postcard::from_bytes(&buf[..len]).unwrap() {
            return relayed;
        }
    }
}

async fn start() -> (RouterThread, Target) {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_config(common::config(1, vec![common::route("/one/", "desk")]));
    store.put_target(target.entry("target-1", "desk"));
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    (router, target)
}

fn exited() -> PeerMessage {
    PeerMessage::EngineGone(EngineGone { target: "target-1".into(), born: 1 })
}

/// Waits until the router answers that it has no target.
async fn wait_until_ejected(router: &RouterThread, target: &Target) {
    let poll = async {
        loop {
            let headers = [("x-id", "r"), ("x-deadline-ms", "200")];
            let refused = common::get(router.front, "/one/1", &headers);
            tokio::select! {
                answer = refused => {
                    assert!(answer.unwrap().starts_with("HTTP/1.1 503"));
                    return;
                }
                request = target.next_or_wait() => request.answer_whole_unless_reset("r", "").await,
            }
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, poll).await.expect("the target is ejected");
}

/// Guards against routers that never learn what a process told the hubs of their zone.
#[tokio::test]
async fn a_hub_acts_on_a_message_and_passes_it_on_to_its_zone() {
    let (router, target) = start().await;
    let (same, other, origin) = (
        UdpSocket::bind("127.0.0.1:0").await.unwrap(),
        UdpSocket::bind("127.0.0.1:0").await.unwrap(),
        UdpSocket::bind("127.0.0.1:0").await.unwrap(),
    );
    let request = RelayRequest { message: encode(&exited()) };
    let send = async {
        loop {
            same.send_to(&encode(&hello("same", "here")), router.peers).await.unwrap();
            other.send_to(&encode(&hello("other", "there")), router.peers).await.unwrap();
            let request = encode(&PeerMessage::ToZone(request.clone()));
            origin.send_to(&request, router.peers).await.unwrap();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let receive = async {
        let received = tokio::time::timeout(common::WAIT_LIMIT, relayed(&same)).await;
        let received = received.expect("it is passed on");
        let origin: SocketAddr = origin.local_addr().unwrap();
        assert_eq!(received.origin.as_str(), origin.to_string());
        assert_eq!(received.message, request.message);
        let elsewhere = tokio::time::timeout(Duration::from_millis(500), relayed(&other)).await;
        assert!(elsewhere.is_err(), "another zone has hubs of its own");
        wait_until_ejected(&router, &target).await;
    };
    tokio::select! {
        () = send => {}
        () = receive => {}
    }
}

/// Guards against messages that circle between hubs.
#[tokio::test]
async fn a_relayed_message_is_not_passed_on() {
    let (router, target) = start().await;
    let same = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let origin = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let message = encode(&exited());
    let relayed_exit =
        PeerMessage::Relayed(RelayedMessage { origin: "10.0.0.1:1".into(), message });
    let nested = PeerMessage::ToZone(RelayRequest { message: encode(&exited()) });
    let nested = RelayedMessage { origin: "10.0.0.1:1".into(), message: encode(&nested) };
    let send = async {
        loop {
            same.send_to(&encode(&hello("same", "here")), router.peers).await.unwrap();
            for message in [relayed_exit.clone(), PeerMessage::Relayed(nested.clone())] {
                origin.send_to(&encode(&message), router.peers).await.unwrap();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let receive = async {
        wait_until_ejected(&router, &target).await;
        let circling = tokio::time::timeout(Duration::from_millis(500), relayed(&same)).await;
        assert!(circling.is_err(), "it was passed on");
    };
    tokio::select! {
        () = send => {}
        () = receive => {}
    }
}
