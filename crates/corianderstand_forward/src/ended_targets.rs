//! Relates targets that ended to the requests that they were running.

use crate::{body_end, job, pool, router};
use corianderstand_fleet::{exits, targets};
use corianderstand_types::names;
use http::{Request, header};
use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Time for an agent to report the end of its engine, before the address is probed.
const AGENT_REPORT_TIME: Duration = Duration::from_millis(350);
/// Time for a target to answer a health check, which may wait for a slot.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for a process that ends to close its listener.
const PROBE_DELAY: Duration = Duration::from_millis(10);
/// Times between probes of a target whose end is to be certain, until its agent has reported it.
const CONFIRMATION_DELAYS: [Duration; 4] =
    [PROBE_DELAY, Duration::from_millis(50), Duration::from_millis(150), AGENT_REPORT_TIME];

/// Records that the connection of an attempt broke before its response was complete.
pub fn record_broken<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &job::Job,
    in_flight: &job::InFlight<P>,
    first_event_at: Option<Instant>,
) {
    let now = shared.clock.now();
    let Some((attempt, addr)) = broken_attempt(shared, job, in_flight, first_event_at, now) else {
        return;
    };
    let confirmation = shared.suspicion.record_broken(now, attempt.clone());
    match confirmation {
        Some(confirmation) => record_ended_under(shared, now, &attempt, confirmation),
        None => {
            shared.suspicion.report_broken(&attempt);
            probe_later(shared, now, in_flight.key(), attempt.target, addr);
        }
    }
}

/// Decides whether an answer is whole. One that its connection leaves open is whole if its target answers a health check.
pub async fn conclude<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    in_flight: &job::InFlight<P>,
    read: body_end::Read,
) -> Result<body_end::Whole, body_end::Break> {
    let (concluded, probe) = match read.end() {
        body_end::End::Whole(whole) => (Ok(whole), None),
        body_end::End::Broken(why) => (Err(why), None),
        body_end::End::Open(_) if was_paused_since(shared, in_flight.started_at()) => {
            (Err(body_end::Break::AfterPause), None)
        }
        body_end::End::Open(open) => {
            let probe = probe(shared, job, in_flight).await;
            let concluded = if probe.shows_end() {
                Err(body_end::Break::TargetEnded)
            } else {
                Ok(open.presume_whole())
            };
            (concluded, Some(probe.as_str()))
        }
    };
    shared.decision_log.answer_ended(job, read, concluded, probe, shared.clock.now());
    concluded
}

/// Whether this router was paused since a time.
fn was_paused_since<P: router::Platform>(shared: &router::Shared<P>, since: Instant) -> bool {
    let time = shared.clock.now().saturating_duration_since(since);
    shared.pause_detector.was_paused_within(shared.clock.since_boot(), time)
}

/// What a target did when it was asked whether it is there.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Probe {
    /// It is no longer known, or is another incarnation.
    Replaced,
    Refused,
    /// The connection was reset while it was opened, or closed before an answer, as a proxy before a target that has
    /// ended does.
    Closed,
    AnsweredByAnother,
    Answered,
    /// It is busy: a target that has ended has its connections closed.
    Silent,
}

impl Probe {
    const fn shows_end(self) -> bool {
        !matches!(self, Self::Answered | Self::Silent)
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Refused => "refused",
            Self::Closed => "closed",
            Self::AnsweredByAnother => "answered by another",
            Self::Answered => "answered",
            Self::Silent => "silent",
        }
    }
}

async fn probe<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    in_flight: &job::InFlight<P>,
) -> Probe {
    let Some((target, addr)) = in_flight.target() else { return Probe::Replaced };
    tokio::time::sleep(PROBE_DELAY).await;
    let is_current = {
        let view = shared.view.borrow();
        let current = view.targets.get(in_flight.key());
        current.is_some_and(|current| current.entry.incarnation().matches(target))
    };
    if !is_current {
        return Probe::Replaced;
    }
    let lease = match open(shared, in_flight.key(), target, *addr).await {
        Ok(lease) => lease,
        Err(error) => {
            return match error.kind() {
                io::ErrorKind::ConnectionRefused => Probe::Refused,
                io::ErrorKind::TimedOut => Probe::Silent,
                _ => Probe::Closed,
            };
        }
    };
    match tokio::time::timeout(HEALTH_TIMEOUT, ask_health(shared, job, in_flight.key(), lease))
        .await
    {
        Ok(None) => Probe::Closed,
        Ok(Some(answered_by)) if answered_by.as_ref().is_some_and(|id| *id != target.id) => {
            Probe::AnsweredByAnother
        }
        Ok(Some(_)) => Probe::Answered,
        Err(_) => Probe::Silent,
    }
}

/// Makes certain that a target has ended; else returns why it isn't. A connection that can't be opened in time, or is
/// closed, shows nothing: the target may be full, or the link cut.
pub async fn confirm_end<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    key: targets::TargetKey,
    target: &targets::Incarnation,
    addr: SocketAddr,
) -> Result<(), &'static str> {
    for delay in CONFIRMATION_DELAYS {
        tokio::time::sleep(delay).await;
        if has_ended(shared, target) {
            return Ok(());
        }
        let lease = match open(shared, key, target, addr).await {
            Ok(lease) => lease,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return Ok(()),
            Err(_) => continue,
        };
        let asked = tokio::time::timeout(HEALTH_TIMEOUT, ask_health(shared, job, key, lease));
        match asked.await {
            Ok(Some(Some(id))) if id != target.id => return Ok(()),
            Ok(Some(_)) => return Err("its engine lives"),
            Ok(None) | Err(_) => {}
        }
    }
    Err("its engine may not have ended")
}

/// Whether a target is known to have ended, or to have started again since.
pub fn has_ended<P>(shared: &router::Shared<P>, target: &targets::Incarnation) -> bool {
    let view = shared.view.borrow();
    let current = view.targets.key(&target.id).and_then(|key| view.targets.get(key));
    let is_replaced = target.started_at_ms > 0
        && current.is_some_and(|current| current.entry.started_at_ms > target.started_at_ms);
    is_replaced || shared.suspicion.has_ended(target)
}

/// Asks for the health of a target and returns who answered, if the answer tells; none without an answer.
async fn ask_health<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    key: targets::TargetKey,
    mut lease: pool::Lease,
) -> Option<Option<names::TargetId>> {
    let path = {
        let view = shared.view.borrow();
        view.service(&job.service).map(|service| service.health_path.clone()).unwrap_or_default()
    };
    let req = Request::builder().uri(path.as_str()).header(header::HOST, lease.addr.to_string());
    let Ok(req) = req.body(pool::Body::default()) else {
        tracing::debug!(%path, "the service's health path is no valid URI: its targets can't be asked");
        return Some(None);
    };
    match lease.sender.send_request(req).await {
        Ok(response) => {
            let head = shared.platform.parse_response(response.status(), response.headers());
            shared.record_answered_leaving(key, &head);
            shared.record_rest(key, job, &head);
            Some(head.target)
        }
        Err(error) => {
            tracing::debug!(addr = %lease.addr, %error, "no answer to a health check");
            None
        }
    }
}

/// Opens a connection; records the end of a target that refuses it.
async fn open<P: router::Platform>(
    shared: &router::Shared<P>,
    key: targets::TargetKey,
    target: &targets::Incarnation,
    addr: SocketAddr,
) -> Result<pool::Lease, io::Error> {
    let opened = shared.connection_pool.open(addr).await;
    if let Err(error) = &opened {
        shared.record_connection_failure(key, error);
        if error.kind() == io::ErrorKind::ConnectionRefused {
            record_exit(shared, shared.clock.now(), target, exits::Confirmation::Refused);
        }
    }
    opened
}

/// Records that a target failed an attempt with an error: it may end because of the request all the
/// same.
pub fn record_failed<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    in_flight: &job::InFlight<P>,
) {
    let now = shared.clock.now();
    if let Some((attempt, _)) = broken_attempt(shared, job, in_flight, None, now) {
        // It ended after its response, so no part of the prompt ended it as it began to write.
        record_reported(shared, now, exits::BrokenAttempt { parts: Vec::new(), ..attempt });
    }
}

/// The attempt and the target's address; none if the target is leaving anyway.
fn broken_attempt<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    in_flight: &job::InFlight<P>,
    first_event_at: Option<Instant>,
    now: Instant,
) -> Option<(exits::BrokenAttempt, SocketAddr)> {
    let (target, addr) = in_flight.target()?;
    if shared.view.borrow().targets.is_leaving(&target.id) {
        return None;
    }
    let attempt = exits::BrokenAttempt {
        request_id: job.request.id.clone(),
        fingerprint: job.fingerprint(),
        parts: shared.suspicion.accusable(job, in_flight.started_at()),
        caller: job.caller,
        target: target.clone(),
        sent_at: in_flight.started_at(),
        broke_at: now,
        survived: first_event_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
        observer: shared.settings.name.clone(),
    };
    Some((attempt, *addr))
}

/// Records a broken attempt without reporting it: another router's, or one that may be no evidence.
pub fn record_reported<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    attempt: exits::BrokenAttempt,
) {
    let confirmation = shared.suspicion.record_broken(now, attempt.clone());
    if let Some(confirmation) = confirmation {
        record_ended_under(shared, now, &attempt, confirmation);
    }
}

/// Records the end of a target.
pub fn record_exit<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    target: &targets::Incarnation,
    confirmation: exits::Confirmation,
) {
    let attempts = shared.suspicion.record_exit(now, target, confirmation);
    for attempt in attempts {
        record_ended_under(shared, now, &attempt, confirmation);
    }
}

/// Records the ends of the targets that were replaced since the last call.
pub fn record_replaced<P: router::Platform>(shared: &router::Shared<P>, now: Instant) {
    let replaced = shared.view.borrow_mut().targets.take_replaced();
    for target in replaced {
        record_exit(shared, now, &target, exits::Confirmation::Replaced);
    }
}

fn record_ended_under<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    attempt: &exits::BrokenAttempt,
    confirmation: exits::Confirmation,
) {
    if attempt.observer == shared.settings.name {
        shared.decision_log.target_ended(attempt, confirmation, now);
    }
    shared.suspicion.record_ended_under(now, attempt);
}

/// Probes the address of a target whose end is unconfirmed.
fn probe_later<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    now: Instant,
    key: targets::TargetKey,
    target: targets::Incarnation,
    addr: SocketAddr,
) {
    let has_agent = {
        let view = shared.view.borrow();
        view.targets.get(key).is_some_and(|target| target.agent_is_responsive(now))
    };
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(if has_agent { AGENT_REPORT_TIME } else { PROBE_DELAY }).await;
        if !shared.suspicion.start_probe(shared.clock.now(), &target) {
            return;
        }
        if let Ok(lease) = open(&shared, key, &target, addr).await {
            shared.connection_pool.release(shared.clock.now(), lease, None);
        }
    });
}
