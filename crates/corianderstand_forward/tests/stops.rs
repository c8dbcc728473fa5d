//! Graceful shutdown of a router.

mod common;

use common::{MemoryStore, RouterThread, Target};
use corianderstand_fleet::config::{Engine, Model, Service};
use std::time::Duration;
use tokio::io::AsyncWriteExt;

const STOP_WITHIN: Duration = Duration::from_secs(3);

/// Its only model is not loaded, so that requests wait.
fn cold_service(store: &MemoryStore, target: &Target) {
    let mut config = common::config(1, vec![common::route("/ask/", "models")]);
    let model = Model {
        name: "m".into(),
        load_from_store: Duration::from_millis(500),
        load_from_disk: Duration::from_millis(500),
        load_from_memory: Duration::from_millis(500),
        ..Default::default()
    };
    let engine = Engine { slots: 8, models: vec![model], ..Default::default() };
    config.services = vec![Service {
        name: "models".into(),
        connections: 10,
        engine: Some(engine),
        ..Default::default()
    }];
    store.put_config(config);
    store.put_target(target.entry("target-1", "models"));
}

/// Guards against closing the connection of a waiting request without a response.
#[tokio::test]
async fn a_waiting_request_is_answered_before_the_router_exits() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    cold_service(&store, &target);
    let mut router = RouterThread::start_with(&store, "router-a", Vec::new(), STOP_WITHIN);
    router.wait_ready().await;
    let headers = [("x-id", "request-1"), ("x-model", "m")];
    let mut caller = common::send(router.front, "POST", "/ask/1", &headers, "").await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    router.stop();
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after"), "{answer}");
}

/// Guards against accepting requests that the shutdown would abort.
#[tokio::test]
async fn a_late_request_is_refused_at_once() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_config(common::config(1, vec![common::route("/pay/", "desk")]));
    store.put_target(target.entry("target-1", "desk"));
    let mut router = RouterThread::start_with(&store, "router-a", Vec::new(), STOP_WITHIN);
    router.wait_ready().await;
    // Keeps the router from exiting early.
    let headers = [("x-id", "request-1")];
    let in_progress = common::send(router.front, "POST", "/pay/1", &headers, "").await.unwrap();
    let _request = target.next().await;
    router.stop();
    tokio::time::sleep(STOP_WITHIN / 2 + Duration::from_millis(200)).await;
    assert!(!router.has_ended());
    let answer = common::get(router.front, "/pay/2", &[("x-id", "request-2")]).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after"), "{answer}");
    drop(in_progress);
}

/// Guards against aborting a request that is in progress at its target.
#[tokio::test]
async fn a_response_during_shutdown_is_delivered() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_config(common::config(1, vec![common::route("/pay/", "desk")]));
    store.put_target(target.entry("target-1", "desk"));
    let mut router = RouterThread::start_with(&store, "router-a", Vec::new(), STOP_WITHIN);
    router.wait_ready().await;
    let headers = [("x-id", "request-1")];
    let mut caller = common::send(router.front, "POST", "/pay/1", &headers, "").await.unwrap();
    let request = target.next().await;
    router.stop();
    tokio::time::sleep(Duration::from_secs(1)).await;
    request.answer_whole("request-1", "paid").await;
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("paid"), "{answer}");
}

/// Guards against closing a new connection as idle before its request arrives.
#[tokio::test]
async fn a_connection_opened_during_shutdown_is_answered() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_config(common::config(1, vec![common::route("/pay/", "desk")]));
    store.put_target(target.entry("target-1", "desk"));
    let mut router = RouterThread::start_with(&store, "router-a", Vec::new(), STOP_WITHIN);
    router.wait_ready().await;
    router.stop();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut caller = tokio::net::TcpStream::connect(router.front).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let head = "POST /pay/1 HTTP/1.1\r\nHost: desk.example\r\nx-id: r\r\nContent-Length: 0\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    target.next().await.answer_whole("r", "paid").await;
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("connection: close"), "{answer}");
}
