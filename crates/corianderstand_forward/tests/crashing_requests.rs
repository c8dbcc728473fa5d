//! Requests that end each target that runs them, and the requests beside them.

mod common;

use common::{MemoryStore, RouterThread, Target};
use corianderstand_fleet::config::{RetryPolicy, Route};
use rstest::rstest;
use std::{
    net::Ipv4Addr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

const CRASHING_PATH: &str = "/desk/crash";
/// Header of a request that its target answers with an error at once.
const FAILING_HEADER: &str = "x-fail";
const HARMLESS_PATH: &str = "/desk/harmless";
/// Host name of another workspace.
const OTHER_HOST: &str = "other.example";
const SLOTS: usize = 3;
/// Ends of targets that are needed as evidence, and those that may happen while it spreads.
const MAX_ENDS: usize = 6;
/// A caller's requests come from several addresses.
const MAX_CALLER_ADDRESSES: u8 = 12;
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// A response takes this long, so that requests overlap.
const SERVICE_TIME: Duration = Duration::from_millis(60);

/// Targets that end when they run a request to [`CRASHING_PATH`], and start again under another name.
struct Service {
    ends: Arc<AtomicUsize>,
    _targets: JoinSet<()>,
}

impl Service {
    async fn start(store: &MemoryStore) -> Self {
        let ends = Arc::<AtomicUsize>::default();
        let mut targets = JoinSet::new();
        for slot in 0..SLOTS {
            let first = Target::start().await;
            store.put_target(first.entry(&format!("target-{slot}-0"), "desk"));
            targets.spawn(run_slot(slot, first, store.clone(), ends.clone()));
        }
        Self { ends, _targets: targets }
    }

    fn ends(&self) -> usize {
        self.ends.load(Ordering::Relaxed)
    }
}

async fn run_slot(slot: usize, first: Target, store: MemoryStore, ends: Arc<AtomicUsize>) {
    let mut target = first;
    let mut start = 0;
    loop {
        run_until_crash(target).await;
        ends.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(RESTART_DELAY).await;
        let ended = format!("target-{slot}-{start}");
        start += 1;
        target = Target::start().await;
        store.remove_target(&ended);
        store.put_target(target.entry(&format!("target-{slot}-{start}"), "desk"));
    }
}

/// Serves requests; returns after the first that crashes it, with its connections closed.
async fn run_until_crash(target: Target) {
    let mut responses = JoinSet::new();
    loop {
        let request = target.next_or_wait().await;
        if request.header(FAILING_HEADER).is_some() {
            let id = request.header("x-id").unwrap_or_default().to_owned();
            let head = format!("HTTP/1.1 500 Failed\r\nx-signed: 1\r\nx-id: {id}\r\n");
            request.answer(&format!("{head}Content-Length: 0\r\nConnection: close\r\n\r\n")).await;
            continue;
        }
        if request.head.contains(CRASHING_PATH) {
            return;
        }
        let id = request.header("x-id").unwrap_or_default().to_owned();
        responses.spawn(async move {
            tokio::time::sleep(SERVICE_TIME).await;
            request.answer_whole_unless_reset(&id, "done").await;
        });
    }
}

fn desk(retry_policy: RetryPolicy) -> Route {
    Route { retry_policy, ..common::route("/desk/", "desk") }
}

struct Deployment {
    store: MemoryStore,
    service: Service,
    routers: Vec<RouterThread>,
    next_id: Mutex<u32>,
}

impl Deployment {
    async fn start(retry_policy: RetryPolicy) -> Self {
        let store = MemoryStore::default();
        let other = Route { host: OTHER_HOST.into(), ..desk(retry_policy) };
        store.put_config(common::config(1, vec![desk(retry_policy), other]));
        let service = Service::start(&store).await;
        let first = RouterThread::start(&store);
        let limit = Duration::from_secs(8);
        let second = RouterThread::start_with(&store, "router-b", vec![first.peers], limit);
        first.wait_ready().await;
        second.wait_ready().await;
        Self { store, service, routers: vec![first, second], next_id: Mutex::default() }
    }

    /// Sends a request under a new id and returns the response.
    async fn ask(&self, router: usize, path: &str, headers: &[(&str, &str)]) -> String {
        self.ask_from(Ipv4Addr::LOCALHOST, router, path, headers).await
    }

    async fn ask_from(
        &self,
        caller: Ipv4Addr,
        router: usize,
        path: &str,
        headers: &[(&str, &str)],
    ) -> String {
        let id = {
            let mut next_id = self.next_id.lock().unwrap();
            *next_id += 1;
            format!("request-{next_id}")
        };
        let mut all = vec![("x-id", id.as_str())];
        all.extend_from_slice(headers);
        let front = self.routers[router].front;
        let response = common::send_from(caller, front, "POST", path, &all, "content").await;
        common::read_all(&mut response.unwrap()).await.unwrap()
    }

    /// Repeats the crashing request at all routers in turn, from several addresses, until each refuses it.
    async fn repeat_until_refused(&self) {
        let started_at = Instant::now();
        let mut refused = vec![false; self.routers.len()];
        let mut router = 0;
        let mut repeats = 0;
        while refused.contains(&false) {
            assert!(started_at.elapsed() < common::WAIT_LIMIT, "it is refused at last");
            let ends = self.service.ends();
            assert!(ends <= MAX_ENDS, "{ends} targets ended");
            repeats = repeats % MAX_CALLER_ADDRESSES + 1;
            let caller = Ipv4Addr::new(127, 0, 0, repeats);
            let answer = self.ask_from(caller, router, CRASHING_PATH, &[]).await;
            refused[router] = answer.starts_with("HTTP/1.1 503")
                && answer.contains("ended the targets")
                && answer.to_lowercase().contains("retry-after");
            router = (router + 1) % self.routers.len();
            // Callers come back after a failure; targets need a moment to restart.
            tokio::time::sleep(RESTART_DELAY).await;
        }
    }
}

/// Guards against a request that is sent to one target after another until none is left.
#[rstest]
#[case::sent_once(RetryPolicy::Never)]
#[case::sent_again(RetryPolicy::Allowed)]
#[tokio::test]
async fn a_request_that_ends_its_targets_is_refused_by_all_routers(#[case] policy: RetryPolicy) {
    let deployment = Deployment::start(policy).await;
    deployment.repeat_until_refused().await;
    let ends = deployment.service.ends();
    for router in [0, 1, 0, 1] {
        let answer = deployment.ask(router, CRASHING_PATH, &[]).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    assert_eq!(deployment.service.ends(), ends, "it reaches no further target");
}

/// Guards against a router that forgets at its start what the others know.
#[tokio::test]
async fn a_router_that_starts_refuses_what_the_others_refuse() {
    let mut deployment = Deployment::start(RetryPolicy::Never).await;
    deployment.repeat_until_refused().await;
    let ends = deployment.service.ends();
    let seeds = vec![deployment.routers[0].peers];
    let limit = Duration::from_secs(8);
    let late = RouterThread::start_with(&deployment.store, "router-c", seeds, limit);
    late.wait_ready().await;
    deployment.routers.push(late);
    deployment.repeat_until_refused().await;
    assert!(deployment.service.ends() <= ends + 1, "one may arrive before the news does");
}

/// Guards against refusing the requests that are cut off beside a crashing one.
#[tokio::test]
async fn requests_beside_a_crashing_one_are_not_refused() {
    let deployment = Arc::new(Deployment::start(RetryPolicy::Allowed).await);
    let mut callers = JoinSet::new();
    for number in 0..12 {
        let deployment = deployment.clone();
        callers.spawn(async move {
            let path = format!("{HARMLESS_PATH}/{number}");
            let mut served = 0;
            while served < 10 {
                let answer = deployment.ask(number % 2, &path, &[]).await;
                assert!(!answer.contains("ended the targets"), "{answer}");
                served += usize::from(answer.starts_with("HTTP/1.1 200"));
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
    }
    deployment.repeat_until_refused().await;
    while let Some(served) = callers.join_next().await {
        served.unwrap();
    }
}

/// Guards against refusing a request that many callers repeat and that some target always runs.
#[tokio::test]
async fn a_frequent_request_beside_a_crashing_one_is_not_refused() {
    let deployment = Arc::new(Deployment::start(RetryPolicy::Never).await);
    let mut callers = JoinSet::new();
    for number in 0..8 {
        let deployment = deployment.clone();
        callers.spawn(async move {
            for _ in 0..40 {
                let answer = deployment.ask(number % 2, HARMLESS_PATH, &[]).await;
                assert!(!answer.contains("ended the targets"), "{answer}");
            }
        });
    }
    deployment.repeat_until_refused().await;
    while let Some(served) = callers.join_next().await {
        served.unwrap();
    }
}

/// Guards against one caller that has another caller's request refused.
#[rstest]
#[case::with_other_credentials(("authorization", "Bearer other"))]
#[case::of_another_workspace(("host", OTHER_HOST))]
#[tokio::test]
async fn the_same_request_of_another_caller_is_not_refused(#[case] header: (&str, &str)) {
    let deployment = Deployment::start(RetryPolicy::Never).await;
    deployment.repeat_until_refused().await;
    let ends = deployment.service.ends();
    let answer = deployment.ask(0, CRASHING_PATH, &[header]).await;
    assert!(!answer.contains("ended the targets"), "{answer}");
    assert_eq!(deployment.service.ends(), ends + 1, "it reaches a target");
}

/// Guards against an engine's error that is taken for proof that the request does no harm.
#[tokio::test]
async fn an_error_does_not_clear_a_request() {
    const MAX_ENDS_AT_ONE_ROUTER: usize = 4;
    let deployment = Deployment::start(RetryPolicy::Never).await;
    for headers in [&[][..], &[], &[(FAILING_HEADER, "1")]] {
        deployment.ask(0, CRASHING_PATH, headers).await;
        tokio::time::sleep(RESTART_DELAY).await;
    }
    let started_at = Instant::now();
    while !deployment.ask(0, CRASHING_PATH, &[]).await.contains("ended the targets") {
        assert!(started_at.elapsed() < common::WAIT_LIMIT, "it is refused at last");
        tokio::time::sleep(RESTART_DELAY).await;
    }
    let ends = deployment.service.ends();
    assert!(ends <= MAX_ENDS_AT_ONE_ROUTER, "{ends} targets ended");
}
