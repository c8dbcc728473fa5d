//! The evidence against one feature.

use crate::{fingerprint, targets::Incarnation};
use corianderstand_derives::derives;
use smol_str::SmolStr;
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Time for which the ends under a blocked feature count. It exceeds the time of a block, so that one
/// further end blocks again.
const BLOCK_RETENTION: Duration = Duration::from_mins(30);
/// Time for which fewer ends count.
const RETENTION: Duration = Duration::from_mins(5);
/// Number of ends from which on a feature may have been blocked.
const MIN_BLOCKED_ENDS: usize = 3;
const MAX_ENDS: usize = 32;

/// The end of a target while it ran a request with the feature.
#[derives(data)]
pub struct End {
    /// The request.
    pub request: fingerprint::Fingerprint,
    /// The target that ended.
    pub target: Incarnation,
    /// When the request was sent to the target.
    pub sent_at: Instant,
    /// When the target ended.
    pub ended_at: Instant,
    /// Time from the first event of the response to the end; zero if there was no event.
    pub survived: Duration,
    /// The router that had sent the request.
    pub observer: SmolStr,
}

impl End {
    pub fn is_early(&self) -> bool {
        self.survived < super::EARLY_END_TIME
    }
}

/// A feature of requests under which targets ended.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// In the order in which the targets ended.
    pub ends: Vec<End>,
    /// Parts of the request's prompt; none if the feature is a part itself.
    pub parts: BTreeSet<fingerprint::PartId>,
    /// Greatest position of the part in a prompt; zero if the feature is a request.
    pub position: u32,
    /// When the last target ended.
    pub last_end: Instant,
    /// Runs that were sent before this success are no evidence.
    succeeded_at: Option<Instant>,
    /// The last success that all routers were told of.
    told_at: Option<Instant>,
    /// Targets that other routers may hold against the feature, though it succeeded since.
    rebutted: BTreeSet<Incarnation>,
}

impl Suspect {
    pub const fn new(succeeded_at: Option<Instant>, last_end: Instant) -> Self {
        Self {
            ends: Vec::new(),
            parts: BTreeSet::new(),
            position: 0,
            last_end,
            succeeded_at,
            told_at: None,
            rebutted: BTreeSet::new(),
        }
    }

    /// Records an end; false if it is known or no evidence.
    pub fn record(&mut self, end: End) -> bool {
        if self.succeeded_at.is_some_and(|at| end.sent_at < at) {
            if self.told_at.is_none_or(|at| end.sent_at >= at) {
                self.rebutted.insert(end.target);
            }
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|known| known.target == end.target) {
            let was_early = known.is_early();
            known.survived = known.survived.max(end.survived);
            return was_early != known.is_early();
        }
        self.last_end = self.last_end.max(end.ended_at);
        if self.ends.len() == MAX_ENDS {
            self.ends.remove(0);
        }
        self.ends.push(end);
        self.ends.sort_by_key(|end| end.ended_at);
        true
    }

    /// Records that a run succeeded; returns whether it refutes any end.
    pub fn record_success(&mut self, at: Instant) -> bool {
        self.succeeded_at = self.succeeded_at.max(Some(at));
        let (refuted, rest): (Vec<End>, Vec<End>) =
            self.ends.drain(..).partition(|end| end.sent_at < at);
        self.ends = rest;
        let is_news = !refuted.is_empty();
        self.rebutted.extend(refuted.into_iter().map(|end| end.target));
        is_news
    }

    /// Takes the success that other routers should know of, if it refutes at least `min` ends.
    pub fn take_rebuttal(&mut self, min: usize) -> Option<Instant> {
        let at = self.succeeded_at.filter(|_| self.rebutted.len() >= min)?;
        self.record_told(at);
        Some(at)
    }

    /// Records that all routers were told of a success.
    pub fn record_told(&mut self, at: Instant) {
        self.told_at = self.told_at.max(Some(at));
        if self.succeeded_at <= self.told_at {
            self.rebutted.clear();
        }
    }

    /// Whether the feature may have caused the end that another one is suspected of.
    pub fn explains(&self, other: &End) -> bool {
        let mut shared = self.ends.iter().filter(|end| end.target == other.target);
        shared.any(|end| end.is_early() || !other.is_early())
    }

    pub fn is_recent(&self, now: Instant) -> bool {
        let was_blocked = self.ends.len() >= MIN_BLOCKED_ENDS;
        let retention = if was_blocked { BLOCK_RETENTION } else { RETENTION };
        now.saturating_duration_since(self.last_end) < retention
    }

    /// The ends of other targets.
    pub fn unexplained(&self, explained: &BTreeSet<Incarnation>) -> Vec<&End> {
        self.ends.iter().filter(|end| !explained.contains(&end.target)).collect()
    }

    /// The early ends of other targets.
    pub fn early_ends(&self, explained: &BTreeSet<Incarnation>) -> Vec<&End> {
        self.unexplained(explained).into_iter().filter(|end| end.is_early()).collect()
    }
}

pub fn targets_of(ends: &[&End]) -> BTreeSet<Incarnation> {
    ends.iter().map(|end| end.target.clone()).collect()
}

/// The first of the ends under each request.
pub fn first_of_each_request<'a>(ends: &[&'a End]) -> Vec<&'a End> {
    let mut requests = BTreeSet::new();
    ends.iter().copied().filter(|end| requests.insert(end.request)).collect()
}

/// Length of a chain of ends in which each run began after the end before it. Runs at the same time count
/// once: hosts may fail together, but not each time that a request is repeated.
pub fn consecutive_ends(ends: &[&End]) -> usize {
    let mut last_end: Option<Instant> = None;
    let mut count = 0;
    for end in ends {
        if last_end.is_none_or(|at| end.sent_at >= at) {
            count += 1;
            last_end = Some(end.ended_at);
        }
    }
    count
}
