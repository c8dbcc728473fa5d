//! The order in which requests of a workspace get its quota, over many routers, in a simulation.

#[path = "common/quotas.rs"]
mod simulation;

use rstest::rstest;
use simulation::{Class, Cluster, Way};
use std::time::Duration;

const ROUTERS: usize = 24;
/// Quota of the workspace, in tokens per second.
const PER_S: f64 = 187_000.0;
/// Length of the flood.
const FLOOD: Duration = Duration::from_secs(6);
/// Share of the quota that the workspace usually asks for.
const USUAL: f64 = 0.5;
/// Share of the callers with a booking that are served when they return.
const MIN_BOOKED_SERVED: f64 = 0.95;
/// How much less often a rank may be served than a less urgent one.
const MAX_INVERSION: f64 = 0.05;

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Urgent, quick and patient requests that ask for the whole quota together.
fn classes() -> Vec<Class> {
    let class = |rank, objective_ms, deadline_s, cost, per_s| Class {
        rank,
        objective: Duration::from_millis(objective_ms),
        deadline: secs(deadline_s),
        cost,
        per_s,
    };
    let asked = 93.5 * 1_000.0 + 96.5 * 430.0 + 70.0 * 1_000.0;
    let scale = PER_S / asked;
    vec![
        class(0, 100, 12, 1_000, 93.5 * scale),
        class(1, 850, 4, 430, 96.5 * scale),
        class(2, 4_850, 25, 1_000, 70.0 * scale),
    ]
}

fn cluster(seed: u64) -> Cluster {
    cluster_by(Way::InOrder, seed)
}

fn cluster_by(way: Way, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(way, ROUTERS, PER_S, seed);
    cluster.tolerance.ratio = 0.1;
    cluster.tolerance.fixed = 7_400.0;
    cluster.classes = classes();
    cluster.play(secs(4), 0.0);
    cluster
}

fn report(cluster: &Cluster) {
    for (class, served) in cluster.classes.iter().zip(&cluster.served) {
        let share = |count: u64| count as f64 / served.callers.max(1) as f64;
        let mut waits = served.waits.clone();
        waits.sort_unstable();
        let mut refused = served.refusal_waits.clone();
        refused.sort_unstable();
        let at = |waits: &[Duration], share: f64| {
            waits.get((waits.len() as f64 * share) as usize).copied().unwrap_or_default()
        };
        println!(
            "rank {}: {} callers, {:.3} in time, {:.3} late, {:.3} refused again, booked {} of them {:.3} served, unbooked {} of them {:.3} served, waits p50 {:?} p99 {:?} longest {:?}; refused after p50 {:?} p99 {:?}",
            class.rank,
            served.callers,
            share(served.in_time),
            share(served.late),
            share(served.refused_again),
            served.booked,
            served.booked_served as f64 / served.booked.max(1) as f64,
            served.unbooked,
            served.unbooked_served as f64 / served.unbooked.max(1) as f64,
            at(&waits, 0.5),
            at(&waits, 0.99),
            served.longest_wait,
            at(&refused, 0.5),
            at(&refused, 0.99),
        );
    }
    let (mut owed, mut worth) = (0.0, 0.0);
    for (class, served) in cluster.classes.iter().zip(&cluster.served) {
        let cost = class.cost as f64;
        owed += cost * served.callers as f64;
        worth += cost
            * (served.in_time as f64 + 0.2 * served.late as f64
                - 0.3 * served.refused_again as f64);
    }
    println!("worth {:.3}", worth / owed);
    println!("worst window {:.3}, {} messages", cluster.worst_window, cluster.messages);
}

fn assert_flood_is_served(cluster: &Cluster) {
    report(cluster);
    assert!(cluster.worst_window <= 1.0, "{:.3} of a window", cluster.worst_window);
    let callers: u64 = cluster.served.iter().map(|served| served.callers).sum();
    let count = |served: &simulation::Served| served.in_time + served.late;
    let average = cluster.served.iter().map(count).sum::<u64>() as f64 / callers as f64;
    let rates: Vec<f64> =
        cluster.served.iter().map(|served| count(served) as f64 / served.callers as f64).collect();
    for rate in &rates {
        assert!(*rate >= average / 4.0, "{rates:.3?} served, {average:.3} on average");
    }
    let booked: u64 = cluster.served.iter().map(|served| served.booked).sum();
    let booked_served: u64 = cluster.served.iter().map(|served| served.booked_served).sum();
    let kept = booked_served as f64 / booked.max(1) as f64;
    assert!(kept >= MIN_BOOKED_SERVED, "{kept:.3} of {booked} bookings were kept");
}

/// Checks that, during the flood, no rank is served in time less often than a less urgent one.
fn assert_ranks_are_kept(cluster: &Cluster) {
    let in_time = |served: &simulation::Served| served.in_time as f64 / served.callers as f64;
    let rates: Vec<f64> = cluster.served.iter().map(in_time).collect();
    for pair in rates.windows(2) {
        assert!(pair[0] >= pair[1] - MAX_INVERSION, "{rates:.3?} in time, by rank");
    }
}

/// Guards against chance deciding between the requests of a workspace that asks for many times its quota.
#[rstest]
fn a_flood_is_served_in_order(#[values(1, 2, 3)] seed: u64, #[values(5.0, 6.0, 7.0)] factor: f64) {
    let mut cluster = cluster(seed);
    cluster.play(secs(4), USUAL);
    cluster.forget_served();
    cluster.play(FLOOD, factor);
    report(&cluster);
    assert_ranks_are_kept(&cluster);
    let flood = std::mem::take(&mut cluster.served);
    cluster.play(secs(12), USUAL);
    println!("after");
    report(&cluster);
    cluster.add_served(&flood);
    assert_flood_is_served(&cluster);
}

/// Guards against requests within a quota that wait longer because of the order.
#[rstest]
fn usual_demand_waits_for_nothing(#[values(1, 2)] seed: u64) {
    let waits = |way| {
        let mut cluster = cluster_by(way, seed);
        cluster.loss_ratio = 0.0;
        cluster.play(secs(4), USUAL);
        cluster.forget_served();
        cluster.play(secs(10), USUAL);
        report(&cluster);
        let callers: u64 = cluster.served.iter().map(|served| served.callers).sum();
        let in_time: u64 = cluster.served.iter().map(|served| served.in_time).sum();
        assert!(in_time as f64 >= 0.99 * callers as f64, "{in_time} of {callers} in time");
        let mut waits: Vec<_> =
            cluster.served.iter().flat_map(|served| served.waits.clone()).collect();
        waits.sort_unstable();
        [waits[waits.len() / 2], waits[waits.len() * 99 / 100]]
    };
    let (in_order, by_arrival) = (waits(Way::InOrder), waits(Way::Keeper));
    let slack = Duration::from_millis(8);
    assert!(in_order[0] <= by_arrival[0] + slack, "{in_order:?}, {by_arrival:?} by arrival");
    assert!(in_order[1] <= by_arrival[1] + slack, "{in_order:?}, {by_arrival:?} by arrival");
}

/// Guards against an order that serves less of what is urgent than chance does, or refuses as many again.
#[rstest]
fn the_order_serves_callers_better_than_chance(#[values(1, 2, 3)] seed: u64) {
    let play = |way| {
        let mut cluster = cluster_by(way, seed);
        cluster.play(secs(4), USUAL);
        cluster.forget_served();
        cluster.play(FLOOD, 6.0);
        cluster.play(secs(12), USUAL);
        report(&cluster);
        cluster.served
    };
    let (ordered, by_chance) = (play(Way::InOrder), play(Way::Keeper));
    let share = |count: u64, served: &simulation::Served| count as f64 / served.callers as f64;
    let in_time = |served: &simulation::Served| share(served.in_time, served);
    assert!(in_time(&ordered[0]) > in_time(&by_chance[0]), "the most urgent rank");
    let again = |all: &[simulation::Served]| {
        let refused: u64 = all.iter().map(|served| served.refused_again).sum();
        refused as f64 / all.iter().map(|served| served.callers).sum::<u64>() as f64
    };
    assert!(again(&ordered) < again(&by_chance), "refused again");
    let patient = |all: &[simulation::Served]| share(all[2].refused_again, &all[2]);
    assert!(patient(&ordered) < 0.7 * patient(&by_chance), "patient callers refused again");
}

/// Calls that cost little beside the other classes, a quarter of the quota in a flood.
fn small_calls() -> Class {
    Class {
        rank: 2,
        objective: Duration::from_millis(75),
        deadline: Duration::from_millis(2_500),
        cost: 200,
        per_s: 0.045 * PER_S / 200.0,
    }
}

/// Guards against calls of a few tokens that are refused beside requests that each take as much as many of them.
#[rstest]
fn calls_that_cost_little_are_hardly_ever_refused(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = cluster(seed);
    cluster.classes.push(small_calls());
    cluster.play(secs(4), USUAL);
    cluster.forget_served();
    cluster.play(FLOOD, 5.0);
    println!("flood");
    report(&cluster);
    let flood = std::mem::take(&mut cluster.served);
    cluster.play(secs(12), USUAL);
    println!("after");
    report(&cluster);
    cluster.add_served(&flood);
    println!("both");
    assert_flood_is_served(&cluster);
    let small = &flood[3];
    assert!(small.in_time as f64 >= 0.9 * small.callers as f64, "{} in time", small.in_time);
}

/// A fault in the middle of a flood, by what is done to the routers.
fn flood_with(seed: u64, fault: impl Fn(&mut Cluster)) -> Cluster {
    let mut cluster = cluster(seed);
    cluster.play(secs(4), USUAL);
    cluster.forget_served();
    cluster.play(secs(3), 6.0);
    fault(&mut cluster);
    cluster.play(secs(3), 6.0);
    cluster.play(secs(12), USUAL);
    report(&cluster);
    assert!(cluster.worst_window <= 1.0, "{:.3} of a window", cluster.worst_window);
    cluster
}

/// Share of bookings that were kept.
fn kept(cluster: &Cluster) -> f64 {
    let booked: u64 = cluster.served.iter().map(|served| served.booked).sum();
    let served: u64 = cluster.served.iter().map(|served| served.booked_served).sum();
    served as f64 / booked.max(1) as f64
}

/// Guards against callers whose bookings are lost with a keeper that ends with a full queue.
#[rstest]
fn bookings_outlive_their_keeper(#[values(1, 2, 3)] seed: u64) {
    let cluster = flood_with(seed, |cluster| cluster.kill(0));
    assert!(kept(&cluster) >= 0.9, "{:.3} of the bookings were kept", kept(&cluster));
}

/// Guards against a queue that stops, or grants twice, when datagrams get lost.
#[rstest]
fn lost_datagrams_delay_and_grant_nothing_twice(#[values(1, 2, 3)] seed: u64) {
    let cluster = flood_with(seed, |cluster| cluster.loss_ratio = 0.05);
    assert!(kept(&cluster) >= 0.9, "{:.3} of the bookings were kept", kept(&cluster));
}

/// Guards against tokens that stay with the waiting requests of a router that has ended.
#[rstest]
fn a_router_that_ends_with_waiting_requests_holds_nothing_back(#[values(1, 2, 3)] seed: u64) {
    let cluster = flood_with(seed, |cluster| {
        cluster.kill(5);
        cluster.kill(6);
    });
    assert!(kept(&cluster) >= MIN_BOOKED_SERVED, "{:.3} of the bookings", kept(&cluster));
}

/// Guards against a keeper that grants from an outdated queue once it goes on.
#[rstest]
fn a_keeper_that_stood_still_grants_nothing_twice(#[values(1, 2, 3)] seed: u64) {
    flood_with(seed, |cluster| {
        cluster.freeze(0, true);
        cluster.play(secs(2), 6.0);
        cluster.freeze(0, false);
    });
}

/// Guards against room that is kept for callers who never come.
#[rstest]
fn room_that_nobody_takes_goes_to_others(#[values(1, 2)] seed: u64) {
    let mut cluster = cluster(seed);
    cluster.absent_ratio = 1.0;
    cluster.play(secs(4), USUAL);
    cluster.forget_served();
    cluster.play(FLOOD, 6.0);
    report(&cluster);
    let used = cluster.tally.admitted as f64 - 4.0 * PER_S * USUAL;
    let available = PER_S * FLOOD.as_secs_f64();
    assert!(used >= 0.95 * available, "{:.3} of the quota was used", used / available);
    cluster.play(secs(8), 0.0);
    cluster.forget_served();
    cluster.play(secs(5), USUAL);
    for served in &cluster.served {
        assert!(served.in_time as f64 >= 0.97 * served.callers as f64, "{served:?}");
    }
}

/// Guards against a second burst, and against requests that wait for ever, when all routers start again.
#[rstest]
fn a_restart_of_all_routers_keeps_the_quota(#[values(1, 2, 3)] seed: u64) {
    let cluster = flood_with(seed, Cluster::restart_all);
    for served in &cluster.served {
        assert!(served.longest_wait <= secs(14), "{:?}", served.longest_wait);
    }
}

/// Guards against requests that wait for more than a quota that was lowered meanwhile holds.
#[rstest]
#[case(10.0)]
#[case(1_000.0)]
#[case(f64::INFINITY)]
fn a_lowered_quota_refuses_what_it_cannot_hold(#[case] divisor: f64) {
    let mut cluster = cluster(1);
    cluster.play(secs(3), 6.0);
    cluster.quota.per_s = PER_S / divisor;
    cluster.quota.burst = PER_S / divisor;
    cluster.play(secs(3 + 8), 3.0);
    cluster.worst_window = 0.0;
    cluster.play(secs(8), 3.0);
    report(&cluster);
    assert!(cluster.worst_window <= 1.0, "{:.3} of a window", cluster.worst_window);
    for served in &cluster.served {
        assert!(served.longest_wait <= secs(14), "{:?}", served.longest_wait);
    }
}

/// Guards against requests of one flood that compete in two queues, as routers whose question was lost turn to the other
/// keeper.
#[rstest]
fn usual_demand_after_a_flood_is_served_in_time(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = cluster(seed);
    cluster.play(secs(4), USUAL);
    cluster.play(FLOOD, 6.0);
    cluster.forget_served();
    cluster.play(secs(8), USUAL);
    report(&cluster);
    for served in &cluster.served[..2] {
        assert!(served.in_time as f64 >= 0.85 * served.callers as f64, "{served:?}");
    }
}
