//! Exchange between routers of what each learns from targets: their ends under requests and the successes that refute a
//! suspicion ([`crate::suspicion`]), and the limits of requests that they name.
//!
//! Datagrams may be lost, so each report is sent more than once. Nothing is sent while nothing changes.

mod conversions;

use crate::{broadcast, ended_targets, router, status};
use corianderstand_derives::derives;
use corianderstand_fleet::{crashes, exits};
use corianderstand_schema::peers::{self as wire, PeerMessage};
use corianderstand_types::names;
use smol_str::SmolStr;
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::Notify;
use xxhash_rust::xxh3;

/// How often each report is sent.
const SENDS_PER_REPORT: u32 = 3;
/// Keeps a datagram within the usual maximum transmission unit.
const MAX_REPORTS_PER_DATAGRAM: usize = 12;
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
    Success(crashes::Success),
    Limit(names::TargetId, Option<f64>),
}

/// Reports that are still to be sent.
#[derive(Debug)]
pub struct Queue {
    reports: RefCell<VecDeque<(Report, u32)>>,
    /// Reports dropped since the last datagram, as too many targets change at once.
    dropped: Cell<u64>,
    sent_at: Cell<Option<Instant>>,
    /// Wakes the loop that sends them.
    wake: Rc<Notify>,
}

impl Queue {
    /// An empty queue, and the loop to wake when there is something to send.
    pub fn new(wake: Rc<Notify>) -> Self {
        Self {
            reports: RefCell::default(),
            dropped: Cell::default(),
            sent_at: Cell::default(),
            wake,
        }
    }

    fn push(&self, report: Report) {
        let mut reports = self.reports.borrow_mut();
        if reports.len() == MAX_QUEUED_REPORTS {
            reports.pop_front();
            self.dropped.set(self.dropped.get() + 1);
        }
        reports.push_back((report, SENDS_PER_REPORT));
        self.wake.notify_one();
    }

    /// Reports the confirmed end of a target, in place of its broken connection.
    pub fn push_crash(&self, crash: crashes::Crash) {
        self.reports.borrow_mut().retain(|(report, _)| {
            !matches!(report, Report::Suspicion(suspicion)
                if suspicion.fingerprint == crash.fingerprint && suspicion.target == crash.target)
        });
        self.push(Report::Crash(crash));
    }

    /// Reports a broken connection that may be the end of its target.
    pub fn push_suspicion(&self, crash: crashes::Crash) {
        self.push(Report::Suspicion(crash));
    }

    /// Reports a success, in place of earlier ones.
    pub fn push_success(&self, success: crashes::Success) {
        self.drop_successes(&success);
        self.push(Report::Success(success));
    }

    /// Drops the successes of a feature up to one that all routers know.
    fn drop_successes(&self, known: &crashes::Success) {
        self.reports.borrow_mut().retain(|(report, _)| {
            !matches!(report, Report::Success(success)
                if success.feature == known.feature && success.at <= known.at)
        });
    }

    /// Reports the limit of requests that a target names, or that it names none any more.
    pub fn push_limit(&self, target: &names::TargetId, limit: Option<f64>) {
        self.reports.borrow_mut().retain(
            |(report, _)| !matches!(report, Report::Limit(limited, _) if limited == target),
        );
        self.push(Report::Limit(target.clone(), limit));
    }

    /// Returns the next reports to send, if any are due.
    fn next(&self, now: Instant, interval: Duration) -> Vec<Report> {
        let sent_at = self.sent_at.get();
        let is_due = sent_at.is_none_or(|at| now.saturating_duration_since(at) >= interval);
        let mut reports = self.reports.borrow_mut();
        if reports.is_empty() || !is_due {
            return Vec::new();
        }
        self.sent_at.set(Some(now));
        let count = reports.len().min(MAX_REPORTS_PER_DATAGRAM);
        let batch: Vec<(Report, u32)> = reports.drain(..count).collect();
        for (report, sends) in &batch {
            if *sends > 1 {
                reports.push_back((report.clone(), sends - 1));
            }
        }
        batch.into_iter().map(|(report, _)| report).collect()
    }
}

/// Sends queued reports to the other routers.
pub fn send<P: router::Platform>(shared: &router::Shared<P>, now: Instant) {
    let queue = &shared.target_reports;
    let interval = SEND_INTERVAL_PER_ROUTER * shared.peers.borrow().addresses().count() as u32;
    let reports = queue.next(now, interval);
    if reports.is_empty() {
        return;
    }
    let dropped = queue.dropped.take();
    if dropped > 0 {
        tracing::warn!(dropped, "reports of targets dropped: too many targets change at once");
    }
    let message = PeerMessage::TargetReports(conversions::to_update(now, &reports));
    broadcast::send(shared, &message);
}

/// Sends the ends for which requests are blocked or held, the limits of requests in force, and how far the store's records
/// are known, to a router that started, if this is one of the few routers that do. It may not have known the targets when they were reported.
pub fn welcome<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    name: &str,
    addr: SocketAddr,
) {
    let peers = shared.peers.borrow();
    let Some(started_at) = peers.incarnation_seen_at(name) else { return };
    let is_starting = now.saturating_duration_since(started_at) < WELCOME_TIME;
    if !is_starting {
        return;
    }
    let rank = |router: &str| xxh3::xxh3_64(format!("{name} {router}").as_bytes());
    let own = rank(&shared.settings.name);
    let others = peers.greeters(now).filter(|other| other.as_str() != name);
    if others.filter(|other| rank(other) > own).count() >= WELCOMING_ROUTERS {
        return;
    }
    let crashes = shared.suspicion.relevant_crashes();
    let view = shared.view.borrow();
    let limits = view.targets.iter().filter_map(|(_, target)| {
        let limit = target.request_limit?;
        Some(Report::Limit(target.entry.id.clone(), Some(limit.per_s)))
    });
    let reports: Vec<Report> = crashes.into_iter().map(Report::Crash).chain(limits).collect();
    // What it reads from a store that has just come back may be older.
    shared.outbox.send(addr, &PeerMessage::RecordsNews(status::records_update(shared)));
    for batch in reports.chunks(MAX_REPORTS_PER_DATAGRAM) {
        shared.outbox.send(addr, &PeerMessage::TargetReports(conversions::to_update(now, batch)));
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
        let Some(crash) = conversions::to_crash(now, crash) else { continue };
        if !is_confirmed {
            ended_targets::record_reported(shared, now, to_attempt(crash));
            continue;
        }
        let target = crash.target.clone();
        shared.suspicion.record_crash(now, crash);
        ended_targets::record_exit(shared, now, &target, exits::Confirmation::Router);
    }
    for limit in &update.limits {
        apply_limit(shared, now, limit);
    }
    for success in &update.successes {
        let Some(success) = conversions::to_success(now, success) else { continue };
        shared.target_reports.drop_successes(&success);
        shared.suspicion.record_told_success(now, &success);
    }
}

fn apply_limit<P>(shared: &router::Shared<P>, now: Instant, limit: &wire::TargetLimit) {
    let per_s = limit.limited.then(|| f64::from(limit.per_1000_s) / 1_000.0);
    shared.view.borrow_mut().targets.apply_reported_limit(now, &limit.target, per_s);
}

/// The broken attempt behind another router's report; its request id and caller aren't reported.
fn to_attempt(crash: crashes::Crash) -> exits::BrokenAttempt {
    exits::BrokenAttempt {
        request_id: SmolStr::default(),
        fingerprint: crash.fingerprint,
        parts: crash.parts,
        caller: Ipv4Addr::UNSPECIFIED.into(),
        target: crash.target,
        sent_at: crash.sent_at,
        broke_at: crash.ended_at,
        survived: crash.survived,
        observer: crash.observer,
    }
}
