//! Measures the overhead of a router compared with direct calls to an engine.
//!
//! Prints a table and writes `docs/measurements/bench.json`. Build everything first:
//! `cargo build --release --workspace && cargo run --release -p bench`.

mod load;

use load::LoadResult;
use serde_json::{Value, json};
use std::{fs, time::Duration};
use testbed::{Deployment, Plan, deployment::wait_for, plan::VIDRIO_KEY};

const OUTPUT: &str = "docs/measurements/bench.json";
const ENGINES: usize = 4;
const COMPARED_STREAMS: [usize; 3] = [1, 64, 1000];
const COMPARED_TOKENS: u32 = 20;
/// Time per token of the engines in the comparisons.
const TOKEN_TIME_US: &str = "20000";
const RUN_DURATION: Duration = Duration::from_secs(5);
/// Direct and routed runs alternate, so that other load on the machine affects both.
const ROUNDS: usize = 2;
const THROUGHPUT_STREAMS: usize = 128;
const THROUGHPUT_TOKENS: u32 = 2000;
const SHORT_REQUEST_CALLERS: usize = 64;
/// `USER_HZ`, the unit of CPU times in `/proc/PID/stat`.
const CPU_TICKS_PER_S: f64 = 100.0;

fn main() {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    runtime.expect("the runtime can be created").block_on(run());
}

fn deployment_plan() -> Plan {
    let options = ["--token-us", TOKEN_TIME_US, "--load-ms", "10", "--batch", "4096"];
    let mut plan = Plan {
        routers: 1,
        engines: ENGINES,
        services: 0,
        target_concurrency: Some(2048),
        engine_options: options.map(str::to_owned).into(),
        ..Plan::default()
    };
    plan.documents.retain(|(path, _)| !path.contains("/models/"));
    // Sized so that an engine holds one model only.
    let model = json!({ "memory_mib": 70_000, "versions": ["1"], "adapter_memory_mib": 1 });
    for i in 0..ENGINES {
        plan.documents.push((format!("shared/models/m{i}"), model.clone()));
        plan.documents.push((format!("teams/vidrio/models/m{i}"), json!({ "replicas": 1 })));
    }
    plan
}

/// Loads every model and returns the engine of each.
async fn load_models(deployment: &Deployment) -> Vec<String> {
    let mut engines = Vec::new();
    for i in 0..ENGINES {
        let body = json!({ "model": format!("m{i}"), "prompt": "warm", "max_tokens": 1 });
        wait_for("the model to load", async || {
            let req = deployment.http.post(deployment.url("router-0", "/v1/completions"));
            let answer = req.bearer_auth(VIDRIO_KEY).json(&body).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
        for j in 0..ENGINES {
            let name = format!("engine-{j}");
            let loaded = deployment.http.get(deployment.url(&name, "/loaded")).send().await;
            let loaded = loaded.expect("the engine responds").text().await.unwrap_or_default();
            if loaded.contains(&format!("\"m{i}\"")) {
                engines.push(name);
            }
        }
    }
    assert_eq!(
        engines.len(),
        ENGINES,
        "each model must be loaded on exactly one engine: {engines:?}"
    );
    engines
}

/// User and system CPU time of a process.
fn cpu_seconds(deployment: &mut Deployment, name: &str) -> f64 {
    let pid = deployment.process(name).pid();
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or_default();
    (ticks(12) + ticks(13)) / CPU_TICKS_PER_S
}

async fn run_load(
    deployment: &Deployment,
    engines: &[String],
    via_router: bool,
    streams: usize,
    duration: Duration,
    tokens: u32,
) -> LoadResult {
    let client = reqwest::Client::builder().no_proxy().tcp_nodelay(true).build();
    let client = client.expect("the client can be built");
    let name = |i: usize| if via_router { "router-0" } else { engines[i].as_str() };
    let urls: Vec<String> =
        (0..ENGINES).map(|i| deployment.url(name(i), "/v1/completions")).collect();
    let version = if via_router { "" } else { "@1" };
    let body = |i: usize| {
        json!({ "model": format!("m{i}{version}"), "prompt": "A quote for nine floors",
            "stream": true, "max_tokens": tokens })
    };
    let bodies: Vec<Value> = (0..ENGINES).map(body).collect();
    let request = move |caller: usize| {
        let i = caller % ENGINES;
        client.post(&urls[i]).bearer_auth(VIDRIO_KEY).json(&bodies[i])
    };
    load::run(streams, duration, request).await
}

async fn compare(deployment: &Deployment, engines: &[String], streams: usize) -> Value {
    let mut results: [Vec<LoadResult>; 2] = Default::default();
    for _ in 0..ROUNDS {
        for (routed, results) in results.iter_mut().enumerate() {
            results.push(
                run_load(deployment, engines, routed == 1, streams, RUN_DURATION, COMPARED_TOKENS)
                    .await,
            );
        }
    }
    let [direct, routed] = results;
    let best = |results: &[LoadResult], q: f64| {
        results.iter().map(|s| s.first_chunk_quantile_us(q)).min().unwrap_or(0)
    };
    let added = |q: f64| best(&routed, q) as i64 - best(&direct, q) as i64;
    let failed = |results: &[LoadResult]| results.iter().map(|s| s.failed).sum::<u64>();
    let per_round = |results: &[LoadResult], q: f64| {
        results.iter().map(|s| s.first_chunk_quantile_us(q)).collect::<Vec<u64>>()
    };
    json!({
        "streams": streams,
        "direct_first_us": { "p50": per_round(&direct, 0.5), "p99": per_round(&direct, 0.99) },
        "routed_first_us": { "p50": per_round(&routed, 0.5), "p99": per_round(&routed, 0.99) },
        "added_us": { "p50": added(0.5), "p99": added(0.99) },
        "requests": { "direct": direct.iter().map(|s| s.completed).sum::<u64>(),
            "routed": routed.iter().map(|s| s.completed).sum::<u64>() },
        "failed": { "direct": failed(&direct), "routed": failed(&routed) },
    })
}

/// Measures chunks per second with engines that generate without delay.
async fn measure_throughput(deployment: &mut Deployment, engines: &[String]) -> Value {
    for i in 0..ENGINES {
        deployment.inject_fault(&format!("engine-{i}"), &json!({ "slow": 0.0 })).await;
    }
    let direct =
        run_load(deployment, engines, false, THROUGHPUT_STREAMS, RUN_DURATION, THROUGHPUT_TOKENS)
            .await;
    let before = cpu_seconds(deployment, "router-0");
    let routed =
        run_load(deployment, engines, true, THROUGHPUT_STREAMS, RUN_DURATION, THROUGHPUT_TOKENS)
            .await;
    let cpu_used = cpu_seconds(deployment, "router-0") - before;
    let rate = |result: &LoadResult| result.chunks as f64 / result.elapsed.as_secs_f64();
    json!({
        "streams": THROUGHPUT_STREAMS,
        "direct_chunks_per_second": rate(&direct) as u64,
        "routed_chunks_per_second": rate(&routed) as u64,
        "router_cpu_us_per_chunk": cpu_used * 1e6 / routed.chunks.max(1) as f64,
        "router_cores": cpu_used / routed.elapsed.as_secs_f64(),
        "failed": { "direct": direct.failed, "routed": routed.failed },
    })
}

/// Measures the CPU time of the router per one-token request.
async fn measure_short_requests(deployment: &mut Deployment, engines: &[String]) -> Value {
    let before = cpu_seconds(deployment, "router-0");
    let result = run_load(deployment, engines, true, SHORT_REQUEST_CALLERS, RUN_DURATION, 1).await;
    let cpu_used = cpu_seconds(deployment, "router-0") - before;
    json!({
        "callers": SHORT_REQUEST_CALLERS,
        "requests_per_second": (result.completed as f64 / result.elapsed.as_secs_f64()) as u64,
        "router_cpu_us_per_request": cpu_used * 1e6 / result.completed.max(1) as f64,
        "failed": result.failed,
    })
}

async fn run() {
    let mut deployment = Deployment::start(deployment_plan()).await;
    let engines = load_models(&deployment).await;
    let mut latency = Vec::new();
    for streams in COMPARED_STREAMS {
        let compared = compare(&deployment, &engines, streams).await;
        println!("{compared}");
        latency.push(compared);
    }
    let chunks = measure_throughput(&mut deployment, &engines).await;
    println!("{chunks}");
    let short = measure_short_requests(&mut deployment, &engines).await;
    println!("{short}");
    let load_average = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let result = json!({
        "aims": { "streams": 64, "added_p50_us": 300, "added_p99_us": 2000,
            "chunks_per_second": 100_000 },
        "cores": std::thread::available_parallelism().map_or(0, usize::from),
        "load_average_at_end": load_average.trim(),
        "latency": latency,
        "chunks": chunks,
        "short_requests": short,
    });
    let text = serde_json::to_string_pretty(&result).expect("the result can be serialized");
    fs::write(OUTPUT, text + "\n").expect("the results directory is writable");
    println!("results written to {OUTPUT}");
}
