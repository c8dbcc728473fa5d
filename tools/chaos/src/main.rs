//! Rounds of random kills, freezes, silences and outages over real processes.
//!
//! `chaos --rounds 200 --seed 7` counts, against what the services really ran: bookings that ran
//! twice, a "not run" of one that ran, outcomes that contradict each other, and streams that
//! are mixed or cut without saying so. All must be 0. It also counts how many bookings ended
//! "unknown", and how many streams with an explicit error. The verdict depends on no time:
//! faults are drawn from the seed, and each round waits until everything is healed.

mod callers;
mod faults;
mod measure;
mod tally;

use callers::{Asked, Kept};
use faults::Fault;
use getopts::Options;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::{process::ExitCode, time::Duration};
use tally::Tally;
use testbed::{Deployment, Plan, booking::Booking, deployment::wait_for};
use tokio::time;

/// Bookings of one round; some are asked for twice at once.
const BOOKINGS: usize = 8;
/// Streams of one round.
const STREAMS: usize = 4;
/// Most faults of one round.
const MAX_FAULTS: usize = 3;
/// Longest pause before a booking is asked for.
const MAX_BOOKING_PAUSE_MS: u64 = 1_200;
/// Longest time that a service takes before and after a booking takes effect.
const MAX_WORK_MS: u64 = 250;
/// Longest pause between two faults.
const MAX_PAUSE_MS: u64 = 400;
/// Deadline of the question that settles a booking after its round.
const SETTLE_MS: u64 = 2_000;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "rounds", "how many rounds (default 200)", "N");
    options.optflag("", "measure", "measure what bookings cost, in place of rounds");
    options.optopt("", "seed", "seed of the random choices (default: drawn)", "N");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}\n{}", options.usage("chaos [--rounds N] [--seed N]"));
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the system gives a runtime");
    if matches.opt_present("measure") {
        runtime.block_on(measure::run());
        return ExitCode::SUCCESS;
    }
    let number = |name: &str| matches.opt_str(name).and_then(|text| text.parse::<u64>().ok());
    let rounds = number("rounds").unwrap_or(200);
    let seed = number("seed").unwrap_or_else(|| rand::random_range(0..1_000_000));
    println!("seed {seed}, {rounds} rounds");
    let tally = runtime.block_on(run(rounds, seed));
    println!("{tally}");
    if tally.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn plan() -> Plan {
    let options = ["--token-us", "10000", "--load-ms", "100"];
    let engine_options = options.map(str::to_owned).into();
    let mut plan = Plan { services: 2, relays: true, engine_options, ..Plan::default() };
    for (path, value) in &mut plan.documents {
        if path.ends_with("hinokuni/models/design-13b") {
            value["replicas"] = json!(2);
        }
    }
    plan
}

async fn run(rounds: u64, seed: u64) -> Tally {
    let mut deployment = Deployment::start(plan()).await;
    let kept = Kept::read(&deployment).await;
    let mut tally = Tally::default();
    for round in 0..rounds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000_003) + round);
        let before = tally.broken();
        let drawn = round_of(&mut deployment, &kept, round, &mut rng, &mut tally).await;
        if tally.broken() > before {
            println!("round {round} broke a promise under {drawn:?}: {tally}");
        }
    }
    tally
}

async fn round_of(
    deployment: &mut Deployment,
    kept: &Kept,
    round: u64,
    rng: &mut ChaCha8Rng,
    tally: &mut Tally,
) -> Vec<Fault> {
    for i in 0..deployment.plan.services {
        let mut work = || rng.random_range(0..MAX_WORK_MS);
        let work = json!({ "before_ms": work(), "after_ms": work() });
        deployment.inject_fault(&format!("service-{i}"), &work).await;
    }
    let mut asked = Asked::default();
    for number in 0..BOOKINGS {
        let deadline_ms = rng.random_range(800..3_000);
        let booking = Booking::new(&format!("round-{round}-{number}"), deadline_ms);
        let router = rng.random_range(0..deployment.plan.routers);
        let mut after = || Duration::from_millis(rng.random_range(0..MAX_BOOKING_PAUSE_MS));
        let (first, second) = (after(), after());
        asked.book(deployment, &booking, router, first);
        if rng.random_bool(0.5) {
            asked.book(deployment, &booking, deployment.plan.routers - 1 - router, second);
        }
    }
    for number in 0..STREAMS {
        asked.stream(deployment, number, rng.random_range(0..deployment.plan.routers));
    }
    let count = rng.random_range(1..=MAX_FAULTS);
    let drawn: Vec<Fault> = (0..count).map(|_| Fault::draw(deployment, rng)).collect();
    for fault in &drawn {
        time::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        fault.begin(deployment).await;
    }
    time::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS * 4))).await;
    for fault in drawn.iter().rev() {
        fault.heal(deployment).await;
    }
    let mut answers = asked.finish(kept, tally).await;
    healed(deployment, round).await;
    for (key, answers) in &mut answers {
        let booking = Booking::new(key, SETTLE_MS);
        answers.push(booking.send_via(deployment, "router-0").await);
        answers.push(booking.send_via(deployment, "router-1").await);
        tally.booking(key, answers, deployment.execution_count(key).await);
    }
    drawn
}

/// Waits until bookings and models go on through every router.
async fn healed(deployment: &Deployment, round: u64) {
    for router in ["router-0", "router-1"] {
        deployment.wait_for_answer(router, "/readyz").await;
        let mut turn = 0;
        wait_for("bookings go on", async || {
            turn += 1;
            let probe = Booking::new(&format!("probe-{round}-{router}-{turn}"), SETTLE_MS);
            probe.send_via(deployment, router).await.is_some_and(|answer| answer.outcome == "ran")
        })
        .await;
    }
}
