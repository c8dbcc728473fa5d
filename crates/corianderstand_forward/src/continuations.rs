//! Which software version a stream goes on at, and who remembers it.
//!
//! The router that forwards a stream's first event remembers where the stream began, and unless the service has had one
//! version for long, tells two other routers, which the stream's key selects. A router that a caller returns to asks
//! them if it doesn't know itself. A stream whose version nobody knows is refused, unless its service has had one version
//! for as long as streams last: routers state that in the store ([`stated`]), as all of them may be killed at once.
//!
//! A [`Continuation`] isn't made without a version, and without one no target is asked for the rest of a stream.

mod history;
mod keepers;
mod questions;
pub mod stated;

pub use history::{observe_versions, record_missed_changes};
pub use questions::{on_answer, on_origins, on_question};

use crate::{decisions, dialect, job, pending, router};
use corianderstand_derives::derives;
use corianderstand_fleet::{streams, targets};
use corianderstand_schema::peers as wire;
use corianderstand_types::names;
use futures::{StreamExt, stream::FuturesUnordered};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

/// Time for a router that has just started to learn of the others.
const SETTLING_TIME: Duration = Duration::from_millis(1_000);
/// Time for a target that has started to register, and for its entry to be read.
const REGISTRATION_TIME: Duration = Duration::from_millis(2_000);
/// Interval at which it asks again meanwhile.
const SETTLING_INTERVAL: Duration = Duration::from_millis(100);
/// `Retry-After` of a request whose stream's version isn't known: a router that knows may answer again.
pub const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The rest of a stream: what its caller has, and the version that must write the rest.
#[derives(data)]
pub struct Continuation {
    last_event: u64,
    version: names::SoftwareVersion,
}

impl Continuation {
    /// The last event that the caller has received.
    pub const fn last_event(&self) -> u64 {
        self.last_event
    }

    /// The only version that may go on.
    pub const fn version(&self) -> &names::SoftwareVersion {
        &self.version
    }
}

/// How far the stream of a request has come.
#[derives(data)]
#[derive(Default)]
pub enum Progress {
    /// The caller has no event: any version may serve the request.
    #[default]
    Fresh,
    /// The caller has events of this version.
    Continues(Continuation),
    /// The caller has events, and it isn't known which version wrote them.
    Unknown,
}

impl Progress {
    /// Progress of a stream of which the caller has `last_event`, written by `version`, if these are known.
    pub fn after(version: Option<names::SoftwareVersion>, last_event: Option<u64>) -> Self {
        match (version, last_event) {
            (Some(version), Some(last_event)) => {
                Self::Continues(Continuation { last_event, version })
            }
            _ => Self::Unknown,
        }
    }

    /// The rest of the stream, if one was begun.
    pub const fn continuation(&self) -> Option<&Continuation> {
        match self {
            Self::Continues(continuation) => Some(continuation),
            Self::Fresh | Self::Unknown => None,
        }
    }

    /// Whether the request may be sent to a target.
    pub fn allows(&self, target: &targets::Target) -> bool {
        match self {
            Self::Fresh => true,
            Self::Continues(continuation) => target.version() == Some(&continuation.version),
            Self::Unknown => false,
        }
    }
}

/// Who says at which version a stream began.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Source {
    /// This router: the stream passed it, or another router told it.
    Own,
    OtherRouter,
    /// The service has had no other version for long.
    SoleVersion,
}

impl Source {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::OtherRouter => "another router",
            Self::SoleVersion => "sole version",
        }
    }
}

/// What this router remembers of streams and versions.
#[derive(Default)]
pub struct State {
    origins: RefCell<streams::Origins>,
    history: RefCell<streams::VersionHistory>,
    pending: pending::Pending<wire::OriginAnswer>,
    /// When the targets were first looked at, as this router started.
    started_at: Cell<Option<Instant>>,
    /// When all targets were last looked at.
    observed_at: Cell<Option<Instant>>,
    statements: RefCell<stated::Statements>,
    /// Services whose streams other routers are told of.
    told: RefCell<Vec<names::ServiceId>>,
}

/// The version of a stream, and how that is known.
struct Known {
    version: names::SoftwareVersion,
    source: Source,
    age: Option<Duration>,
}

/// What became of the question for a stream's version.
#[derive(Default)]
struct Found {
    known: Option<Known>,
    /// Routers that were asked, and those that answered.
    asked: usize,
    answered: usize,
}

/// Determines at which version the stream goes on that a request takes up. A request that takes none up is fresh.
pub async fn resolve<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &job::Job,
) -> Progress {
    let (request, service) = (&job.request, &job.service);
    let last_event = request.last_event_id.filter(|_| job.route.streams);
    if last_event.is_none() {
        return Progress::Fresh;
    }
    let key = request.resumes.as_ref().map(|id| streams::StreamKey::of(id));
    let mut found = find(shared, key, job).await;
    let deadline = shared.clock.now() + REGISTRATION_TIME;
    while found.known.is_none()
        && shared.clock.now() < deadline
        && history::is_settling(shared, service)
    {
        tokio::time::sleep(SETTLING_INTERVAL).await;
        found = find(shared, key, job).await;
    }
    log_resolved(shared, request, service, &found);
    Progress::after(found.known.map(|known| known.version), last_event)
}

fn log_resolved<P: router::Platform>(
    shared: &router::Shared<P>,
    request: &dialect::RequestHead,
    service: &names::ServiceId,
    found: &Found,
) {
    let known = found.known.as_ref();
    let offered = {
        let view = shared.view.borrow();
        let of_service = view.targets.iter().filter(|(_, t)| t.entry.service == *service);
        let versions = of_service.map(|(_, target)| target.version().cloned());
        let mut versions: Vec<_> =
            versions.map(|version| version.map_or("unknown".into(), |v| v.0)).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    };
    shared.decision_log.stream_resolved(
        request,
        &decisions::StreamOrigin {
            version: known.map(|known| known.version.as_str()),
            source: known.map_or("nobody", |known| known.source.as_str()),
            age: known.and_then(|known| known.age),
            asked: found.asked,
            answered: found.answered,
            offered: &offered,
        },
        shared.clock.now(),
    );
}

async fn find<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    key: Option<streams::StreamKey>,
    job: &job::Job,
) -> Found {
    let own = key.and_then(|key| find_own(shared, key));
    if let Some(Some(known)) = own {
        return Found { known: Some(known), ..Found::default() };
    }
    // A target whose version nobody knows may have had another one.
    let mut began_unknown = own.is_some();
    let mut sole = history::sole_version(shared, &job.service);
    let mut answers: FuturesUnordered<_> = keepers::to_ask(shared, key)
        .into_iter()
        .map(|keeper| questions::ask(shared, keeper, key, &job.service))
        .collect();
    let mut found = Found { asked: answers.len(), ..Found::default() };
    while let Some(answer) = answers.next().await {
        let Some(answer) = answer else { continue };
        found.answered += 1;
        let origin = answer.known.into_iter().next().map(|origin| questions::from_wire(origin).1);
        began_unknown |= origin.is_some();
        if let Some(version) = origin.and_then(|origin| version_of(shared, &origin)) {
            found.known = Some(Known { version, source: Source::OtherRouter, age: None });
            return found;
        }
        sole = sole.or_else(|| questions::non_empty(&answer.sole));
    }
    // A stream of a longer route may have begun before what is remembered.
    let sole = sole.filter(|_| !began_unknown && job.route.timeout <= streams::ORIGIN_TTL);
    found.known = sole.map(|version| Known { version, source: Source::SoleVersion, age: None });
    found
}

/// What this router remembers of a stream; none within if it doesn't know the version of the stream's target.
fn find_own<P: router::Platform>(
    shared: &router::Shared<P>,
    key: streams::StreamKey,
) -> Option<Option<Known>> {
    let origins = shared.continuations.origins.borrow();
    let (origin, age) = origins.get(shared.clock.now(), key)?;
    let version = version_of(shared, origin);
    Some(version.map(|version| Known { version, source: Source::Own, age: Some(age) }))
}

/// The version of an origin; looked up if it was unknown when the stream began.
fn version_of<P>(
    shared: &router::Shared<P>,
    origin: &streams::Origin,
) -> Option<names::SoftwareVersion> {
    if origin.version.is_some() {
        return origin.version.clone();
    }
    let view = shared.view.borrow();
    let target = view.targets.get(view.targets.key(&origin.target.id)?)?;
    let is_same = target.entry.incarnation().matches(&origin.target);
    target.version().filter(|_| is_same).cloned()
}

/// Remembers where a stream began whose first event is being forwarded.
pub fn record<P: router::Platform>(
    shared: &router::Shared<P>,
    request: &dialect::RequestHead,
    origin: &streams::Origin,
) {
    let now = shared.clock.now();
    // A stream that was taken up keeps the name of the request that began it.
    let id = request.resumes.as_ref().filter(|_| request.last_event_id.is_some());
    let key = streams::StreamKey::of(id.unwrap_or(&request.id));
    let state = &shared.continuations;
    state.origins.borrow_mut().record(now, key, origin.clone());
    let version = origin.version.as_ref();
    state.history.borrow_mut().record(now, &origin.service, &origin.target.id, version);
    if history::sole_version(shared, &origin.service).is_none() {
        questions::tell(shared, [(key, origin.clone())].into_iter());
    }
}

/// Number of streams whose origin this router remembers.
pub fn remembered<P>(shared: &router::Shared<P>) -> usize {
    shared.continuations.origins.borrow().len()
}

/// Where a stream began that a target answers.
pub fn origin<P: router::Platform>(
    job: &job::Job,
    in_flight: &job::InFlight<P>,
) -> Option<streams::Origin> {
    let (target, _) = in_flight.target()?;
    let version = match job.progress.continuation() {
        Some(continuation) => Some(continuation.version.clone()),
        None => in_flight.version().cloned(),
    };
    Some(streams::Origin { service: job.service.clone(), target: target.clone(), version })
}

/// Progress of a stream of which the caller has `last_event`.
pub fn progress<P>(
    shared: &router::Shared<P>,
    origin: Option<&streams::Origin>,
    last_event: Option<u64>,
) -> Progress {
    Progress::after(origin.and_then(|origin| version_of(shared, origin)), last_event)
}
