//! What this router knows of requests, and parts of prompts, that end the targets that run them.
//!
//! Joins broken attempts with the ends of targets ([`exits`]), keeps the evidence of all routers ([`crashes`]), and
//! queues what the others are still to be told of.

use crate::{job, peers, target_reports::Queue};
use corianderstand_fleet::{
    crashes::{self, probation},
    exits,
    fingerprint::{Feature, PartId},
    targets,
};
use corianderstand_types::names;
use smol_str::SmolStr;
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Instant,
};

/// Why a request is refused that is blocked as a whole.
const REQUEST_BLOCKED: &str = "the request ended the targets that ran it";
/// Why a request is refused that has a blocked part.
const PART_BLOCKED: &str = "a part of its prompt ended the targets that ran it";

/// Returns why the requests of a block are refused.
pub const fn reason(block: &crashes::Block) -> &'static str {
    match block.feature {
        Feature::Request(_) => REQUEST_BLOCKED,
        Feature::Part(_) => PART_BLOCKED,
    }
}

/// Numbers of blocks in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct BlockCounts {
    /// Requests that are blocked as a whole.
    pub requests: usize,
    /// Parts of prompts.
    pub parts: usize,
}

/// A request that is sent to find out whether a part ends its target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Probe {
    number: u32,
    request_id_hash: u64,
}

/// The last probe of a part that this router sent.
#[derive(Clone, Copy, Debug)]
struct SentProbe {
    /// The end after which it was sent.
    since: Instant,
    probe: Probe,
}

/// Evidence of all routers, and what is still to be told.
pub struct State {
    observer: SmolStr,
    crashes: RefCell<crashes::Crashes>,
    exits: RefCell<exits::Exits>,
    reports: Rc<Queue>,
    /// Probes of the parts that are on probation.
    probes: RefCell<BTreeMap<PartId, SentProbe>>,
}

impl State {
    /// The state of a router that has just started.
    pub fn new(observer: SmolStr, reports: Rc<Queue>) -> Self {
        let (crashes, exits, probes) = Default::default();
        Self { observer, crashes, exits, reports, probes }
    }

    /// Returns why a request is blocked, if it is.
    pub fn block(&self, now: Instant, job: &job::Job) -> Option<crashes::Block> {
        let crashes = self.crashes.borrow();
        if !crashes.has_blocks() {
            return None;
        }
        let mut parts = job.request.shared_parts();
        if let Some(block) = parts.find_map(|part| crashes.block(now, &Feature::Part(part))) {
            return Some(block.clone());
        }
        if !crashes.has_blocked_requests() {
            return None;
        }
        crashes.block(now, &Feature::Request(job.fingerprint())).cloned()
    }

    /// When a request may be sent that may end its target; none if it may be sent now.
    pub fn held_until(
        &self,
        now: Instant,
        job: &job::Job,
        peers: &peers::Peers,
    ) -> Option<Instant> {
        let crashes = self.crashes.borrow();
        let mut until = None;
        if crashes.has_probations() {
            for probation in crashes.probations(job.request.shared_parts()) {
                until = until.max(self.held_for_probe(now, job, &probation, peers));
            }
        }
        if crashes.has_held_requests() {
            until = until.max(crashes.held_until(now, &job.fingerprint()));
        }
        until
    }

    /// When the next probe may be sent; none if the request is the probe of now.
    fn held_for_probe(
        &self,
        now: Instant,
        job: &job::Job,
        probation: &probation::Probation,
        peers: &peers::Peers,
    ) -> Option<Instant> {
        let others = peers.live(now).map(|(name, _)| name.as_str());
        let mut probes = self.probes.borrow_mut();
        let own = Probe { number: probation.probe(now), request_id_hash: job.request_id_hash };
        let is_free = probes.get(&probation.part).is_none_or(|last| {
            (last.since, last.probe.number) != (probation.since, own.number) || last.probe == own
        });
        if is_free && probation.is_elected(now, &self.observer, others) {
            let sent = SentProbe { since: probation.since, probe: own };
            probes.insert(probation.part, sent);
            return None;
        }
        Some(probation.next_probe_at(now))
    }

    /// The parts of a prompt that may have ended a target to which it was sent at a time.
    pub fn accusable(&self, job: &job::Job, sent_at: Instant) -> Vec<crashes::AccusedPart> {
        self.crashes.borrow().accusable(job.request.shared_parts(), sent_at)
    }

    /// Records a broken attempt; returns how the end of its target was confirmed, if it is known.
    pub fn record_broken(
        &self,
        now: Instant,
        attempt: exits::BrokenAttempt,
    ) -> Option<exits::Confirmation> {
        self.exits.borrow_mut().record_broken(now, attempt)
    }

    /// Reports an attempt that broke early before it is known whether its target ended: this router may be
    /// gone by then.
    pub fn report_broken(&self, attempt: &exits::BrokenAttempt) {
        if attempt.survived < crashes::EARLY_END_TIME {
            self.reports.push_suspicion(to_crash(attempt));
        }
    }

    /// Records the end of a target and returns the attempts that broke with it.
    pub fn record_exit(
        &self,
        now: Instant,
        target: &targets::Incarnation,
        confirmation: exits::Confirmation,
    ) -> Vec<exits::BrokenAttempt> {
        self.exits.borrow_mut().record_exit(now, target, confirmation)
    }

    /// Whether the end of a target was confirmed lately.
    pub fn has_ended(&self, target: &targets::Incarnation) -> bool {
        self.exits.borrow().has_ended(target)
    }

    /// Records that a target runs: connections that broke before were not broken by its end.
    pub fn record_running(&self, now: Instant, id: &names::TargetId, started_at_ms: u64) {
        self.exits.borrow_mut().record_running(now, id, started_at_ms);
    }

    /// Starts the probe of a target whose end is unconfirmed; false if there is nothing to probe for.
    pub fn start_probe(&self, now: Instant, target: &targets::Incarnation) -> bool {
        self.exits.borrow_mut().start_probe(now, target)
    }

    /// Records that a target ended while it ran a request, and reports it if this router had sent it.
    pub fn record_ended_under(&self, now: Instant, attempt: &exits::BrokenAttempt) {
        let crash = to_crash(attempt);
        let is_own = crash.observer == self.observer;
        if self.record_crash(now, crash.clone()) && is_own {
            self.reports.push_crash(crash);
        }
    }

    /// Records the end of a target under a request; false if it is known.
    pub fn record_crash(&self, now: Instant, crash: crashes::Crash) -> bool {
        self.update(now, |crashes| crashes.record(now, crash))
    }

    /// Records that a target has been writing on a prompt since a time.
    pub fn record_written(&self, now: Instant, job: &job::Job, since: Instant) {
        for part in job.request.shared_parts() {
            self.record_part_success(now, part, since);
        }
    }

    fn record_part_success(&self, now: Instant, part: PartId, at: Instant) {
        let success = crashes::Success { feature: Feature::Part(part), at };
        self.update(now, |crashes| crashes.record_success(&success));
    }

    /// Records that a request got a complete response, or that a target has been running it for long.
    pub fn record_completed(&self, now: Instant, job: &job::Job) {
        if !self.crashes.borrow().has_suspect_requests() {
            return;
        }
        let fingerprint = job.fingerprint();
        let success = crashes::Success { feature: Feature::Request(fingerprint), at: now };
        if self.update(now, |crashes| crashes.record_success(&success)) {
            tracing::info!(id = %job.request.id, %fingerprint, "suspected request completed");
        }
    }

    /// Records a success that another router told of.
    pub fn record_told_success(&self, now: Instant, success: &crashes::Success) {
        self.update(now, |crashes| crashes.record_told_success(success));
    }

    /// The ends for which requests are blocked or held, for a router that starts.
    pub fn relevant_crashes(&self) -> Vec<crashes::Crash> {
        self.crashes.borrow().relevant_crashes().collect()
    }

    /// Numbers of blocks in force.
    pub fn block_counts(&self, now: Instant) -> BlockCounts {
        let mut counts = BlockCounts::default();
        for block in self.crashes.borrow().blocks(now) {
            match block.feature {
                Feature::Request(_) => counts.requests += 1,
                Feature::Part(_) => counts.parts += 1,
            }
        }
        counts
    }

    /// Changes the evidence, logs what it decides, and queues what refutes the evidence of others.
    fn update<T>(&self, now: Instant, change: impl FnOnce(&mut crashes::Crashes) -> T) -> T {
        let mut crashes = self.crashes.borrow_mut();
        let before: BTreeSet<Feature> = crashes.blocks(now).map(|block| block.feature).collect();
        let result = change(&mut crashes);
        if !crashes.has_probations() {
            self.probes.borrow_mut().clear();
        }
        for success in crashes.take_rebuttals() {
            self.reports.push_success(success);
        }
        for block in crashes.blocks(now).filter(|block| !before.contains(&block.feature)) {
            let last_end_ms = now.saturating_duration_since(block.last_end).as_millis() as u64;
            tracing::warn!(feature = %block.feature, ends = block.ends, last_end_ms,
                noticed_by = ?block.observers, "blocked: targets ended under it");
        }
        for feature in before.iter().filter(|feature| crashes.block(now, feature).is_none()) {
            tracing::info!(%feature, "no longer blocked: something else explains the ends");
        }
        result
    }
}

fn to_crash(attempt: &exits::BrokenAttempt) -> crashes::Crash {
    crashes::Crash {
        fingerprint: attempt.fingerprint,
        parts: attempt.parts.clone(),
        target: attempt.target.clone(),
        sent_at: attempt.sent_at,
        ended_at: attempt.broke_at,
        survived: attempt.survived,
        observer: attempt.observer.clone(),
    }
}
