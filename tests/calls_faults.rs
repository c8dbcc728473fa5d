//! Non-idempotent calls during crashes, suspensions and log outages of real processes.

use rstest::rstest;
use serde_json::json;
use std::time::{Duration, Instant};
use testbed::{
    Deployment, Plan,
    booking::{Answer, Booking},
    deployment::wait_for,
};

const DEADLINE_MS: u64 = 4_000;

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime can be created").block_on(run)
}

async fn start() -> Deployment {
    let deployment = Deployment::start(Plan { engines: 2, ..Plan::default() }).await;
    // Waits until every router reaches the service.
    for router in ["router-0", "router-1"] {
        let booking = Booking::new(&format!("warm-{router}"), DEADLINE_MS);
        wait_for("a first booking", async || {
            booking.send_via(&deployment, router).await.is_some_and(|a| a.outcome == "ran")
        })
        .await;
    }
    deployment
}

async fn book(deployment: &Deployment, router: &str, booking: &Booking) -> Answer {
    booking.send_via(deployment, router).await.expect("the router answers")
}

/// A repeat through another router while the first call is running must get its outcome, not
/// "unknown".
#[rstest]
fn a_concurrent_repeat_gets_the_same_outcome() {
    block_on(async {
        let deployment = start().await;
        deployment.inject_fault("service-0", &json!({ "before_ms": 700, "plain": true })).await;
        let booking = Booking::new("b-1", DEADLINE_MS);
        let (first, second) = tokio::join!(
            book(&deployment, "router-0", &booking),
            book(&deployment, "router-1", &booking)
        );
        assert_eq!((first.status, first.outcome.as_str()), (201, "ran"));
        assert_eq!(first.content_type, "text/plain");
        assert_eq!(first, second);
        // A later repeat gets the same status, type and body.
        assert_eq!(book(&deployment, "router-1", &booking).await, first);
        assert_eq!(deployment.execution_count("b-1").await, 1);
    });
}

/// A second booking with a reused key must not get the response of the first.
#[rstest]
fn the_same_key_with_another_body_is_a_conflict() {
    block_on(async {
        let deployment = start().await;
        let booking = Booking::new("b-1", DEADLINE_MS);
        assert_eq!(book(&deployment, "router-0", &booking).await.outcome, "ran");
        let other = Booking { day: 4, ..booking };
        for router in ["router-0", "router-1"] {
            let answer = book(&deployment, router, &other).await;
            assert_eq!((answer.status, answer.error_code().as_str()), (409, "key_conflict"));
            assert_eq!(answer.outcome, "not-run");
        }
        assert_eq!(deployment.execution_count("b-1").await, 1);
    });
}

#[rstest]
#[case::missing(0)]
#[case::too_long(256)]
fn an_invalid_key_is_rejected(#[case] length: usize) {
    block_on(async {
        let deployment = start().await;
        let booking = Booking::new(&"k".repeat(length), DEADLINE_MS);
        let answer = book(&deployment, "router-0", &booking).await;
        assert_eq!(
            (answer.status, answer.error_code().as_str()),
            (400, "idempotency_key_required")
        );
        assert_eq!(answer.outcome, "not-run");
    });
}

/// If the agent cannot connect to the service, the outcome is "not-run" rather than "unknown".
#[rstest]
fn an_unreachable_service_means_not_run() {
    block_on(async {
        let mut deployment = start().await;
        deployment.process("service-0").kill();
        let booking = Booking::new("b-1", DEADLINE_MS);
        let first = book(&deployment, "router-0", &booking).await;
        assert_eq!((first.status, first.outcome.as_str()), (410, "not-run"), "{first:?}");
        deployment.start_process("service-0");
        deployment.wait_for_answer("service-0", "/counts").await;
        for router in ["router-0", "router-1"] {
            let repeat = book(&deployment, router, &booking).await;
            assert_eq!((repeat.status, repeat.outcome.as_str()), (410, "not-run"), "{repeat:?}");
        }
        assert_eq!(deployment.execution_count("b-1").await, 0);
    });
}

/// A booking reported as "not-run" must not run when its frozen agent resumes.
#[rstest]
fn a_call_that_expires_before_its_claim_never_runs() {
    block_on(async {
        let mut deployment = start().await;
        deployment.process("agent-service-0").freeze();
        let booking = Booking::new("b-1", 2_500);
        let started_at = Instant::now();
        let answer = book(&deployment, "router-0", &booking).await;
        assert!(started_at.elapsed() < Duration::from_millis(3_500), "responds in time");
        assert_eq!(answer.outcome, "not-run", "{answer:?}");
        deployment.process("agent-service-0").resume();
        let after = Booking::new("b-2", DEADLINE_MS);
        wait_for("the agent takes calls again", async || {
            book(&deployment, "router-0", &after).await.outcome == "ran"
        })
        .await;
        let repeat = book(&deployment, "router-1", &booking).await;
        assert_eq!((repeat.status, repeat.outcome.as_str()), (410, "not-run"), "{repeat:?}");
        assert_eq!(deployment.execution_count("b-1").await, 0);
    });
}

/// During a log outage, bookings must be rejected without delay and must not run after it.
#[rstest]
fn with_the_log_down_a_booking_is_refused_at_once() {
    block_on(async {
        let deployment = start().await;
        let kept = Booking::new("b-0", DEADLINE_MS);
        let known = book(&deployment, "router-0", &kept).await;
        deployment.inject_fault("log", &json!({ "down": true })).await;
        let mut last = None;
        for number in 0..20 {
            let booking = Booking::new(&format!("b-down-{number}"), DEADLINE_MS);
            last = Some((booking.clone(), book(&deployment, "router-0", &booking).await));
        }
        let (booking, answer) = last.expect("twenty bookings were sent");
        assert_eq!((answer.status, answer.error_code().as_str()), (503, "refused"), "{answer:?}");
        assert_eq!(answer.outcome, "not-run");
        assert!(answer.retry_after.is_some());
        let started_at = Instant::now();
        assert_eq!(book(&deployment, "router-1", &booking).await.outcome, "not-run");
        assert!(started_at.elapsed() < Duration::from_secs(1), "rejected without delay");
        // Known outcomes are returned during an outage.
        assert_eq!(book(&deployment, "router-1", &kept).await, known);
        deployment.inject_fault("log", &json!({})).await;
        let after = Booking::new("b-after", DEADLINE_MS);
        wait_for("bookings go on", async || {
            book(&deployment, "router-0", &after).await.outcome == "ran"
        })
        .await;
        for number in 0..20 {
            assert_eq!(
                deployment.execution_count(&format!("b-down-{number}")).await,
                0,
                "number {number}"
            );
        }
    });
}

/// A claim appended again after a lost response must not be mistaken for another agent's claim.
#[rstest]
fn lost_append_responses_do_not_change_the_outcome() {
    block_on(async {
        let deployment = start().await;
        deployment.inject_fault("log", &json!({ "lose_answers": 2 })).await;
        let booking = Booking::new("b-1", DEADLINE_MS);
        let first = book(&deployment, "router-0", &booking).await;
        assert_eq!(first.outcome, "ran", "{first:?}");
        assert_eq!(book(&deployment, "router-1", &booking).await, first);
        assert_eq!(deployment.execution_count("b-1").await, 1);
    });
}

/// A repeat after a router crash must return the outcome of the first call.
#[rstest]
fn a_router_that_dies_after_forwarding_leaves_one_booking() {
    block_on(async {
        let mut deployment = start().await;
        deployment.inject_fault("service-0", &json!({ "after_ms": 800 })).await;
        let booking = Booking::new("b-1", DEADLINE_MS);
        let url = deployment.url("router-0", "/services/agenda/bookings");
        let (http, interrupted) = (deployment.http.clone(), booking.clone());
        let interrupted = tokio::spawn(async move { interrupted.send(&http, url).await });
        wait_for("the booking runs", async || deployment.execution_count("b-1").await == 1).await;
        deployment.process("router-0").kill();
        assert_eq!(interrupted.await.expect("the task ends"), None);
        let repeat = book(&deployment, "router-1", &booking).await;
        assert_eq!((repeat.status, repeat.outcome.as_str()), (200, "ran"), "{repeat:?}");
        assert_eq!(deployment.execution_count("b-1").await, 1);
    });
}

/// If the agent dies while the service executes a call, every router must report "unknown" in
/// time and never "not-run".
#[rstest]
fn an_agent_crash_during_a_call_makes_its_outcome_unknown() {
    block_on(async {
        let mut deployment = start().await;
        deployment.inject_fault("service-0", &json!({ "after_ms": 5_000 })).await;
        let booking = Booking::new("b-1", DEADLINE_MS);
        let url = deployment.url("router-1", "/services/agenda/bookings");
        let (http, first) = (deployment.http.clone(), booking.clone());
        let first = tokio::spawn(async move { first.send(&http, url).await });
        wait_for("the booking runs", async || deployment.execution_count("b-1").await == 1).await;
        deployment.process("agent-service-0").kill();
        deployment.process("router-0").freeze();
        let first = first.await.expect("the task ends").expect("the router answers");
        assert_eq!((first.status, first.outcome.as_str()), (504, "unknown"), "{first:?}");
        deployment.process("router-0").resume();
        deployment.inject_fault("service-0", &json!({})).await;
        deployment.start_process("agent-service-0");
        for router in ["router-0", "router-1"] {
            let again = Booking::new("b-1", 1_500);
            let repeat = book(&deployment, router, &again).await;
            assert_eq!((repeat.status, repeat.outcome.as_str()), (504, "unknown"), "{repeat:?}");
        }
        assert_eq!(deployment.execution_count("b-1").await, 1);
    });
}

/// Concurrent calls with one key at two agents must run once.
#[rstest]
fn two_agents_that_race_for_one_key_run_it_once() {
    block_on(async {
        let plan = Plan { engines: 2, services: 2, ..Plan::default() };
        let deployment = Deployment::start(plan).await;
        let warm = Booking::new("warm", DEADLINE_MS);
        wait_for("a first booking", async || {
            let answer = warm.send_via(&deployment, "router-1").await;
            answer.is_some_and(|answer| answer.outcome == "ran")
        })
        .await;
        for number in 0..20 {
            let booking = Booking::new(&format!("b-{number}"), DEADLINE_MS);
            let (first, second, third) = tokio::join!(
                book(&deployment, "router-0", &booking),
                book(&deployment, "router-1", &booking),
                book(&deployment, "router-0", &booking)
            );
            assert_eq!(first.outcome, "ran", "{first:?}");
            assert_eq!((&first, &first), (&second, &third));
            assert_eq!(deployment.execution_count(&booking.idempotency_key).await, 1);
        }
    });
}

/// A booking left unread in the socket of a frozen router must not run after its deadline.
#[rstest]
fn a_frozen_router_does_not_run_an_expired_booking() {
    block_on(async {
        let mut deployment = start().await;
        deployment.process("router-0").freeze();
        let booking = Booking::new("b-1", 1_000);
        let url = deployment.url("router-0", "/services/agenda/bookings");
        let http = deployment.http.clone();
        let pending = tokio::spawn(async move { booking.send(&http, url).await });
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        deployment.process("router-0").resume();
        let late = pending.await.expect("the task ends").expect("the router answers");
        assert_eq!((late.status, late.outcome.as_str()), (504, "unknown"), "{late:?}");
        assert_eq!(deployment.execution_count("b-1").await, 0);
        let after = Booking::new("b-2", DEADLINE_MS);
        wait_for("the router takes bookings again", async || {
            book(&deployment, "router-0", &after).await.outcome == "ran"
        })
        .await;
    });
}

/// An agent frozen between sending its claim and reading it back must not run the call on resume,
/// and a repeat must get a definite outcome.
#[rstest]
fn a_frozen_agent_withdraws_its_claim_on_resume() {
    block_on(async {
        let mut deployment = start().await;
        deployment.inject_fault("log", &json!({ "slow_ms": 600 })).await;
        let booking = Booking::new("b-1", 3_000);
        let url = deployment.url("router-0", "/services/agenda/bookings");
        let (http, first) = (deployment.http.clone(), booking.clone());
        let first = tokio::spawn(async move { first.send(&http, url).await });
        // Lets the agent send its claim; otherwise the call is rejected before the claim.
        tokio::time::sleep(Duration::from_millis(200)).await;
        deployment.process("agent-service-0").freeze();
        let first = first.await.expect("the task ends").expect("the router answers");
        assert_ne!(first.outcome, "ran", "{first:?}");
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        deployment.process("agent-service-0").resume();
        deployment.inject_fault("log", &json!({})).await;
        wait_for("a definite answer", async || {
            let again = book(&deployment, "router-1", &Booking::new("b-1", 1_000)).await;
            again.outcome != "unknown" && again.status == 410
        })
        .await;
        assert_eq!(deployment.execution_count("b-1").await, 0);
    });
}
