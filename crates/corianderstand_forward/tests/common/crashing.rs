//! Targets that end under a request, and two routers before them.

use super::{MemoryStore, ReceivedRequest, RouterThread, Target};
use corianderstand_fleet::config::{RetryPolicy, Route};
use std::{
    net::Ipv4Addr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

pub const CRASHING_PATH: &str = "/desk/crash";
/// Header with the parts of a prompt.
pub const PARTS_HEADER: &str = "x-parts";
/// A part of a prompt that ends each target that runs it.
pub const CRASHING_PART: &str = "bad";
/// Header of a request that its target answers with an error at once.
pub const FAILING_HEADER: &str = "x-fail";
/// Host name of another workspace.
pub const OTHER_HOST: &str = "other.example";
const SLOTS: usize = 3;
/// Ends of targets that are needed as evidence, and those that may happen while it spreads.
const MAX_ENDS: usize = 6;
/// A caller's requests come from several addresses.
const MAX_CALLER_ADDRESSES: u8 = 12;
pub const RESTART_DELAY: Duration = Duration::from_millis(100);
/// Time after which a target begins to write a response.
const WRITING_DELAY: Duration = Duration::from_millis(20);
/// A response takes this long, so that requests overlap.
const SERVICE_TIME: Duration = Duration::from_millis(60);

/// Targets that end when they run a request to [`CRASHING_PATH`], and start again under another name.
pub struct Service {
    ends: Arc<AtomicUsize>,
    _targets: JoinSet<()>,
}

impl Service {
    async fn start(store: &MemoryStore, slots: usize) -> Self {
        let ends = Arc::<AtomicUsize>::default();
        let mut targets = JoinSet::new();
        for slot in 0..slots {
            let first = Target::start().await;
            store.put_target(first.entry(&format!("target-{slot}-0"), "desk"));
            targets.spawn(run_slot(slot, first, store.clone(), ends.clone()));
        }
        Self { ends, _targets: targets }
    }

    pub fn ends(&self) -> usize {
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
        if ends_under_part(&request) {
            tokio::time::sleep(WRITING_DELAY).await;
            return;
        }
        let id = request.header("x-id").unwrap_or_default().to_owned();
        responses.spawn(async move {
            tokio::time::sleep(SERVICE_TIME).await;
            request.answer_whole_unless_reset(&id, "done").await;
        });
    }
}

fn ends_under_part(request: &ReceivedRequest) -> bool {
    request.header(PARTS_HEADER).is_some_and(|parts| parts.contains(CRASHING_PART))
}

fn desk(retry_policy: RetryPolicy) -> Route {
    Route { retry_policy, ..super::route("/desk/", "desk") }
}

pub struct Deployment {
    pub store: MemoryStore,
    pub service: Service,
    pub routers: Vec<RouterThread>,
    next_id: Mutex<u32>,
}

impl Deployment {
    pub async fn start(retry_policy: RetryPolicy) -> Self {
        Self::start_with(retry_policy, SLOTS).await
    }

    /// A deployment with this many targets.
    pub async fn start_with(retry_policy: RetryPolicy, slots: usize) -> Self {
        let store = MemoryStore::default();
        let other = Route { host: OTHER_HOST.into(), ..desk(retry_policy) };
        store.put_config(super::config(1, vec![desk(retry_policy), other]));
        let service = Service::start(&store, slots).await;
        let first = RouterThread::start(&store);
        let limit = Duration::from_secs(8);
        let second = RouterThread::start_with(&store, "router-b", vec![first.peers], limit);
        first.wait_ready().await;
        second.wait_ready().await;
        Self { store, service, routers: vec![first, second], next_id: Mutex::default() }
    }

    /// Sends a request under a new id and returns the response.
    pub async fn ask(&self, router: usize, path: &str, headers: &[(&str, &str)]) -> String {
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
        let response = super::send_from(caller, front, "POST", path, &all, "content").await;
        super::read_all(&mut response.unwrap()).await.unwrap()
    }

    /// Repeats the crashing request at all routers in turn, from several addresses, until each refuses it.
    pub async fn repeat_until_refused(&self) {
        let started_at = Instant::now();
        let mut refused = vec![false; self.routers.len()];
        let mut router = 0;
        let mut repeats = 0;
        while refused.contains(&false) {
            assert!(started_at.elapsed() < super::WAIT_LIMIT, "it is refused at last");
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
