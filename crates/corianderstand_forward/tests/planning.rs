//! Election of the planning router, and takeover when it stops.

mod common;

use common::{MemoryStore, RouterThread, Target};
use corianderstand_fleet::config::{Engine, Model, Service};
use corianderstand_schema::peers::{EnginePlan, EngineUpdate, PeerMessage};
use std::time::Duration;
use tokio::{net::UdpSocket, time::Instant};

const CONFIG_WITHIN: Duration = Duration::from_secs(2);
/// Takeover starts after 1.1 s without a message; the rest allows for a busy machine.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(6);

fn service() -> Service {
    let model = Model {
        name: "m".into(),
        weights_mb: 70,
        load_from_store: Duration::from_millis(500),
        load_from_disk: Duration::from_millis(500),
        load_from_memory: Duration::from_millis(500),
        ..Default::default()
    };
    let models = vec![model];
    let engine = Engine { slots: 8, weights_mb: 100, models, ..Default::default() };
    Service { name: "models".into(), engine: Some(engine), ..Default::default() }
}

const REPORT_INTERVAL: Duration = Duration::from_millis(200);

async fn plan(agent: &UdpSocket) -> EnginePlan {
    let mut buf = vec![0; 65_536];
    loop {
        let received = tokio::time::timeout(common::WAIT_LIMIT, agent.recv_from(&mut buf));
        let (len, _) = received.await.expect("a plan is received").unwrap();
        if let PeerMessage::EnginePlan(plan) = postcard::from_bytes(&buf[..len]).unwrap() {
            return plan;
        }
    }
}

async fn wait_for_planner(agent: &UdpSocket, name: &str) -> EnginePlan {
    let started_at = Instant::now();
    let mut sole_planner_since = started_at;
    loop {
        let plan = plan(agent).await;
        if plan.planner.as_str() != name {
            sole_planner_since = Instant::now();
        } else if sole_planner_since.elapsed() > Duration::from_secs(1) {
            return plan;
        }
        assert!(started_at.elapsed() < TAKEOVER_LIMIT, "{} still plans", plan.planner);
    }
}

/// Without a takeover, requested models would not be loaded once the planner has stopped.
#[tokio::test]
async fn another_router_takes_over_when_the_planner_stops() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    let mut config = common::config(1, vec![common::route("/ask/", "models")]);
    config.services = vec![service()];
    store.put_config(config);
    store.put_target(target.entry("engine", "models"));
    let agent = UdpSocket::bind(common::free_port()).await.unwrap();
    let agent_port = agent.local_addr().unwrap().port();
    let mut settings = RouterThread::settings("router-a", Vec::new(), CONFIG_WITHIN);
    settings.agent_port = agent_port;
    let mut first = RouterThread::start_on(&store, settings);
    let mut settings = RouterThread::settings("router-b", vec![first.peers], CONFIG_WITHIN);
    settings.agent_port = agent_port;
    let _second = RouterThread::start_on(&store, settings);
    let before = wait_for_planner(&agent, "router-a").await;
    assert!(before.parts.is_empty(), "nothing is known of the engine's agent yet");
    first.stop();
    let after = wait_for_planner(&agent, "router-b").await;
    assert_eq!(after.target, before.target);
}

/// Guards against an agent without a plan for good: the planner renews a plan that a restarted agent has lost.
#[tokio::test]
async fn an_agent_that_restarts_is_sent_its_plan_again() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    let mut config = common::config(1, vec![common::route("/ask/", "models")]);
    config.services = vec![service()];
    store.put_config(config);
    store.put_target(target.entry("engine", "models"));
    let agent = UdpSocket::bind(common::free_port()).await.unwrap();
    let mut settings = RouterThread::settings("router-a", Vec::new(), CONFIG_WITHIN);
    settings.agent_port = agent.local_addr().unwrap().port();
    let router = RouterThread::start_on(&store, settings);
    let mut serial = plan(&agent).await.serial;
    let mut buf = vec![0; 65_536];
    let renewed = async {
        loop {
            let report = PeerMessage::EngineNews(report(serial));
            agent.send_to(&postcard::to_stdvec(&report).unwrap(), router.peers).await.unwrap();
            let received = agent.recv_from(&mut buf);
            let Ok(received) = tokio::time::timeout(REPORT_INTERVAL, received).await else {
                continue;
            };
            let (len, _) = received.unwrap();
            match postcard::from_bytes(&buf[..len]).unwrap() {
                PeerMessage::EnginePlan(plan) => serial = plan.serial,
                PeerMessage::PlanRenewed(renewal) => return renewal.serial,
                _ => {}
            }
        }
    };
    let renewed = tokio::time::timeout(common::WAIT_LIMIT, renewed).await;
    let renewed = renewed.expect("a confirmed plan is renewed");
    // The agent restarts: it sends nothing until it has a plan.
    assert_eq!(plan(&agent).await.serial, renewed);
}

fn report(plan_serial: u64) -> EngineUpdate {
    EngineUpdate {
        target: "engine".into(),
        born: 1,
        orders: 0,
        resident: Vec::new(),
        copies: Vec::new(),
        ongoing: Vec::new(),
        running: 0,
        waiting: 0,
        cache_used: 0,
        plan_serial,
    }
}
