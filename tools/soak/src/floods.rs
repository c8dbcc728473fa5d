//! A load balancer that hands most new connections to one router, to another one after some seconds.

use crate::{
    callers::{Outcome, RequestRecord},
    checks::{self, Disruption},
    leavings::Interference,
    workspaces::Workspace,
};
use http::StatusCode;
use rand::{Rng, RngExt};
use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

/// Share of the new connections that the preferred router gets.
const PREFERRED_RATIO: f64 = 0.9;
/// Share of the requests for which callers open a new connection meanwhile.
const RECONNECT_RATIO: f64 = 0.7;
const FLOOD_TIME: Duration = Duration::from_secs(6);
const CALM_TIME: Duration = Duration::from_secs(3);
/// Requests sent earlier in a flood may find the router unprepared.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Of the ratio of requests served at other times, the least that must be served in a flood.
const MIN_RATIO_OF_USUAL: f64 = 0.75;
/// Fewer requests say nothing.
const MIN_REQUESTS: usize = 40;
const NONE: usize = usize::MAX;

/// A time in which a router gets most new connections.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    router: usize,
    started_at: Instant,
    ended_at: Instant,
}

/// Chooses the router of each new connection.
#[derive(Clone, Debug)]
pub struct Balancer {
    preferred: Arc<AtomicUsize>,
    floods: Arc<Mutex<Vec<Flood>>>,
}

impl Default for Balancer {
    fn default() -> Self {
        Self { preferred: Arc::new(AtomicUsize::new(NONE)), floods: Arc::default() }
    }
}

impl Balancer {
    /// The router of a new connection.
    pub fn choose(&self, rng: &mut impl Rng, routers: usize) -> usize {
        let drawn = rng.random_range(0..routers);
        match self.preferred.load(Ordering::Relaxed) {
            NONE => drawn,
            _ if !rng.random_bool(PREFERRED_RATIO) => drawn,
            preferred => preferred,
        }
    }

    /// Whether a caller opens a new connection though it has one.
    pub fn reconnects(&self, rng: &mut impl Rng) -> bool {
        self.preferred.load(Ordering::Relaxed) != NONE && rng.random_bool(RECONNECT_RATIO)
    }

    /// Prefers one router after the other until the task is aborted.
    pub fn start_floods(
        &self,
        mut rng: impl Rng + Send + 'static,
        routers: usize,
    ) -> tokio::task::JoinHandle<()> {
        let balancer = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(CALM_TIME).await;
                let router = rng.random_range(0..routers);
                let started_at = Instant::now();
                println!("  router {router} gets most new connections");
                balancer.preferred.store(router, Ordering::Relaxed);
                tokio::time::sleep(FLOOD_TIME).await;
                balancer.preferred.store(NONE, Ordering::Relaxed);
                let flood = Flood { router, started_at, ended_at: Instant::now() };
                balancer.floods.lock().unwrap_or_else(PoisonError::into_inner).push(flood);
            }
        })
    }

    /// Ends the preference.
    pub fn end_floods(&self) {
        self.preferred.store(NONE, Ordering::Relaxed);
    }

    /// Checks that a router that gets most new connections serves what it reads as others do at other times.
    pub fn violation(
        &self,
        requests: &[RequestRecord],
        disruptions: &[Disruption],
        interferences: &[Interference],
        crashes: &[Instant],
    ) -> Option<String> {
        let floods = self.floods.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let is_flooded = |request: &&&RequestRecord| {
            floods.iter().any(|flood| {
                flood.router == request.router_index
                    && request.started_at >= flood.started_at + STABLE_TIME
                    && request.started_at <= flood.ended_at
            })
        };
        let is_calm = |request: &&&RequestRecord| {
            let mut near = floods.iter().filter(|flood| {
                request.started_at >= flood.started_at && request.started_at <= flood.ended_at
            });
            near.next().is_none()
        };
        let counted: Vec<&RequestRecord> = requests
            .iter()
            .filter(|request| {
                request.workspace == Workspace::Steady
                    && checks::is_undisturbed(request, disruptions, interferences)
                    && !lacks_engines(request, crashes)
                    && was_read(request)
            })
            .collect();
        let flooded = Served::count(counted.iter().filter(is_flooded).copied());
        let calm = Served::count(counted.iter().filter(is_calm).copied());
        println!("  served while flooded {flooded:?}, at other times {calm:?}");
        let is_enough = flooded.requests >= MIN_REQUESTS && calm.requests >= MIN_REQUESTS;
        (is_enough && flooded.ratio() < calm.ratio() * MIN_RATIO_OF_USUAL).then(|| {
            format!("a router that got most new connections served {flooded:?}, usually {calm:?}")
        })
    }
}

/// Whether an engine had ended under a request when this one was handled, or shortly before.
fn lacks_engines(request: &RequestRecord, crashes: &[Instant]) -> bool {
    crashes.iter().any(|at| request.ended_at >= *at && request.started_at <= *at + STABLE_TIME)
}

/// Whether a router has read the request, as far as its caller knows.
fn was_read(request: &RequestRecord) -> bool {
    !matches!(request.outcome, Outcome::Closed | Outcome::NoConnection)
}

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    requests: usize,
    served: usize,
}

impl Served {
    fn count<'a>(requests: impl Iterator<Item = &'a RequestRecord>) -> Self {
        requests.fold(Self::default(), |count, request| Self {
            requests: count.requests + 1,
            served: count.served
                + usize::from(matches!(request.outcome, Outcome::Complete(StatusCode::OK, _))),
        })
    }

    fn ratio(self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}
