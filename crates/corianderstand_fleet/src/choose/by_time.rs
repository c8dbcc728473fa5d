//! Choice among targets by predicted time.
//!
//! What a router knows of a target is some hundred milliseconds old, and all routers know nearly the same. One that
//! always took the best target would take the same one as all others. So two candidates are drawn, in proportion to
//! what each has to spare, and the better of the two is taken.

use super::{Holder, Query};
use crate::{health, predict, targets};
use corianderstand_derives::derives;
use std::time::Instant;
use xxhash_rust::xxh3;

/// Weight of a target's failure score above the lowest among the candidates, as a part of the predicted time.
const FAILURE_SCORE_WEIGHT: f64 = 3.0;
/// Part of the predicted time that a target costs which limits its requests; it is in need.
const REQUEST_LIMIT_COST: f64 = 0.5;
/// Part of the predicted time that bytes from another availability zone cost.
const CROSS_ZONE_COST: f64 = 0.1;
/// Part of the predicted time that is random, as two targets are often all that hold a model.
const JITTER: f64 = 0.2;
/// Part of its capacity that a target is taken to have to spare at least.
const MIN_SPARE: f64 = 0.02;

/// How well a target is expected to serve a request; targets of the first grade that any has are drawn from.
#[derives(key)]
pub enum Grade {
    /// Within all objectives.
    OnTime,
    /// The first event is late, or some pause is too long.
    Late,
    /// It fails too many requests.
    Failing,
}

/// A target that can take the request.
#[derives(data)]
#[derive(Copy)]
pub struct Candidate {
    /// The target.
    pub key: targets::TargetKey,
    /// How well it serves the request.
    pub grade: Grade,
    /// Predicted times.
    pub predicted: predict::Prediction,
    /// Part of its slots, or memory, that the request would leave taken.
    pub load: f64,
    /// What it costs beyond time, as a part of the predicted time.
    pub penalty: f64,
    /// Work that it has to spare, relative to the others.
    pub spare: f64,
    hash: u64,
}

impl Candidate {
    /// Cost of the request there, in seconds.
    pub fn cost(&self) -> f64 {
        self.predicted.finish_s
            * (1.0 + self.penalty)
            * (1.0 + JITTER * uniform(self.hash.rotate_left(32)))
    }

    /// Position in a random order in which a candidate with twice as much to spare comes first twice as often.
    pub fn position(&self) -> f64 {
        -uniform(self.hash).ln() / self.spare
    }

    /// A bound of the position: a number's logarithm is at most the number less one.
    fn least_position(&self) -> f64 {
        (1.0 - uniform(self.hash)) / self.spare
    }
}

/// Predicts the request's times at each target.
pub fn candidates(
    now: Instant,
    holders: &[Holder],
    query: &Query,
    work: &predict::Work,
) -> Vec<Candidate> {
    let failure_scores: Vec<f64> =
        holders.iter().map(|(_, target)| target.health.failure_score(now)).collect();
    let least_failure_score = failure_scores.iter().copied().fold(f64::INFINITY, f64::min);
    let own_zone = query.zone.as_str();
    let candidate = |(&(key, target), &failure_score): (&Holder, &f64)| {
        let cached = query.cached_prefix.filter(|(holder, _)| *holder == key);
        let cached_tokens = cached.map_or(0, |(_, tokens)| tokens);
        let is_near = target.entry.zone.as_str() == own_zone;
        let predicted = work.usual.predict(now, target, is_near, work, cached_tokens);
        let zone = if is_near { 0.0 } else { CROSS_ZONE_COST };
        let limit = if target.request_limit.is_some() { REQUEST_LIMIT_COST } else { 0.0 };
        let penalty = (failure_score - least_failure_score) * FAILURE_SCORE_WEIGHT + zone + limit;
        let load = load(now, target, query);
        let pace = predicted.relative_time * predicted.slowdown * (1.0 + penalty);
        Candidate {
            key,
            grade: grade(&predicted, failure_score),
            predicted,
            load,
            penalty,
            spare: (1.0 - load).max(MIN_SPARE) / pace,
            hash: xxh3::xxh3_64_with_seed(target.entry.id.as_str().as_bytes(), query.hash),
        }
    };
    holders.iter().zip(&failure_scores).map(candidate).collect()
}

/// A number between 0 and 1.
fn uniform(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}

fn grade(predicted: &predict::Prediction, failure_score: f64) -> Grade {
    if failure_score >= health::EJECTION_THRESHOLD {
        Grade::Failing
    } else if predicted.meets_gap && predicted.meets_first_event {
        Grade::OnTime
    } else {
        Grade::Late
    }
}

fn load(now: Instant, target: &targets::Target, query: &Query) -> f64 {
    let slots = f64::from(target.entry.slots.max(1));
    let batch = f64::from(target.estimated_requests(now) + 1) / slots;
    let memory = match query.cache_tokens {
        0 => 0.0,
        capacity => (target.estimated_tokens(now) + query.tokens) as f64 / capacity as f64,
    };
    batch.max(memory)
}

/// Draws two candidates of the best grade and returns the better one.
pub fn draw(candidates: &[Candidate]) -> Option<&Candidate> {
    let best = candidates.iter().map(|candidate| candidate.grade).min()?;
    let of_grade = candidates.iter().filter(|candidate| candidate.grade == best);
    let mut drawn: [Option<(f64, &Candidate)>; 2] = [None, None];
    for candidate in of_grade {
        // Most come later than both that are drawn so far, which is seen without a logarithm.
        if drawn[1].is_some_and(|(second, _)| candidate.least_position() >= second) {
            continue;
        }
        let position = candidate.position();
        let is_before =
            |other: &Option<(f64, &Candidate)>| other.is_none_or(|(other, _)| position < other);
        if is_before(&drawn[0]) {
            drawn = [Some((position, candidate)), drawn[0]];
        } else if is_before(&drawn[1]) {
            drawn[1] = Some((position, candidate));
        }
    }
    let drawn = drawn.into_iter().flatten().map(|(_, candidate)| candidate);
    drawn.min_by(|a, b| a.cost().total_cmp(&b.cost()))
}
