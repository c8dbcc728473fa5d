//! The duties of the control lease: taking it, keeping it, planning slots under it.

use crate::{
    appender::{Appender, Identity},
    snapshot::{Current, Snapshot},
};
use corianderstand_schema::records::Body;
use corianderstand_state::plan;
use corianderstand_types::clock::{self, SharedClock};
use std::time::Duration;
use tokio::time;

/// Shortest time between two looks at the lease.
const MIN_TICK: Duration = Duration::from_millis(100);

/// Takes the lease when it is free, and does its duties while it is held.
pub async fn run(identity: Identity, clock: SharedClock, current: Current, appender: Appender) {
    let mut renewed_ms = 0;
    loop {
        let snapshot = current.load();
        let ttl = snapshot.view.deployment.lease_ttl_ms.0;
        if snapshot.caught_up && snapshot.log_up {
            let now_ms = log_now_ms(&snapshot, &clock);
            step(&identity, now_ms, &mut renewed_ms, &snapshot, &appender).await;
        }
        time::sleep((ttl / 6).max(MIN_TICK)).await;
    }
}

fn log_now_ms(snapshot: &Snapshot, clock: &SharedClock) -> u64 {
    clock::unix_ms(clock.wall()).saturating_add_signed(snapshot.log_clock_ms)
}

async fn step(
    identity: &Identity,
    now_ms: u64,
    renewed_ms: &mut u64,
    snapshot: &Snapshot,
    appender: &Appender,
) {
    let lease = &snapshot.state.lease;
    let ttl = snapshot.view.deployment.lease_ttl_ms;
    if !lease.held_by(&identity.writer, identity.incarnation) {
        if lease.holder.is_none() || now_ms >= lease.until_ms {
            let body = Body::LeaseTaken { epoch: lease.epoch + 1, ttl_ms: ttl.as_millis() };
            append(appender, body, ttl.0).await;
        }
        return;
    }
    if now_ms >= *renewed_ms + lease.ttl_ms / 3 {
        *renewed_ms = now_ms;
        append(appender, Body::LeaseRenewed { epoch: lease.epoch }, ttl.0).await;
    }
    for body in plan::plan(&snapshot.state, &snapshot.view, &snapshot.hosts.leaving) {
        append(appender, body, ttl.0).await;
    }
}

async fn append(appender: &Appender, body: Body, timeout: Duration) {
    if let Err(error) = appender.append(body, timeout).await {
        tracing::warn!(%error, "duty record not decided");
    }
}
