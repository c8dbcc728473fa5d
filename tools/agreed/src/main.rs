//! Measures the replicated state with real processes on loopback: the time until a change is in
//! force on every router, with and without faults, the time of a lease takeover, and the planner.
//!
//! Run with `cargo run --release -p agreed`. Results: docs/design/0002-agreed-state.md.

mod planner;

use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use testbed::{Deployment, Plan, plan::OPERATOR_KEY};

const CHANGES: u64 = 200;
const SLOW_CHANGES: u64 = 30;
const TAKEOVERS: u64 = 8;
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const ROUTER_COUNT: usize = 3;

fn router_names() -> impl Iterator<Item = String> {
    (0..ROUTER_COUNT).map(|i| format!("router-{i}"))
}

async fn settings_version_at(deployment: &Deployment, router: &str) -> u64 {
    let url = deployment.url(router, "/operator/get?prefix=-");
    let answer = deployment.http.get(url).bearer_auth(OPERATOR_KEY).send().await;
    let Ok(answer) = answer else { return 0 };
    let value: Value = answer.json().await.unwrap_or_default();
    value["version"].as_u64().unwrap_or_default()
}

/// Changes a document through a router and returns its new version.
async fn apply_change(
    deployment: &Deployment,
    router: &str,
    base_version: u64,
    load_ms: u64,
) -> Option<u64> {
    let value = json!({ "memory_mib": 8000, "versions": ["1", "2"], "load_ms": load_ms,
        "adapter_memory_mib": 500 });
    let change = json!({ "path": "shared/models/rounds-3b", "base": base_version, "value": value });
    let body = json!({ "changes": [change], "author": "measurement" });
    let post = deployment.http.post(deployment.url(router, "/operator/apply"));
    let answer = post.bearer_auth(OPERATOR_KEY).json(&body).send().await.ok()?;
    answer.json::<Value>().await.ok()?["version"].as_u64()
}

async fn document_version(deployment: &Deployment) -> u64 {
    let url = deployment.url("router-0", "/operator/get?prefix=shared/models/rounds-3b");
    let answer = deployment.http.get(url).bearer_auth(OPERATOR_KEY).send().await;
    let value: Value =
        answer.expect("the router responds").json().await.expect("the response is JSON");
    value["documents"][0]["version"].as_u64().unwrap_or_default()
}

/// Measures the time from the operator's request until every router has applied the change.
async fn propagation_times(
    deployment: &Deployment,
    changes: u64,
    fault: Option<Value>,
) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("the precision is valid");
    let mut base_version = document_version(deployment).await;
    for change in 0..changes {
        if let Some(fault) = &fault {
            deployment.inject_fault("log", fault).await;
        }
        let started_at = Instant::now();
        let version = apply_change(deployment, "router-1", base_version, 1000 + change).await;
        base_version = version.expect("the change is accepted");
        for router in router_names() {
            while settings_version_at(deployment, &router).await < base_version {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        times.record(started_at.elapsed().as_micros() as u64).expect("the time is in range");
    }
    deployment.inject_fault("log", &json!({})).await;
    times
}

async fn lease_holder(deployment: &Deployment, router: &str) -> (u64, String) {
    let status = deployment.status(router).await;
    let lease = &status["lease"];
    let name = lease["holder"][0].as_str().unwrap_or_default().to_owned();
    (lease["epoch"].as_u64().unwrap_or_default(), name)
}

/// Measures the time from the end of the lease holder until another router holds the lease.
async fn takeover_times(deployment: &mut Deployment, graceful: bool) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("the precision is valid");
    for _ in 0..TAKEOVERS {
        let (epoch, name) = lease_holder(deployment, "router-0").await;
        let other =
            router_names().find(|router| *router != name).expect("another router is running");
        let started_at = Instant::now();
        if graceful {
            deployment.process(&name).stop();
        } else {
            deployment.process(&name).kill();
        }
        loop {
            let (current_epoch, current) = lease_holder(deployment, &other).await;
            if current_epoch > epoch && !current.is_empty() {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        times.record(started_at.elapsed().as_micros() as u64).expect("the time is in range");
        deployment.process(&name).wait_for_exit(Duration::from_secs(10));
        deployment.start_process(&name);
        deployment.wait_for_answer(&name, "/readyz").await;
    }
    times
}

fn print_times(name: &str, times: &Histogram<u64>) {
    let ms = |us: u64| us as f64 / 1000.0;
    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    let (worst, count) = (ms(times.max()), times.len());
    println!(
        "{name}: p50 {:.1} ms, p99 {:.1} ms, worst {worst:.1} ms, of {count}",
        ms(p50),
        ms(p99)
    );
}

fn main() {
    planner::measure();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime can be created").block_on(async {
        let mut deployment =
            Deployment::start(Plan { routers: ROUTER_COUNT, ..Plan::default() }).await;
        print_times(
            "change in force, no fault",
            &propagation_times(&deployment, CHANGES, None).await,
        );
        let lost = json!({ "lose_answers": 1 });
        print_times(
            "change in force, append response lost",
            &propagation_times(&deployment, CHANGES, Some(lost)).await,
        );
        let slow = json!({ "slow_ms": 300 });
        print_times(
            "change in force, log slowed by 300 ms",
            &propagation_times(&deployment, SLOW_CHANGES, Some(slow)).await,
        );
        print_times("lease takeover after a kill", &takeover_times(&mut deployment, false).await);
        print_times(
            "lease takeover after a planned stop",
            &takeover_times(&mut deployment, true).await,
        );
        let appends = deployment.counters("log").await;
        println!("log: {appends}");
    });
}
