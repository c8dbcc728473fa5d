//! What a router tells and hands over to others.

mod common;

use common::{MemoryStore, Running};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// Asks for the configuration, in a frame of one byte.
const ASK: [u8; 5] = [0, 0, 0, 1, 0];
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
    let router = Running::start(&store);
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
    tokio::time::timeout(common::PATIENCE, again).await.expect("the next one is served");
}
