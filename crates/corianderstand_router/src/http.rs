//! HTTP endpoints for callers and operators, served by the `http` thread.

use crate::{
    auth::Hasher,
    completions,
    connections::Connections,
    event::Event,
    operator,
    problem::{self, Problem},
    relay, services,
    watched::WatchedConnections,
};
use bytes::Bytes;
use corianderstand_control::{
    metrics::{Metric, Metrics},
    relay::RecordTail,
    snapshot::Snapshot,
    start::ControlHandle,
};
use corianderstand_decide::request::{RequestShape, RequestSpec, Requirement};
use corianderstand_link::trace::TraceContext;
use corianderstand_schema::{
    messages::{OpenStream, Operation, RefusalReason},
    settings::Urgency,
};
use corianderstand_state::view::TeamView;
use corianderstand_types::{
    clock::SharedClock,
    names::{self, WorkspaceId, WriterId},
};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, http::ParseError};
use smol_str::{SmolStr, format_smolstr};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc::SyncSender,
    },
    time::Duration,
};
use tokio::time;

/// Request header for the deadline, in milliseconds from now.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Request header for the urgency: `low`, `normal` or `urgent`.
pub const URGENCY_HEADER: &str = "x-urgency";
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);

pub struct HandlerContext {
    pub router_name: WriterId,
    pub peer_client: reqwest::Client,
    pub events: SyncSender<Event>,
    pub control: ControlHandle,
    /// Recent log records, served to processes that read the log from this router.
    pub log_tail: RecordTail,
    pub hasher: Hasher,
    pub operator_key_hash: SmolStr,
    pub metrics: Metrics,
    pub connections: Arc<Connections>,
    pub max_header_bytes: usize,
    pub peer_addresses: Vec<SmolStr>,
    pub max_body_bytes: usize,
    pub read_timeout: Duration,
    pub max_in_flight: usize,
    pub in_flight: Arc<AtomicUsize>,
    pub is_draining: Arc<AtomicBool>,
    pub watched_connections: Arc<WatchedConnections>,
    pub clock: SharedClock,
}

/// An authenticated request.
pub struct CallerRequest {
    pub request_id: SmolStr,
    pub team: WorkspaceId,
    pub snapshot: Arc<Snapshot>,
    pub trace_context: TraceContext,
    pub clock: SharedClock,
}

#[derive(Clone, Copy, Debug)]
enum EndpointKind {
    Completion,
    Chat,
    Models,
    Service,
    Operator(operator::Endpoint),
    Relay,
    Healthy,
    Ready,
    OtherMethod(&'static str),
    NoSuchPath,
}

struct Endpoint(Arc<HandlerContext>, EndpointKind);

const GET: &str = "GET";
const POST: &str = "POST";

const PATHS: [(&str, &str, EndpointKind); 14] = [
    ("v1/completions", POST, EndpointKind::Completion),
    ("v1/chat/completions", POST, EndpointKind::Chat),
    ("v1/models", GET, EndpointKind::Models),
    ("operator/apply", POST, EndpointKind::Operator(operator::Endpoint::Apply)),
    ("operator/get", GET, EndpointKind::Operator(operator::Endpoint::Get)),
    ("operator/status", GET, EndpointKind::Operator(operator::Endpoint::Status)),
    ("internal/read", GET, EndpointKind::Relay),
    ("operator/version", GET, EndpointKind::Operator(operator::Endpoint::Version)),
    ("operator/state", GET, EndpointKind::Operator(operator::Endpoint::State)),
    ("operator/ticket", GET, EndpointKind::Operator(operator::Endpoint::Ticket)),
    ("operator/spread", GET, EndpointKind::Operator(operator::Endpoint::Spread)),
    ("operator/history", GET, EndpointKind::Operator(operator::Endpoint::History)),
    ("healthz", GET, EndpointKind::Healthy),
    ("readyz", GET, EndpointKind::Ready),
];

/// Builds the routes; unknown paths and methods are answered with a [`Problem`].
pub fn routes(context: &Arc<HandlerContext>) -> Router {
    let endpoint = |kind| Endpoint(context.clone(), kind);
    let services =
        Router::with_path("services/{service}/{**rest}").goal(endpoint(EndpointKind::Service));
    let routes = PATHS.into_iter().fold(Router::new().push(services), |routes, path| {
        let (path, method, kind) = path;
        let route = Router::with_path(path);
        let route =
            if method == GET { route.get(endpoint(kind)) } else { route.post(endpoint(kind)) };
        let other_methods =
            Router::with_path(path).goal(endpoint(EndpointKind::OtherMethod(method)));
        routes.push(route).push(other_methods)
    });
    routes.push(Router::with_path("{**rest}").goal(endpoint(EndpointKind::NoSuchPath)))
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Self(context, kind) = self;
        let request = format_smolstr!("r-{:032x}", rand::random::<u128>());
        problem::set_header(res, problem::REQUEST_ID_HEADER, &request);
        if context.is_draining.load(Ordering::Relaxed) {
            // Makes the caller reconnect to another router.
            problem::set_header(res, "connection", "close");
        }
        if let Err(problem) = context.answer(*kind, request.clone(), req, res).await {
            tracing::info!(%request, code = problem.code(), "request not answered");
            context.metrics.count_tagged(Metric::RouterRefusals, 1, "reason", problem.code());
            problem.write(&request, res);
        }
    }
}

/// Returns the caller's own request id. It is only logged: engines cancel requests by id, so a
/// caller that chose its own could cancel another's request.
fn caller_id(req: &Request) -> Result<Option<&str>, Problem> {
    let Some(id) = header(req, problem::REQUEST_ID_HEADER) else { return Ok(None) };
    names::check(id).map_err(|error| {
        Problem::Invalid(format!("`{}` is invalid: {error}", problem::REQUEST_ID_HEADER))
    })?;
    Ok(Some(id))
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|value| value.to_str().ok())
}

pub fn bearer(req: &Request) -> Result<&str, Problem> {
    let value = header(req, "authorization").ok_or(Problem::Unauthorized)?;
    value.strip_prefix("Bearer ").map(str::trim).ok_or(Problem::Unauthorized)
}

impl HandlerContext {
    async fn answer(
        &self,
        kind: EndpointKind,
        request: SmolStr,
        req: &mut Request,
        res: &mut Response,
    ) -> Result<(), Problem> {
        self.check_head(req)?;
        match kind {
            EndpointKind::OtherMethod(allowed) => Err(Problem::MethodNotAllowed(allowed)),
            EndpointKind::NoSuchPath => Err(Problem::NoSuchPath),
            EndpointKind::Healthy => {
                drop(res.write_body("ok\n"));
                Ok(())
            }
            EndpointKind::Ready => {
                self.check_ready(&self.control.current.load())?;
                drop(res.write_body("ready\n"));
                Ok(())
            }
            EndpointKind::Relay => {
                self.check_peer(req)?;
                relay::answer(&self.log_tail, req, res).await;
                Ok(())
            }
            EndpointKind::Operator(kind) => {
                match kind {
                    operator::Endpoint::State => self.check_peer(req)?,
                    _ => self.check_operator(req)?,
                }
                operator::answer(self, kind, req, res).await
            }
            _ => self.answer_caller(kind, request, req, res).await,
        }
    }

    fn check_head(&self, req: &Request) -> Result<(), Problem> {
        if self.connections.is_excess(req.remote_addr().clone().into_std()) {
            return Err(Problem::TooManyConnections);
        }
        let headers = req.headers().iter().map(|(name, value)| name.as_str().len() + value.len());
        if headers.sum::<usize>() + req.uri().path().len() > self.max_header_bytes {
            return Err(Problem::HeadTooLong(self.max_header_bytes));
        }
        caller_id(req).map(drop)
    }

    async fn answer_caller(
        &self,
        kind: EndpointKind,
        request: SmolStr,
        req: &mut Request,
        res: &mut Response,
    ) -> Result<(), Problem> {
        let started_at = self.clock.now();
        self.metrics.count(Metric::RouterRequests, 1);
        let caller_request = self.admit(request, req)?;
        let result = match kind {
            EndpointKind::Chat => {
                completions::complete(self, &caller_request, true, req, res).await
            }
            EndpointKind::Models => {
                completions::models(
                    &caller_request.team,
                    caller_request.team_view()?,
                    &caller_request.snapshot.view,
                    res,
                );
                Ok(())
            }
            EndpointKind::Service => services::call(self, &caller_request, req, res).await,
            _ => completions::complete(self, &caller_request, false, req, res).await,
        };
        let elapsed = self.clock.now() - started_at;
        self.metrics.time(Metric::RouterTime, elapsed);
        if matches!(kind, EndpointKind::Service) {
            let outcome = result.as_ref().map_or_else(Problem::outcome, |()| "ran");
            self.metrics.count_tagged(Metric::RouterCalls, 1, "outcome", outcome);
        }
        tracing::info!(
            trace_id = %format_args!("{:032x}", caller_request.trace_context.trace),
            span_id = %format_args!("{:016x}", caller_request.trace_context.span),
            parent_id = %format_args!("{:016x}", caller_request.trace_context.parent),
            request = %caller_request.request_id,
            caller_request = caller_id(req).ok().flatten(),
            team = %caller_request.team,
            took_us = elapsed.as_micros() as u64,
            outcome = result.as_ref().map_or_else(Problem::code, |()| "answered"),
            "hop router"
        );
        result
    }

    fn admit(&self, request: SmolStr, req: &Request) -> Result<CallerRequest, Problem> {
        let snapshot = self.control.current.load();
        Self::check_started(&snapshot)?;
        let team = self.hasher.team(&snapshot.view, bearer(req)?);
        let team = team.ok_or(Problem::Unauthorized)?;
        if self.in_flight.load(Ordering::Relaxed) >= self.max_in_flight {
            return Err(Problem::Refused(RefusalReason::QueueFull, IN_FLIGHT_RETRY_AFTER));
        }
        let trace = TraceContext::continue_from(header(req, "traceparent"));
        Ok(CallerRequest {
            request_id: request,
            team,
            snapshot,
            trace_context: trace,
            clock: self.clock.clone(),
        })
    }

    /// Fails if load balancers should send no requests here.
    fn check_ready(&self, snapshot: &Snapshot) -> Result<(), Problem> {
        if self.is_draining.load(Ordering::Relaxed) {
            return Err(Problem::NotReady("it is shutting down"));
        }
        Self::check_started(snapshot)
    }

    const fn check_started(snapshot: &Snapshot) -> Result<(), Problem> {
        if !snapshot.caught_up {
            return Err(Problem::NotReady(snapshot.waiting.reason()));
        }
        Ok(())
    }

    fn check_peer(&self, req: &Request) -> Result<(), Problem> {
        let token = self.hasher.hash(operator::PEER_TOKEN_LABEL);
        if bearer(req)? == token { Ok(()) } else { Err(Problem::Forbidden) }
    }

    fn check_operator(&self, req: &Request) -> Result<(), Problem> {
        let hash = self.hasher.hash(bearer(req)?);
        if hash == self.operator_key_hash { Ok(()) } else { Err(Problem::Forbidden) }
    }

    /// Reads a request's body within its limits of size and time.
    pub async fn read_body(&self, req: &mut Request, max_bytes: usize) -> Result<Bytes, Problem> {
        let declared = header(req, "content-length").and_then(|v| v.parse::<usize>().ok());
        if declared.is_some_and(|length| length > max_bytes) {
            return Err(Problem::BodyTooLong(max_bytes));
        }
        let result = time::timeout(self.read_timeout, req.payload_with_max_size(max_bytes)).await;
        match result {
            Err(_) => Err(Problem::BodyTimeout(self.read_timeout.as_millis())),
            Ok(Err(ParseError::PayloadTooLarge)) => Err(Problem::BodyTooLong(max_bytes)),
            Ok(Err(error)) => {
                Err(Problem::Invalid(format!("failed to read the body ({error}): send it again")))
            }
            Ok(Ok(body)) => Ok(body.clone()),
        }
    }
}

impl CallerRequest {
    /// Returns the permissions of the caller's workspace, if it still exists.
    pub fn team_view(&self) -> Result<&TeamView, Problem> {
        self.snapshot.view.teams.get(&self.team).ok_or(Problem::Unauthorized)
    }

    pub fn urgency(&self, req: &Request, default: Urgency) -> Result<u8, Problem> {
        let urgency = match header(req, URGENCY_HEADER) {
            None => default,
            Some(text) => text.parse().map_err(|_| {
                Problem::Invalid(format!("`{URGENCY_HEADER}` must be low, normal or urgent"))
            })?,
        };
        Ok(match urgency {
            Urgency::Low => 0,
            Urgency::Normal => 1,
            Urgency::Urgent => 2,
        })
    }

    /// Returns the time until the requested deadline, or `default`; at most `limit`.
    pub fn deadline(
        &self,
        req: &Request,
        default: Duration,
        limit: Duration,
    ) -> Result<Duration, Problem> {
        let Some(text) = header(req, DEADLINE_HEADER) else { return Ok(default.min(limit)) };
        let ms: u64 = text.parse().map_err(|_| {
            Problem::Invalid(format!("`{DEADLINE_HEADER}` must be a whole number of milliseconds"))
        })?;
        Ok(Duration::from_millis(ms).min(limit))
    }

    /// Builds the request's spec for the `decide` thread and its header for the agent.
    pub fn open_stream(
        &self,
        requirement: Requirement,
        operation: Operation,
        urgency: u8,
        budget: Duration,
        repeatable: bool,
    ) -> (RequestSpec, OpenStream) {
        let deadline = self.clock.now() + budget;
        let shape = RequestShape::default();
        let spec = RequestSpec {
            team: self.team.clone(),
            requirement,
            urgency,
            deadline,
            repeatable,
            shape,
        };
        let open = OpenStream {
            stream: 0,
            request: self.request_id.clone(),
            team: self.team.clone(),
            operation,
            urgency,
            deadline_ms: budget.as_millis() as u64,
            position: 0,
            window: 0,
            traceparent: self.trace_context.header(),
            as_of: 0,
            expires_ms: 0,
        };
        (spec, open)
    }
}
