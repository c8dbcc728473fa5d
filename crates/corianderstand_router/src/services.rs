//! `/services/{service}/…`: calls to plain services.

use crate::{
    call::{CallInProgress, Part},
    http::{Asked, Door},
    problem::{self, Problem},
};
use corianderstand_decide::work::Need;
use corianderstand_schema::messages::Operation;
use corianderstand_state::view::View;
use corianderstand_types::names::ServiceId;
use salvo::{Request, Response, http::StatusCode};
use smol_str::SmolStr;
use tokio::time::Instant;

/// Longest `Idempotency-Key`, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Answers a call to a plain service.
///
/// # Errors
///
/// Any [`Problem`]; nothing has been sent then.
pub async fn call(
    door: &Door,
    asked: &Asked,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Problem> {
    let service = ServiceId::new(req.param::<String>("service").unwrap_or_default())
        .map_err(|error| Problem::Invalid(error.to_string()))?;
    let path = format!("/{}", req.param::<String>("rest").unwrap_or_default());
    let team = asked.team_view()?;
    let allowed = team.services.get(&service).ok_or(Problem::NotFound)?;
    if !allowed.path_prefixes.iter().any(|prefix| path.starts_with(prefix.as_str())) {
        return Err(Problem::Forbidden);
    }
    let method = SmolStr::new(req.method().as_str());
    let once = is_unrepeatable(&asked.snapshot.view, &service, &method, &path);
    let idempotency_key = if once { Some(key(req)?) } else { None };
    let urgency = asked.urgency(req, team.team.default_urgency)?;
    let limit = team.team.max_deadline_ms.0;
    let budget = asked.deadline(req, allowed.deadline_ms.0, limit)?;
    let deadline = Instant::now() + budget;
    let path = match req.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let content_type = header(req, "content-type").unwrap_or_default().into();
    let body = door.read_body(req, door.max_body_bytes).await?;
    let operation = Operation::Call {
        service: service.clone(),
        method,
        path: path.into(),
        content_type,
        idempotency_key,
    };
    let (work, open) = asked.open(Need::Service(service), operation, urgency, budget, !once);
    let call = CallInProgress::submit(&door.events, work, open, body)?;
    let answered = answer(call, deadline, res).await;
    answered.map_err(|problem| if once { without_claim(problem) } else { problem })
}

async fn answer(
    mut call: CallInProgress,
    deadline: Instant,
    res: &mut Response,
) -> Result<(), Problem> {
    let mut body = Vec::new();
    loop {
        match call.next(deadline).await? {
            Part::Head { status, content_type } => {
                res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
                problem::set_header(res, "content-type", &content_type);
            }
            Part::Chunk(chunk) => body.extend_from_slice(&chunk),
            Part::Whole { .. } => {
                problem::set_header(res, problem::OUTCOME_HEADER, "ran");
                drop(res.write_body(body));
                return Ok(());
            }
        }
    }
}

/// After silence nothing tells whether a call that may not be repeated ran; only a refusal
/// before it was claimed is a certain "not run".
fn without_claim(problem: Problem) -> Problem {
    match problem {
        Problem::Failed(reason) => Problem::Unknown(reason),
        Problem::Deadline => Problem::Unknown("no answer by the deadline".into()),
        other => other,
    }
}

fn is_unrepeatable(view: &View, service: &ServiceId, method: &str, path: &str) -> bool {
    let Some(facts) = view.services.get(service) else { return false };
    let matches = |pattern: &corianderstand_schema::settings::CallPattern| {
        pattern.method == method && path.starts_with(pattern.path_prefix.as_str())
    };
    facts.unrepeatable.iter().any(matches)
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|value| value.to_str().ok())
}

fn key(req: &Request) -> Result<SmolStr, Problem> {
    let key = header(req, "idempotency-key").unwrap_or_default();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(Problem::KeyRequired);
    }
    Ok(key.into())
}
