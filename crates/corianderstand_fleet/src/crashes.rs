//! Requests, and parts of prompts, that end the targets that run them.
//!
//! When a target ends, all requests that it was running are suspects, and so are the parts of the prompts on
//! which it had not begun to write: what they share is a [`Feature`]. A feature under which targets end one after another
//! is blocked, unless another one explains these ends as well ([`verdict`]). A target that had been streaming its
//! response for a while had begun to run it without ending, so its end counts for little against the request, and
//! not at all against its parts. A success clears its request and the parts of its prompt: what ends targets each time
//! never has one. All routers exchange their [`Crash`]es and successes and judge by the same rules.
//!
//! Many targets may end at once under a part, so that nothing tells whether it ended them. Then single requests with it
//! are sent as probes ([`probation`]).
//!
//! Requests that wait for a model are all sent when it is there, so the same ones may end together again
//! and again. Those that can't be told apart are sent in alternating windows ([`Crashes::held_until`]).

mod ended;
pub mod probation;
mod successes;
mod suspect;
mod turns;
mod verdict;

use crate::{
    fingerprint::{Feature, Fingerprint, PartId},
    targets::Incarnation,
};
use corianderstand_derives::derives;
use smol_str::SmolStr;
use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// Consecutive early ends after which a request or a part is blocked.
const MAX_CONSECUTIVE_ENDS: usize = 3;
/// Consecutive early ends after which a request is blocked although another one explains them as well.
const MAX_AMBIGUOUS_ENDS: usize = 6;
/// Consecutive ends, early or not, after which a request is blocked.
const MAX_LATE_ENDS: usize = 8;
/// An end is early if it comes within this time after the first event of the response.
pub const EARLY_END_TIME: Duration = Duration::from_millis(500);
/// Time from the first event of a response after which no part of the prompt is taken to end the target. An end
/// between the two is evidence neither for nor against the parts.
pub const WRITING_START_TIME: Duration = Duration::from_millis(200);
/// A target takes longer to begin to write a response: one that ended earlier had ended before it was sent the request.
const MIN_RUN_TIME: Duration = Duration::from_millis(10);
/// Copies of a request may run at the same time: it is also blocked after this many ends in total,
/// if some of them were consecutive.
const MAX_TOTAL_ENDS: usize = 6;
const MIN_CONSECUTIVE_ENDS: usize = 2;
/// Time for which a feature is blocked after the last end.
const BLOCK_TIME: Duration = Duration::from_mins(10);
const MAX_SUSPECT_REQUESTS: usize = 256;
const MAX_SUSPECT_PARTS: usize = 128;
/// Number of refuted ends from which on other routers are told of a success: a router that holds fewer against
/// the part doesn't block it yet.
const MIN_REFUTED_ENDS_OF_PART: usize = 2;

/// A part of a prompt that may have ended a target.
#[derives(key)]
pub struct AccusedPart {
    /// The part.
    pub part: PartId,
    /// Its position in the prompt.
    pub position: u32,
}

/// The end of a target while it ran a request.
#[derives(data)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt that may have ended the target.
    pub parts: Vec<AccusedPart>,
    /// The target that ended.
    pub target: Incarnation,
    /// When the request was sent to the target.
    pub sent_at: Instant,
    /// When the target ended.
    pub ended_at: Instant,
    /// Time from the first event of the response to the end, the longest of all copies of the request;
    /// zero if there was no event.
    pub survived: Duration,
    /// The router that had sent the request.
    pub observer: SmolStr,
}

impl Crash {
    /// Whether the target may have ended because it began to write a response.
    fn may_accuse_parts(&self) -> bool {
        let ran = self.ended_at.saturating_duration_since(self.sent_at);
        ran >= MIN_RUN_TIME && self.survived.is_zero()
    }

    fn end(&self) -> suspect::End {
        suspect::End {
            request: self.fingerprint,
            target: self.target.clone(),
            sent_at: self.sent_at,
            ended_at: self.ended_at,
            survived: self.survived,
            observer: self.observer.clone(),
        }
    }

    fn of_end(feature: Feature, position: u32, end: &suspect::End) -> Self {
        let part = match feature {
            Feature::Request(_) => None,
            Feature::Part(part) => Some(AccusedPart { part, position }),
        };
        Self {
            fingerprint: end.request,
            parts: part.into_iter().collect(),
            target: end.target.clone(),
            sent_at: end.sent_at,
            ended_at: end.ended_at,
            survived: end.survived,
            observer: end.observer.clone(),
        }
    }
}

/// Why requests with a feature are blocked.
#[derives(data)]
pub struct Block {
    /// What they have in common.
    pub feature: Feature,
    /// Number of targets that ended.
    pub ends: usize,
    /// When the last of them ended.
    pub last_end: Instant,
    /// When such requests may be sent again.
    pub until: Instant,
    /// The routers that had sent them.
    pub observers: BTreeSet<SmolStr>,
}

impl Block {
    fn new(feature: Feature, suspect: &suspect::Suspect) -> Self {
        Self {
            feature,
            ends: suspect.ends.len(),
            last_end: suspect.last_end,
            until: suspect.last_end + BLOCK_TIME,
            observers: suspect.ends.iter().map(|end| end.observer.clone()).collect(),
        }
    }
}

/// A feature and when a run with it last succeeded.
#[derives(data)]
pub struct Success {
    /// What the run had in common with others.
    pub feature: Feature,
    /// When its target had begun to write the response without ending.
    pub at: Instant,
}

/// Ends of targets by feature of the requests that they ran.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    suspects: HashMap<Feature, suspect::Suspect>,
    ended: ended::EndedTargets,
    successes: successes::Successes,
    verdict: verdict::Verdict,
    /// Successes that the other routers should know of.
    rebuttals: Vec<Success>,
}

impl Crashes {
    /// Records the end of a target under a request; false if it is known.
    pub fn record(&mut self, now: Instant, crash: Crash) -> bool {
        self.expire(now);
        self.ended.record(&crash.target, crash.ended_at);
        let request = Feature::Request(crash.fingerprint);
        let mut is_news = self.accuse(request, &crash);
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.parts.extend(crash.parts.iter().map(|accused| accused.part));
        }
        if crash.may_accuse_parts() {
            for accused in &crash.parts {
                let feature = Feature::Part(accused.part);
                is_news |= self.accuse(feature, &crash);
                if let Some(suspect) = self.suspects.get_mut(&feature) {
                    suspect.position = suspect.position.max(accused.position);
                }
            }
        }
        if is_news {
            self.judge();
        }
        is_news
    }

    fn accuse(&mut self, feature: Feature, crash: &Crash) -> bool {
        if !self.suspects.contains_key(&feature) {
            self.make_room(feature);
        }
        let succeeded_at = match feature {
            Feature::Request(_) => None,
            Feature::Part(part) => self.successes.last(part),
        };
        let suspect = self
            .suspects
            .entry(feature)
            .or_insert_with(|| suspect::Suspect::new(succeeded_at, crash.ended_at));
        let is_news = suspect.record(crash.end());
        self.collect_rebuttal(feature);
        is_news
    }

    /// The parts of a prompt, in order, that may have ended a target to which it was sent at a time: a success since
    /// then shows that a part did not.
    pub fn accusable(
        &self,
        parts: impl Iterator<Item = PartId>,
        sent_at: Instant,
    ) -> Vec<AccusedPart> {
        let accused = (0..).zip(parts).map(|(position, part)| AccusedPart { part, position });
        accused
            .filter(|accused| self.successes.last(accused.part).is_none_or(|at| at <= sent_at))
            .collect()
    }

    /// Records that a run with a feature succeeded. Returns whether it had been suspected.
    pub fn record_success(&mut self, success: &Success) -> bool {
        let is_news = self.apply_success(success);
        self.collect_rebuttal(success.feature);
        is_news
    }

    /// Records a success that another router told all routers of.
    pub fn record_told_success(&mut self, success: &Success) {
        self.apply_success(success);
        if let Some(suspect) = self.suspects.get_mut(&success.feature) {
            suspect.record_told(success.at);
        }
        self.rebuttals.retain(|own| own.feature != success.feature || own.at > success.at);
    }

    fn apply_success(&mut self, success: &Success) -> bool {
        if let Feature::Part(part) = success.feature {
            self.successes.record(part, success.at);
        }
        let Some(suspect) = self.suspects.get_mut(&success.feature) else { return false };
        let is_news = suspect.record_success(success.at);
        if is_news {
            self.judge();
        }
        is_news
    }

    fn collect_rebuttal(&mut self, feature: Feature) {
        let min = match feature {
            Feature::Request(_) => 1,
            Feature::Part(_) => MIN_REFUTED_ENDS_OF_PART,
        };
        let Some(suspect) = self.suspects.get_mut(&feature) else { return };
        let Some(at) = suspect.take_rebuttal(min) else { return };
        self.rebuttals.retain(|own| own.feature != feature);
        self.rebuttals.push(Success { feature, at });
    }

    /// Takes the successes that the other routers should be told of.
    pub fn take_rebuttals(&mut self) -> Vec<Success> {
        std::mem::take(&mut self.rebuttals)
    }

    /// Whether any request is suspected, so that its successes matter.
    pub fn has_suspect_requests(&self) -> bool {
        self.suspects.iter().any(|(feature, suspect)| {
            matches!(feature, Feature::Request(_)) && !suspect.ends.is_empty()
        })
    }

    /// Whether any request is held.
    pub fn has_held_requests(&self) -> bool {
        !self.verdict.turns.requests().is_empty()
    }

    /// Whether any request is blocked as a whole.
    pub fn has_blocked_requests(&self) -> bool {
        self.verdict.blocks.keys().any(|feature| matches!(feature, Feature::Request(_)))
    }

    /// Whether anything is blocked.
    pub fn has_blocks(&self) -> bool {
        !self.verdict.blocks.is_empty()
    }

    /// Returns why requests with a feature are blocked, if they are.
    pub fn block(&self, now: Instant, feature: &Feature) -> Option<&Block> {
        self.verdict.blocks.get(feature).filter(|block| now < block.until)
    }

    /// When a request may be sent that can't be told apart from another; none if it may be sent now.
    pub fn held_until(&self, now: Instant, fingerprint: &Fingerprint) -> Option<Instant> {
        self.verdict.turns.held_until(now, fingerprint)
    }

    /// The probations of the parts of a prompt.
    pub fn probations(
        &self,
        parts: impl Iterator<Item = PartId>,
    ) -> impl Iterator<Item = probation::Probation> {
        parts.filter_map(|part| self.verdict.probations.get(&part).copied())
    }

    /// Whether any part is on probation.
    pub fn has_probations(&self) -> bool {
        !self.verdict.probations.is_empty()
    }

    /// The blocks in force.
    pub fn blocks(&self, now: Instant) -> impl Iterator<Item = &Block> {
        self.verdict.blocks.values().filter(move |block| now < block.until)
    }

    /// The ends for which requests are blocked or held, for a router that starts.
    pub fn relevant_crashes(&self) -> impl Iterator<Item = Crash> {
        let held = self.verdict.turns.requests().iter().copied().map(Feature::Request);
        let probed = self.verdict.probations.keys().copied().map(Feature::Part);
        let features = self.verdict.blocks.keys().copied().chain(held).chain(probed);
        features.flat_map(|feature| {
            let suspect = self.suspects.get(&feature);
            suspect.into_iter().flat_map(move |suspect| {
                suspect.ends.iter().map(move |end| Crash::of_end(feature, suspect.position, end))
            })
        })
    }

    fn judge(&mut self) {
        let before = &self.verdict.blocks;
        let judge = verdict::Judge::new(&self.suspects, &self.successes, &self.ended, before);
        self.verdict = judge.judge();
    }

    fn expire(&mut self, now: Instant) {
        let count = self.suspects.len();
        self.suspects.retain(|_, suspect| suspect.is_recent(now));
        if self.suspects.len() < count {
            self.judge();
        }
    }

    /// Makes room for a further suspect of the same kind: removes the one with the oldest end, if possible one that is
    /// not blocked.
    fn make_room(&mut self, feature: Feature) {
        let kind = std::mem::discriminant(&feature);
        let max = match feature {
            Feature::Request(_) => MAX_SUSPECT_REQUESTS,
            Feature::Part(_) => MAX_SUSPECT_PARTS,
        };
        let same_kind =
            self.suspects.iter().filter(|(key, _)| std::mem::discriminant(*key) == kind);
        if same_kind.clone().count() < max {
            return;
        }
        let oldest = same_kind.min_by_key(|(key, suspect)| {
            (self.verdict.blocks.contains_key(key), suspect.last_end, **key)
        });
        let Some(key) = oldest.map(|(key, _)| *key) else { return };
        self.suspects.remove(&key);
        self.verdict.blocks.remove(&key);
    }
}
