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
    pub name: WriterId,
    pub peer_client: reqwest::Client,
    pub events: SyncSender<Event>,
    pub control: ControlHandle,
    /// Recent records, for processes that follow this router.
    pub tail: RecordTail,
    pub hasher: Hasher,
    pub operator_key_hash: SmolStr,
    pub metrics: Metrics,
    pub connections: Arc<Connections>,
    pub max_header_bytes: usize,
    pub peers: Vec<SmolStr>,
    pub max_body_bytes: usize,
    pub read_timeout: Duration,
    pub max_in_flight: usize,
    pub in_flight: Arc<AtomicUsize>,
    pub draining: Arc<AtomicBool>,
    /// Detects requests that may predate a pause of this process.
    pub watched: Arc<WatchedConnections>,
    pub clock: SharedClock,
}

/// An authenticated request.
pub struct CallerRequest {
    pub id: SmolStr,
    pub team: WorkspaceId,
    /// The snapshot at its arrival.
    pub snapshot: Arc<Snapshot>,
    pub trace: TraceContext,
    pub clock: SharedClock,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Completion,
    Chat,
    Models,
    Service,
    Operator(operator::Kind),
    Relay,
    Healthy,
    Ready,
    OtherMethod(&'static str),
    NoSuchPath,
}

struct Endpoint(Arc<HandlerContext>, Kind);

const GET: &str = "GET";
const POST: &str = "POST";

const PATHS: [(&str, &str, Kind); 14] = [
    ("v1/completions", POST, Kind::Completion),
    ("v1/chat/completions", POST, Kind::Chat),
    ("v1/models", GET, Kind::Models),
    ("operator/apply", POST, Kind::Operator(operator::Kind::Apply)),
    ("operator/get", GET, Kind::Operator(operator::Kind::Get)),
    ("operator/status", GET, Kind::Operator(operator::Kind::Status)),
    ("internal/read", GET, Kind::Relay),
    ("operator/version", GET, Kind::Operator(operator::Kind::Version)),
    ("operator/state", GET, Kind::Operator(operator::Kind::State)),
    ("operator/ticket", GET, Kind::Operator(operator::Kind::Ticket)),
    ("operator/spread", GET, Kind::Operator(operator::Kind::Spread)),
    ("operator/history", GET, Kind::Operator(operator::Kind::History)),
    ("healthz", GET, Kind::Healthy),
    ("readyz", GET, Kind::Ready),
];

/// Builds the routes; unknown paths and methods are answered with a [`Problem`].
pub fn routes(context: &Arc<HandlerContext>) -> Router {
    let endpoint = |kind| Endpoint(context.clone(), kind);
    let services = Router::with_path("services/{service}/{**rest}").goal(endpoint(Kind::Service));
    let routes = PATHS.into_iter().fold(Router::new().push(services), |routes, path| {
        let (path, method, kind) = path;
        let route = Router::with_path(path);
        let route =
            if method == GET { route.get(endpoint(kind)) } else { route.post(endpoint(kind)) };
        let other_methods = Router::with_path(path).goal(endpoint(Kind::OtherMethod(method)));
        routes.push(route).push(other_methods)
    });
    routes.push(Router::with_path("{**rest}").goal(endpoint(Kind::NoSuchPath)))
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
        if context.draining.load(Ordering::Relaxed) {
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

/// Returns the caller's own request id, used only in the log: engines cancel by request id, so a
/// caller that chose it could cancel another's request.
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
        kind: Kind,
        request: SmolStr,
        req: &mut Request,
        res: &mut Response,
    ) -> Result<(), Problem> {
        self.check_head(req)?;
        match kind {
            Kind::OtherMethod(allowed) => Err(Problem::MethodNotAllowed(allowed)),
            Kind::NoSuchPath => Err(Problem::NoSuchPath),
            Kind::Healthy => {
                drop(res.write_body("ok\n"));
                Ok(())
            }
            Kind::Ready => {
                self.ready(&self.control.current.load())?;
                drop(res.write_body("ready\n"));
                Ok(())
            }
            Kind::Relay => {
                self.check_peer(req)?;
                relay::answer(&self.tail, req, res).await;
                Ok(())
            }
            Kind::Operator(kind) => {
                match kind {
                    operator::Kind::State => self.check_peer(req)?,
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
        kind: Kind,
        request: SmolStr,
        req: &mut Request,
        res: &mut Response,
    ) -> Result<(), Problem> {
        let started_at = self.clock.now();
        self.metrics.count(Metric::RouterRequests, 1);
        let caller_request = self.admit(request, req)?;
        let result = match kind {
            Kind::Chat => completions::complete(self, &caller_request, true, req, res).await,
            Kind::Models => {
                completions::models(
                    &caller_request.team,
                    caller_request.team_view()?,
                    &caller_request.snapshot.view,
                    res,
                );
                Ok(())
            }
            Kind::Service => services::call(self, &caller_request, req, res).await,
            _ => completions::complete(self, &caller_request, false, req, res).await,
        };
        let elapsed = self.clock.now() - started_at;
        self.metrics.time(Metric::RouterTime, elapsed);
        if matches!(kind, Kind::Service) {
            let outcome = result.as_ref().map_or_else(Problem::outcome, |()| "ran");
            self.metrics.count_tagged(Metric::RouterCalls, 1, "outcome", outcome);
        }
        tracing::info!(
            trace_id = %format_args!("{:032x}", caller_request.trace.trace),
            span_id = %format_args!("{:016x}", caller_request.trace.span),
            parent_id = %format_args!("{:016x}", caller_request.trace.parent),
            request = %caller_request.id,
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
        Ok(CallerRequest { id: request, team, snapshot, trace, clock: self.clock.clone() })
    }

    /// Readiness for load balancers; requests are still served during a shutdown.
    fn ready(&self, snapshot: &Snapshot) -> Result<(), Problem> {
        if self.draining.load(Ordering::Relaxed) {
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

    /// Returns the requested urgency, or `default`.
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
            request: self.id.clone(),
            team: self.team.clone(),
            operation,
            urgency,
            deadline_ms: budget.as_millis() as u64,
            position: 0,
            window: 0,
            traceparent: self.trace.header(),
            as_of: 0,
            expires_ms: 0,
        };
        (spec, open)
    }
}
