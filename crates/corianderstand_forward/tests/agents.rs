//! What an agent does beside its engine: one order at a time, and a word to the routers.

mod common;

use corianderstand_fleet::{reconcile, targets};
use corianderstand_forward::{agent, client, dialect};
use corianderstand_schema::peers::{
    EngineGone, EngineNews, EnginePlan, EngineReplaced, PeerMessage, PlanPart,
};
use corianderstand_types::{clock::SystemClock, names::TargetId};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{net::UdpSocket, sync::oneshot, time::Instant};

/// Start of the engine, in Unix milliseconds.
const BORN: u64 = 10;

/// An engine in memory, and what became of orders to it.
#[derive(Default)]
struct Shelf {
    holdings: targets::Holdings,
    given: Vec<(Instant, reconcile::Command, u64)>,
    /// Orders that get no answer and are not carried out.
    to_lose: usize,
    has_ended: bool,
    /// The engine's own name.
    name: Option<TargetId>,
}

#[derive(Clone, Default)]
struct Engine(Arc<Mutex<Shelf>>);

impl Engine {
    fn holds(&self, models: &[&str]) -> bool {
        let shelf = self.0.lock().unwrap();
        models.iter().all(|model| shelf.holdings.resident(&(*model).into()).is_some())
    }
}

impl dialect::EngineApi for Engine {
    async fn report(&self) -> Result<dialect::EngineReport, dialect::ReportError> {
        let shelf = self.0.lock().unwrap();
        if shelf.has_ended {
            let nobody =
                client::CallError::ConnectionRefused(SocketAddr::from(([127, 0, 0, 1], 1)));
            return Err(dialect::ReportError::Exited(nobody));
        }
        Ok(dialect::EngineReport {
            started_at_ms: Some(BORN),
            holdings: shelf.holdings.clone(),
            busy: false,
            adapters_loading: 0,
            load: targets::Load::default(),
        })
    }

    async fn name(&self, path: &str) -> Result<Option<TargetId>, client::CallError> {
        assert_eq!(path, "/well");
        Ok(self.0.lock().unwrap().name.clone())
    }

    async fn execute(&self, order: dialect::GuardedCommand<'_>) -> dialect::CommandOutcome {
        let mut shelf = self.0.lock().unwrap();
        shelf.given.push((Instant::now(), order.command.clone(), order.commands_accepted));
        if shelf.to_lose > 0 {
            shelf.to_lose -= 1;
            return dialect::CommandOutcome::Unknown;
        }
        if let Some(name) = shelf.name.as_ref().filter(|name| *name != order.target) {
            panic!("{name} was given an order for {}", order.target);
        }
        if order.commands_accepted != shelf.holdings.commands_accepted {
            return dialect::CommandOutcome::Conflict;
        }
        shelf.holdings.commands_accepted += 1;
        match order.command {
            reconcile::Command::Load(model) => {
                let resident = targets::Resident { model: model.clone(), adapters: Vec::new() };
                shelf.holdings.resident.push(resident);
            }
            reconcile::Command::Unload(model) => {
                shelf.holdings.resident.retain(|resident| resident.model != *model);
            }
            other => panic!("{other:?} was not planned"),
        }
        dialect::CommandOutcome::Accepted
    }
}

/// An agent in a thread, and a router that plans for it.
struct Running {
    engine: Engine,
    router: UdpSocket,
    agent: SocketAddr,
    _stop: oneshot::Sender<()>,
}

impl Running {
    async fn start() -> Self {
        let engine = Engine::default();
        let listen = common::free_port();
        let (stop, stopped) = oneshot::channel::<()>();
        let beside = engine.clone();
        std::thread::spawn(move || {
            let settings = agent::Settings { name: "agent".into(), listen };
            let wait = async move { drop(stopped.await) };
            agent::run(settings, Arc::new(SystemClock), |_| beside, wait).unwrap();
        });
        let router = UdpSocket::bind(common::free_port()).await.unwrap();
        Self { engine, router, agent: listen, _stop: stop }
    }

    /// Says that the engine should hold these models and no others.
    async fn plan(&self, planner: &str, serial: u64, models: &[&str]) {
        self.plan_for("engine", planner, serial, models).await;
    }

    async fn plan_for(&self, target: &str, planner: &str, serial: u64, models: &[&str]) {
        let held = self.engine.0.lock().unwrap().holdings.clone();
        let held: Vec<_> = held.resident.iter().map(|resident| resident.model.as_str()).collect();
        let extra = held.iter().filter(|model| !models.contains(model));
        let parts = models.iter().chain(extra).map(|model| PlanPart {
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
        });
        self.router.send_to(&postcard::to_stdvec(&plan).unwrap(), self.agent).await.unwrap();
    }

    /// What the agent says next.
    async fn hear(&self) -> PeerMessage {
        let mut buf = vec![0; 65_536];
        let heard = tokio::time::timeout(common::PATIENCE, self.router.recv_from(&mut buf));
        let (len, _) = heard.await.expect("the agent says something").unwrap();
        postcard::from_bytes(&buf[..len]).unwrap()
    }

    async fn hear_news(&self) -> EngineNews {
        loop {
            if let PeerMessage::EngineNews(news) = self.hear().await {
                return news;
            }
        }
    }

    /// Plans until the engine holds all of these.
    async fn wait_for(&self, serial: u64, models: &[&str]) {
        let ask = async {
            loop {
                self.plan("router", serial, models).await;
                if self.engine.holds(models) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(common::PATIENCE, ask).await.expect("the plan is carried out");
    }
}

/// Two models are wanted and a third one is there; the engine has room for two. Ordered to load a
/// third, it would crash.
#[tokio::test]
async fn what_is_not_wanted_is_dropped_before_the_next_is_loaded() {
    let running = Running::start().await;
    running.wait_for(1, &["a", "b"]).await;
    running.wait_for(2, &["b", "c"]).await;
    let shelf = running.engine.0.lock().unwrap();
    let orders: Vec<_> = shelf.given.iter().map(|(_, order, _)| order.clone()).collect();
    let load = |model: &str| reconcile::Command::Load(model.into());
    assert_eq!(orders, [load("a"), load("b"), reconcile::Command::Unload("a".into()), load("c")]);
    let numbers: Vec<_> = shelf.given.iter().map(|(_, _, after)| *after).collect();
    assert_eq!(numbers, [0, 1, 2, 3], "each order says what it was worked out at");
}

/// Half of the orders get no answer. Callers wait for the model all the while, and an engine beside
/// its agent answers in some ms, so the next order comes well before half a second has passed.
#[tokio::test]
async fn an_order_without_an_answer_is_soon_given_again() {
    let running = Running::start().await;
    running.engine.0.lock().unwrap().to_lose = 1;
    running.wait_for(1, &["a"]).await;
    let shelf = running.engine.0.lock().unwrap();
    let [(first, _, before), (second, _, after)] = &shelf.given[..] else {
        panic!("given: {:?}", shelf.given);
    };
    assert_eq!(before, after, "the engine carries out one of them at most");
    let pause = second.duration_since(*first);
    assert!(pause < Duration::from_millis(600), "given again after {pause:?}");
}

/// The engine's process ends, and its entry stays in the store for seconds. Routers go on sending
/// requests for its models there until somebody tells them.
#[tokio::test]
async fn routers_hear_that_the_engine_has_ended() {
    let running = Running::start().await;
    running.wait_for(1, &["a"]).await;
    while running.hear_news().await.resident.is_empty() {}
    running.engine.0.lock().unwrap().has_ended = true;
    let gone = loop {
        if let PeerMessage::EngineGone(gone) = running.hear().await {
            break gone;
        }
    };
    assert_eq!(gone, EngineGone { target: "engine".into(), born: BORN });
}

/// A second router plans as well, because it does not hear the first. Followed in turns, the two
/// would have the engine load and drop the same models over and over.
#[tokio::test]
async fn of_two_planners_one_is_followed() {
    let running = Running::start().await;
    running.wait_for(1, &["a"]).await;
    for serial in 2..12 {
        running.plan("router", serial, &["a"]).await;
        running.plan("zzz-router", serial, &["b"]).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let shelf = running.engine.0.lock().unwrap();
    assert_eq!(shelf.given.len(), 1, "given: {:?}", shelf.given);
}

/// The engine has started again under another name, and the plan is still for the one before. Nobody
/// else can tell routers of it until it registers, a second or two later.
#[tokio::test]
async fn routers_hear_of_the_engine_s_new_name() {
    let running = Running::start().await;
    running.engine.0.lock().unwrap().name = Some("engine-2".into());
    let replaced = async {
        loop {
            running.plan("router", 1, &["a"]).await;
            let heard = tokio::time::timeout(Duration::from_millis(300), running.hear()).await;
            if let Ok(PeerMessage::EngineReplaced(replaced)) = heard {
                return replaced;
            }
        }
    };
    let replaced = tokio::time::timeout(common::PATIENCE, replaced).await.expect("it says so");
    let expected =
        EngineReplaced { target: "engine-2".into(), born: BORN, before: "engine".into() };
    assert_eq!(replaced, expected);
}

/// The engine starts again under another name between two looks of its agent, and registers before the
/// agent has noticed. An agent that went on believing the old name would tell routers that the new
/// engine is the old one, and they would have neither.
#[tokio::test]
async fn an_agent_that_missed_a_start_believes_the_plan_s_name_after_asking() {
    let running = Running::start().await;
    running.engine.0.lock().unwrap().name = Some("engine".into());
    let heard = async {
        loop {
            running.plan("router", 1, &[]).await;
            let heard = tokio::time::timeout(Duration::from_millis(300), running.hear()).await;
            if heard.is_ok() {
                return;
            }
        }
    };
    tokio::time::timeout(common::PATIENCE, heard).await.expect("the agent follows the plan");
    running.engine.0.lock().unwrap().name = Some("engine-2".into());
    let began = Instant::now();
    while running.engine.0.lock().unwrap().given.is_empty() {
        assert!(began.elapsed() < common::PATIENCE, "the new engine is never ordered anything");
        running.plan_for("engine-2", "router", 2, &["a"]).await;
        let heard = tokio::time::timeout(Duration::from_millis(50), running.hear()).await;
        if let Ok(PeerMessage::EngineReplaced(replaced)) = heard {
            panic!("{replaced:?} is the wrong way round");
        }
    }
}
