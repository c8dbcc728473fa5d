//! Model engines: generation, and commands to load and unload.

use crate::http::{EdgeError, HttpSystem};
use async_trait::async_trait;
use bytes::Bytes;
use corianderstand_derives::derives;
use corianderstand_types::weights::Weights;
use eventsource_stream::Eventsource;
use futures::{StreamExt, stream::BoxStream};
use serde_json::{Value, json};
use smol_str::SmolStr;
use std::time::Duration;

/// Something an engine has loaded.
#[derives(wire)]
#[derive(Eq)]
pub struct LoadedWeights {
    /// What it is.
    pub weights: Weights,
    /// Memory it takes, in MiB.
    pub memory_mib: u64,
    /// Whether loading has finished.
    pub ready: bool,
}

/// An order to an engine.
#[derives(wire)]
#[derive(Eq)]
pub struct EngineCommand {
    /// What to do.
    pub action: CommandAction,
    /// With what.
    pub weights: Weights,
    /// Memory set aside for it, in MiB.
    pub memory_mib: u64,
    /// Fencing number: offset of the slot's assignment in the log.
    pub fence: u64,
}

/// What an order asks for.
#[derives(key)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandAction {
    /// Fetch and load; answered when it is ready.
    Load,
    /// Drop and give the memory back; answered when that is done.
    Unload,
}

/// A request to generate.
#[derives(data)]
pub struct GenerateRequest {
    /// Whether the body is a chat.
    pub chat: bool,
    /// What to generate with.
    pub weights: Weights,
    /// The caller's JSON body.
    pub body: Bytes,
    /// Identity of the request, for cancelling.
    pub request: SmolStr,
    /// 0 low, 1 normal, 2 urgent.
    pub priority: u8,
    /// First token wanted, to take up a stream.
    pub position: u64,
    /// W3C trace context.
    pub traceparent: SmolStr,
}

/// What an engine sends while it generates.
#[derives(data)]
pub enum EngineEvent {
    /// Some text.
    Text(String),
    /// The end.
    Finished {
        /// Why generation stopped.
        reason: String,
        /// Tokens in the prompt.
        prompt_tokens: u64,
        /// Tokens generated, those before a resumed position included.
        completion_tokens: u64,
    },
}

/// An engine's answer as it comes.
pub type EngineStream = BoxStream<'static, Result<EngineEvent, EdgeError>>;

/// How busy an engine says it is; late.
#[derives(wire)]
#[derive(Default)]
pub struct EngineReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Memory in use, in MiB.
    pub memory_mib: u64,
}

/// What happened to a block of an engine's prefix cache.
#[derives(wire)]
#[derive(Eq)]
pub struct CacheEvent {
    /// Its number; a number that is left out is an event that was lost.
    pub sequence: u64,
    /// Hash of the block and all that precedes it.
    pub block: u64,
    /// What happened.
    pub change: CacheChange,
}

/// What happened to a block.
#[derives(key)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// It was taken in.
    Stored,
    /// It made room for another.
    Evicted,
}

/// Some of an engine's cache events.
#[derives(wire)]
#[derive(Default, Eq)]
pub struct CacheEvents {
    /// Number to ask from next time.
    pub next: u64,
    /// Events in order, late and with gaps.
    pub events: Vec<CacheEvent>,
}

impl CacheEvents {
    /// How many events were lost, if it was asked from `from`.
    ///
    /// Whoever follows the events cannot know what the lost ones said, so after a gap its
    /// picture of the cache may be too full as well as too empty.
    pub fn lost(&self, from: u64) -> u64 {
        self.next.saturating_sub(from).saturating_sub(self.events.len() as u64)
    }
}

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// What is loaded or loading.
    async fn loaded(&self) -> Result<Vec<LoadedWeights>, EdgeError>;
    /// Carries out an order; an error leaves open whether it did.
    async fn execute(&self, command: &EngineCommand) -> Result<(), EdgeError>;
    /// Starts to generate.
    async fn generate(&self, request: GenerateRequest) -> Result<EngineStream, EdgeError>;
    /// Stops a request and gives its memory back.
    async fn cancel(&self, request: &str) -> Result<(), EdgeError>;
    /// How busy the engine says it is; it lags.
    async fn report(&self) -> Result<EngineReport, EdgeError>;
    /// Events of its prefix cache from a sequence number; they are late and have gaps.
    async fn cache_events(&self, from: u64) -> Result<CacheEvents, EdgeError>;
}

/// Longest pause between two parts of an engine's answer.
pub const ENGINE_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// An engine over HTTP and server-sent events.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    http: HttpSystem,
}

impl HttpEngine {
    /// The engine at `base`.
    pub fn new(base: &str) -> Self {
        Self { http: HttpSystem::new("the engine", base, ENGINE_IDLE_TIMEOUT) }
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn loaded(&self) -> Result<Vec<LoadedWeights>, EdgeError> {
        self.http.json(self.http.request(reqwest::Method::GET, "/loaded")).await
    }

    async fn execute(&self, command: &EngineCommand) -> Result<(), EdgeError> {
        let req = self.http.request(reqwest::Method::POST, "/orders").json(command);
        // An answer that breaks off confirms nothing, whatever its head said.
        let answer = self.http.send(req).await?;
        answer.bytes().await.map(drop).map_err(|error| self.http.unreachable(&error))
    }

    async fn generate(&self, request: GenerateRequest) -> Result<EngineStream, EdgeError> {
        let path = if request.chat { "/v1/chat/completions" } else { "/v1/completions" };
        let body = engine_body(&request).map_err(|error| self.http.malformed(&error))?;
        let req = self
            .http
            .request(reqwest::Method::POST, path)
            .header("x-request-id", request.request.as_str())
            .header("x-priority", u32::from(request.priority))
            .header("x-resume-from", request.position)
            .header("traceparent", request.traceparent.as_str())
            .json(&body);
        let response = self.http.send(req).await?;
        let http = self.http.clone();
        let events = response.bytes_stream().eventsource();
        let events = events.take_while(|event| {
            let done = matches!(event, Ok(event) if event.data == "[DONE]");
            futures::future::ready(!done)
        });
        Ok(events.map(move |event| read_event(&http, event)).boxed())
    }

    async fn cancel(&self, request: &str) -> Result<(), EdgeError> {
        let path = format!("/cancel/{request}");
        self.http.send(self.http.request(reqwest::Method::POST, &path)).await.map(drop)
    }

    async fn report(&self) -> Result<EngineReport, EdgeError> {
        self.http.json(self.http.request(reqwest::Method::GET, "/load")).await
    }

    async fn cache_events(&self, from: u64) -> Result<CacheEvents, EdgeError> {
        let path = format!("/cache-events?from={from}");
        self.http.json(self.http.request(reqwest::Method::GET, &path)).await
    }
}

/// The caller's body with the model as the engine names it, and streaming switched on.
fn engine_body(request: &GenerateRequest) -> Result<Value, serde_json::Error> {
    let mut body: Value = serde_json::from_slice(&request.body)?;
    body["model"] = json!(request.weights.to_string());
    body["stream"] = json!(true);
    body["stream_options"] = json!({ "include_usage": true });
    Ok(body)
}

type RawEvent<E> = Result<eventsource_stream::Event, eventsource_stream::EventStreamError<E>>;

fn read_event<E: std::fmt::Display>(
    http: &HttpSystem,
    event: RawEvent<E>,
) -> Result<EngineEvent, EdgeError> {
    let event = event.map_err(|error| http.malformed(&error))?;
    let value: Value = serde_json::from_str(&event.data).map_err(|e| http.malformed(&e))?;
    if let Some(message) = value["error"]["message"].as_str() {
        return Err(http.malformed(&message));
    }
    if let Some(usage) = value["usage"].as_object() {
        let count = |name: &str| usage.get(name).and_then(Value::as_u64).unwrap_or_default();
        let reason = value["choices"][0]["finish_reason"].as_str().unwrap_or("stop");
        return Ok(EngineEvent::Finished {
            reason: reason.to_owned(),
            prompt_tokens: count("prompt_tokens"),
            completion_tokens: count("completion_tokens"),
        });
    }
    let choice = &value["choices"][0];
    let text = choice["text"].as_str().or_else(|| choice["delta"]["content"].as_str());
    Ok(EngineEvent::Text(text.unwrap_or_default().to_owned()))
}

pub use fake::MemoryEngine;

mod fake {
    //! An engine in memory, for tests.

    use super::{
        BoxStream, CacheEvent, CacheEvents, CommandAction, EdgeError, Engine, EngineCommand,
        EngineEvent, EngineReport, EngineStream, GenerateRequest, LoadedWeights, async_trait,
    };
    use futures::{StreamExt, stream};
    use std::sync::{Mutex, MutexGuard};

    /// An engine that answers three tokens at once and remembers its orders.
    #[derive(Debug, Default)]
    pub struct MemoryEngine {
        inner: Mutex<Inner>,
    }

    #[derive(Debug, Default)]
    struct Inner {
        loaded: Vec<LoadedWeights>,
        commands: Vec<EngineCommand>,
        lose_answers: u32,
        report: EngineReport,
        cache_events: Vec<CacheEvent>,
    }

    impl MemoryEngine {
        fn lock(&self) -> MutexGuard<'_, Inner> {
            self.inner.lock().expect("no holder of this lock panics")
        }

        /// All orders that took effect.
        pub fn commands(&self) -> Vec<EngineCommand> {
            self.lock().commands.clone()
        }

        /// Sets the report, however old it is to be.
        pub fn set_report(&self, report: EngineReport) {
            self.lock().report = report;
        }

        /// Publishes a cache event; leave out numbers for gaps.
        pub fn publish(&self, event: CacheEvent) {
            self.lock().cache_events.push(event);
        }

        /// Makes the next orders take effect but lose their answers.
        pub fn lose_answers(&self, count: u32) {
            self.lock().lose_answers = count;
        }
    }

    const TOKENS: [&str; 3] = ["one ", "two ", "three"];

    #[async_trait]
    impl Engine for MemoryEngine {
        async fn loaded(&self) -> Result<Vec<LoadedWeights>, EdgeError> {
            Ok(self.lock().loaded.clone())
        }

        async fn execute(&self, command: &EngineCommand) -> Result<(), EdgeError> {
            let mut inner = self.lock();
            inner.commands.push(command.clone());
            inner.loaded.retain(|loaded| loaded.weights != command.weights);
            if command.action == CommandAction::Load {
                let (weights, memory_mib) = (command.weights.clone(), command.memory_mib);
                inner.loaded.push(LoadedWeights { weights, memory_mib, ready: true });
            }
            if inner.lose_answers > 0 {
                inner.lose_answers -= 1;
                let (url, detail) = ("memory".into(), "no answer".into());
                return Err(EdgeError::Unreachable { system: "the engine", url, detail });
            }
            Ok(())
        }

        async fn generate(&self, request: GenerateRequest) -> Result<EngineStream, EdgeError> {
            let texts = TOKENS.iter().skip(request.position as usize);
            let texts = texts.map(|text| Ok(EngineEvent::Text((*text).to_owned())));
            let finished = EngineEvent::Finished {
                reason: "stop".into(),
                prompt_tokens: 1,
                completion_tokens: TOKENS.len() as u64,
            };
            let events: Vec<_> = texts.chain([Ok(finished)]).collect();
            let stream: BoxStream<'static, _> = stream::iter(events).boxed();
            Ok(stream)
        }

        async fn cancel(&self, _request: &str) -> Result<(), EdgeError> {
            Ok(())
        }

        async fn report(&self) -> Result<EngineReport, EdgeError> {
            Ok(self.lock().report.clone())
        }

        async fn cache_events(&self, from: u64) -> Result<CacheEvents, EdgeError> {
            let events = self.lock().cache_events.clone().into_iter();
            let events: Vec<CacheEvent> = events.filter(|e| e.sequence >= from).collect();
            let next = events.last().map_or(from, |event| event.sequence + 1);
            Ok(CacheEvents { next, events })
        }
    }
}
