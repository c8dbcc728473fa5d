//! Requests that wait for the places of a target of a service without models.

mod common;

use common::{MemoryStore, ReceivedRequest, RouterThread, Target};
use corianderstand_fleet::{config, targets, workspaces};
use std::time::{Duration, Instant};
use tokio::{net::TcpStream, task::JoinHandle};

/// Time in which a request reaches the router's room.
const ARRIVAL: Duration = Duration::from_millis(30);
/// Much less than the interval at which the first one looks for places by itself.
const HANDOVER: Duration = Duration::from_millis(150);
const DEADLINE_MS: u64 = 6_000;

fn workspace(name: &str, priority: u8) -> workspaces::Workspace {
    let credentials = vec![workspaces::Credential::new(name.as_bytes())];
    workspaces::Workspace { name: name.into(), credentials, priority, quota: None }
}

struct Setup {
    target: Target,
    router: RouterThread,
}

/// A router and a target with one place.
async fn setup(workspaces: Option<Vec<workspaces::Workspace>>) -> Setup {
    let store = MemoryStore::default();
    let target = Target::start().await;
    let routes = vec![common::route("/desk/", "desk")];
    store.put_config(config::Config { workspaces, ..common::config(1, routes) });
    store.put_target(targets::Entry { slots: 1, ..target.entry("target-1", "desk") });
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    Setup { target, router }
}

impl Setup {
    async fn send(&self, id: &str, key: &str) -> TcpStream {
        let deadline = DEADLINE_MS.to_string();
        let headers = [("x-id", id), ("x-key", key), ("x-deadline-ms", deadline.as_str())];
        let caller =
            common::send(self.router.front, "POST", "/desk/1", &headers, "").await.unwrap();
        tokio::time::sleep(ARRIVAL).await;
        caller
    }

    async fn ask(&self, id: &str, key: &str) -> JoinHandle<String> {
        let mut caller = self.send(id, key).await;
        tokio::spawn(async move { common::read_all(&mut caller).await.unwrap_or_default() })
    }

    /// Answers a request and returns the one that gets its place, with the time that it took.
    async fn hand_over(&self, running: ReceivedRequest) -> (ReceivedRequest, Duration) {
        let id = id(&running);
        running.answer_whole(&id, "done").await;
        let freed_at = Instant::now();
        (self.target.next().await, freed_at.elapsed())
    }
}

fn id(request: &ReceivedRequest) -> String {
    request.header("x-id").unwrap().to_owned()
}

/// Answers all and returns their order.
async fn order(setup: &Setup, mut running: ReceivedRequest, count: usize) -> Vec<String> {
    let mut order = vec![id(&running)];
    while order.len() < count {
        let (next, took) = setup.hand_over(running).await;
        assert!(took < HANDOVER, "the place was free for {took:?}");
        order.push(id(&next));
        running = next;
    }
    let last = id(&running);
    running.answer_whole(&last, "done").await;
    order
}

/// Guards against a race for places where nothing calls for an order: who came first is served first.
#[tokio::test]
async fn without_workspaces_places_are_given_by_arrival() {
    let setup = setup(None).await;
    let names = ["r0", "r1", "r2", "r3", "r4", "r5"];
    let mut callers = vec![setup.ask(names[0], "").await];
    let running = setup.target.next().await;
    for name in &names[1..] {
        callers.push(setup.ask(name, "").await);
    }
    assert_eq!(order(&setup, running, names.len()).await, names);
    for caller in callers {
        let answer = caller.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// Guards against a workspace below its share that waits behind the flood of another, and a low rank that goes first.
#[tokio::test]
async fn places_are_given_by_share_and_rank() {
    let all = vec![workspace("flood", 0), workspace("small", 1)];
    let setup = setup(Some(all)).await;
    let mut callers = vec![setup.ask("f0", "flood").await];
    let running = setup.target.next().await;
    for name in ["f1", "f2", "f3", "f4"] {
        callers.push(setup.ask(name, "flood").await);
    }
    callers.push(setup.ask("s0", "small").await);
    let order = order(&setup, running, callers.len()).await;
    let position = order.iter().position(|name| name == "s0").unwrap();
    assert!(position <= 2, "{order:?}");
    for caller in callers {
        let answer = caller.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// Guards against a place that stays free as the caller whose turn it was has left.
#[tokio::test]
async fn a_caller_that_leaves_passes_its_turn_on() {
    let setup = setup(Some(vec![workspace("w", 0)])).await;
    let _first = setup.ask("r0", "w").await;
    let running = setup.target.next().await;
    let leaving = setup.send("r1", "w").await;
    let _last = setup.ask("r2", "w").await;
    drop(leaving);
    tokio::time::sleep(ARRIVAL).await;
    let (next, took) = setup.hand_over(running).await;
    assert_eq!(id(&next), "r2");
    assert!(took < HANDOVER, "the place was free for {took:?}");
}

/// Guards against a request that may run once and is held until its caller gives up: it is refused in time to come
/// again, and does not run later.
#[tokio::test]
async fn a_request_that_may_run_once_waits_for_a_bounded_time() {
    let setup = setup(Some(vec![workspace("w", 0)])).await;
    let _first = setup.ask("r0", "w").await;
    let running = setup.target.next().await;
    let started_at = Instant::now();
    let answer = setup.ask("r1", "w").await.await.unwrap();
    let waited = started_at.elapsed();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.to_lowercase().contains("retry-after: "), "{answer}");
    assert!(waited <= Duration::from_millis(DEADLINE_MS / 2), "{waited:?}");
    running.answer_whole("r0", "done").await;
    let later = tokio::time::timeout(Duration::from_millis(500), setup.target.next_or_wait()).await;
    assert!(later.is_err(), "a refused request has run");
}

/// Guards against a target that comes back, or a place that nobody told of, and requests that wait on beside it.
#[tokio::test]
async fn a_target_that_is_added_is_used_by_those_that_wait() {
    let store = MemoryStore::default();
    let (target, other) = (Target::start().await, Target::start().await);
    store.put_config(common::config(1, vec![common::route("/desk/", "desk")]));
    store.put_target(targets::Entry { slots: 1, ..target.entry("target-1", "desk") });
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    let setup = Setup { target, router };
    let _first = setup.ask("r0", "").await;
    let _running = setup.target.next().await;
    let _second = setup.ask("r1", "").await;
    let _third = setup.ask("r2", "").await;
    store.put_target(targets::Entry { slots: 2, ..other.entry("target-2", "desk") });
    let (next, last) = (other.next().await, other.next().await);
    assert_eq!([id(&next), id(&last)], ["r1", "r2"]);
}
