//! Which software version a stream goes on at, and who remembers it.
//!
//! The router that forwards a stream's first event remembers where the stream began, and unless the service has had one
//! version for long, tells two other routers, which the stream's key selects. A router that a caller returns to asks
//! them if it doesn't know itself. Nothing is guessed: a stream whose version nobody knows is refused.
//!
//! A [`Continuation`] isn't made without a version, and without one no target is asked for the rest of a stream.

mod keepers;

use crate::{decisions, dialect, job, pending, router};
use corianderstand_derives::derives;
use corianderstand_fleet::{streams, targets};
use corianderstand_schema::peers::{self as wire, PeerMessage};
use corianderstand_types::names;
use futures::{StreamExt, stream::FuturesUnordered};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Time for another router's answer, across availability zones and from a busy host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Time for a router that has just started to learn of the others, and for a target to register.
const SETTLING_TIME: Duration = Duration::from_millis(1_000);
/// Interval at which it asks again meanwhile.
const SETTLING_INTERVAL: Duration = Duration::from_millis(100);
const MAX_UNANSWERED_QUESTIONS: u32 = 2;
/// `Retry-After` of a request whose stream's version isn't known: a router that knows may answer again.
pub const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Keeps a datagram within the usual maximum transmission unit.
const MAX_ORIGINS_PER_DATAGRAM: usize = 16;
/// Multiple of the time within which a leaving must be in force, up to which the targets count as known.
const MAX_TARGETS_AGE_RATIO: u32 = 2;

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
    let deadline = shared.clock.now() + SETTLING_TIME;
    let is_hopeless = key.is_none() && has_several_versions(shared, service);
    while found.known.is_none()
        && !is_hopeless
        && shared.clock.now() < deadline
        && is_settling(shared, service)
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
    if let Some(known) = key.and_then(|key| find_own(shared, key)) {
        return Found { known: Some(known), ..Found::default() };
    }
    let mut sole = sole_version(shared, &job.service);
    let mut answers: FuturesUnordered<_> = keepers::to_ask(shared, key)
        .into_iter()
        .map(|keeper| ask(shared, keeper, key, &job.service))
        .collect();
    let mut found = Found { asked: answers.len(), ..Found::default() };
    while let Some(answer) = answers.next().await {
        let Some(answer) = answer else { continue };
        found.answered += 1;
        let origin = answer.known.into_iter().next().map(|origin| from_wire(origin).1);
        if let Some(version) = origin.and_then(|origin| version_of(shared, &origin)) {
            found.known = Some(Known { version, source: Source::OtherRouter, age: None });
            return found;
        }
        sole = sole.or_else(|| non_empty(&answer.sole));
    }
    // A stream of a longer route may have begun before what is remembered.
    let sole = sole.filter(|_| job.route.timeout <= streams::ORIGIN_TTL);
    found.known = sole.map(|version| Known { version, source: Source::SoleVersion, age: None });
    found
}

/// Whether more may soon be known: this router has just started, or a target of the service that has just started
/// is to register.
fn is_settling<P>(shared: &router::Shared<P>, service: &names::ServiceId) -> bool {
    let now = shared.clock.now();
    let started_at = shared.continuations.started_at.get();
    let is_starting = started_at.is_none_or(|at| now.saturating_duration_since(at) < SETTLING_TIME);
    let view = shared.view.borrow();
    let mut entries = view.targets.iter().map(|(_, target)| &target.entry);
    is_starting || entries.any(|entry| entry.service == *service && entry.version.is_none())
}

fn find_own<P: router::Platform>(
    shared: &router::Shared<P>,
    key: streams::StreamKey,
) -> Option<Known> {
    let origins = shared.continuations.origins.borrow();
    let (origin, age) = origins.get(shared.clock.now(), key)?;
    let version = version_of(shared, origin)?;
    Some(Known { version, source: Source::Own, age: Some(age) })
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

async fn ask<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    keeper: SocketAddr,
    key: Option<streams::StreamKey>,
    service: &names::ServiceId,
) -> Option<wire::OriginAnswer> {
    let asked_at = shared.clock.now();
    let waiter = shared.continuations.pending.register(shared.incarnation);
    let question = wire::OriginQuestion {
        id: waiter.id(),
        stream: key.map_or(0, |key| key.0),
        service: service.clone(),
    };
    for _ in 0..MAX_UNANSWERED_QUESTIONS {
        shared.outbox.send(keeper, &PeerMessage::OriginAsked(question.clone()));
        if let Some(answer) = waiter.response(ANSWER_TIMEOUT).await {
            if let Some(sole) = non_empty(&answer.sole) {
                let mut history = shared.continuations.history.borrow_mut();
                history.record_sole(asked_at, service, &sole);
            }
            return Some(answer);
        }
    }
    tracing::debug!(%keeper, "a router did not answer where a stream began");
    None
}

/// Answers another router's question.
pub fn on_question<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    from: SocketAddr,
    question: &wire::OriginQuestion,
) {
    let key = streams::StreamKey(question.stream);
    let known = {
        let origins = shared.continuations.origins.borrow();
        origins.get(now, key).map(|(origin, _)| {
            let version = version_of(shared, origin);
            to_wire(key, &streams::Origin { version, ..origin.clone() })
        })
    };
    let sole = sole_version(shared, &question.service).map(|version| version.0);
    let answer = wire::OriginAnswer {
        id: question.id,
        known: known.into_iter().collect(),
        sole: sole.unwrap_or_default(),
    };
    shared.outbox.send(from, &PeerMessage::OriginAnswer(answer));
}

/// Passes an answer to the request that waits for it.
pub fn on_answer<P>(shared: &router::Shared<P>, answer: wire::OriginAnswer) {
    shared.continuations.pending.resolve(answer.id, answer);
}

/// Remembers where streams of another router began.
pub fn on_origins<P>(shared: &router::Shared<P>, now: Instant, origins: wire::StreamOrigins) {
    let mut kept = shared.continuations.origins.borrow_mut();
    let mut history = shared.continuations.history.borrow_mut();
    for (key, origin) in origins.streams.into_iter().map(from_wire) {
        history.record(now, &origin.service, &origin.target.id, origin.version.as_ref());
        kept.record(now, key, origin);
    }
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
    if sole_version(shared, &origin.service).is_none() {
        tell(shared, [(key, origin.clone())].into_iter());
    }
}

/// Tells the routers that keep them where streams began.
fn tell<P: router::Platform>(
    shared: &router::Shared<P>,
    origins: impl Iterator<Item = (streams::StreamKey, streams::Origin)>,
) {
    let mut by_keeper: BTreeMap<SocketAddr, Vec<wire::StreamOrigin>> = BTreeMap::new();
    for (key, origin) in origins {
        for keeper in keepers::to_tell(shared, key) {
            by_keeper.entry(keeper).or_default().push(to_wire(key, &origin));
        }
    }
    for (keeper, origins) in by_keeper {
        for streams in origins.chunks(MAX_ORIGINS_PER_DATAGRAM) {
            let message = wire::StreamOrigins { streams: streams.to_vec() };
            shared.outbox.send(keeper, &PeerMessage::StreamsBegan(message));
        }
    }
}

/// Records the versions of all targets. Once a service has more than one, the other routers are told of the streams
/// that began before.
pub fn observe_versions<P: router::Platform>(shared: &Rc<router::Shared<P>>, now: Instant) {
    let state = &shared.continuations;
    state.started_at.set(state.started_at.get().or(Some(now)));
    state.history.borrow_mut().observe(now, &shared.view.borrow().targets);
    if is_current(shared, now) {
        state.history.borrow_mut().begin(now, shared.settings.is_first_start);
    }
    let services: Vec<names::ServiceId> = {
        let view = shared.view.borrow();
        let config = view.route_table.as_ref().map(|table| table.config());
        let services = config.into_iter().flat_map(|config| &config.services);
        services.map(|service| service.name.clone()).collect()
    };
    for service in services {
        let is_told = state.told.borrow().contains(&service);
        let is_sole = sole_version(shared, &service).is_some();
        if is_sole {
            state.told.borrow_mut().retain(|told| *told != service);
            continue;
        }
        if is_settling(shared, &service) {
            ask_for_history(shared, &service);
        }
        if !is_told {
            state.told.borrow_mut().push(service.clone());
            let origins = state.origins.borrow();
            let began = origins.of_service(&service);
            tell(shared, began.map(|(key, origin)| (key, origin.clone())));
        }
    }
}

/// Asks other routers for the only version of a service before this router started.
fn ask_for_history<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    service: &names::ServiceId,
) {
    if has_several_versions(shared, service) {
        return;
    }
    for keeper in keepers::to_ask(shared, None) {
        let (shared, service) = (shared.clone(), service.clone());
        tokio::task::spawn_local(async move { drop(ask(&shared, keeper, None, &service).await) });
    }
}

fn has_several_versions<P>(shared: &router::Shared<P>, service: &names::ServiceId) -> bool {
    shared.continuations.history.borrow().has_several(service)
}

/// Records that changes of targets may have been missed: what came is what there is now.
pub fn record_missed_changes<P>(shared: &router::Shared<P>) {
    shared.continuations.history.borrow_mut().interrupt(shared.clock.now());
}

/// Whether the targets are known from a recent read of the store.
fn is_current<P>(shared: &router::Shared<P>, now: Instant) -> bool {
    let max_age = shared.bounds.borrow().drain_within * MAX_TARGETS_AGE_RATIO;
    let age = shared.replicated_records.borrow().since_store_read(now, dialect::Subject::Targets);
    age.is_some_and(|age| age <= max_age)
}

fn sole_version<P: router::Platform>(
    shared: &router::Shared<P>,
    service: &names::ServiceId,
) -> Option<names::SoftwareVersion> {
    let now = shared.clock.now();
    if !is_current(shared, now) {
        return None;
    }
    shared.continuations.history.borrow().sole(now, service).cloned()
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

fn non_empty(version: &smol_str::SmolStr) -> Option<names::SoftwareVersion> {
    (!version.is_empty()).then(|| names::SoftwareVersion(version.clone()))
}

fn to_wire(key: streams::StreamKey, origin: &streams::Origin) -> wire::StreamOrigin {
    wire::StreamOrigin {
        stream: key.0,
        service: origin.service.clone(),
        target: origin.target.id.clone(),
        born: origin.target.started_at_ms,
        version: origin.version.as_ref().map(|version| version.0.clone()).unwrap_or_default(),
    }
}

fn from_wire(origin: wire::StreamOrigin) -> (streams::StreamKey, streams::Origin) {
    let wire::StreamOrigin { stream, service, target, born, version } = origin;
    let target = targets::Incarnation { id: target, started_at_ms: born };
    let version = non_empty(&version);
    (streams::StreamKey(stream), streams::Origin { service, target, version })
}
