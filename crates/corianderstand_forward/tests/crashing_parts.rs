//! Differing requests whose prompts have a part in common that ends each target that runs it.

mod common;

use common::{
    RouterThread,
    crashing::{CRASHING_PART, Deployment, PARTS_HEADER, RESTART_DELAY},
};
use corianderstand_fleet::config::RetryPolicy;
use rstest::rstest;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Part that all prompts of the route begin with.
const FIRST_PART: &str = "first";
/// Ends that are needed as evidence, and those that may come while it spreads.
const MAX_ENDS: usize = 5 + 3;
const PAUSE: Duration = Duration::from_millis(20);

/// Sends a request that no other equals and that has the crashing part; returns whether it was refused for it.
async fn ask_with_crashing_part(deployment: &Deployment, router: usize, number: usize) -> bool {
    let path = format!("/desk/{number}");
    let parts = format!("{FIRST_PART},{CRASHING_PART},own-{number}");
    let answer = deployment.ask(router, &path, &[(PARTS_HEADER, &parts)]).await;
    answer.starts_with("HTTP/1.1 503")
        && answer.contains("ended the targets")
        && answer.to_lowercase().contains("retry-after")
}

/// Sends a sound request that shares the first part and returns its answer.
async fn ask_with_first_part(deployment: &Deployment, router: usize, number: usize) -> String {
    let path = format!("/desk/sound/{number}");
    let parts = format!("{FIRST_PART},subject-{},sound-{number}", number % 3);
    deployment.ask(router, &path, &[(PARTS_HEADER, &parts)]).await
}

async fn repeat_until_refused(deployment: &Deployment) {
    let started_at = Instant::now();
    let mut refused = vec![false; deployment.routers.len()];
    let mut number = 0;
    while refused.contains(&false) {
        assert!(started_at.elapsed() < common::WAIT_LIMIT, "it is refused at last");
        let ends = deployment.service.ends();
        assert!(ends <= MAX_ENDS, "{ends} targets ended");
        number += 1;
        let router = number % refused.len();
        refused[router] = ask_with_crashing_part(deployment, router, number).await;
        // Targets need a moment to restart.
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

/// Guards against differing requests with one part in common that end one target after another.
#[rstest]
#[case::sent_once(RetryPolicy::Never)]
#[case::sent_again(RetryPolicy::Allowed)]
#[tokio::test]
async fn a_part_that_ends_its_targets_is_refused_by_all_routers(#[case] policy: RetryPolicy) {
    let deployment = Deployment::start(policy).await;
    repeat_until_refused(&deployment).await;
    let ends = deployment.service.ends();
    for number in 1_000..1_020 {
        let refused = ask_with_crashing_part(&deployment, number % 2, number).await;
        assert!(refused, "request {number}");
    }
    assert_eq!(deployment.service.ends(), ends, "it reaches no further target");
}

/// Guards against refusing all requests that share the first part of the prompts with those that end targets.
#[tokio::test]
async fn sound_requests_with_the_same_first_part_are_served() {
    let deployment = Arc::new(Deployment::start(RetryPolicy::Allowed).await);
    let stop = Arc::<AtomicBool>::default();
    let mut callers = JoinSet::new();
    for caller in 0..6 {
        let (deployment, stop) = (deployment.clone(), stop.clone());
        callers.spawn(async move {
            let mut number = caller;
            while !stop.load(Ordering::Relaxed) {
                number += 6;
                let answer = ask_with_first_part(&deployment, caller % 2, number).await;
                assert!(!answer.contains("ended the targets"), "{answer}");
                tokio::time::sleep(PAUSE).await;
            }
        });
    }
    tokio::time::sleep(RESTART_DELAY).await;
    repeat_until_refused(&deployment).await;
    stop.store(true, Ordering::Relaxed);
    while let Some(done) = callers.join_next().await {
        done.unwrap();
    }
    for number in 0..20 {
        let answer = ask_with_first_part(&deployment, number % 2, number).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// Guards against a router that forgets at its start which parts the others refuse.
#[tokio::test]
async fn a_router_that_starts_refuses_the_parts_that_the_others_refuse() {
    let mut deployment = Deployment::start(RetryPolicy::Never).await;
    repeat_until_refused(&deployment).await;
    let ends = deployment.service.ends();
    let seeds = vec![deployment.routers[0].peers];
    let limit = Duration::from_secs(8);
    let late = RouterThread::start_with(&deployment.store, "router-c", seeds, limit);
    late.wait_ready().await;
    deployment.routers.push(late);
    repeat_until_refused(&deployment).await;
    assert!(deployment.service.ends() <= ends + 1, "one may arrive before the news does");
}

/// Guards against sending all requests that waited for targets to those that are back, after many ended at once.
#[tokio::test]
async fn only_probes_are_sent_after_many_targets_ended_at_once() {
    const TARGETS: usize = 8;
    const CALLERS: usize = 24;
    let deployment = Arc::new(Deployment::start_with(RetryPolicy::Never, TARGETS).await);
    let mut first = JoinSet::new();
    for number in 0..TARGETS {
        let deployment = deployment.clone();
        first.spawn(async move { ask_with_crashing_part(&deployment, 0, number).await });
    }
    first.join_all().await;
    let ends = deployment.service.ends();
    assert!(ends >= 5, "{ends} targets ended at once");
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let deployment = deployment.clone();
        callers.spawn(async move {
            let started_at = Instant::now();
            let mut number = TARGETS + caller;
            while started_at.elapsed() < RESTART_DELAY * 10 {
                ask_with_crashing_part(&deployment, caller % 2, number).await;
                number += CALLERS;
                tokio::time::sleep(PAUSE).await;
            }
        });
    }
    callers.join_all().await;
    let further = deployment.service.ends() - ends;
    assert!(further <= 3, "{further} further targets ended");
}
