//! `/services/{service}/…`: calls to services other than models.

use crate::{
    call::CallInProgress,
    http::{CallerRequest, HandlerContext},
    once::{self, Answer, KeyedCall},
    problem::{self, Problem},
};
use corianderstand_decide::request::Requirement;
use corianderstand_schema::{messages::Operation, records::CallKey};
use corianderstand_state::{calls, view::View};
use corianderstand_types::names::ServiceId;
use salvo::{Request, Response, http::StatusCode};
use smol_str::SmolStr;
use std::time::SystemTime;
use tokio::time::Instant;

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

pub async fn call(
    context: &HandlerContext,
    caller_request: &CallerRequest,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Problem> {
    let service = ServiceId::new(req.param::<String>("service").unwrap_or_default())
        .map_err(|error| Problem::Invalid(error.to_string()))?;
    let path = format!("/{}", req.param::<String>("rest").unwrap_or_default());
    let team = caller_request.team_view()?;
    let allowed = team.services.get(&service).ok_or(Problem::NotFound)?;
    if !allowed.path_prefixes.iter().any(|prefix| path.starts_with(prefix.as_str())) {
        return Err(Problem::Forbidden);
    }
    let method = SmolStr::new(req.method().as_str());
    let run_once = is_unrepeatable(&caller_request.snapshot.view, &service, &method, &path);
    let idempotency_key = if run_once { Some(read_idempotency_key(req)?) } else { None };
    let urgency = caller_request.urgency(req, team.team.default_urgency)?;
    let limit = team.team.max_deadline_ms.0;
    let budget = caller_request.deadline(req, allowed.deadline_ms.0, limit)?;
    let deadline = Instant::now() + budget;
    let path = match req.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let content_type = header(req, "content-type").unwrap_or_default().into();
    let body = context.read_body(req, context.max_body_bytes).await?;
    let digest = calls::digest(&method, &path, &body);
    let operation = Operation::Call {
        service: service.clone(),
        method,
        path: path.into(),
        content_type,
        idempotency_key: idempotency_key.clone(),
    };
    let requirement = Requirement::Service(service.clone());
    let (spec, mut open) =
        caller_request.open_stream(requirement, operation, urgency, budget, !run_once);
    if run_once {
        open.expires_ms =
            caller_request.snapshot.log_now_ms(SystemTime::now()) + budget.as_millis() as u64;
    }
    let caller = req.remote_addr().clone().into_std();
    let submit = || CallInProgress::submit(&context.events, spec, open, body);
    let answer = match idempotency_key {
        None => once::read_answer(&mut submit()?, deadline).await?,
        Some(_)
            if context
                .watched_connections
                .may_predate_pause(context.clock.since_boot(), caller) =>
        {
            // Another router may have recorded a claim that this router has not read yet.
            return Err(Problem::Unknown("this router was paused".into()));
        }
        Some(key) => {
            let key = CallKey { team: caller_request.team.clone(), service, key };
            let keyed_call =
                KeyedCall { control: &context.control, key, request_digest: digest, deadline };
            keyed_call.answer(submit).await?
        }
    };
    write_answer(answer, res);
    Ok(())
}

/// Header of a repeated answer whose body was too long to be stored.
const BODY_HEADER: &str = "x-corianderstand-body";

fn write_answer(answer: Answer, res: &mut Response) {
    res.status_code(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY));
    problem::set_header(res, "content-type", &answer.content_type);
    problem::set_header(res, problem::OUTCOME_HEADER, "ran");
    match answer.body {
        Some(body) => drop(res.write_body(body)),
        None => problem::set_header(res, BODY_HEADER, "not-kept"),
    }
}

fn is_unrepeatable(view: &View, service: &ServiceId, method: &str, path: &str) -> bool {
    let Some(settings) = view.services.get(service) else { return false };
    let matches = |pattern: &corianderstand_schema::settings::CallPattern| {
        pattern.method == method && path.starts_with(pattern.path_prefix.as_str())
    };
    settings.unrepeatable.iter().any(matches)
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|value| value.to_str().ok())
}

fn read_idempotency_key(req: &Request) -> Result<SmolStr, Problem> {
    let key = header(req, "idempotency-key").unwrap_or_default();
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(Problem::KeyRequired);
    }
    Ok(key.into())
}
