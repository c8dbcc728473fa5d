//! Streams that go on from copies of their KV caches when their engines end.

mod common;

use common::{MemoryStore, ReceivedRequest, RouterThread, Target};
use corianderstand_fleet::{
    config::{CacheSupport, Engine, Route},
    features::Switch,
    targets,
};
use rstest::rstest;
use std::{net::Ipv4Addr, time::Duration};
use tokio::net::TcpStream;

const ID: &str = "request-1";
const LAST_CHUNK: &str = "0\r\n\r\n";
const MODEL: &str = "m";
/// The answer of an engine that has no copy of the run.
const NO_COPY: &str = "HTTP/1.1 503 None\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n";
const COPY_TTL: Duration = Duration::from_secs(5);
/// A request that streams for longer isn't taken to end its engines.
const SURVIVAL_TIME: Duration = Duration::from_millis(1_200);
/// Time in which a request would have reached another target.
const QUIET_TIME: Duration = Duration::from_millis(800);

/// A stream that may not be resumed and goes to one target at most.
fn review() -> Route {
    Route { streams: true, max_targets: 1, ..common::route("/review/", "models") }
}

fn entry(target: &Target, id: &str) -> targets::Entry {
    let resident = targets::Resident { model: MODEL.into(), adapters: Vec::new() };
    let holdings = targets::Holdings { resident: vec![resident], ..Default::default() };
    targets::Entry { holdings, ..target.entry(id, "models") }
}

/// Farther away than a target of the router's zone, so that the other one is chosen to run the request.
fn far(target: &Target, id: &str) -> targets::Entry {
    targets::Entry { zone: "there".into(), ..entry(target, id) }
}

struct Deployment {
    store: MemoryStore,
    router: RouterThread,
    first: Target,
    second: Target,
}

struct Setup {
    route: Route,
    switch: Switch,
    copy_ttl: Duration,
    may_retry: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Self { route: review(), switch: Switch::On, copy_ttl: COPY_TTL, may_retry: true }
    }
}

impl Setup {
    /// Starts a router, a target that runs the request, and one on another host that can keep its copy.
    async fn start(self) -> Deployment {
        let first = Target::start_at(Ipv4Addr::new(127, 0, 0, 1)).await;
        let second = Target::start_at(Ipv4Addr::new(127, 0, 0, 2)).await;
        let store = MemoryStore::default();
        let mut config = common::config(1, vec![self.route]);
        let cache = CacheSupport {
            copies: true,
            token_bytes: 1_000,
            copy_ttl: self.copy_ttl,
            ..Default::default()
        };
        config.services[0].engine =
            Some(Engine { slots: 8, cache_tokens: 90_000, cache, ..Default::default() });
        store.put_config(config);
        store.put_target(entry(&first, "first"));
        store.put_target(far(&second, "second"));
        let mut settings = RouterThread::settings("router-a", Vec::new(), Duration::from_secs(8));
        if self.may_retry {
            settings = common::may_retry_at_once(settings);
            settings.bounds.allowance.ratio = 9.0;
        }
        settings.bounds.features.stream_copies = self.switch;
        let router = RouterThread::start_on(&store, settings);
        router.wait_ready().await;
        Deployment { store, router, first, second }
    }
}

impl Deployment {
    async fn send(&self) -> TcpStream {
        let headers = [("x-id", ID), ("x-model", MODEL)];
        common::send(self.router.front, "POST", "/review/1", &headers, "").await.unwrap()
    }

    /// Sends a request of which the first target has sent two events.
    async fn begin(&self) -> (TcpStream, ReceivedRequest) {
        let caller = self.send().await;
        let mut request = self.first.next().await;
        request.begin_stream(ID).await;
        request.send_chunk(&event(1)).await;
        request.send_chunk(&event(2)).await;
        (caller, request)
    }

    fn copy_source(&self) -> String {
        format!("{}/{ID}", self.second.addr)
    }
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// Sends the events from one on to the fourth and last.
async fn finish(mut request: ReceivedRequest, from: u64) {
    request.begin_stream(ID).await;
    for number in from..=4 {
        request.send_chunk(&event(number)).await;
    }
    request.end().await;
}

fn pieces(answer: &str) -> Vec<u64> {
    let lines = answer.lines().filter_map(|line| line.strip_prefix("data: piece "));
    lines.map(|number| number.parse().unwrap()).collect()
}

async fn gets_nothing(target: &Target) {
    let next = tokio::time::timeout(QUIET_TIME, target.next_or_wait()).await;
    assert!(next.is_err(), "it was asked: {}", next.unwrap().head);
}

async fn read(caller: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = tokio::io::AsyncReadExt::read_to_end(caller, &mut bytes);
    // A broken answer may end with a reset.
    drop(tokio::time::timeout(common::WAIT_LIMIT, read).await.expect("the answer ends"));
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against a loss of streams that may not be resumed and whose engine is killed midway.
#[tokio::test]
async fn a_stream_whose_engine_is_killed_goes_on_from_its_copy() {
    let deployment = Setup::default().start().await;
    let (mut caller, request) = deployment.begin().await;
    assert_eq!(request.header("x-copy-to"), Some(deployment.second.addr.to_string().as_str()));
    let source = deployment.copy_source();
    let Deployment { store: _store, router: _router, first, second } = deployment;
    drop((first, request));
    let next = second.next().await;
    assert_eq!(next.header("x-copy-from"), Some(source.as_str()));
    assert_eq!(next.header("x-last-event"), Some("2"));
    assert_eq!(next.header("x-id"), Some(ID));
    finish(next, 3).await;
    let answer = read(&mut caller).await;
    assert_eq!(pieces(&answer), [1, 2, 3, 4]);
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against half an event before the break, which the caller would join with the whole one.
#[tokio::test]
async fn half_an_event_at_the_break_is_not_forwarded() {
    let deployment = Setup::default().start().await;
    let (mut caller, mut request) = deployment.begin().await;
    request.send_chunk("id: 3\ndata: pie").await;
    let Deployment { store: _store, router: _router, first, second } = deployment;
    drop((first, request));
    finish(second.next().await, 3).await;
    let answer = read(&mut caller).await;
    assert_eq!(pieces(&answer), [1, 2, 3, 4]);
    assert_eq!(answer.matches("id: 3").count(), 1, "{answer}");
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against two engines that work on one run: a connection may break while its engine lives.
#[tokio::test]
async fn a_stream_does_not_go_on_while_its_engine_lives() {
    let deployment = Setup::default().start().await;
    let (mut caller, request) = deployment.begin().await;
    drop(request);
    let health = deployment.first.next().await;
    assert!(health.head.starts_with("get /well"), "{}", health.head);
    health.answer_with_head("health", "x-target: first\r\n", "well").await;
    gets_nothing(&deployment.second).await;
    assert!(!read(&mut caller).await.ends_with(LAST_CHUNK));
}

/// Guards against two engines that work on one run: it isn't known whether a silent one has ended.
#[tokio::test]
async fn a_stream_does_not_go_on_while_its_engine_may_live() {
    let deployment = Setup::default().start().await;
    let (mut caller, request) = deployment.begin().await;
    drop(request);
    // Takes connections and answers nothing.
    let mut asked = Vec::new();
    let quiet = tokio::time::timeout(QUIET_TIME, async {
        tokio::select! {
            _ = deployment.second.next_or_wait() => panic!("it went on"),
            () = async { loop { asked.push(deployment.first.next_or_wait().await); } } => {}
        }
    });
    assert!(quiet.await.is_err());
    drop(asked);
    assert!(!read(&mut caller).await.ends_with(LAST_CHUNK));
}

/// Guards against a stream that is lost, or broken off, as its engine pauses.
#[tokio::test]
async fn a_silent_stream_stays_while_its_engine_may_live() {
    let route = Route { gap_objective: Some(Duration::from_millis(60)), ..review() };
    let deployment = Setup { route, ..Default::default() }.start().await;
    let (mut caller, mut request) = deployment.begin().await;
    gets_nothing(&deployment.second).await;
    request.send_chunk(&event(3)).await;
    request.send_chunk(&event(4)).await;
    request.end().await;
    let answer = read(&mut caller).await;
    assert_eq!(pieces(&answer), [1, 2, 3, 4]);
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against a stream that waits for its deadline although its engine was started again: a host
/// that is lost closes no connection.
#[tokio::test]
async fn a_silent_stream_whose_engine_has_ended_goes_on_from_its_copy() {
    let route = Route { gap_objective: Some(Duration::from_millis(60)), ..review() };
    let deployment = Setup { route, ..Default::default() }.start().await;
    let (mut caller, request) = deployment.begin().await;
    let started_again = targets::Entry { started_at_ms: 2, ..entry(&deployment.first, "first") };
    deployment.store.put_target(started_again);
    finish(deployment.second.next().await, 3).await;
    let answer = read(&mut caller).await;
    drop(request);
    assert_eq!(pieces(&answer), [1, 2, 3, 4]);
}

/// Guards against half an answer that looks whole as the copy is missing.
#[tokio::test]
async fn a_stream_without_its_copy_breaks_off() {
    let deployment = Setup::default().start().await;
    let (mut caller, request) = deployment.begin().await;
    let Deployment { store: _store, router: _router, first, second } = deployment;
    drop((first, request));
    second.next().await.answer(NO_COPY).await;
    let answer = read(&mut caller).await;
    assert_eq!(pieces(&answer), [1, 2]);
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
    gets_nothing(&second).await;
}

/// Guards against a caller that waits for two engines that are gone.
#[tokio::test]
async fn a_stream_whose_engines_are_both_gone_breaks_off() {
    let deployment = Setup::default().start().await;
    let (mut caller, request) = deployment.begin().await;
    let Deployment { store: _store, router: _router, first, second } = deployment;
    drop((second, first, request));
    let answer = read(&mut caller).await;
    assert_eq!(pieces(&answer), [1, 2]);
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
}

/// What became of the engine that kept the copy.
#[derive(Clone, Copy)]
enum Change {
    OtherEngineAtItsAddress,
    StartedAgain,
    OtherVersion,
    Draining,
}

/// Guards against a run that is sent to an engine that can't have its copy, or that goes on at another version.
#[rstest]
#[case::other_engine_at_its_address(Change::OtherEngineAtItsAddress)]
#[case::started_again(Change::StartedAgain)]
#[case::other_version(Change::OtherVersion)]
#[case::draining(Change::Draining)]
#[tokio::test]
async fn a_stream_does_not_go_on_at_an_engine_that_changed(#[case] change: Change) {
    let deployment = Setup::default().start().await;
    let (mut caller, request) = deployment.begin().await;
    let known = far(&deployment.second, "second");
    deployment.store.put_target(match change {
        Change::OtherEngineAtItsAddress => targets::Entry { id: "other".into(), ..known },
        Change::StartedAgain => targets::Entry { started_at_ms: 2, ..known },
        Change::OtherVersion => targets::Entry { version: Some("v2".into()), renewals: 2, ..known },
        Change::Draining => targets::Entry { draining: true, renewals: 2, ..known },
    });
    tokio::time::sleep(QUIET_TIME).await;
    let Deployment { store: _store, router: _router, first, second } = deployment;
    drop((first, request));
    gets_nothing(&second).await;
    assert!(!read(&mut caller).await.ends_with(LAST_CHUNK));
}

/// Guards against a run that goes on from a copy that has expired while the router stood still.
#[tokio::test]
async fn a_stream_does_not_go_on_from_an_expired_copy() {
    const TTL: Duration = Duration::from_millis(600);
    let deployment = Setup { copy_ttl: TTL, ..Default::default() }.start().await;
    let (mut caller, request) = deployment.begin().await;
    tokio::time::sleep(TTL / 4).await;
    let pause_ms = (TTL * 2).as_millis().to_string();
    let headers = [("x-id", "other"), (common::platform::SPIN_HEADER, pause_ms.as_str())];
    let router = deployment.router.front;
    let _other = common::send(router, "GET", "/nowhere/", &headers, "").await.unwrap();
    tokio::time::sleep(TTL / 4).await;
    let Deployment { store: _store, router: _router, first, second } = deployment;
    drop((first, request));
    gets_nothing(&second).await;
    assert!(!read(&mut caller).await.ends_with(LAST_CHUNK));
}

/// Guards against retries beyond the budget: a run that goes on arrives once more.
#[tokio::test]
async fn a_stream_does_not_go_on_beyond_the_retry_budget() {
    let deployment = Setup { may_retry: false, ..Default::default() }.start().await;
    let (mut caller, request) = deployment.begin().await;
    let Deployment { store: _store, router: _router, first, second } = deployment;
    drop((first, request));
    gets_nothing(&second).await;
    assert!(!read(&mut caller).await.ends_with(LAST_CHUNK));
}

/// Guards against events that are missing, or come twice, where the copy's engine goes on elsewhere.
#[rstest]
#[case::missing(4)]
#[case::twice(2)]
#[tokio::test]
async fn a_stream_that_goes_on_at_another_event_breaks_off(#[case] from: u64) {
    let deployment = Setup::default().start().await;
    let (mut caller, request) = deployment.begin().await;
    let Deployment { store: _store, router: _router, first, second } = deployment;
    drop((first, request));
    let mut next = second.next().await;
    next.begin_stream(ID).await;
    next.send_chunk(&event(from)).await;
    next.end_unless_reset().await;
    let answer = read(&mut caller).await;
    assert_eq!(pieces(&answer), [1, 2]);
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against an answer of another request at the engine of the copy.
#[tokio::test]
async fn an_answer_of_another_run_is_not_forwarded() {
    let deployment = Setup::default().start().await;
    let (mut caller, request) = deployment.begin().await;
    let Deployment { store: _store, router: _router, first, second } = deployment;
    drop((first, request));
    let mut next = second.next().await;
    next.begin_stream("request-2").await;
    next.send_chunk(&event(3)).await;
    next.end_unless_reset().await;
    let answer = read(&mut caller).await;
    assert_eq!(pieces(&answer), [1, 2]);
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against a loss of runs whose engine ended before its answer began.
#[tokio::test]
async fn a_run_without_an_answer_goes_on_from_its_copy() {
    let deployment = Setup::default().start().await;
    let mut caller = deployment.send().await;
    let request = deployment.first.next().await;
    let source = deployment.copy_source();
    let Deployment { store: _store, router: _router, first, second } = deployment;
    drop((first, request));
    let next = second.next().await;
    assert_eq!(next.header("x-copy-from"), Some(source.as_str()));
    assert_eq!(next.header("x-last-event"), None);
    finish(next, 1).await;
    let answer = read(&mut caller).await;
    assert_eq!(pieces(&answer), [1, 2, 3, 4]);
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against a run that began and is reported as not run, as the copy's engine refuses it.
#[tokio::test]
async fn a_run_that_may_have_begun_is_not_refused_without_its_copy() {
    let deployment = Setup::default().start().await;
    let mut caller = deployment.send().await;
    let request = deployment.first.next().await;
    let Deployment { store: _store, router: _router, first, second } = deployment;
    drop((first, request));
    second.next().await.answer(NO_COPY).await;
    let answer = read(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
}

/// Guards against a mix of heads: the caller gets that of the engine that answered first.
#[tokio::test]
async fn the_answer_keeps_the_head_of_its_first_engine() {
    let deployment = Setup::default().start().await;
    let mut caller = deployment.send().await;
    let mut request = deployment.first.next().await;
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-signed: by first\r\nx-id: {ID}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    tokio::io::AsyncWriteExt::write_all(&mut request.stream, head.as_bytes()).await.unwrap();
    tokio::time::sleep(QUIET_TIME / 8).await;
    let Deployment { store: _store, router: _router, first, second } = deployment;
    drop((first, request));
    finish(second.next().await, 1).await;
    let answer = read(&mut caller).await;
    assert!(answer.contains("x-signed: by first"), "{answer}");
    assert_eq!(pieces(&answer), [1, 2, 3, 4]);
}

/// Guards against copies where nothing calls for them.
#[rstest]
#[case::switched_off(Switch::Off, review())]
#[case::no_target_states_its_pace(Switch::Auto, review())]
#[case::may_be_resumed(Switch::On, Route { resumable: true, max_targets: 2, ..review() })]
#[tokio::test]
async fn a_stream_gets_no_copy(#[case] switch: Switch, #[case] route: Route) {
    let deployment = Setup { switch, route, ..Default::default() }.start().await;
    let (_caller, request) = deployment.begin().await;
    assert_eq!(request.header("x-copy-to"), None);
}

/// Starts a deployment with a third engine, whose first one has ended after some events that took `streamed_for`.
async fn move_once(
    streamed_for: Duration,
) -> (MemoryStore, RouterThread, TcpStream, ReceivedRequest, Target, Target) {
    let deployment = Setup::default().start().await;
    let third = Target::start_at(Ipv4Addr::new(127, 0, 0, 3)).await;
    let (caller, mut request) = deployment.begin().await;
    deployment.store.put_target(entry(&third, "third"));
    tokio::time::sleep(QUIET_TIME).await;
    request.send_chunk(&event(3)).await;
    tokio::time::sleep(streamed_for).await;
    request.send_chunk(&event(4)).await;
    let Deployment { store, router, first, second } = deployment;
    drop((first, request));
    let mut next = second.next().await;
    assert_eq!(next.header("x-copy-to"), Some(third.addr.to_string().as_str()));
    next.begin_stream(ID).await;
    next.send_chunk(&event(5)).await;
    (store, router, caller, next, second, third)
}

/// Guards against a second copy that is never placed: the engine of the first may end, too.
#[tokio::test]
async fn a_stream_that_went_on_has_a_copy_again() {
    let (_store, _router, mut caller, next, second, third) = move_once(SURVIVAL_TIME).await;
    drop((second, next));
    let last = third.next().await;
    assert_eq!(last.header("x-copy-from"), Some(format!("{}/{ID}", third.addr).as_str()));
    assert_eq!(last.header("x-last-event"), Some("5"));
    finish(last, 6).await;
    let answer = read(&mut caller).await;
    assert_eq!(pieces(&answer), [1, 2, 3, 4, 5]);
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against a request that ends one engine after the other from its copies.
#[tokio::test]
async fn a_stream_goes_on_from_two_copies_at_most() {
    let (store, _router, _caller, next, second, third) = move_once(Duration::ZERO).await;
    let fourth = Target::start_at(Ipv4Addr::new(127, 0, 0, 4)).await;
    store.put_target(entry(&fourth, "fourth"));
    tokio::time::sleep(QUIET_TIME).await;
    drop((second, next));
    let last = third.next().await;
    assert_eq!(last.header("x-copy-to"), None);
}
