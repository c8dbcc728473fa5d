//! Errors as callers see them: a stable code, a message with the remedy, a request id.

use corianderstand_decide::request::Refusal;
use corianderstand_schema::messages::RefusalReason;
use salvo::{Response, http::StatusCode};
use serde_json::json;
use smol_str::SmolStr;
use std::time::Duration;

/// Header that tells what became of a call: `ran`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "x-corianderstand-outcome";
/// Header with the request's identity.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Why a request got no answer.
#[derive(Clone, Debug, PartialEq, displaydoc::Display)]
pub enum Problem {
    /// the request cannot be used: {0}
    Invalid(String),
    /// the body has more than {0} bytes: send a shorter one
    TooLong(usize),
    /// the head has more than {0} bytes: send fewer or shorter headers
    HeadTooLong(usize),
    /// the body did not come within {0} ms: send it faster, or send less
    TooSlow(u128),
    /// this router holds as many connections as it may: come back after the time in `Retry-After`, or use another router
    TooManyConnections,
    /// there is no such path: see the callers' page for the paths
    NoSuchPath,
    /// this path does not take that method: use {0}
    Method(&'static str),
    /// a bearer key is missing or wrong: send `Authorization: Bearer` with your team's key
    Unauthorized,
    /// your team may not call this: ask your operators to allow it in the team's settings
    Forbidden,
    /// nothing is known by this name: see `GET /v1/models`
    NotFound,
    /// this call may run only once: send an `Idempotency-Key` header of 1 to 255 characters
    KeyRequired,
    /// the request is not run ({0}): come back after the time in `Retry-After`
    Refused(RefusalReason, Duration),
    /// the answer broke off ({0}): ask again
    Failed(SmolStr),
    /// whether the call ran is not known ({0}): ask again with the same `Idempotency-Key`
    Unknown(SmolStr),
    /// the call did not run and never will under this key ({0}): send it under a new key
    NotRun(SmolStr),
    /// the key is older than keys are remembered, so whether its call ran is not known: look it up at the service
    KeyForgotten,
    /// no answer came by the deadline: ask again, or allow more time
    Deadline,
    /// this process is not ready ({0}): use another router, or come back
    NotReady(&'static str),
    /// two operators changed the same settings: {0}
    Conflict(String),
    /// whether the change is accepted is not known yet: ask for ticket {0} at any router
    Undecided(SmolStr),
    /// the change is refused, nothing was written ({0}): apply again later
    LogDown(&'static str),
}

impl std::error::Error for Problem {}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal.reason, refusal.retry_after)
    }
}

/// How a caller proves its team.
const CHALLENGE: &str = "Bearer realm=\"corianderstand\"";
/// When to come back where no other time is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Problem {
    /// The stable code.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Invalid(_) => "invalid_request",
            Self::TooLong(_) => "body_too_long",
            Self::HeadTooLong(_) => "head_too_long",
            Self::TooSlow(_) => "request_timeout",
            Self::TooManyConnections => "too_many_connections",
            Self::NoSuchPath => "no_such_path",
            Self::Method(_) => "method_not_allowed",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::KeyRequired => "idempotency_key_required",
            Self::Refused(RefusalReason::KeyConflict, _) => "key_conflict",
            Self::Refused(RefusalReason::Deadline, _) => "deadline_cannot_be_met",
            Self::Refused(..) => "refused",
            Self::Failed(_) => "answer_broke_off",
            Self::Unknown(_) => "outcome_unknown",
            Self::NotRun(_) => "call_not_run",
            Self::KeyForgotten => "key_forgotten",
            Self::Deadline => "deadline_passed",
            Self::NotReady(_) => "not_ready",
            Self::Conflict(_) => "conflict",
            Self::Undecided(_) => "undecided",
            Self::LogDown(_) => "log_down",
        }
    }

    /// The HTTP status.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Invalid(_) | Self::KeyRequired => StatusCode::BAD_REQUEST,
            Self::TooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLong(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooSlow(_) => StatusCode::REQUEST_TIMEOUT,
            Self::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound | Self::NoSuchPath => StatusCode::NOT_FOUND,
            Self::NotRun(_) | Self::KeyForgotten => StatusCode::GONE,
            Self::Conflict(_) | Self::Refused(RefusalReason::KeyConflict, _) => {
                StatusCode::CONFLICT
            }
            Self::Refused(..) | Self::NotReady(_) | Self::LogDown(_) | Self::TooManyConnections => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Failed(_) => StatusCode::BAD_GATEWAY,
            Self::Unknown(_) | Self::Deadline | Self::Undecided(_) => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// What became of the request: `not-run` only where that is certain.
    pub const fn outcome(&self) -> &'static str {
        match self {
            Self::Failed(_) | Self::Unknown(_) | Self::Deadline | Self::Undecided(_) => "unknown",
            Self::KeyForgotten => "unknown",
            _ => "not-run",
        }
    }

    /// When to come back, for refusals and for what may be tried again.
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused(_, after) => Some(*after),
            Self::NotReady(_) | Self::LogDown(_) | Self::Failed(_) | Self::Deadline => {
                Some(DEFAULT_RETRY_AFTER)
            }
            Self::Unknown(_) | Self::Undecided(_) => Some(DEFAULT_RETRY_AFTER),
            Self::TooManyConnections | Self::TooSlow(_) => Some(DEFAULT_RETRY_AFTER),
            _ => None,
        }
    }

    /// The JSON body.
    pub fn body(&self, request: &str) -> serde_json::Value {
        json!({ "error": {
            "code": self.code(),
            "message": self.to_string(),
            "request_id": request,
            "outcome": self.outcome(),
            "retry_after_ms": self.retry_after().map(|after| after.as_millis() as u64),
        }})
    }

    /// Answers with this problem.
    pub fn write(&self, request: &str, res: &mut Response) {
        res.status_code(self.status());
        if let Some(after) = self.retry_after() {
            let seconds = after.as_millis().div_ceil(1000).max(1);
            set_header(res, "retry-after", &seconds.to_string());
        }
        match self {
            Self::Unauthorized => set_header(res, "www-authenticate", CHALLENGE),
            Self::Method(allowed) => set_header(res, "allow", allowed),
            // What is left unread of the request must not be taken for the next one.
            Self::TooSlow(_) | Self::TooManyConnections => set_header(res, "connection", "close"),
            _ => {}
        }
        set_header(res, OUTCOME_HEADER, self.outcome());
        set_header(res, "content-type", "application/json");
        drop(res.write_body(self.body(request).to_string()));
    }
}

/// Sets a header whose value is known to be well formed; another is left out.
pub fn set_header(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        res.headers_mut().insert(name, value);
    }
}
