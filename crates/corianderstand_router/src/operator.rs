//! What operators ask: apply settings, read them, see what is in force.

use crate::{
    http::{self, Door},
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

/// What an operator's path is for.
#[derives(key)]
pub enum Kind {
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
    /// The changes, all or none.
    pub changes: Vec<ApplyChange>,
    /// Who asks.
    pub author: SmolStr,
}

/// One change.
#[derives(wire)]
#[serde(deny_unknown_fields)]
pub struct ApplyChange {
    /// Path of the document.
    pub path: SmolStr,
    /// Version it was made from; 0 where there was none.
    pub base: u64,
    /// The new document; null removes it.
    pub value: Option<Value>,
}

/// Word whose hash proves a process to its peers.
pub const PEER_TOKEN_LABEL: &str = "peer";
/// Log time for which a change may take force after it was asked for. Longer, and an operator
/// who was told "not known yet" would wait long for certainty; shorter, and a log that is merely
/// slow would refuse changes.
pub const EXPIRY_WINDOW: Duration = Duration::from_secs(8);
/// Time a peer has to say which version it has.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time the log has to decide a change: the window and a little for reading it back.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers an operator.
///
/// # Errors
///
/// Any [`Problem`].
pub async fn answer(
    context: &Door,
    kind: Kind,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Problem> {
    if kind == Kind::State {
        problem::set_header(res, "content-type", "application/octet-stream");
        drop(res.write_body(state(context)?));
        return Ok(());
    }
    let text = |name: &str| req.query::<String>(name).unwrap_or_default();
    let value = match kind {
        Kind::Apply => apply(context, req).await?,
        Kind::Get => get(context, &text("prefix")),
        Kind::Ticket => ticket(context, &text("ticket"))?,
        Kind::History => history(context, &text("prefix")),
        Kind::Spread => rollout(context, req).await?,
        Kind::Version => status::version(context),
        Kind::Status if text("own") == "true" => status::local(context),
        Kind::Status | Kind::State => {
            let authorization = req.headers().get("authorization");
            let authorization = authorization.and_then(|value| value.to_str().ok());
            status::fleet(context, authorization.unwrap_or_default()).await
        }
    };
    problem::set_header(res, "content-type", "application/json");
    drop(res.write_body(value.to_string()));
    Ok(())
}

async fn apply(context: &Door, req: &mut Request) -> Result<Value, Problem> {
    let body = context.read_body(req, context.max_body_bytes).await?;
    let request: ApplyRequest = serde_json::from_slice(&body)
        .map_err(|error| Problem::Invalid(format!("the change cannot be read: {error}")))?;
    let changes =
        request.changes.into_iter().map(validate_change).collect::<Result<Vec<_>, _>>()?;
    let snapshot = context.control.current.load();
    if !snapshot.log_up {
        return Err(Problem::LogDown("the log does not answer"));
    }
    let ticket = new_ticket(&snapshot, &context.clock);
    let (author, not_after_ms) = (request.author, not_after_ms(&ticket).unwrap_or_default());
    let body = Body::Settings { changes, author, ticket: ticket.clone(), not_after_ms };
    let appended = match context.control.appender.append(body, APPLY_TIMEOUT).await {
        Ok(appended) => appended,
        Err(AppendError::Full) => return Err(Problem::LogDown("too many records wait for it")),
        Err(AppendError::Undecided) => return Err(Problem::Undecided(ticket)),
    };
    match appended.outcome {
        Outcome::Applied => Ok(json!({ "version": appended.offset, "ticket": ticket })),
        Outcome::Rejected(rejection @ Rejection::Conflict { .. }) => {
            Err(Problem::Conflict(rejection.to_string()))
        }
        Outcome::Rejected(Rejection::Expired { .. }) => {
            Err(Problem::LogDown("it took the change too late"))
        }
        _ => Err(Problem::Undecided(ticket)),
    }
}

/// A name for a change that also tells when it can no longer take force.
fn new_ticket(snapshot: &Snapshot, clock: &SharedClock) -> SmolStr {
    let now_ms = clock::unix_ms(clock.wall()).saturating_add_signed(snapshot.log_clock_ms);
    let not_after_ms = now_ms + EXPIRY_WINDOW.as_millis() as u64;
    format_smolstr!("{not_after_ms}-{:016x}", rand::random::<u64>())
}

fn not_after_ms(ticket: &str) -> Option<u64> {
    ticket.split_once('-')?.0.parse().ok()
}

/// What became of a change.
///
/// "Refused" is said of a change that is not in the log only once the log has been read beyond
/// the time after which the fold voids it; before that it is not known yet.
fn ticket(context: &Door, ticket: &str) -> Result<Value, Problem> {
    let malformed = || Problem::Invalid("`ticket` is not one that a router gave".into());
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
        json!({ "outcome": "forgotten", "reason": "it is too old: see what is in force" })
    } else if snapshot.read_to_ms > not_after_ms {
        json!({ "outcome": "refused", "reason": "it did not reach the log in time: apply again" })
    } else {
        json!({ "outcome": "unknown", "reason": "not known yet: ask again in a few seconds" })
    })
}

fn history(context: &Door, prefix: &str) -> Value {
    let snapshot = context.control.current.load();
    let entries: Vec<Value> =
        snapshot.state.history.of_path(prefix).map(|entry| json!(entry)).collect();
    json!({ "entries": entries })
}

/// On how many routers a version is in force, as they say themselves.
async fn rollout(context: &Door, req: &Request) -> Result<Value, Problem> {
    let requested = req.query::<u64>("version").unwrap_or_default();
    let bearer = http::bearer(req)?;
    let queries = context.peers.iter().map(|peer| query_version(peer, bearer));
    let versions = futures::future::join_all(queries).await;
    let local = context.control.current.load().state.documents.version;
    let reported: Vec<u64> = versions.iter().flatten().copied().chain([local]).collect();
    let in_force = reported.iter().filter(|version| **version >= requested).count();
    let routers = context.peers.len() + 1;
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

/// The whole state, for a process that starts while the log is down.
fn state(context: &Door) -> Result<Vec<u8>, Problem> {
    let snapshot = context.control.current.load();
    if !snapshot.caught_up {
        return Err(Problem::NotReady(snapshot.waiting.reason()));
    }
    Ok(checkpoint::encode(&snapshot.state))
}

/// A change is checked here too: a document that does not follow its schema must not get into
/// the log, whatever program sent it.
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

fn get(context: &Door, prefix: &str) -> Value {
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
