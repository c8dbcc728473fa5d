//! Requests that end each target that runs them, and the requests beside them.

mod common;

use common::{
    RouterThread,
    crashing::{CRASHING_PATH, Deployment, FAILING_HEADER, OTHER_HOST, RESTART_DELAY},
};
use corianderstand_fleet::config::RetryPolicy;
use rstest::rstest;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

const HARMLESS_PATH: &str = "/desk/harmless";

/// Guards against a request that is sent to one target after another until none is left.
#[rstest]
#[case::sent_once(RetryPolicy::Never)]
#[case::sent_again(RetryPolicy::Allowed)]
#[tokio::test]
async fn a_request_that_ends_its_targets_is_refused_by_all_routers(#[case] policy: RetryPolicy) {
    let deployment = Deployment::start(policy).await;
    deployment.repeat_until_refused().await;
    let ends = deployment.service.ends();
    for router in [0, 1, 0, 1] {
        let answer = deployment.ask(router, CRASHING_PATH, &[]).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    assert_eq!(deployment.service.ends(), ends, "it reaches no further target");
}

/// Guards against a router that forgets at its start what the others know.
#[tokio::test]
async fn a_router_that_starts_refuses_what_the_others_refuse() {
    let mut deployment = Deployment::start(RetryPolicy::Never).await;
    deployment.repeat_until_refused().await;
    let ends = deployment.service.ends();
    let seeds = vec![deployment.routers[0].peers];
    let limit = Duration::from_secs(8);
    let late = RouterThread::start_with(&deployment.store, "router-c", seeds, limit);
    late.wait_ready().await;
    deployment.routers.push(late);
    deployment.repeat_until_refused().await;
    assert!(deployment.service.ends() <= ends + 1, "one may arrive before the news does");
}

/// Guards against refusing the requests that are cut off beside a crashing one.
#[tokio::test]
async fn requests_beside_a_crashing_one_are_not_refused() {
    let deployment = Arc::new(Deployment::start(RetryPolicy::Allowed).await);
    let mut callers = JoinSet::new();
    for number in 0..12 {
        let deployment = deployment.clone();
        callers.spawn(async move {
            let path = format!("{HARMLESS_PATH}/{number}");
            let mut served = 0;
            while served < 10 {
                let answer = deployment.ask(number % 2, &path, &[]).await;
                assert!(!answer.contains("ended the targets"), "{answer}");
                served += usize::from(answer.starts_with("HTTP/1.1 200"));
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
    }
    deployment.repeat_until_refused().await;
    while let Some(served) = callers.join_next().await {
        served.unwrap();
    }
}

/// Guards against refusing a request that many callers repeat and that some target always runs.
#[tokio::test]
async fn a_frequent_request_beside_a_crashing_one_is_not_refused() {
    let deployment = Arc::new(Deployment::start(RetryPolicy::Never).await);
    let mut callers = JoinSet::new();
    for number in 0..8 {
        let deployment = deployment.clone();
        callers.spawn(async move {
            for _ in 0..40 {
                let answer = deployment.ask(number % 2, HARMLESS_PATH, &[]).await;
                assert!(!answer.contains("ended the targets"), "{answer}");
            }
        });
    }
    deployment.repeat_until_refused().await;
    while let Some(served) = callers.join_next().await {
        served.unwrap();
    }
}

/// Guards against one caller that has another caller's request refused.
#[rstest]
#[case::with_other_credentials(("authorization", "Bearer other"))]
#[case::of_another_workspace(("host", OTHER_HOST))]
#[tokio::test]
async fn the_same_request_of_another_caller_is_not_refused(#[case] header: (&str, &str)) {
    let deployment = Deployment::start(RetryPolicy::Never).await;
    deployment.repeat_until_refused().await;
    let ends = deployment.service.ends();
    let answer = deployment.ask(0, CRASHING_PATH, &[header]).await;
    assert!(!answer.contains("ended the targets"), "{answer}");
    assert_eq!(deployment.service.ends(), ends + 1, "it reaches a target");
}

/// Guards against an engine's error that is taken for proof that the request does no harm.
#[tokio::test]
async fn an_error_does_not_clear_a_request() {
    const MAX_ENDS_AT_ONE_ROUTER: usize = 4;
    let deployment = Deployment::start(RetryPolicy::Never).await;
    for headers in [&[][..], &[], &[(FAILING_HEADER, "1")]] {
        deployment.ask(0, CRASHING_PATH, headers).await;
        tokio::time::sleep(RESTART_DELAY).await;
    }
    let started_at = Instant::now();
    while !deployment.ask(0, CRASHING_PATH, &[]).await.contains("ended the targets") {
        assert!(started_at.elapsed() < common::WAIT_LIMIT, "it is refused at last");
        tokio::time::sleep(RESTART_DELAY).await;
    }
    let ends = deployment.service.ends();
    assert!(ends <= MAX_ENDS_AT_ONE_ROUTER, "{ends} targets ended");
}
