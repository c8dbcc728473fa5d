//! A simulated model engine: continuous batching, limited memory, a prefix cache, delayed reports.

use crate::{
    batch::{Batch, BatchSlot},
    cache::PrefixCache,
    serve::{self, ApiRequest, Endpoint, Reply},
    text,
};
use bytes::Bytes;
use corianderstand_edge::engine::{CommandAction, EngineCommand, EngineReport, LoadedWeights};
use futures::{FutureExt, StreamExt, stream};
use getopts::Matches;
use salvo::Router;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::{self, Instant};

const DEFAULT_MAX_TOKENS: u64 = 16;
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Samples of 20 s, the longest supported report lag.
const MAX_LOAD_REPORTS: usize = 1000;

/// Injected faults.
#[derive(Clone, Copy, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    /// Factor by which tokens take longer.
    slow: f64,
    /// Streams fail after this many tokens.
    break_after: Option<u64>,
    /// Number of commands that are executed without a response.
    lose_order_answers: u32,
    /// Requests and streams stall.
    hang: bool,
    /// Drops every n-th cache event; 0 drops none.
    lose_cache_events: u64,
}

impl Default for Fault {
    fn default() -> Self {
        let (break_after, lose_order_answers, hang, lose_cache_events) = Default::default();
        Self { slow: 1.0, break_after, lose_order_answers, hang, lose_cache_events }
    }
}

#[derive(Clone, Default, Serialize)]
struct Counters {
    requests: u64,
    tokens: u64,
    cancelled: u64,
    loads: u64,
    unloads: u64,
    over_memory: u64,
    old_fences: u64,
    cached_prompt_tokens: u64,
    most_memory_mib: u64,
}

struct Engine {
    memory_mib: u64,
    token_interval: Duration,
    prefill_per_token: Duration,
    batch: Arc<Batch>,
    report_lag: Duration,
    event_lag: Duration,
    weight_load_ms: u64,
    weights_url: Option<String>,
    check_fencing: bool,
    client: reqwest::Client,
    inner: Mutex<EngineState>,
}

struct EngineState {
    cache: PrefixCache,
    load_reports: VecDeque<(Instant, EngineReport)>,
    loaded_weights: Vec<LoadedWeights>,
    newest_fences: BTreeMap<String, u64>,
    cancelled_requests: BTreeSet<String>,
    fault: Fault,
    counters: Counters,
}

impl EngineState {
    fn used_memory_mib(&self) -> u64 {
        self.loaded_weights.iter().map(|loaded| loaded.memory_mib).sum()
    }
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    async fn wait_while_hanging(&self) {
        while self.lock().fault.hang {
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn fetch_weights(&self) -> Result<(), String> {
        let Some(weights_url) = &self.weights_url else {
            time::sleep(Duration::from_millis(self.weight_load_ms)).await;
            return Ok(());
        };
        let url = format!("{weights_url}/fetch?ms={}", self.weight_load_ms);
        let response = self.client.get(url).send().await.map_err(|error| error.to_string())?;
        response.error_for_status().map(drop).map_err(|error| error.to_string())
    }

    fn reserve_memory(&self, command: &EngineCommand) -> Result<(), Reply> {
        let mut inner = self.lock();
        if inner.loaded_weights.iter().any(|loaded| loaded.weights == command.weights) {
            return Err(Reply::text(200, "already loaded"));
        }
        if inner.used_memory_mib() + command.memory_mib > self.memory_mib {
            inner.counters.over_memory += 1;
            return Err(Reply::text(507, "not enough memory"));
        }
        let (weights, memory_mib) = (command.weights.clone(), command.memory_mib);
        inner.loaded_weights.push(LoadedWeights { weights, memory_mib, ready: false });
        inner.counters.most_memory_mib =
            inner.counters.most_memory_mib.max(inner.used_memory_mib());
        inner.counters.loads += 1;
        Ok(())
    }

    async fn load_weights(&self, command: &EngineCommand) -> Reply {
        if let Err(reply) = self.reserve_memory(command) {
            return reply;
        }
        let fetched = self.fetch_weights().await;
        let mut inner = self.lock();
        if let Err(error) = fetched {
            inner.loaded_weights.retain(|loaded| loaded.weights != command.weights);
            return Reply::text(502, &error);
        }
        for loaded in
            inner.loaded_weights.iter_mut().filter(|loaded| loaded.weights == command.weights)
        {
            loaded.ready = true;
        }
        Reply::text(200, "loaded")
    }

    fn unload_weights(&self, command: &EngineCommand) -> Reply {
        let mut inner = self.lock();
        inner.loaded_weights.retain(|loaded| loaded.weights != command.weights);
        inner.counters.unloads += 1;
        Reply::text(200, "unloaded")
    }

    /// Rejects a command whose fencing token is older than the newest one seen for its weights.
    fn check_fence(&self, command: &EngineCommand) -> Result<(), Reply> {
        let mut inner = self.lock();
        let name = command.weights.to_string();
        let newest = inner.newest_fences.get(&name).copied().unwrap_or_default();
        if command.fence < newest {
            inner.counters.old_fences += 1;
            if self.check_fencing {
                return Err(Reply::text(409, "a command with a newer fencing token was accepted"));
            }
        }
        inner.newest_fences.insert(name, command.fence.max(newest));
        Ok(())
    }

    fn is_ready(&self, model: &str) -> bool {
        self.lock().loaded_weights.iter().any(|l| l.ready && l.weights.to_string() == model)
    }

    fn token_interval(&self) -> Duration {
        self.token_interval.mul_f64(self.lock().fault.slow)
    }
}

async fn execute_command(engine: Arc<Engine>, req: ApiRequest) -> Reply {
    engine.wait_while_hanging().await;
    let command: EngineCommand = match req.json() {
        Ok(command) => command,
        Err(reply) => return reply,
    };
    if let Err(reply) = engine.check_fence(&command) {
        return reply;
    }
    // Spawned, so that the command is executed even if its connection closes.
    let (executor, command) = (engine.clone(), command);
    let execution = tokio::spawn(async move {
        match command.action {
            CommandAction::Load => executor.load_weights(&command).await,
            CommandAction::Unload => executor.unload_weights(&command),
        }
    });
    let Ok(reply) = execution.await else { return Reply::text(500, "the command failed") };
    let mut inner = engine.lock();
    if inner.fault.lose_order_answers > 0 {
        inner.fault.lose_order_answers -= 1;
        return Reply::Events(stream::iter([Err(std::io::Error::other("response lost"))]).boxed());
    }
    reply
}

async fn list_loaded(engine: Arc<Engine>, _req: ApiRequest) -> Reply {
    engine.wait_while_hanging().await;
    Reply::json(&engine.lock().loaded_weights)
}

/// Returns the newest load report sampled at least `report_lag` ago.
async fn load_report(engine: Arc<Engine>, _req: ApiRequest) -> Reply {
    let mut inner = engine.lock();
    let is_published =
        |(sampled_at, _): &(Instant, EngineReport)| sampled_at.elapsed() >= engine.report_lag;
    while inner.load_reports.len() > 1 && is_published(&inner.load_reports[1]) {
        inner.load_reports.pop_front();
    }
    let report = inner.load_reports.front().filter(|report| is_published(report));
    Reply::json(&report.map(|(_, report)| report.clone()).unwrap_or_default())
}

async fn sample_load(engine: Arc<Engine>) {
    loop {
        let (running, waiting) = engine.batch.running_and_waiting();
        {
            let mut inner = engine.lock();
            let report = EngineReport { running, waiting, memory_mib: inner.used_memory_mib() };
            inner.load_reports.push_back((Instant::now(), report));
            while inner.load_reports.len() > MAX_LOAD_REPORTS {
                inner.load_reports.pop_front();
            }
        }
        time::sleep(LOAD_SAMPLE_INTERVAL).await;
    }
}

async fn cache_events(engine: Arc<Engine>, req: ApiRequest) -> Reply {
    Reply::json(&engine.lock().cache.events(req.param("from"), engine.event_lag))
}

async fn counters(engine: Arc<Engine>, _req: ApiRequest) -> Reply {
    Reply::json(&engine.lock().counters)
}

async fn cancel_request(engine: Arc<Engine>, req: ApiRequest) -> Reply {
    let mut inner = engine.lock();
    inner.counters.cancelled += 1;
    inner.cancelled_requests.insert(req.param("request"));
    Reply::text(200, "cancelled")
}

async fn set_fault(engine: Arc<Engine>, req: ApiRequest) -> Reply {
    match req.json() {
        Ok(fault) => {
            let fault: Fault = fault;
            let mut inner = engine.lock();
            inner.cache.drop_event_every = fault.lose_cache_events;
            inner.fault = fault;
            Reply::text(200, "set")
        }
        Err(reply) => reply,
    }
}

/// A response being generated; occupies its batch slot until dropped.
struct Generation {
    engine: Arc<Engine>,
    request_id: String,
    model: String,
    prompt: Vec<u8>,
    is_chat: bool,
    next_position: u64,
    max_tokens: u64,
    cached_prompt_tokens: usize,
    has_ended: bool,
    _batch_slot: BatchSlot,
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.engine.lock().cancelled_requests.remove(&self.request_id);
    }
}

impl Generation {
    async fn next_event(mut self) -> Option<(Result<Bytes, std::io::Error>, Self)> {
        if self.has_ended {
            return None;
        }
        if self.next_position == self.max_tokens {
            self.has_ended = true;
            return Some((Ok(self.final_events()), self));
        }
        let token_interval = self.engine.token_interval();
        if !token_interval.is_zero() {
            time::sleep(token_interval).await;
        }
        self.engine.wait_while_hanging().await;
        if self.is_interrupted() {
            self.has_ended = true;
            return Some((Err(std::io::Error::other("stream interrupted")), self));
        }
        let token = text::token_at(&self.model, &self.prompt, self.next_position);
        self.next_position += 1;
        self.engine.lock().counters.tokens += 1;
        let choice = if self.is_chat {
            json!({ "index": 0, "delta": { "content": token } })
        } else {
            json!({ "index": 0, "text": token })
        };
        let value = json!({ "id": self.request_id, "choices": [choice] });
        Some((Ok(serve::format_event(&value.to_string())), self))
    }

    fn is_interrupted(&self) -> bool {
        let inner = self.engine.lock();
        inner.cancelled_requests.contains(&self.request_id)
            || inner.fault.break_after.is_some_and(|after| self.next_position >= after)
    }

    fn final_events(&self) -> Bytes {
        let prompt_tokens = self.prompt.split(u8::is_ascii_whitespace).count();
        let value = json!({
            "id": self.request_id,
            "choices": [{ "index": 0, "text": "", "delta": {}, "finish_reason": "length" }],
            "usage": { "prompt_tokens": prompt_tokens, "completion_tokens": self.max_tokens,
                "total_tokens": prompt_tokens as u64 + self.max_tokens,
                "prompt_tokens_details": { "cached_tokens": self.cached_prompt_tokens } },
        });
        let mut end = serve::format_event(&value.to_string()).to_vec();
        end.extend_from_slice(&serve::format_event("[DONE]"));
        end.into()
    }
}

async fn generate(engine: Arc<Engine>, req: ApiRequest) -> Reply {
    engine.wait_while_hanging().await;
    let body: Value = match req.json() {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let model = body["model"].as_str().unwrap_or_default().to_owned();
    let prompt = match body["prompt"].as_str() {
        Some(prompt) => prompt.as_bytes().to_vec(),
        None => body["messages"].to_string().into_bytes(),
    };
    if !engine.is_ready(&model) {
        return Reply::text(404, "the model is not loaded");
    }
    engine.lock().counters.requests += 1;
    let batch_slot = engine.batch.acquire(req.header("x-priority")).await;
    let cached_tokens = {
        let mut inner = engine.lock();
        let cached_tokens = inner.cache.insert_prompt(&model, &prompt);
        inner.counters.cached_prompt_tokens += cached_tokens as u64;
        cached_tokens
    };
    let prompt_tokens = prompt.split(u8::is_ascii_whitespace).count();
    let prefill = engine.prefill_per_token * prompt_tokens.saturating_sub(cached_tokens) as u32;
    if !prefill.is_zero() {
        time::sleep(prefill).await;
    }
    let generation = Generation {
        engine,
        request_id: req.header("x-request-id"),
        model,
        prompt,
        is_chat: req.path.contains("chat"),
        next_position: req.header("x-resume-from"),
        max_tokens: body["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS),
        cached_prompt_tokens: cached_tokens,
        has_ended: false,
        _batch_slot: batch_slot,
    };
    Reply::Events(stream::unfold(generation, Generation::next_event).boxed())
}

pub async fn run(matches: &Matches) -> Result<(), String> {
    let client = reqwest::Client::builder().no_proxy().build().map_err(|e| e.to_string())?;
    let engine = Arc::new(Engine {
        memory_mib: serve::parse_option(matches, "memory-mib", 80_000)?,
        token_interval: Duration::from_micros(serve::parse_option(matches, "token-us", 5_000)?),
        prefill_per_token: Duration::from_micros(serve::parse_option(matches, "prefill-us", 0)?),
        batch: Batch::new(serve::parse_option(matches, "batch", 32)?),
        report_lag: Duration::from_millis(serve::parse_option(matches, "report-lag-ms", 0)?),
        event_lag: Duration::from_millis(serve::parse_option(matches, "event-lag-ms", 0)?),
        weight_load_ms: serve::parse_option(matches, "load-ms", 500)?,
        weights_url: matches.opt_str("weights"),
        check_fencing: matches.opt_present("check-fencing"),
        client,
        inner: Mutex::new(EngineState {
            cache: PrefixCache::new(serve::parse_option(matches, "cache-blocks", 4096)?),
            load_reports: VecDeque::new(),
            loaded_weights: Vec::new(),
            newest_fences: BTreeMap::new(),
            cancelled_requests: BTreeSet::new(),
            fault: Fault::default(),
            counters: Counters::default(),
        }),
    });
    tokio::spawn(sample_load(engine.clone()));
    let endpoint = |operation| Endpoint(engine.clone(), operation);
    let routes = Router::new()
        .push(Router::with_path("v1/completions").post(endpoint(|s, r| generate(s, r).boxed())))
        .push(
            Router::with_path("v1/chat/completions").post(endpoint(|s, r| generate(s, r).boxed())),
        )
        .push(Router::with_path("orders").post(endpoint(|s, r| execute_command(s, r).boxed())))
        .push(Router::with_path("loaded").get(endpoint(|s, r| list_loaded(s, r).boxed())))
        .push(Router::with_path("load").get(endpoint(|s, r| load_report(s, r).boxed())))
        .push(Router::with_path("cache-events").get(endpoint(|s, r| cache_events(s, r).boxed())))
        .push(Router::with_path("counters").get(endpoint(|s, r| counters(s, r).boxed())))
        .push(
            Router::with_path("cancel/{request}")
                .post(endpoint(|s, r| cancel_request(s, r).boxed())),
        )
        .push(Router::with_path("fault").post(endpoint(|s, r| set_fault(s, r).boxed())));
    serve::serve(&serve::listen_address(matches)?, routes).await
}
