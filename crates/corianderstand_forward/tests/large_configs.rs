//! A configuration that a host's link carries in about a second is in force there all the same.

mod common;

use common::{
    MemoryStore, Running,
    link::{FarPeer, Link},
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
    reader: Running,
    router: Running,
    far: FarPeer,
}

impl Pair {
    async fn start(seen_by_router: impl FnOnce(&MemoryStore, &Link) -> MemoryStore) -> Self {
        let (store, link) = (MemoryStore::default(), Link::new(BYTES_PER_S));
        let target = common::Target::start().await;
        store.target(target.entry("target-1", "desk"));
        store.config(common::config(1, vec![common::route("/pay/", "desk")]));
        let within = Duration::from_secs(8);
        let (near, far) = (Running::settings("router-b", vec![], within), common::free_port());
        let reader = Running::start_with(&store, "reader", vec![far], within);
        let far = FarPeer::open(far, reader.peers, near.peers, link.clone()).await;
        let router = Running::start_on(&seen_by_router(&store, &link), near);
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
async fn wait_for_route(router: &Running) {
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
    tokio::time::timeout(common::PATIENCE, ask).await.expect("the added route is known");
}

/// Callers got 404 on a route that had been added and confirmed seconds before, from hosts with
/// slow links only. A large configuration had come, and another router had it first. Each look at that
/// router's lead began one more transfer of the whole document, beside those under way; all shared the
/// link, and each was given up when its time was over, whatever had come by then.
#[tokio::test]
async fn a_large_configuration_is_taken_from_a_peer_over_a_slow_link() {
    let pair = Pair::start(|store, _| store.turned_away()).await;
    let before = pair.far.connections();
    pair.add_route().await;
    let connections = pair.far.connections() - before;
    assert!(connections <= 2, "{connections} transfers for one document");
}

/// The same, with a store that answers: the document is on its way from there, and a transfer of it
/// beside that one only slows both.
#[tokio::test]
async fn what_is_on_its_way_from_the_store_is_not_asked_of_a_peer_too() {
    let pair = Pair::start(MemoryStore::over).await;
    let before = pair.link.carried();
    pair.add_route().await;
    let carried = pair.link.carried() - before;
    assert!(carried < DOCUMENT * 3 / 2, "{carried} bytes crossed the link for {DOCUMENT}");
}
