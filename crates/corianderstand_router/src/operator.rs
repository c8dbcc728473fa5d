//! The operator API: applies and reads settings, and reports the status of the fleet.

use crate::{
    http::{self, HandlerContext},
    problem::{self, Problem},
    status,
};
use corianderstand_control::{appender::AppendError, snapshot::Snapshot};
use corianderstand_derives::derives;
use corianderstand_edge::http::HttpSystem;
use corianderstand_schema::records::{Body, Change};
use corianderstand_state::{
    checkpoint,
    fold::{Outcome, Rejection},
    history::MAX_ENTRIES,
    view,
};
use corianderstand_types::clock::{self, SharedClock};
use salvo::{Request, Response};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use std::time::Duration;

#[derives(key)]
pub enum Endpoint {
    /// `POST /operator/apply`.
    Apply,
    /// `GET /operator/get?prefix=`.
    Get,
    /// `GET /operator/status`.
    Status,
    /// `GET /operator/version`.
    Version,
    /// `GET /operator/ticket?ticket=`.
    Ticket,
    /// `GET /operator/history?prefix=`.
    History,
    /// `GET /operator/spread?version=`.
    Spread,
    /// `GET /operator/state`, for other processes.
    State,
}

/// Body of `POST /operator/apply`.
#[derives(wire)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The changes, applied atomically.
    pub changes: Vec<ApplyChange>,
    pub author: SmolStr,
}

#[derives(wire)]
#[serde(deny_unknown_fields)]
pub struct ApplyChange {
    pub path: SmolStr,
    /// Version of the document that the change replaces; 0 for a new document.
    pub base: u64,
    /// New content; null removes the document.
    pub value: Option<Value>,
}

/// Label whose keyed hash authenticates a process to its peers.
pub const PEER_TOKEN_LABEL: &str = "peer";
/// Time limit for a change to be appended to the log, by the log's clock.
pub const EXPIRY_WINDOW: Duration = Duration::from_secs(8);
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than [`EXPIRY_WINDOW`], as the change is read back from the log.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);

pub async fn answer(
    context: &HandlerContext,
    kind: Endpoint,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Problem> {
    if kind == Endpoint::State {
        problem::set_header(res, "content-type", "application/octet-stream");
        drop(res.write_body(encode_checkpoint(context)?));
        return Ok(());
    }
    let text = |name: &str| req.query::<String>(name).unwrap_or_default();
    let value = match kind {
        Endpoint::Apply => apply(context, req).await?,
        Endpoint::Get => read_documents(context, &text("prefix")),
        Endpoint::Ticket => ticket_outcome(context, &text("ticket"))?,
        Endpoint::History => change_history(context, &text("prefix")),
        Endpoint::Spread => rollout_status(context, req).await?,
        Endpoint::Version => status::version_status(context),
        Endpoint::Status if text("own") == "true" => status::router_status(context),
        Endpoint::Status | Endpoint::State => {
            let authorization = req.headers().get("authorization");
            let authorization = authorization.and_then(|value| value.to_str().ok());
            status::fleet_status(context, authorization.unwrap_or_default()).await
        }
    };
    problem::set_header(res, "content-type", "application/json");
    drop(res.write_body(value.to_string()));
    Ok(())
}

async fn apply(context: &HandlerContext, req: &mut Request) -> Result<Value, Problem> {
    let body = context.read_body(req, context.max_body_bytes).await?;
    let request: ApplyRequest = serde_json::from_slice(&body)
        .map_err(|error| Problem::Invalid(format!("cannot parse the change: {error}")))?;
    let changes =
        request.changes.into_iter().map(validate_change).collect::<Result<Vec<_>, _>>()?;
    let snapshot = context.control.current.load();
    if !snapshot.log_up {
        return Err(Problem::LogDown("the log does not respond"));
    }
    let ticket = new_ticket(&snapshot, &context.clock);
    let (author, not_after_ms) = (request.author, not_after_ms(&ticket).unwrap_or_default());
    let body = Body::Settings { changes, author, ticket: ticket.clone(), not_after_ms };
    let appended = match context.control.appender.append(body, APPLY_TIMEOUT).await {
        Ok(appended) => appended,
        Err(AppendError::Full) => {
            return Err(Problem::LogDown("the append queue of the log is full"));
        }
        Err(AppendError::Undecided) => return Err(Problem::Undecided(ticket)),
    };
    match appended.outcome {
        Outcome::Applied => Ok(json!({ "version": appended.offset, "ticket": ticket })),
        Outcome::Rejected(rejection @ Rejection::Conflict { .. }) => {
            Err(Problem::Conflict(rejection.to_string()))
        }
        Outcome::Rejected(Rejection::Expired { .. }) => {
            Err(Problem::LogDown("the change reached the log too late"))
        }
        _ => Err(Problem::Undecided(ticket)),
    }
}

fn new_ticket(snapshot: &Snapshot, clock: &SharedClock) -> SmolStr {
    let now_ms = clock::unix_ms(clock.wall()).saturating_add_signed(snapshot.log_clock_ms);
    let not_after_ms = now_ms + EXPIRY_WINDOW.as_millis() as u64;
    format_smolstr!("{not_after_ms}-{:016x}", rand::random::<u64>())
}

fn not_after_ms(ticket: &str) -> Option<u64> {
    ticket.split_once('-')?.0.parse().ok()
}

/// Returns the outcome of a change. One that is not in the log is refused once the log has been
/// read past its expiry time, and unknown until then.
fn ticket_outcome(context: &HandlerContext, ticket: &str) -> Result<Value, Problem> {
    let malformed = || Problem::Invalid("`ticket` was not issued by a router".into());
    let not_after_ms = not_after_ms(ticket).ok_or_else(malformed)?;
    let snapshot = context.control.current.load();
    let history = &snapshot.state.history;
    if let Some(entry) = history.find(ticket) {
        return Ok(match &entry.refused {
            None => json!({ "outcome": "accepted", "version": entry.offset }),
            Some(reason) => json!({ "outcome": "refused", "reason": reason }),
        });
    }
    let window_ms = EXPIRY_WINDOW.as_millis() as u64;
    let evicted = history.entries.len() >= MAX_ENTRIES
        && history.entries.front().is_some_and(|first| first.at_ms + window_ms >= not_after_ms);
    Ok(if evicted {
        json!({ "outcome": "forgotten", "reason": "the change is too old: read the current settings" })
    } else if snapshot.read_to_ms > not_after_ms {
        json!({ "outcome": "refused", "reason": "the change did not reach the log in time: apply it again" })
    } else {
        json!({ "outcome": "unknown", "reason": "not known yet: query again in a few seconds" })
    })
}

fn change_history(context: &HandlerContext, prefix: &str) -> Value {
    let snapshot = context.control.current.load();
    let entries: Vec<Value> =
        snapshot.state.history.of_path(prefix).map(|entry| json!(entry)).collect();
    json!({ "entries": entries })
}

/// Returns how many routers apply at least the requested version of the settings.
async fn rollout_status(context: &HandlerContext, req: &Request) -> Result<Value, Problem> {
    let requested = req.query::<u64>("version").unwrap_or_default();
    let bearer = http::bearer(req)?;
    let queries = context.peer_addresses.iter().map(|peer| query_version(peer, bearer));
    let versions = futures::future::join_all(queries).await;
    let local = context.control.current.load().state.documents.version;
    let reported: Vec<u64> = versions.iter().flatten().copied().chain([local]).collect();
    let in_force = reported.iter().filter(|version| **version >= requested).count();
    let routers = context.peer_addresses.len() + 1;
    let unresponsive = routers - reported.len();
    Ok(json!({ "version": requested, "routers": routers, "in_force": in_force,
        "silent": unresponsive }))
}

async fn query_version(peer: &str, bearer: &str) -> Option<u64> {
    let system = HttpSystem::new("a peer router", &format!("http://{peer}"), PEER_TIMEOUT);
    let req = system.request(reqwest::Method::GET, "/operator/get?prefix=-").bearer_auth(bearer);
    let response: Value = system.json(req).await.ok()?;
    response["version"].as_u64()
}

/// Returns a checkpoint of the state, for a process that starts while the log is down.
fn encode_checkpoint(context: &HandlerContext) -> Result<Vec<u8>, Problem> {
    let snapshot = context.control.current.load();
    if !snapshot.caught_up {
        return Err(Problem::NotReady(snapshot.waiting.reason()));
    }
    Ok(checkpoint::encode(&snapshot.state))
}

/// Rejects a document that does not match its schema.
fn validate_change(change: ApplyChange) -> Result<Change, Problem> {
    let ApplyChange { path, base, value } = change;
    if let Some(value) = &value {
        let errors = view::check_document(&path, value);
        if !errors.is_empty() {
            let errors: Vec<String> = errors.iter().map(|f| format!("{path} {f}")).collect();
            return Err(Problem::Invalid(errors.join("; ")));
        }
    }
    let value = value.map(|value| value.to_string());
    Ok(Change { path, base, value })
}

fn read_documents(context: &HandlerContext, prefix: &str) -> Value {
    let snapshot = context.control.current.load();
    let documents = snapshot.state.documents.by_path.iter();
    let documents: Vec<Value> = documents
        .filter(|(path, _)| path.starts_with(prefix))
        .map(|(path, doc)| {
            let value: Value = serde_json::from_str(&doc.text).unwrap_or_default();
            json!({ "path": path, "version": doc.version, "author": doc.author, "value": value })
        })
        .collect();
    json!({ "version": snapshot.state.documents.version, "documents": documents })
}
