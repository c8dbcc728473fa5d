//! Measurements of a replay: results for callers and resource cost.

use corianderstand_derives::derives;
use smol_str::SmolStr;
use std::{collections::BTreeMap, time::Duration};

/// A call to a model that was idle for at least this long is a wake.
pub const IDLE_GAP: Duration = Duration::from_secs(60);

/// Measurements of one replay.
#[derives(wire)]
#[derive(Default)]
pub struct Outcome {
    /// Name of the strategy.
    #[serde(rename = "way")]
    pub strategy: SmolStr,
    /// Calls in the trace.
    pub calls: u64,
    /// Calls completed within their deadline, on any attempt.
    pub served: u64,
    /// Calls abandoned after repeated refusals.
    pub given_up: u64,
    /// Refusals, including those of calls that were served later.
    pub refusals: u64,
    /// Attempts aborted at their deadline while running.
    pub late: u64,
    /// Attempts whose deadline passed without a response; expected to be zero.
    #[serde(rename = "silent")]
    pub unanswered: u64,
    /// Calls that failed because their host was lost.
    pub broken: u64,
    /// Loads started.
    pub loads: u64,
    /// Time from the first attempt to the first token of each wake, sorted.
    #[serde(skip)]
    pub wake_latencies: Vec<Duration>,
    /// Time from the first attempt to the first token of each call, sorted.
    #[serde(skip)]
    pub first_token_latencies: Vec<Duration>,
    /// Number of wakes.
    pub wake_count: u64,
    /// Wakes that waited for a load.
    pub cold: u64,
    /// Median first-token latency of all wakes.
    pub cold_p50_ms: u64,
    /// 99th percentile of the first-token latency of all wakes.
    pub cold_p99_ms: u64,
    /// Mean first-token latency of all wakes.
    pub cold_mean_ms: u64,
    /// 99th percentile of the first-token latency of all calls.
    pub start_p99_ms: u64,
    /// Accelerator hours of loaded but unused models.
    pub idle_hours: f64,
    /// Calls served in each minute.
    pub served_by_minute: BTreeMap<u64, u64>,
    /// Longest time that each team with ready requests ran below its share.
    #[serde(rename = "share_back_ms")]
    pub longest_share_deficit_ms: BTreeMap<SmolStr, u64>,
}

/// Nearest-rank percentile of sorted values.
pub fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    let index = (sorted.len() * percent).div_ceil(100).max(1) - 1;
    sorted.get(index).copied().unwrap_or_default()
}

/// Wakes with at least this latency count as cold.
const COLD_THRESHOLD: Duration = Duration::from_millis(500);

impl Outcome {
    /// Records the first token of a call.
    pub fn record_first_token(&mut self, is_wake: bool, latency: Duration) {
        self.first_token_latencies.push(latency);
        if is_wake {
            self.wake_latencies.push(latency);
        }
    }

    /// Computes the aggregates after the replay.
    pub fn finish(&mut self) {
        self.wake_latencies.sort_unstable();
        self.first_token_latencies.sort_unstable();
        self.wake_count = self.wake_latencies.len() as u64;
        self.cold =
            self.wake_latencies.iter().filter(|latency| **latency >= COLD_THRESHOLD).count() as u64;
        self.cold_p50_ms = percentile(&self.wake_latencies, 50).as_millis() as u64;
        self.cold_p99_ms = percentile(&self.wake_latencies, 99).as_millis() as u64;
        let sum: Duration = self.wake_latencies.iter().sum();
        self.cold_mean_ms = (sum.as_millis() / (self.wake_latencies.len().max(1) as u128)) as u64;
        self.start_p99_ms = percentile(&self.first_token_latencies, 99).as_millis() as u64;
    }
}
