//! Faults drawn from a seed, injected and reverted.

use crate::{
    checks::Disruption,
    cluster::{Cluster, ManagedProcess, ProxiedTarget},
    datagrams::Cut,
    leavings::{Interference, Scope},
    proxy::Mode,
};
use corianderstand_platform_standins::{
    settings,
    store::FaultMode,
    target::{Leaving, Target, TargetFaults, endless::Endless},
};
use nix::sys::signal::Signal;
use rand::{Rng, RngExt};
use std::{
    net::TcpStream,
    time::{Duration, Instant},
};

/// Time limit of a graceful shutdown, after which the platform kills the process.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_FAULT_MS: u64 = 2_500;
/// Time for which a leaving target serves: the bound, and at times much more.
const MIN_LEAVING_MS: u64 = 3_000;
const MAX_LEAVING_MS: u64 = 10_000;
const READER_FAULT_RATIO: f64 = 0.6;
/// A router counts as gone after 2.6 s without a word.
const MAX_ISOLATION_MS: u64 = 5_000;
const REFUSAL_RATIO: f64 = 0.97;
const RESTING: TargetFaults = TargetFaults {
    command_loss_ratio: 0.0,
    failure_ratio: 0.0,
    refusal_ratio: 0.8,
    rest: Some(Duration::from_millis(2_200)),
};
/// Ages of copies that the store goes back to.
const MIN_COPY_AGE_MS: u64 = 500;
const MAX_COPY_AGE_MS: u64 = 9_000;
/// More than two windows of the retry budget.
const MAX_CUT_MS: u64 = 10_000;
/// Targets leave while the store is away.
const MAX_STORE_FAULT_MS: u64 = 6_000;
/// A process that is killed soon starts again, so that it may be killed twice within a window.
const MAX_DOWN_MS: u64 = 900;
/// Time until the platform removes the entry of a target that has ended.
const TARGET_ENTRY_TTL: Duration = Duration::from_millis(1_500);
/// Time for which a draining target continues to serve.
const TARGET_DRAIN_TIME: Duration = Duration::from_millis(2_500);

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Fault {
    KillRouter(usize),
    /// Shut a router down gracefully and restart it.
    StopRouter(usize),
    FreezeRouter(usize),
    /// Send SIGHUP to a router, so that it reloads its settings.
    ReloadRouter(usize),
    KillAgent(usize),
    FreezeAgent(usize),
    /// Crash an engine and restart it under a new name.
    CrashEngine(usize),
    /// Crash a target of the plain service and restart it under a new name.
    CrashService(usize),
    DrainEngine(usize),
    /// Have an engine leave and restart it when it has left.
    LeaveEngine(usize, LeavingForm),
    /// Have a target of the plain service leave and restart it when it has left.
    LeaveService(usize, LeavingForm),
    /// Let a router run for a quarter of the time.
    StarveRouter(usize),
    /// Fail a part of an engine's requests.
    FailEngine(usize),
    /// At all engines, execute a part of the commands late and without a response.
    LoseCommands,
    /// Have an engine turn most requests away and ask for rest.
    RestEngine(usize),
    /// Have all targets turn most requests away and ask for rest.
    RestAll,
    /// Have all targets turn nearly all requests away.
    RefuseAll,
    /// Freeze all routers but one, which then hears no other.
    FreezeOthers(usize),
    /// Lose datagrams between routers.
    LoseDatagrams(Cut),
    /// Impair the connections to an engine.
    EngineLink(usize, Mode),
    /// Impair the connections to a target of the plain service.
    ServiceLink(usize, Mode),
    /// Have an engine send bytes without end in a part of its answers.
    EndlessEngine(usize, Endless),
    /// Have a target of the plain service send bytes without end in a part of its answers.
    EndlessService(usize, Endless),
    StoreLink(usize, Mode),
    /// Impair callers' connections to a router.
    FrontLink(usize, Mode),
    Store(FaultMode),
    DiscardHistory,
    /// Have the store go back to a copy of this age.
    RestoreStore(Duration),
    Configure,
    /// Write entries that cannot be parsed or name no engine of this deployment.
    InvalidEntry,
    /// Kill and restart all routers and agents at once.
    KillAll,
}

pub fn draw_fault(rng: &mut impl Rng, cluster: &Cluster) -> (Fault, Duration) {
    let router = rng.random_range(0..cluster.routers.len());
    let engine = rng.random_range(0..cluster.engines.len());
    let service = rng.random_range(0..cluster.service_targets.len());
    let mode = draw_proxy_mode(rng);
    let store_fault = match rng.random_range(0..3) {
        0 => FaultMode::Unavailable,
        1 => FaultMode::Unresponsive,
        _ => FaultMode::Slow(Duration::from_millis(rng.random_range(50..400))),
    };
    let fault = match rng.random_range(0..36) {
        0..3 => Fault::KillRouter(router),
        3..7 => Fault::StopRouter(router),
        7..9 => Fault::FreezeRouter(router),
        9 => Fault::ReloadRouter(router),
        10 => Fault::KillAgent(engine),
        11 => Fault::FreezeAgent(engine),
        12..15 => Fault::CrashEngine(engine),
        15..17 => Fault::DrainEngine(engine),
        17 => Fault::FailEngine(engine),
        18..20 => Fault::LoseCommands,
        20..23 => Fault::EngineLink(engine, mode),
        23..25 => Fault::StoreLink(router, mode),
        25 => Fault::FrontLink(router, mode),
        26..28 => Fault::Store(store_fault),
        28..30 => Fault::DiscardHistory,
        30..32 => Fault::Configure,
        32..34 => Fault::InvalidEntry,
        34 => Fault::CrashService(service),
        _ => Fault::KillAll,
    };
    (fault, Duration::from_millis(rng.random_range(200..MAX_FAULT_MS)))
}

/// How a target leaves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LeavingForm {
    Announced,
    Unannounced,
    AtShortNotice(Duration),
}

/// Draws faults for runs with several zones: targets that leave, beside faults of the routers that read the store
/// for their zones.
pub fn draw_zone_fault(rng: &mut impl Rng, cluster: &Cluster) -> (Fault, Duration) {
    let served = Duration::from_millis(rng.random_range(MIN_LEAVING_MS..MAX_LEAVING_MS));
    let form = match rng.random_range(0..3) {
        0 => LeavingForm::Announced,
        1 => LeavingForm::Unannounced,
        _ => LeavingForm::AtShortNotice(served),
    };
    let engine = rng.random_range(0..cluster.engines.len());
    let service = rng.random_range(0..cluster.service_targets.len());
    let reader = cluster.readers[rng.random_range(0..cluster.readers.len())];
    let router = rng.random_range(0..cluster.routers.len());
    let router = if rng.random_bool(READER_FAULT_RATIO) { reader } else { router };
    let fault = match rng.random_range(0..30) {
        0..9 => Fault::LeaveEngine(engine, form),
        9..12 => Fault::LeaveService(service, form),
        12..16 => Fault::KillRouter(router),
        16..18 => Fault::StopRouter(router),
        18..22 => Fault::FreezeRouter(router),
        22..24 => Fault::StarveRouter(router),
        24 => Fault::StoreLink(router, draw_proxy_mode(rng)),
        25 => Fault::KillAgent(engine),
        26 => Fault::FreezeAgent(engine),
        27..29 => Fault::DiscardHistory,
        _ => return draw_fault(rng, cluster),
    };
    let duration = match fault {
        Fault::LeaveEngine(..) | Fault::LeaveService(..) => served,
        _ => Duration::from_millis(rng.random_range(200..MAX_FAULT_MS)),
    };
    (fault, duration)
}

/// Draws faults for runs in which all engines turn requests away at once, beside faults of the routers.
pub fn draw_burst_fault(rng: &mut impl Rng, cluster: &Cluster) -> (Fault, Duration) {
    let router = rng.random_range(0..cluster.routers.len());
    let fault = match rng.random_range(0..20) {
        0..8 => Fault::RefuseAll,
        8..11 => Fault::KillRouter(router),
        11 => Fault::FreezeRouter(router),
        12..14 => Fault::FreezeOthers(router),
        14..17 => Fault::KillAll,
        17 => Fault::StoreLink(router, draw_proxy_mode(rng)),
        18 => Fault::StopRouter(router),
        _ => return draw_fault(rng, cluster),
    };
    let longest = match fault {
        Fault::FreezeOthers(_) => MAX_ISOLATION_MS,
        Fault::KillRouter(_) | Fault::KillAll => MAX_DOWN_MS,
        _ => MAX_FAULT_MS,
    };
    (fault, Duration::from_millis(rng.random_range(300..longest)))
}

/// Draws faults for runs in which all engines turn requests away at once while routers cannot hear each other.
pub fn draw_cut_fault(rng: &mut impl Rng, cluster: &Cluster) -> (Fault, Duration) {
    let router = rng.random_range(0..cluster.routers.len());
    let cut = match rng.random_range(0..5) {
        0 => Cut::From(router),
        1 => Cut::To(router),
        2 => Cut::Both(router),
        _ => Cut::Between(rng.random_range(1..cluster.routers.len())),
    };
    let fault = match rng.random_range(0..20) {
        0..8 => Fault::RefuseAll,
        8..14 => Fault::LoseDatagrams(cut),
        14..16 => Fault::KillRouter(router),
        16 => Fault::KillAll,
        17 => Fault::StoreLink(router, draw_proxy_mode(rng)),
        18 => Fault::FreezeRouter(router),
        _ => return draw_fault(rng, cluster),
    };
    let longest = match fault {
        Fault::LoseDatagrams(_) => MAX_CUT_MS,
        Fault::KillRouter(_) | Fault::KillAll => MAX_DOWN_MS,
        _ => MAX_FAULT_MS,
    };
    (fault, Duration::from_millis(rng.random_range(300..longest)))
}

/// Draws faults for runs in which targets say in their answers that they leave while the store is away, or ask for
/// rest, beside faults of the routers.
pub fn draw_answer_fault(rng: &mut impl Rng, cluster: &Cluster) -> (Fault, Duration) {
    let router = rng.random_range(0..cluster.routers.len());
    let engine = rng.random_range(0..cluster.engines.len());
    let service = rng.random_range(0..cluster.service_targets.len());
    let served = Duration::from_millis(rng.random_range(MIN_LEAVING_MS..MAX_LEAVING_MS));
    let fault = match rng.random_range(0..24) {
        0..4 => Fault::LeaveEngine(engine, LeavingForm::Announced),
        4..6 => Fault::LeaveService(service, LeavingForm::Announced),
        6..8 => Fault::Store(FaultMode::Unavailable),
        8..11 => Fault::Store(FaultMode::Unresponsive),
        11..16 => Fault::RestEngine(engine),
        16..18 => Fault::RestAll,
        18 => Fault::RefuseAll,
        19 => Fault::KillRouter(router),
        20 => Fault::FreezeRouter(router),
        21 => Fault::StoreLink(router, draw_proxy_mode(rng)),
        22 => Fault::CrashEngine(engine),
        _ => return draw_fault(rng, cluster),
    };
    let longest = match fault {
        Fault::LeaveEngine(..) | Fault::LeaveService(..) => return (fault, served),
        Fault::Store(_) => MAX_STORE_FAULT_MS,
        _ => MAX_FAULT_MS,
    };
    (fault, Duration::from_millis(rng.random_range(300..longest)))
}

/// Draws faults for runs in which the store goes back to older copies beside all others.
pub fn draw_copy_fault(rng: &mut impl Rng, cluster: &Cluster) -> (Fault, Duration) {
    let router = rng.random_range(0..cluster.routers.len());
    let age = Duration::from_millis(rng.random_range(MIN_COPY_AGE_MS..MAX_COPY_AGE_MS));
    let fault = match rng.random_range(0..20) {
        0..4 => Fault::RestoreStore(age),
        4..8 => Fault::Configure,
        8 => Fault::Store(FaultMode::Unavailable),
        9 => Fault::StoreLink(router, draw_proxy_mode(rng)),
        10 => Fault::LoseDatagrams(Cut::Both(router)),
        11 => Fault::LoseDatagrams(Cut::Between(1 + router / 2)),
        _ => return draw_zone_fault(rng, cluster),
    };
    (fault, Duration::from_millis(rng.random_range(300..MAX_FAULT_MS)))
}

fn draw_proxy_mode(rng: &mut impl Rng) -> Mode {
    match rng.random_range(0..4) {
        0 => Mode::Delay(Duration::from_millis(rng.random_range(5..120))),
        1 => Mode::Hold,
        2 => Mode::HoldResponses,
        _ => Mode::Reset,
    }
}

impl Fault {
    /// Injects the fault; [`Fault::revert`] undoes it.
    pub fn inject(self, cluster: &mut Cluster) {
        match self {
            Self::KillRouter(index) => kill(&mut cluster.routers[index].process),
            Self::StopRouter(index) => signal(&cluster.routers[index].process, Signal::SIGTERM),
            Self::FreezeRouter(index) => freeze(&cluster.routers[index].process),
            Self::ReloadRouter(index) => reload(&cluster.routers[index]),
            Self::KillAgent(index) => kill(&mut cluster.agents[index].process),
            Self::FreezeAgent(index) => freeze(&cluster.agents[index].process),
            Self::CrashEngine(index) => cluster.engines[index].target.crash(),
            Self::CrashService(index) => cluster.service_targets[index].target.crash(),
            Self::DrainEngine(index) => cluster.engines[index].target.leave(Leaving::Announced),
            Self::LeaveEngine(index, form) => leave(&cluster.engines[index].target, form),
            Self::LeaveService(index, form) => leave(&cluster.service_targets[index].target, form),
            Self::StarveRouter(index) => cluster.routers[index].starve(),
            Self::FailEngine(index) => {
                cluster.engines[index]
                    .target
                    .set_faults(TargetFaults { failure_ratio: 0.3, ..TargetFaults::default() });
            }
            Self::LoseCommands => set_all_engine_faults(
                cluster,
                TargetFaults { command_loss_ratio: 0.5, ..TargetFaults::default() },
            ),
            Self::RestEngine(index) => cluster.engines[index].target.set_faults(RESTING),
            Self::RestAll => set_all_target_faults(cluster, RESTING),
            Self::RefuseAll => set_all_target_faults(
                cluster,
                TargetFaults { refusal_ratio: REFUSAL_RATIO, ..TargetFaults::default() },
            ),
            Self::FreezeOthers(index) => {
                others(cluster, index).for_each(|router| freeze(&router.process));
            }
            Self::LoseDatagrams(cut) => cluster.lose_datagrams(Some(cut)),
            Self::EngineLink(index, mode) => cluster.engines[index].target_proxy.set(mode),
            Self::ServiceLink(index, mode) => {
                cluster.service_targets[index].target_proxy.set(mode);
            }
            Self::EndlessEngine(index, endless) => {
                cluster.engines[index].target.set_endless(Some(endless));
            }
            Self::EndlessService(index, endless) => {
                cluster.service_targets[index].target.set_endless(Some(endless));
            }
            Self::StoreLink(index, mode) => cluster.routers[index].store_proxy.set(mode),
            Self::FrontLink(index, mode) => cluster.router_proxies[index].set(mode),
            Self::Store(store_fault) => cluster.store.set_fault_mode(store_fault),
            Self::DiscardHistory => cluster.store.compact(),
            Self::RestoreStore(age) => cluster.restore_store(age),
            Self::Configure => drop(cluster.configure()),
            Self::InvalidEntry => cluster.write_invalid_entries(),
            Self::KillAll => {
                let processes = cluster.routers.iter_mut().chain(&mut cluster.agents);
                processes.for_each(|managed| kill(&mut managed.process));
            }
        }
    }

    /// Reverts the fault; returns a violation, if there was one.
    pub async fn revert(self, cluster: &mut Cluster) -> Option<String> {
        match self {
            Self::KillRouter(index) => cluster.routers[index].start(),
            Self::StopRouter(index) => {
                return restart_after_shutdown(&mut cluster.routers[index]).await;
            }
            Self::FreezeRouter(index) => signal(&cluster.routers[index].process, Signal::SIGCONT),
            Self::KillAgent(index) => cluster.agents[index].start(),
            Self::FreezeAgent(index) => signal(&cluster.agents[index].process, Signal::SIGCONT),
            Self::CrashEngine(index) => {
                cluster.engines[index].target.remove_entry();
                cluster.engines[index].start().await;
            }
            Self::CrashService(index) => {
                cluster.service_targets[index].target.remove_entry();
                cluster.service_targets[index].start().await;
            }
            Self::DrainEngine(index) => {
                tokio::time::sleep(TARGET_DRAIN_TIME).await;
                cluster.engines[index].target.crash();
                tokio::time::sleep(TARGET_ENTRY_TTL).await;
                cluster.engines[index].target.remove_entry();
                cluster.engines[index].start().await;
            }
            Self::LeaveEngine(index, _) => end_leaving(&mut cluster.engines[index]).await,
            Self::LeaveService(index, _) => end_leaving(&mut cluster.service_targets[index]).await,
            Self::StarveRouter(index) => cluster.routers[index].end_starvation(),
            Self::FailEngine(index) | Self::RestEngine(index) => {
                cluster.engines[index].target.set_faults(TargetFaults::default());
            }
            Self::LoseCommands => set_all_engine_faults(cluster, TargetFaults::default()),
            Self::RefuseAll | Self::RestAll => {
                set_all_target_faults(cluster, TargetFaults::default());
            }
            Self::FreezeOthers(index) => {
                others(cluster, index).for_each(|router| signal(&router.process, Signal::SIGCONT));
            }
            Self::LoseDatagrams(_) => cluster.lose_datagrams(None),
            Self::EngineLink(index, _) => cluster.engines[index].target_proxy.set(Mode::Pass),
            Self::ServiceLink(index, _) => {
                cluster.service_targets[index].target_proxy.set(Mode::Pass);
            }
            Self::EndlessEngine(index, _) => cluster.engines[index].target.set_endless(None),
            Self::EndlessService(index, _) => {
                cluster.service_targets[index].target.set_endless(None);
            }
            Self::StoreLink(index, _) => cluster.routers[index].store_proxy.set(Mode::Pass),
            Self::FrontLink(index, _) => cluster.router_proxies[index].set(Mode::Pass),
            Self::Store(_) => cluster.store.set_fault_mode(FaultMode::Healthy),
            Self::KillAll => {
                let processes = cluster.routers.iter_mut().chain(&mut cluster.agents);
                processes.for_each(ManagedProcess::start);
            }
            Self::ReloadRouter(_)
            | Self::DiscardHistory
            | Self::RestoreStore(_)
            | Self::Configure
            | Self::InvalidEntry => {}
        }
        None
    }

    /// When and where the fault excuses a request that arrives late at a leaving target.
    pub fn interference(self, started_at: Instant, ended_at: Instant) -> Option<Interference> {
        let scope = match self {
            Self::KillRouter(index)
            | Self::StopRouter(index)
            | Self::FreezeRouter(index)
            | Self::StoreLink(index, _)
            | Self::FrontLink(index, _) => Scope::Router(index),
            Self::EngineLink(index, _) => Scope::Engine(index),
            Self::Store(_) | Self::KillAll | Self::FreezeOthers(_) => Scope::All,
            _ => return None,
        };
        Some(Interference { scope, started_at, ended_at })
    }

    /// The routers that start again or go on after it.
    pub fn restarted_routers(self, router_count: usize) -> Vec<usize> {
        match self {
            Self::KillRouter(index)
            | Self::StopRouter(index)
            | Self::FreezeRouter(index)
            | Self::StarveRouter(index) => vec![index],
            Self::KillAll | Self::FreezeOthers(_) => (0..router_count).collect(),
            _ => Vec::new(),
        }
    }

    pub fn disruptions(
        self,
        router_count: usize,
        started_at: Instant,
        ended_at: Instant,
    ) -> Vec<Disruption> {
        let one = |router_index, is_graceful_shutdown| {
            vec![Disruption { router_index, started_at, ended_at, is_graceful_shutdown }]
        };
        match self {
            Self::KillRouter(index) | Self::FreezeRouter(index) | Self::FrontLink(index, _) => {
                one(index, false)
            }
            Self::StopRouter(index) => one(index, true),
            Self::KillAll | Self::FreezeOthers(_) => {
                let all = 0..router_count;
                all.map(|router_index| Disruption {
                    router_index,
                    started_at,
                    ended_at,
                    is_graceful_shutdown: false,
                })
                .collect()
            }
            _ => Vec::new(),
        }
    }
}

/// All routers but one.
fn others(cluster: &Cluster, index: usize) -> impl Iterator<Item = &ManagedProcess> {
    let routers = cluster.routers.iter().enumerate();
    routers.filter(move |(other, _)| *other != index).map(|(_, router)| router)
}

fn leave(target: &Target, form: LeavingForm) {
    target.leave(match form {
        LeavingForm::Announced => Leaving::Announced,
        LeavingForm::Unannounced => Leaving::Unannounced,
        LeavingForm::AtShortNotice(time) => Leaving::GoneAt(Instant::now() + time),
    });
}

async fn end_leaving(target: &mut ProxiedTarget) {
    target.target.crash();
    target.target.remove_entry();
    target.start().await;
}

fn kill(process: &mut Option<testbed::process::Process>) {
    if let Some(process) = process.as_mut() {
        process.kill();
    }
    *process = None;
}

fn freeze(process: &Option<testbed::process::Process>) {
    if let Some(process) = process {
        process.freeze();
    }
}

fn signal(process: &Option<testbed::process::Process>, signal: Signal) {
    if let Some(process) = process {
        process.signal(signal);
    }
}

/// Has a router reload its settings, if it listens: SIGHUP ends a process that has only just begun to start.
fn reload(router: &ManagedProcess) {
    if TcpStream::connect(settings::ready(router.ip)).is_ok() {
        signal(&router.process, Signal::SIGHUP);
    }
}

fn set_all_engine_faults(cluster: &Cluster, target_faults: TargetFaults) {
    cluster.engines.iter().for_each(|engine| engine.target.set_faults(target_faults));
}

fn set_all_target_faults(cluster: &Cluster, target_faults: TargetFaults) {
    let targets = cluster.engines.iter().chain(&cluster.service_targets);
    targets.for_each(|target| target.target.set_faults(target_faults));
}

/// Waits until a router has shut down, and restarts it.
async fn restart_after_shutdown(managed: &mut ManagedProcess) -> Option<String> {
    let mut violation = None;
    if let Some(mut process) = managed.process.take() {
        let started_at = Instant::now();
        while process.is_running() && started_at.elapsed() < SHUTDOWN_TIMEOUT {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if process.is_running() {
            violation =
                Some(format!("{} did not shut down within {SHUTDOWN_TIMEOUT:?}", managed.name));
        }
    }
    managed.start();
    violation
}
