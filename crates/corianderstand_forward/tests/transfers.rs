//! What a router tells and hands over to others.

mod common;

use common::{MemoryStore, RouterThread};
use corianderstand_schema::peers::{PeerMessage, RouterUpdate, StoreUse};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream, UdpSocket},
};

/// Asks for the whole configuration, in a frame of two bytes.
const ASK: [u8; 6] = [0, 0, 0, 2, 0, 0];
/// Bytes that a slow peer takes at once, and how often.
const SIP: usize = 16 << 10;
const SIPS: Duration = Duration::from_millis(50);

/// Begins a transfer of which little is taken at once.
async fn ask(router: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SIP as u32).unwrap();
    let mut stream = socket.connect(router).await.unwrap();
    stream.write_all(&ASK).await.unwrap();
    stream
}

/// All routers but one were killed while the store was away, and all ask the one that is left. Side by
/// side on its link, no transfer of a large configuration would come to its end in time, and
/// nobody could hand it on; callers would be told that no configuration is known.
#[tokio::test]
async fn a_router_hands_over_to_few_at_once() {
    let store = MemoryStore::default();
    let target = common::Target::start().await;
    store.target(target.entry("target-1", "desk"));
    store.large_config(common::config(1, vec![common::route("/pay/", "desk")]), 6_000_000);
    let router = RouterThread::start(&store);
    router.wait_ready().await;

    let mut served = Vec::new();
    for _ in 0..2 {
        let mut stream = ask(router.peers).await;
        let mut sip = vec![0; SIP];
        assert!(stream.read(&mut sip).await.unwrap() > 0, "the first two are served");
        served.push(tokio::spawn(async move {
            let mut taken = 0;
            while let Ok(len @ 1..) = stream.read(&mut sip).await {
                taken += len;
                tokio::time::sleep(SIPS).await;
            }
            taken
        }));
    }
    let mut third = ask(router.peers).await;
    let refused = third.read(&mut [0; 64]).await;
    assert!(!matches!(refused, Ok(1..)), "a third one is closed at once: {refused:?}");
    assert!(served.iter().all(|taking| !taking.is_finished()), "the first two go on");

    // There is room again when one of them has gone.
    served.pop().unwrap().abort();
    let again = async {
        loop {
            let mut stream = ask(router.peers).await;
            if let Ok(1..) = stream.read(&mut [0; 64]).await {
                return;
            }
            tokio::time::sleep(SIPS).await;
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, again).await.expect("the next one is served");
}

/// A stronger router that plans, for ever.
async fn plan_instead_of(router: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let news = RouterUpdate {
        router: "planner".into(),
        incarnation: 1,
        zone: "here".into(),
        store: StoreUse::Reads,
        strength: u32::MAX,
        fit: true,
        config_next: 0,
        targets_next: 0,
        models: Vec::new(),
        running: Vec::new(),
    };
    let message = postcard::to_stdvec(&PeerMessage::RouterNews(news)).unwrap();
    loop {
        socket.send_to(&message, router).await.unwrap();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// The store turns a router away, and a peer has read a change. If the peer says so only at its next
/// turn, once a second, callers of the first router meet the older configuration for that much longer.
#[tokio::test]
async fn a_change_is_told_at_once() {
    const CHANGES: u64 = 10;
    let store = MemoryStore::default();
    let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let seeds = vec![peer.local_addr().unwrap()];
    let router = RouterThread::start_with(&store, "reader", seeds, Duration::from_secs(8));
    // One that plans says more often that it is there.
    tokio::spawn(plan_instead_of(router.peers));
    let began = Instant::now();
    for version in 1..=CHANGES {
        store.config(common::config(version, vec![common::route("/pay/", "desk")]));
        let told = async {
            let mut buf = vec![0; 60_000];
            loop {
                let len = peer.recv(&mut buf).await.unwrap();
                let message = postcard::from_bytes(&buf[..len]);
                if matches!(message, Ok(PeerMessage::RouterNews(news)) if news.config_next >= version)
                {
                    return;
                }
            }
        };
        tokio::time::timeout(common::WAIT_LIMIT, told).await.expect("the change is told");
    }
    let took = began.elapsed();
    assert!(took < Duration::from_secs(CHANGES / 2), "{took:?} for {CHANGES} changes");
}
