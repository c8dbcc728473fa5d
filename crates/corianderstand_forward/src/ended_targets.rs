//! Relates targets that ended to the requests that they were running.

use crate::{job, router};
use corianderstand_fleet::{exits, targets};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Time for an agent to report the end of its engine, before the address is probed.
const PROBE_DELAY: Duration = Duration::from_millis(350);

/// Records that the connection of an attempt broke before its response was complete.
pub fn record_broken<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &job::Job,
    in_flight: &job::InFlight<P>,
    events: u64,
) {
    let now = shared.clock.now();
    let Some(target) = in_flight.target() else { return };
    if shared.view.borrow().targets.is_leaving(&target.id) {
        return;
    }
    let attempt = exits::BrokenAttempt {
        request_id: job.request.id.clone(),
        fingerprint: job.fingerprint(),
        caller: job.caller,
        target: target.clone(),
        sent_at: in_flight.started_at(),
        broke_at: now,
        events,
    };
    let confirmation = shared.exits.borrow_mut().record_broken(now, attempt.clone());
    match confirmation {
        Some(confirmation) => record_ended_under(shared, now, &attempt, confirmation),
        None => probe_later(shared, in_flight.key(), target.clone()),
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
    shared.decision_log.target_ended(attempt, confirmation, now);
}

/// Probes the address of a target that has no responsive agent to report its end.
fn probe_later<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    key: targets::TargetKey,
    target: targets::Incarnation,
) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(PROBE_DELAY).await;
        if !shared.exits.borrow_mut().start_probe(shared.clock.now(), &target) {
            return;
        }
        let Some((addr, id)) = shared.target_address(key) else { return };
        if id != target.id {
            return;
        }
        let now = shared.clock.now();
        match shared.connection_pool.lease(now, addr).await {
            Ok(lease) => shared.connection_pool.release(shared.clock.now(), lease, None),
            Err(error) => shared.record_connection_failure(key, &error),
        }
    });
}
