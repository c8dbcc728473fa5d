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
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Covers a report lag of 20 s.
const MAX_REPORTS: usize = 1000;

/// Injected faults.
#[derive(Clone, Copy, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    /// Factor on the time of a token.
    slow: f64,
    /// Streams fail after this many tokens.
    break_after: Option<u64>,
    /// Number of commands that are executed without a response.
    lose_order_answers: u32,
    /// Requests and streams stall.
    hang: bool,
    /// Loses each n-th cache event; 0 for none.
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
    load_ms: u64,
    weights_url: Option<String>,
    check_fencing: bool,
    client: reqwest::Client,
    inner: Mutex<Inner>,
}

struct Inner {
    cache: PrefixCache,
    reports: VecDeque<(Instant, EngineReport)>,
    loaded: Vec<LoadedWeights>,
    newest_fences: BTreeMap<String, u64>,
    cancelled: BTreeSet<String>,
    fault: Fault,
    counters: Counters,
}

impl Inner {
    fn memory(&self) -> u64 {
        self.loaded.iter().map(|loaded| loaded.memory_mib).sum()
    }
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    async fn wait_while_hanging(&self) {
        while self.lock().fault.hang {
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn fetch_weights(&self) -> Result<(), String> {
        let Some(weights_url) = &self.weights_url else {
            time::sleep(Duration::from_millis(self.load_ms)).await;
            return Ok(());
        };
        let url = format!("{weights_url}/fetch?ms={}", self.load_ms);
        let response = self.client.get(url).send().await.map_err(|error| error.to_string())?;
        response.error_for_status().map(drop).map_err(|error| error.to_string())
    }

    /// Reserves memory for a load.
    fn begin_load(&self, command: &EngineCommand) -> Result<(), Reply> {
        let mut inner = self.lock();
        if inner.loaded.iter().any(|loaded| loaded.weights == command.weights) {
            return Err(Reply::text(200, "already loaded"));
        }
        if inner.memory() + command.memory_mib > self.memory_mib {
            inner.counters.over_memory += 1;
            return Err(Reply::text(507, "not enough memory"));
        }
        let (weights, memory_mib) = (command.weights.clone(), command.memory_mib);
        inner.loaded.push(LoadedWeights { weights, memory_mib, ready: false });
        inner.counters.most_memory_mib = inner.counters.most_memory_mib.max(inner.memory());
        inner.counters.loads += 1;
        Ok(())
    }

    async fn load(&self, command: &EngineCommand) -> Reply {
        if let Err(reply) = self.begin_load(command) {
            return reply;
        }
        let fetched = self.fetch_weights().await;
        let mut inner = self.lock();
        if let Err(error) = fetched {
            inner.loaded.retain(|loaded| loaded.weights != command.weights);
            return Reply::text(502, &error);
        }
        for loaded in inner.loaded.iter_mut().filter(|loaded| loaded.weights == command.weights) {
            loaded.ready = true;
        }
        Reply::text(200, "loaded")
    }

    fn unload(&self, command: &EngineCommand) -> Reply {
        let mut inner = self.lock();
        inner.loaded.retain(|loaded| loaded.weights != command.weights);
        inner.counters.unloads += 1;
        Reply::text(200, "unloaded")
    }

    /// Rejects a command with an older fencing token than another one for the same weights.
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
        self.lock().loaded.iter().any(|l| l.ready && l.weights.to_string() == model)
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
            CommandAction::Load => executor.load(&command).await,
            CommandAction::Unload => executor.unload(&command),
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

async fn loaded(engine: Arc<Engine>, _req: ApiRequest) -> Reply {
    engine.wait_while_hanging().await;
    Reply::json(&engine.lock().loaded)
}

/// Returns the newest report that is at least as old as the report lag.
async fn load_report(engine: Arc<Engine>, _req: ApiRequest) -> Reply {
    let mut inner = engine.lock();
    let is_published = |(at, _): &(Instant, EngineReport)| at.elapsed() >= engine.report_lag;
    while inner.reports.len() > 1 && is_published(&inner.reports[1]) {
        inner.reports.pop_front();
    }
    let report = inner.reports.front().filter(|report| is_published(report));
    Reply::json(&report.map(|(_, report)| report.clone()).unwrap_or_default())
}

async fn sample_load(engine: Arc<Engine>) {
    loop {
        let (running, waiting) = engine.batch.counts();
        {
            let mut inner = engine.lock();
            let report = EngineReport { running, waiting, memory_mib: inner.memory() };
            inner.reports.push_back((Instant::now(), report));
            while inner.reports.len() > MAX_REPORTS {
                inner.reports.pop_front();
            }
        }
        time::sleep(SAMPLE_INTERVAL).await;
    }
}

async fn cache_events(engine: Arc<Engine>, req: ApiRequest) -> Reply {
    Reply::json(&engine.lock().cache.events(req.param("from"), engine.event_lag))
}

async fn counters(engine: Arc<Engine>, _req: ApiRequest) -> Reply {
    Reply::json(&engine.lock().counters)
}

async fn cancel(engine: Arc<Engine>, req: ApiRequest) -> Reply {
    let mut inner = engine.lock();
    inner.counters.cancelled += 1;
    inner.cancelled.insert(req.param("request"));
    Reply::text(200, "cancelled")
}

async fn fault(engine: Arc<Engine>, req: ApiRequest) -> Reply {
    match req.json() {
        Ok(fault) => {
            let fault: Fault = fault;
            let mut inner = engine.lock();
            inner.cache.drop_every = fault.lose_cache_events;
            inner.fault = fault;
            Reply::text(200, "set")
        }
        Err(reply) => reply,
    }
}

/// A generation in progress; cancelled when dropped.
struct Generation {
    engine: Arc<Engine>,
    request: String,
    model: String,
    prompt: Vec<u8>,
    chat: bool,
    position: u64,
    tokens: u64,
    cached: usize,
    ended: bool,
    _slot: BatchSlot,
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.engine.lock().cancelled.remove(&self.request);
    }
}

impl Generation {
    async fn step(mut self) -> Option<(Result<Bytes, std::io::Error>, Self)> {
        if self.ended {
            return None;
        }
        if self.position == self.tokens {
            self.ended = true;
            return Some((Ok(self.final_events()), self));
        }
        let token_interval = self.engine.token_interval();
        if !token_interval.is_zero() {
            time::sleep(token_interval).await;
        }
        self.engine.wait_while_hanging().await;
        if self.is_interrupted() {
            self.ended = true;
            return Some((Err(std::io::Error::other("stream interrupted")), self));
        }
        let token = text::token(&self.model, &self.prompt, self.position);
        self.position += 1;
        self.engine.lock().counters.tokens += 1;
        let choice = if self.chat {
            json!({ "index": 0, "delta": { "content": token } })
        } else {
            json!({ "index": 0, "text": token })
        };
        let value = json!({ "id": self.request, "choices": [choice] });
        Some((Ok(serve::event(&value.to_string())), self))
    }

    fn is_interrupted(&self) -> bool {
        let inner = self.engine.lock();
        inner.cancelled.contains(&self.request)
            || inner.fault.break_after.is_some_and(|after| self.position >= after)
    }

    fn final_events(&self) -> Bytes {
        let prompt_tokens = self.prompt.split(u8::is_ascii_whitespace).count();
        let value = json!({
            "id": self.request,
            "choices": [{ "index": 0, "text": "", "delta": {}, "finish_reason": "length" }],
            "usage": { "prompt_tokens": prompt_tokens, "completion_tokens": self.tokens,
                "total_tokens": prompt_tokens as u64 + self.tokens,
                "prompt_tokens_details": { "cached_tokens": self.cached } },
        });
        let mut end = serve::event(&value.to_string()).to_vec();
        end.extend_from_slice(&serve::event("[DONE]"));
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
    let slot = engine.batch.acquire(req.header("x-priority")).await;
    let cached = {
        let mut inner = engine.lock();
        let cached = inner.cache.insert_prompt(&model, &prompt);
        inner.counters.cached_prompt_tokens += cached as u64;
        cached
    };
    let words = prompt.split(u8::is_ascii_whitespace).count();
    let prefill = engine.prefill_per_token * words.saturating_sub(cached) as u32;
    if !prefill.is_zero() {
        time::sleep(prefill).await;
    }
    let generation = Generation {
        engine,
        request: req.header("x-request-id"),
        model,
        prompt,
        chat: req.path.contains("chat"),
        position: req.header("x-resume-from"),
        tokens: body["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS),
        cached,
        ended: false,
        _slot: slot,
    };
    Reply::Events(stream::unfold(generation, Generation::step).boxed())
}

pub async fn run(matches: &Matches) -> Result<(), String> {
    let client = reqwest::Client::builder().no_proxy().build().map_err(|e| e.to_string())?;
    let engine = Arc::new(Engine {
        memory_mib: serve::opt(matches, "memory-mib", 80_000)?,
        token_interval: Duration::from_micros(serve::opt(matches, "token-us", 5_000)?),
        prefill_per_token: Duration::from_micros(serve::opt(matches, "prefill-us", 0)?),
        batch: Batch::new(serve::opt(matches, "batch", 32)?),
        report_lag: Duration::from_millis(serve::opt(matches, "report-lag-ms", 0)?),
        event_lag: Duration::from_millis(serve::opt(matches, "event-lag-ms", 0)?),
        load_ms: serve::opt(matches, "load-ms", 500)?,
        weights_url: matches.opt_str("weights"),
        check_fencing: matches.opt_present("check-fencing"),
        client,
        inner: Mutex::new(Inner {
            cache: PrefixCache::new(serve::opt(matches, "cache-blocks", 4096)?),
            reports: VecDeque::new(),
            loaded: Vec::new(),
            newest_fences: BTreeMap::new(),
            cancelled: BTreeSet::new(),
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
        .push(Router::with_path("loaded").get(endpoint(|s, r| loaded(s, r).boxed())))
        .push(Router::with_path("load").get(endpoint(|s, r| load_report(s, r).boxed())))
        .push(Router::with_path("cache-events").get(endpoint(|s, r| cache_events(s, r).boxed())))
        .push(Router::with_path("counters").get(endpoint(|s, r| counters(s, r).boxed())))
        .push(Router::with_path("cancel/{request}").post(endpoint(|s, r| cancel(s, r).boxed())))
        .push(Router::with_path("fault").post(endpoint(|s, r| fault(s, r).boxed())));
    serve::serve(&serve::listen(matches)?, routes).await
}
