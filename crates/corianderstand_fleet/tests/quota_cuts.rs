//! Quotas of workspaces while routers can't reach each other, in a simulation.

#[path = "common/quotas.rs"]
mod simulation;

use rstest::rstest;
use simulation::{Cluster, Tally, Way};
use std::time::Duration;

const SEED: u64 = 1;
const MANY: usize = 26;
/// Quotas of a small and of a large workspace, in tokens per second.
const SMALL: f64 = 1_900.0;
const LARGE: f64 = 187_000.0;
/// Demand as a multiple of the quota, so that each part of the routers asks for more than it has.
const HOT: f64 = 7.5;
const SETTLING_TIME: Duration = Duration::from_secs(12);
const CUT_TIME: Duration = Duration::from_secs(12);
const AFTER_TIME: Duration = Duration::from_secs(8);
/// What callers should get of the quota.
const MIN_USED_RATIO: f64 = 0.7;

/// Which links are cut.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// The first routers from the others.
    Halves(usize),
    /// Each of the first routers from all others.
    Alone(usize),
    /// The first router doesn't hear the others, which hear it.
    Deaf,
    /// The others don't hear the first router, which hears them.
    Mute,
    /// The first two from each other; a third hears both.
    Pair,
}

fn apply(cluster: &mut Cluster, routers: usize, cut: Cut) {
    let others = |first: usize| (first..routers).collect::<Vec<_>>();
    match cut {
        Cut::Halves(count) => cluster.cut_off(&(0..count).collect::<Vec<_>>(), &others(count)),
        Cut::Alone(count) => {
            (0..count).for_each(|router| cluster.cut_off(&[router], &others(router + 1)));
        }
        Cut::Deaf => cluster.cut(&others(1), &[0]),
        Cut::Mute => cluster.cut(&[0], &others(1)),
        Cut::Pair => cluster.cut_off(&[0], &[1]),
    }
}

fn cluster(way: Way, routers: usize, per_s: f64) -> Cluster {
    let mut cluster = Cluster::new(way, routers, per_s, SEED);
    cluster.run(SETTLING_TIME, 0.0);
    cluster
}

/// Plays a time and returns what was admitted of the quota.
fn play(cluster: &mut Cluster, time: Duration) -> f64 {
    cluster.tally = Tally::default();
    cluster.run(time, cluster.quota.per_s * HOT);
    cluster.tally.admitted as f64 / (cluster.quota.per_s * time.as_secs_f64())
}

/// Checks what the routers grant together, and what callers get of the quota.
fn check(cluster: &Cluster, during: f64, after: f64) {
    println!("{during:.3} {after:.3}, {:.3} of a window", cluster.worst_window);
    assert!(cluster.worst_window <= 1.0, "{:.3} of a window", cluster.worst_window);
    assert!(during >= MIN_USED_RATIO, "{during:.3} of the quota during the cut");
    assert!(after >= MIN_USED_RATIO, "{after:.3} of the quota after it");
}

fn play_cut(way: Way, per_s: f64, routers: usize, cut: Cut) {
    let mut cluster = cluster(way, routers, per_s);
    play(&mut cluster, Duration::from_secs(4));
    apply(&mut cluster, routers, cut);
    let during = play(&mut cluster, CUT_TIME);
    cluster.heal();
    let after = play(&mut cluster, AFTER_TIME);
    check(&cluster, during, after);
}

/// Guards against few routers that can't reach each other and grant more together than the quota, or much less.
#[rstest]
fn a_cut_leaves_each_router_its_part_of_the_quota(
    #[values(Way::Keeper, Way::InOrder)] way: Way,
    #[values(SMALL, LARGE)] per_s: f64,
    #[values(
        (2, Cut::Halves(1)),
        (3, Cut::Halves(1)),
        (4, Cut::Halves(2)),
        (3, Cut::Alone(3)),
        (2, Cut::Deaf),
        (2, Cut::Mute),
        (3, Cut::Pair)
    )]
    routers_and_cut: (usize, Cut),
) {
    play_cut(way, per_s, routers_and_cut.0, routers_and_cut.1);
}

/// Guards against the same where there are many routers, of which few or half are cut off.
#[rstest]
fn a_cut_among_many_leaves_each_side_its_part_of_the_quota(
    #[values(Way::Keeper, Way::InOrder)] way: Way,
    #[values(Cut::Halves(13), Cut::Alone(3), Cut::Deaf, Cut::Mute, Cut::Pair)] cut: Cut,
) {
    play_cut(way, LARGE, MANY, cut);
}

/// Guards against routers that never reached each other and each take themselves for the only one.
#[rstest]
fn routers_cut_off_from_the_start_share_the_quota(
    #[values(Way::Keeper, Way::InOrder)] way: Way,
    #[values(2, 4)] routers: usize,
) {
    let mut cluster = Cluster::new(way, routers, LARGE, SEED);
    apply(&mut cluster, routers, Cut::Halves(routers / 2));
    cluster.run(Duration::from_secs(4), 0.0);
    let during = play(&mut cluster, CUT_TIME);
    cluster.heal();
    let after = play(&mut cluster, AFTER_TIME);
    check(&cluster, during, after);
}

/// Guards against a router that starts again in a cut, or stands still in it, and takes more than its part.
#[rstest]
fn a_restart_or_a_thaw_in_a_cut_takes_no_more_than_a_part(
    #[values(Way::Keeper, Way::InOrder)] way: Way,
    #[values((2, Cut::Halves(1)), (4, Cut::Halves(2)), (3, Cut::Pair))] routers_and_cut: (
        usize,
        Cut,
    ),
    #[values(0, 1)] router: usize,
    #[values(100, 1_500, 4_000)] after_ms: u64,
    #[values(true, false)] restarts: bool,
) {
    let (routers, cut) = routers_and_cut;
    let mut cluster = cluster(way, routers, LARGE);
    play(&mut cluster, Duration::from_secs(4));
    apply(&mut cluster, routers, cut);
    cluster.run(Duration::from_millis(after_ms), LARGE * HOT);
    if restarts {
        cluster.kill(router);
        cluster.run(Duration::from_millis(700), LARGE * HOT);
        cluster.start_again(router);
    } else {
        cluster.freeze(router, true);
        cluster.run(Duration::from_millis(3_500), LARGE * HOT);
        cluster.freeze(router, false);
    }
    cluster.run(Duration::from_secs(4), LARGE * HOT);
    let during = play(&mut cluster, CUT_TIME);
    cluster.heal();
    let after = play(&mut cluster, AFTER_TIME);
    check(&cluster, during, after);
}
