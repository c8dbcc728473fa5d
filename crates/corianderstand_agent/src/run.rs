//! The `target` thread: sends requests and commands to the target.

use crate::{
    calls,
    event::{Event, Job, Request, ResponseStream},
};
use corianderstand_control::{
    metrics::{Metric, Metrics},
    start::ControlHandle,
};
use corianderstand_decide::request::RequestKey;
use corianderstand_derives::derives;
use corianderstand_edge::{
    EdgeError,
    engine::{CommandAction, Engine, EngineCommand, EngineEvent, EngineStream, GenerateRequest},
    service::PlainService,
};
use corianderstand_schema::messages::{Ending, Load, Operation, RefusalReason, ToRouter};
use corianderstand_types::{clock::SharedClock, names::TargetId, units::Mib, weights::Weights};
use futures::StreamExt;
use smol_str::{SmolStr, format_smolstr};
use std::{
    sync::{Arc, atomic::AtomicUsize, mpsc::SyncSender},
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    time,
};

#[derive(Clone)]
pub enum Target {
    Engine(Arc<dyn Engine>),
    Service(Arc<dyn PlainService>),
}

/// Runs jobs; cloned for each job.
#[derive(Clone)]
pub struct JobRunner {
    pub target: Target,
    pub name: TargetId,
    pub events: SyncSender<Event>,
    pub load: watch::Receiver<Load>,
    pub control: ControlHandle,
    pub clock: SharedClock,
    pub metrics: Metrics,
    /// Claims that timed out and are still undecided in the log.
    pub undecided_claims: Arc<AtomicUsize>,
}

/// Outcome of a request.
#[derives(data)]
pub enum Finish {
    /// Ended after this many chunks.
    Ended(Ending, u64),
    /// Not run; the duration is the time to retry after.
    Refused(RefusalReason, Duration),
}

impl JobRunner {
    pub async fn run(self, mut jobs: mpsc::UnboundedReceiver<Job>) {
        while let Some(job) = jobs.recv().await {
            tokio::spawn(self.clone().run_job(job));
        }
    }

    async fn run_job(self, job: Job) {
        match job {
            Job::Run(key, request) => self.run_request(key, *request).await,
            Job::Refuse(request, refused) => {
                request.response.send(&refused, b"").await;
            }
            Job::Load { weights, memory, fence } => {
                self.execute_command(CommandAction::Load, weights, memory, fence).await;
            }
            Job::Unload { weights, memory, fence } => {
                self.execute_command(CommandAction::Unload, weights, memory, fence).await;
            }
            Job::QueryLoaded { ledger_version } => self.query_loaded(ledger_version).await,
        }
    }

    async fn execute_command(
        &self,
        action: CommandAction,
        weights: Weights,
        memory: Mib,
        fence: u64,
    ) {
        let Target::Engine(engine) = &self.target else { return };
        let command =
            EngineCommand { action, weights: weights.clone(), memory_mib: memory.0, fence };
        let started_at = self.clock.now();
        let response = engine.execute(&command).await;
        if let Err(error) = &response {
            tracing::warn!(%weights, ?action, %error, "command not confirmed");
        }
        let outcome = match response {
            Ok(()) => Some(true),
            // A server error doesn't show whether the command was executed.
            Err(EdgeError::Status { status, .. }) if status < 500 => Some(false),
            Err(error) if error.never_sent() => Some(false),
            Err(_) => None,
        };
        let outcome_tag = match outcome {
            Some(true) => "done",
            Some(false) => "failed",
            None => "unknown",
        };
        let metric = match action {
            CommandAction::Load => Metric::AgentLoads,
            CommandAction::Unload => Metric::AgentUnloads,
        };
        self.metrics.count_tagged(metric, 1, "outcome", outcome_tag);
        if action == CommandAction::Load {
            self.metrics.time(Metric::AgentLoadTime, self.clock.now() - started_at);
        }
        self.send_event(match action {
            CommandAction::Load => Event::LoadFinished(weights, outcome),
            CommandAction::Unload => Event::UnloadFinished(weights, outcome == Some(true)),
        });
    }

    async fn query_loaded(&self, ledger_version: u64) {
        let Target::Engine(engine) = &self.target else { return };
        let loaded = engine.loaded().await;
        if let Err(error) = &loaded {
            tracing::warn!(%error, "cannot query the engine's loaded weights");
        }
        let loaded = loaded.ok().map(|loaded| {
            loaded.into_iter().map(|l| (l.weights, Mib(l.memory_mib), l.ready)).collect()
        });
        self.send_event(Event::LoadedReported { ledger_version, loaded });
    }

    /// Blocks only briefly: the `decide` thread never waits for this one.
    fn send_event(&self, event: Event) {
        drop(self.events.send(event));
    }

    async fn run_request(&self, key: RequestKey, request: Request) {
        let started_at = self.clock.now();
        let trace = corianderstand_link::trace::TraceContext::continue_from(Some(
            request.open.traceparent.as_str(),
        ));
        let finish = match &request.open.operation {
            Operation::Call { .. } => calls::run(self, &request, trace).await,
            _ => {
                let (ending, position) = self.generate(&request, trace).await;
                Finish::Ended(ending, position)
            }
        };
        let elapsed = self.clock.now() - started_at;
        self.metrics.time(Metric::AgentRun, elapsed);
        if let Finish::Ended(_, position) = &finish {
            self.metrics.count(Metric::AgentTokens, *position);
        }
        tracing::info!(
            trace_id = %format_args!("{:032x}", trace.trace),
            span_id = %format_args!("{:016x}", trace.span),
            parent_id = %format_args!("{:016x}", trace.parent),
            request = %request.open.request,
            took_us = elapsed.as_micros() as u64,
            finish = ?finish,
            "hop agent"
        );
        self.send_event(Event::RequestFinished { key });
        let (stream, load) = (request.response.stream, self.load.borrow().clone());
        let message = match finish {
            Finish::Ended(ending, position) => ToRouter::End { stream, position, ending, load },
            Finish::Refused(reason, retry_after) => {
                let retry_after_ms = retry_after.as_millis() as u64;
                ToRouter::Refused { stream, reason, retry_after_ms, load }
            }
        };
        request.response.send(&message, b"").await;
    }

    async fn generate(
        &self,
        request: &Request,
        trace: corianderstand_link::trace::TraceContext,
    ) -> (Ending, u64) {
        let mut position = request.open.position;
        let Target::Engine(engine) = &self.target else {
            return (failed("this target is a plain service: name a model elsewhere"), position);
        };
        let Some(generate) = generate_request(request, trace) else {
            return (failed("the request names no model"), position);
        };
        let id = generate.request.clone();
        let started = tokio::select! {
            started = engine.generate(generate) => Some(started),
            () = cancelled(request.response.credit.clone()) => None,
        };
        let outcome = match started {
            Some(Ok(stream)) => forward_stream(stream, &request.response, &mut position).await,
            Some(Err(error)) => StreamOutcome::Ended(failed(&error.to_string())),
            None => StreamOutcome::CallerDisconnected,
        };
        let ending = match outcome {
            StreamOutcome::Ended(ending) => return (ending, position),
            StreamOutcome::CallerDisconnected => failed("the caller left"),
            StreamOutcome::Stalled => failed("the engine made no progress"),
        };
        // Frees the engine's compute and memory immediately.
        if let Err(error) = engine.cancel(&id).await {
            tracing::warn!(request = %id, %error, "cancel not confirmed");
        }
        (ending, position)
    }
}

pub fn failed(reason: &str) -> Ending {
    Ending::Failed { reason: reason.into() }
}

fn generate_request(
    request: &Request,
    trace: corianderstand_link::trace::TraceContext,
) -> Option<GenerateRequest> {
    let (chat, model, version, adapter) = match &request.open.operation {
        Operation::Completion { model, version, adapter } => (false, model, version, adapter),
        Operation::Chat { model, version, adapter } => (true, model, version, adapter),
        Operation::Call { .. } => return None,
    };
    let weights = match adapter {
        None => Weights::model(model.clone(), version.clone()),
        Some(adapter) => Weights {
            model: model.clone(),
            version: adapter.version.clone(),
            adapter: Some(adapter.name.clone()),
        },
    };
    Some(GenerateRequest {
        chat,
        weights,
        body: request.body.clone(),
        request: unique_engine_request_id(&request.open.request),
        priority: request.open.urgency,
        position: request.open.position,
        traceparent: trace.header(),
    })
}

/// Returns a request id that is unique to this attempt, so that cancelling an earlier attempt on
/// the same engine doesn't cancel a later one.
fn unique_engine_request_id(request: &str) -> SmolStr {
    format_smolstr!("{request}-{:016x}", rand::random::<u64>())
}

/// Timeout of the first chunk, which includes the prefill.
const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_secs(60);
const CHUNK_TIMEOUT: Duration = Duration::from_secs(10);

/// How an engine's response stream ended.
enum StreamOutcome {
    /// Ended by the engine or with its connection.
    Ended(Ending),
    CallerDisconnected,
    /// No chunk arrived in time on an open connection.
    Stalled,
}

/// Forwards an engine's response as far as the stream's credit allows.
///
/// Each chunk restarts the timeout, which detects a connection that a middlebox dropped silently.
async fn forward_stream(
    mut stream: EngineStream,
    response: &ResponseStream,
    position: &mut u64,
) -> StreamOutcome {
    let mut credit = response.credit.clone();
    let mut chunk_timeout = FIRST_CHUNK_TIMEOUT;
    loop {
        let event = tokio::select! {
            event = time::timeout(chunk_timeout, stream.next()) => event,
            () = cancelled(credit.clone()) => return StreamOutcome::CallerDisconnected,
        };
        chunk_timeout = CHUNK_TIMEOUT;
        match event {
            Err(_) => return StreamOutcome::Stalled,
            Ok(Some(Ok(EngineEvent::Text(text)))) => {
                if credit.wait_for(|upto| *position < *upto).await.is_err() {
                    return StreamOutcome::CallerDisconnected;
                }
                let chunk = ToRouter::Chunk { stream: response.stream, position: *position };
                if !response.send(&chunk, text.as_bytes()).await {
                    return StreamOutcome::CallerDisconnected;
                }
                *position += 1;
            }
            Ok(Some(Ok(EngineEvent::Finished { reason, prompt_tokens, completion_tokens }))) => {
                let finish_reason = reason.into();
                let whole = Ending::Whole { prompt_tokens, completion_tokens, finish_reason };
                return StreamOutcome::Ended(whole);
            }
            Ok(Some(Err(error))) => return StreamOutcome::Ended(failed(&error.to_string())),
            // Without the engine's end marker, the response is incomplete.
            Ok(None) => return StreamOutcome::Ended(failed("the engine broke off: ask again")),
        }
    }
}

async fn cancelled(mut credit: watch::Receiver<u64>) {
    while credit.changed().await.is_ok() {}
}
