//! Who may send a request, and for which workspace it runs.
//!
//! Credentials are looked up in the configuration in force, and only while that is proven to be recent
//! enough: a router out of touch with the store refuses requests once a revocation that it cannot know of
//! would have to be in force. It tells callers that their credential is unknown only while it would know
//! of one that was added.

use crate::{config_proof, dialect::RequestCredential, job, replies, router};
use corianderstand_fleet::config;
use corianderstand_types::names;
use http::StatusCode;
use std::time::Duration;

/// Reason logged when a request's credential is unknown.
pub const UNKNOWN_CREDENTIAL: &str = "no workspace has this credential";
/// Reason logged when the configuration is too old to decide.
pub const OUTDATED: &str = "the configuration may be outdated";
/// `Retry-After` of a router whose configuration may be outdated; others may decide at once.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request that may run.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Admitted {
    /// Its workspace, if it needs a credential.
    pub workspace: Option<names::WorkspaceId>,
    /// Priority of the workspace and the route; 0 is the highest.
    pub priority: u8,
    /// Whether credentials are for this router only and must not be forwarded.
    pub removes_credential: bool,
}

/// Why a request may not run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Denied {
    /// No workspace has its credential.
    UnknownCredential,
    /// The configuration may be outdated, so that the answer is not known.
    Outdated,
}

impl Denied {
    /// The logged reason.
    pub const fn reason(self) -> &'static str {
        match self {
            Self::UnknownCredential => UNKNOWN_CREDENTIAL,
            Self::Outdated => OUTDATED,
        }
    }

    /// Status of the response.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::UnknownCredential => StatusCode::UNAUTHORIZED,
            Self::Outdated => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// When the caller should retry.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::UnknownCredential => None,
            Self::Outdated => Some(OUTDATED_RETRY_AFTER),
        }
    }
}

/// Decides on a request at its arrival. Waits a moment for proof if the configuration may be outdated.
pub async fn admit<P: router::Platform>(
    shared: &router::Shared<P>,
    route: &config::Route,
    credential: RequestCredential,
) -> Result<Admitted, Denied> {
    match check(shared, route, credential) {
        Err(Denied::Outdated) => {
            let max_age = shared.bounds.borrow().max_config_age(is_known(shared, credential));
            if let Some(max_age) = max_age {
                config_proof::wait_for_younger(shared, max_age).await;
            }
            check(shared, route, credential)
        }
        decided => decided,
    }
}

/// Decides on a request by the configuration of this moment.
pub fn check<P: router::Platform>(
    shared: &router::Shared<P>,
    route: &config::Route,
    credential: RequestCredential,
) -> Result<Admitted, Denied> {
    let view = shared.view.borrow();
    let directory = view.route_table.as_ref().and_then(|table| table.workspaces());
    let Some(directory) = directory else {
        return Ok(Admitted { priority: route.priority, ..Default::default() });
    };
    if route.is_public {
        let priority = route.priority;
        return Ok(Admitted { priority, removes_credential: true, workspace: None });
    }
    let workspace = match credential {
        RequestCredential::Present(credential) => directory.find(&credential),
        RequestCredential::Absent | RequestCredential::Malformed => None,
    };
    let max_age = shared.bounds.borrow().max_config_age(workspace.is_some());
    if max_age.is_some_and(|max_age| !config_proof::is_proven_within(shared, max_age)) {
        return Err(Denied::Outdated);
    }
    let workspace = workspace.ok_or(Denied::UnknownCredential)?;
    Ok(Admitted {
        workspace: Some(workspace.name.clone()),
        priority: directory.priority(workspace.priority, route.priority),
        removes_credential: true,
    })
}

/// Decides on a request again before it is sent to a target.
pub fn check_again<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
) -> Result<Admitted, Denied> {
    let admitted = check(shared, &job.route, job.request.credential)?;
    if admitted.workspace != job.workspace {
        return Err(Denied::UnknownCredential);
    }
    Ok(admitted)
}

/// Whether this router refuses requests with any credential until it hears from the store or a peer.
pub fn is_out_of_touch<P: router::Platform>(shared: &router::Shared<P>) -> bool {
    let view = shared.view.borrow();
    let needs_credentials = view.route_table.as_ref().is_some_and(|t| t.workspaces().is_some());
    let max_age = shared.bounds.borrow().max_config_age(true);
    needs_credentials
        && max_age.is_some_and(|max_age| !config_proof::is_proven_within(shared, max_age))
}

fn is_known<P: router::Platform>(
    shared: &router::Shared<P>,
    credential: RequestCredential,
) -> bool {
    let RequestCredential::Present(credential) = credential else { return false };
    let view = shared.view.borrow();
    let directory = view.route_table.as_ref().and_then(|table| table.workspaces());
    directory.is_some_and(|directory| directory.find(&credential).is_some())
}

/// Logs and answers a request that may not run.
pub fn refuse<P: router::Platform>(
    shared: &router::Shared<P>,
    request_id: &smol_str::SmolStr,
    route: &config::Route,
    denied: Denied,
    arrived: std::time::Instant,
) -> http::Response<crate::body::ResponseBody> {
    let now = shared.clock.now();
    let age = config_proof::age(shared);
    shared.decision_log.denied(request_id, &route.name, denied, age, arrived, now);
    let mut response =
        replies::local_response(denied.status(), denied.reason(), denied.retry_after());
    let headers = response.headers_mut();
    match denied {
        Denied::UnknownCredential => {
            headers.insert(http::header::WWW_AUTHENTICATE, CHALLENGE);
        }
        // A new connection may reach a router that is in touch.
        Denied::Outdated => {
            headers.insert(http::header::CONNECTION, CLOSE);
        }
    }
    response
}

const CHALLENGE: http::HeaderValue = http::HeaderValue::from_static("Bearer");
const CLOSE: http::HeaderValue = http::HeaderValue::from_static("close");
