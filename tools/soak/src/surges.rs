//! A workspace that asks for several times its usual for some seconds, beside others that are below their share.

use crate::{
    callers::{Outcome, RequestRecord},
    checks::{self, Disruption},
    leavings::Interference,
    workspaces::Workspace,
};
use http::StatusCode;
use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// Callers of a router that always send.
const USUAL_CALLERS_PER_ROUTER: usize = 12;
/// One in this many of them belongs to the workspace that surges.
const SURGING_DIVISOR: usize = 3;
/// What the workspace asks for in a surge, in multiples of its usual.
const SURGE_FACTOR: usize = 7;
const SURGE_TIME: Duration = Duration::from_secs(5);
const CALM_TIME: Duration = Duration::from_secs(5);
/// Requests that are sent so shortly after a surge still meet those of the surge.
const AFTERMATH: Duration = Duration::from_secs(1);
/// Twice the time that a stream takes which begins at its latency objective.
const IN_TIME: Duration = Duration::from_millis(1_800);
/// Of the ratio of requests served in time without a surge, the least of those of the others in one.
const MIN_RATIO_OF_USUAL: f64 = 0.5;
/// Time after the end of an engine in which its work goes to the others.
const LOST_ENGINE_TIME: Duration = Duration::from_secs(3);
/// Fewer requests say nothing.
const MIN_REQUESTS: usize = 40;

/// Interval at which a caller of a surge looks whether there is one.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without faults at the beginning of a run: without a surge, and with one.
pub const UNDISTURBED_TIME: Duration =
    CALM_TIME.saturating_add(SURGE_TIME).saturating_add(AFTERMATH);

#[derive(Clone, Copy, Debug)]
struct Surge {
    started_at: Instant,
    ended_at: Option<Instant>,
}

impl Surge {
    fn has(&self, at: Instant, aftermath: Duration) -> bool {
        at >= self.started_at && self.ended_at.is_none_or(|ended_at| at <= ended_at + aftermath)
    }
}

/// The surges of a run.
#[derive(Clone, Debug)]
pub struct Surges {
    workspace: Workspace,
    usual_callers: usize,
    is_on: Arc<AtomicBool>,
    surges: Arc<Mutex<Vec<Surge>>>,
}

impl Surges {
    /// A run without surges.
    pub fn none() -> Self {
        Self {
            workspace: Workspace::Steady,
            usual_callers: usize::MAX,
            is_on: Arc::default(),
            surges: Arc::default(),
        }
    }

    /// A run in which a workspace surges: one that exceeds its quota then, or one that competes with the others for the
    /// slots of engines.
    pub fn new(seed: u64, routers: usize) -> Self {
        let workspace =
            if seed.is_multiple_of(2) { Workspace::Limited } else { Workspace::Surging };
        Self { workspace, usual_callers: USUAL_CALLERS_PER_ROUTER * routers, ..Self::none() }
    }

    /// Callers, those of a surge included.
    pub const fn callers(&self) -> usize {
        self.usual_callers + self.usual_callers / SURGING_DIVISOR * (SURGE_FACTOR - 1)
    }

    /// The workspace of a caller.
    pub const fn workspace_of(&self, caller: usize) -> Workspace {
        let surges = caller >= self.usual_callers || caller.is_multiple_of(SURGING_DIVISOR);
        if surges { self.workspace } else { Workspace::Steady }
    }

    /// Lets the workspace surge again and again until the task is aborted.
    pub fn start(&self) -> tokio::task::JoinHandle<()> {
        let surges = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(CALM_TIME).await;
                println!("  {:?} asks for {SURGE_FACTOR} times its usual", surges.workspace);
                surges.lock().push(Surge { started_at: Instant::now(), ended_at: None });
                surges.is_on.store(true, Ordering::Relaxed);
                tokio::time::sleep(SURGE_TIME).await;
                surges.end();
            }
        })
    }

    /// Ends the surge.
    pub fn end(&self) {
        self.is_on.store(false, Ordering::Relaxed);
        if let Some(surge) = self.lock().last_mut() {
            surge.ended_at.get_or_insert_with(Instant::now);
        }
    }

    /// Waits until a caller is to send: those of a surge send in one only.
    pub async fn wait_for_turn(&self, caller: usize, stop: &AtomicBool) {
        let is_called = || caller < self.usual_callers || self.is_on.load(Ordering::Relaxed);
        while !is_called() && !stop.load(Ordering::Relaxed) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Surge>> {
        self.surges.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks that streams of a workspace below its share are served in a surge of another one half as well as at other
    /// times.
    pub fn violation(
        &self,
        requests: &[RequestRecord],
        disruptions: &[Disruption],
        interferences: &[Interference],
        crashes: &[Instant],
    ) -> Option<String> {
        let surges = self.lock().clone();
        let in_surge = |request: &&&RequestRecord| {
            surges.iter().any(|surge| surge.has(request.started_at, Duration::ZERO))
        };
        let is_calm = |request: &&&RequestRecord| {
            !surges.iter().any(|surge| surge.has(request.started_at, AFTERMATH))
        };
        let counted: Vec<&RequestRecord> = requests
            .iter()
            .filter(|request| {
                request.workspace == Workspace::Steady
                    && request.kind.streams()
                    && checks::is_undisturbed(request, disruptions, interferences)
                    && !lacks_engines(request, crashes)
            })
            .collect();
        let surging = Served::count(counted.iter().filter(in_surge).copied());
        let calm = Served::count(counted.iter().filter(is_calm).copied());
        println!("  streams of others in time in surges {surging:?}, at other times {calm:?}");
        let is_enough = surging.requests >= MIN_REQUESTS && calm.requests >= MIN_REQUESTS;
        (is_enough && surging.ratio() < calm.ratio() * MIN_RATIO_OF_USUAL).then(|| {
            let workspace = self.workspace;
            format!("while {workspace:?} surged, others were served {surging:?}, usually {calm:?}")
        })
    }
}

/// Whether an engine had ended when the request was handled, or shortly before.
fn lacks_engines(request: &RequestRecord, crashes: &[Instant]) -> bool {
    crashes.iter().any(|at| request.ended_at >= *at && request.started_at <= *at + LOST_ENGINE_TIME)
}

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    requests: usize,
    in_time: usize,
}

impl Served {
    fn count<'a>(requests: impl Iterator<Item = &'a RequestRecord>) -> Self {
        requests.fold(Self::default(), |count, request| {
            let is_whole = matches!(request.outcome, Outcome::Complete(StatusCode::OK, _));
            let is_in_time = is_whole && request.ended_at - request.started_at <= IN_TIME;
            Self { requests: count.requests + 1, in_time: count.in_time + usize::from(is_in_time) }
        })
    }

    fn ratio(self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }
}
