//! What a router believes of the store: never older, never taken from garbage, kept in outages.

mod common;

use common::{MemoryStore, Running, Target};
use corianderstand_forward::{
    dialect::{StoreError, Subject},
    follow,
};
use std::time::Duration;

async fn status(router: &Running, path: &str) -> String {
    let answer = common::get(router.front, path, &[("x-id", "r"), ("x-deadline-ms", "400")]).await;
    answer.unwrap()[9..12].to_owned()
}

/// Waits until a path is answered with a status.
async fn wait_for(router: &Running, path: &str, wanted: &str) {
    let ask = async {
        while status(router, path).await != wanted {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(common::PATIENCE, ask).await.expect("the answer changes");
}

/// Callers are refused although their router has read what it needs a moment later.
#[tokio::test]
async fn a_request_that_comes_during_the_first_read_is_served() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.config(common::config(1, vec![common::route("/pay/", "desk")]));
    store.target(target.entry("target-1", "desk"));
    store.set_slow(Duration::from_millis(300));
    let router = Running::start(&store);
    let headers = [("x-id", "r"), ("x-deadline-ms", "4000")];
    let ask = async {
        loop {
            match common::get(router.front, "/pay/1", &headers).await {
                Ok(answer) => return answer,
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    };
    let serve = async { target.next().await.answer_whole("r", "paid").await };
    let (answer, ()) = tokio::join!(ask, serve);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// A process that has just started knows no configuration. Told 404, a caller takes its request for
/// one that does not exist and gives up; 503 brings it back.
#[tokio::test]
async fn without_a_configuration_nothing_is_denied() {
    let store = MemoryStore::default();
    store.set_down(true);
    let router = Running::start(&store);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = common::get(router.front, "/pay/1", &[("x-id", "r")]).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after"), "{answer}");
    let ready = common::get(router.ready, "/ready", &[]).await.unwrap();
    assert!(ready.starts_with("HTTP/1.1 503"), "{ready}");
}

/// An older configuration arrives after a newer one. Taken, a route that operators have removed
/// would be served again.
#[tokio::test]
async fn a_configuration_never_goes_back() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.target(target.entry("target-1", "desk"));
    store.config(common::config(7, vec![common::route("/new/", "desk")]));
    let router = Running::start(&store);
    router.wait_ready().await;
    store.config(common::config(5, vec![common::route("/old/", "desk")]));
    store.garbage(Subject::Config, "config");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(status(&router, "/old/").await, "404");
    assert_ne!(status(&router, "/new/").await, "404");
}

/// Somebody else's entry lies among those of the targets and cannot be read. The others hold.
#[tokio::test]
async fn an_entry_that_cannot_be_read_hides_no_other() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.config(common::config(1, vec![common::route("/pay/", "desk")]));
    store.garbage(Subject::Targets, "somebody");
    store.target(target.entry("target-1", "desk"));
    let router = Running::start(&store);
    router.wait_ready().await;
    let mut caller =
        common::send(router.front, "POST", "/pay/1", &[("x-id", "r")], "").await.unwrap();
    target.next().await.answer_whole("r", "paid").await;
    assert!(common::read_all(&mut caller).await.unwrap().ends_with("paid"));
}

/// The store turns one router away. The other one reads it and hands over what it has read, so the
/// first serves a configuration that it could not read itself.
#[tokio::test]
async fn a_router_without_the_store_takes_what_its_peer_has_read() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.config(common::config(1, vec![common::route("/pay/", "desk")]));
    store.target(target.entry("target-1", "desk"));
    let reader = Running::start(&store);
    reader.wait_ready().await;
    let (away, seeds) = (store.turned_away(), vec![reader.peers]);
    let router = Running::start_with(&away, "router-b", seeds, Duration::from_secs(8));
    router.wait_ready().await;
    wait_for(&router, "/other/", "404").await;
}

/// The connection of a read goes dead just before a change is written. If the read were given up only
/// when the bound for the change is over, callers would meet the older configuration until after it.
#[rstest::rstest]
#[case::two_seconds(2)]
#[case::three_seconds(3)]
#[case::seven_seconds(7)]
fn a_silent_read_is_followed_by_another_within_the_bound(#[case] seconds: u64) {
    let within = Duration::from_secs(seconds);
    let silent = StoreError::TimedOut(follow::SILENCE.as_millis() as u64);
    let next = follow::wait(within) + follow::SILENCE + follow::pause_after(&silent);
    assert!(next < within, "the next read begins after {next:?}");
}
