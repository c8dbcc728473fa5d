//! `POST /v1/completions`, `POST /v1/chat/completions` and `GET /v1/models`.

use crate::{
    answer::{self, AnswerFormat},
    call::CallInProgress,
    http::{CallerRequest, HandlerContext},
    params::Params,
    problem::{self, Problem},
};
use bytes::Bytes;
use corianderstand_control::metrics::Metric;
use corianderstand_decide::request::{self, RequestSpec, Requirement};
use corianderstand_schema::{
    messages::{AdapterRef, OpenStream, Operation},
    settings,
};
use corianderstand_state::view::{TeamView, View};
use corianderstand_types::{
    clock,
    names::{AdapterId, ModelId, VersionId, WorkspaceId},
    weights::Weights,
};
use salvo::{Request, Response};
use serde_json::json;
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

struct RequestedCompletion {
    base: Weights,
    adapter: Option<Weights>,
    model_name: String,
    is_streamed: bool,
    shape: request::RequestShape,
    include_usage: bool,
    body: Bytes,
}

/// Answers `GET /v1/models`.
pub fn models(name: &WorkspaceId, team: &TeamView, view: &View, res: &mut Response) {
    let created = clock::unix_ms(SystemTime::now()) / 1000;
    let mut data = Vec::new();
    let mut add = |id: String, version: &str| {
        data.push(json!({ "id": id, "object": "model", "created": created, "owned_by": name,
            "version": version }));
    };
    for (model, allowed) in &team.models {
        let Some(settings) = view.models.get(model) else { continue };
        let versions =
            if allowed.versions.is_empty() { &settings.versions } else { &allowed.versions };
        add(model.to_string(), versions.first().map_or("", |v| v.as_str()));
        for adapter in &allowed.adapters {
            add(format!("{model}:{}", adapter.name), adapter.version.as_str());
        }
    }
    problem::set_header(res, "content-type", "application/json");
    drop(res.write_body(json!({ "object": "list", "data": data }).to_string()));
}

/// Answers a completion or chat completion; on an error nothing was sent.
pub async fn complete(
    context: &HandlerContext,
    caller_request: &CallerRequest,
    chat: bool,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Problem> {
    let team = caller_request.team_view()?;
    let max_bytes = context.max_body_bytes.min(team.team.max_prompt_bytes as usize);
    let body = context.read_body(req, max_bytes).await?;
    let requested = parse(body, chat, team, &caller_request.snapshot.view)?;
    let allowed = &team.models[&requested.base.model];
    let urgency =
        caller_request.urgency(req, allowed.urgency.unwrap_or(team.team.default_urgency))?;
    let limit = team.team.max_deadline_ms.0;
    let budget = caller_request.deadline(req, team.team.default_deadline_ms.0, limit)?;
    let deadline = Instant::now() + budget;
    let (mut spec, mut open) = open_stream(caller_request, &requested, chat, urgency, budget);
    if requested.is_streamed {
        open.position = resume_position(req)?;
    }
    spec.shape = requested.shape;
    let call = CallInProgress::submit(&context.events, spec, open, requested.body)?;
    let format = AnswerFormat {
        is_chat: chat,
        request_id: caller_request.request_id.clone(),
        model: requested.model_name,
        include_usage: requested.include_usage,
        created_s: clock::unix_ms(SystemTime::now()) / 1000,
    };
    if requested.is_streamed {
        let started_at = context.clock.now();
        let result = answer::stream(call, format, deadline, res).await;
        if result.is_ok() {
            context.metrics.time(Metric::RouterFirstChunk, context.clock.now() - started_at);
        }
        result
    } else {
        answer::whole(call, &format, deadline, res).await
    }
}

const LAST_EVENT_ID_HEADER: &str = "last-event-id";

fn resume_position(req: &Request) -> Result<u64, Problem> {
    let Some(value) = req.headers().get(LAST_EVENT_ID_HEADER) else { return Ok(0) };
    let position = value.to_str().ok().and_then(|text| text.parse().ok());
    position.ok_or_else(|| Problem::Invalid("`Last-Event-ID` must be the `id` of an event".into()))
}

fn open_stream(
    caller_request: &CallerRequest,
    requested: &RequestedCompletion,
    chat: bool,
    urgency: u8,
    budget: Duration,
) -> (RequestSpec, OpenStream) {
    let (model, version) = (requested.base.model.clone(), requested.base.version.clone());
    let adapter = requested.adapter.as_ref().and_then(|weights| {
        let name = weights.adapter.clone()?;
        Some(AdapterRef { name, version: weights.version.clone() })
    });
    let operation = if chat {
        Operation::Chat { model, version, adapter }
    } else {
        Operation::Completion { model, version, adapter }
    };
    let requirement =
        Requirement::Weights { base: requested.base.clone(), adapter: requested.adapter.clone() };
    caller_request.open_stream(requirement, operation, urgency, budget, true)
}

fn parse(
    body: Bytes,
    chat: bool,
    team: &TeamView,
    view: &View,
) -> Result<RequestedCompletion, Problem> {
    let params = Params::read(&body, chat)?;
    let (base, adapter) = resolve(&params.model, team, view)?;
    let shape = params.shape(chat);
    let (stream, include_usage) = (params.is_streamed(), params.includes_usage());
    Ok(RequestedCompletion {
        base,
        adapter,
        model_name: params.model,
        is_streamed: stream,
        shape,
        include_usage,
        body,
    })
}

/// Resolves `model`, `model:adapter`, `model@version` or `model:adapter@version`. Forbidden and
/// unknown names return the same error, so that nothing about other workspaces leaks.
fn resolve(
    name: &str,
    team: &TeamView,
    view: &View,
) -> Result<(Weights, Option<Weights>), Problem> {
    let (name, version) = match name.split_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (name, None),
    };
    let (model, adapter) = match name.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (name, None),
    };
    let model = ModelId::new(model).map_err(|error| Problem::Invalid(error.to_string()))?;
    let allowed = team.models.get(&model).ok_or(Problem::NotFound)?;
    let settings = view.models.get(&model).ok_or(Problem::NotFound)?;
    let base_version = version.filter(|_| adapter.is_none());
    let base = Weights::model(model.clone(), resolve_version(allowed, settings, base_version)?);
    let Some(adapter) = adapter else { return Ok((base, None)) };
    let adapter = AdapterId::new(adapter).map_err(|error| Problem::Invalid(error.to_string()))?;
    let found = allowed.adapters.iter().find(|known| {
        known.name == adapter && version.is_none_or(|version| known.version.as_str() == version)
    });
    let found = found.ok_or(Problem::NotFound)?;
    let (version, adapter) = (found.version.clone(), Some(found.name.clone()));
    Ok((base, Some(Weights { model, version, adapter })))
}

fn resolve_version(
    allowed: &settings::TeamModel,
    settings: &settings::Model,
    version: Option<&str>,
) -> Result<VersionId, Problem> {
    let mut versions = settings
        .versions
        .iter()
        .filter(|v| allowed.versions.is_empty() || allowed.versions.contains(v));
    let found = versions.find(|v| version.is_none_or(|version| v.as_str() == version));
    found.cloned().ok_or(Problem::NotFound)
}
