//! Replication of the store: no rollback, no invalid records, no loss during outages.

mod common;

use common::{MemoryStore, RouterThread, Target};
use corianderstand_forward::{
    dialect::{StoreError, Subject},
    follow,
};
use std::time::{Duration, Instant};

async fn status(router: &RouterThread, path: &str) -> String {
    let answer = common::get(router.front, path, &[("x-id", "r"), ("x-deadline-ms", "400")]).await;
    answer.unwrap()[9..12].to_owned()
}

async fn wait_for_status(router: &RouterThread, path: &str, expected: &str) {
    let poll = async {
        while status(router, path).await != expected {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, poll).await.expect("the answer changes");
}

/// Requests must not be rejected while the first read is still in progress.
#[tokio::test]
async fn a_request_during_the_first_read_is_served() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_config(common::config(1, vec![common::route("/pay/", "desk")]));
    store.put_target(target.entry("target-1", "desk"));
    store.set_read_delay(Duration::from_millis(300));
    let router = RouterThread::start(&store);
    let headers = [("x-id", "r"), ("x-deadline-ms", "4000")];
    let poll = async {
        loop {
            match common::get(router.front, "/pay/1", &headers).await {
                Ok(answer) => return answer,
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    };
    let serve = async { target.next().await.answer_whole("r", "paid").await };
    let (answer, ()) = tokio::join!(poll, serve);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Callers give up after a 404, but retry after a 503.
#[tokio::test]
async fn a_router_without_a_configuration_answers_503() {
    let store = MemoryStore::default();
    store.set_down(true);
    let router = RouterThread::start(&store);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = common::get(router.front, "/pay/1", &[("x-id", "r")]).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after"), "{answer}");
    let ready = common::get(router.ready, "/ready", &[]).await.unwrap();
    assert!(ready.starts_with("HTTP/1.1 503"), "{ready}");
}

/// An older configuration that arrives late would restore removed routes.
#[tokio::test]
async fn an_older_configuration_is_ignored() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_target(target.entry("target-1", "desk"));
    store.put_config(common::config(7, vec![common::route("/new/", "desk")]));
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    store.put_config(common::config(5, vec![common::route("/old/", "desk")]));
    store.put_unreadable_record(Subject::Config, "config");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(status(&router, "/old/").await, "404");
    assert_ne!(status(&router, "/new/").await, "404");
}

#[tokio::test]
async fn an_undecodable_entry_does_not_affect_others() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_config(common::config(1, vec![common::route("/pay/", "desk")]));
    store.put_unreadable_record(Subject::Targets, "somebody");
    store.put_target(target.entry("target-1", "desk"));
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    let mut caller =
        common::send(router.front, "POST", "/pay/1", &[("x-id", "r")], "").await.unwrap();
    target.next().await.answer_whole("r", "paid").await;
    assert!(common::read_all(&mut caller).await.unwrap().ends_with("paid"));
}

#[tokio::test]
async fn a_router_without_the_store_fetches_from_its_peer() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_config(common::config(1, vec![common::route("/pay/", "desk")]));
    store.put_target(target.entry("target-1", "desk"));
    let reader = RouterThread::start(&store);
    reader.wait_ready().await;
    let (unavailable, seeds) = (store.unavailable(), vec![reader.peers]);
    let router = RouterThread::start_with(&unavailable, "router-b", seeds, Duration::from_secs(8));
    router.wait_ready().await;
    wait_for_status(&router, "/other/", "404").await;
}

/// Guards against a pause after each response while a router is behind by several, with records that look fresh.
#[tokio::test]
async fn a_router_that_is_behind_reads_on_to_the_end() {
    const RENEWALS: usize = 20;
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_config(common::config(1, vec![common::route("/pay/", "desk")]));
    store.put_target(target.entry("target-1", "desk"));
    let other = Target::start().await;
    let own_store = store.isolated();
    let mut settings = RouterThread::settings("router-a", Vec::new(), Duration::from_secs(8));
    settings.bounds.drain_within = Duration::from_secs(2);
    let router = RouterThread::start_on(&own_store, settings);
    router.wait_ready().await;
    own_store.set_unavailable(true);
    for _ in 0..RENEWALS {
        store.put_target(other.entry("target-2", "another"));
    }
    store.remove_target("target-1");
    store.set_max_read_records(2);
    own_store.set_unavailable(false);
    let started_at = Instant::now();
    wait_for_status(&router, "/pay/1", "503").await;
    let elapsed = started_at.elapsed();
    assert!(elapsed < router.settings.bounds.drain_within, "removed after {elapsed:?}");
}

/// A dead connection must be abandoned early enough to read again within the limit.
#[rstest::rstest]
#[case::two_seconds(2)]
#[case::three_seconds(3)]
#[case::seven_seconds(7)]
fn an_unresponsive_read_is_repeated_within_the_limit(#[case] seconds: u64) {
    let config_within = Duration::from_secs(seconds);
    let timed_out = StoreError::TimedOut(follow::RESPONSE_TIMEOUT.as_millis() as u64);
    let next_read_after = follow::long_poll_wait(config_within)
        + follow::RESPONSE_TIMEOUT
        + follow::retry_delay(&timed_out);
    assert!(next_read_after < config_within, "the next read begins after {next_read_after:?}");
}
