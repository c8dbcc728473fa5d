//! Reservation of slots at targets that limit their requests ([`corianderstand_fleet::request_slots`]).
//!
//! The router that ranks highest for a target keeps its schedule. If it does not answer, the next one is
//! asked. A router that reaches neither sends nothing, as it can't know what the others send.

use crate::{dialect, job, pending, router};
use corianderstand_fleet::{request_slots, targets, wait_limit};
use corianderstand_schema::peers::{self as wire, PeerMessage};
use corianderstand_types::names;
use std::{
    cmp::Reverse,
    net::SocketAddr,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3;

/// Time for a router's response, across availability zones and from a busy host.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(30);
const MAX_ASKED_ROUTERS: usize = 2;
const MAX_UNANSWERED_REQUESTS: u32 = 2;
/// Time until the schedule is asked again if no router answered.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(250);
/// A slot that comes after this multiple of the latency objective is of no use to the caller.
const MAX_WAIT_OBJECTIVES: u32 = 2;
/// Time between sending a request and the first event of its response.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(150);

/// Bounds log lines and reports if a target names another limit in each response.
const MIN_LIMIT_CHANGE_RATIO: f64 = 0.1;

/// Reservations of this router that wait for a response.
pub type PendingSlots = pending::Pending<request_slots::Reservation>;

/// Result of a reservation.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SlotOutcome {
    /// The request may be sent.
    Granted,
    /// The target has changed, or another may take the request sooner.
    ChooseAgain,
    /// The next slot is of no use to the caller.
    TooLate {
        /// When the caller should retry.
        retry_after: Duration,
    },
}

/// Waits for a slot at a target; none is needed if it does not limit its requests.
pub async fn acquire<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    key: targets::TargetKey,
) -> SlotOutcome {
    let now = shared.clock.now();
    let Some((target, per_s, expected_wait)) = limit_of(shared, now, key) else {
        return SlotOutcome::Granted;
    };
    let max_wait = max_wait(shared, job, now);
    if expected_wait > max_wait {
        shared.decision_log.metrics.slot_asked("too late");
        return too_late(job, expected_wait);
    }
    let Some(reservation) = reserve(shared, &target, per_s, max_wait).await else {
        shared.decision_log.metrics.slot_asked("unanswered");
        tracing::debug!(id = %job.request.id, %target, "no router answered for the target's slots");
        set_next_slot(shared, key, UNANSWERED_PAUSE);
        return SlotOutcome::ChooseAgain;
    };
    if !reservation.is_reserved {
        shared.decision_log.metrics.slot_asked("too late");
        set_next_slot(shared, key, reservation.wait);
        return SlotOutcome::ChooseAgain;
    }
    shared.decision_log.metrics.slot_asked("reserved");
    if reservation.wait.is_zero() {
        return SlotOutcome::Granted;
    }
    set_next_slot(shared, key, reservation.wait + request_slots::interval(per_s));
    let slot_at = shared.clock.now() + reservation.wait;
    shared.decision_log.waits_for_slot(job, &target, per_s, reservation.wait, shared.clock.now());
    tokio::time::sleep_until(slot_at.into()).await;
    if shared.may_serve(key, job, shared.clock.now()) {
        SlotOutcome::Granted
    } else {
        SlotOutcome::ChooseAgain
    }
}

fn limit_of<P>(
    shared: &router::Shared<P>,
    now: Instant,
    key: targets::TargetKey,
) -> Option<(names::TargetId, f64, Duration)> {
    let view = shared.view.borrow();
    let target = view.targets.get(key)?;
    let limit = target.request_limit?;
    Some((target.entry.id.clone(), limit.per_s, target.slot_wait(now)))
}

fn set_next_slot<P: router::Platform>(
    shared: &router::Shared<P>,
    key: targets::TargetKey,
    wait: Duration,
) {
    let now = shared.clock.now();
    if let Some(target) = shared.view.borrow_mut().targets.get_mut(key) {
        target.set_next_slot(now + wait);
    }
}

fn max_wait<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    now: Instant,
) -> Duration {
    let left = job.abandoned_at().min(shared.response_deadline(job)).saturating_duration_since(now);
    let in_time = (job.idle_since + job.route.latency_objective * MAX_WAIT_OBJECTIVES)
        .saturating_duration_since(now);
    left.saturating_sub(FIRST_EVENT_TIME).min(in_time)
}

fn too_late(job: &job::Job, wait: Duration) -> SlotOutcome {
    SlotOutcome::TooLate { retry_after: wait_limit::retry_after(wait, job.jitter()) }
}

/// Reserves a slot in the target's schedule; none if no router that may keep it answers.
async fn reserve<P: router::Platform>(
    shared: &router::Shared<P>,
    target: &names::TargetId,
    per_s: f64,
    max_wait: Duration,
) -> Option<request_slots::Reservation> {
    for keeper in schedule_keepers(shared, target) {
        let Some(addr) = keeper else {
            let now = shared.clock.now();
            let per_s = own_rate(shared, now, per_s);
            return Some(
                shared.request_schedule.borrow_mut().reserve(now, target, per_s, max_wait),
            );
        };
        if let Some(reservation) = ask(shared, addr, target, per_s, max_wait).await {
            return Some(reservation);
        }
    }
    None
}

/// The part of a target's limit that this router's schedule may use: routers that it doesn't hear may be cut off and
/// keep a schedule of their own.
fn own_rate<P: router::Platform>(shared: &router::Shared<P>, now: Instant, per_s: f64) -> f64 {
    let peers = shared.peers.borrow();
    // In a large deployment most routers are not heard.
    let view = peers.limit_view(now, true).filter(|_| peers.is_mesh());
    per_s * view.map_or(1.0, |view| view.connected_share())
}

/// The routers that may keep the schedule of a target, in order; none stands for this router.
fn schedule_keepers<P: router::Platform>(
    shared: &router::Shared<P>,
    target: &names::TargetId,
) -> Vec<Option<SocketAddr>> {
    let now = shared.clock.now();
    let rank = |router: &str| Reverse(xxh3::xxh3_64(format!("{target} {router}").as_bytes()));
    let peers = shared.peers.borrow();
    let fit = peers.live(now).filter(|(_, peer)| match &peer.update {
        Some(update) => update.fit,
        // All routers of a large deployment must choose among the same ones, heard or not.
        None => !peers.is_mesh(),
    });
    let mut keepers: Vec<_> = fit.map(|(name, peer)| (rank(name), Some(peer.addr))).collect();
    if shared.stopping.get().is_none() {
        keepers.push((rank(&shared.settings.name), None));
    }
    keepers.sort_by_key(|(rank, _)| *rank);
    keepers.into_iter().map(|(_, addr)| addr).take(MAX_ASKED_ROUTERS).collect()
}

async fn ask<P: router::Platform>(
    shared: &router::Shared<P>,
    addr: SocketAddr,
    target: &names::TargetId,
    per_s: f64,
    max_wait: Duration,
) -> Option<request_slots::Reservation> {
    let waiter = shared.pending_slots.register(shared.incarnation);
    let request = wire::SlotRequest {
        id: waiter.id(),
        target: target.clone(),
        per_1000_s: (per_s * 1_000.0) as u32,
        useful_ms: u32::try_from(max_wait.as_millis()).unwrap_or(u32::MAX),
    };
    for _ in 0..MAX_UNANSWERED_REQUESTS {
        shared.outbox.send(addr, &PeerMessage::SlotAsked(request.clone()));
        if let Some(reservation) = waiter.response(RESPONSE_TIMEOUT).await {
            return Some(reservation);
        }
    }
    None
}

/// Answers another router's reservation.
pub fn on_request<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    from: SocketAddr,
    request: &wire::SlotRequest,
) {
    let per_s = own_rate(shared, now, f64::from(request.per_1000_s) / 1_000.0);
    let max_wait = Duration::from_millis(u64::from(request.useful_ms));
    let mut schedule = shared.request_schedule.borrow_mut();
    let reservation = schedule.reserve(now, &request.target, per_s, max_wait);
    let response = wire::SlotResponse {
        id: request.id,
        reserved: reservation.is_reserved,
        // Rounded up: a wait that is just too long must not look as if it were in time.
        wait_ms: u32::try_from(reservation.wait.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX),
    };
    shared.outbox.send(from, &PeerMessage::SlotAnswer(response));
}

/// Passes a response to the request that waits for it.
pub fn on_response<P>(shared: &router::Shared<P>, response: &wire::SlotResponse) {
    let reservation = request_slots::Reservation {
        wait: Duration::from_millis(u64::from(response.wait_ms)),
        is_reserved: response.reserved,
    };
    shared.pending_slots.resolve(response.id, reservation);
}

/// Records the request limit that a response names, or that it names none any more.
pub fn record_limit<P: router::Platform>(
    shared: &router::Shared<P>,
    key: targets::TargetKey,
    job: &job::Job,
    response: &dialect::ResponseHead,
) {
    let now = shared.clock.now();
    let mut view = shared.view.borrow_mut();
    let Some(target) = view.targets.get_mut(key) else { return };
    if response.target.as_ref().is_some_and(|other| *other != target.entry.id) {
        return;
    }
    let before = target.request_limit.map(|limit| limit.per_s);
    match response.request_limit {
        Some(per_s) => target.set_request_limit(now, per_s),
        // Other responses may come from something else on the way.
        None if response.is_signed || response.not_run => {
            target.lift_request_limit(job.sent_at);
        }
        None => {}
    }
    let after = target.request_limit.map(|limit| limit.per_s);
    if is_notable_change(before, after) {
        let id = target.entry.id.clone();
        tracing::info!(target = %id, per_s = after, before, "target's request limit changed");
        drop(view);
        shared.target_reports.push_limit(&id, after);
    }
}

/// Whether a change of a target's request limit is logged and reported to other routers.
fn is_notable_change(before: Option<f64>, after: Option<f64>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => {
            (before - after).abs() > before.max(after) * MIN_LIMIT_CHANGE_RATIO
        }
        (before, after) => before.is_some() != after.is_some(),
    }
}
