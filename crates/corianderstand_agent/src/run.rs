//! The `target` thread: calls and orders to the target.

use crate::{
    calls,
    event::{Event, Job, Request, StreamEnd},
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

/// The target, as far as this process speaks to it.
#[derive(Clone)]
pub enum Target {
    /// A model engine.
    Engine(Arc<dyn Engine>),
    /// A plain service.
    Service(Arc<dyn PlainService>),
}

/// What every job needs.
#[derive(Clone)]
pub struct Runner {
    /// The target.
    pub target: Target,
    /// Its name.
    pub name: TargetId,
    /// To the `decide` thread.
    pub events: SyncSender<Event>,
    /// How busy the target is.
    pub load: watch::Receiver<Load>,
    /// The log.
    pub control: ControlHandle,
    /// Time.
    pub clock: SharedClock,
    /// Where measures go.
    pub metrics: Metrics,
    /// Claims that were given up while the log had not decided them.
    pub stalled: Arc<AtomicUsize>,
}

/// How a request is done with.
#[derives(data)]
pub enum Finish {
    /// It ended, after so many chunks.
    Ended(Ending, u64),
    /// It is not run; when to come back.
    Refused(RefusalReason, Duration),
}

impl Runner {
    /// Takes jobs for ever.
    pub async fn run(self, mut jobs: mpsc::UnboundedReceiver<Job>) {
        while let Some(job) = jobs.recv().await {
            tokio::spawn(self.clone().take(job));
        }
    }

    async fn take(self, job: Job) {
        match job {
            Job::Run(key, request) => self.run_request(key, *request).await,
            Job::Refuse(request, refused) => {
                request.end.send(&refused, b"").await;
            }
            Job::Load { weights, memory, fence } => {
                self.order(CommandAction::Load, weights, memory, fence).await;
            }
            Job::Unload { weights, memory, fence } => {
                self.order(CommandAction::Unload, weights, memory, fence).await;
            }
            Job::Ask { version } => self.ask(version).await,
        }
    }

    async fn order(&self, action: CommandAction, weights: Weights, memory: Mib, fence: u64) {
        let Target::Engine(engine) = &self.target else { return };
        let order = EngineCommand { action, weights: weights.clone(), memory_mib: memory.0, fence };
        let began = self.clock.now();
        let answer = engine.execute(&order).await;
        if let Err(error) = &answer {
            tracing::warn!(%weights, ?action, %error, "order not confirmed");
        }
        let outcome = match answer {
            Ok(()) => Some(true),
            // An error of the engine's own says nothing of how far the order came.
            Err(EdgeError::Status { status, .. }) if status < 500 => Some(false),
            Err(error) if error.never_sent() => Some(false),
            Err(_) => None,
        };
        let told = match outcome {
            Some(true) => "done",
            Some(false) => "failed",
            None => "unknown",
        };
        let metric = match action {
            CommandAction::Load => Metric::AgentLoads,
            CommandAction::Unload => Metric::AgentUnloads,
        };
        self.metrics.count_tagged(metric, 1, "outcome", told);
        if action == CommandAction::Load {
            self.metrics.time(Metric::AgentLoadTime, self.clock.now() - began);
        }
        self.tell(match action {
            CommandAction::Load => Event::Loaded(weights, outcome),
            CommandAction::Unload => Event::Unloaded(weights, outcome == Some(true)),
        });
    }

    async fn ask(&self, version: u64) {
        let Target::Engine(engine) = &self.target else { return };
        let loaded = engine.loaded().await;
        if let Err(error) = &loaded {
            tracing::warn!(%error, "engine not asked what is loaded");
        }
        let loaded = loaded.ok().map(|loaded| {
            loaded.into_iter().map(|l| (l.weights, Mib(l.memory_mib), l.ready)).collect()
        });
        self.tell(Event::Asked { version, loaded });
    }

    /// The ring is bounded and its reader never waits for this thread, so this ends soon.
    fn tell(&self, event: Event) {
        drop(self.events.send(event));
    }

    async fn run_request(&self, key: RequestKey, request: Request) {
        let began = self.clock.now();
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
        let took = self.clock.now() - began;
        self.metrics.time(Metric::AgentRun, took);
        if let Finish::Ended(_, position) = &finish {
            self.metrics.count(Metric::AgentTokens, *position);
        }
        tracing::info!(
            trace_id = %format_args!("{:032x}", trace.trace),
            span_id = %format_args!("{:016x}", trace.span),
            parent_id = %format_args!("{:016x}", trace.parent),
            request = %request.open.request,
            took_us = took.as_micros() as u64,
            finish = ?finish,
            "hop agent"
        );
        self.tell(Event::Ended { key });
        let (stream, load) = (request.end.stream, self.load.borrow().clone());
        let message = match finish {
            Finish::Ended(ending, position) => ToRouter::End { stream, position, ending, load },
            Finish::Refused(reason, retry_after) => {
                let retry_after_ms = retry_after.as_millis() as u64;
                ToRouter::Refused { stream, reason, retry_after_ms, load }
            }
        };
        request.end.send(&message, b"").await;
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
        let Some(generate) = generate_of(request, trace) else {
            return (failed("the request names no model"), position);
        };
        let id = generate.request.clone();
        let begun = tokio::select! {
            begun = engine.generate(generate) => Some(begun),
            () = closed(request.end.credit.clone()) => None,
        };
        let pumped = match begun {
            Some(Ok(stream)) => pump(stream, &request.end, &mut position).await,
            Some(Err(error)) => Pumped::Ended(failed(&error.to_string())),
            None => Pumped::Left,
        };
        let ending = match pumped {
            Pumped::Ended(ending) => return (ending, position),
            Pumped::Left => failed("the caller left"),
            Pumped::Stalled => failed("the engine made no progress"),
        };
        // Nobody waits for this generation any more: the engine's work and memory are given
        // back at once.
        if let Err(error) = engine.cancel(&id).await {
            tracing::warn!(request = %id, %error, "cancel not confirmed");
        }
        (ending, position)
    }
}

/// An ending that is not whole.
pub fn failed(reason: &str) -> Ending {
    Ending::Failed { reason: reason.into() }
}

fn generate_of(
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
        request: engine_id(&request.open.request),
        priority: request.open.urgency,
        position: request.open.position,
        traceparent: trace.header(),
    })
}

/// An identity for the engine, never given twice.
///
/// A request that is taken up again can meet its own first generation on the same engine; under
/// one identity, cancelling the first would cancel the second.
fn engine_id(request: &str) -> SmolStr {
    format_smolstr!("{request}-{:016x}", rand::random::<u64>())
}

/// Longest pause before an engine's first part: a long prompt is read first.
const FIRST_STALL: Duration = Duration::from_secs(60);
/// Longest pause between two parts of an engine's answer: hundreds of times the usual one.
const STALL: Duration = Duration::from_secs(10);

/// How an engine's answer ended.
enum Pumped {
    /// As the engine said, or with its connection.
    Ended(Ending),
    /// The caller has left.
    Left,
    /// Nothing came for too long, though the connection stands.
    Stalled,
}

/// Passes an engine's answer on as far as credit allows.
///
/// A device between agent and engine may lose track of their connection. It stays open then and
/// nothing comes, which a caller would see as a sentence that stops. Slow is not silent: each
/// part starts the time anew.
async fn pump(mut stream: EngineStream, end: &StreamEnd, position: &mut u64) -> Pumped {
    let mut credit = end.credit.clone();
    let mut patience = FIRST_STALL;
    loop {
        let event = tokio::select! {
            event = time::timeout(patience, stream.next()) => event,
            () = closed(credit.clone()) => return Pumped::Left,
        };
        patience = STALL;
        match event {
            Err(_) => return Pumped::Stalled,
            Ok(Some(Ok(EngineEvent::Text(text)))) => {
                if credit.wait_for(|upto| *position < *upto).await.is_err() {
                    return Pumped::Left;
                }
                let chunk = ToRouter::Chunk { stream: end.stream, position: *position };
                if !end.send(&chunk, text.as_bytes()).await {
                    return Pumped::Left;
                }
                *position += 1;
            }
            Ok(Some(Ok(EngineEvent::Finished { reason, prompt_tokens, completion_tokens }))) => {
                let finish_reason = reason.into();
                let whole = Ending::Whole { prompt_tokens, completion_tokens, finish_reason };
                return Pumped::Ended(whole);
            }
            Ok(Some(Err(error))) => return Pumped::Ended(failed(&error.to_string())),
            // A connection that just closes is not an end: without the engine's own mark the
            // answer would look whole to the caller and be cut.
            Ok(None) => return Pumped::Ended(failed("the engine broke off: ask again")),
        }
    }
}

async fn closed(mut credit: watch::Receiver<u64>) {
    while credit.changed().await.is_ok() {}
}
