//! Call histories of models, and predictions of their next call.
//!
//! Each history keeps an exponentially decayed histogram of the gaps between calls, and the times of
//! day of calls after a long idle period.

#[cfg(test)]
mod tests;
mod wakes;

use corianderstand_derives::derives;
use corianderstand_types::weights::Weights;
use std::{collections::BTreeMap, time::Duration};
pub use wakes::PrewarmWindow;
use wakes::Wakes;

/// Number of histogram buckets: two per doubling, from one second to twelve days.
const GAP_BUCKETS: usize = 40;
const DAILY_DECAY_RATIO: f64 = 0.8;
/// Weight of a uniform prior over the buckets, which smooths histograms of few calls.
const PRIOR_WEIGHT: f64 = 1.0;
/// Maximum number of histories; the least recently called is evicted.
pub const MAX_HISTORIES: usize = 1024;
/// Idle replica seconds that cost as much as one second of cold start, at equal weights.
pub const IDLE_S_PER_COLD_START_S: f64 = 30.0;
const MAX_KEEP_ALIVE_S: f64 = 3.0 * 86_400.0;

/// Cost of one cold start, in idle replica seconds.
pub fn cold_start_cost(load_time: Duration, cold_start_weight: u32, idle_weight: u32) -> f64 {
    let ratio = f64::from(cold_start_weight) / f64::from(idle_weight).max(0.01);
    load_time.as_secs_f64() * ratio * IDLE_S_PER_COLD_START_S
}

/// Call statistics of one model.
#[derives(wire)]
pub struct CallHistory {
    gaps: Vec<f32>,
    last_call: Option<u64>,
    day: u64,
    wakes: Wakes,
}

impl Default for CallHistory {
    fn default() -> Self {
        Self { gaps: vec![0.0; GAP_BUCKETS], last_call: None, day: 0, wakes: Wakes::default() }
    }
}

fn bucket_index(seconds: f64) -> usize {
    ((2.0 * seconds.max(1.0).log2()) as usize).min(GAP_BUCKETS - 1)
}

fn bucket_midpoint_s(bucket: usize) -> f64 {
    ((bucket as f64 + 0.5) / 2.0).exp2()
}

fn bucket_end_s(bucket: usize) -> f64 {
    ((bucket as f64 + 1.0) / 2.0).exp2()
}

impl CallHistory {
    /// Records a call at `unix_s`, in seconds since the Unix epoch.
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

    /// The keep-alive time after a call that minimises the expected idle time and cold-start cost,
    /// where a cold start costs `cold_start_cost` idle seconds.
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

    /// Probability of a call within `horizon` of `unix_s`, given the time since the last call.
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

    /// The next window in which to load the model ahead of its first call, if that costs less.
    pub fn prewarm_window(&self, unix_s: u64, cold_start_cost: f64) -> Option<PrewarmWindow> {
        self.wakes.prewarm_window(unix_s, cold_start_cost)
    }
}

/// Call histories by weights, of all models that an agent has served.
#[derives(wire)]
#[derive(Default)]
pub struct CallHistories {
    by_weights: BTreeMap<Weights, CallHistory>,
}

impl CallHistories {
    /// Records a call at `unix_s`, in seconds since the Unix epoch.
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

    /// The history of these weights, if any.
    pub fn find(&self, weights: &Weights) -> Option<&CallHistory> {
        self.by_weights.get(weights)
    }

    /// Iterates over all histories.
    pub fn iter(&self) -> impl Iterator<Item = (&Weights, &CallHistory)> {
        self.by_weights.iter()
    }

    /// Merges a peer's histories; of two for the same weights, the one of more calls is kept.
    pub fn merge(&mut self, other: Self) {
        for (weights, history) in other.by_weights {
            let known = self.by_weights.get(&weights).map_or(0.0, |h| h.gaps.iter().sum());
            if history.gaps.iter().sum::<f32>() > known && self.by_weights.len() < MAX_HISTORIES {
                self.by_weights.insert(weights, history);
            }
        }
    }
}
