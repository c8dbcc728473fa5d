//! Errors returned to callers: a stable code, a message with a remedy, and a request id.

use corianderstand_decide::request::Refusal;
use corianderstand_schema::messages::RefusalReason;
use salvo::{Response, http::StatusCode};
use serde_json::json;
use smol_str::SmolStr;
use std::time::Duration;

/// Response header with the outcome of a call: `ran`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "x-corianderstand-outcome";
pub const REQUEST_ID_HEADER: &str = "x-request-id";

#[derive(Clone, Debug, PartialEq, displaydoc::Display)]
pub enum Problem {
    /// invalid request: {0}
    Invalid(String),
    /// the body exceeds {0} bytes: send a shorter one
    BodyTooLong(usize),
    /// the request head exceeds {0} bytes: send fewer or shorter headers
    HeadTooLong(usize),
    /// the body was not received within {0} ms: send it faster, or send a shorter one
    BodyTimeout(u128),
    /// this router has reached its connection limit: retry after the time in `Retry-After`, or use another router
    TooManyConnections,
    /// the path does not exist: see the API documentation for the available paths
    NoSuchPath,
    /// the path does not support this method: use {0}
    MethodNotAllowed(&'static str),
    /// the bearer key is missing or invalid: send `Authorization: Bearer` with your team's key
    Unauthorized,
    /// your team is not permitted to call this: ask your operators to allow it in the team's settings
    Forbidden,
    /// unknown model or service: see `GET /v1/models`
    NotFound,
    /// this call must not run more than once: send an `Idempotency-Key` header of 1 to 255 characters
    KeyRequired,
    /// the request was not run ({0}): retry after the time in `Retry-After`
    Refused(RefusalReason, Duration),
    /// the response was interrupted ({0}): send the request again
    Failed(SmolStr),
    /// it is not known whether the call ran ({0}): retry with the same `Idempotency-Key`
    Unknown(SmolStr),
    /// the call did not run and never will under this key ({0}): send it with a new key
    NotRun(SmolStr),
    /// the key has expired, so it is not known whether its call ran: check at the service
    KeyExpired,
    /// no response before the deadline: retry, or set a later deadline
    Deadline,
    /// this process is not ready ({0}): use another router, or retry later
    NotReady(&'static str),
    /// conflicting change of the same settings: {0}
    Conflict(String),
    /// it is not known yet whether the change was accepted: query ticket {0} at any router
    Undecided(SmolStr),
    /// the change was refused and nothing was written ({0}): apply it again later
    LogDown(&'static str),
}

impl std::error::Error for Problem {}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal.reason, refusal.retry_after)
    }
}

const CHALLENGE: &str = "Bearer realm=\"corianderstand\"";
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Problem {
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Invalid(_) => "invalid_request",
            Self::BodyTooLong(_) => "body_too_long",
            Self::HeadTooLong(_) => "head_too_long",
            Self::BodyTimeout(_) => "request_timeout",
            Self::TooManyConnections => "too_many_connections",
            Self::NoSuchPath => "no_such_path",
            Self::MethodNotAllowed(_) => "method_not_allowed",
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
            Self::KeyExpired => "key_forgotten",
            Self::Deadline => "deadline_passed",
            Self::NotReady(_) => "not_ready",
            Self::Conflict(_) => "conflict",
            Self::Undecided(_) => "undecided",
            Self::LogDown(_) => "log_down",
        }
    }

    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Invalid(_) | Self::KeyRequired => StatusCode::BAD_REQUEST,
            Self::BodyTooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLong(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTimeout(_) => StatusCode::REQUEST_TIMEOUT,
            Self::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound | Self::NoSuchPath => StatusCode::NOT_FOUND,
            Self::NotRun(_) | Self::KeyExpired => StatusCode::GONE,
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

    /// Returns the outcome of the request: `not-run` only if that is certain.
    pub const fn outcome(&self) -> &'static str {
        match self {
            Self::Failed(_) | Self::Unknown(_) | Self::Deadline | Self::Undecided(_) => "unknown",
            Self::KeyExpired => "unknown",
            _ => "not-run",
        }
    }

    /// Returns the delay after which to retry, if a retry can succeed.
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused(_, after) => Some(*after),
            Self::NotReady(_) | Self::LogDown(_) | Self::Failed(_) | Self::Deadline => {
                Some(DEFAULT_RETRY_AFTER)
            }
            Self::Unknown(_) | Self::Undecided(_) => Some(DEFAULT_RETRY_AFTER),
            Self::TooManyConnections | Self::BodyTimeout(_) => Some(DEFAULT_RETRY_AFTER),
            _ => None,
        }
    }

    pub fn body(&self, request: &str) -> serde_json::Value {
        json!({ "error": {
            "code": self.code(),
            "message": self.to_string(),
            "request_id": request,
            "outcome": self.outcome(),
            "retry_after_ms": self.retry_after().map(|after| after.as_millis() as u64),
        }})
    }

    pub fn write(&self, request: &str, res: &mut Response) {
        res.status_code(self.status());
        if let Some(after) = self.retry_after() {
            let seconds = after.as_millis().div_ceil(1000).max(1);
            set_header(res, "retry-after", &seconds.to_string());
        }
        match self {
            Self::Unauthorized => set_header(res, "www-authenticate", CHALLENGE),
            Self::MethodNotAllowed(allowed) => set_header(res, "allow", allowed),
            // Unread bytes of the body must not be parsed as the next request.
            Self::BodyTimeout(_) | Self::TooManyConnections => {
                set_header(res, "connection", "close");
            }
            _ => {}
        }
        set_header(res, OUTCOME_HEADER, self.outcome());
        set_header(res, "content-type", "application/json");
        drop(res.write_body(self.body(request).to_string()));
    }
}

/// Sets a header; ignores a malformed value.
pub fn set_header(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        res.headers_mut().insert(name, value);
    }
}
