//! Client for model engines: text generation, and commands that load and unload weights.

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

/// A model or an adapter in an engine's memory.
#[derives(wire)]
#[derive(Eq)]
pub struct LoadedWeights {
    /// The model, or the adapter and its model.
    pub weights: Weights,
    /// Memory in use, in MiB.
    pub memory_mib: u64,
    /// Whether loading has finished.
    pub ready: bool,
}

/// A command to load or unload weights.
#[derives(wire)]
#[derive(Eq)]
pub struct EngineCommand {
    /// Whether to load or to unload.
    pub action: CommandAction,
    /// The weights that the command applies to.
    pub weights: Weights,
    /// Memory reserved for the weights, in MiB.
    pub memory_mib: u64,
    /// Fencing token: log offset of the replica slot's assignment.
    pub fence: u64,
}

/// Action of an [`EngineCommand`].
#[derives(key)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandAction {
    /// Fetch and load the weights; the response follows once they are ready.
    Load,
    /// Drop the weights; the response follows once their memory is free.
    Unload,
}

/// A text generation request.
#[derives(data)]
pub struct GenerateRequest {
    /// Whether the body is a chat completion rather than a text completion.
    pub chat: bool,
    /// The model or adapter to run.
    pub weights: Weights,
    /// The caller's JSON body.
    pub body: Bytes,
    /// Request id, as used by [`Engine::cancel`].
    pub request: SmolStr,
    /// Priority: 0 low, 1 normal, 2 urgent.
    pub priority: u8,
    /// Index of the first token to send; above 0 to resume a stream.
    pub position: u64,
    /// W3C trace context.
    pub traceparent: SmolStr,
}

/// An event of a generation stream.
#[derives(data)]
pub enum EngineEvent {
    /// Generated text.
    Text(String),
    /// End of the stream.
    Finished {
        /// Why generation stopped.
        reason: String,
        /// Tokens in the prompt.
        prompt_tokens: u64,
        /// Tokens generated, including those before a resumed position.
        completion_tokens: u64,
    },
}

/// Stream of an engine's generation events.
pub type EngineStream = BoxStream<'static, Result<EngineEvent, EdgeError>>;

/// Load that an engine reports about itself; may be stale.
#[derives(wire)]
#[derive(Default)]
pub struct EngineReport {
    /// Requests in progress.
    pub running: u32,
    /// Requests queued.
    pub waiting: u32,
    /// Memory in use, in MiB.
    pub memory_mib: u64,
}

/// A change to one block of an engine's prefix cache.
#[derives(wire)]
#[derive(Eq)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// Hash of the block and of all blocks before it.
    pub block: u64,
    /// Whether the block was stored or evicted.
    pub change: CacheChange,
}

/// Kind of a [`CacheEvent`].
#[derives(key)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was added.
    Stored,
    /// The block was removed to free memory.
    Evicted,
}

/// A batch of cache events.
#[derives(wire)]
#[derive(Default, Eq)]
pub struct CacheEvents {
    /// Sequence number to continue from.
    pub next: u64,
    /// Events in order of their sequence numbers, possibly delayed and with gaps.
    pub events: Vec<CacheEvent>,
}

impl CacheEvents {
    /// Number of events missing from a batch that was requested from `from`.
    pub fn lost(&self, from: u64) -> u64 {
        self.next.saturating_sub(from).saturating_sub(self.events.len() as u64)
    }
}

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Returns the weights that are loaded or loading.
    async fn loaded(&self) -> Result<Vec<LoadedWeights>, EdgeError>;
    /// Executes a command; after an error it may or may not have taken effect.
    async fn execute(&self, command: &EngineCommand) -> Result<(), EdgeError>;
    /// Starts a generation and returns its stream.
    async fn generate(&self, request: GenerateRequest) -> Result<EngineStream, EdgeError>;
    /// Cancels a request and frees its memory.
    async fn cancel(&self, request: &str) -> Result<(), EdgeError>;
    /// Returns the engine's load report, which may be stale.
    async fn report(&self) -> Result<EngineReport, EdgeError>;
    /// Returns prefix cache events from a sequence number on.
    async fn cache_events(&self, from: u64) -> Result<CacheEvents, EdgeError>;
}

/// Maximum time without data while an engine responds.
pub const ENGINE_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// [`Engine`] client over HTTP and server-sent events.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    http: HttpSystem,
}

impl HttpEngine {
    /// Creates a client for the engine at `base`.
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
        // A truncated body doesn't confirm the command, even after a success status.
        let response = self.http.send(req).await?;
        response.bytes().await.map(drop).map_err(|error| self.http.unreachable(&error))
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

/// Rewrites the caller's body: sets the engine's model name and enables streaming.
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
    use super::{
        BoxStream, CacheEvent, CacheEvents, CommandAction, EdgeError, Engine, EngineCommand,
        EngineEvent, EngineReport, EngineStream, GenerateRequest, LoadedWeights, async_trait,
    };
    use futures::{StreamExt, stream};
    use std::sync::{Mutex, MutexGuard};

    /// In-memory [`Engine`] that responds with three tokens and records the commands it receives.
    #[derive(Debug, Default)]
    pub struct MemoryEngine {
        inner: Mutex<Inner>,
    }

    #[derive(Debug, Default)]
    struct Inner {
        loaded: Vec<LoadedWeights>,
        commands: Vec<EngineCommand>,
        responses_to_drop: u32,
        report: EngineReport,
        cache_events: Vec<CacheEvent>,
    }

    impl MemoryEngine {
        fn lock(&self) -> MutexGuard<'_, Inner> {
            self.inner.lock().expect("no holder of this lock panics")
        }

        /// Returns all commands that took effect.
        pub fn commands(&self) -> Vec<EngineCommand> {
            self.lock().commands.clone()
        }

        /// Sets the load report to return.
        pub fn set_report(&self, report: EngineReport) {
            self.lock().report = report;
        }

        /// Appends a cache event; skip sequence numbers to simulate lost events.
        pub fn publish(&self, event: CacheEvent) {
            self.lock().cache_events.push(event);
        }

        /// Makes the next `count` commands take effect but fail without a response.
        pub fn drop_responses(&self, count: u32) {
            self.lock().responses_to_drop = count;
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
            if inner.responses_to_drop > 0 {
                inner.responses_to_drop -= 1;
                let (url, detail) = ("memory".into(), "no response".into());
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
