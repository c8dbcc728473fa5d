//! Agents: execution of plans, and reports to routers.

mod common;

use corianderstand_fleet::{reconcile, targets};
use corianderstand_forward::{agent, client, dialect};
use corianderstand_schema::peers::{
    AdapterRequest, EngineGone, EnginePlan, EngineReplaced, EngineUpdate, PeerMessage, PlanPart,
    PrefillRequest, PrefillResponse, RequestedAdapter,
};
use corianderstand_types::{clock::SystemClock, names::TargetId};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{net::UdpSocket, sync::oneshot, time::Instant};

const STARTED_AT_MS: u64 = 10;

#[derive(Default)]
struct EngineState {
    cache_tokens: u64,
    cache_used: u64,
    holdings: targets::Holdings,
    commands: Vec<(Instant, reconcile::Command, u64)>,
    unanswered_commands: usize,
    has_exited: bool,
    name: Option<TargetId>,
}

#[derive(Clone, Default)]
struct Engine(Arc<Mutex<EngineState>>);

impl Engine {
    fn holds(&self, models: &[&str]) -> bool {
        let state = self.0.lock().unwrap();
        models.iter().all(|model| state.holdings.resident(&(*model).into()).is_some())
    }
}

impl dialect::EngineApi for Engine {
    async fn report(&self) -> Result<dialect::EngineReport, dialect::ReportError> {
        let state = self.0.lock().unwrap();
        if state.has_exited {
            let refused =
                client::CallError::ConnectionRefused(SocketAddr::from(([127, 0, 0, 1], 1)));
            return Err(dialect::ReportError::Exited(refused));
        }
        Ok(dialect::EngineReport {
            started_at_ms: Some(STARTED_AT_MS),
            holdings: state.holdings.clone(),
            is_executing_command: false,
            adapters_loading: 0,
            cache_tokens: state.cache_tokens,
            load: targets::Load { cache_used: Some(state.cache_used), ..Default::default() },
        })
    }

    async fn name(&self, path: &str) -> Result<Option<TargetId>, client::CallError> {
        assert_eq!(path, "/well");
        Ok(self.0.lock().unwrap().name.clone())
    }

    async fn execute(&self, command: dialect::GuardedCommand<'_>) -> dialect::CommandOutcome {
        let mut state = self.0.lock().unwrap();
        state.commands.push((Instant::now(), command.command.clone(), command.commands_accepted));
        if state.unanswered_commands > 0 {
            state.unanswered_commands -= 1;
            return dialect::CommandOutcome::Unknown;
        }
        if let Some(name) = state.name.as_ref().filter(|name| *name != command.target) {
            panic!("{name} received a command for {}", command.target);
        }
        if command.commands_accepted != state.holdings.commands_accepted {
            return dialect::CommandOutcome::Conflict;
        }
        state.holdings.commands_accepted += 1;
        match command.command {
            reconcile::Command::Load(model) => {
                let resident = targets::Resident { model: model.clone(), adapters: Vec::new() };
                state.holdings.resident.push(resident);
            }
            reconcile::Command::Unload(model) => {
                state.holdings.resident.retain(|resident| resident.model != *model);
            }
            other => panic!("{other:?} was not planned"),
        }
        dialect::CommandOutcome::Accepted
    }
}

/// An agent on its own thread, and the socket of its planner.
struct AgentThread {
    engine: Engine,
    router: UdpSocket,
    agent: SocketAddr,
    _stop: oneshot::Sender<()>,
}

impl AgentThread {
    async fn start() -> Self {
        let engine = Engine::default();
        let listen = common::free_port();
        let (stop, stop_requested) = oneshot::channel::<()>();
        let engine_api = engine.clone();
        std::thread::spawn(move || {
            let settings = agent::Settings { name: "agent".into(), listen };
            let stopping = async move { drop(stop_requested.await) };
            agent::run(settings, Arc::new(SystemClock), |_| engine_api, stopping).unwrap();
        });
        let router = UdpSocket::bind(common::free_port()).await.unwrap();
        Self { engine, router, agent: listen, _stop: stop }
    }

    async fn plan(&self, planner: &str, serial: u64, models: &[&str]) {
        self.plan_for("engine", planner, serial, models).await;
    }

    async fn plan_for(&self, target: &str, planner: &str, serial: u64, models: &[&str]) {
        self.plan_with_relays(target, planner, serial, models, &[]).await;
    }

    async fn plan_with_relays(
        &self,
        target: &str,
        planner: &str,
        serial: u64,
        models: &[&str],
        relays: &[&UdpSocket],
    ) {
        let holdings = self.engine.0.lock().unwrap().holdings.clone();
        let resident: Vec<_> =
            holdings.resident.iter().map(|resident| resident.model.as_str()).collect();
        let unplanned = resident.iter().filter(|model| !models.contains(model));
        let parts = models.iter().chain(unplanned).map(|model| PlanPart {
            model: (*model).into(),
            weights_mb: 70,
            adapter_mb: 1,
            wanted: models.contains(model),
            load_ms: 6_000,
            disk_ms: 800,
            memory_ms: 400,
        });
        let plan = PeerMessage::EnginePlan(EnginePlan {
            planner: planner.into(),
            strength: 1,
            serial,
            target: target.into(),
            health_path: "/well".into(),
            weights_mb: 150,
            adapter_places: 2,
            parts: parts.collect(),
            routers: vec![self.router.local_addr().unwrap().to_string().into()],
            relays: relays
                .iter()
                .map(|relay| relay.local_addr().unwrap().to_string().into())
                .collect(),
            renew_ms: 500,
        });
        self.router.send_to(&postcard::to_stdvec(&plan).unwrap(), self.agent).await.unwrap();
    }

    async fn receive(&self) -> PeerMessage {
        let mut buf = vec![0; 65_536];
        let received = tokio::time::timeout(common::WAIT_LIMIT, self.router.recv_from(&mut buf));
        let (len, _) = received.await.expect("the agent sends a message").unwrap();
        postcard::from_bytes(&buf[..len]).unwrap()
    }

    async fn receive_update(&self) -> EngineUpdate {
        loop {
            if let PeerMessage::EngineNews(update) = self.receive().await {
                return update;
            }
        }
    }

    /// Sends a plan until the engine holds all of its models.
    async fn wait_until_executed(&self, serial: u64, models: &[&str]) {
        let wait = async {
            loop {
                self.plan("router", serial, models).await;
                if self.engine.holds(models) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(common::WAIT_LIMIT, wait).await.expect("the plan is executed");
    }
}

/// Guards against overloading an engine that has capacity for two models.
#[tokio::test]
async fn unwanted_models_are_unloaded_before_the_next_load() {
    let agent = AgentThread::start().await;
    agent.wait_until_executed(1, &["a", "b"]).await;
    agent.wait_until_executed(2, &["b", "c"]).await;
    let state = agent.engine.0.lock().unwrap();
    let commands: Vec<_> = state.commands.iter().map(|(_, command, _)| command.clone()).collect();
    let load = |model: &str| reconcile::Command::Load(model.into());
    assert_eq!(commands, [load("a"), load("b"), reconcile::Command::Unload("a".into()), load("c")]);
    let commands_before: Vec<_> = state.commands.iter().map(|(_, _, before)| *before).collect();
    assert_eq!(commands_before, [0, 1, 2, 3], "each command carries the count it is based on");
}

/// Guards against a lost command delaying a model that callers wait for.
#[tokio::test]
async fn an_unanswered_command_is_soon_sent_again() {
    let agent = AgentThread::start().await;
    agent.engine.0.lock().unwrap().unanswered_commands = 1;
    agent.wait_until_executed(1, &["a"]).await;
    let state = agent.engine.0.lock().unwrap();
    let [(first, _, before), (second, _, after)] = &state.commands[..] else {
        panic!("commands: {:?}", state.commands);
    };
    assert_eq!(before, after, "the engine executes at most one of them");
    let interval = second.duration_since(*first);
    assert!(interval < Duration::from_millis(600), "sent again after {interval:?}");
}

/// The store keeps the entry of an exited engine for seconds, and routers would keep sending requests.
#[tokio::test]
async fn an_engine_exit_is_reported_to_routers() {
    let agent = AgentThread::start().await;
    agent.wait_until_executed(1, &["a"]).await;
    while agent.receive_update().await.resident.is_empty() {}
    agent.engine.0.lock().unwrap().has_exited = true;
    let exited = loop {
        if let PeerMessage::EngineGone(exited) = agent.receive().await {
            break exited;
        }
    };
    assert_eq!(exited, EngineGone { target: "engine".into(), born: STARTED_AT_MS });
}

/// Guards against loading and unloading models in alternation when two routers plan at once.
#[tokio::test]
async fn one_of_two_planners_is_followed() {
    let agent = AgentThread::start().await;
    agent.wait_until_executed(1, &["a"]).await;
    for serial in 2..12 {
        agent.plan("router", serial, &["a"]).await;
        agent.plan("zzz-router", serial, &["b"]).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let state = agent.engine.0.lock().unwrap();
    assert_eq!(state.commands.len(), 1, "commands: {:?}", state.commands);
}

/// Routers would otherwise not know the restarted engine until it registers.
#[tokio::test]
async fn a_changed_engine_name_is_reported_to_routers() {
    let agent = AgentThread::start().await;
    agent.engine.0.lock().unwrap().name = Some("engine-2".into());
    let replaced = async {
        loop {
            agent.plan("router", 1, &["a"]).await;
            let received = tokio::time::timeout(Duration::from_millis(300), agent.receive()).await;
            if let Ok(PeerMessage::EngineReplaced(replaced)) = received {
                return replaced;
            }
        }
    };
    let replaced =
        tokio::time::timeout(common::WAIT_LIMIT, replaced).await.expect("the agent reports it");
    let expected =
        EngineReplaced { target: "engine-2".into(), born: STARTED_AT_MS, before: "engine".into() };
    assert_eq!(replaced, expected);
}

/// With a stale name, the agent would report the new engine as replaced by the old one.
#[tokio::test]
async fn an_agent_that_missed_a_restart_queries_the_engine_s_name_again() {
    let agent = AgentThread::start().await;
    agent.engine.0.lock().unwrap().name = Some("engine".into());
    let received = async {
        loop {
            agent.plan("router", 1, &[]).await;
            let received = tokio::time::timeout(Duration::from_millis(300), agent.receive()).await;
            if received.is_ok() {
                return;
            }
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, received).await.expect("the agent follows the plan");
    agent.engine.0.lock().unwrap().name = Some("engine-2".into());
    let started_at = Instant::now();
    while agent.engine.0.lock().unwrap().commands.is_empty() {
        assert!(started_at.elapsed() < common::WAIT_LIMIT, "the new engine receives no command");
        agent.plan_for("engine-2", "router", 2, &["a"]).await;
        let received = tokio::time::timeout(Duration::from_millis(50), agent.receive()).await;
        if let Ok(PeerMessage::EngineReplaced(replaced)) = received {
            panic!("{replaced:?} names the wrong engine");
        }
    }
}

/// Receives what an agent sends to a hub, until there is nothing for a while.
async fn relayed_messages(hub: &UdpSocket) -> Vec<PeerMessage> {
    let mut buf = vec![0; 65_536];
    let mut messages = Vec::new();
    let pause = Duration::from_millis(1_500);
    while let Ok(received) = tokio::time::timeout(pause, hub.recv_from(&mut buf)).await {
        let (len, _) = received.unwrap();
        let PeerMessage::ToZone(request) = postcard::from_bytes(&buf[..len]).unwrap() else {
            panic!("a message that is not to be passed on");
        };
        messages.push(postcard::from_bytes(&request.message).unwrap());
    }
    messages
}

/// Guards against reports of each engine to each router, which small hosts cannot take in a large deployment.
#[tokio::test]
async fn hubs_receive_changes_only() {
    let agent = AgentThread::start().await;
    let hub = UdpSocket::bind(common::free_port()).await.unwrap();
    let load = async {
        while !agent.engine.holds(&["a"]) {
            agent.plan_with_relays("engine", "router", 1, &["a"], &[&hub]).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, load).await.expect("the plan is executed");
    let messages = relayed_messages(&hub).await;
    let is_loaded = |message: &PeerMessage| matches!(message, PeerMessage::EngineNews(update) if !update.resident.is_empty());
    assert!(messages.iter().any(is_loaded), "{messages:?}");
    let keep = async {
        for _ in 0..5 {
            tokio::time::sleep(Duration::from_millis(300)).await;
            agent.plan_with_relays("engine", "router", 1, &["a"], &[&hub]).await;
        }
    };
    let ((), messages) = tokio::join!(keep, relayed_messages(&hub));
    assert!(messages.is_empty(), "nothing changes: {messages:?}");
    agent.engine.0.lock().unwrap().has_exited = true;
    let mut buf = vec![0; 65_536];
    let exited = async {
        let (len, _) = hub.recv_from(&mut buf).await.unwrap();
        let PeerMessage::ToZone(request) = postcard::from_bytes(&buf[..len]).unwrap() else {
            panic!("a message that is not to be passed on");
        };
        postcard::from_bytes::<PeerMessage>(&request.message).unwrap()
    };
    let exited = tokio::time::timeout(common::WAIT_LIMIT, exited).await.expect("its end is sent");
    assert!(matches!(exited, PeerMessage::EngineGone(_)), "{exited:?}");
}

/// Guards against routers that don't know how busy the engine is to which they send requests.
#[tokio::test]
async fn a_router_that_asked_for_a_permit_receives_updates() {
    let agent = AgentThread::start().await;
    let hub = UdpSocket::bind(common::free_port()).await.unwrap();
    let requester = UdpSocket::bind(common::free_port()).await.unwrap();
    let follow = async {
        loop {
            agent.plan_with_relays("engine", "router", 1, &[], &[&hub]).await;
            if tokio::time::timeout(Duration::from_millis(300), agent.receive()).await.is_ok() {
                return;
            }
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, follow).await.expect("the agent follows the plan");
    let request = PeerMessage::PrefillAsked(PrefillRequest {
        id: 1,
        work_us: 1_000,
        reading_us: 0,
        event_us: 0,
        aim_in_ms: 100,
        useful_ms: 1_000,
        pause_ms: 0,
        rank: 0,
        workspace: 0,
        share: 0,
        tokens: 0,
        places: 0,
    });
    requester.send_to(&postcard::to_stdvec(&request).unwrap(), agent.agent).await.unwrap();
    let update = async {
        let mut buf = vec![0; 65_536];
        loop {
            let (len, _) = requester.recv_from(&mut buf).await.unwrap();
            if let PeerMessage::EngineNews(update) = postcard::from_bytes(&buf[..len]).unwrap() {
                return update;
            }
        }
    };
    let update = tokio::time::timeout(common::WAIT_LIMIT, update).await.expect("it is updated");
    assert_eq!(update.plan_serial, 1);
}

/// Guards against requests that wait for an adapter that is loaded, as their router is not told so.
#[tokio::test]
async fn a_router_that_asks_for_a_loaded_adapter_is_answered_at_once() {
    const ASKS: usize = 10;
    let agent = AgentThread::start().await;
    let hub = UdpSocket::bind(common::free_port()).await.unwrap();
    let requester = UdpSocket::bind(common::free_port()).await.unwrap();
    let resident = targets::Resident { model: "a".into(), adapters: vec!["a1".into()] };
    agent.engine.0.lock().unwrap().holdings.resident.push(resident);
    let follow = async {
        loop {
            agent.plan_with_relays("engine", "router", 1, &["a"], &[&hub]).await;
            if tokio::time::timeout(Duration::from_millis(300), agent.receive()).await.is_ok() {
                return;
            }
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, follow).await.expect("the agent follows the plan");
    let adapter = RequestedAdapter { model: "a".into(), adapter: "a1".into() };
    let request = AdapterRequest { target: "engine".into(), adapters: vec![adapter] };
    let request = postcard::to_stdvec(&PeerMessage::AdaptersAsked(request)).unwrap();
    let mut answers = 0;
    let mut buf = vec![0; 65_536];
    for _ in 0..ASKS {
        requester.send_to(&request, agent.agent).await.unwrap();
        let answer = requester.recv_from(&mut buf);
        // Shorter than the interval of periodic updates by far.
        answers +=
            usize::from(tokio::time::timeout(Duration::from_millis(100), answer).await.is_ok());
    }
    assert!(answers > ASKS / 2, "{answers} answers");
}

/// Sends a request for a permit that takes more than half of the engine's memory.
async fn ask_for_memory(router: &UdpSocket, agent: SocketAddr, id: u64) {
    let request = PeerMessage::PrefillAsked(PrefillRequest {
        id,
        work_us: 1_000,
        reading_us: 0,
        event_us: 0,
        aim_in_ms: 1_000,
        useful_ms: 10_000,
        pause_ms: 0,
        rank: 0,
        workspace: 1,
        share: 1_000,
        tokens: 6_000,
        places: 32,
    });
    router.send_to(&postcard::to_stdvec(&request).unwrap(), agent).await.unwrap();
}

async fn next_permit(router: &UdpSocket) -> PrefillResponse {
    let mut buf = vec![0; 65_536];
    let receive = async {
        loop {
            let (len, _) = router.recv_from(&mut buf).await.unwrap();
            if let PeerMessage::PrefillAnswer(answer) = postcard::from_bytes(&buf[..len]).unwrap() {
                return answer;
            }
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, receive).await.expect("the agent answers")
}

/// Guards against an engine that crashes: two routers ask within one report's time, each sees all memory free, and
/// both requests together exceed it.
#[tokio::test]
async fn two_routers_within_one_report_do_not_exceed_the_memory() {
    let agent = AgentThread::start().await;
    agent.engine.0.lock().unwrap().cache_tokens = 10_000;
    // By then the agent has asked the engine again.
    tokio::time::sleep(Duration::from_millis(400)).await;
    let first = UdpSocket::bind(common::free_port()).await.unwrap();
    let second = UdpSocket::bind(common::free_port()).await.unwrap();
    ask_for_memory(&first, agent.agent, 1).await;
    assert!(next_permit(&first).await.given);
    agent.engine.0.lock().unwrap().cache_used = 6_000;
    ask_for_memory(&second, agent.agent, 2).await;
    assert!(!next_permit(&second).await.given);
    let early = tokio::time::timeout(Duration::from_millis(500), next_permit(&second)).await;
    assert!(early.is_err(), "granted beyond the memory: {early:?}");
    agent.engine.0.lock().unwrap().cache_used = 0;
    let freed_at = Instant::now();
    assert!(next_permit(&second).await.given);
    assert!(freed_at.elapsed() < Duration::from_millis(200), "{:?}", freed_at.elapsed());
}
