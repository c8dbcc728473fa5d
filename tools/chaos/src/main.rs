//! Runs rounds of random faults against real processes and checks delivery guarantees.
//!
//! `chaos --rounds 200 --seed 7` fails if a booking ran twice, was reported as not run although
//! it ran, or has contradictory outcomes, or if a stream is corrupted or truncated without an
//! error. Faults are drawn from the seed, and each round waits until the deployment is healthy
//! again, so the result does not depend on timing.

mod callers;
mod faults;
mod measure;
mod tally;

use callers::{InFlightRequests, ReferenceAnswers};
use faults::Fault;
use getopts::Options;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::{process::ExitCode, time::Duration};
use tally::Tally;
use testbed::{Deployment, Plan, booking::Booking, deployment::wait_for};
use tokio::time;

/// Some bookings of a round are sent through two routers.
const BOOKINGS_PER_ROUND: usize = 8;
const STREAMS_PER_ROUND: usize = 4;
const MAX_FAULTS_PER_ROUND: usize = 3;
const MAX_BOOKING_DELAY_MS: u64 = 1_200;
/// Upper bound of the service's delay before and after a booking takes effect.
const MAX_SERVICE_DELAY_MS: u64 = 250;
/// Upper bound of the delay between two faults.
const MAX_FAULT_DELAY_MS: u64 = 400;
/// Deadline of the requests that query a booking's outcome after its round.
const OUTCOME_QUERY_DEADLINE_MS: u64 = 2_000;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "rounds", "number of rounds (default 200)", "N");
    options.optflag("", "measure", "measure the cost of bookings instead of running rounds");
    options.optopt("", "seed", "random seed (default: random)", "N");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}\n{}", options.usage("chaos [--rounds N] [--seed N]"));
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime can be created");
    if matches.opt_present("measure") {
        runtime.block_on(measure::run());
        return ExitCode::SUCCESS;
    }
    let number = |name: &str| matches.opt_str(name).and_then(|text| text.parse::<u64>().ok());
    let rounds = number("rounds").unwrap_or(200);
    let seed = number("seed").unwrap_or_else(|| rand::random_range(0..1_000_000));
    println!("seed {seed}, {rounds} rounds");
    let tally = runtime.block_on(run_rounds(rounds, seed));
    println!("{tally}");
    if tally.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn deployment_plan() -> Plan {
    let options = ["--token-us", "10000", "--load-ms", "100"];
    let engine_options = options.map(str::to_owned).into();
    let mut plan = Plan { services: 2, use_relays: true, engine_options, ..Plan::default() };
    for (path, value) in &mut plan.documents {
        if path.ends_with("hinokuni/models/design-13b") {
            value["replicas"] = json!(2);
        }
    }
    plan
}

async fn run_rounds(rounds: u64, seed: u64) -> Tally {
    let mut deployment = Deployment::start(deployment_plan()).await;
    let reference = ReferenceAnswers::record(&deployment).await;
    let mut tally = Tally::default();
    for round in 0..rounds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000_003) + round);
        let violations_before = tally.violation_count();
        let faults = run_round(&mut deployment, &reference, round, &mut rng, &mut tally).await;
        if tally.violation_count() > violations_before {
            println!("round {round} violated a guarantee under {faults:?}: {tally}");
        }
    }
    tally
}

async fn run_round(
    deployment: &mut Deployment,
    reference: &ReferenceAnswers,
    round: u64,
    rng: &mut ChaCha8Rng,
    tally: &mut Tally,
) -> Vec<Fault> {
    for i in 0..deployment.plan.services {
        let mut delay = || rng.random_range(0..MAX_SERVICE_DELAY_MS);
        let delay = json!({ "before_ms": delay(), "after_ms": delay() });
        deployment.inject_fault(&format!("service-{i}"), &delay).await;
    }
    let mut requests = InFlightRequests::default();
    for index in 0..BOOKINGS_PER_ROUND {
        let deadline_ms = rng.random_range(800..3_000);
        let booking = Booking::new(&format!("round-{round}-{index}"), deadline_ms);
        let router = rng.random_range(0..deployment.plan.routers);
        let mut delay_before = || Duration::from_millis(rng.random_range(0..MAX_BOOKING_DELAY_MS));
        let (first, second) = (delay_before(), delay_before());
        requests.start_booking(deployment, &booking, router, first);
        if rng.random_bool(0.5) {
            requests.start_booking(
                deployment,
                &booking,
                deployment.plan.routers - 1 - router,
                second,
            );
        }
    }
    for index in 0..STREAMS_PER_ROUND {
        requests.start_stream(deployment, index, rng.random_range(0..deployment.plan.routers));
    }
    let fault_count = rng.random_range(1..=MAX_FAULTS_PER_ROUND);
    let faults: Vec<Fault> = (0..fault_count).map(|_| Fault::draw(deployment, rng)).collect();
    for fault in &faults {
        time::sleep(Duration::from_millis(rng.random_range(0..MAX_FAULT_DELAY_MS))).await;
        fault.inject(deployment).await;
    }
    time::sleep(Duration::from_millis(rng.random_range(0..MAX_FAULT_DELAY_MS * 4))).await;
    for fault in faults.iter().rev() {
        fault.revert(deployment).await;
    }
    let mut answers = requests.finish(reference, tally).await;
    wait_until_healthy(deployment, round).await;
    for (key, answers) in &mut answers {
        let booking = Booking::new(key, OUTCOME_QUERY_DEADLINE_MS);
        answers.push(booking.send_via(deployment, "router-0").await);
        answers.push(booking.send_via(deployment, "router-1").await);
        tally.record_booking(key, answers, deployment.execution_count(key).await);
    }
    faults
}

/// Waits until every router is ready and completes a booking.
async fn wait_until_healthy(deployment: &Deployment, round: u64) {
    for router in ["router-0", "router-1"] {
        deployment.wait_for_answer(router, "/readyz").await;
        let mut attempt = 0;
        wait_for("a booking completes", async || {
            attempt += 1;
            let probe = Booking::new(
                &format!("probe-{round}-{router}-{attempt}"),
                OUTCOME_QUERY_DEADLINE_MS,
            );
            probe.send_via(deployment, router).await.is_some_and(|answer| answer.outcome == "ran")
        })
        .await;
    }
}
