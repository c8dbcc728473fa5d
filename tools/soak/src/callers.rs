//! Callers that send requests over persistent connections and record each outcome.

use crate::{
    cluster::MODELS,
    configs::Configs,
    floods::Balancer,
    requests::{RequestSpec, Sender, send_request},
    streams::{self, TakeUp},
    surges::Surges,
    workspaces::Workspace,
};
use bytes::Bytes;
use corianderstand_platform_standins::target::{CRASHING_BODY, EVENTS_PER_STREAM};
use http::{HeaderMap, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// Route that a request is sent to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestKind {
    /// Idempotent request.
    Look,
    /// Non-idempotent request.
    Pay,
    /// Resumable stream.
    Chat,
    /// Stream that cannot be resumed.
    Draft,
}

impl RequestKind {
    const ALL: [Self; 4] = [Self::Look, Self::Pay, Self::Chat, Self::Draft];

    pub const fn path(self) -> &'static str {
        match self {
            Self::Look => "/look/1",
            Self::Pay => "/pay/1",
            Self::Chat => "/chat/1",
            Self::Draft => "/draft/1",
        }
    }

    pub const fn streams(self) -> bool {
        matches!(self, Self::Chat | Self::Draft)
    }

    pub const fn deadline(self) -> Duration {
        if self.streams() { Duration::from_secs(6) } else { Duration::from_secs(3) }
    }
}

#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Outcome {
    Complete(StatusCode, Bytes),
    /// Response truncated after its head.
    Truncated(StatusCode, Bytes),
    /// Connection closed without a response.
    Closed,
    NoConnection,
    /// No response within the deadline and some time after it.
    TimedOut,
}

#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub id: String,
    pub kind: RequestKind,
    pub workspace: Workspace,
    /// Requested model; only streams send it.
    pub model: &'static str,
    pub router_index: usize,
    /// The stream that it takes up.
    pub take_up: Option<TakeUp>,
    pub started_at: Instant,
    pub ended_at: Instant,
    pub outcome: Outcome,
}

const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
const MAX_REQUEST_PAUSE_MS: u64 = 60;
/// Longest pause of a caller whose key was taken away.
const MAX_DENIED_PAUSE_MS: u64 = 200;
/// Share of the callers of streams that close their connection and take the stream up elsewhere.
const LEAVING_RATIO: f64 = 0.15;
/// Times that a caller takes up a stream.
const MAX_RETURNS: u32 = 3;

/// A stream that broke off and is to be taken up.
struct BrokenStream {
    take_up: TakeUp,
    workspace: Workspace,
    model: &'static str,
    returns: u32,
}

/// What decides which router a caller turns to, with which key, and when.
#[derive(Clone, Debug)]
pub struct Surroundings {
    pub balancer: Balancer,
    pub configs: Configs,
    pub surges: Surges,
}

#[derive(Debug)]
pub struct Callers {
    requests: Arc<Mutex<Vec<RequestRecord>>>,
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Callers {
    /// Starts a caller whose requests end the engines that run them.
    pub fn start_crashing(
        &mut self,
        router_addresses: &[SocketAddr],
        seed: u64,
        cause: CrashCause,
    ) {
        let (addresses, requests) = (router_addresses.to_vec(), self.requests.clone());
        let (stop, rng) = (self.stop.clone(), ChaCha8Rng::seed_from_u64(!seed));
        self.tasks.push(tokio::spawn(run_crashing_caller(addresses, rng, requests, stop, cause)));
    }

    pub fn start(
        caller_count: usize,
        router_addresses: &[SocketAddr],
        seed: u64,
        surroundings: &Surroundings,
        workspace_of: impl Fn(usize) -> Workspace,
    ) -> Self {
        let (requests, stop) =
            (Arc::<Mutex<Vec<RequestRecord>>>::default(), Arc::<AtomicBool>::default());
        let tasks = (0..caller_count).map(|index| {
            let (router_addresses, requests, stop) =
                (router_addresses.to_vec(), requests.clone(), stop.clone());
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (index as u64) << 32);
            let surroundings = surroundings.clone();
            let caller = (index, workspace_of(index));
            tokio::spawn(run_caller(caller, router_addresses, rng, requests, stop, surroundings))
        });
        let tasks = tasks.collect();
        Self { requests, stop, tasks }
    }

    /// Returns the finished requests after the first `skip_count`.
    pub fn finished_requests(&self, skip_count: usize) -> Vec<RequestRecord> {
        let requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests.iter().skip(skip_count).cloned().collect()
    }

    /// Stops the callers after their current request and returns all requests.
    pub async fn finish(self) -> Vec<RequestRecord> {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("a caller does not fail");
        }
        std::mem::take(&mut self.requests.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn run_caller(
    (caller, own_workspace): (usize, Workspace),
    router_addresses: Vec<SocketAddr>,
    mut rng: ChaCha8Rng,
    requests: Arc<Mutex<Vec<RequestRecord>>>,
    stop: Arc<AtomicBool>,
    Surroundings { balancer, configs, surges }: Surroundings,
) {
    let mut connection: Option<(usize, Sender)> = None;
    let mut request_number = 0_u64;
    let mut broken: Option<BrokenStream> = None;
    while !stop.load(Ordering::Relaxed) {
        surges.wait_for_turn(caller, &stop).await;
        request_number += 1;
        let returning = broken.take().filter(|broken| broken.returns < MAX_RETURNS);
        let drawn = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
        let kind = if returning.is_some() { RequestKind::Chat } else { drawn };
        let drawn = MODELS[rng.random_range(0..MODELS.len())];
        let model = returning.as_ref().map_or(drawn, |broken| broken.model);
        let workspace = match &returning {
            Some(broken) => broken.workspace,
            None => own_workspace.in_force(caller, &configs),
        };
        let take_up = returning.as_ref().map(|broken| broken.take_up.clone());
        if returning.is_some() || balancer.reconnects(&mut rng) {
            connection = None;
        }
        let leaves_after = (kind == RequestKind::Chat && rng.random_bool(LEAVING_RATIO))
            .then(|| rng.random_range(1..EVENTS_PER_STREAM as usize));
        let id = format!("c{caller}-{request_number}");
        let router = match &connection {
            Some((router, sender)) if !sender.is_closed() => *router,
            _ => balancer.choose(&mut rng, router_addresses.len()),
        };
        let sender =
            connection.take().map(|(_, sender)| sender).filter(|sender| !sender.is_closed());
        // Drafts differ from one another; the other requests are the same each time.
        let body = if kind == RequestKind::Draft { id.clone().into() } else { Bytes::new() };
        let started_at = Instant::now();
        let spec = RequestSpec {
            kind,
            workspace,
            id: &id,
            model,
            body,
            has_crashing_part: false,
            take_up: take_up.as_ref(),
            leaves_after,
        };
        let (outcome, headers, sender) =
            send_request(router_addresses[router], sender, &spec).await;
        broken = streams::take_up(&id, take_up.as_ref(), &outcome)
            .filter(|_| kind == RequestKind::Chat && !is_complete(&outcome))
            .map(|take_up| BrokenStream {
                take_up,
                workspace,
                model,
                returns: returning.map_or(0, |returning| returning.returns + 1),
            });
        let closes = headers.get("connection").is_some_and(|value| value == "close");
        connection = sender.filter(|_| !closes).map(|sender| (router, sender));
        let delay = match &outcome {
            Outcome::Complete(
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS,
                _,
            ) => retry_after(&headers),
            Outcome::Closed | Outcome::NoConnection => RECONNECT_DELAY,
            Outcome::Complete(StatusCode::UNAUTHORIZED, _) => {
                Duration::from_millis(rng.random_range(0..MAX_DENIED_PAUSE_MS))
            }
            _ => Duration::from_millis(rng.random_range(0..MAX_REQUEST_PAUSE_MS)),
        };
        let record = RequestRecord {
            id,
            kind,
            workspace,
            model,
            router_index: router,
            take_up,
            started_at,
            ended_at: Instant::now(),
            outcome,
        };
        requests.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        tokio::time::sleep(delay).await;
    }
}

/// Prefix of the ids of requests that end the engines that run them.
pub const CRASHING_ID_PREFIX: &str = "crash-";
const MAX_CRASHING_REQUEST_PAUSE_MS: u64 = 500;

/// Why a request ends the engines that run it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CrashCause {
    /// Its body; each of the caller's requests has the same.
    Body,
    /// A part of its prompt; else the requests differ.
    Part,
}

async fn run_crashing_caller(
    router_addresses: Vec<SocketAddr>,
    mut rng: ChaCha8Rng,
    requests: Arc<Mutex<Vec<RequestRecord>>>,
    stop: Arc<AtomicBool>,
    cause: CrashCause,
) {
    let mut model = MODELS[rng.random_range(0..MODELS.len())];
    let mut request_number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        request_number += 1;
        let id = format!("{CRASHING_ID_PREFIX}{request_number}");
        let body = match cause {
            CrashCause::Body => Bytes::from_static(CRASHING_BODY),
            CrashCause::Part => {
                model = MODELS[rng.random_range(0..MODELS.len())];
                id.clone().into()
            }
        };
        let router_index = rng.random_range(0..router_addresses.len());
        let started_at = Instant::now();
        let (kind, workspace) = (RequestKind::Chat, Workspace::Steady);
        let spec = RequestSpec {
            kind,
            workspace,
            id: &id,
            model,
            body,
            has_crashing_part: cause == CrashCause::Part,
            take_up: None,
            leaves_after: None,
        };
        let (outcome, ..) = send_request(router_addresses[router_index], None, &spec).await;
        let ended_at = Instant::now();
        let record = RequestRecord {
            id,
            kind,
            workspace,
            model,
            router_index,
            take_up: None,
            started_at,
            ended_at,
            outcome,
        };
        requests.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        let pause = rng.random_range(0..MAX_CRASHING_REQUEST_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let text = headers.get("retry-after").and_then(|value| value.to_str().ok());
    let seconds: f64 = text.and_then(|text| text.parse().ok()).unwrap_or(0.1);
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_DELAY).min(MAX_RETRY_DELAY)
}

fn is_complete(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Complete(StatusCode::OK, _))
}
