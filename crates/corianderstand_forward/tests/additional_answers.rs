//! Targets that send more than the answer, or state another length than it has.

mod common;

use common::{MemoryStore, RouterThread, Target};
use corianderstand_fleet::config::{RetryPolicy, Route};
use rstest::rstest;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Time in which a request would have reached another target.
const QUIET_TIME: Duration = Duration::from_millis(400);
const BODY: &str = "the whole of the answer";

async fn start(route: Route, targets: &[&Target]) -> RouterThread {
    let store = MemoryStore::default();
    store.put_config(common::config(1, vec![route]));
    for (index, target) in targets.iter().enumerate() {
        store.put_target(target.entry(&format!("target-{index}"), "desk"));
    }
    let settings = RouterThread::settings("router-a", Vec::new(), Duration::from_secs(8));
    let router = RouterThread::start_on(&store, common::may_retry_at_once(settings));
    router.wait_ready().await;
    router
}

async fn send(router: &RouterThread, id: &str) -> TcpStream {
    common::send(router.front, "POST", "/pay/1", &[("x-id", id)], "").await.unwrap()
}

fn answer(id: &str, body: &str) -> String {
    let len = body.len();
    format!("HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: {id}\r\nContent-Length: {len}\r\n\r\n{body}")
}

async fn next_head(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buf = [0; 4_096];
    while !text.contains("\r\n\r\n") {
        let len = stream.read(&mut buf).await.ok().filter(|len| *len > 0)?;
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
    }
    Some(text)
}

/// Guards against a booking that runs twice, as a late additional response on its connection says that it has not run.
#[rstest]
#[case::full("503 Full")]
#[case::bad_request("400 Bad")]
#[tokio::test]
async fn an_additional_response_is_not_taken_for_the_answer_to_the_next_request(
    #[case] status: &str,
) {
    let (one, two) = (Target::start().await, Target::start().await);
    let route = Route { retry_policy: RetryPolicy::Never, ..common::route("/pay/", "desk") };
    let router = start(route, &[&one, &two]).await;
    let mut first = send(&router, "a").await;
    let (mut request, other) = tokio::select! {
        request = one.next() => (request, &two),
        request = two.next() => (request, &one),
    };
    request.stream.write_all(answer("a", "done").as_bytes()).await.unwrap();
    assert!(common::read_all(&mut first).await.unwrap().starts_with("HTTP/1.1 200"));
    // The connection is used again sooner or later.
    let mut ran_elsewhere = Vec::new();
    for number in 0..20 {
        let id = format!("b{number}");
        let mut caller = send(&router, &id).await;
        tokio::select! {
            head = next_head(&mut request.stream) => {
                assert!(head.expect("the connection is open").contains(&format!("x-id: {id}")));
                let additional = format!("HTTP/1.1 {status}\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n");
                request.stream.write_all(additional.as_bytes()).await.unwrap();
                let runs_twice = tokio::time::timeout(QUIET_TIME, other.next_or_wait()).await.is_ok();
                assert!(!runs_twice, "the booking went to a second target");
                request.stream.write_all(answer(&id, "done").as_bytes()).await.ok();
                let answer = common::read_all(&mut caller).await.unwrap_or_default();
                assert!(!answer.starts_with("HTTP/1.1 503"), "{answer}");
                return;
            }
            elsewhere = other.next() => {
                elsewhere.answer_whole_unless_reset(&id, "done").await;
                ran_elsewhere.push(caller);
            }
        }
    }
    panic!("the connection was not used again");
}

/// Guards against an answer that its caller gets cut, as the target states a length beside its chunks.
#[tokio::test]
async fn a_length_beside_chunks_is_not_passed_on() {
    let target = Target::start().await;
    let router = start(common::route("/pay/", "desk"), &[&target]).await;
    let mut caller = send(&router, "a").await;
    let request = target.next().await;
    let (len, half) = (BODY.len(), BODY.len() / 2);
    let text = format!(
        "HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: a\r\nTransfer-Encoding: chunked\r\nContent-Length: {half}\r\n\r\n{len:x}\r\n{BODY}\r\n0\r\n\r\n"
    );
    request.answer(&text).await;
    let answer = common::read_all(&mut caller).await.unwrap().to_lowercase();
    assert!(answer.ends_with(BODY), "{answer}");
    assert!(!answer.contains(&format!("content-length: {half}")), "{answer}");
}
