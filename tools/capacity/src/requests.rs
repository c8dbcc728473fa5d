//! CPU usage of a router and an agent under load, and the heartbeat cost of streams in flight.

use crate::{
    emulate,
    node::{self, NodeCost, Platform},
    process, size,
};
use corianderstand_derives::derives;
use serde_json::json;
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use testbed::process::STATE_TIMEOUT;
use tokio::time;

/// Time per token of the engine stand-in.
const TOKEN_TIME_US: &str = "500";
const REQUEST_DEADLINE_MS: u64 = 120_000;

#[derives(wire)]
#[derive(Copy, Default)]
pub struct LoadCost {
    /// Completed requests per second.
    pub requests: f64,
    /// Generated tokens per second.
    pub tokens: f64,
    /// CPU time of the router, in percent of a core.
    pub router_percent: f64,
    /// CPU time of the agent, in percent of a core.
    pub agent_percent: f64,
}

/// Requests a completion as a team and returns whether it succeeded.
async fn request_completion(
    http: &reqwest::Client,
    router: &str,
    team: usize,
    request_body: &serde_json::Value,
) -> bool {
    let req = http.post(format!("http://{router}/v1/completions"));
    let req = req.bearer_auth(format!("key-{team}")).header("x-deadline-ms", REQUEST_DEADLINE_MS);
    let Ok(answer) = req.json(request_body).send().await else { return false };
    let answered = answer.status().is_success();
    answer.bytes().await.is_ok() && answered
}

fn request_body(model: usize, tokens: u64) -> serde_json::Value {
    json!({ "model": format!("model-{model:03}-7b"), "prompt": "nine floors",
        "max_tokens": tokens, "stream": true })
}

/// Measures a router and an agent with one model under requests of `tokens` tokens each.
pub async fn measure_load(requests_per_s: u32, tokens: u64) -> LoadCost {
    let size = size::Size { targets: 0, slots: 0, calls: 0, writers: 0, ..size::DESIGN };
    let platform = Platform::start().await;
    platform.append(&size::records(size, |_| "".into())).await;
    platform.list_hosts(1).await;
    let (_engine, url) = platform
        .start_engine(&["--token-us", TOKEN_TIME_US, "--load-ms", "10", "--batch", "1000"])
        .await;
    let (agent, _) = platform.start_agent("engine-000", &url).await;
    let (router, listen, _) = platform.start_router("router-0").await;
    let http = reqwest::Client::builder().no_proxy().build().expect("the client can be built");
    let started_at = Instant::now();
    while !request_completion(&http, &listen, 0, &request_body(0, 1)).await {
        assert!(started_at.elapsed() < STATE_TIMEOUT, "the model was not served in time");
        time::sleep(Duration::from_millis(50)).await;
    }
    let answered = Arc::new(AtomicUsize::new(0));
    let sender =
        tokio::spawn(send_requests(http, listen, requests_per_s, tokens, answered.clone()));
    time::sleep(Duration::from_secs(2)).await;
    let before = (process::cpu_time(router.pid()), process::cpu_time(agent.pid()));
    let (answered_before, started_at) = (answered.load(Ordering::Relaxed), Instant::now());
    time::sleep(node::MEASUREMENT_WINDOW).await;
    let seconds = started_at.elapsed().as_secs_f64();
    let requests = (answered.load(Ordering::Relaxed) - answered_before) as f64 / seconds;
    let percent =
        |after: Duration, before: Duration| (after - before).as_secs_f64() / seconds * 100.0;
    let cost = LoadCost {
        requests,
        tokens: requests * tokens as f64,
        router_percent: percent(process::cpu_time(router.pid()), before.0),
        agent_percent: percent(process::cpu_time(agent.pid()), before.1),
    };
    sender.abort();
    cost
}

async fn send_requests(
    http: reqwest::Client,
    router: String,
    requests_per_s: u32,
    tokens: u64,
    answered: Arc<AtomicUsize>,
) {
    let mut ticks = time::interval(Duration::from_secs(1) / requests_per_s);
    loop {
        ticks.tick().await;
        let (http, router, answered) = (http.clone(), router.clone(), answered.clone());
        tokio::spawn(async move {
            if request_completion(&http, &router, 0, &request_body(0, tokens)).await {
                answered.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
}

/// Measures a router at the design size with streams that wait for their first token.
///
/// Each stream uses another model, which maximises the heartbeat traffic.
pub async fn measure_streams(stream_count: usize) -> NodeCost {
    let size = size::DESIGN;
    let platform = Platform::start().await;
    let agents = emulate::Agents::start(size.targets).await;
    platform.append(&size::records(size, |i| agents.addresses[i].clone())).await;
    platform.list_hosts(size.writers).await;
    let (process, listen, _) = platform.start_router("router-0").await;
    let http = reqwest::Client::builder().no_proxy().build().expect("the client can be built");
    for team in 0..stream_count {
        let (http, listen) = (http.clone(), listen.clone());
        tokio::spawn(async move {
            request_completion(&http, &listen, team, &request_body(team, 4)).await
        });
    }
    let open_connections = agents.open_connections.clone();
    node::wait_until_steady(|| open_connections.load(Ordering::Relaxed)).await;
    let cost = platform.measure(&process, &agents.counter).await;
    NodeCost { connections: open_connections.load(Ordering::Relaxed) as f64, ..cost }
}
