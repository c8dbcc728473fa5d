//! Answers that end early, of targets that state neither a length nor chunks, and for callers of HTTP/1.0.

mod common;

use common::{MemoryStore, ReceivedRequest, RouterThread, Target};
use corianderstand_fleet::config::{RetryPolicy, Route};
use rstest::rstest;
use std::{io::ErrorKind, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const ID: &str = "request-1";
const LAST_CHUNK: &str = "0\r\n\r\n";
const HALF_EVENT: &str = "id: 1\nda";

fn draft() -> Route {
    Route { streams: true, ..common::route("/pay/", "desk") }
}

fn chat() -> Route {
    Route { resumable: true, ..draft() }
}

fn pay() -> Route {
    common::route("/pay/", "desk")
}

fn look() -> Route {
    Route { retry_policy: RetryPolicy::Allowed, ..pay() }
}

async fn start(route: Route, targets: &[&Target]) -> RouterThread {
    start_with(route, targets, Duration::from_secs(8)).await
}

async fn start_with(route: Route, targets: &[&Target], stop_within: Duration) -> RouterThread {
    let store = MemoryStore::default();
    store.put_config(common::config(1, vec![route]));
    for (index, target) in targets.iter().enumerate() {
        store.put_target(target.entry(&format!("target-{index}"), "desk"));
    }
    let settings = RouterThread::settings("router-a", Vec::new(), stop_within);
    let router = RouterThread::start_on(&store, common::may_retry_at_once(settings));
    router.wait_ready().await;
    router
}

async fn send(router: &RouterThread) -> TcpStream {
    common::send(router.front, "POST", "/pay/1", &[("x-id", ID)], "").await.unwrap()
}

async fn send_http_1_0(addr: SocketAddr) -> TcpStream {
    let mut caller = TcpStream::connect(addr).await.unwrap();
    let head = format!("POST /pay/1 HTTP/1.0\r\nHost: desk.example\r\nx-id: {ID}\r\n\r\n");
    caller.write_all(head.as_bytes()).await.unwrap();
    caller
}

/// Sends a signed response that ends with its connection.
async fn answer_until_close(request: ReceivedRequest, body: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: {ID}\r\nConnection: close\r\n\r\n");
    request.answer(&(head + body)).await;
}

/// Returns the received request and the target that did not receive it.
async fn receive<'a>(one: &'a Target, two: &'a Target) -> (ReceivedRequest, &'a Target) {
    tokio::select! {
        request = one.next() => (request, two),
        request = two.next() => (request, one),
    }
}

/// Reads until the connection ends, and returns what came before and how it ended.
async fn read_to_end(caller: &mut TcpStream) -> (String, Result<(), ErrorKind>) {
    let mut bytes = Vec::new();
    let mut buf = [0; 4_096];
    let read = async {
        loop {
            match caller.read(&mut buf).await {
                Ok(0) => return Ok(()),
                Ok(len) => bytes.extend_from_slice(&buf[..len]),
                Err(error) => return Err(error.kind()),
            }
        }
    };
    let end = tokio::time::timeout(common::WAIT_LIMIT, read).await.expect("the answer ends");
    (String::from_utf8_lossy(&bytes).into_owned(), end)
}

/// Guards against a half answer that its caller takes for a whole one.
#[tokio::test]
async fn a_stream_without_a_length_that_ends_inside_an_event_does_not_look_complete() {
    let target = Target::start().await;
    let router = start(draft(), &[&target]).await;
    let mut caller = send(&router).await;
    answer_until_close(target.next().await, &format!("id: 0\ndata: a\n\n{HALF_EVENT}")).await;
    let (answer, _) = read_to_end(&mut caller).await;
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against a break that is noticed only where the target states no length.
#[tokio::test]
async fn a_stream_in_chunks_that_ends_inside_an_event_does_not_look_complete() {
    let target = Target::start().await;
    let router = start(draft(), &[&target]).await;
    let mut caller = send(&router).await;
    let mut request = target.next().await;
    request.begin_stream(ID).await;
    request.send_chunk(&format!("id: 0\ndata: a\n\n{HALF_EVENT}")).await;
    request.end().await;
    let (answer, _) = read_to_end(&mut caller).await;
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against a target's version that decides how the caller's answer is delimited.
#[rstest]
#[case::broken_off(HALF_EVENT, false)]
#[case::whole("id: 1\ndata: b\n\n", true)]
#[tokio::test]
async fn a_stream_of_a_target_of_http_1_0_has_chunks_for_its_caller(
    #[case] rest: &str,
    #[case] is_whole: bool,
) {
    let target = Target::start().await;
    let router = start(draft(), &[&target]).await;
    let mut caller = send(&router).await;
    let head = format!("HTTP/1.0 200 OK\r\nx-signed: 1\r\nx-id: {ID}\r\n\r\n");
    target.next().await.answer(&format!("{head}id: 0\ndata: a\n\n{rest}")).await;
    let (answer, _) = read_to_end(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(answer.ends_with(LAST_CHUNK), is_whole, "{answer}");
}

/// A stream that ends after a whole event is the target's whole answer while the target lives.
#[rstest]
#[case::that_may_be_resumed(chat())]
#[case::that_may_not(draft())]
#[tokio::test]
async fn a_stream_without_a_length_is_delivered_whole(#[case] route: Route) {
    let target = Target::start().await;
    let router = start(route, &[&target]).await;
    let mut caller = send(&router).await;
    answer_until_close(target.next().await, "id: 0\ndata: a\n\n").await;
    let (answer, _) = read_to_end(&mut caller).await;
    assert!(answer.contains("data: a") && answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against whole streams that look broken, as their lines end otherwise.
#[rstest]
#[case::line_feeds("id: 0\ndata: a\n\n")]
#[case::carriage_returns_and_line_feeds("id: 0\r\ndata: a\r\n\r\n")]
#[case::carriage_returns("id: 0\rdata: a\r\r")]
#[tokio::test]
async fn an_event_ends_with_an_empty_line_in_each_allowed_form(#[case] event: &str) {
    let target = Target::start().await;
    let router = start(chat(), &[&target]).await;
    let mut caller = send(&router).await;
    let mut request = target.next().await;
    request.begin_stream(ID).await;
    request.send_chunk(event).await;
    request.end().await;
    let (answer, _) = read_to_end(&mut caller).await;
    assert!(answer.contains("data: a") && answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against a stream that counts as whole although the router knows that an event is missing.
#[rstest]
#[case::without_a_length(false)]
#[case::in_chunks(true)]
#[tokio::test]
async fn a_stream_whose_second_target_lacks_the_broken_event_does_not_look_complete(
    #[case] chunked: bool,
) {
    let (one, two) = (Target::start().await, Target::start().await);
    let router = start(chat(), &[&one, &two]).await;
    let mut caller = send(&router).await;
    let (request, other) = receive(&one, &two).await;
    answer_until_close(request, &format!("id: 0\ndata: a\n\n{HALF_EVENT}")).await;
    let mut next = other.next().await;
    if chunked {
        next.begin_stream(ID).await;
        next.end().await;
    } else {
        answer_until_close(next, "").await;
    }
    let (answer, _) = read_to_end(&mut caller).await;
    assert!(answer.contains("data: a") && !answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against a connection's end that is taken for the end of the stream at the second target.
#[tokio::test]
async fn a_resumed_stream_that_ends_without_an_event_or_a_length_does_not_look_complete() {
    let (one, two) = (Target::start().await, Target::start().await);
    let router = start(chat(), &[&one, &two]).await;
    let mut caller = send(&router).await;
    let (mut request, other) = receive(&one, &two).await;
    request.begin_stream(ID).await;
    request.send_chunk("id: 0\ndata: a\n\n").await;
    drop(request);
    answer_until_close(other.next().await, "").await;
    let (answer, _) = read_to_end(&mut caller).await;
    assert!(answer.contains("data: a") && !answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against a loss of whole streams: the break may come after the last event.
#[tokio::test]
async fn a_stream_that_breaks_after_its_last_event_is_complete() {
    let (one, two) = (Target::start().await, Target::start().await);
    let router = start(chat(), &[&one, &two]).await;
    let mut caller = send(&router).await;
    let (mut request, other) = receive(&one, &two).await;
    request.begin_stream(ID).await;
    request.send_chunk("id: 0\ndata: a\n\n").await;
    drop(request);
    let mut next = other.next().await;
    next.begin_stream(ID).await;
    next.end().await;
    let (answer, _) = read_to_end(&mut caller).await;
    assert!(answer.contains("data: a") && answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against an answer that a target's end cut short, where nothing on the connection tells.
#[rstest]
#[case::stream(draft(), "id: 0\ndata: a\n\n")]
#[case::no_stream(pay(), "pai")]
#[tokio::test]
async fn an_answer_without_a_length_of_a_target_that_ends_is_not_complete(
    #[case] route: Route,
    #[case] body: &str,
) {
    let target = Target::start().await;
    let router = start(route, &[&target]).await;
    let mut caller = send(&router).await;
    let request = target.next().await;
    drop(target);
    answer_until_close(request, body).await;
    let (answer, _) = read_to_end(&mut caller).await;
    let looks_whole = answer.starts_with("HTTP/1.1 200")
        && (answer.ends_with(LAST_CHUNK) || answer.contains("content-length"));
    assert!(!looks_whole, "{answer}");
}

/// Guards against a target's end that a proxy before it hides by taking connections all the same.
#[tokio::test]
async fn an_answer_without_a_length_is_not_complete_if_new_connections_are_closed_at_once() {
    let target = Target::start().await;
    let router = start(pay(), &[&target]).await;
    let mut caller = send(&router).await;
    answer_until_close(target.next().await, "pai").await;
    let closing = async { while target.close_next().await {} };
    tokio::select! {
        () = closing => {}
        (answer, _) = read_to_end(&mut caller) => {
            assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    }
}

/// Guards against an engine that ended and was started again before the router asked.
#[rstest]
#[case::the_same("target-0", true)]
#[case::another("target-9", false)]
#[tokio::test]
async fn an_answer_without_a_length_is_complete_if_its_target_answers_a_health_check(
    #[case] answered_by: &str,
    #[case] is_whole: bool,
) {
    let target = Target::start().await;
    let router = start(pay(), &[&target]).await;
    let mut caller = send(&router).await;
    answer_until_close(target.next().await, "paid").await;
    let check = target.next().await;
    assert!(check.head.starts_with("get /well"), "{}", check.head);
    let head = format!("HTTP/1.1 503 Busy\r\nx-target: {answered_by}\r\nContent-Length: 0\r\n\r\n");
    check.answer(&head).await;
    let (answer, _) = read_to_end(&mut caller).await;
    assert_eq!(answer.starts_with("HTTP/1.1 200"), is_whole, "{answer}");
}

/// Guards against a lookup that is lost although another target has the answer.
#[rstest]
#[case::of_a_target_that_ends("fou", true)]
#[case::without_a_byte("", false)]
#[tokio::test]
async fn a_lookup_with_a_broken_answer_without_a_length_goes_to_another_target(
    #[case] body: &str,
    #[case] ends: bool,
) {
    let (one, two) = (Target::start().await, Target::start().await);
    let router = start(look(), &[&one, &two]).await;
    let mut caller = send(&router).await;
    let (request, is_one) = tokio::select! {
        request = one.next() => (request, true),
        request = two.next() => (request, false),
    };
    let (first, other) = if is_one { (one, two) } else { (two, one) };
    let _alive = (!ends).then_some(first);
    answer_until_close(request, body).await;
    other.next().await.answer_whole(ID, "found").await;
    let (answer, _) = read_to_end(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("found"), "{answer}");
}

/// Guards against a loss of answers that targets made without a length.
#[tokio::test]
async fn an_answer_without_a_length_of_a_living_target_is_delivered() {
    let target = Target::start().await;
    let router = start(pay(), &[&target]).await;
    let mut caller = send(&router).await;
    answer_until_close(target.next().await, "paid").await;
    let (answer, _) = read_to_end(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("paid"), "{answer}");
}

/// Guards against a cut answer that looks whole at a router that stood still, as the target was started again meanwhile
/// and answers a health check.
#[rstest]
#[case::stream(draft(), LAST_CHUNK)]
#[case::plain(pay(), "data: a\n\n")]
#[tokio::test]
async fn an_answer_without_a_length_that_ended_while_the_router_stood_still_is_not_complete(
    #[case] route: Route,
    #[case] end_if_whole: &str,
) {
    const PAUSE: Duration = Duration::from_millis(1_500);
    let target = Target::start().await;
    let router = start(route, &[&target]).await;
    let mut caller = send(&router).await;
    let mut request = target.next().await;
    let head = format!("HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: {ID}\r\nConnection: close\r\n\r\n");
    request.stream.write_all((head + "id: 0\ndata: a\n\n").as_bytes()).await.unwrap();
    tokio::time::sleep(PAUSE / 10).await;
    let pause_ms = PAUSE.as_millis().to_string();
    let headers = [("x-id", "other"), (common::platform::SPIN_HEADER, pause_ms.as_str())];
    let other = common::send(router.front, "GET", "/nowhere/", &headers, "").await.unwrap();
    tokio::time::sleep(PAUSE / 2).await;
    drop(request);
    let answered = tokio::spawn(async move {
        loop {
            target.next_or_wait().await.answer_whole_unless_reset("health", "well").await;
        }
    });
    let (answer, _) = read_to_end(&mut caller).await;
    assert!(!answer.ends_with(end_if_whole), "{answer}");
    answered.abort();
    drop(other);
}

/// Guards against answers that have no body by their status and look broken.
#[tokio::test]
async fn an_answer_that_has_no_body_is_delivered() {
    let target = Target::start().await;
    let router = start(pay(), &[&target]).await;
    let mut caller = send(&router).await;
    let head = format!("HTTP/1.1 204 Done\r\nx-signed: 1\r\nx-id: {ID}\r\n\r\n");
    target.next().await.answer(&head).await;
    let (answer, _) = read_to_end(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 204"), "{answer}");
}

/// In HTTP/1.0 the connection's end is the answer's end, so that a broken one must be reset.
#[tokio::test]
async fn a_broken_stream_is_reset_for_a_caller_of_http_1_0() {
    let target = Target::start().await;
    let router = start(draft(), &[&target]).await;
    let mut caller = send_http_1_0(router.front).await;
    let mut request = target.next().await;
    request.begin_stream(ID).await;
    request.send_chunk(&format!("id: 0\ndata: a\n\n{HALF_EVENT}")).await;
    drop(request);
    let (answer, end) = read_to_end(&mut caller).await;
    assert_eq!(end, Err(ErrorKind::ConnectionReset), "{answer}");
}

/// Guards against a stream that a stopping router cuts and that its caller takes for whole.
#[tokio::test]
async fn a_stream_cut_by_a_stopping_router_is_reset_for_a_caller_of_http_1_0() {
    let target = Target::start().await;
    let mut router = start_with(draft(), &[&target], Duration::from_millis(1_500)).await;
    let mut caller = send_http_1_0(router.front).await;
    let mut request = target.next().await;
    request.begin_stream(ID).await;
    request.send_chunk("id: 0\ndata: a\n\n").await;
    router.stop();
    let (answer, end) = read_to_end(&mut caller).await;
    assert_eq!(end, Err(ErrorKind::ConnectionReset), "{answer}");
}

/// Guards against whole answers that look broken.
#[rstest]
#[case::stream(draft())]
#[case::no_stream(pay())]
#[tokio::test]
async fn a_whole_answer_ends_without_a_reset_for_a_caller_of_http_1_0(#[case] route: Route) {
    let target = Target::start().await;
    let router = start(route, &[&target]).await;
    let mut caller = send_http_1_0(router.front).await;
    let mut request = target.next().await;
    request.begin_stream(ID).await;
    request.send_chunk("id: 0\ndata: a\n\n").await;
    request.end().await;
    let (answer, end) = read_to_end(&mut caller).await;
    assert!(answer.ends_with("data: a\n\n"), "{answer}");
    assert_eq!(end, Ok(()));
}
