//! What operators ask: apply settings, read them, see what is in force.

use crate::{
    http::Door,
    problem::{self, Problem},
};
use corianderstand_derives::derives;
use corianderstand_schema::records::{Body, Change};
use corianderstand_state::{
    fold::{Outcome, Void},
    view,
};
use salvo::{Request, Response};
use serde_json::{Value, json};
use smol_str::SmolStr;
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
pub const PEER_LABEL: &str = "peer";
/// Time the log has to decide a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers an operator.
///
/// # Errors
///
/// Any [`Problem`].
pub async fn answer(
    door: &Door,
    kind: Kind,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Problem> {
    let value = match kind {
        Kind::Apply => apply(door, req).await?,
        Kind::Get => get(door, req.query::<String>("prefix").unwrap_or_default().as_str()),
        Kind::Status => status(door),
    };
    problem::set_header(res, "content-type", "application/json");
    drop(res.write_body(value.to_string()));
    Ok(())
}

async fn apply(door: &Door, req: &mut Request) -> Result<Value, Problem> {
    let body = door.read_body(req, door.max_body_bytes).await?;
    let asked: ApplyRequest = serde_json::from_slice(&body)
        .map_err(|error| Problem::Invalid(format!("the change cannot be read: {error}")))?;
    let changes = asked.changes.into_iter().map(change).collect::<Result<Vec<_>, _>>()?;
    let body = Body::Settings { changes, author: asked.author };
    let decided = door.control.appender.append(body, APPLY_TIMEOUT).await;
    let decided = decided.map_err(|_| Problem::Undecided)?;
    match decided.outcome {
        Outcome::Applied => Ok(json!({ "version": decided.offset })),
        Outcome::Void(void @ Void::Conflict { .. }) => Err(Problem::Conflict(void.to_string())),
        _ => Err(Problem::Undecided),
    }
}

/// A change is checked here too: a document that does not follow its schema must not get into
/// the log, whatever program sent it.
fn change(change: ApplyChange) -> Result<Change, Problem> {
    let ApplyChange { path, base, value } = change;
    if let Some(value) = &value {
        let faults = view::check_document(&path, value);
        if !faults.is_empty() {
            let faults: Vec<String> = faults.iter().map(|f| format!("{path} {f}")).collect();
            return Err(Problem::Invalid(faults.join("; ")));
        }
    }
    let value = value.map(|value| value.to_string());
    Ok(Change { path, base, value })
}

fn get(door: &Door, prefix: &str) -> Value {
    let snapshot = door.control.current.load();
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

fn status(door: &Door) -> Value {
    let snapshot = door.control.current.load();
    let state = &snapshot.state;
    let targets: Vec<Value> = state
        .targets
        .by_name
        .iter()
        .map(|(name, t)| {
            json!({ "target": name, "host": t.record.host, "place": t.record.place,
                "address": t.record.address, "service": t.record.service })
        })
        .collect();
    let slots: Vec<Value> = state
        .slots
        .by_key
        .iter()
        .map(|(key, slot)| json!({ "model": key.model, "slot": key.index, "target": slot.target }))
        .collect();
    json!({
        "version": state.documents.version,
        "log_up": snapshot.log_up,
        "lease": { "epoch": state.lease.epoch, "holder": state.lease.holder },
        "targets": targets,
        "slots": slots,
    })
}
