//! Large configurations over slow links, where concurrent transfers would delay each other.

mod common;

use common::{
    MemoryStore, RouterThread,
    link::{Link, RemotePeer},
};
use std::time::Duration;

/// Takes 0.9 s over the link.
const DOCUMENT_BYTES: usize = 900_000;
const LINK_BYTES_PER_S: usize = 1_000_000;

/// A reader with a fast link to the store, and a router behind a slow link.
struct Pair {
    store: MemoryStore,
    link: Link,
    reader: RouterThread,
    router: RouterThread,
    remote_peer: RemotePeer,
}

impl Pair {
    async fn start(
        config_within: Duration,
        router_store: impl FnOnce(&MemoryStore, &Link) -> MemoryStore,
    ) -> Self {
        let (store, link) = (MemoryStore::default(), Link::new(LINK_BYTES_PER_S));
        let target = common::Target::start().await;
        store.put_target(target.entry("target-1", "desk"));
        store.put_config(common::config(1, vec![common::route("/pay/", "desk")]));
        let stop_within = Duration::from_secs(8);
        let mut settings = RouterThread::settings("router-b", vec![], stop_within);
        settings.bounds.config_within = config_within;
        let far_addr = common::free_port();
        let reader = RouterThread::start_with(&store, "reader", vec![far_addr], stop_within);
        let remote_peer =
            RemotePeer::open(far_addr, reader.peers, settings.peer_addr, link.clone()).await;
        let router = RouterThread::start_on(&router_store(&store, &link), settings);
        reader.wait_ready().await;
        router.wait_ready().await;
        Self { store, link, reader, router, remote_peer }
    }

    /// Writes a large configuration that adds a route, and waits until both routers have it.
    async fn add_route(&self) {
        let routes = vec![common::route("/pay/", "desk"), common::route("/new/", "nobody")];
        self.store.put_large_config(common::config(2, routes), DOCUMENT_BYTES);
        wait_for_route(&self.reader).await;
        wait_for_route(&self.router).await;
    }
}

/// A route to a service without targets is answered with another status than an unknown route.
async fn wait_for_route(router: &RouterThread) {
    let poll = async {
        loop {
            let headers = [("x-id", "r"), ("x-deadline-ms", "100")];
            let answer = common::get(router.front, "/new/1", &headers).await.unwrap();
            if !answer.starts_with("HTTP/1.1 404") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, poll).await.expect("the added route is known");
}

/// Guards against a new transfer at each poll while earlier ones are in progress.
#[tokio::test]
async fn a_large_configuration_is_transferred_once_over_a_slow_link() {
    let pair = Pair::start(Duration::from_secs(2), |store, _| store.unavailable()).await;
    let before = pair.remote_peer.connections();
    pair.add_route().await;
    let connections = pair.remote_peer.connections() - before;
    assert!(connections <= 2, "{connections} transfers for one document");
}

/// The time limit is long, so that the store does not seem stalled on a slow machine.
#[tokio::test]
async fn no_transfer_competes_with_a_read_in_progress() {
    let pair = Pair::start(Duration::from_secs(20), MemoryStore::over_link).await;
    let before = pair.link.transferred_bytes();
    pair.add_route().await;
    let transferred = pair.link.transferred_bytes() - before;
    assert!(
        transferred < DOCUMENT_BYTES * 3 / 2,
        "{transferred} bytes crossed the link for {DOCUMENT_BYTES}"
    );
}
