//! Updates and transfers of records between routers.

mod common;

use common::{MemoryStore, RouterThread};
use corianderstand_schema::peers::{PeerMessage, RouterUpdate};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream, UdpSocket},
};

/// Requests the whole configuration, in a frame of two bytes.
const REQUEST: [u8; 6] = [0, 0, 0, 2, 0, 0];
const READ_BYTES: usize = 16 << 10;
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a transfer with a small receive buffer.
async fn request_config(router: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(READ_BYTES as u32).unwrap();
    let mut stream = socket.connect(router).await.unwrap();
    stream.write_all(&REQUEST).await.unwrap();
    stream
}

/// Concurrent transfers would share the link, and none would finish in time.
#[tokio::test]
async fn concurrent_transfers_are_limited() {
    let store = MemoryStore::default();
    let target = common::Target::start().await;
    store.put_target(target.entry("target-1", "desk"));
    store.put_large_config(common::config(1, vec![common::route("/pay/", "desk")]), 6_000_000);
    let router = RouterThread::start(&store);
    router.wait_ready().await;

    let mut served = Vec::new();
    for _ in 0..2 {
        let mut stream = request_config(router.peers).await;
        let mut buf = vec![0; READ_BYTES];
        assert!(stream.read(&mut buf).await.unwrap() > 0, "the first two are served");
        served.push(tokio::spawn(async move {
            let mut read = 0;
            while let Ok(len @ 1..) = stream.read(&mut buf).await {
                read += len;
                tokio::time::sleep(READ_INTERVAL).await;
            }
            read
        }));
    }
    let mut third = request_config(router.peers).await;
    let refused = third.read(&mut [0; 64]).await;
    assert!(!matches!(refused, Ok(1..)), "a third connection is not served: {refused:?}");
    assert!(served.iter().all(|transfer| !transfer.is_finished()), "the first two continue");

    // A slot is released when one of them disconnects.
    served.pop().unwrap().abort();
    let retry = async {
        loop {
            let mut stream = request_config(router.peers).await;
            if let Ok(1..) = stream.read(&mut [0; 64]).await {
                return;
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, retry).await.expect("the next transfer is served");
}

/// Guards against a reader whose link is full of entries that differ in little.
#[tokio::test]
async fn like_entries_are_compressed() {
    const ALL_TARGETS: [u8; 6] = [0, 0, 0, 2, 1, 0];
    let store = MemoryStore::default();
    let target = common::Target::start().await;
    let mut stored_bytes = 0;
    for n in 1..=200 {
        let entry = target.entry(&format!("target-{n}"), "desk");
        let value = format!(
            "{{\"id\":\"target-{n}\",\"born\":{},\"zone\":\"here\",\"models\":[\"m-{}\",\"m-{}\"]}}",
            n * 7_919,
            n % 31,
            n % 37
        );
        stored_bytes += value.len() as u64;
        store.put_target_as(entry, value);
    }
    store.put_config(common::config(1, vec![common::route("/pay/", "desk")]));
    let router = RouterThread::start(&store);
    router.wait_ready().await;

    let mut stream = TcpStream::connect(router.peers).await.unwrap();
    stream.write_all(&ALL_TARGETS).await.unwrap();
    let sent = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await.unwrap();
    assert!(sent > 0 && sent < stored_bytes / 2, "{sent} of {stored_bytes} bytes");
}

/// Keeps `router` from becoming the planner.
async fn announce_planner(router: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let update = RouterUpdate { strength: u32::MAX, fit: true, ..common::router_update("planner") };
    let message = postcard::to_stdvec(&PeerMessage::RouterNews(update)).unwrap();
    loop {
        socket.send_to(&message, router).await.unwrap();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Announced with the next periodic message only, each change would be up to a second late.
#[tokio::test]
async fn a_change_is_announced_at_once() {
    const CHANGES: u64 = 10;
    let store = MemoryStore::default();
    let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let seeds = vec![peer.local_addr().unwrap()];
    let router = RouterThread::start_with(&store, "reader", seeds, Duration::from_secs(8));
    // A planner sends its heartbeats more often.
    tokio::spawn(announce_planner(router.peers));
    let started_at = Instant::now();
    for version in 1..=CHANGES {
        store.put_config(common::config(version, vec![common::route("/pay/", "desk")]));
        let announced = async {
            let mut buf = vec![0; 60_000];
            loop {
                let len = peer.recv(&mut buf).await.unwrap();
                let message = postcard::from_bytes(&buf[..len]);
                if matches!(message, Ok(PeerMessage::RouterNews(update)) if update.config_next >= version)
                {
                    return;
                }
            }
        };
        tokio::time::timeout(common::WAIT_LIMIT, announced).await.expect("the change is announced");
    }
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_secs(CHANGES / 2), "{elapsed:?} for {CHANGES} changes");
}
