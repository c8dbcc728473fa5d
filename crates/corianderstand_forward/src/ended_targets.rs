//! Relates targets that ended to the requests that they were running.

use crate::{body_end, job, router, target_reports};
use corianderstand_derives::derives;
use corianderstand_fleet::{exits, targets};
use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Time for an agent to report the end of its engine, before the address is probed.
const AGENT_REPORT_TIME: Duration = Duration::from_millis(350);
/// Time for a process that ends to close its listener, or for a proxy to close a connection to it.
const PROBE_DELAY: Duration = Duration::from_millis(10);

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
    let confirmation = shared.exits.borrow_mut().record_broken(now, attempt.clone());
    match confirmation {
        Some(confirmation) => record_ended_under(shared, now, &attempt, confirmation),
        None => {
            target_reports::record_suspicion(shared, &attempt);
            probe_later(shared, now, in_flight.key(), attempt.target, addr);
        }
    }
}

/// Decides whether an answer is whole. One that its connection leaves open is whole if its target lives on.
pub async fn conclude<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    in_flight: &job::InFlight<P>,
    read: body_end::Read,
) -> Result<body_end::Whole, body_end::Break> {
    let concluded = match read.end() {
        body_end::End::Whole(whole) => Ok(whole),
        body_end::End::Broken(why) => Err(why),
        body_end::End::Open(_) if has_ended(shared, in_flight).await => {
            Err(body_end::Break::TargetEnded)
        }
        body_end::End::Open(open) => Ok(open.presume_whole()),
    };
    shared.decision_log.answer_ended(job, read, concluded, shared.clock.now());
    concluded
}

async fn has_ended<P: router::Platform>(
    shared: &router::Shared<P>,
    in_flight: &job::InFlight<P>,
) -> bool {
    let Some((target, addr)) = in_flight.target() else { return true };
    tokio::time::sleep(PROBE_DELAY).await;
    let is_current = {
        let view = shared.view.borrow();
        let current = view.targets.get(in_flight.key());
        current.is_some_and(|current| current.entry.incarnation().matches(target))
    };
    !is_current || probe(shared, in_flight.key(), target, *addr).await == Probe::Ended
}

#[derives(key)]
enum Probe {
    TakesConnections,
    /// It refuses connections, or something before it closes them at once.
    Ended,
    Unknown,
}

/// Opens a connection for later requests; records the end of a target that refuses it.
async fn probe<P: router::Platform>(
    shared: &router::Shared<P>,
    key: targets::TargetKey,
    target: &targets::Incarnation,
    addr: SocketAddr,
) -> Probe {
    match shared.connection_pool.open(addr).await {
        Ok(lease) => {
            tokio::time::sleep(PROBE_DELAY).await;
            if lease.sender.is_closed() {
                return Probe::Ended;
            }
            shared.connection_pool.release(shared.clock.now(), lease, None);
            Probe::TakesConnections
        }
        Err(error) => {
            shared.record_connection_failure(key, &error);
            if error.kind() != io::ErrorKind::ConnectionRefused {
                return Probe::Unknown;
            }
            record_exit(shared, shared.clock.now(), target, exits::Confirmation::Refused);
            Probe::Ended
        }
    }
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
        record_reported(shared, now, attempt);
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
    let confirmation = shared.exits.borrow_mut().record_broken(now, attempt.clone());
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
    let attempts = shared.exits.borrow_mut().record_exit(now, target, confirmation);
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
    target_reports::record_crash(shared, now, attempt);
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
        if !shared.exits.borrow_mut().start_probe(shared.clock.now(), &target) {
            return;
        }
        let probed = probe(&shared, key, &target, addr).await;
        tracing::debug!(target = %target.id, ?probed, "target probed");
    });
}
