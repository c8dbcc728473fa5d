//! A configuration that a host's link carries in about a second is in force there all the same.
//!
//! Users saw 404 on a route that an operator had added and the store had confirmed more than three seconds
//! before, from two routers with links of 10 Mbit/s. The configuration had grown to 800 KB. Routers on fast
//! links had read it within a tenth of a second and said so. The others were reading it, which takes a
//! link of 10 Mbit/s 0.65 s, and asked the router that was ahead for it as well, once more every 250 ms. Five
//! transfers and a read shared each link; each was given up by the time of the whole, and what had come by
//! then was thrown away.
//!
//! What proved it: in the seconds after each change the slow hosts took in two to five times the document's
//! size while their processors were idle, and one router sent 27 MB, to nearly all of them. Where the
//! document was larger, hundreds of requests were answered by the version before it. With one transfer at a
//! time, and none while the store brings the document, the last host has it a second after the first.

mod common;

use common::{
    MemoryStore, RouterThread,
    link::{Link, RemotePeer},
};
use std::time::Duration;

/// Size of the document, and what the host's link carries in a second: once over takes 0.9 s.
const DOCUMENT: usize = 900_000;
const BYTES_PER_S: usize = 1_000_000;

/// A store, a router that reads it without trouble, and a second router behind a link of its own, to
/// which the first one speaks through the proxy.
struct Pair {
    store: MemoryStore,
    link: Link,
    reader: RouterThread,
    router: RouterThread,
    far: RemotePeer,
}

impl Pair {
    async fn start(
        config_within: Duration,
        seen_by_router: impl FnOnce(&MemoryStore, &Link) -> MemoryStore,
    ) -> Self {
        let (store, link) = (MemoryStore::default(), Link::new(BYTES_PER_S));
        let target = common::Target::start().await;
        store.target(target.entry("target-1", "desk"));
        store.config(common::config(1, vec![common::route("/pay/", "desk")]));
        let within = Duration::from_secs(8);
        let mut near = RouterThread::settings("router-b", vec![], within);
        near.bounds.config_within = config_within;
        let far = common::free_port();
        let reader = RouterThread::start_with(&store, "reader", vec![far], within);
        let far = RemotePeer::open(far, reader.peers, near.peers, link.clone()).await;
        let router = RouterThread::start_on(&seen_by_router(&store, &link), near);
        reader.wait_ready().await;
        router.wait_ready().await;
        Self { store, link, reader, router, far }
    }

    /// Writes a large configuration that adds a route, and waits until both routers know the route.
    async fn add_route(&self) {
        let routes = vec![common::route("/pay/", "desk"), common::route("/new/", "nobody")];
        self.store.large_config(common::config(2, routes), DOCUMENT);
        wait_for_route(&self.reader).await;
        wait_for_route(&self.router).await;
    }
}

/// A route to a service without targets is refused with another status than one that is unknown.
async fn wait_for_route(router: &RouterThread) {
    let ask = async {
        loop {
            let headers = [("x-id", "r"), ("x-deadline-ms", "100")];
            let answer = common::get(router.front, "/new/1", &headers).await.unwrap();
            if !answer.starts_with("HTTP/1.1 404") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, ask).await.expect("the added route is known");
}

/// The store turns the slow host's router away, so it takes the document from its peer. Each look at the
/// peer's lead began one more transfer, beside those under way, and none came to its end: callers got
/// 404 on the added route for as long as the peer was ahead.
#[tokio::test]
async fn a_large_configuration_is_taken_from_a_peer_over_a_slow_link() {
    let pair = Pair::start(Duration::from_secs(2), |store, _| store.unavailable()).await;
    let before = pair.far.connections();
    pair.add_route().await;
    let connections = pair.far.connections() - before;
    assert!(connections <= 2, "{connections} transfers for one document");
}

/// The same, with a store that answers: the document is on its way from there, and a transfer of it
/// beside that one only slows both. The bound is long, so that a slow machine does not make the store
/// seem stalled.
#[tokio::test]
async fn what_is_on_its_way_from_the_store_is_not_asked_of_a_peer_too() {
    let pair = Pair::start(Duration::from_secs(20), MemoryStore::over_link).await;
    let before = pair.link.transferred_bytes();
    pair.add_route().await;
    let carried = pair.link.transferred_bytes() - before;
    assert!(carried < DOCUMENT * 3 / 2, "{carried} bytes crossed the link for {DOCUMENT}");
}
