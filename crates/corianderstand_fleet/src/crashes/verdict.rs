//! Decides which features are blocked.
//!
//! Requests are judged first: a request that explains its ends alone needs no suspicion of the parts that it
//! shares with others. A part is blocked for ends that no repeated request explains. Then the blocks of requests are
//! lifted whose ends a blocked part of other prompts explains.

use super::{
    Block, MAX_AMBIGUOUS_ENDS, MAX_CONSECUTIVE_ENDS, MAX_LATE_ENDS, MAX_TOTAL_ENDS,
    MIN_CONSECUTIVE_ENDS, ended::EndedTargets, probation::Probation, successes::Successes, suspect,
    suspect::Suspect, turns::Turns,
};
use crate::{
    fingerprint::{Feature, Fingerprint, PartId},
    targets::Incarnation,
};
use corianderstand_derives::derives;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Instant,
};

/// Ends after which a part is blocked though only two of them were consecutive: many engines may end under
/// requests that were sent at the same time.
const MAX_TOTAL_ENDS_OF_PART: usize = 5;
/// Ends of a part that no repeated request explains.
const MIN_ENDS_BEYOND_REQUESTS: usize = 2;
/// A part under which fewer of the ended targets ran is a bystander of ends that have another cause.
const MIN_SHARE_OF_ENDS: f64 = 1.0 / 3.0;
/// Runs of which the longest took at most this many times as long as the shortest took about the same time.
const MAX_RATIO_OF_RUN_TIMES: f64 = 2.0;
/// Parts with at least this ratio of the most ends are equally suspect.
const MIN_RATIO_OF_MOST_ENDS: f64 = 2.0 / 3.0;

/// Order in which requests are blocked: by most early ends, then by fewest others.
#[derives(name)]
struct GuiltRank {
    early_ends: usize,
    late_ends: Reverse<usize>,
    targets: BTreeSet<Incarnation>,
}

impl GuiltRank {
    fn new(ends: &[&suspect::End]) -> Self {
        let early_ends = ends.iter().filter(|end| end.is_early()).count();
        Self {
            early_ends,
            late_ends: Reverse(ends.len() - early_ends),
            targets: suspect::targets_of(ends),
        }
    }
}

/// Order in which equally suspect parts are blocked: one that is blocked already, as none of its requests can show
/// that it is harmless; then the one whose last success is the oldest; then one that ended its targets after about the
/// same time; then the one that stands later in its prompts, as fewer requests share it; then the one with most ends.
type PartRank = (bool, Reverse<Option<Instant>>, bool, u32, usize, PartId);

/// What has been decided.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Features that are blocked.
    pub blocks: HashMap<Feature, Block>,
    /// Parts that only probes may have.
    pub probations: BTreeMap<PartId, Probation>,
    /// Requests that take turns.
    pub turns: Turns,
}

/// The evidence, and what has been decided so far.
pub struct Judge<'a> {
    pub suspects: &'a HashMap<Feature, Suspect>,
    pub successes: &'a Successes,
    pub ended: &'a EndedTargets,
    /// What is blocked so far.
    pub before: &'a HashMap<Feature, Block>,
    blocks: HashMap<Feature, Block>,
    /// Targets whose ends the blocked parts explain.
    ended_by_parts: BTreeSet<Incarnation>,
}

impl<'a> Judge<'a> {
    pub fn new(
        suspects: &'a HashMap<Feature, Suspect>,
        successes: &'a Successes,
        ended: &'a EndedTargets,
        before: &'a HashMap<Feature, Block>,
    ) -> Self {
        let (blocks, ended_by_parts) = (HashMap::new(), BTreeSet::new());
        Self { suspects, successes, ended, before, blocks, ended_by_parts }
    }

    /// Decides on all suspects.
    pub fn judge(mut self) -> Verdict {
        let mut explained = self.judge_requests();
        self.judge_parts();
        self.acquit_requests();
        explained.extend(self.ended_by_parts.iter().cloned());
        let turns = self.ambiguous_requests(&explained);
        let probations = self.probations();
        Verdict { blocks: self.blocks, probations, turns }
    }

    fn requests(&self) -> impl Iterator<Item = (Fingerprint, &'a Suspect)> {
        self.suspects.iter().filter_map(|(feature, suspect)| match feature {
            Feature::Request(fingerprint) => Some((*fingerprint, suspect)),
            Feature::Part(_) => None,
        })
    }

    fn open_requests(&self) -> impl Iterator<Item = (Fingerprint, &'a Suspect)> {
        self.requests().filter(|(key, _)| !self.blocks.contains_key(&Feature::Request(*key)))
    }

    fn open_parts(&self) -> impl Iterator<Item = (PartId, &'a Suspect)> {
        self.suspects.iter().filter_map(|(feature, suspect)| match feature {
            Feature::Part(part) if !self.blocks.contains_key(feature) => Some((*part, suspect)),
            _ => None,
        })
    }

    fn block(&mut self, feature: Feature) {
        self.blocks.insert(feature, Block::new(feature, &self.suspects[&feature]));
    }

    /// Blocks the requests that explain the most ends, until the rest is too few or ambiguous; returns the
    /// targets that they explain.
    fn judge_requests(&mut self) -> BTreeSet<Incarnation> {
        let mut explained: BTreeSet<Incarnation> = BTreeSet::new();
        loop {
            let guilty = self.guilty_requests(&explained);
            let Some(best) = guilty.iter().map(|(rank, _)| rank).max().cloned() else { break };
            // Several requests that ended the same targets each time can't be told apart.
            for (rank, key) in guilty {
                if rank == best {
                    self.block(Feature::Request(key));
                }
            }
            explained.extend(best.targets);
        }
        explained
    }

    /// Returns the requests to block for ends that no blocked request explains.
    fn guilty_requests(&self, explained: &BTreeSet<Incarnation>) -> Vec<(GuiltRank, Fingerprint)> {
        let guilty = self.open_requests().filter_map(|(key, suspect)| {
            let is_guilty = self.is_guilty_request(key, suspect, explained);
            is_guilty.then(|| (GuiltRank::new(&suspect.unexplained(explained)), key))
        });
        guilty.collect()
    }

    fn is_guilty_request(
        &self,
        key: Fingerprint,
        suspect: &Suspect,
        explained: &BTreeSet<Incarnation>,
    ) -> bool {
        let early = suspect.early_ends(explained);
        let consecutive = suspect::consecutive_ends(&early);
        if consecutive >= MAX_AMBIGUOUS_ENDS {
            return true;
        }
        let enough = consecutive >= MAX_CONSECUTIVE_ENDS
            || (consecutive >= MIN_CONSECUTIVE_ENDS && early.len() >= MAX_TOTAL_ENDS);
        if enough {
            return !self.has_rival(key, &early);
        }
        let all = suspect.unexplained(explained);
        suspect::consecutive_ends(&all) >= MAX_LATE_ENDS && !self.has_rival(key, &all)
    }

    /// Whether another request ran on these targets too, and did not survive longer on them. It may lack one
    /// of three, as a router that is killed takes with it what it alone had seen, and one of more if it
    /// ended another target instead: each of them may have ended one that failed by itself.
    fn has_rival(&self, key: Fingerprint, ends: &[&suspect::End]) -> bool {
        let mut others = self.open_requests().filter(|(other, _)| *other != key);
        others.any(|(_, other)| {
            let missing = ends.iter().filter(|own| !other.explains(own)).count();
            let ended_another = || other.early_ends(&suspect::targets_of(ends)).len() == 1;
            missing == 0 || missing == 1 && (ends.len() == MAX_CONSECUTIVE_ENDS || ended_another())
        })
    }

    /// Blocks the part that most likely explains the ends, until the rest is too few.
    fn judge_parts(&mut self) {
        while let Some(part) = self.most_suspect(&self.ended_by_parts, is_enough_to_block) {
            let feature = Feature::Part(part);
            self.block(feature);
            self.ended_by_parts.extend(self.targets_of(part));
        }
    }

    /// Parts that would be blocked if their ends had not been at the same time.
    fn probations(&self) -> BTreeMap<PartId, Probation> {
        let mut explained = self.ended_by_parts.clone();
        let mut probations = BTreeMap::new();
        let are_many = |ends: &[&suspect::End]| ends.len() >= MAX_TOTAL_ENDS_OF_PART;
        while let Some(part) = self.most_suspect(&explained, are_many) {
            let since = self.suspects[&Feature::Part(part)].last_end;
            probations.insert(part, Probation { part, since });
            explained.extend(self.targets_of(part));
        }
        probations
    }

    /// The part that most likely explains the ends that are left; none while there are too few. A more likely part
    /// with few ends less is waited for: the report that makes it guilty may still be on its way.
    fn most_suspect(
        &self,
        explained: &BTreeSet<Incarnation>,
        are_enough: impl Fn(&[&suspect::End]) -> bool,
    ) -> Option<PartId> {
        let suspects: Vec<(PartId, Vec<&suspect::End>)> = self
            .open_parts()
            .map(|(part, suspect)| (part, suspect.unexplained(explained)))
            .collect();
        if !suspects.iter().any(|(_, ends)| are_enough(ends)) {
            return None;
        }
        let suspects: Vec<(PartId, usize, bool)> = suspects
            .into_iter()
            .filter(|(part, ends)| self.explains(*part, ends, explained))
            .map(|(part, ends)| (part, ends.len(), are_enough(&ends)))
            .collect();
        let guilty = suspects.iter().filter(|(.., is_enough)| *is_enough);
        let most = guilty.map(|(_, ends, _)| *ends).max()?;
        let min = most as f64 * MIN_RATIO_OF_MOST_ENDS;
        let candidates = suspects.into_iter().filter(|(_, ends, _)| *ends as f64 >= min);
        let best = candidates.max_by_key(|(part, ends, _)| self.rank(*part, *ends));
        best.filter(|(.., is_enough)| *is_enough).map(|(part, ..)| part)
    }

    fn targets_of(&self, part: PartId) -> Vec<Incarnation> {
        let ends = &self.suspects[&Feature::Part(part)].ends;
        ends.iter().map(|end| end.target.clone()).collect()
    }

    fn rank(&self, part: PartId, ends: usize) -> PartRank {
        let position = self.suspects[&Feature::Part(part)].position;
        let is_blocked = self.before.contains_key(&Feature::Part(part));
        let is_steady = has_steady_run_times(&self.suspects[&Feature::Part(part)].ends);
        (is_blocked, Reverse(self.successes.last(part)), is_steady, position, ends, part)
    }

    /// Whether the part, rather than a request or another cause, may explain these ends.
    fn explains(
        &self,
        part: PartId,
        ends: &[&suspect::End],
        explained: &BTreeSet<Incarnation>,
    ) -> bool {
        self.share_of_ends(ends, explained) >= MIN_SHARE_OF_ENDS
            && self.ends_beyond_requests(part, ends) >= MIN_ENDS_BEYOND_REQUESTS
    }

    /// Share of the targets that ended meanwhile.
    fn share_of_ends(&self, ends: &[&suspect::End], explained: &BTreeSet<Incarnation>) -> f64 {
        let times = || ends.iter().map(|end| end.ended_at);
        let (Some(first), Some(last)) = (times().min(), times().max()) else { return 0.0 };
        let all = self.ended.between(first, last);
        let all = all.filter(|target| !explained.contains(target)).count();
        ends.len() as f64 / all.max(ends.len()) as f64
    }

    /// Number of ends that no other request with the part explains, which is blocked or nearly so.
    fn ends_beyond_requests(&self, part: PartId, ends: &[&suspect::End]) -> usize {
        let suspects: Vec<&Suspect> = self
            .requests()
            .filter(|(key, request)| request.parts.contains(&part) && self.is_strong(*key, request))
            .map(|(_, request)| request)
            .collect();
        ends.iter().filter(|end| !suspects.iter().any(|request| request.explains(end))).count()
    }

    /// Whether a request is blocked, or would be if no other one explained its ends.
    fn is_strong(&self, key: Fingerprint, request: &Suspect) -> bool {
        let early = request.early_ends(&BTreeSet::new());
        self.blocks.contains_key(&Feature::Request(key))
            || suspect::consecutive_ends(&early) >= MAX_CONSECUTIVE_ENDS
    }

    /// Lifts the blocks of requests that ended no target beside those that blocked parts of other prompts explain.
    fn acquit_requests(&mut self) {
        if self.ended_by_parts.is_empty() {
            return;
        }
        let acquitted: Vec<Feature> = self
            .requests()
            .filter(|(key, suspect)| {
                let has_blocked_part = suspect
                    .parts
                    .iter()
                    .any(|part| self.blocks.contains_key(&Feature::Part(*part)));
                !has_blocked_part && !self.is_guilty_request(*key, suspect, &self.ended_by_parts)
            })
            .map(|(key, _)| Feature::Request(key))
            .collect();
        for feature in acquitted {
            self.blocks.remove(&feature);
        }
    }

    fn ambiguous_requests(&self, explained: &BTreeSet<Incarnation>) -> Turns {
        let ambiguous: Vec<_> = self
            .open_requests()
            .filter(|(key, suspect)| {
                let early = suspect.early_ends(explained);
                suspect::consecutive_ends(&early) >= MIN_CONSECUTIVE_ENDS
                    && self.has_rival(*key, &early)
            })
            .collect();
        let first_turn_at = ambiguous.iter().map(|(_, suspect)| suspect.last_end).max();
        Turns::new(ambiguous.into_iter().map(|(key, _)| key).collect(), first_turn_at)
    }
}

/// Whether the targets ended after a similar time under each run. Other requests run there at any time before the end.
fn has_steady_run_times(ends: &[suspect::End]) -> bool {
    let run_times = || ends.iter().map(|end| end.ended_at.saturating_duration_since(end.sent_at));
    let (Some(least), Some(most)) = (run_times().min(), run_times().max()) else { return false };
    most <= least.mul_f64(MAX_RATIO_OF_RUN_TIMES)
}

/// Whether the ends of a part are enough to block it. Those under one repeated request count once: all its parts, and
/// the request itself, are as suspect.
fn is_enough_to_block(ends: &[&suspect::End]) -> bool {
    let ends = &suspect::first_of_each_request(ends);
    let consecutive = suspect::consecutive_ends(ends);
    consecutive >= MAX_CONSECUTIVE_ENDS
        || (consecutive >= MIN_CONSECUTIVE_ENDS && ends.len() >= MAX_TOTAL_ENDS_OF_PART)
}
