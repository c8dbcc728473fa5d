//! Callers that read their responses slowly or not at all.

mod common;

use common::{MemoryStore, ReceivedRequest, RouterThread, Target};
use corianderstand_fleet::config::Route;
use corianderstand_forward::server;
use std::time::{Duration, Instant};
use tokio::{io::AsyncWriteExt, net::TcpStream};

const EVENT_BYTES: usize = 16 << 10;
/// Bounds what buffers of the system on both connections hold beside those of the router.
const MAX_BUFFERED_BYTES: usize = 24 << 20;

async fn start() -> (RouterThread, Target) {
    let store = MemoryStore::default();
    let target = Target::start().await;
    let route = Route { streams: true, ..common::route("/ask/", "models") };
    store.put_config(common::config(1, vec![route]));
    store.put_target(target.entry("target-1", "models"));
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    (router, target)
}

/// Opens a stream of `id` whose caller has read nothing yet.
async fn open(router: &RouterThread, target: &Target, id: &str) -> (TcpStream, ReceivedRequest) {
    let headers = [("x-id", id), ("x-deadline-ms", "60000")];
    let caller = common::send(router.front, "POST", "/ask/1", &headers, "").await.unwrap();
    let mut request = target.next().await;
    request.begin_stream(id).await;
    (caller, request)
}

/// Sends events until the router closes the connection. Returns how many bytes it took.
async fn stream_until_closed(mut request: ReceivedRequest) -> usize {
    let event = format!("id: 1\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    let mut sent = 0;
    while request.stream.write_all(chunk.as_bytes()).await.is_ok() {
        sent += chunk.len();
    }
    sent
}

/// Guards against callers that never read and hold memory and places at targets for as long as they like.
#[tokio::test]
async fn a_caller_that_never_reads_is_disconnected_and_its_request_cancelled() {
    let (router, target) = start().await;
    let (_caller, request) = open(&router, &target, "slow").await;
    let started_at = Instant::now();
    let closed = tokio::time::timeout(common::WAIT_LIMIT, stream_until_closed(request)).await;
    let sent = closed.expect("the request is cancelled");
    assert!(sent < MAX_BUFFERED_BYTES, "{sent} bytes were taken");
    assert!(started_at.elapsed() < 2 * server::CALLER_WRITE_TIMEOUT, "{:?}", started_at.elapsed());
}

/// Guards against one slow caller that holds up the others of its router.
#[tokio::test]
async fn a_caller_that_never_reads_holds_up_nobody_else() {
    let (router, target) = start().await;
    let (_slow, request) = open(&router, &target, "slow").await;
    let slow = tokio::spawn(stream_until_closed(request));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (mut caller, mut request) = open(&router, &target, "quick").await;
    let started_at = Instant::now();
    request.send_chunk("id: 1\ndata: x\n\n").await;
    request.end().await;
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
    slow.abort();
}
