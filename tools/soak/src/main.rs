//! Soak test: injects random faults into real routers and agents and checks the responses.
//!
//! `soak --seeds 1-50` runs one cluster per seed on loopback, with stand-ins for the platform,
//! continuous callers and faults drawn from the seed. The outcome of each request is compared with
//! the executions at the targets, after each fault and at the end. A run also fails if the cluster
//! does not recover after the last fault. `kept.txt` lists the seeds of past failures.

mod callers;
mod checks;
mod cluster;
mod configs;
mod datagrams;
mod endless;
mod faults;
mod floods;
mod hedges;
mod leavings;
mod logs;
mod plan;
mod proxy;
mod requests;
mod rests;
mod retries;
mod seeds;
mod sends;
mod sheds;
mod streams;
mod surges;
mod workspaces;

use bytes::Bytes;
use callers::{Callers, CrashCause, Outcome, RequestKind};
use checks::Disruption;
use cluster::{Cluster, MODELS};
use floods::Balancer;
use http::StatusCode;
use plan::RunPlan;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    path::PathBuf,
    process::ExitCode,
    time::{Duration, Instant},
};
use surges::Surges;
use workspaces::Workspace;

const MAX_FAULT_PAUSE_MS: u64 = 900;
const CALLERS_PER_ROUTER: usize = 8;
const ZONED_CALLERS: usize = 4;
const RUNTIME_THREADS: usize = 3;
/// Time limit for recovery after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Time for late commands and executions to complete before the final check.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time to see how often sound requests begin before others end engines.
const USUAL_TIME: Duration = Duration::from_secs(6);

const MIN_LIMIT_PER_1000_S: u32 = 1_000;
const MAX_LIMIT_PER_1000_S: u32 = 4_000;
const MAX_LIMIT_DELAY_MS: u64 = 2_000;
const LIMIT_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (plan, seeds) = match plan::parse(&args) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let mut delays = Vec::new();
    let mut failed = Vec::new();
    for seed in seeds {
        // Dropping the runtime ends all stand-ins and proxies and releases their addresses.
        // Several threads, so that arrivals are recorded when they happen.
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS)
            .enable_all()
            .build();
        let runtime = runtime.expect("the runtime can be created");
        let violations = runtime.block_on(run_seed(seed, plan, &mut delays));
        violations.iter().for_each(|violation| println!("seed {seed} BROKEN {violation}"));
        if !violations.is_empty() {
            failed.push(seed);
        }
    }
    if let Some(summary) = leavings::summarize(&mut delays) {
        println!("{summary}");
    }
    println!("seeds with a broken promise: {failed:?}");
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs one seed and returns the violations; logs are kept if there are any. Adds the time from the leaving of
/// each target to the last request that reached it to `delays`.
async fn run_seed(seed: u64, plan: RunPlan, delays: &mut Vec<Duration>) -> Vec<String> {
    let size = plan.size;
    let dir = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the temporary folder can be written");
    let mut cluster = Cluster::start(size, &dir).await;
    let router_addresses: Vec<_> = cluster.router_proxies.iter().map(|proxy| proxy.addr).collect();
    let callers_per_router = if plan.has_zones() { ZONED_CALLERS } else { CALLERS_PER_ROUTER };
    let started_at = Instant::now();
    let balancer = Balancer::default();
    let surges = if plan.has_surges { Surges::new(seed, size.routers) } else { Surges::none() };
    let caller_count =
        if plan.has_surges { surges.callers() } else { callers_per_router * size.routers };
    let workspace_of = |caller| match plan.has_equal_callers() {
        true => Workspace::Steady,
        false if plan.has_surges => surges.workspace_of(caller),
        false => Workspace::of_caller(caller),
    };
    let surroundings = callers::Surroundings {
        balancer: balancer.clone(),
        configs: cluster.configs.clone(),
        surges: surges.clone(),
    };
    let mut callers =
        Callers::start(caller_count, &router_addresses, seed, &surroundings, workspace_of);
    let surging = plan.has_surges.then(|| surges.start());
    let floods = plan.has_floods.then(|| {
        balancer.start_floods(ChaCha8Rng::seed_from_u64(seed.rotate_left(1)), size.routers)
    });
    match plan.cause {
        CrashCause::Part => {
            tokio::time::sleep(USUAL_TIME).await;
            callers.start_crashing(&router_addresses, seed, plan.cause);
        }
        CrashCause::Body if has_crashing_caller(seed) && plan.has_special_requests() => {
            callers.start_crashing(&router_addresses, seed, plan.cause);
        }
        CrashCause::Body => {}
    }
    let probed = if plan.kind == seeds::RunKind::Copies { &router_addresses[..] } else { &[] };
    let prober = configs::Prober::start(probed, &cluster.configs);
    let limiter = (has_limited_engine(seed) && plan.has_special_requests())
        .then(|| limit_engine(&cluster, seed));
    if plan.has_surges {
        tokio::time::sleep(surges::UNDISTURBED_TIME).await;
    }
    let mut violations = Vec::new();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let FaultsRun { disruptions, mut interferences, restarts, mut memory } =
        run_faults(&mut cluster, &mut rng, plan, &callers, &mut violations).await;
    interferences.push(leavings::Interference {
        scope: leavings::Scope::All,
        started_at,
        ended_at: started_at,
    });
    if let Some(floods) = floods {
        floods.abort();
        balancer.end_floods();
    }
    if let Some(surging) = surging {
        surging.abort();
        surges.end();
    }
    violations.extend(prober.finish(&interferences, &restarts));
    cluster.end_unframed_responses();
    violations.extend(check_recovery(&mut cluster, seed).await);
    let requests = callers.finish().await;
    tokio::time::sleep(SETTLE_TIME).await;
    if let Some(limiter) = limiter {
        limiter.abort();
    }
    let sheds = sheds::Sheds::read(&requests, &dir);
    let report = checks::check_guarantees(&requests, &cluster.ledger, &disruptions, &sheds);
    violations.extend(report.violations);
    let observed = leavings::Observed {
        requests: &requests,
        ledger: &cluster.ledger,
        interferences: &interferences,
    };
    violations.extend(observed.check_answered(size.drain_within, &restarts));
    violations.extend(rests::check(&requests, &cluster.ledger, &restarts, &interferences));
    let leaving = observed.check(size.drain_within);
    violations.extend(leaving.violations);
    delays.extend(leaving.delays);
    let taken_up = streams::TakenUp::count(&requests);
    violations.extend(taken_up.violation());
    let ledger = &cluster.ledger;
    violations.extend(checks::crashing_request(&requests, ledger, &disruptions, plan.cause));
    if plan.has_floods {
        let crashes = ledger.crashes();
        let violation = balancer.violation(&requests, &disruptions, &interferences, &crashes);
        violations.extend(violation);
    }
    if plan.has_surges {
        let crashes = ledger.crashes();
        let violation = surges.violation(&requests, &disruptions, &interferences, &crashes);
        violations.extend(violation);
    }
    if plan.cause == CrashCause::Part {
        violations.extend(checks::sound_requests(&requests, ledger, &disruptions, &interferences));
    }
    violations.extend(checks::request_limits(&requests, &cluster.ledger, &disruptions));
    violations.extend(workspaces::revocation_violations(
        &requests,
        &cluster.ledger,
        &cluster.configs.revocations(),
    ));
    violations.extend(workspaces::quota_violation(&requests, &cluster.ledger));
    let most_used = retries::most_used_window(&requests, &prober.sent_at(), &cluster.ledger);
    violations.extend(most_used.as_ref().and_then(retries::WindowUsage::violation));
    let compared = sends::compare(&requests, &cluster.ledger, &restarts, &dir);
    violations.extend(compared.violations);
    let hedges = hedges::Hedges::read(&requests, &dir);
    violations.extend(hedges.violation(size.hedge_percent));
    memory.observe(&cluster);
    violations.extend(memory.violation());
    let overfilled = cluster.engines.iter().filter(|engine| engine.target.exceeded_capacity());
    violations.extend(overfilled.map(|engine| format!("commanded to load too much: {engine:?}")));
    println!("seed {seed}: {} requests {:?}", requests.len(), report.outcome_counts);
    if let Some(window) = most_used {
        println!(
            "seed {seed}: most repeats in a window {} of {:.1} allowed, {} repeats compared with logs",
            window.repeats, window.allowed, compared.repeats
        );
    }
    println!(
        "seed {seed}: streams taken up by {} requests, {} went on, of two versions: {:?}",
        taken_up.requests, taken_up.went_on, taken_up.mixed
    );
    println!(
        "seed {seed}: {} second requests {:?}, routers used up to {} MB",
        hedges.sent(),
        hedges.ends(),
        memory.largest_mb()
    );
    let (moved, whole) = streams::moved(&requests, &cluster.ledger);
    println!("seed {seed}: {moved} runs went on from copies, {whole} of them to their end");
    drop(cluster);
    if violations.is_empty() {
        std::fs::remove_dir_all(&dir).ok();
    } else {
        println!("seed {seed}: logs in {}", PathBuf::from(&dir).display());
    }
    violations
}

/// Whether a caller repeats a request that ends the engines that run it.
const fn has_crashing_caller(seed: u64) -> bool {
    !seed.is_multiple_of(2)
}

/// Whether an engine limits the requests that it takes.
const fn has_limited_engine(seed: u64) -> bool {
    seed.is_multiple_of(2)
}

/// Has an engine name a limit, also after it was started again, until the task is aborted.
fn limit_engine(cluster: &Cluster, seed: u64) -> tokio::task::JoinHandle<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let engine = cluster.engines[rng.random_range(0..cluster.engines.len())].target.clone();
    let per_s = f64::from(rng.random_range(MIN_LIMIT_PER_1000_S..MAX_LIMIT_PER_1000_S)) / 1_000.0;
    let delay = Duration::from_millis(rng.random_range(0..MAX_LIMIT_DELAY_MS));
    println!("  an engine takes {per_s} requests/s");
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        loop {
            engine.set_request_limit(Some(per_s));
            tokio::time::sleep(LIMIT_RENEWAL_INTERVAL).await;
        }
    })
}

/// What the faults of a run may excuse.
#[derive(Default)]
struct FaultsRun {
    disruptions: Vec<Disruption>,
    interferences: Vec<leavings::Interference>,
    restarts: Vec<leavings::Restart>,
    memory: endless::PeakMemory,
}

/// Injects `fault_count` faults, some of them overlapping, and reverts them all.
async fn run_faults(
    cluster: &mut Cluster,
    rng: &mut ChaCha8Rng,
    plan: RunPlan,
    callers: &Callers,
    violations: &mut Vec<String>,
) -> FaultsRun {
    let mut run = FaultsRun::default();
    let mut checked_requests = 0;
    let mut active: Vec<(faults::Fault, Instant, Instant)> = Vec::new();
    for remaining_faults in (0..=plan.faults).rev() {
        if remaining_faults > 0 {
            let (fault, duration) = match plan.kind {
                seeds::RunKind::Zones => faults::draw_zone_fault(rng, cluster),
                seeds::RunKind::Bursts => faults::draw_burst_fault(rng, cluster),
                seeds::RunKind::Answers => faults::draw_answer_fault(rng, cluster),
                seeds::RunKind::Copies => faults::draw_copy_fault(rng, cluster),
                seeds::RunKind::Cuts => faults::draw_cut_fault(rng, cluster),
                seeds::RunKind::Hedges => endless::draw(rng, cluster),
                seeds::RunKind::Plain | seeds::RunKind::Parts => faults::draw_fault(rng, cluster),
            };
            // Two faults at one component would revert each other.
            if active.iter().all(|(other, ..)| !conflicts(*other, fault)) {
                println!("  {fault:?} for {duration:?}");
                run.memory.observe(cluster);
                let started_at = Instant::now();
                fault.inject(cluster);
                active.push((fault, started_at, started_at + duration));
            }
            let pause = rng.random_range(0..MAX_FAULT_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        let max_active = if remaining_faults > 0 { plan.concurrent_faults - 1 } else { 0 };
        while active.len() > max_active
            || active.iter().any(|(.., revert_at)| Instant::now() >= *revert_at)
        {
            let first = (0..active.len()).min_by_key(|&index| active[index].2).unwrap_or(0);
            let (fault, started_at, revert_at) = active.remove(first);
            tokio::time::sleep_until(revert_at.into()).await;
            violations.extend(fault.revert(cluster).await);
            let ended_at = Instant::now();
            run.interferences.extend(fault.interference(started_at, ended_at));
            let restarted = fault.restarted_routers(cluster.routers.len()).into_iter();
            run.restarts.extend(restarted.map(|router| leavings::Restart {
                router,
                started_at,
                ended_at,
            }));
            run.disruptions.extend(fault.disruptions(
                cluster.routers.len(),
                started_at,
                Instant::now(),
            ));
            let finished = callers.finished_requests(checked_requests);
            checked_requests += finished.len();
            let new_violations = finished
                .iter()
                .flat_map(|request| checks::find_violations(request, &cluster.ledger));
            new_violations.for_each(|violation| println!("  BROKEN so far: {violation}"));
        }
    }
    run
}

fn conflicts(one: faults::Fault, other: faults::Fault) -> bool {
    use faults::Fault::{
        CrashEngine, CrashService, DrainEngine, EndlessEngine, EndlessService, FailEngine,
        FreezeAgent, FreezeOthers, FreezeRouter, FrontLink, KillAgent, KillAll, KillRouter,
        LeaveEngine, LeaveService, LoseCommands, RefuseAll, ReloadRouter, RestAll, RestEngine,
        ServiceLink, StarveRouter, StopRouter, Store,
    };
    let component = |fault| match fault {
        KillRouter(n) | StopRouter(n) | FreezeRouter(n) | ReloadRouter(n) | StarveRouter(n) => {
            Some((0, n))
        }
        KillAgent(n) | FreezeAgent(n) => Some((1, n)),
        CrashEngine(n) | DrainEngine(n) | FailEngine(n) | LeaveEngine(n, _) => Some((2, n)),
        FrontLink(n, _) => Some((3, n)),
        CrashService(n) | LeaveService(n, _) => Some((4, n)),
        ServiceLink(n, _) => Some((5, n)),
        EndlessEngine(n, _) => Some((6, n)),
        EndlessService(n, _) => Some((7, n)),
        _ => None,
    };
    let affects_process = |fault| matches!(component(fault), Some((0 | 1, _)));
    let all = |fault| matches!(fault, KillAll | FreezeOthers(_));
    let degrades_engine =
        |fault| matches!(fault, LoseCommands | FailEngine(_) | RefuseAll | RestAll | RestEngine(_));
    let store = |fault| matches!(fault, Store(_));
    (component(one).is_some() && component(one) == component(other))
        || std::mem::discriminant(&one) == std::mem::discriminant(&other)
            && component(one).is_none()
        || all(one) && (all(other) || affects_process(other))
        || all(other) && affects_process(one)
        || degrades_engine(one) && degrades_engine(other)
        || store(one) && store(other)
}

/// Checks that all routers serve all kinds, all models and the newest configuration.
async fn check_recovery(cluster: &mut Cluster, seed: u64) -> Option<String> {
    let unique_prefix = cluster.configure();
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let mut probe_number = 0;
    for router in 0..cluster.router_proxies.len() {
        let router_address = cluster.router_proxies[router].addr;
        let kinds = MODELS.map(|model| (RequestKind::Chat, model));
        let kinds = kinds
            .into_iter()
            .chain([(RequestKind::Look, MODELS[0]), (RequestKind::Pay, MODELS[0])]);
        for (kind, model) in kinds {
            loop {
                probe_number += 1;
                let id = format!("probe-{seed}-{probe_number}");
                let probe = requests::RequestSpec {
                    kind,
                    workspace: Workspace::Steady,
                    id: &id,
                    model,
                    body: Bytes::new(),
                    has_crashing_part: false,
                    take_up: None,
                    leaves_after: None,
                };
                let (outcome, ..) = requests::send_request(router_address, None, &probe).await;
                if matches!(outcome, Outcome::Complete(StatusCode::OK, _)) {
                    break;
                }
                if Instant::now() >= deadline {
                    let probe = format!("router {router} {kind:?} {model}: {outcome:?}");
                    return Some(format!("not recovered: {probe}"));
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        probe_number += 1;
        let (path, id) = (format!("{unique_prefix}x"), format!("probe-{seed}-{probe_number}"));
        if requests::request_status(router_address, &path, &id).await == Some(StatusCode::NOT_FOUND)
        {
            return Some(format!("router {router} does not know the newest route {unique_prefix}"));
        }
    }
    None
}
