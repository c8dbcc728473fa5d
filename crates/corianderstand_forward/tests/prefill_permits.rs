//! Prefill permits: routers request them, and agents grant, delay or don't respond.

mod common;

use common::{MemoryStore, RouterThread, Target};
use corianderstand_fleet::{
    config::{self, Route},
    features, targets,
};
use corianderstand_schema::peers::{self, PeerMessage, PrefillRequest, PrefillResponse};
use std::{
    cell::Cell,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::net::UdpSocket;

const ID: &str = "request-1";
/// Much less than a caller's timeout, much more than a permit request takes.
const MAX_PROMPT_DELAY: Duration = Duration::from_millis(500);

/// Short, so that a removal is heard while a permit is awaited.
const DRAIN_WITHIN: Duration = Duration::from_millis(50);

struct Setup {
    store: MemoryStore,
    router: RouterThread,
    engine: Target,
    agent: UdpSocket,
}

fn entry(engine: &Target, name: &str) -> targets::Entry {
    let resident = targets::Resident { model: "m".into(), adapters: Vec::new() };
    let holdings = targets::Holdings { resident: vec![resident], ..Default::default() };
    targets::Entry { holdings, ..engine.entry(name, "models") }
}

async fn setup() -> Setup {
    setup_with(features::Switch::Auto, Some(Duration::from_millis(60))).await
}

async fn setup_with(pace: features::Switch, gap_objective: Option<Duration>) -> Setup {
    let store = MemoryStore::default();
    let engine = Target::start().await;
    let streams =
        Route { streams: true, resumable: true, gap_objective, ..common::route("/ask/", "models") };
    let mut config = common::config(1, vec![streams]);
    let model = config::Model { name: "m".into(), ..Default::default() };
    let spec = config::Engine { slots: 8, models: vec![model], ..Default::default() };
    config.services =
        vec![config::Service { name: "models".into(), engine: Some(spec), ..Default::default() }];
    store.put_config(config);
    store.put_target(entry(&engine, "engine"));
    let agent = UdpSocket::bind(common::free_port()).await.unwrap();
    let mut settings = RouterThread::settings("router-a", Vec::new(), Duration::from_secs(8));
    settings.agent_port = agent.local_addr().unwrap().port();
    settings.bounds.drain_within = DRAIN_WITHIN;
    settings.bounds.features.pace = pace;
    let router = RouterThread::start_on(&store, common::may_retry_at_once(settings));
    router.wait_ready().await;
    let setup = Setup { store, router, engine, agent };
    setup.report("engine").await;
    setup
}

impl Setup {
    /// Has the agent tell the router of an engine.
    async fn report(&self, name: &str) {
        let update = peers::EngineUpdate {
            target: name.into(),
            born: 0,
            orders: 1,
            resident: vec![peers::ResidentModel { model: "m".into(), adapters: Vec::new() }],
            copies: Vec::new(),
            ongoing: Vec::new(),
            running: 0,
            waiting: 0,
            cache_used: 0,
            plan_serial: 0,
        };
        let update = postcard::to_stdvec(&PeerMessage::EngineNews(update)).unwrap();
        self.agent.send_to(&update, self.router.peers).await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    async fn send_request(&self) -> tokio::net::TcpStream {
        let headers = [("x-id", ID), ("x-model", "m"), ("x-prompt", "1000")];
        common::send(self.router.front, "POST", "/ask/1", &headers, "").await.unwrap()
    }

    async fn next_request(&self) -> (SocketAddr, PrefillRequest) {
        let mut buf = vec![0; 65_536];
        loop {
            let received = tokio::time::timeout(common::WAIT_LIMIT, self.agent.recv_from(&mut buf));
            let (len, from) = received.await.expect("the router requests a permit").unwrap();
            if let PeerMessage::PrefillAsked(request) = postcard::from_bytes(&buf[..len]).unwrap() {
                return (from, request);
            }
        }
    }

    async fn send_response(&self, to: SocketAddr, id: u64, granted: bool, wait_ms: u32) {
        let response = PrefillResponse { id, given: granted, wait_ms, reading_us: 0 };
        let response = postcard::to_stdvec(&PeerMessage::PrefillAnswer(response)).unwrap();
        self.agent.send_to(&response, to).await.unwrap();
    }
}

/// Waiting for an unresponsive agent would block every request for its engine's models.
#[tokio::test]
async fn an_unresponsive_agent_does_not_delay_a_request() {
    let setup = setup().await;
    let started_at = Instant::now();
    let _caller = setup.send_request().await;
    setup.engine.next().await.answer_whole(ID, "x").await;
    assert!(started_at.elapsed() < MAX_PROMPT_DELAY, "{:?}", started_at.elapsed());
}

/// A request sent before its permit would pause other streams of the engine.
#[tokio::test]
async fn a_request_waits_for_its_permit() {
    let setup = setup().await;
    let _caller = setup.send_request().await;
    let (router, request) = setup.next_request().await;
    setup.send_response(router, request.id, false, 20).await;
    let sent = tokio::time::timeout(Duration::from_millis(60), setup.engine.next()).await;
    assert!(sent.is_err(), "sent before its permit");
    setup.send_response(router, request.id, true, 0).await;
    setup.engine.next().await.answer_whole(ID, "x").await;
}

/// Guards against a request that is sent to a target that left between its choice and its permit.
#[tokio::test]
async fn a_target_that_leaves_while_a_permit_is_awaited_gets_no_request() {
    let setup = setup().await;
    let _caller = setup.send_request().await;
    let (router, request) = setup.next_request().await;
    setup.send_response(router, request.id, false, 20).await;
    let draining = targets::Entry { draining: true, renewals: 2, ..entry(&setup.engine, "engine") };
    setup.store.put_target(draining);
    tokio::time::sleep(DRAIN_WITHIN * 2).await;
    setup.send_response(router, request.id, true, 0).await;
    let sent = tokio::time::timeout(MAX_PROMPT_DELAY, setup.engine.next()).await;
    assert!(sent.is_err(), "sent to a target that has left");
}

/// A resent request keeps its id, so that the agent does not count the prompt twice.
#[tokio::test]
async fn a_lost_permit_is_requested_again() {
    let setup = setup().await;
    let _caller = setup.send_request().await;
    let (router, first) = setup.next_request().await;
    setup.send_response(router, first.id, false, 20).await;
    let (router, second) = setup.next_request().await;
    assert_eq!(second.id, first.id);
    setup.send_response(router, second.id, true, 0).await;
    setup.engine.next().await.answer_whole(ID, "x").await;
}

/// Holding the request would cost its caller the time for a retry.
#[tokio::test]
async fn a_caller_whose_permit_would_be_late_is_rejected_at_once() {
    let setup = setup().await;
    let started_at = Instant::now();
    let mut caller = setup.send_request().await;
    let (router, request) = setup.next_request().await;
    setup.send_response(router, request.id, false, 60_000).await;
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.to_lowercase().contains("retry-after: "), "{answer}");
    assert!(started_at.elapsed() < MAX_PROMPT_DELAY, "{:?}", started_at.elapsed());
}

/// Guards against a stream that is cut because no other engine takes it while its own is only slow.
#[tokio::test]
async fn a_silent_engine_is_kept_until_another_takes_the_stream() {
    let setup = setup().await;
    let mut caller = setup.send_request().await;
    let (router, first) = setup.next_request().await;
    setup.send_response(router, first.id, true, 0).await;
    let mut run = setup.engine.next().await;
    run.begin_stream(ID).await;
    run.send_chunk("id: 1\ndata: a\n\n").await;
    let other = Target::start().await;
    setup.store.put_target(entry(&other, "other"));
    tokio::time::sleep(Duration::from_millis(100)).await;
    setup.report("other").await;

    let refusals = Cell::new(0);
    let refuse_all = async {
        loop {
            let (router, request) = setup.next_request().await;
            if request.id != first.id {
                refusals.set(refusals.get() + 1);
                setup.send_response(router, request.id, false, 60_000).await;
            }
        }
    };
    let stream = async {
        while refusals.get() == 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        run.send_chunk("id: 2\ndata: b\n\n").await;
        run.end().await;
        common::read_all(&mut caller).await.unwrap()
    };
    let answer = tokio::select! {
        answer = tokio::time::timeout(common::WAIT_LIMIT, stream) => answer,
        () = refuse_all => unreachable!("it refuses until the stream ends"),
    };
    let answer = answer.expect("the stream ends");
    assert!(answer.contains("data: b") && answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// Guards against permits that follow the pace of engines that state none, or of routes without a longest pause.
#[rstest::rstest]
#[case::no_pace_is_stated(features::Switch::Auto, Some(Duration::from_millis(60)), false)]
#[case::no_pause_is_too_long(features::Switch::On, None, false)]
#[case::both_decide(features::Switch::On, Some(Duration::from_millis(60)), true)]
#[tokio::test]
async fn the_time_of_an_event_is_stated_where_paces_and_pauses_decide(
    #[case] pace: features::Switch,
    #[case] gap_objective: Option<Duration>,
    #[case] is_stated: bool,
) {
    let setup = setup_with(pace, gap_objective).await;
    let _caller = setup.send_request().await;
    let (_, request) = setup.next_request().await;
    assert_eq!(request.event_us > 0, is_stated, "{request:?}");
}
