//! Second requests for answers that are late: when one is sent, and within which limit.
//!
//! A request that may be repeated is sent to another target once its answer takes longer than nearly all answers of its
//! service did lately. The operator limits the share of requests for which that is done. A second request never takes
//! the place of one that waits, and is one more attempt for the retry budget and for the route's number of targets.

use corianderstand_derives::derives;
use std::time::{Duration, Instant};

/// Share of the answers that must have come sooner.
const LATE_PERCENTILE: f64 = 0.95;
/// Answers that must be known before the share means anything.
const MIN_ANSWERS: f64 = 40.0;
/// Answers count half after this time.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Bounds of the answer times that are told apart.
const SHORTEST: Duration = Duration::from_millis(1);
const BUCKETS: usize = 64;
/// Ratio of the bounds of two neighbouring buckets: 64 of them reach to 16 s.
const BUCKET_RATIO: f64 = 1.165;
/// Unused second requests that may be sent at once.
const MAX_SAVED: f64 = 4.0;
/// Free slots that a target keeps for requests that come meanwhile.
const KEPT_SLOTS: u32 = 1;

/// How long answers of a service take, by counts that decay.
#[derive(Clone, Debug)]
pub struct AnswerTimes {
    counts: [f64; BUCKETS],
    decayed_at: Option<Instant>,
}

impl Default for AnswerTimes {
    fn default() -> Self {
        Self { counts: [0.0; BUCKETS], decayed_at: None }
    }
}

impl AnswerTimes {
    /// Records how long an answer took.
    pub fn record(&mut self, now: Instant, time: Duration) {
        self.decay(now);
        let ratio = time.as_secs_f64() / SHORTEST.as_secs_f64();
        let bucket = (ratio.max(1.0).ln() / BUCKET_RATIO.ln()) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1.0;
    }

    /// The time within which nearly all answers came; none if too few are known.
    pub fn late_after(&self) -> Option<Duration> {
        let total: f64 = self.counts.iter().sum();
        if total < MIN_ANSWERS {
            return None;
        }
        let mut below = 0.0;
        let bucket = self.counts.iter().position(|count| {
            below += count;
            below >= total * LATE_PERCENTILE
        })?;
        Some(SHORTEST.mul_f64(BUCKET_RATIO.powi(bucket as i32 + 1)))
    }

    /// Decays the counts in steps, so that recording stays cheap.
    fn decay(&mut self, now: Instant) {
        let last = *self.decayed_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last);
        if elapsed < HALF_LIFE / 8 {
            return;
        }
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.counts.iter_mut().for_each(|count| *count *= factor);
        self.decayed_at = Some(now);
    }
}

/// What may be sent besides, as a share of the requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    saved: f64,
}

impl Limit {
    /// Counts a request that may be repeated.
    pub fn earn(&mut self, percent: f64) {
        self.saved = (self.saved + percent / 100.0).min(MAX_SAVED);
    }

    /// Whether a second request is within the limit.
    pub fn allows_one(&self) -> bool {
        self.saved >= 1.0
    }

    /// Counts a second request that is sent.
    pub fn spend(&mut self) {
        self.saved = (self.saved - 1.0).max(0.0);
    }
}

/// The second requests of one service.
#[derive(Clone, Debug, Default)]
pub struct Hedging {
    /// How long its answers take.
    pub times: AnswerTimes,
    /// What may be sent besides.
    pub limit: Limit,
}

/// A target that could take a second request.
#[derives(key)]
pub struct Other {
    /// Requests that it can take without queueing any.
    pub free_slots: u32,
    /// Whether it limits its requests.
    pub is_limited: bool,
}

/// What a second request is judged by.
#[derives(key)]
pub struct Situation {
    /// Targets that the request was sent to.
    pub tried: u32,
    /// Targets that it may be sent to.
    pub max_targets: u32,
    /// Whether targets ended while they ran it or a request like it.
    pub is_suspect: bool,
    /// Requests that wait for a target of the service.
    pub waiting: usize,
    /// The target that would be chosen; none if there is none.
    pub other: Option<Other>,
}

/// Why no second request is sent.
#[derives(key)]
pub enum Denial {
    /// The route allows no further target.
    Targets,
    /// It may end the targets that run it.
    Suspect,
    /// Other requests wait.
    Waiting,
    /// No other target can take it now.
    NoTarget,
    /// The operator's limit is reached.
    Limit,
    /// The retry budget of the service is exhausted.
    Budget,
}

impl Denial {
    /// The logged reason.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Targets => "no further target is allowed",
            Self::Suspect => "it may end its targets",
            Self::Waiting => "other requests wait",
            Self::NoTarget => "no other target has a free slot",
            Self::Limit => "the limit of second requests is reached",
            Self::Budget => "the retry budget is exhausted",
        }
    }
}

/// Whether a second request is sent for an answer that is late. The retry budget is asked after that.
pub fn decide(limit: &Limit, situation: &Situation) -> Result<(), Denial> {
    if situation.tried >= situation.max_targets {
        return Err(Denial::Targets);
    }
    if situation.is_suspect {
        return Err(Denial::Suspect);
    }
    if situation.waiting > 0 {
        return Err(Denial::Waiting);
    }
    let is_free = |other: &Other| !other.is_limited && other.free_slots > KEPT_SLOTS;
    if !situation.other.as_ref().is_some_and(is_free) {
        return Err(Denial::NoTarget);
    }
    if !limit.allows_one() {
        return Err(Denial::Limit);
    }
    Ok(())
}
