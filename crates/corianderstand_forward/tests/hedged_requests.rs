//! Second requests for late answers, over real connections.

mod common;

use common::{MemoryStore, ReceivedRequest, RouterThread, Target};
use corianderstand_fleet::config::{RetryPolicy, Route};
use corianderstand_forward::rooms::{self, Key, Rooms};
use corianderstand_types::clock;
use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{io::AsyncReadExt, net::TcpStream};

/// More than must be known before an answer counts as late.
const USUAL_REQUESTS: usize = 120;
/// Far later than any usual answer on a busy machine.
const LATE: Duration = Duration::from_secs(5);

fn look() -> Route {
    Route {
        retry_policy: RetryPolicy::Allowed,
        latency_objective: Duration::from_secs(6),
        ..common::route("/look/", "desk")
    }
}

fn pay() -> Route {
    Route { retry_policy: RetryPolicy::Never, ..look() }
}

struct Deployment {
    router: RouterThread,
    targets: [Target; 2],
}

impl Deployment {
    async fn start(route: Route, hedge_percent: f64) -> Self {
        let targets = [Target::start().await, Target::start().await];
        let store = MemoryStore::default();
        store.put_config(common::config(1, vec![route]));
        for (index, target) in targets.iter().enumerate() {
            store.put_target(target.entry(&format!("target-{index}"), "desk"));
        }
        let settings = RouterThread::settings("router-a", Vec::new(), Duration::from_secs(8));
        let mut settings = common::may_retry_at_once(settings);
        settings.bounds.features.hedge_percent = hedge_percent;
        let router = RouterThread::start_on(&store, settings);
        router.wait_ready().await;
        Self { router, targets }
    }

    async fn send(&self, id: &str) -> TcpStream {
        common::send(self.router.front, "GET", "/look/1", &[("x-id", id)], "").await.unwrap()
    }

    /// The next request with this id at any target, and the index of its target.
    async fn next(&self, id: &str) -> (ReceivedRequest, usize) {
        tokio::select! {
            request = self.next_at(0, id) => (request, 0),
            request = self.next_at(1, id) => (request, 1),
        }
    }

    /// The next request with this id at a target. On a busy machine second requests of earlier ones may be left there.
    async fn next_at(&self, index: usize, id: &str) -> ReceivedRequest {
        loop {
            let request = self.targets[index].next().await;
            if request.head.contains(&format!("x-id: {id}\r\n")) {
                return request;
            }
        }
    }

    /// Has the router learn how long answers usually take.
    async fn learn(&self) {
        for index in 0..USUAL_REQUESTS {
            let id = format!("usual-{index}");
            let mut caller = self.send(&id).await;
            self.next(&id).await.0.answer_whole_unless_reset(&id, "usual").await;
            common::read_all(&mut caller).await.unwrap();
        }
    }
}

/// Whether a target's connection is closed by the router within a time.
async fn is_cancelled(mut request: ReceivedRequest) -> bool {
    let read = tokio::time::timeout(LATE, request.stream.read(&mut [0; 64])).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

/// A caller whose target answers late gets the answer of another one, and the late one is cancelled at once.
#[tokio::test]
async fn a_late_answer_is_overtaken_by_a_second_one() {
    let deployment = Deployment::start(look(), 10.0).await;
    deployment.learn().await;
    let began = Instant::now();
    let mut caller = deployment.send("late").await;
    let (first, at) = deployment.next("late").await;
    let second = deployment.next_at(1 - at, "late").await;
    second.answer_whole_unless_reset("late", "second").await;
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.contains("second"), "{answer}");
    assert!(began.elapsed() < LATE, "{:?}", began.elapsed());
    assert!(is_cancelled(first).await);
    let metrics = common::get(deployment.router.metrics, "/metrics", &[]).await.unwrap();
    assert!(metrics.contains(r#"second_requests_total{outcome="won"} 1"#), "{metrics}");
}

/// Guards against a second request that cancels the first one although that answers sooner.
#[tokio::test]
async fn the_first_answer_wins_if_it_is_sooner() {
    let deployment = Deployment::start(look(), 10.0).await;
    deployment.learn().await;
    let mut caller = deployment.send("late").await;
    let (first, at) = deployment.next("late").await;
    let second = deployment.next_at(1 - at, "late").await;
    first.answer_whole_unless_reset("late", "first").await;
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.contains("first"), "{answer}");
    assert!(is_cancelled(second).await);
}

/// Guards against a failure of the first target that ends the request while the second still works on it.
#[tokio::test]
async fn the_second_answer_stands_in_for_a_first_that_breaks_off() {
    let deployment = Deployment::start(look(), 10.0).await;
    deployment.learn().await;
    let mut caller = deployment.send("late").await;
    let (first, at) = deployment.next("late").await;
    let second = deployment.next_at(1 - at, "late").await;
    drop(first);
    tokio::time::sleep(Duration::from_millis(50)).await;
    second.answer_whole_unless_reset("late", "second").await;
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.contains("second"), "{answer}");
}

/// Guards against a second request of a kind that may run at most once, and against one that no operator asked for.
#[rstest::rstest]
#[case::may_run_once(pay(), 10.0)]
#[case::switched_off(look(), 0.0)]
#[tokio::test]
async fn no_second_request_is_sent(#[case] route: Route, #[case] percent: f64) {
    let deployment = Deployment::start(route, percent).await;
    deployment.learn().await;
    let mut caller = deployment.send("late").await;
    let (first, at) = deployment.next("late").await;
    let other = deployment.targets[1 - at].next_or_wait();
    assert!(tokio::time::timeout(Duration::from_secs(1), other).await.is_err());
    first.answer_whole_unless_reset("late", "first").await;
    assert!(common::read_all(&mut caller).await.unwrap().contains("first"));
}

/// Guards against second requests beyond the share that the operator allows.
#[tokio::test]
async fn second_requests_end_at_the_limit() {
    let deployment = Deployment::start(look(), 1.0).await;
    deployment.learn().await;
    let mut second_requests = 0;
    for index in 0..4 {
        let id = format!("late-{index}");
        let mut caller = deployment.send(&id).await;
        let (first, at) = deployment.next(&id).await;
        let other = deployment.targets[1 - at].next_or_wait();
        let second = tokio::time::timeout(Duration::from_millis(500), other).await.ok();
        second_requests += usize::from(second.is_some());
        first.answer_whole_unless_reset(&id, "first").await;
        assert!(common::read_all(&mut caller).await.unwrap().contains("first"));
    }
    assert_eq!(second_requests, 1);
}

/// Guards against an answer that breaks off and for which the other target's is given up.
#[tokio::test]
async fn an_answer_that_is_not_whole_does_not_win() {
    let deployment = Deployment::start(look(), 10.0).await;
    deployment.learn().await;
    let mut caller = deployment.send("late").await;
    let (first, at) = deployment.next("late").await;
    let other = &deployment.targets[1 - at];
    let head = "HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: late\r\nConnection: close\r\n\r\n";
    deployment.next_at(1 - at, "late").await.answer(&format!("{head}sec")).await;
    // The router asks whether the target is there.
    assert!(other.close_next().await);
    first.answer_whole_unless_reset("late", "first").await;
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("first"), "{answer}");
}

/// Guards against a first request that is given up for the second one, which is no sooner.
#[tokio::test]
async fn the_first_target_is_not_left_for_the_second() {
    let route = Route { latency_objective: Duration::from_millis(300), ..look() };
    let deployment = Deployment::start(route, 10.0).await;
    deployment.learn().await;
    let mut caller = deployment.send("late").await;
    let (first, at) = deployment.next("late").await;
    let _second = deployment.next_at(1 - at, "late").await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    first.answer_whole_unless_reset("late", "first").await;
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.contains("first"), "{answer}");
}

/// Guards against a limit that grows with each attempt of a request: failing targets would be sent more.
#[tokio::test]
async fn a_request_counts_once_however_often_it_is_sent() {
    const REQUESTS: usize = 70;
    let deployment = Deployment::start(look(), 1.0).await;
    for index in 0..REQUESTS {
        let id = format!("usual-{index}");
        let mut caller = deployment.send(&id).await;
        let head = format!("x-signed: 1\r\nx-id: {id}\r\nContent-Length: 0\r\n");
        let failed = format!("HTTP/1.1 500 Error\r\n{head}Connection: close\r\n\r\n");
        deployment.next(&id).await.0.answer(&failed).await;
        deployment.next(&id).await.0.answer_whole_unless_reset(&id, "usual").await;
        assert!(common::read_all(&mut caller).await.unwrap().contains("usual"));
    }
    let mut caller = deployment.send("late").await;
    let (first, at) = deployment.next("late").await;
    let other = deployment.targets[1 - at].next_or_wait();
    assert!(tokio::time::timeout(Duration::from_secs(1), other).await.is_err());
    first.answer_whole_unless_reset("late", "first").await;
    assert!(common::read_all(&mut caller).await.unwrap().contains("first"));
}

/// Guards against a second request whose end no one can see, as its caller left.
#[tokio::test]
async fn the_end_of_a_second_request_is_counted_when_the_caller_leaves() {
    let deployment = Deployment::start(look(), 10.0).await;
    deployment.learn().await;
    let caller = deployment.send("late").await;
    let (first, at) = deployment.next("late").await;
    let second = deployment.next_at(1 - at, "late").await;
    drop(caller);
    assert!(is_cancelled(first).await && is_cancelled(second).await);
    let metrics = common::get(deployment.router.metrics, "/metrics", &[]).await.unwrap();
    assert!(metrics.contains(r#"second_requests_total{outcome="left"} 1"#), "{metrics}");
}

/// Guards against a second request that takes the place of one that waits for a service without models.
#[test]
fn those_that_wait_for_a_service_are_seen() {
    let rooms = Rc::new(Rooms::default());
    let clock: clock::SharedClock = Arc::new(clock::SystemClock);
    let key = Key { service: "desk".into(), model: None };
    let seat = rooms.enter(&clock, &key, rooms::entry_by_arrival(Instant::now()));
    assert_eq!((rooms.waiting_for(&"desk".into()), rooms.waiting_for(&"other".into())), (1, 0));
    drop(seat);
    assert_eq!(rooms.waiting_for(&"desk".into()), 0);
}
