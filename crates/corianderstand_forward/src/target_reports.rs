//! Exchange between routers of what each learns from targets: their ends under requests
//! ([`corianderstand_fleet::crashes`]) and the limits of requests that they name.
//!
//! Datagrams may be lost, so each report is sent more than once. Nothing is sent while nothing changes.

use crate::{broadcast, ended_targets, job, router};
use corianderstand_derives::derives;
use corianderstand_fleet::{crashes, exits, fingerprint, targets};
use corianderstand_schema::peers::{self as wire, PeerMessage};
use corianderstand_types::names;
use smol_str::SmolStr;
use std::{
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};
use xxhash_rust::xxh3;

/// How often each report is sent.
const SENDS_PER_REPORT: u32 = 3;
/// Keeps a datagram within the usual maximum transmission unit.
const MAX_REPORTS_PER_DATAGRAM: usize = 16;
const MAX_QUEUED_REPORTS: usize = 256;
/// Limits the datagrams that a router receives while targets end all the time.
const SEND_INTERVAL_PER_ROUTER: Duration = Duration::from_millis(5);
/// A router that starts is sent the relevant ends with each of its updates for this long.
const WELCOME_TIME: Duration = Duration::from_millis(3_500);
/// Number of routers that send them to one that starts.
const WELCOMING_ROUTERS: usize = 2;

#[derives(data)]
enum Report {
    Crash(crashes::Crash),
    /// A connection that broke early, by the end of the target or not.
    Suspicion(crashes::Crash),
    Cleared(fingerprint::Fingerprint),
    Limit(names::TargetId, Option<f64>),
}

/// Reports that are still to be sent.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    reports: VecDeque<(Report, u32)>,
    /// Reports dropped since the last datagram, as too many targets change at once.
    dropped: u64,
    sent_at: Option<Instant>,
}

impl Queue {
    fn push(&mut self, report: Report) {
        if self.reports.len() == MAX_QUEUED_REPORTS {
            self.reports.pop_front();
            self.dropped += 1;
        }
        self.reports.push_back((report, SENDS_PER_REPORT));
    }

    /// Drops the report of a broken connection that a confirmed end replaces.
    fn drop_suspicion(&mut self, crash: &crashes::Crash) {
        self.reports.retain(|(report, _)| {
            !matches!(report, Report::Suspicion(suspicion)
                if suspicion.fingerprint == crash.fingerprint && suspicion.target == crash.target)
        });
    }

    /// Drops the reports of a target's earlier limits.
    fn drop_limits(&mut self, target: &names::TargetId) {
        self.reports.retain(
            |(report, _)| !matches!(report, Report::Limit(limited, _) if limited == target),
        );
    }

    /// Returns the next reports to send.
    fn next(&mut self) -> Vec<Report> {
        let count = self.reports.len().min(MAX_REPORTS_PER_DATAGRAM);
        let batch: Vec<(Report, u32)> = self.reports.drain(..count).collect();
        for (report, sends) in &batch {
            if *sends > 1 {
                self.reports.push_back((report.clone(), sends - 1));
            }
        }
        batch.into_iter().map(|(report, _)| report).collect()
    }
}

/// Records that a target ended while it ran a request.
pub fn record_crash<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    attempt: &exits::BrokenAttempt,
) {
    let crash = to_crash(attempt);
    let is_own = crash.observer == shared.settings.name;
    if apply_crash(shared, now, crash.clone()) && is_own {
        let mut queue = shared.target_reports.borrow_mut();
        queue.drop_suspicion(&crash);
        queue.push(Report::Crash(crash));
        drop(queue);
        shared.control_wake.notify_one();
    }
}

/// Reports a connection that broke early before it is known whether its target ended: this router may
/// be gone by then.
pub fn record_suspicion<P>(shared: &router::Shared<P>, attempt: &exits::BrokenAttempt) {
    if attempt.survived < crashes::EARLY_END_TIME {
        let mut queue = shared.target_reports.borrow_mut();
        queue.push(Report::Suspicion(to_crash(attempt)));
        shared.control_wake.notify_one();
    }
}

fn to_crash(attempt: &exits::BrokenAttempt) -> crashes::Crash {
    crashes::Crash {
        fingerprint: attempt.fingerprint,
        target: attempt.target.clone(),
        sent_at: attempt.sent_at,
        ended_at: attempt.broke_at,
        survived: attempt.survived,
        observer: attempt.observer.clone(),
    }
}

/// Clears a request that got a complete response, or that a target has been running for long.
pub fn record_completed<P: router::Platform>(shared: &router::Shared<P>, job: &job::Job) {
    if !shared.crashes.borrow().has_suspects() {
        return;
    }
    let fingerprint = job.fingerprint();
    if shared.crashes.borrow_mut().clear(&fingerprint) {
        tracing::info!(id = %job.request.id, %fingerprint, "suspected request completed");
        shared.target_reports.borrow_mut().push(Report::Cleared(fingerprint));
        shared.control_wake.notify_one();
    }
}

/// Reports the limit of requests that a target names, or that it names none any more.
pub fn record_limit<P>(shared: &router::Shared<P>, target: &names::TargetId, limit: Option<f64>) {
    let report = Report::Limit(target.clone(), limit);
    let mut queue = shared.target_reports.borrow_mut();
    queue.drop_limits(target);
    queue.push(report);
    drop(queue);
    shared.control_wake.notify_one();
}

fn apply_limit<P>(shared: &router::Shared<P>, now: Instant, limit: &wire::TargetLimit) {
    let mut view = shared.view.borrow_mut();
    let Some(key) = view.targets.key(&limit.target) else { return };
    let Some(target) = view.targets.get_mut(key) else { return };
    if limit.limited {
        target.set_request_limit(now, f64::from(limit.per_1000_s) / 1_000.0);
    } else {
        target.request_limit = None;
    }
}

fn apply_crash<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    crash: crashes::Crash,
) -> bool {
    let fingerprint = crash.fingerprint;
    let mut crashes = shared.crashes.borrow_mut();
    let was_blocked = crashes.block(now, &fingerprint).is_some();
    let is_new = crashes.record(now, crash);
    if let Some(block) = crashes.block(now, &fingerprint).filter(|_| is_new && !was_blocked) {
        let last_end_ms = now.saturating_duration_since(block.last_end).as_millis() as u64;
        tracing::warn!(%fingerprint, ends = block.ends, last_end_ms, noticed_by = ?block.observers,
            "request blocked: it ended the targets that ran it");
    }
    is_new
}

/// Sends queued reports to the other routers.
pub fn send<P: router::Platform>(shared: &router::Shared<P>, now: Instant) {
    let interval = SEND_INTERVAL_PER_ROUTER * shared.peers.borrow().addresses().count() as u32;
    let mut queue = shared.target_reports.borrow_mut();
    let is_due = queue.sent_at.is_none_or(|at| now.saturating_duration_since(at) >= interval);
    if queue.reports.is_empty() || !is_due {
        return;
    }
    queue.sent_at = Some(now);
    let dropped = std::mem::take(&mut queue.dropped);
    if dropped > 0 {
        tracing::warn!(dropped, "reports of targets dropped: too many targets change at once");
    }
    let message = PeerMessage::TargetReports(to_update(now, &queue.next()));
    drop(queue);
    broadcast::send(shared, &message);
}

/// Sends the ends for which requests are blocked or held to a router that started, if this is one of
/// the few routers that do.
pub fn welcome<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    name: &str,
    addr: SocketAddr,
) {
    let crashes = shared.crashes.borrow();
    let peers = shared.peers.borrow();
    let Some(started_at) = peers.incarnation_seen_at(name) else { return };
    let is_starting = now.saturating_duration_since(started_at) < WELCOME_TIME;
    if !is_starting || !(crashes.has_blocks() || crashes.has_held_requests()) {
        return;
    }
    let rank = |router: &str| xxh3::xxh3_64(format!("{name} {router}").as_bytes());
    let own = rank(&shared.settings.name);
    let others = peers.greeters(now).filter(|other| other.as_str() != name);
    if others.filter(|other| rank(other) > own).count() >= WELCOMING_ROUTERS {
        return;
    }
    let reports: Vec<Report> = crashes.relevant_crashes().cloned().map(Report::Crash).collect();
    for batch in reports.chunks(MAX_REPORTS_PER_DATAGRAM) {
        shared.outbox.send(addr, &PeerMessage::TargetReports(to_update(now, batch)));
    }
}

/// Applies another router's reports.
pub fn on_update<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    update: wire::TargetReports,
) {
    for crash in update.crashes {
        let is_confirmed = crash.confirmed;
        let Some(crash) = from_wire(now, crash) else { continue };
        if !is_confirmed {
            ended_targets::record_reported(shared, now, to_attempt(crash));
            continue;
        }
        let target = crash.target.clone();
        apply_crash(shared, now, crash);
        ended_targets::record_exit(shared, now, &target, exits::Confirmation::Router);
    }
    for limit in &update.limits {
        apply_limit(shared, now, limit);
    }
    for fingerprint in &update.cleared {
        shared.crashes.borrow_mut().clear(&to_fingerprint(fingerprint));
    }
}

fn to_update(now: Instant, reports: &[Report]) -> wire::TargetReports {
    let mut update =
        wire::TargetReports { crashes: Vec::new(), cleared: Vec::new(), limits: Vec::new() };
    for report in reports {
        match report {
            Report::Crash(crash) => update.crashes.push(to_wire(now, crash, true)),
            Report::Suspicion(crash) => update.crashes.push(to_wire(now, crash, false)),
            Report::Cleared(fingerprint) => update.cleared.push(from_fingerprint(*fingerprint)),
            Report::Limit(target, limit) => update.limits.push(wire::TargetLimit {
                target: target.clone(),
                limited: limit.is_some(),
                per_1000_s: limit.map_or(0, |per_s| (per_s * 1_000.0) as u32),
            }),
        }
    }
    update
}

fn to_wire(now: Instant, crash: &crashes::Crash, confirmed: bool) -> wire::TargetCrash {
    wire::TargetCrash {
        request: from_fingerprint(crash.fingerprint),
        target: crash.target.id.clone(),
        born: crash.target.started_at_ms,
        ran_ms: to_millis(crash.ended_at.saturating_duration_since(crash.sent_at)),
        ended_ms: to_millis(now.saturating_duration_since(crash.ended_at)),
        survived_ms: to_millis(crash.survived),
        observer: crash.observer.as_str().into(),
        confirmed,
    }
}

/// The broken attempt behind another router's report; its request id and caller aren't reported.
fn to_attempt(crash: crashes::Crash) -> exits::BrokenAttempt {
    exits::BrokenAttempt {
        request_id: SmolStr::default(),
        fingerprint: crash.fingerprint,
        parts: Vec::new(),
        caller: Ipv4Addr::UNSPECIFIED.into(),
        target: crash.target,
        sent_at: crash.sent_at,
        broke_at: crash.ended_at,
        survived: crash.survived,
        observer: crash.observer,
    }
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// None if the end is too long ago to be represented.
fn from_wire(now: Instant, crash: wire::TargetCrash) -> Option<crashes::Crash> {
    let ended_at = now.checked_sub(Duration::from_millis(u64::from(crash.ended_ms)))?;
    let sent_at = ended_at.checked_sub(Duration::from_millis(u64::from(crash.ran_ms)))?;
    Some(crashes::Crash {
        fingerprint: to_fingerprint(&crash.request),
        target: targets::Incarnation { id: crash.target, started_at_ms: crash.born },
        sent_at,
        ended_at,
        survived: Duration::from_millis(u64::from(crash.survived_ms)),
        observer: SmolStr::new(crash.observer.as_str()),
    })
}

const fn from_fingerprint(fingerprint: fingerprint::Fingerprint) -> wire::RequestFingerprint {
    wire::RequestFingerprint { high: (fingerprint.0 >> 64) as u64, low: fingerprint.0 as u64 }
}

fn to_fingerprint(fingerprint: &wire::RequestFingerprint) -> fingerprint::Fingerprint {
    let (high, low) = (u128::from(fingerprint.high), u128::from(fingerprint.low));
    fingerprint::Fingerprint(high << 64 | low)
}
