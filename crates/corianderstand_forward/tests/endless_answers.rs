//! Targets and stores that send bytes that are no answer, without end, until the caller closes.

mod common;

use common::{MemoryStore, ReceivedRequest, RouterThread, Target};
use corianderstand_fleet::config::{RetryPolicy, Route};
use corianderstand_forward::{client, pool};
use corianderstand_types::clock::SystemClock;
use rstest::rstest;
use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const ID: &str = "request-1";
/// Far beyond any answer, and far below the memory of a router with a few such answers.
const MAX_READ_BYTES: usize = 16 << 20;
const GARBAGE: [u8; 16 << 10] = [b'x'; 16 << 10];
/// Longest time that a test lets a stand-in send.
const SEND_LIMIT: Duration = Duration::from_secs(15);

/// How fast a stand-in sends.
#[derive(Clone, Copy, Debug)]
enum Speed {
    Full,
    /// A few bytes every 20 ms.
    Trickle,
}

/// Sends bytes until the reader closes; returns how many were taken, or none if it never closed.
async fn send_without_end(stream: &mut TcpStream, speed: Speed) -> Option<usize> {
    let mut taken = 0;
    let send = async {
        loop {
            let bytes = match speed {
                Speed::Full => &GARBAGE[..],
                Speed::Trickle => &GARBAGE[..7],
            };
            if stream.write_all(bytes).await.is_err() || taken > 4 * MAX_READ_BYTES {
                return;
            }
            taken += bytes.len();
            if matches!(speed, Speed::Trickle) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    };
    tokio::time::timeout(SEND_LIMIT, send).await.ok()?;
    Some(taken)
}

fn signed_head(framing: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: {ID}\r\n{framing}\r\n")
}

fn pay() -> Route {
    Route { timeout: Duration::from_secs(4), ..common::route("/pay/", "desk") }
}

fn draft() -> Route {
    let gap_objective = Some(Duration::from_millis(100));
    Route { streams: true, timeout: Duration::from_secs(10), gap_objective, ..pay() }
}

fn chat() -> Route {
    Route { resumable: true, ..draft() }
}

fn look() -> Route {
    Route { retry_policy: RetryPolicy::Allowed, ..pay() }
}

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

async fn send(router: &RouterThread) -> TcpStream {
    common::send(router.front, "POST", "/pay/1", &[("x-id", ID)], "").await.unwrap()
}

/// What the caller gets until its connection ends, however it ends.
async fn read_answer(caller: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buf = [0; 4_096];
    let read = async {
        while let Ok(len @ 1..) = caller.read(&mut buf).await {
            bytes.extend_from_slice(&buf[..len]);
            if bytes.ends_with(b"0\r\n\r\n") {
                return;
            }
        }
    };
    drop(tokio::time::timeout(SEND_LIMIT, read).await);
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn send_garbage(mut request: ReceivedRequest, start: &str, speed: Speed) -> Option<usize> {
    request.stream.write_all(start.as_bytes()).await.unwrap();
    send_without_end(&mut request.stream, speed).await
}

/// Guards against a router that reads a head without end, and calls a request not run that may have run.
#[rstest]
#[case::at_once(Speed::Full)]
#[case::slowly(Speed::Trickle)]
#[tokio::test]
async fn a_head_without_end_is_left_and_not_called_not_run(#[case] speed: Speed) {
    let target = Target::start().await;
    let router = start(pay(), &[&target]).await;
    let mut caller = send(&router).await;
    let garbage = send_garbage(target.next().await, "HTTP/1.1 200 OK\r\nx-more: ", speed);
    let (taken, answer) = tokio::join!(garbage, read_answer(&mut caller));
    assert!(taken.is_some_and(|taken| taken < MAX_READ_BYTES), "{taken:?}");
    assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    assert!(!answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// Guards against a router whose memory grows with a body that states no end, and that passes a part of it on.
#[rstest]
#[case::until_close("", Speed::Full)]
#[case::slowly_until_close("", Speed::Trickle)]
#[case::by_length("Content-Length: 9999999999999\r\n", Speed::Full)]
#[tokio::test]
async fn a_body_without_end_is_left_and_not_passed_on(#[case] framing: &str, #[case] speed: Speed) {
    let target = Target::start().await;
    let router = start(pay(), &[&target]).await;
    let mut caller = send(&router).await;
    let start = signed_head(framing);
    let garbage = send_garbage(target.next().await, &start, speed);
    let (taken, answer) = tokio::join!(garbage, read_answer(&mut caller));
    assert!(taken.is_some_and(|taken| taken < MAX_READ_BYTES), "{taken:?}");
    assert!(answer.starts_with("HTTP/1.1 50") && !answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// Guards against many bodies without end that together exceed a router's memory, though each alone does not.
#[tokio::test]
async fn bodies_without_end_share_one_limit() {
    const ANSWERS: usize = 8;
    let target = Target::start().await;
    let router = start(pay(), &[&target]).await;
    let mut callers = Vec::new();
    let mut senders = Vec::new();
    for _ in 0..ANSWERS {
        callers.push(send(&router).await);
        senders.push(send_garbage_slowing(target.next().await));
    }
    let are_open = futures::future::join_all(senders).await;
    let open = are_open.iter().filter(|is_open| **is_open).count();
    assert!(open < ANSWERS / 2, "{open} answers are held at once");
}

/// Sends a little less than one answer may have, then pauses; returns whether its connection is still open.
async fn send_garbage_slowing(mut request: ReceivedRequest) -> bool {
    let head = signed_head("");
    request.stream.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..(7 << 20) / GARBAGE.len() {
        if request.stream.write_all(&GARBAGE).await.is_err() {
            return false;
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    request.stream.write_all(&GARBAGE).await.is_ok()
}

/// Guards against a few bodies without end that break off all other answers of the router.
#[tokio::test]
async fn short_answers_are_read_beside_bodies_without_end() {
    let target = Target::start().await;
    let router = start(pay(), &[&target]).await;
    let (_one, _two) = (send(&router).await, send(&router).await);
    let (mut one, mut two) = (target.next().await, target.next().await);
    let bytes = signed_head("").into_bytes();
    // Together they take all but two bytes of what is shared.
    let bytes = [bytes, vec![b'x'; (8 << 20) - 1]].concat();
    let (sent, also_sent) =
        tokio::join!(one.stream.write_all(&bytes), two.stream.write_all(&bytes));
    sent.and(also_sent).unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut caller = send(&router).await;
    target.next().await.answer_whole_unless_reset(ID, "seats: 4").await;
    let answer = read_answer(&mut caller).await;
    assert!(answer.contains("seats: 4"), "{answer}");
}

/// Guards against bytes that are no event and are passed on, which callers would take for the target's.
#[rstest]
#[case::without_empty_lines("xxxxxxx")]
#[case::between_empty_lines("xxxxx\n\n")]
#[tokio::test]
async fn bytes_that_are_no_event_are_not_passed_on(
    #[case] bytes: &'static str,
    #[values("", "id: 0\ndata: a\n\n")] events: &str,
) {
    let target = Target::start().await;
    let router = start(draft(), &[&target]).await;
    let mut caller = send(&router).await;
    let mut request = target.next().await;
    request.stream.write_all((signed_head("") + events).as_bytes()).await.unwrap();
    let garbage = async {
        while request.stream.write_all(bytes.as_bytes()).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let garbage = tokio::time::timeout(SEND_LIMIT, garbage);
    let (closed, answer) = tokio::join!(garbage, read_answer(&mut caller));
    assert!(closed.is_ok(), "its connection stays open");
    assert!(!answer.contains("xx") && !answer.ends_with("0\r\n\r\n"), "{answer}");
    let is_failed = answer.starts_with("HTTP/1.1 502");
    assert!(is_failed == events.is_empty(), "{answer}");
}

/// Guards against fields of the format without data that are taken for bytes that are no answer.
#[rstest]
#[case::time_to_reconnect("retry: 100\n\n")]
#[case::type_of_event("event: part\n\n")]
#[case::comment(": still there\n\n")]
#[tokio::test]
async fn fields_without_data_are_passed_on(#[case] fields: &'static str) {
    let target = Target::start().await;
    let router = start(draft(), &[&target]).await;
    let mut caller = send(&router).await;
    let events = "id: 0\ndata: a\n\n";
    let body = format!("{events}{fields}{}", "id: 1\ndata: b\n\n");
    let head = signed_head(&format!("Content-Length: {}\r\n", body.len()));
    let mut request = target.next().await;
    for part in [head.as_str(), events, fields, "id: 1\ndata: b\n\n"] {
        request.stream.write_all(part.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let answer = read_answer(&mut caller).await;
    assert!(answer.contains(fields.trim_end()) && answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// Guards against bytes that are no event and are taken for progress of a stream, before its first event or after it.
#[rstest]
#[case::before_the_first_event(draft(), "", Speed::Full)]
#[case::slowly_before_the_first_event(draft(), "", Speed::Trickle)]
#[case::after_an_event(draft(), "id: 0\ndata: a\n\n", Speed::Full)]
#[case::slowly_after_an_event(draft(), "id: 0\ndata: a\n\n", Speed::Trickle)]
#[tokio::test]
async fn a_stream_without_events_is_left_and_does_not_look_complete(
    #[case] route: Route,
    #[case] events: &str,
    #[case] speed: Speed,
) {
    let target = Target::start().await;
    let router = start(route, &[&target]).await;
    let mut caller = send(&router).await;
    let start = signed_head("") + events;
    let garbage = send_garbage(target.next().await, &start, speed);
    let began = std::time::Instant::now();
    let (taken, answer) = tokio::join!(garbage, read_answer(&mut caller));
    assert!(taken.is_some_and(|taken| taken < MAX_READ_BYTES), "{taken:?}");
    assert!(began.elapsed() < Duration::from_secs(6), "{:?}", began.elapsed());
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// Guards against a caller whose stream could go on elsewhere, held by bytes that are no event.
#[rstest]
#[case::at_once(Speed::Full)]
#[case::slowly(Speed::Trickle)]
#[tokio::test]
async fn a_stream_goes_on_elsewhere_after_bytes_that_are_no_event(#[case] speed: Speed) {
    let (one, two) = (Target::start().await, Target::start().await);
    let router = start(chat(), &[&one, &two]).await;
    let mut caller = send(&router).await;
    let (first, other) = tokio::select! {
        request = one.next() => (request, &two),
        request = two.next() => (request, &one),
    };
    let start = signed_head("") + "id: 0\ndata: a\n\n";
    let garbage = send_garbage(first, &start, speed);
    let rest = async {
        let request = other.next().await;
        assert_eq!(request.header("x-last-event"), Some("0"), "{}", request.head);
        request.answer_with_head(ID, "", "id: 1\ndata: b\n\n").await;
    };
    let (taken, answer, ()) = tokio::join!(garbage, read_answer(&mut caller), rest);
    assert!(taken.is_some(), "its connection stays open");
    assert!(answer.contains("data: a") && answer.contains("data: b"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    assert!(!answer.contains("xx"), "{answer}");
}

/// Guards against a request that may be repeated and is held by a body without end until its time is over.
#[tokio::test]
async fn a_request_that_may_be_repeated_goes_elsewhere_after_a_body_without_end() {
    let (one, two) = (Target::start().await, Target::start().await);
    let router = start(look(), &[&one, &two]).await;
    let mut caller = send(&router).await;
    let (first, other) = tokio::select! {
        request = one.next() => (request, &two),
        request = two.next() => (request, &one),
    };
    let start = signed_head("");
    let garbage = send_garbage(first, &start, Speed::Trickle);
    let rest = async { other.next().await.answer_whole_unless_reset(ID, "seats: 4").await };
    let (taken, answer, ()) = tokio::join!(garbage, read_answer(&mut caller), rest);
    assert!(taken.is_some(), "its connection stays open");
    assert!(answer.contains("seats: 4"), "{answer}");
}

async fn call_server(speed: Speed, start: &'static str) -> (Result<(), client::CallError>, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await.unwrap();
        stream.write_all(start.as_bytes()).await.unwrap();
        send_without_end(&mut stream, speed).await
    };
    let (called, taken) = tokio::join!(read_with_idle_timeout(addr), server);
    (called, taken.expect("the reader closes"))
}

async fn read_with_idle_timeout(addr: SocketAddr) -> Result<(), client::CallError> {
    let client = client::Client::new(Rc::new(pool::Pool::default()), Arc::new(SystemClock));
    let timeouts = client::ResponseTimeouts {
        head_timeout: Duration::from_millis(700),
        idle_timeout: Duration::from_millis(700),
        last_received: client::LastReceived::default(),
    };
    let req = http::Request::get("/").header("host", "store.example").body(pool::Body::default());
    client.call_with_idle_timeout(addr, req.unwrap(), &timeouts, None).await.map(|_| ())
}

/// Guards against a follower that reads one response of the store for ever and learns nothing more.
#[rstest]
#[case::head(Speed::Full, "HTTP/1.1 200 OK\r\nx-more: ")]
#[case::slow_head(Speed::Trickle, "HTTP/1.1 200 OK\r\nx-more: ")]
#[case::body(Speed::Full, "HTTP/1.1 200 OK\r\n\r\n")]
#[case::slow_body(Speed::Trickle, "HTTP/1.1 200 OK\r\n\r\n")]
#[tokio::test]
async fn a_read_of_the_store_without_end_fails(#[case] speed: Speed, #[case] start: &'static str) {
    let local = tokio::task::LocalSet::new();
    let (called, taken) = local.run_until(call_server(speed, start)).await;
    assert!(called.is_err());
    assert!(taken < MAX_READ_BYTES, "{taken}");
}
