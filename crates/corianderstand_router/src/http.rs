//! The `http` thread: what callers and operators speak to.

use crate::{
    arrivals::Arrivals,
    auth::Hasher,
    completions,
    connections::Connections,
    event::Event,
    operator,
    problem::{self, Problem},
    relay, services,
};
use bytes::Bytes;
use corianderstand_control::{
    metrics::{Metric, Metrics},
    relay::Tail,
    snapshot::Snapshot,
    start::ControlHandle,
};
use corianderstand_decide::request::{RequestSpec, Requirement, Shape};
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

/// Header with the deadline, in milliseconds from now.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the urgency: `low`, `normal` or `urgent`.
pub const URGENCY_HEADER: &str = "x-urgency";
/// When to come back if this router holds as many requests as it may.
const RETRY_FULL: Duration = Duration::from_secs(1);

/// What the handlers share.
pub struct Door {
    /// Name of this router.
    pub name: WriterId,
    /// Asks other routers.
    pub peer_client: reqwest::Client,
    /// To the `decide` thread.
    pub events: SyncSender<Event>,
    /// The log.
    pub control: ControlHandle,
    /// Records for processes that follow this router.
    pub tail: Tail,
    /// Hashes bearer keys.
    pub hasher: Hasher,
    /// Hash of the operators' key.
    pub operator_key_hash: SmolStr,
    /// Where measures go.
    pub metrics: Metrics,
    /// Connections held now.
    pub connections: Arc<Connections>,
    /// Longest head, in bytes.
    pub max_header_bytes: usize,
    /// Other routers.
    pub peers: Vec<SmolStr>,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time a body may take to come.
    pub read_timeout: Duration,
    /// Most requests held.
    pub max_in_flight: usize,
    /// Requests held now.
    pub held: Arc<AtomicUsize>,
    /// Whether a planned stop has begun.
    pub draining: Arc<AtomicBool>,
    /// Callers' connections, and the pauses of this process.
    pub arrivals: Arc<Arrivals>,
    /// Time.
    pub clock: SharedClock,
}

/// One request with its caller's team.
pub struct Asked {
    /// The request's identity.
    pub request: SmolStr,
    /// The caller's team.
    pub team: WorkspaceId,
    /// The state it is judged by.
    pub snapshot: Arc<Snapshot>,
    /// The trace that this hop belongs to.
    pub trace: TraceContext,
    /// Time.
    pub clock: SharedClock,
}

/// What a path is for.
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

struct Endpoint(Arc<Door>, Kind);

const GET: &str = "GET";
const POST: &str = "POST";

/// All paths with a method.
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

/// All paths; what is none of them is answered in the same form.
pub fn routes(door: &Arc<Door>) -> Router {
    let at = |kind| Endpoint(door.clone(), kind);
    let services = Router::with_path("services/{service}/{**rest}").goal(at(Kind::Service));
    let known = PATHS.into_iter().fold(Router::new().push(services), |routes, path| {
        let (path, method, kind) = path;
        let own = Router::with_path(path);
        let own = if method == GET { own.get(at(kind)) } else { own.post(at(kind)) };
        let other = Router::with_path(path).goal(at(Kind::OtherMethod(method)));
        routes.push(own).push(other)
    });
    known.push(Router::with_path("{**rest}").goal(at(Kind::NoSuchPath)))
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
        let Self(door, kind) = self;
        let request = format_smolstr!("r-{:032x}", rand::random::<u128>());
        problem::set_header(res, problem::REQUEST_ID_HEADER, &request);
        if door.draining.load(Ordering::Relaxed) {
            // A connection kept alive would bring further requests here until it is closed under
            // one of them; told so, its caller opens the next one at another router.
            problem::set_header(res, "connection", "close");
        }
        if let Err(problem) = door.answer(*kind, request.clone(), req, res).await {
            tracing::info!(%request, code = problem.code(), "request not answered");
            door.metrics.count_tagged(Metric::RouterRefusals, 1, "reason", problem.code());
            problem.write(&request, res);
        }
    }
}

/// The caller's own id, for the log only.
///
/// A request's identity is always made here. Engines cancel by it; if callers chose it, one who
/// picked another's, by chance or not, would end the other's answer by hanging up.
fn caller_id(req: &Request) -> Result<Option<&str>, Problem> {
    let Some(id) = header(req, problem::REQUEST_ID_HEADER) else { return Ok(None) };
    names::check(id).map_err(|error| {
        Problem::Invalid(format!("`{}` cannot be used: {error}", problem::REQUEST_ID_HEADER))
    })?;
    Ok(Some(id))
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|value| value.to_str().ok())
}

/// The caller's bearer key.
///
/// # Errors
///
/// [`Problem::Unauthorized`] without one.
pub fn bearer(req: &Request) -> Result<&str, Problem> {
    let value = header(req, "authorization").ok_or(Problem::Unauthorized)?;
    value.strip_prefix("Bearer ").map(str::trim).ok_or(Problem::Unauthorized)
}

impl Door {
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

    /// Checks what every request has to keep to, before anything is done for it.
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
        let began = self.clock.now();
        self.metrics.count(Metric::RouterRequests, 1);
        let asked = self.ask(request, req)?;
        let done = match kind {
            Kind::Chat => completions::complete(self, &asked, true, req, res).await,
            Kind::Models => {
                completions::models(&asked.team, asked.team_view()?, &asked.snapshot.view, res);
                Ok(())
            }
            Kind::Service => services::call(self, &asked, req, res).await,
            _ => completions::complete(self, &asked, false, req, res).await,
        };
        let took = self.clock.now() - began;
        self.metrics.time(Metric::RouterTime, took);
        if matches!(kind, Kind::Service) {
            let outcome = done.as_ref().map_or_else(Problem::outcome, |()| "ran");
            self.metrics.count_tagged(Metric::RouterCalls, 1, "outcome", outcome);
        }
        tracing::info!(
            trace_id = %format_args!("{:032x}", asked.trace.trace),
            span_id = %format_args!("{:016x}", asked.trace.span),
            parent_id = %format_args!("{:016x}", asked.trace.parent),
            request = %asked.request,
            caller_request = caller_id(req).ok().flatten(),
            team = %asked.team,
            took_us = took.as_micros() as u64,
            outcome = done.as_ref().map_or_else(Problem::code, |()| "answered"),
            "hop router"
        );
        done
    }

    fn ask(&self, request: SmolStr, req: &Request) -> Result<Asked, Problem> {
        let snapshot = self.control.current.load();
        Self::check_started(&snapshot)?;
        let team = self.hasher.team(&snapshot.view, bearer(req)?);
        let team = team.ok_or(Problem::Unauthorized)?;
        if self.held.load(Ordering::Relaxed) >= self.max_in_flight {
            return Err(Problem::Refused(RefusalReason::QueueFull, RETRY_FULL));
        }
        let trace = TraceContext::continue_from(header(req, "traceparent"));
        Ok(Asked { request, team, snapshot, trace, clock: self.clock.clone() })
    }

    /// Whether new callers should come here. During a planned stop they should not, but those
    /// who come before the balancer has seen it are served.
    fn ready(&self, snapshot: &Snapshot) -> Result<(), Problem> {
        if self.draining.load(Ordering::Relaxed) {
            return Err(Problem::NotReady("it is stopping"));
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

    /// Reads a request's body.
    ///
    /// # Errors
    ///
    /// A body that is too long or takes too long ends the request.
    pub async fn read_body(&self, req: &mut Request, longest: usize) -> Result<Bytes, Problem> {
        let declared = header(req, "content-length").and_then(|v| v.parse::<usize>().ok());
        if declared.is_some_and(|length| length > longest) {
            return Err(Problem::BodyTooLong(longest));
        }
        let read = time::timeout(self.read_timeout, req.payload_with_max_size(longest)).await;
        match read {
            Err(_) => Err(Problem::BodyTimeout(self.read_timeout.as_millis())),
            Ok(Err(ParseError::PayloadTooLarge)) => Err(Problem::BodyTooLong(longest)),
            Ok(Err(error)) => {
                Err(Problem::Invalid(format!("the body cannot be read ({error}): send it again")))
            }
            Ok(Ok(body)) => Ok(body.clone()),
        }
    }
}

impl Asked {
    /// What the caller's team may do.
    ///
    /// # Errors
    ///
    /// [`Problem::Unauthorized`] if the team is gone.
    pub fn team_view(&self) -> Result<&TeamView, Problem> {
        self.snapshot.view.teams.get(&self.team).ok_or(Problem::Unauthorized)
    }

    /// The urgency asked for, or the default.
    ///
    /// # Errors
    ///
    /// [`Problem::Invalid`] for an unknown one.
    pub fn urgency(&self, req: &Request, default: Urgency) -> Result<u8, Problem> {
        let urgency = match header(req, URGENCY_HEADER) {
            None => default,
            Some(text) => text.parse().map_err(|_| {
                Problem::Invalid(format!("`{URGENCY_HEADER}` is low, normal or urgent"))
            })?,
        };
        Ok(match urgency {
            Urgency::Low => 0,
            Urgency::Normal => 1,
            Urgency::Urgent => 2,
        })
    }

    /// The time until the deadline asked for, or the default; at most `limit`.
    ///
    /// # Errors
    ///
    /// [`Problem::Invalid`] for a deadline that is no number.
    pub fn deadline(
        &self,
        req: &Request,
        default: Duration,
        limit: Duration,
    ) -> Result<Duration, Problem> {
        let Some(text) = header(req, DEADLINE_HEADER) else { return Ok(default.min(limit)) };
        let ms: u64 = text.parse().map_err(|_| {
            Problem::Invalid(format!("`{DEADLINE_HEADER}` is a whole number of milliseconds"))
        })?;
        Ok(Duration::from_millis(ms).min(limit))
    }

    /// What the decisions and the agent need to know.
    pub fn open(
        &self,
        need: Requirement,
        operation: Operation,
        urgency: u8,
        budget: Duration,
        repeatable: bool,
    ) -> (RequestSpec, OpenStream) {
        let deadline = self.clock.now() + budget;
        let shape = Shape::default();
        let work = RequestSpec {
            team: self.team.clone(),
            requirement: need,
            urgency,
            deadline,
            repeatable,
            shape,
        };
        let open = OpenStream {
            stream: 0,
            request: self.request.clone(),
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
        (work, open)
    }
}
