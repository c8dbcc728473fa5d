//! Credentials of workspaces: who is admitted, what targets see, and for how long without the store.

mod common;

use common::{MemoryStore, RouterThread, Target};
use corianderstand_fleet::{config, workspaces};
use std::time::{Duration, Instant};

const KEY: &str = "k-1";
const WAIT: Duration = Duration::from_millis(20);
/// Limit for revocations, and what passes until a request that was held back is refused.
const REVOKE_WITHIN: Duration = Duration::from_millis(900);

fn workspace(name: &str, keys: &[&str], quota: Option<f64>) -> workspaces::Workspace {
    let credentials = keys.iter().map(|key| workspaces::Credential::new(key.as_bytes()));
    workspaces::Workspace {
        name: name.into(),
        credentials: credentials.collect(),
        priority: 1,
        quota: quota.map(|per_s| workspaces::Quota {
            per_s,
            burst: per_s,
            unit: workspaces::CostUnit::Token { default: 200 },
        }),
    }
}

fn config(version: u64, keys: &[&str], quota: Option<f64>) -> config::Config {
    let public = config::Route { is_public: true, ..common::route("/open/", "desk") };
    let routes = vec![common::route("/desk/", "desk"), public];
    let workspaces = Some(vec![workspace("w-1", keys, quota), workspace("w-2", &["k-2"], None)]);
    config::Config { workspaces, ..common::config(version, routes) }
}

async fn start(
    store: &MemoryStore,
    name: &str,
    seeds: Vec<std::net::SocketAddr>,
    revoke_within: Option<Duration>,
) -> RouterThread {
    let mut settings = RouterThread::settings(name, seeds, Duration::from_secs(8));
    settings.bounds.revoke_within = revoke_within;
    settings.bounds.quota_tolerance.fixed = 1_000.0;
    let router = RouterThread::start_on(store, settings);
    router.wait_ready().await;
    router
}

async fn status(router: &RouterThread, path: &str, keys: &[&str]) -> String {
    let mut headers = vec![("x-id", "r"), ("x-deadline-ms", "3000")];
    headers.extend(keys.iter().map(|key| ("x-key", *key)));
    let answer = common::get(router.front, path, &headers).await.unwrap();
    answer[9..12].to_owned()
}

async fn wait_for_status(router: &RouterThread, keys: &[&str], expected: &str) {
    let poll = async {
        while status(router, "/desk/1", keys).await != expected {
            tokio::time::sleep(WAIT).await;
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, poll).await.expect("the status changes");
}

/// Serves each request and returns the heads of those that arrived.
fn serve(target: Target) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            let request = target.next_or_wait().await;
            let is_clean = request.header("x-key").is_none();
            let workspace = request.header("x-workspace").unwrap_or("none").to_owned();
            assert!(is_clean, "a target saw a credential");
            request.answer_whole_unless_reset("r", &workspace).await;
        }
    })
}

async fn cluster(quota: Option<f64>) -> (MemoryStore, tokio::task::JoinHandle<()>) {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_config(config(1, &[KEY], quota));
    store.put_target(target.entry("target-1", "desk"));
    (store, serve(target))
}

/// Guards against a target that sees a key, or a workspace that the caller chose.
#[tokio::test]
async fn targets_see_the_workspace_and_not_the_credential() {
    let (store, target) = cluster(None).await;
    let router = start(&store, "router-a", vec![], Some(Duration::from_secs(5))).await;
    for (path, keys, workspace) in
        [("/desk/1", &[KEY][..], "w-1"), ("/desk/1", &["k-2"], "w-2"), ("/open/1", &[KEY], "none")]
    {
        let mut headers = vec![("x-id", "r"), ("x-workspace", "w-9"), ("x-deadline-ms", "3000")];
        headers.extend(keys.iter().map(|key| ("x-key", *key)));
        let answer = common::get(router.front, path, &headers).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with(workspace), "{answer}");
    }
    assert!(!target.is_finished(), "no target saw a credential");
}

#[tokio::test]
async fn unknown_and_missing_credentials_are_refused() {
    let (store, _target) = cluster(None).await;
    let router = start(&store, "router-a", vec![], Some(Duration::from_secs(5))).await;
    assert_eq!(status(&router, "/desk/1", &[]).await, "401");
    assert_eq!(status(&router, "/desk/1", &["other"]).await, "401");
    assert_eq!(status(&router, "/nowhere/1", &["other"]).await, "404");
    assert_eq!(status(&router, "/open/1", &[]).await, "200");
}

/// Guards against a revoked key that a router goes on accepting.
#[tokio::test]
async fn a_revoked_credential_is_refused_and_an_added_one_accepted() {
    let (store, _target) = cluster(None).await;
    let router = start(&store, "router-a", vec![], Some(Duration::from_secs(5))).await;
    wait_for_status(&router, &[KEY], "200").await;
    store.put_config(config(2, &["k-3"], None));
    wait_for_status(&router, &[KEY], "401").await;
    assert_eq!(status(&router, "/desk/1", &["k-3"]).await, "200");
}

/// Guards against a key that was revoked while a router had lost the store.
#[tokio::test]
async fn a_router_without_the_store_refuses_once_a_revocation_must_hold() {
    let (store, _target) = cluster(None).await;
    let router = start(&store, "router-a", vec![], Some(REVOKE_WITHIN)).await;
    wait_for_status(&router, &[KEY], "200").await;
    store.set_down(true);
    tokio::time::sleep(REVOKE_WITHIN + WAIT).await;
    assert_eq!(status(&router, "/desk/1", &[KEY]).await, "503");
    assert_eq!(status(&router, "/desk/1", &["other"]).await, "401", "within the time for changes");
    assert_eq!(status(&router, "/open/1", &[]).await, "200");
    let ready = common::get(router.ready, "/ready", &[]).await.unwrap();
    assert!(ready.starts_with("HTTP/1.1 503"), "callers are sent elsewhere: {ready}");
    store.set_down(false);
    wait_for_status(&router, &[KEY], "200").await;
}

/// Guards against a revocation that the store lost when it came back from a copy, before a router had read it: what the
/// router reads until it is written again looks complete.
#[tokio::test]
async fn reads_just_after_the_store_went_back_prove_nothing() {
    let (store, _target) = cluster(None).await;
    let own_store = store.isolated();
    let router = start(&own_store, "router-a", vec![], Some(REVOKE_WITHIN)).await;
    wait_for_status(&router, &[KEY], "200").await;
    let copy = store.copy();
    own_store.set_unavailable(true);
    store.put_config(config(2, &[], None));
    tokio::time::sleep(REVOKE_WITHIN + WAIT).await;
    store.restore(copy);
    own_store.set_unavailable(false);
    let until = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        assert_ne!(status(&router, "/desk/1", &[KEY]).await, "200");
    }
    store.put_config(config(2, &[], None));
    wait_for_status(&router, &[KEY], "401").await;
}

/// Guards against an outage where no limit for revocations is set.
#[tokio::test]
async fn without_a_limit_known_credentials_are_accepted_without_the_store() {
    let (store, _target) = cluster(None).await;
    let router = start(&store, "router-a", vec![], None).await;
    wait_for_status(&router, &[KEY], "200").await;
    store.set_down(true);
    tokio::time::sleep(REVOKE_WITHIN).await;
    assert_eq!(status(&router, "/desk/1", &[KEY]).await, "200");
}

/// Guards against refusals by a router that the store turns away while its peers reach it.
#[tokio::test]
async fn a_peer_with_the_store_proves_the_configuration() {
    let (store, _target) = cluster(None).await;
    let first = start(&store, "router-a", vec![], Some(REVOKE_WITHIN)).await;
    let turned_away = store.isolated();
    let second = start(&turned_away, "router-b", vec![first.peers], Some(REVOKE_WITHIN)).await;
    wait_for_status(&second, &[KEY], "200").await;
    turned_away.set_unavailable(true);
    let end = tokio::time::Instant::now() + REVOKE_WITHIN * 3;
    while tokio::time::Instant::now() < end {
        assert_eq!(status(&second, "/desk/1", &[KEY]).await, "200");
        tokio::time::sleep(WAIT).await;
    }
    store.put_config(config(2, &["k-3"], None));
    wait_for_status(&second, &[KEY], "401").await;
}

/// Guards against an unknown key that is told to come back for ever, where no limit for revocations is set.
#[tokio::test]
async fn without_a_limit_unknown_credentials_are_told_by_a_peers_proof() {
    let (store, _target) = cluster(None).await;
    let first = start(&store, "router-a", vec![], None).await;
    let turned_away = store.isolated();
    let second = start(&turned_away, "router-b", vec![first.peers], None).await;
    wait_for_status(&second, &["other"], "401").await;
    turned_away.set_unavailable(true);
    // Longer than the time for changes, so that its own proof is of no use.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    wait_for_status(&second, &["other"], "401").await;
}

/// Guards against requests beyond a quota that reach targets, and against endless refusals.
#[tokio::test]
async fn requests_beyond_a_quota_are_refused_with_when_to_return() {
    let (store, _target) = cluster(Some(1_000.0)).await;
    let router = start(&store, "router-a", vec![], Some(Duration::from_secs(5))).await;
    let headers = [("x-id", "r"), ("x-key", KEY), ("x-deadline-ms", "3000")];
    let poll = async {
        loop {
            let answer = common::get(router.front, "/desk/1", &headers).await.unwrap();
            if answer.starts_with("HTTP/1.1 429") {
                return answer;
            }
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    };
    let refused = tokio::time::timeout(common::WAIT_LIMIT, poll).await.expect("it is used up");
    assert!(refused.to_lowercase().contains("retry-after"), "{refused}");
    assert_eq!(status(&router, "/desk/1", &["k-2"]).await, "200", "another workspace");
    wait_for_status(&router, &[KEY], "200").await;
}

/// Guards against telling a caller that its request did not run because its key was revoked after it had.
#[tokio::test]
async fn a_targets_error_is_delivered_although_the_credential_is_revoked_meanwhile() {
    let store = MemoryStore::default();
    let retryable = |version, keys: &[&str]| {
        let route = config::Route {
            retry_policy: config::RetryPolicy::Allowed,
            ..common::route("/desk/", "desk")
        };
        config::Config { routes: vec![route.into()], ..config(version, keys, None) }
    };
    let (one, two) = (Target::start().await, Target::start().await);
    store.put_config(retryable(1, &[KEY]));
    store.put_target(one.entry("target-1", "desk"));
    store.put_target(two.entry("target-2", "desk"));
    let router = start(&store, "router-a", vec![], Some(Duration::from_secs(5))).await;
    let headers = [("x-id", "r"), ("x-key", KEY), ("x-deadline-ms", "9000")];
    let mut caller = common::send(router.front, "GET", "/desk/1", &headers, "").await.unwrap();
    let request = tokio::select! {
        request = one.next() => request,
        request = two.next() => request,
    };
    store.put_config(retryable(2, &["k-3"]));
    let poll = async {
        while !common::get(router.metrics, "/metrics", &[])
            .await
            .unwrap()
            .contains("config_version 2")
        {
            tokio::time::sleep(WAIT).await;
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, poll).await.expect("the key is revoked");
    let error = "HTTP/1.1 500 Broken\r\nx-signed: 1\r\nx-id: r\r\nContent-Length: 6\r\nConnection: close\r\n\r\nbroken";
    request.answer(error).await;
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 500") && answer.ends_with("broken"), "{answer}");
}
