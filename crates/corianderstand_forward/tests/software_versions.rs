//! Streams that go on at the software version that began them.

mod common;

use common::{MemoryStore, ReceivedRequest, RouterThread, Target};
use corianderstand_fleet::{config::Route, targets};
use rstest::rstest;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

const LAST_CHUNK: &str = "0\r\n\r\n";
/// Time in which a request would have reached another target.
/// Time after which a router knows the others.
const STARTING_TIME: Duration = Duration::from_millis(1_100);
const QUIET_TIME: Duration = Duration::from_millis(400);

fn route() -> Route {
    Route { streams: true, resumable: true, max_targets: 3, ..common::route("/chat/", "models") }
}

fn entry(target: &Target, id: &str, version: &str) -> targets::Entry {
    targets::Entry { version: Some(version.into()), ..target.entry(id, "models") }
}

/// Farther away than a target of the router's zone, so that the other is chosen where both may be.
fn far(target: &Target, id: &str, version: &str) -> targets::Entry {
    targets::Entry { zone: "there".into(), ..entry(target, id, version) }
}

fn store() -> MemoryStore {
    let store = MemoryStore::default();
    store.put_config(common::config(1, vec![route()]));
    store
}

async fn send(router: &RouterThread, id: &str, resumes: Option<(&str, &str)>) -> TcpStream {
    let mut headers = vec![("x-id", id)];
    if let Some((request, last_event)) = resumes {
        headers.extend([("x-resumes", request), ("x-last-event", last_event)]);
    }
    common::send(router.front, "POST", "/chat/1", &headers, "").await.unwrap()
}

async fn begin_with_event(request: &mut ReceivedRequest, id: &str, event: u64) {
    request.begin_stream(id).await;
    request.send_chunk(&format!("id: {event}\ndata: x\n\n")).await;
}

/// Starts a router whose only target has sent the first event of stream `a`.
async fn begin_stream(
    entry: targets::Entry,
    target: &Target,
) -> (MemoryStore, RouterThread, TcpStream, ReceivedRequest) {
    let store = store();
    store.put_target(entry);
    let router = RouterThread::start_first(&store);
    router.wait_ready().await;
    let caller = send(&router, "a", None).await;
    let mut request = target.next().await;
    begin_with_event(&mut request, "a", 0).await;
    (store, router, caller, request)
}

/// Reads until an event has arrived.
async fn read_event(caller: &mut TcpStream) {
    let mut text = String::new();
    let mut buf = [0; 1_024];
    while !text.contains("data: ") {
        let read = tokio::io::AsyncReadExt::read(caller, &mut buf);
        let len = tokio::time::timeout(common::WAIT_LIMIT, read).await.unwrap().unwrap();
        assert!(len > 0, "{text}");
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
    }
}

/// Waits until a router knows this many targets.
async fn wait_for_targets(router: &RouterThread, count: usize) {
    let line = format!("\ntargets {count}\n");
    let known = async {
        while !common::get(router.metrics, "/metrics", &[]).await.unwrap().contains(&line) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, known).await.expect("the targets become known");
}

async fn wait_for_peer(router: &RouterThread) {
    let knows_peer = async {
        while !common::get(router.metrics, "/metrics", &[]).await.unwrap().contains("\npeers 1\n") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, knows_peer).await.expect("the routers meet");
}

async fn gets_nothing(target: &Target) {
    assert!(tokio::time::timeout(QUIET_TIME, target.next_or_wait()).await.is_err());
}

/// Guards against one answer that holds events of two versions.
#[tokio::test]
async fn a_broken_stream_goes_on_at_a_target_of_its_version() {
    let (first, other, same) =
        (Target::start().await, Target::start().await, Target::start().await);
    let (store, router, mut caller, request) =
        begin_stream(entry(&first, "first", "v1"), &first).await;
    store.put_target(entry(&other, "other", "v2"));
    store.put_target(far(&same, "same", "v1"));
    wait_for_targets(&router, 3).await;
    drop(request);
    let mut next = tokio::select! {
        request = same.next() => request,
        _ = other.next() => panic!("it went on at another version"),
    };
    assert_eq!(next.header("x-last-event"), Some("0"));
    begin_with_event(&mut next, "a", 1).await;
    next.end().await;
    assert!(common::read_all(&mut caller).await.unwrap().ends_with(LAST_CHUNK));
}

/// Guards against a stream that goes on at another version as none of its own is left.
#[tokio::test]
async fn a_broken_stream_ends_if_no_target_of_its_version_is_left() {
    let (first, other) = (Target::start().await, Target::start().await);
    let (store, router, mut caller, request) =
        begin_stream(entry(&first, "first", "v1"), &first).await;
    store.put_target(entry(&other, "other", "v2"));
    wait_for_targets(&router, 2).await;
    drop(request);
    gets_nothing(&other).await;
    let answer = common::read_all(&mut caller).await.unwrap_or_default();
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against requests that are lost although nothing binds them to a version yet.
#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_may_go_to_any_version() {
    let (first, other) = (Target::start().await, Target::start().await);
    let store = store();
    store.put_target(entry(&first, "first", "v1"));
    let router = RouterThread::start_first(&store);
    router.wait_ready().await;
    let mut caller = send(&router, "a", None).await;
    let mut request = first.next().await;
    request.begin_stream("a").await;
    request.send_chunk("id: 0\nda").await;
    store.put_target(entry(&other, "other", "v2"));
    wait_for_targets(&router, 2).await;
    drop(request);
    let mut next = other.next().await;
    begin_with_event(&mut next, "a", 0).await;
    next.end().await;
    assert!(common::read_all(&mut caller).await.unwrap().ends_with(LAST_CHUNK));
}

/// Guards against a caller's new try, and that after it, at another version.
#[tokio::test]
async fn a_callers_new_tries_go_on_at_the_version_of_the_first() {
    let (first, other, same) =
        (Target::start().await, Target::start().await, Target::start().await);
    let (store, router, mut caller, request) =
        begin_stream(entry(&first, "first", "v1"), &first).await;
    read_event(&mut caller).await;
    drop((caller, request));
    store.remove_target("first");
    store.put_target(entry(&other, "other", "v2"));
    store.put_target(far(&same, "same", "v1"));
    wait_for_targets(&router, 2).await;
    for (id, last_event, event) in [("b", "0", 1), ("c", "1", 2)] {
        let mut caller = send(&router, id, Some(("a", last_event))).await;
        let mut request = tokio::select! {
            request = same.next() => request,
            _ = other.next() => panic!("{id} went on at another version"),
        };
        assert_eq!(request.header("x-last-event"), Some(last_event));
        begin_with_event(&mut request, id, event).await;
        read_event(&mut caller).await;
    }
}

/// Guards against a version that nobody knows any more, as the router where the stream began is gone.
#[tokio::test]
async fn a_stream_of_a_router_that_ended_goes_on_at_its_version() {
    let (first, other, same) =
        (Target::start().await, Target::start().await, Target::start().await);
    let store = store();
    store.put_target(entry(&first, "first", "v1"));
    let within = Duration::from_millis(300);
    let mut router = RouterThread::start_with(&store, "router-a", Vec::new(), within);
    let settings = RouterThread::settings("router-b", vec![router.peers], Duration::from_secs(8));
    let next_router = RouterThread::start_on(&store, settings);
    router.wait_ready().await;
    next_router.wait_ready().await;
    wait_for_peer(&router).await;
    let mut caller = send(&router, "a", None).await;
    let mut request = first.next().await;
    begin_with_event(&mut request, "a", 0).await;
    read_event(&mut caller).await;
    router.stop();
    while !router.has_ended() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    drop((caller, request));
    store.remove_target("first");
    store.put_target(entry(&other, "other", "v2"));
    store.put_target(far(&same, "same", "v1"));
    wait_for_targets(&next_router, 2).await;
    let _caller = send(&next_router, "b", Some(("a", "0"))).await;
    tokio::select! {
        request = same.next() => assert_eq!(request.header("x-last-event"), Some("0")),
        _ = other.next() => panic!("it went on at another version"),
    }
}

/// Guards against a guess where two versions serve, and against callers that are held in vain.
#[rstest]
#[case::of_an_unknown_request(Some("nobody"))]
#[case::of_an_unnamed_request(None)]
#[tokio::test]
async fn a_stream_of_unknown_version_is_refused_at_once(#[case] resumes: Option<&str>) {
    let (one, two) = (Target::start().await, Target::start().await);
    let store = store();
    store.put_target(entry(&one, "one", "v1"));
    store.put_target(entry(&two, "two", "v2"));
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    wait_for_targets(&router, 2).await;
    // A router that has just started may still learn of the stream.
    tokio::time::sleep(STARTING_TIME).await;
    let started_at = Instant::now();
    let mut headers = vec![("x-id", "b"), ("x-last-event", "3")];
    headers.extend(resumes.map(|request| ("x-resumes", request)));
    let mut caller = common::send(router.front, "POST", "/chat/1", &headers, "").await.unwrap();
    let answer = tokio::select! {
        answer = common::read_all(&mut caller) => answer.unwrap(),
        _ = one.next() => panic!("it was sent"),
        _ = two.next() => panic!("it was sent"),
    };
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after"), "{answer}");
    assert!(started_at.elapsed() < Duration::from_millis(500), "{:?}", started_at.elapsed());
}

/// How the first target for a caller's new try ends it.
#[derive(Clone, Copy, Debug)]
enum FirstTarget {
    DidNotRunIt,
    BrokeOff,
}

/// Guards against a second target of another version after the first one refused the stream or was lost.
#[rstest]
#[case::not_run(FirstTarget::DidNotRunIt)]
#[case::broken_off(FirstTarget::BrokeOff)]
#[tokio::test]
async fn the_second_target_of_a_new_try_has_the_version_too(#[case] end: FirstTarget) {
    let (first, other) = (Target::start().await, Target::start().await);
    let (store, router, mut caller, request) =
        begin_stream(far(&first, "first", "v1"), &first).await;
    read_event(&mut caller).await;
    drop((caller, request));
    store.put_target(entry(&other, "other", "v2"));
    wait_for_targets(&router, 2).await;
    let mut caller = send(&router, "b", Some(("a", "0"))).await;
    let request = tokio::select! {
        request = first.next() => request,
        _ = other.next() => panic!("it went on at another version"),
    };
    match end {
        FirstTarget::DidNotRunIt => {
            let full = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-id: b\r\nContent-Length: 0\r\n\r\n";
            request.answer(full).await;
        }
        FirstTarget::BrokeOff => drop(request),
    }
    tokio::select! {
        () = gets_nothing(&other) => {}
        answer = common::read_all(&mut caller) => {
            assert!(answer.unwrap().starts_with("HTTP/1.1 50"));
        }
    }
}

/// Guards against an engine that is started again at another version under its name.
#[rstest]
#[case::with_another_start_time(2)]
#[case::without_one(1)]
#[tokio::test]
async fn a_target_that_changed_its_version_in_place_is_another(#[case] started_at_ms: u64) {
    let first = Target::start().await;
    let (store, router, mut caller, request) =
        begin_stream(entry(&first, "first", "v1"), &first).await;
    read_event(&mut caller).await;
    drop((caller, request));
    let again = entry(&first, "first", "v2");
    store.put_target(targets::Entry { started_at_ms, renewals: 2, ..again });
    let other = Target::start().await;
    store.put_target(far(&other, "other", "v2"));
    wait_for_targets(&router, 2).await;
    let mut caller = send(&router, "b", Some(("a", "0"))).await;
    let answer = tokio::select! {
        answer = common::read_all(&mut caller) => answer.unwrap(),
        _ = first.next() => panic!("it went on at another version"),
        _ = other.next() => panic!("it went on at another version"),
    };
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// Guards against refusals where nothing tells which stream is taken up, and only one version ever served.
#[rstest]
#[case::at_a_router_that_knows(true)]
#[case::at_a_router_that_asks_another(false)]
#[tokio::test]
async fn an_unnamed_stream_goes_on_where_only_one_version_has_served(#[case] knows: bool) {
    let target = Target::start().await;
    let store = store();
    store.put_target(entry(&target, "one", "v1"));
    let settings = |name, seeds, is_first_start| corianderstand_forward::router::Settings {
        is_first_start,
        ..RouterThread::settings(name, seeds, Duration::from_secs(8))
    };
    let first = RouterThread::start_on(&store, settings("router-a", Vec::new(), true));
    let next = RouterThread::start_on(&store, settings("router-b", vec![first.peers], false));
    first.wait_ready().await;
    next.wait_ready().await;
    wait_for_peer(&first).await;
    wait_for_peer(&next).await;
    let router = if knows { &first } else { &next };
    let headers = [("x-id", "b"), ("x-last-event", "3")];
    // The control loop notices within a turn that the targets are known.
    let request = loop {
        let mut caller = common::send(router.front, "POST", "/chat/1", &headers, "").await.unwrap();
        tokio::select! {
            request = target.next() => break request,
            answer = common::read_all(&mut caller) => {
                assert!(answer.unwrap().starts_with("HTTP/1.1 503"));
            }
        }
    };
    assert_eq!(request.header("x-last-event"), Some("3"));
}

/// Guards against taking the only version that is known for that of a target which has not told its own.
#[tokio::test]
async fn a_stream_of_a_target_that_has_not_told_its_version_does_not_go_on_at_the_only_other() {
    let (untold, other) = (Target::start().await, Target::start().await);
    let store = store();
    store.put_target(targets::Entry { version: None, ..entry(&untold, "untold", "") });
    let settings = corianderstand_forward::router::Settings {
        is_first_start: true,
        ..RouterThread::settings("router-a", Vec::new(), Duration::from_secs(8))
    };
    let router = RouterThread::start_on(&store, settings);
    router.wait_ready().await;
    let mut caller = send(&router, "a", None).await;
    let mut request = untold.next().await;
    begin_with_event(&mut request, "a", 0).await;
    read_event(&mut caller).await;
    drop((caller, request));
    store.remove_target("untold");
    store.put_target(entry(&other, "other", "v1"));
    wait_for_targets(&router, 1).await;
    tokio::time::sleep(STARTING_TIME).await;
    let mut caller = send(&router, "b", Some(("a", "0"))).await;
    let answer = tokio::select! {
        answer = common::read_all(&mut caller) => answer.unwrap(),
        _ = other.next() => panic!("it went on at another version"),
    };
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// A router that has sent the first event of stream `a` of version `v1`, and all of whose routers are then killed.
async fn kill_all(before: &[(&Target, &str)]) -> MemoryStore {
    let store = store();
    store.keep_routers();
    for (target, version) in before {
        store.put_target(entry(target, version, version));
    }
    let within = Duration::from_millis(100);
    let settings = RouterThread::settings("router-a", Vec::new(), within);
    let mut router = RouterThread::start_on(&store, common::may_retry_at_once(settings));
    router.wait_ready().await;
    wait_for_targets(&router, before.len()).await;
    let stated = async {
        while !before.iter().all(|(_, version)| store.states_version("models", version)) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, stated).await.expect("the versions are stated");
    let mut caller = send(&router, "a", None).await;
    let mut request = before[0].0.next().await;
    begin_with_event(&mut request, "a", 0).await;
    read_event(&mut caller).await;
    // What is killed withdraws nothing.
    store.forget_withdrawals();
    router.stop();
    while !router.has_ended() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    store
}

async fn take_up(router: &RouterThread, resumes: Option<&str>) -> TcpStream {
    let mut headers = vec![("x-id", "b"), ("x-last-event", "0")];
    headers.extend(resumes.map(|request| ("x-resumes", request)));
    common::send(router.front, "POST", "/chat/1", &headers, "").await.unwrap()
}

/// Guards against text that is joined from two versions, as the targets of the first one have just left when all routers
/// start again.
#[rstest]
#[tokio::test]
async fn after_a_kill_of_all_no_stream_goes_on_at_a_version_that_came_later(
    #[values(Some("a"), None)] resumes: Option<&str>,
) {
    let (old, new) = (Target::start().await, Target::start().await);
    let store = kill_all(&[(&old, "v1")]).await;
    store.remove_target("v1");
    store.put_target(entry(&new, "v2", "v2"));
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    wait_for_targets(&router, 1).await;
    let mut caller = take_up(&router, resumes).await;
    let answer = tokio::select! {
        answer = common::read_all(&mut caller) => answer.unwrap(),
        _ = new.next_or_wait() => panic!("it went on at another version"),
    };
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after"), "{answer}");
}

/// Guards against refusing all streams that come back after all routers were killed, although only one version served.
#[rstest]
#[tokio::test]
async fn after_a_kill_of_all_streams_go_on_at_the_only_version_that_served(
    #[values(Some("a"), None)] resumes: Option<&str>,
) {
    let target = Target::start().await;
    let store = kill_all(&[(&target, "v1")]).await;
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    let _caller = take_up(&router, resumes).await;
    assert_eq!(target.next().await.header("x-last-event"), Some("0"));
}

/// Guards against a guess of a router that has just started and finds nothing stated: it may have missed a version.
#[rstest]
#[tokio::test]
async fn a_stream_that_nobody_remembers_is_refused_by_a_router_that_has_just_started(
    #[values(Some("a"), None)] resumes: Option<&str>,
) {
    let target = Target::start().await;
    let store = store();
    store.put_target(entry(&target, "one", "v1"));
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    let mut caller = take_up(&router, resumes).await;
    let answer = tokio::select! {
        answer = common::read_all(&mut caller) => answer.unwrap(),
        _ = target.next() => panic!("it was sent"),
    };
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}
