//! Configurations that were written, and whether routers have them in force in time.
//!
//! Each configuration has a route of its own. A router without that route answers 404, so that a question to each
//! router tells whether it has the newest configuration in force.

use crate::{
    leavings::{Interference, Restart, Scope},
    requests, workspaces,
};
use http::StatusCode;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::task::JoinHandle;

/// Time within which a configuration must be in force; the routers' default.
const WITHIN: Duration = Duration::from_secs(2);
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which the request of a probe may be overtaken by one that was sent later.
const OVERTAKING_TIME: Duration = Duration::from_millis(500);

/// A configuration that was written.
#[derive(Clone, Debug)]
struct Written {
    version: u64,
    /// Path prefix of its own route.
    prefix: String,
    /// When the store had acknowledged it, for the last time.
    acknowledged_at: Instant,
    /// Whether the store has lost it.
    is_lost: bool,
}

#[derive(Debug, Default)]
struct State {
    written: Vec<Written>,
    revocations: Vec<workspaces::Revocation>,
}

/// All configurations, in order.
#[derive(Clone, Debug, Default)]
pub struct Configs(Arc<Mutex<State>>);

impl Configs {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a configuration that is about to be written, which takes no time, and whether it takes a key away.
    pub fn record_written(&self, version: u64, prefix: &str, is_revoked: bool) {
        let mut state = self.lock();
        let acknowledged_at = Instant::now();
        let prefix = prefix.to_owned();
        state.written.push(Written { version, prefix, acknowledged_at, is_lost: false });
        if is_revoked {
            let revocation = workspaces::Revocation { version, acknowledged_at, restored_at: None };
            state.revocations.push(revocation);
        } else if let Some(revocation) = state.revocations.last_mut() {
            revocation.restored_at.get_or_insert(acknowledged_at);
        }
    }

    /// Records that the store has lost what it acknowledged since a time.
    pub fn record_lost(&self, copied_at: Instant) {
        let mut state = self.lock();
        let lost = state.written.iter_mut().filter(|config| config.acknowledged_at > copied_at);
        lost.for_each(|config| config.is_lost = true);
    }

    /// Records that the newest configuration was written again.
    pub fn record_written_again(&self) {
        let mut state = self.lock();
        let Some(config) = state.written.last_mut() else { return };
        config.is_lost = false;
        config.acknowledged_at = Instant::now();
        let (version, acknowledged_at) = (config.version, config.acknowledged_at);
        let revocation = state.revocations.iter_mut().find(|known| known.version == version);
        if let Some(revocation) = revocation {
            revocation.acknowledged_at = acknowledged_at;
        }
    }

    /// The times without the key that configurations take away.
    pub fn revocations(&self) -> Vec<workspaces::Revocation> {
        self.lock().revocations.clone()
    }

    /// Whether the key that configurations take away is there, at all routers in touch.
    pub fn has_revocable_key(&self) -> bool {
        let state = self.lock();
        let Some(revocation) = state.revocations.last() else { return true };
        revocation.restored_at.is_some_and(|at| at.elapsed() >= WITHIN)
    }

    fn newest(&self) -> Option<Written> {
        self.lock().written.last().cloned()
    }

    /// Whether a version is the newest one still.
    fn is_newest(&self, version: u64) -> bool {
        self.lock().written.last().is_some_and(|config| config.version == version)
    }
}

/// Whether a router had a configuration in force.
#[derive(Clone, Debug)]
struct Probe {
    router: usize,
    config: Written,
    sent_at: Instant,
    is_in_force: bool,
}

/// Asks all routers for the newest configuration until it is finished.
#[derive(Debug)]
pub struct Prober {
    probes: Arc<Mutex<Vec<Probe>>>,
    /// When questions were sent.
    sent_at: Arc<Mutex<Vec<Instant>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Prober {
    pub fn start(routers: &[SocketAddr], configs: &Configs) -> Self {
        let mut prober =
            Self { probes: Arc::default(), sent_at: Arc::default(), tasks: Vec::new() };
        for (router, addr) in routers.iter().enumerate() {
            let (probes, sent_at) = (prober.probes.clone(), prober.sent_at.clone());
            let task = ask(router, *addr, configs.clone(), probes, sent_at);
            prober.tasks.push(tokio::spawn(task));
        }
        prober
    }

    /// When questions were sent, which routers count as requests.
    pub fn sent_at(&self) -> Vec<Instant> {
        self.sent_at.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Ends the questions and checks the answers.
    pub fn finish(&self, interferences: &[Interference], restarts: &[Restart]) -> Vec<String> {
        self.tasks.iter().for_each(JoinHandle::abort);
        let probes = self.probes.lock().unwrap_or_else(PoisonError::into_inner);
        let mut violations = late(&probes, interferences);
        violations.extend(come_back_older(&probes, restarts));
        violations
    }
}

async fn ask(
    router: usize,
    addr: SocketAddr,
    configs: Configs,
    probes: Arc<Mutex<Vec<Probe>>>,
    all_sent_at: Arc<Mutex<Vec<Instant>>>,
) {
    let mut number = 0_u64;
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let Some(config) = configs.newest() else { continue };
        number += 1;
        let (path, id) = (format!("{}x", config.prefix), format!("probe-{router}-{number}"));
        let sent_at = Instant::now();
        all_sent_at.lock().unwrap_or_else(PoisonError::into_inner).push(sent_at);
        let Some(status) = requests::request_status(addr, &path, &id).await else { continue };
        // A later configuration drops the route. A router that knows none yet answers 503.
        if configs.is_newest(config.version) && status != StatusCode::SERVICE_UNAVAILABLE {
            let is_in_force = status != StatusCode::NOT_FOUND;
            let probe = Probe { router, config, sent_at, is_in_force };
            probes.lock().unwrap_or_else(PoisonError::into_inner).push(probe);
        }
    }
}

/// Configurations that were not in force in time at routers in touch.
fn late(probes: &[Probe], interferences: &[Interference]) -> Vec<String> {
    let mut by_version: BTreeMap<u64, Vec<&Probe>> = BTreeMap::new();
    for probe in probes {
        let affects =
            |fault: &Interference| fault.affects(Scope::Router(probe.router), probe.sent_at);
        let is_due = probe.sent_at > probe.config.acknowledged_at + WITHIN;
        if !probe.is_in_force
            && !probe.config.is_lost
            && is_due
            && !interferences.iter().any(affects)
        {
            by_version.entry(probe.config.version).or_default().push(probe);
        }
    }
    let late = by_version.into_iter().map(|(version, probes)| {
        let routers: BTreeSet<usize> = probes.iter().map(|probe| probe.router).collect();
        let delays = probes.iter().map(|probe| probe.sent_at - probe.config.acknowledged_at);
        let longest = delays.max().unwrap_or_default();
        format!("configuration {version} not in force up to {longest:?} after it was acknowledged, at routers {routers:?}")
    });
    late.collect()
}

/// Configurations that were in force at a router that ran all the while, and then no longer.
fn come_back_older(probes: &[Probe], restarts: &[Restart]) -> Vec<String> {
    let older = probes.iter().filter(|probe| !probe.is_in_force).filter(|probe| {
        probes.iter().any(|earlier| {
            earlier.router == probe.router
                && earlier.config.version == probe.config.version
                && earlier.is_in_force
                && earlier.sent_at + OVERTAKING_TIME < probe.sent_at
                && !restarts
                    .iter()
                    .any(|restart| restart.excuses(probe.router, earlier.sent_at, probe.sent_at))
        })
    });
    let older = older.map(|probe| {
        let Probe { router, config, .. } = probe;
        format!("configuration {} no longer in force at router {router}", config.version)
    });
    older.collect()
}
