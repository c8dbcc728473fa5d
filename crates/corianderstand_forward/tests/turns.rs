//! Routers that ask an engine's agent for a turn, and agents that answer, wait or stand still.

mod common;

use common::{MemoryStore, RouterThread, Target};
use corianderstand_fleet::{
    config::{self, Route},
    targets,
};
use corianderstand_schema::peers::{self, PeerMessage, PrefillAnswer, PrefillAsked};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::net::UdpSocket;

const ID: &str = "request-1";
/// Far less than a caller waits for, far more than a question to an agent takes.
const SOON: Duration = Duration::from_millis(500);

struct Stage {
    router: RouterThread,
    engine: Target,
    agent: UdpSocket,
}

/// A router, an engine that holds the model `m`, and the socket of its agent, which was just heard.
async fn stage() -> Stage {
    let store = MemoryStore::default();
    let engine = Target::start().await;
    let streams = Route { streams: true, resumable: true, ..common::route("/ask/", "models") };
    let mut config = common::config(1, vec![streams]);
    let model = config::Model { name: "m".into(), ..Default::default() };
    let spec = config::Engine { slots: 8, models: vec![model], ..Default::default() };
    config.services =
        vec![config::Service { name: "models".into(), engine: Some(spec), ..Default::default() }];
    store.config(config);
    let resident = targets::Resident { model: "m".into(), adapters: Vec::new() };
    let holdings = targets::Holdings { resident: vec![resident], ..Default::default() };
    store.target(targets::Entry { holdings, ..engine.entry("engine", "models") });
    let agent = UdpSocket::bind(common::free_port()).await.unwrap();
    let mut settings = RouterThread::settings("router-a", Vec::new(), Duration::from_secs(8));
    settings.agent_port = agent.local_addr().unwrap().port();
    let router = RouterThread::start_on(&store, settings);
    router.wait_ready().await;
    let news = peers::EngineNews {
        target: "engine".into(),
        born: 0,
        orders: 1,
        resident: vec![peers::ResidentModel { model: "m".into(), adapters: Vec::new() }],
        copies: Vec::new(),
        ongoing: Vec::new(),
        running: 0,
        waiting: 0,
        cache_used: 0,
    };
    let news = postcard::to_stdvec(&PeerMessage::EngineNews(news)).unwrap();
    agent.send_to(&news, router.peers).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    Stage { router, engine, agent }
}

impl Stage {
    async fn ask(&self) -> tokio::net::TcpStream {
        let headers = [("x-id", ID), ("x-model", "m"), ("x-prompt", "1000")];
        common::send(self.router.front, "POST", "/ask/1", &headers, "").await.unwrap()
    }

    /// The next question of the router.
    async fn question(&self) -> (SocketAddr, PrefillAsked) {
        let mut buf = vec![0; 65_536];
        loop {
            let heard = tokio::time::timeout(common::WAIT_LIMIT, self.agent.recv_from(&mut buf));
            let (len, from) = heard.await.expect("the router asks").unwrap();
            if let PeerMessage::PrefillAsked(asked) = postcard::from_bytes(&buf[..len]).unwrap() {
                return (from, asked);
            }
        }
    }

    async fn answer(&self, to: SocketAddr, id: u64, given: bool, wait_ms: u32) {
        let answer = PrefillAnswer { id, given, wait_ms, reading_us: 0 };
        let answer = postcard::to_stdvec(&PeerMessage::PrefillAnswer(answer)).unwrap();
        self.agent.send_to(&answer, to).await.unwrap();
    }
}

/// An agent is frozen while its engine is well. A router that waited for its word would hold every
/// request for the engine's models until its caller leaves.
#[tokio::test]
async fn a_request_is_not_held_for_an_agent_that_is_silent() {
    let stage = stage().await;
    let asked = Instant::now();
    let _caller = stage.ask().await;
    stage.engine.next().await.answer_whole(ID, "x").await;
    assert!(asked.elapsed() < SOON, "{:?}", asked.elapsed());
}

/// The engine reads others' prompts. The request goes there when its agent says so, and not before:
/// sent at once it would make the streams of others pause.
#[tokio::test]
async fn a_request_waits_for_its_turn() {
    let stage = stage().await;
    let _caller = stage.ask().await;
    let (router, asked) = stage.question().await;
    stage.answer(router, asked.id, false, 20).await;
    let early = tokio::time::timeout(Duration::from_millis(60), stage.engine.next()).await;
    assert!(early.is_err(), "sent before its turn");
    stage.answer(router, asked.id, true, 0).await;
    stage.engine.next().await.answer_whole(ID, "x").await;
}

/// The datagram with the turn is lost. The router asks again, under the same id, so that the agent
/// does not count its prompt twice.
#[tokio::test]
async fn a_turn_that_was_lost_is_asked_for_again() {
    let stage = stage().await;
    let _caller = stage.ask().await;
    let (router, first) = stage.question().await;
    stage.answer(router, first.id, false, 20).await;
    let (router, again) = stage.question().await;
    assert_eq!(again.id, first.id);
    stage.answer(router, again.id, true, 0).await;
    stage.engine.next().await.answer_whole(ID, "x").await;
}

/// So many prompts stand before this one that its caller will have left. Held until then, the caller
/// loses the time in which it could ask again.
#[tokio::test]
async fn a_caller_whose_turn_comes_too_late_is_told_at_once() {
    let stage = stage().await;
    let began = Instant::now();
    let mut caller = stage.ask().await;
    let (router, asked) = stage.question().await;
    stage.answer(router, asked.id, false, 60_000).await;
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.to_lowercase().contains("retry-after: "), "{answer}");
    assert!(began.elapsed() < SOON, "{:?}", began.elapsed());
}
