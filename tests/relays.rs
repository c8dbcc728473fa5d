//! Log relays: a few routers read the log and forward it to the others.

use corianderstand_control::source;
use corianderstand_types::names::WriterId;
use rstest::rstest;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use std::time::{Duration, Instant};
use testbed::{Deployment, Plan, deployment::wait_for, plan::OPERATOR_KEY, plan::VIDRIO_KEY};

const ROUTER_COUNT: usize = 6;
/// Time limit for an accepted change to take effect everywhere.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(7);

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime can be created").block_on(run)
}

fn plan() -> Plan {
    let engine_options = ["--token-us", "2000", "--load-ms", "100"].map(str::to_owned).into();
    Plan {
        routers: ROUTER_COUNT,
        engines: 2,
        follow_routers: true,
        engine_options,
        ..Plan::default()
    }
}

fn router_names() -> Vec<String> {
    (0..ROUTER_COUNT).map(|i| format!("router-{i}")).collect()
}

fn readers_and_followers(deployment: &Deployment) -> (Vec<String>, Vec<String>) {
    let peers: Vec<SmolStr> = router_names().iter().map(|r| deployment.address(r).into()).collect();
    router_names().into_iter().partition(|name| {
        let own: SmolStr = deployment.address(name).into();
        source::choose_relays(&WriterId(format_smolstr!("{name}")), Some(&own), &peers).is_empty()
    })
}

async fn settings_version(deployment: &Deployment, router: &str) -> Option<u64> {
    deployment.status(router).await["version"].as_u64()
}

async fn change_host_list_lag(deployment: &Deployment, router: &str, lag_ms: u64) -> u64 {
    let get = deployment.http.get(deployment.url(router, "/operator/get?prefix=system/"));
    let current = get.bearer_auth(OPERATOR_KEY).send().await.expect("the router answers");
    let current: serde_json::Value = current.json().await.expect("answers are JSON");
    let base = current["documents"][0]["version"].as_u64().expect("the document exists");
    let mut value = current["documents"][0]["value"].clone();
    value["host_list_lag_ms"] = json!(lag_ms);
    let change = json!({ "path": "system/deployment", "base": base, "value": value });
    let body = json!({ "author": "test", "changes": [change] });
    let post = deployment.http.post(deployment.url(router, "/operator/apply"));
    let answer = post.bearer_auth(OPERATOR_KEY).json(&body).send().await;
    let answer: serde_json::Value =
        answer.expect("the router answers").json().await.expect("answers are JSON");
    answer["version"].as_u64().unwrap_or_else(|| panic!("accepted: {answer}"))
}

async fn time_to_version(deployment: &Deployment, names: &[String], expected: u64) -> Duration {
    let started_at = Instant::now();
    for name in names {
        wait_for(&format!("version {expected} at {name}"), async || {
            settings_version(deployment, name).await.is_some_and(|version| version >= expected)
        })
        .await;
    }
    started_at.elapsed()
}

/// If all routers that read the log become unresponsive, their followers must still receive
/// accepted changes.
#[rstest]
fn a_change_takes_effect_in_time_although_all_relays_are_unresponsive() {
    block_on(async {
        let mut deployment = Deployment::start(plan()).await;
        let (readers, followers) = readers_and_followers(&deployment);
        assert_eq!(readers.len(), source::LOG_READERS);
        let accepted = change_host_list_lag(&deployment, &readers[0], 11_000).await;
        let all = time_to_version(&deployment, &router_names(), accepted).await;
        assert!(all < PROPAGATION_LIMIT, "through relays: {all:?}");
        for name in &readers {
            deployment.process(name).freeze();
        }
        let started_at = Instant::now();
        let accepted = change_host_list_lag(&deployment, &followers[0], 12_000).await;
        time_to_version(&deployment, &followers, accepted).await;
        let took = started_at.elapsed();
        assert!(took < PROPAGATION_LIMIT, "past unresponsive relays: {took:?}");
    });
}

/// A claim must be read back, and the booking run once, after relays are killed.
#[rstest]
fn a_booking_runs_once_although_its_relays_are_killed() {
    block_on(async {
        let mut deployment = Deployment::start(plan()).await;
        let (readers, followers) = readers_and_followers(&deployment);
        for name in &readers[..2] {
            deployment.process(name).kill();
        }
        let mut last = 0;
        wait_for("the booking's answer", async || {
            let url = deployment.url(&followers[0], "/services/agenda/bookings");
            let req = deployment.http.post(url).bearer_auth(VIDRIO_KEY);
            let req = req.header("idempotency-key", "b-7").json(&json!({ "day": 3 }));
            last = req.send().await.expect("the router answers").status().as_u16();
            last == 200
        })
        .await;
        assert_eq!(deployment.counters("service-0").await["by_key"]["b-7"], 1);
    });
}

/// The log's records hold the data of all teams.
#[rstest]
fn records_are_given_to_peers_only() {
    block_on(async {
        let deployment = Deployment::start(plan()).await;
        let url = deployment.url("router-0", "/internal/read?from=1&max=10&wait_ms=0");
        for key in [VIDRIO_KEY, OPERATOR_KEY] {
            let answer = deployment.http.get(&url).bearer_auth(key).send().await;
            assert_eq!(answer.expect("the router answers").status().as_u16(), 403);
        }
    });
}
