//! Which of two routers plans, and what becomes of the plan when it stops.

mod common;

use common::{MemoryStore, RouterThread, Target};
use corianderstand_fleet::config::{Engine, Model, Service};
use corianderstand_schema::peers::{EnginePlan, PeerMessage};
use std::time::Duration;
use tokio::{net::UdpSocket, time::Instant};

const WITHIN: Duration = Duration::from_secs(2);
/// A planner that is not heard is followed by the next after 1.1 s; the rest is for a busy machine.
const TAKEN_OVER_WITHIN: Duration = Duration::from_secs(6);

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

async fn plan(agent: &UdpSocket) -> EnginePlan {
    let mut buf = vec![0; 65_536];
    loop {
        let heard = tokio::time::timeout(common::WAIT_LIMIT, agent.recv_from(&mut buf));
        let (len, _) = heard.await.expect("somebody plans").unwrap();
        if let PeerMessage::EnginePlan(plan) = postcard::from_bytes(&buf[..len]).unwrap() {
            return plan;
        }
    }
}

/// Waits until only this router has planned for a second.
async fn wait_for_planner(agent: &UdpSocket, name: &str) -> EnginePlan {
    let began = Instant::now();
    let mut alone_since = began;
    loop {
        let plan = plan(agent).await;
        if plan.planner.as_str() != name {
            alone_since = Instant::now();
        } else if alone_since.elapsed() > Duration::from_secs(1) {
            return plan;
        }
        assert!(began.elapsed() < TAKEN_OVER_WITHIN, "{} still plans", plan.planner);
    }
}

/// Two routers plan as long as they do not know each other, then one of them alone. When that one
/// stops, models that are asked for would be loaded nowhere until the other goes on.
#[tokio::test]
async fn the_next_router_plans_when_the_planner_stops() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    let mut config = common::config(1, vec![common::route("/ask/", "models")]);
    config.services = vec![service()];
    store.config(config);
    store.target(target.entry("engine", "models"));
    let agent = UdpSocket::bind(common::free_port()).await.unwrap();
    let agent_port = agent.local_addr().unwrap().port();
    let mut settings = RouterThread::settings("router-a", Vec::new(), WITHIN);
    settings.agent_port = agent_port;
    let mut first = RouterThread::start_on(&store, settings);
    let mut settings = RouterThread::settings("router-b", vec![first.peers], WITHIN);
    settings.agent_port = agent_port;
    let _second = RouterThread::start_on(&store, settings);
    let before = wait_for_planner(&agent, "router-a").await;
    assert!(before.parts.is_empty(), "nothing is known of the engine's agent yet");
    first.stop();
    let after = wait_for_planner(&agent, "router-b").await;
    assert_eq!(after.target, before.target);
}
