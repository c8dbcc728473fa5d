//! The engine stand-in, used through the real HTTP adapter.

use corianderstand::types::weights::Weights;
use corianderstand_edge::engine::{
    CommandAction, Engine, EngineCommand, EngineEvent, GenerateRequest, HttpEngine,
};
use futures::StreamExt;
use rstest::rstest;
use serde_json::json;
use std::{path::PathBuf, time::Duration};
use testbed::{
    deployment::wait_for,
    process::{Process, free_addresses},
};

struct RunningEngine {
    engine: HttpEngine,
    address: String,
    dir: PathBuf,
    _process: Process,
}

impl Drop for RunningEngine {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.dir));
    }
}

fn weights() -> Weights {
    Weights::model("m".into(), "1".into())
}

async fn start_engine(options: &[&str]) -> RunningEngine {
    let address = free_addresses(1).remove(0);
    let dir = std::env::temp_dir().join(format!("engine-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the temporary folder can be written");
    let mut args = vec!["engine", "--listen", &address, "--load-ms", "1"];
    args.extend(options);
    let args: Vec<String> = args.into_iter().map(str::to_owned).collect();
    let process = Process::start("engine", "corianderstand-standins", &args, &dir);
    let engine = HttpEngine::new(&format!("http://{address}"));
    wait_for("the engine", async || engine.loaded().await.is_ok()).await;
    let command = EngineCommand {
        action: CommandAction::Load,
        weights: weights(),
        memory_mib: 100,
        fence: 1,
    };
    engine.execute(&command).await.expect("there is free memory");
    RunningEngine { engine, address, dir, _process: process }
}

fn generate_request(
    prompt: &str,
    request_id: &str,
    priority: u8,
    max_tokens: u32,
) -> GenerateRequest {
    let body = json!({ "prompt": prompt, "max_tokens": max_tokens }).to_string().into();
    let (request, traceparent) = (request_id.into(), "".into());
    GenerateRequest {
        chat: false,
        weights: weights(),
        body,
        request,
        priority,
        position: 0,
        traceparent,
    }
}

async fn generate_to_end(engine: &HttpEngine, generate: GenerateRequest) -> u64 {
    let mut stream = engine.generate(generate).await.expect("the model is loaded");
    while let Some(event) = stream.next().await {
        if let EngineEvent::Finished { completion_tokens, .. } =
            event.expect("the stream continues")
        {
            return completion_tokens;
        }
    }
    panic!("the stream has no end");
}

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime can be created").block_on(run)
}

/// A follower of cache events must be able to detect lost events.
#[rstest]
fn cache_events_lag_and_their_gaps_are_detectable() {
    block_on(async {
        let options = ["--token-us", "0", "--event-lag-ms", "300", "--cache-blocks", "4"];
        let running = start_engine(&options).await;
        let engine = &running.engine;
        let fault = reqwest::Client::new().post(format!("http://{}/fault", running.address));
        let set = fault.json(&json!({ "lose_cache_events": 3 })).send().await;
        assert!(set.expect("the engine answers").status().is_success());
        let prompt = |word: &str| [word; 64].join(" ");
        assert_eq!(generate_to_end(engine, generate_request(&prompt("a"), "r-1", 1, 2)).await, 2);
        let early = engine.cache_events(1).await.expect("the engine answers");
        assert!(early.events.is_empty(), "events without delay: {early:?}");
        assert_eq!(generate_to_end(engine, generate_request(&prompt("a"), "r-2", 1, 2)).await, 2);
        assert_eq!(generate_to_end(engine, generate_request(&prompt("b"), "r-3", 1, 2)).await, 2);
        // Four blocks added, then four more added and the first four evicted.
        let mut late = early;
        wait_for("late events", async || {
            late = engine.cache_events(1).await.expect("the engine answers");
            late.next >= 12
        })
        .await;
        assert!(late.lost(1) >= 3, "{late:?}");
        assert!(late.events.iter().all(|event| event.sequence % 3 != 0));
        let counters = reqwest::get(format!("http://{}/counters", running.address)).await;
        let counters: serde_json::Value =
            counters.expect("the engine answers").json().await.expect("counters are JSON");
        assert_eq!(counters["cached_prompt_tokens"], 64, "the second prompt was cached");
    });
}

/// Load reports are delayed, and urgent requests overtake queued ones.
#[rstest]
fn reports_lag_and_urgent_requests_are_scheduled_first() {
    block_on(async {
        let options = ["--token-us", "20000", "--batch", "1", "--report-lag-ms", "200"];
        let running = start_engine(&options).await;
        let spawn_request = |request: &'static str, priority, tokens| {
            let engine = running.engine.clone();
            tokio::spawn(async move {
                generate_to_end(&engine, generate_request("x", request, priority, tokens)).await;
                tokio::time::Instant::now()
            })
        };
        let first = spawn_request("r-1", 0, 30);
        let requests = async || {
            let url = format!("http://{}/counters", running.address);
            let counters = reqwest::get(url).await.expect("the engine answers").text().await;
            serde_json::from_str::<serde_json::Value>(&counters.unwrap_or_default())
                .unwrap_or_default()["requests"]
                .as_u64()
        };
        wait_for("the first", async || requests().await == Some(1)).await;
        let report = running.engine.report().await.expect("the engine answers");
        assert_eq!(report.running, 0, "the report is delayed");
        let low = spawn_request("r-2", 0, 2);
        wait_for("the second", async || requests().await == Some(2)).await;
        let urgent = spawn_request("r-3", 2, 2);
        wait_for("the report", async || {
            let report = running.engine.report().await.expect("the engine answers");
            (report.running, report.waiting) == (1, 2)
        })
        .await;
        let (first, low, urgent) = tokio::join!(first, low, urgent);
        let at = |ended: Result<tokio::time::Instant, _>| ended.expect("the task ends");
        let (first, low, urgent) = (at(first), at(low), at(urgent));
        assert!(first < urgent && urgent < low, "the urgent one goes before the earlier low one");
        assert!(first + Duration::from_millis(10) < low);
    });
}
