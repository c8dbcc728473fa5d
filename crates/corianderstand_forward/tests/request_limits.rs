//! Targets that limit the requests that they take from all routers together.

mod common;

use common::{MemoryStore, RouterThread, Target, cut};
use corianderstand_forward::dialect;
use corianderstand_schema::peers::{PeerMessage, TargetLimit, TargetReports};
use rstest::rstest;
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{net::UdpSocket, task::JoinSet};

/// Limit that the target names.
const LIMIT_PER_S: f64 = 2.6;
/// Span in which arrivals are counted, and what is allowed in it beyond the limit.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED_RATIO: f64 = 1.5;
const ALLOWED_MORE: f64 = 5.0;
/// Time from the first response that names the limit until it must hold.
const GRACE: Duration = Duration::from_secs(3);
const LOAD_TIME: Duration = Duration::from_secs(9);
const REPORTING_TIME: Duration = Duration::from_secs(2);
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Serves requests with responses that name the limit, and records when they arrive.
async fn run_limited(target: Target, arrivals: Arrivals) {
    let mut responses = JoinSet::new();
    loop {
        let request = target.next_or_wait().await;
        arrivals.lock().unwrap().push(Instant::now());
        let id = request.header("x-id").unwrap_or_default().to_owned();
        responses.spawn(async move {
            let head = format!("x-limit: {LIMIT_PER_S}\r\n");
            request.answer_with_head(&id, &head, "done").await;
        });
    }
}

/// Sends requests to each router at a steady rate, far above the limit, and returns the responses.
async fn load(routers: &[RouterThread]) -> Vec<(Duration, String)> {
    let started_at = Instant::now();
    let mut callers = JoinSet::new();
    let mut number = 0;
    while started_at.elapsed() < LOAD_TIME {
        for router in routers {
            number += 1;
            let (front, id) = (router.front, format!("request-{number}"));
            callers.spawn(async move {
                let sent_at = Instant::now();
                let headers = [("x-id", id.as_str()), ("x-deadline-ms", "2000")];
                let mut caller = common::send(front, "GET", "/desk/1", &headers, "").await.unwrap();
                let answer = common::read_all(&mut caller).await.unwrap();
                (sent_at.elapsed(), answer)
            });
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    callers.join_all().await
}

fn most_in_a_window(arrivals: &[Instant]) -> usize {
    let Some(first) = arrivals.first() else { return 0 };
    let counted: Vec<&Instant> = arrivals.iter().filter(|at| **at >= *first + GRACE).collect();
    let in_window =
        |from: Instant| counted.iter().filter(|at| ***at >= from && ***at < from + WINDOW).count();
    counted.iter().map(|at| in_window(**at)).max().unwrap_or(0)
}

/// Two routers that both know the target and each other.
async fn routers(is_cut: bool) -> ([RouterThread; 2], Target) {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_config(common::config(1, vec![common::route("/desk/", "desk")]));
    store.put_target(target.entry("target-1", "desk"));
    let stores = [store.isolated(), store.isolated()];
    let names = ["router-a", "router-b"];
    let settings = names.map(|name| RouterThread::settings(name, vec![], Duration::from_secs(8)));
    for settings in &settings {
        let entry = dialect::RouterEntry {
            router: settings.name.clone(),
            addr: settings.peer_addr,
            zone: Some(settings.zone.clone()),
            strength: settings.cpu_millicores,
            is_suspected: false,
            versions: Default::default(),
        };
        store.list_router(&settings.name, Some(entry));
    }
    let ends = |index: usize| (names[index], settings[index].peer_addr, &stores[index]);
    cut::open(ends(0), ends(1)).await.set_cut(is_cut);
    let [first, second] = settings;
    let routers =
        [RouterThread::start_on(&stores[0], first), RouterThread::start_on(&stores[1], second)];
    for router in &routers {
        router.wait_ready().await;
    }
    (routers, target)
}

/// Guards against routers that each take the whole of a limit, or none of it into account.
#[rstest]
#[case::that_hear_each_other(false)]
#[case::that_are_cut_off(true)]
#[tokio::test]
async fn all_routers_together_keep_a_targets_limit(#[case] is_cut: bool) {
    let (routers, target) = routers(is_cut).await;
    let arrivals = Arrivals::default();
    let target = tokio::spawn(run_limited(target, arrivals.clone()));
    let answers = load(&routers).await;
    target.abort();
    let arrivals = arrivals.lock().unwrap().clone();
    let allowed = LIMIT_PER_S * WINDOW.as_secs_f64() * ALLOWED_RATIO + ALLOWED_MORE;
    let most = most_in_a_window(&arrivals);
    assert!(most as f64 <= allowed, "{most} requests in {WINDOW:?}, {allowed} are allowed");
    let served = answers.iter().filter(|(_, answer)| answer.starts_with("HTTP/1.1 200")).count();
    let expected = (LIMIT_PER_S * LOAD_TIME.as_secs_f64() * 0.7) as usize;
    assert!(served >= expected, "the target is used for what it takes: {served} of {expected}");
    for (elapsed, answer) in answers {
        let refused = answer.starts_with("HTTP/1.1 503");
        assert!(refused || answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(!refused || answer.to_lowercase().contains("retry-after"), "{answer}");
        let at_once = Duration::from_millis(500);
        assert!(!refused || elapsed < at_once, "refused after {elapsed:?}");
    }
}

/// Guards against a router that sends freely after its start, as the limit was reported before it knew the target.
#[tokio::test]
async fn a_router_that_starts_is_told_of_limits() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_config(common::config(1, vec![common::route("/desk/", "desk")]));
    store.put_target(target.entry("target-1", "desk"));
    let first = RouterThread::start(&store);
    first.wait_ready().await;
    let target = tokio::spawn(run_limited(target, Arrivals::default()));
    let headers = [("x-id", "a"), ("x-deadline-ms", "2000")];
    let answer = common::get(first.front, "/desk/1", &headers).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    // By then the limit was reported for the last time.
    tokio::time::sleep(REPORTING_TIME).await;
    let seeds = vec![first.peers];
    let second = RouterThread::start_with(&store, "router-b", seeds, Duration::from_secs(8));
    second.wait_ready().await;
    let poll = async {
        while !common::get(second.metrics, "/metrics", &[])
            .await
            .unwrap()
            .contains("\nlimited_targets 1\n")
        {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, poll).await.expect("it learns of the limit");
    target.abort();
}

/// Guards against a limit that is reported only before a router knows the target, as both have just started.
#[tokio::test]
async fn a_limit_of_a_target_that_is_not_known_yet_holds_once_it_is() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_config(common::config(1, vec![common::route("/desk/", "desk")]));
    store.put_target(target.entry("target-1", "desk"));
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    let limit = TargetLimit { target: "target-2".into(), limited: true, per_1000_s: 2_600 };
    let reports = TargetReports { crashes: vec![], limits: vec![limit], successes: vec![] };
    let message = postcard::to_stdvec(&PeerMessage::TargetReports(reports)).unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    socket.send_to(&message, router.peers).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    store.put_target(target.entry("target-2", "desk"));
    let poll = async {
        loop {
            let metrics = common::get(router.metrics, "/metrics", &[]).await.unwrap();
            if metrics.contains("\nlimited_targets 1\n") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), poll).await.expect("the limit is kept");
}
