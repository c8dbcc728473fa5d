//! Faults drawn from a seed, injected and reverted.

use crate::{checks::Trouble, cluster::World, proxy::Mode};
use corianderstand_platform_standins::{store::Mood, target::Ills};
use nix::sys::signal::Signal;
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// Time limit of a graceful shutdown, after which the platform kills the process.
const STOP_WITHIN: Duration = Duration::from_secs(10);
/// Maximum duration of a fault.
const LONGEST_MS: u64 = 2_500;
/// Time until the platform removes the entry of a target that has ended.
const LAPSE: Duration = Duration::from_millis(1_500);
/// Time for which a draining target continues to serve.
const LINGER: Duration = Duration::from_millis(2_500);

/// A fault to inject.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Fault {
    /// Kill and restart a router.
    KillRouter(usize),
    /// Shut a router down gracefully and restart it.
    StopRouter(usize),
    /// Suspend a router.
    FreezeRouter(usize),
    /// Send SIGHUP to a router, so that it reloads its settings.
    HangUpRouter(usize),
    /// Kill and restart an agent.
    KillAgent(usize),
    /// Suspend an agent.
    FreezeAgent(usize),
    /// Crash an engine and restart it under a new name.
    CrashEngine(usize),
    /// Crash a target of the plain service and restart it under a new name.
    CrashDesk(usize),
    /// Drain an engine and replace it.
    DrainEngine(usize),
    /// Fail a part of an engine's requests.
    FailEngine(usize),
    /// At all engines, execute a part of the commands late and without a response.
    LoseOrders,
    /// Impair the connections to an engine.
    EngineLink(usize, Mode),
    /// Impair a router's connections to the store.
    StoreLink(usize, Mode),
    /// Impair callers' connections to a router.
    FrontLink(usize, Mode),
    /// Impair the store for all clients.
    Store(Mood),
    /// Discard the history of the store.
    Forget,
    /// Write a new configuration.
    Configure,
    /// Write an entry that cannot be parsed.
    Garbage,
    /// Kill and restart all routers and agents at once.
    KillAll,
}

/// Draws a fault and its duration.
pub fn draw(rng: &mut impl Rng, world: &World) -> (Fault, Duration) {
    let router = rng.random_range(0..world.routers.len());
    let engine = rng.random_range(0..world.engines.len());
    let desk = rng.random_range(0..world.desks.len());
    let mode = draw_mode(rng);
    let mood = match rng.random_range(0..3) {
        0 => Mood::Busy,
        1 => Mood::Silent,
        _ => Mood::Slow(Duration::from_millis(rng.random_range(50..400))),
    };
    let fault = match rng.random_range(0..36) {
        0..3 => Fault::KillRouter(router),
        3..7 => Fault::StopRouter(router),
        7..9 => Fault::FreezeRouter(router),
        9 => Fault::HangUpRouter(router),
        10 => Fault::KillAgent(engine),
        11 => Fault::FreezeAgent(engine),
        12..15 => Fault::CrashEngine(engine),
        15..17 => Fault::DrainEngine(engine),
        17 => Fault::FailEngine(engine),
        18..20 => Fault::LoseOrders,
        20..23 => Fault::EngineLink(engine, mode),
        23..25 => Fault::StoreLink(router, mode),
        25 => Fault::FrontLink(router, mode),
        26..28 => Fault::Store(mood),
        28..30 => Fault::Forget,
        30..32 => Fault::Configure,
        32..34 => Fault::Garbage,
        34 => Fault::CrashDesk(desk),
        _ => Fault::KillAll,
    };
    (fault, Duration::from_millis(rng.random_range(200..LONGEST_MS)))
}

fn draw_mode(rng: &mut impl Rng) -> Mode {
    match rng.random_range(0..4) {
        0 => Mode::Delay(Duration::from_millis(rng.random_range(5..120))),
        1 => Mode::Cut,
        2 => Mode::CutBack,
        _ => Mode::Reset,
    }
}

impl Fault {
    /// Injects the fault; [`Fault::revert`] undoes it.
    pub fn begin(self, world: &mut World) {
        match self {
            Self::KillRouter(n) => kill(&mut world.routers[n].process),
            Self::StopRouter(n) => signal(&world.routers[n].process, Signal::SIGTERM),
            Self::FreezeRouter(n) => freeze(&world.routers[n].process),
            Self::HangUpRouter(n) => signal(&world.routers[n].process, Signal::SIGHUP),
            Self::KillAgent(n) => kill(&mut world.agents[n].process),
            Self::FreezeAgent(n) => freeze(&world.agents[n].process),
            Self::CrashEngine(n) => world.engines[n].target.crash(),
            Self::CrashDesk(n) => world.desks[n].target.crash(),
            Self::DrainEngine(n) => world.engines[n].target.drain(),
            Self::FailEngine(n) => {
                world.engines[n].target.set_ills(Ills { failing: 0.3, ..Ills::default() });
            }
            Self::LoseOrders => set_all(world, Ills { orders_lost: 0.5, ..Ills::default() }),
            Self::EngineLink(n, mode) => world.engines[n].link.set(mode),
            Self::StoreLink(n, mode) => world.routers[n].store.set(mode),
            Self::FrontLink(n, mode) => world.fronts[n].set(mode),
            Self::Store(mood) => world.store.set_mood(mood),
            Self::Forget => world.store.forget(),
            Self::Configure => drop(world.configure()),
            Self::Garbage => world.write_garbage(),
            Self::KillAll => {
                let units = world.routers.iter_mut().chain(&mut world.agents);
                units.for_each(|unit| kill(&mut unit.process));
            }
        }
    }

    /// Reverts the fault; returns a violation, if there was one.
    pub async fn end(self, world: &mut World) -> Option<String> {
        match self {
            Self::KillRouter(n) => world.routers[n].start(),
            Self::StopRouter(n) => return stopped(&mut world.routers[n]).await,
            Self::FreezeRouter(n) => signal(&world.routers[n].process, Signal::SIGCONT),
            Self::KillAgent(n) => world.agents[n].start(),
            Self::FreezeAgent(n) => signal(&world.agents[n].process, Signal::SIGCONT),
            Self::CrashEngine(n) => {
                world.engines[n].target.lapse();
                world.engines[n].start().await;
            }
            Self::CrashDesk(n) => {
                world.desks[n].target.lapse();
                world.desks[n].start().await;
            }
            Self::DrainEngine(n) => {
                tokio::time::sleep(LINGER).await;
                world.engines[n].target.crash();
                tokio::time::sleep(LAPSE).await;
                world.engines[n].target.lapse();
                world.engines[n].start().await;
            }
            Self::FailEngine(n) => world.engines[n].target.set_ills(Ills::default()),
            Self::LoseOrders => set_all(world, Ills::default()),
            Self::EngineLink(n, _) => world.engines[n].link.set(Mode::Pass),
            Self::StoreLink(n, _) => world.routers[n].store.set(Mode::Pass),
            Self::FrontLink(n, _) => world.fronts[n].set(Mode::Pass),
            Self::Store(_) => world.store.set_mood(Mood::Well),
            Self::KillAll => {
                let units = world.routers.iter_mut().chain(&mut world.agents);
                units.for_each(crate::cluster::Unit::start);
            }
            Self::HangUpRouter(_) | Self::Forget | Self::Configure | Self::Garbage => {}
        }
        None
    }

    /// Disruptions of routers by this fault.
    pub fn troubles(self, routers: usize, from: Instant, to: Instant) -> Vec<Trouble> {
        let one = |router, planned| vec![Trouble { router, from, to, planned }];
        match self {
            Self::KillRouter(n) | Self::FreezeRouter(n) | Self::FrontLink(n, _) => one(n, false),
            Self::StopRouter(n) => one(n, true),
            Self::KillAll => {
                let all = 0..routers;
                all.map(|router| Trouble { router, from, to, planned: false }).collect()
            }
            _ => Vec::new(),
        }
    }
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

fn set_all(world: &World, ills: Ills) {
    world.engines.iter().for_each(|engine| engine.target.set_ills(ills));
}

/// Waits until a router has shut down, and restarts it.
async fn stopped(unit: &mut crate::cluster::Unit) -> Option<String> {
    let mut wrong = None;
    if let Some(mut process) = unit.process.take() {
        let began = Instant::now();
        while process.is_running() && began.elapsed() < STOP_WITHIN {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if process.is_running() {
            wrong = Some(format!("{} did not end {STOP_WITHIN:?} after it was told to", unit.name));
        }
    }
    unit.start();
    wrong
}
