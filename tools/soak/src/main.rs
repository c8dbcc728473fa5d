//! Soak test: injects random faults into real routers and agents and checks the responses.
//!
//! `soak --seeds 1-50` runs one cluster per seed on loopback, with stand-ins for the platform,
//! continuous callers and faults drawn from the seed. The outcome of each request is compared with
//! the executions at the targets, after each fault and at the end. A run also fails if the cluster
//! does not recover after the last fault. `kept.txt` lists the seeds of past failures.

mod callers;
mod checks;
mod cluster;
mod faults;
mod proxy;

use callers::{Callers, End, Kind};
use checks::Trouble;
use cluster::{MODELS, Size, World};
use getopts::Options;
use http::StatusCode;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    path::PathBuf,
    process::ExitCode,
    time::{Duration, Instant},
};

/// Seeds of past failures, each with its cause.
const KEPT: &str = include_str!("../kept.txt");
const FAULTS: usize = 8;
const AT_ONCE: usize = 3;
/// Maximum pause before the next fault.
const LONGEST_PAUSE_MS: u64 = 900;
const CALLERS_EACH: usize = 8;
/// Time limit for recovery after the last fault.
const RECOVERED_WITHIN: Duration = Duration::from_secs(12);
/// Time for late commands and executions to complete before the final check.
const SETTLE: Duration = Duration::from_secs(1);

const USUAL: Size = Size { routers: 3, engines: 4, desks: 2 };
const LARGE: Size = Size { routers: 20, engines: 39, desks: 6 };

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt(
        "",
        "seeds",
        "seeds to play, such as 7 or 1-50 (default: one that is drawn)",
        "A-B",
    );
    options.optflag("", "kept", "play the seeds that once failed");
    options.optflag("", "large", "many processes");
    options.optopt("", "faults", "faults of one run (default 8)", "N");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}\n{}", options.usage("soak [--seeds A-B] [--kept] [--large]"));
            return ExitCode::from(2);
        }
    };
    let Some(seeds) = seeds(matches.opt_str("seeds").as_deref(), matches.opt_present("kept"))
    else {
        eprintln!("give seeds as one number or two, such as 7 or 1-50");
        return ExitCode::from(2);
    };
    let size = if matches.opt_present("large") { LARGE } else { USUAL };
    let faults = matches.opt_get_default("faults", FAULTS).unwrap_or(FAULTS);
    let mut failed = Vec::new();
    for seed in seeds {
        // Dropping the runtime ends all stand-ins and proxies and releases their addresses.
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("the system gives a runtime");
        let broken = runtime.block_on(play(seed, size, faults));
        broken.iter().for_each(|line| println!("seed {seed} BROKEN {line}"));
        if !broken.is_empty() {
            failed.push(seed);
        }
    }
    println!("seeds with a broken promise: {failed:?}");
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn seeds(text: Option<&str>, kept: bool) -> Option<Vec<u64>> {
    if kept {
        let lines = KEPT.lines().filter(|line| !line.starts_with('#'));
        return lines.map(|line| line.split_whitespace().next()?.parse().ok()).collect();
    }
    let Some(text) = text else { return Some(vec![rand::random_range(1_000..1_000_000)]) };
    match text.split_once('-') {
        None => Some(vec![text.parse().ok()?]),
        Some((first, last)) => Some((first.parse().ok()?..=last.parse().ok()?).collect()),
    }
}

/// Runs one seed and returns the violations; logs are kept if there are any.
async fn play(seed: u64, size: Size, faults: usize) -> Vec<String> {
    let dir = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the folder for temporary files can be written");
    let mut world = World::start(size, &dir).await;
    let fronts: Vec<_> = world.fronts.iter().map(|front| front.addr).collect();
    let callers = Callers::start(CALLERS_EACH * size.routers, &fronts, seed);
    let mut broken = Vec::new();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let troubles = run_faults(&mut world, &mut rng, faults, &callers, &mut broken).await;
    broken.extend(recovers(&mut world, seed).await);
    let asked = callers.end().await;
    tokio::time::sleep(SETTLE).await;
    let report = checks::check(&asked, &world.ledger, &troubles);
    broken.extend(report.broken);
    let overfilled = world.engines.iter().filter(|engine| engine.target.was_overfilled());
    broken.extend(overfilled.map(|engine| format!("ordered to hold too much: {engine:?}")));
    println!("seed {seed}: {} requests {:?}", asked.len(), report.ends);
    drop(world);
    if broken.is_empty() {
        std::fs::remove_dir_all(&dir).ok();
    } else {
        println!("seed {seed}: logs in {}", PathBuf::from(&dir).display());
    }
    broken
}

/// Injects `count` faults, some of them overlapping, and reverts them all.
async fn run_faults(
    world: &mut World,
    rng: &mut ChaCha8Rng,
    count: usize,
    callers: &Callers,
    broken: &mut Vec<String>,
) -> Vec<Trouble> {
    let mut seen = 0;
    let mut open: Vec<(faults::Fault, Instant, Instant)> = Vec::new();
    let mut troubles = Vec::new();
    for left in (0..=count).rev() {
        if left > 0 {
            let (fault, lasts) = faults::draw(rng, world);
            // Two faults at one component would revert each other.
            if open.iter().all(|(other, ..)| !overlaps(*other, fault)) {
                println!("  {fault:?} for {lasts:?}");
                let began = Instant::now();
                fault.begin(world);
                open.push((fault, began, began + lasts));
            }
            let pause = rng.random_range(0..LONGEST_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        let most = if left > 0 { AT_ONCE - 1 } else { 0 };
        while open.len() > most || open.iter().any(|(.., until)| Instant::now() >= *until) {
            let first = (0..open.len()).min_by_key(|&index| open[index].2).unwrap_or(0);
            let (fault, began, until) = open.remove(first);
            tokio::time::sleep_until(until.into()).await;
            broken.extend(fault.end(world).await);
            troubles.extend(fault.troubles(world.routers.len(), began, Instant::now()));
            let ended = callers.since(seen);
            seen += ended.len();
            let lines = ended.iter().flat_map(|one| checks::broken(one, &world.ledger));
            lines.for_each(|line| println!("  BROKEN so far: {line}"));
        }
    }
    troubles
}

/// Whether two faults affect the same component.
fn overlaps(one: faults::Fault, other: faults::Fault) -> bool {
    use faults::Fault::{
        CrashDesk, CrashEngine, DrainEngine, FailEngine, FreezeAgent, FreezeRouter, FrontLink,
        HangUpRouter, KillAgent, KillAll, KillRouter, LoseOrders, StopRouter, Store,
    };
    let place = |fault| match fault {
        KillRouter(n) | StopRouter(n) | FreezeRouter(n) | HangUpRouter(n) => Some((0, n)),
        KillAgent(n) | FreezeAgent(n) => Some((1, n)),
        CrashEngine(n) | DrainEngine(n) | FailEngine(n) => Some((2, n)),
        FrontLink(n, _) => Some((3, n)),
        CrashDesk(n) => Some((4, n)),
        _ => None,
    };
    let processes = |fault| matches!(place(fault), Some((0 | 1, _)));
    let all = |fault| matches!(fault, KillAll);
    let ills = |fault| matches!(fault, LoseOrders | FailEngine(_));
    let store = |fault| matches!(fault, Store(_));
    (place(one).is_some() && place(one) == place(other))
        || std::mem::discriminant(&one) == std::mem::discriminant(&other) && place(one).is_none()
        || all(one) && (all(other) || processes(other))
        || all(other) && processes(one)
        || ills(one) && ills(other)
        || store(one) && store(other)
}

/// Checks that all routers serve all kinds, all models and the newest configuration.
async fn recovers(world: &mut World, seed: u64) -> Option<String> {
    let own = world.configure();
    let until = Instant::now() + RECOVERED_WITHIN;
    let mut number = 0;
    for router in 0..world.fronts.len() {
        let front = world.fronts[router].addr;
        let kinds = MODELS.map(|model| (Kind::Chat, model));
        let kinds = kinds.into_iter().chain([(Kind::Look, MODELS[0]), (Kind::Pay, MODELS[0])]);
        for (kind, model) in kinds {
            loop {
                number += 1;
                let id = format!("probe-{seed}-{number}");
                let (end, ..) = callers::ask(front, None, kind, &id, model).await;
                if matches!(end, End::Whole(StatusCode::OK, _)) {
                    break;
                }
                if Instant::now() >= until {
                    let what = format!("router {router} {kind:?} {model}: {end:?}");
                    return Some(format!("does not serve again: {what}"));
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        number += 1;
        let (path, id) = (format!("{own}x"), format!("probe-{seed}-{number}"));
        if callers::status(front, &path, &id).await == Some(StatusCode::NOT_FOUND) {
            return Some(format!("router {router} does not know the newest route {own}"));
        }
    }
    None
}
