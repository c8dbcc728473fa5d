//! Quotas of workspaces over many routers, in a simulation.

#[path = "common/quotas.rs"]
mod simulation;

use corianderstand_fleet::{
    quota::{Claim, ClaimSource, Ordered, Tolerance, ledger},
    workspaces,
};
use rstest::rstest;
use simulation::{Cluster, Way, whole};
use std::time::{Duration, Instant};

const ROUTERS: usize = 26;
/// Quotas of a small and of a large workspace, in tokens per second.
const SMALL: f64 = 1_900.0;
const LARGE: f64 = 187_000.0;
/// The usual demand as a share of the quota.
const USUAL: f64 = 0.55;
/// Demand of a workspace that sends many times its usual.
const HOT: f64 = 3.5;
/// Demand at which each keeper grants all that it believes there is.
const FLOOD: f64 = 14.0;
/// What may be refused of a demand below the quota.
const MAX_REFUSED_RATIO: f64 = 0.02;
/// What should be admitted of a quota that is asked for several times over.
const MIN_USED_RATIO: f64 = 0.9;
/// The same around the end or the freeze of a keeper.
const MIN_USED_WITH_FAULT_RATIO: f64 = 0.5;

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn cluster(per_s: f64, seed: u64) -> Cluster {
    cluster_by(Way::Keeper, per_s, seed)
}

fn cluster_by(way: Way, per_s: f64, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(way, ROUTERS, per_s, seed);
    cluster.run(secs(4), 0.0);
    cluster
}

/// Guards against refusing what is within a quota, of small and of large workspaces.
#[rstest]
fn usual_demand_is_not_refused(
    #[values(Way::Keeper, Way::InOrder)] way: Way,
    #[values(SMALL, LARGE)] per_s: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut cluster = cluster_by(way, per_s, seed);
    cluster.run(secs(20), per_s * USUAL);
    let refused = cluster.tally.refused_ratio();
    // A few requests of 2,500 tokens in a row exceed a quota of 1,900 a second by themselves.
    let allowed = if per_s == SMALL { 0.1 } else { MAX_REFUSED_RATIO };
    assert!(refused <= allowed, "{refused:.3} refused");
    assert!(cluster.worst_window <= 1.0, "{:.3} of a window", cluster.worst_window);
}

/// Guards against a workspace that asks for several times its quota.
#[rstest]
fn a_hot_workspace_gets_its_quota_and_no_more(
    #[values(Way::Keeper, Way::InOrder)] way: Way,
    #[values(SMALL, LARGE)] per_s: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut cluster = cluster_by(way, per_s, seed);
    cluster.run(secs(20), per_s * HOT);
    assert!(cluster.worst_window <= 1.0, "{:.3} of a window", cluster.worst_window);
    cluster.assert_used(secs(20), MIN_USED_RATIO);
}

/// Guards against a second burst when all routers restart at once.
#[rstest]
fn a_restart_of_all_routers_grants_no_second_burst(
    #[values(Way::Keeper, Way::InOrder)] way: Way,
    #[values(SMALL, LARGE)] per_s: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut cluster = cluster_by(way, per_s, seed);
    cluster.run(secs(6), per_s * HOT);
    cluster.restart_all();
    cluster.run(secs(6), per_s * HOT);
    assert!(cluster.worst_window <= 1.0, "{:.3} of a window", cluster.worst_window);
}

/// Guards against a quota that is granted twice, or not at all, when its keeper ends and returns.
#[rstest]
fn the_quota_outlives_its_keeper(
    #[values(Way::Keeper, Way::InOrder)] way: Way,
    #[values(SMALL, LARGE)] per_s: f64,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(USUAL, HOT)] demand: f64,
) {
    let mut cluster = cluster_by(way, per_s, seed);
    cluster.run(secs(6), per_s * demand);
    cluster.kill(0);
    cluster.run(secs(3), per_s * demand);
    cluster.start_again(0);
    cluster.run(secs(6), per_s * demand);
    assert!(cluster.worst_window <= 1.0, "{:.3} of a window", cluster.worst_window);
    cluster.assert_used(secs(15), MIN_USED_WITH_FAULT_RATIO);
}

/// Guards against a frozen keeper that grants from an outdated bucket once it goes on.
#[rstest]
fn a_frozen_keeper_grants_nothing_twice(
    #[values(Way::Keeper, Way::InOrder)] way: Way,
    #[values(SMALL, LARGE)] per_s: f64,
    #[values(1, 2)] seed: u64,
    #[values(USUAL, HOT)] demand: f64,
) {
    let mut cluster = cluster_by(way, per_s, seed);
    cluster.run(secs(6), per_s * demand);
    cluster.freeze(0, true);
    cluster.run(secs(8), per_s * demand);
    cluster.freeze(0, false);
    cluster.tally = simulation::Tally::default();
    cluster.run(secs(8), per_s * demand);
    assert!(cluster.worst_window <= 1.0, "{:.3} of a window", cluster.worst_window);
    cluster.assert_used(secs(8), MIN_USED_WITH_FAULT_RATIO);
}

/// Guards against a quota that each new keeper grants while the one before still does.
#[rstest]
fn keepers_that_stop_in_turn_grant_nothing_twice(
    #[values(Way::Keeper, Way::InOrder)] way: Way,
    #[values(SMALL, LARGE)] per_s: f64,
    #[values(1, 2, 3)] seed: u64,
    #[values(USUAL, HOT, FLOOD)] demand: f64,
) {
    let mut cluster = cluster_by(way, per_s, seed);
    cluster.run(secs(4), per_s * demand);
    for index in [0, 1, 2, 0, 1, 3] {
        cluster.begin_stop(index);
        cluster.run(Duration::from_millis(1_500), per_s * demand);
        cluster.start_again(index);
        cluster.run(Duration::from_millis(700), per_s * demand);
    }
    assert!(cluster.worst_window <= 1.0, "{:.3} of a window", cluster.worst_window);
    let time = Duration::from_millis(4_000 + 6 * 2_200);
    cluster.assert_used(time, MIN_USED_WITH_FAULT_RATIO);
}

/// Guards against a second keeper that takes what was spent before it first heard of a workspace for not spent.
#[rstest]
fn a_sudden_flood_gets_one_burst(
    #[values(Way::Keeper, Way::InOrder)] way: Way,
    #[values(SMALL, LARGE)] per_s: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut cluster = cluster_by(way, per_s, seed);
    let time = secs(4);
    cluster.run(time, per_s * FLOOD);
    let allowed = cluster.quota.burst + per_s * time.as_secs_f64();
    let slack = 0.15 * per_s + cluster.tolerance.fixed;
    let admitted = cluster.tally.admitted as f64;
    assert!(admitted <= allowed + slack, "{admitted} of {allowed}");
}

/// Guards against a request of absurd size that keeps its workspace's callers away for long.
#[test]
fn a_request_that_exceeds_the_quota_by_far_is_refused_alone() {
    let (quota, tolerance) = (cluster(SMALL, 1).quota, cluster(SMALL, 1).tolerance);
    let start = Instant::now();
    let mut ledger = ledger::Ledger::default();
    let mut wait = |sequence: u64, after: Duration, cost: u64| {
        let source = ClaimSource { router: "r".into(), incarnation: 1, sequence };
        let claim = Claim {
            workspace: "w".into(),
            spent: 0,
            held: 0,
            first: cost,
            needed: cost,
            ahead: 0,
            per_s: 0,
            ordered: Ordered::default(),
        };
        ledger
            .claim(start + after, start, &whole(&quota, &tolerance), &source, &claim)
            .unwrap()
            .wait
    };
    let longest = secs(10);
    assert_eq!(wait(1, secs(5), u64::MAX), longest);
    assert!(wait(2, secs(16), SMALL as u64 * 3) < secs(2), "the absurd request has no turn");
    assert_eq!(wait(3, secs(17), 700), Duration::ZERO, "usual requests are granted");
}

/// Guards against a burst of all that came in while nobody asked, as the keeper takes it for a time in which it stood
/// still.
#[test]
fn a_workspace_that_asked_for_nothing_gets_one_burst() {
    const CALLERS: u64 = 12;
    const COST: u64 = 200;
    let quota = workspaces::Quota {
        per_s: 800.0,
        burst: 800.0,
        unit: workspaces::CostUnit::Token { default: 50 },
    };
    let tolerance = Tolerance { window: secs(4), ratio: 0.1, fixed: 700.0 };
    let start = Instant::now();
    let mut ledger = ledger::Ledger::default();
    let mut spent = [0; CALLERS as usize];
    let mut ask = |sequence: u64, after: Duration, cost: u64| -> u64 {
        let granted = spent.iter_mut().enumerate().map(|(caller, spent)| {
            let router = format!("router-{caller}").into();
            let source = ClaimSource { router, incarnation: 1, sequence };
            let claim = Claim {
                workspace: "w".into(),
                spent: *spent,
                held: 0,
                first: cost,
                needed: cost,
                ahead: 0,
                per_s: 0,
                ordered: Ordered::default(),
            };
            let grant =
                ledger.claim(start + after, start, &whole(&quota, &tolerance), &source, &claim);
            let granted = grant.map_or(0, |grant| grant.granted);
            *spent += granted;
            granted
        });
        granted.sum()
    };
    ask(1, secs(6), 0);
    ask(2, secs(7), COST);
    let idle = secs(6);
    let step = Duration::from_millis(100);
    let granted: u64 =
        (0..10).map(|number| ask(3 + number, secs(7) + idle + step * number as u32, COST)).sum();
    let allowed = quota.burst + quota.per_s + tolerance.fixed;
    assert!(granted as f64 <= allowed, "{granted} in a second, {allowed} are allowed");
}

/// Guards against a router that gets nothing after it started with a clock set back.
#[test]
fn a_router_that_looks_older_after_a_restart_is_heard() {
    let cluster = cluster(SMALL, 1);
    let start = Instant::now();
    let mut ledger = ledger::Ledger::default();
    let mut is_heard = |after: Duration, incarnation: u64, sequence: u64| {
        let source = ClaimSource { router: "r".into(), incarnation, sequence };
        let claim = Claim {
            workspace: "w".into(),
            spent: 0,
            held: 0,
            first: 100,
            needed: 100,
            ahead: 0,
            per_s: 0,
            ordered: Ordered::default(),
        };
        let (quota, tolerance) = (&cluster.quota, &cluster.tolerance);
        ledger.claim(start + after, start, &whole(quota, tolerance), &source, &claim).is_some()
    };
    assert!(is_heard(secs(5), 9, 7));
    assert!(!is_heard(secs(5), 9, 7), "a repeated claim");
    assert!(!is_heard(secs(5), 8, 9), "a late claim of the incarnation before");
    assert!(is_heard(secs(6), 8, 1), "the router has started again");
}

/// Guards against routers that join with a quota of their own.
#[rstest]
fn added_routers_share_the_quota(
    #[values(Way::Keeper, Way::InOrder)] way: Way,
    #[values(SMALL, LARGE)] per_s: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut cluster = cluster_by(way, per_s, seed);
    cluster.run(secs(5), per_s * HOT);
    cluster.add_routers(20);
    cluster.run(secs(8), per_s * HOT);
    assert!(cluster.worst_window <= 1.0, "{:.3} of a window", cluster.worst_window);
}

/// Guards against a lowered limit that binds only once what was granted before is spent.
#[test]
fn a_lowered_quota_binds_within_a_window() {
    let mut cluster = cluster(LARGE, 1);
    cluster.run(secs(5), LARGE * USUAL);
    cluster.quota.per_s = LARGE / 10.0;
    cluster.quota.burst = LARGE / 10.0;
    // Time for the configuration, then one window.
    cluster.run(secs(3 + 8), LARGE * USUAL);
    cluster.worst_window = 0.0;
    cluster.run(secs(10), LARGE * USUAL);
    assert!(cluster.worst_window <= 1.0, "{:.3} of a window", cluster.worst_window);
}

/// A quota divided by the number of routers refuses what the sum would allow.
#[test]
fn equal_shares_refuse_what_a_keeper_grants() {
    let refused = |way| {
        let mut cluster = Cluster::new(way, ROUTERS, LARGE, 1);
        cluster.run(secs(4), 0.0);
        cluster.run(secs(10), LARGE * USUAL);
        cluster.tally.refused_ratio()
    };
    assert!(refused(Way::EqualShares) > 10.0 * refused(Way::Keeper).max(0.001));
}
