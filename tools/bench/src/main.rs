//! Measures what a router adds to calling an engine directly, both in one run.
//!
//! Prints a table and writes `docs/measurements/bench.json`. Build everything first:
//! `cargo build --release --workspace && cargo run --release -p bench`.

mod load;

use load::Seen;
use serde_json::{Value, json};
use std::{fs, time::Duration};
use testbed::{Deployment, Plan, deployment::wait_for, plan::VIDRIO_KEY};

const OUT: &str = "docs/measurements/bench.json";
const ENGINES: usize = 4;
/// Concurrent streams of each comparison.
const STREAMS: [usize; 3] = [1, 64, 1000];
/// Tokens of one stream in the comparisons.
const TOKENS: u32 = 20;
/// Time of one token in the comparisons: the 27 ms that callers are to see, a little less.
const TOKEN_US: &str = "20000";
/// Length of one part of a comparison.
const PART: Duration = Duration::from_secs(5);
/// Parts of each comparison, direct and routed in turn, so that other work on the machine
/// falls on both.
const ROUNDS: usize = 2;
/// Streams for the most chunks a second.
const FLOOD_STREAMS: usize = 128;
/// Tokens of one stream there.
const FLOOD_TOKENS: u32 = 2000;
/// Callers for the processor time of one request.
const SHORT_CALLERS: usize = 64;
/// Ticks of processor time in a second, as Linux counts them for user programs.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    runtime.expect("the system gives a runtime").block_on(run());
}

fn plan() -> Plan {
    let options = ["--token-us", TOKEN_US, "--load-ms", "10", "--batch", "4096"];
    let mut plan = Plan {
        routers: 1,
        engines: ENGINES,
        services: 0,
        concurrency: Some(2048),
        engine_options: options.map(str::to_owned).into(),
        ..Plan::default()
    };
    plan.documents.retain(|(path, _)| !path.contains("/models/"));
    // One model fits on an engine, so that each engine has its own.
    let facts = json!({ "memory_mib": 70_000, "versions": ["1"], "adapter_memory_mib": 1 });
    for i in 0..ENGINES {
        plan.documents.push((format!("shared/models/m{i}"), facts.clone()));
        plan.documents.push((format!("teams/vidrio/models/m{i}"), json!({ "replicas": 1 })));
    }
    plan
}

/// Loads every model; the engine of each.
async fn warm(deployment: &Deployment) -> Vec<String> {
    let mut engines = Vec::new();
    for i in 0..ENGINES {
        let body = json!({ "model": format!("m{i}"), "prompt": "warm", "max_tokens": 1 });
        wait_for("a warm model", async || {
            let req = deployment.http.post(deployment.url("router-0", "/v1/completions"));
            let answer = req.bearer_auth(VIDRIO_KEY).json(&body).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
        for j in 0..ENGINES {
            let name = format!("engine-{j}");
            let loaded = deployment.http.get(deployment.url(&name, "/loaded")).send().await;
            let loaded = loaded.expect("the engine answers").text().await.unwrap_or_default();
            if loaded.contains(&format!("\"m{i}\"")) {
                engines.push(name);
            }
        }
    }
    assert_eq!(engines.len(), ENGINES, "each model is on one engine: {engines:?}");
    engines
}

/// Processor time that a process has used, in seconds.
fn cpu(deployment: &mut Deployment, name: &str) -> f64 {
    let pid = deployment.process(name).pid();
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or_default();
    (ticks(12) + ticks(13)) / TICKS_PER_SECOND
}

async fn part(
    deployment: &Deployment,
    engines: &[String],
    routed: bool,
    streams: usize,
    until: Duration,
    tokens: u32,
) -> Seen {
    let client = reqwest::Client::builder().no_proxy().tcp_nodelay(true).build();
    let client = client.expect("a plain client");
    let name = |i: usize| if routed { "router-0" } else { engines[i].as_str() };
    let urls: Vec<String> =
        (0..ENGINES).map(|i| deployment.url(name(i), "/v1/completions")).collect();
    let version = if routed { "" } else { "@1" };
    let body = |i: usize| {
        json!({ "model": format!("m{i}{version}"), "prompt": "A quote for nine floors",
            "stream": true, "max_tokens": tokens })
    };
    let bodies: Vec<Value> = (0..ENGINES).map(body).collect();
    let request = move |caller: usize| {
        let i = caller % ENGINES;
        client.post(&urls[i]).bearer_auth(VIDRIO_KEY).json(&bodies[i])
    };
    load::run(streams, until, request).await
}

async fn compare(deployment: &Deployment, engines: &[String], streams: usize) -> Value {
    let mut seen: [Vec<Seen>; 2] = Default::default();
    for _ in 0..ROUNDS {
        for (routed, seen) in seen.iter_mut().enumerate() {
            seen.push(part(deployment, engines, routed == 1, streams, PART, TOKENS).await);
        }
    }
    let [direct, routed] = seen;
    let best = |seen: &[Seen], q: f64| seen.iter().map(|s| s.percentile(q)).min().unwrap_or(0);
    let added = |q: f64| best(&routed, q) as i64 - best(&direct, q) as i64;
    let failed = |seen: &[Seen]| seen.iter().map(|s| s.failed).sum::<u64>();
    let every = |seen: &[Seen], q: f64| seen.iter().map(|s| s.percentile(q)).collect::<Vec<u64>>();
    json!({
        "streams": streams,
        "direct_first_us": { "p50": every(&direct, 0.5), "p99": every(&direct, 0.99) },
        "routed_first_us": { "p50": every(&routed, 0.5), "p99": every(&routed, 0.99) },
        "added_us": { "p50": added(0.5), "p99": added(0.99) },
        "requests": { "direct": direct.iter().map(|s| s.whole).sum::<u64>(),
            "routed": routed.iter().map(|s| s.whole).sum::<u64>() },
        "failed": { "direct": failed(&direct), "routed": failed(&routed) },
    })
}

/// The most chunks a second, with engines that generate as fast as they can.
async fn flood(deployment: &mut Deployment, engines: &[String]) -> Value {
    for i in 0..ENGINES {
        deployment.inject_fault(&format!("engine-{i}"), &json!({ "slow": 0.0 })).await;
    }
    let direct = part(deployment, engines, false, FLOOD_STREAMS, PART, FLOOD_TOKENS).await;
    let before = cpu(deployment, "router-0");
    let routed = part(deployment, engines, true, FLOOD_STREAMS, PART, FLOOD_TOKENS).await;
    let used = cpu(deployment, "router-0") - before;
    let rate = |seen: &Seen| seen.chunks as f64 / seen.took.as_secs_f64();
    json!({
        "streams": FLOOD_STREAMS,
        "direct_chunks_per_second": rate(&direct) as u64,
        "routed_chunks_per_second": rate(&routed) as u64,
        "router_cpu_us_per_chunk": used * 1e6 / routed.chunks.max(1) as f64,
        "router_cores": used / routed.took.as_secs_f64(),
        "failed": { "direct": direct.failed, "routed": routed.failed },
    })
}

/// Processor time of the router for one short request.
async fn short(deployment: &mut Deployment, engines: &[String]) -> Value {
    let before = cpu(deployment, "router-0");
    let seen = part(deployment, engines, true, SHORT_CALLERS, PART, 1).await;
    let used = cpu(deployment, "router-0") - before;
    json!({
        "callers": SHORT_CALLERS,
        "requests_per_second": (seen.whole as f64 / seen.took.as_secs_f64()) as u64,
        "router_cpu_us_per_request": used * 1e6 / seen.whole.max(1) as f64,
        "failed": seen.failed,
    })
}

async fn run() {
    let mut deployment = Deployment::start(plan()).await;
    let engines = warm(&deployment).await;
    let mut latency = Vec::new();
    for streams in STREAMS {
        let compared = compare(&deployment, &engines, streams).await;
        println!("{compared}");
        latency.push(compared);
    }
    let chunks = flood(&mut deployment, &engines).await;
    println!("{chunks}");
    let short = short(&mut deployment, &engines).await;
    println!("{short}");
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let result = json!({
        "aims": { "streams": 64, "added_p50_us": 300, "added_p99_us": 2000,
            "chunks_per_second": 100_000 },
        "cores": std::thread::available_parallelism().map_or(0, usize::from),
        "load_average_at_end": load.trim(),
        "latency": latency,
        "chunks": chunks,
        "short_requests": short,
    });
    let text = serde_json::to_string_pretty(&result).expect("the result is plain data");
    fs::write(OUT, text + "\n").expect("the folder for measurements can be written");
    println!("written to {OUT}");
}
