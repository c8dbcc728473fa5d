//! Callers that disconnect during fast streams.

use rstest::rstest;
use serde_json::{Value, json};
use testbed::{Deployment, Plan, deployment::wait_for, plan::HINOKUNI_KEY, process::STATE_TIMEOUT};

const CALLERS: usize = 200;

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the system gives a runtime").block_on(run)
}

async fn running(deployment: &Deployment) -> u64 {
    let mut running = 0;
    for engine in ["engine-0", "engine-1"] {
        let load = deployment.http.get(deployment.url(engine, "/load")).send().await;
        let load: Value = load.expect("the engine answers").json().await.expect("a report");
        running += load["running"].as_u64().unwrap_or_default();
    }
    running
}

/// A chunk that arrives for a dropped handler must still cancel the request at the engine and
/// remove it from the router's requests in flight.
#[rstest]
fn callers_who_leave_a_fast_stream_are_forgotten_on_all_sides() {
    block_on(async {
        let options = ["--token-us", "20", "--load-ms", "100"].map(str::to_owned);
        let plan =
            Plan { routers: 1, engines: 2, engine_options: options.into(), ..Plan::default() };
        let mut deployment = Deployment::start(plan).await;
        let url = deployment.url("router-0", "/v1/completions");
        let ask = |tokens: u32| {
            let body = json!({ "model": "design-13b", "prompt": "stripes", "max_tokens": tokens,
                "stream": true });
            deployment.http.post(&url).bearer_auth(HINOKUNI_KEY).json(&body).send()
        };
        wait_for("warm", async || ask(1).await.is_ok_and(|answer| answer.status() == 200)).await;
        for _ in 0..CALLERS {
            let mut answer = ask(1_000_000).await.expect("the router answers");
            assert_eq!(answer.status(), 200);
            drop(answer.chunk().await);
            drop(answer);
        }
        wait_for("the engines rest", async || running(&deployment).await == 0).await;
        let router = deployment.process("router-0");
        router.signal(nix::sys::signal::Signal::SIGTERM);
        router.wait(STATE_TIMEOUT);
        let log = deployment.log_of("router-0");
        assert!(!log.contains("limit reached"), "the router still counted requests in flight");
    });
}
