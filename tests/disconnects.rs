//! Callers that disconnect during fast streams.

use rstest::rstest;
use serde_json::{Value, json};
use testbed::{Deployment, Plan, deployment::wait_for, plan::HINOKUNI_KEY, process::STATE_TIMEOUT};

const CALLER_COUNT: usize = 200;

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime can be created").block_on(run)
}

async fn running_requests(deployment: &Deployment) -> u64 {
    let mut running_requests = 0;
    for engine in ["engine-0", "engine-1"] {
        let load = deployment.http.get(deployment.url(engine, "/load")).send().await;
        let load: Value = load.expect("the engine answers").json().await.expect("a report");
        running_requests += load["running"].as_u64().unwrap_or_default();
    }
    running_requests
}

/// A chunk that arrives for a dropped handler must still cancel the request at the engine and
/// remove it from the router's requests in flight.
#[rstest]
fn disconnects_during_fast_streams_release_all_requests() {
    block_on(async {
        let options = ["--token-us", "20", "--load-ms", "100"].map(str::to_owned);
        let plan =
            Plan { routers: 1, engines: 2, engine_options: options.into(), ..Plan::default() };
        let mut deployment = Deployment::start(plan).await;
        let url = deployment.url("router-0", "/v1/completions");
        let request = |tokens: u32| {
            let body = json!({ "model": "design-13b", "prompt": "stripes", "max_tokens": tokens,
                "stream": true });
            deployment.http.post(&url).bearer_auth(HINOKUNI_KEY).json(&body).send()
        };
        wait_for("warm", async || request(1).await.is_ok_and(|answer| answer.status() == 200))
            .await;
        for _ in 0..CALLER_COUNT {
            let mut answer = request(1_000_000).await.expect("the router answers");
            assert_eq!(answer.status(), 200);
            drop(answer.chunk().await);
            drop(answer);
        }
        wait_for("the engines to be idle", async || running_requests(&deployment).await == 0).await;
        let router = deployment.process("router-0");
        router.signal(nix::sys::signal::Signal::SIGTERM);
        router.wait_for_exit(STATE_TIMEOUT);
        let log = deployment.log_of("router-0");
        assert!(!log.contains("limit reached"), "the router still counted requests in flight");
    });
}
