//! When models were called, and what that says about the next call.
//!
//! For each model: how long it was idle between calls, as a histogram of recent days, and the
//! times of day at which it woke from a long idle time. Both have bounded room and can be
//! exported, so that a peer can keep them while a process restarts.

#[cfg(test)]
mod tests;
mod wakes;

use corianderstand_derives::derives;
use corianderstand_types::weights::Weights;
use std::{collections::BTreeMap, time::Duration};
pub use wakes::PrewarmWindow;
use wakes::Wakes;

/// Gaps are counted in buckets that double every second one, from one second to twelve days.
const GAP_BUCKETS: usize = 40;
/// What remains of a count after a day, so that the last week or so counts.
const DAILY_DECAY_RATIO: f64 = 0.8;
/// Weight of the assumption that all lengths of gap are alike, against what was seen: a model
/// that was called once or twice must not be judged by that alone.
const PRIOR_WEIGHT: f64 = 1.0;
/// Models whose history is kept; the one not called for longest is dropped beyond it.
pub const MAX_HISTORIES: usize = 1024;
/// Seconds of an idle replica that one second of waiting for a cold start is worth, if a team
/// weighs both measures alike. At 30 a load of 20 s is worth keeping a replica for 10 minutes.
pub const IDLE_S_PER_COLD_START_S: f64 = 30.0;
/// Longest time a replica is kept warm without a call.
const MAX_KEEP_ALIVE_S: f64 = 3.0 * 86_400.0;

/// What one cold start costs, in seconds of an idle replica.
pub fn cold_start_cost(load_time: Duration, cold_start_weight: u32, idle_weight: u32) -> f64 {
    let ratio = f64::from(cold_start_weight) / f64::from(idle_weight).max(0.01);
    load_time.as_secs_f64() * ratio * IDLE_S_PER_COLD_START_S
}

/// The calls of one model.
#[derives(wire)]
pub struct History {
    gaps: Vec<f32>,
    last_call: Option<u64>,
    day: u64,
    wakes: Wakes,
}

impl Default for History {
    fn default() -> Self {
        Self { gaps: vec![0.0; GAP_BUCKETS], last_call: None, day: 0, wakes: Wakes::default() }
    }
}

fn bucket_index(seconds: f64) -> usize {
    ((2.0 * seconds.max(1.0).log2()) as usize).min(GAP_BUCKETS - 1)
}

/// Middle of a bucket, in seconds.
fn bucket_midpoint_s(bucket: usize) -> f64 {
    ((bucket as f64 + 0.5) / 2.0).exp2()
}

/// End of a bucket, in seconds.
fn bucket_end_s(bucket: usize) -> f64 {
    ((bucket as f64 + 1.0) / 2.0).exp2()
}

impl History {
    /// Notes a call at `wall`, in seconds since the Unix epoch.
    pub fn record_call(&mut self, unix_s: u64) {
        self.decay(unix_s);
        let gap = self.last_call.map(|last| unix_s.saturating_sub(last));
        self.wakes.record_call(unix_s, gap);
        if let Some(gap) = gap {
            self.gaps[bucket_index(gap as f64)] += 1.0;
        }
        self.last_call = Some(unix_s);
    }

    fn decay(&mut self, unix_s: u64) {
        let day = unix_s / wakes::DAY_S;
        if day > self.day {
            let factor = DAILY_DECAY_RATIO.powi((day - self.day).min(365) as i32) as f32;
            self.gaps.iter_mut().for_each(|count| *count *= factor);
            self.day = day;
        }
    }

    fn smoothed_counts(&self) -> impl Iterator<Item = f64> + '_ {
        self.gaps.iter().map(|count| f64::from(*count) + PRIOR_WEIGHT / GAP_BUCKETS as f64)
    }

    /// How long to keep the model after a call, if a cold start costs this many idle seconds.
    ///
    /// Made for models that are called now and then. For each time to keep, what it costs is
    /// expected from the model's own gaps: idle time until the next call or until it is dropped,
    /// and a cold start if the next call comes later. The cheapest is taken. One time for all
    /// models would drop some just before each call and keep others through the night.
    pub fn keep_alive_time(&self, cold_start_cost: f64) -> Duration {
        let total: f64 = self.smoothed_counts().sum();
        let (mut idle, mut within, mut best) = (0.0, 0.0, (cold_start_cost, 0.0));
        for (bucket, weight) in self.smoothed_counts().enumerate() {
            idle += weight * bucket_midpoint_s(bucket);
            within += weight;
            let keep_alive = bucket_end_s(bucket);
            let later = (total - within).max(0.0);
            let cost = (idle + later * (keep_alive + cold_start_cost)) / total;
            if cost < best.0 {
                best = (cost, keep_alive);
            }
        }
        Duration::from_secs_f64(best.1.min(MAX_KEEP_ALIVE_S))
    }

    /// Probability of a call within `horizon`, after what has been idle since the last one.
    pub fn probability(&self, unix_s: u64, horizon: Duration) -> f64 {
        let idle = self.last_call.map_or(0, |last| unix_s.saturating_sub(last)) as f64;
        let until = idle + horizon.as_secs_f64();
        let (mut soon, mut all) = (0.0, 0.0);
        for (bucket, weight) in self.smoothed_counts().enumerate() {
            if bucket_midpoint_s(bucket) >= idle {
                all += weight;
                soon += if bucket_midpoint_s(bucket) < until { weight } else { 0.0 };
            }
        }
        if all > 0.0 { soon / all } else { 0.0 }
    }

    /// The time of day, today or tomorrow, in which the model should be loaded before it is
    /// called; `None` if a cold start costs less than waiting for the call.
    pub fn prewarm_window(&self, unix_s: u64, cold_start_cost: f64) -> Option<PrewarmWindow> {
        self.wakes.prewarm_window(unix_s, cold_start_cost)
    }
}

/// The histories of all models that an agent has served.
#[derives(wire)]
#[derive(Default)]
pub struct Histories {
    by_weights: BTreeMap<Weights, History>,
}

impl Histories {
    /// Notes a call.
    pub fn record_call(&mut self, weights: &Weights, unix_s: u64) {
        if !self.by_weights.contains_key(weights) && self.by_weights.len() >= MAX_HISTORIES {
            self.evict_least_recent();
        }
        self.by_weights.entry(weights.clone()).or_default().record_call(unix_s);
    }

    fn evict_least_recent(&mut self) {
        let oldest = self.by_weights.iter().min_by_key(|(_, history)| history.last_call);
        if let Some(weights) = oldest.map(|(weights, _)| weights.clone()) {
            self.by_weights.remove(&weights);
        }
    }

    /// The history of one model.
    pub fn find(&self, weights: &Weights) -> Option<&History> {
        self.by_weights.get(weights)
    }

    /// All histories.
    pub fn iter(&self) -> impl Iterator<Item = (&Weights, &History)> {
        self.by_weights.iter()
    }

    /// Takes over a peer's copy for models of which this process knows less.
    pub fn merge(&mut self, other: Self) {
        for (weights, history) in other.by_weights {
            let known = self.by_weights.get(&weights).map_or(0.0, |h| h.gaps.iter().sum());
            if history.gaps.iter().sum::<f32>() > known && self.by_weights.len() < MAX_HISTORIES {
                self.by_weights.insert(weights, history);
            }
        }
    }
}
