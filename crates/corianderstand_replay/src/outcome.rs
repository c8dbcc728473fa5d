//! What callers met, and what it cost.

use corianderstand_derives::derives;
use smol_str::SmolStr;
use std::{collections::BTreeMap, time::Duration};

/// A call to a model that was not called for this long is a wake.
pub const IDLE_GAP: Duration = Duration::from_secs(60);

/// The outcome of one replay.
#[derives(wire)]
#[derive(Default)]
pub struct Outcome {
    /// The way to decide.
    #[serde(rename = "way")]
    pub strategy: SmolStr,
    /// Calls in the trace.
    pub calls: u64,
    /// Calls answered whole and in time, at the first try or later.
    pub served: u64,
    /// Calls given up after refusals, each told at once.
    pub given_up: u64,
    /// Refusals, also of calls that were served later.
    pub refusals: u64,
    /// Tries that ran over their deadline and were cut off there.
    pub late: u64,
    /// Tries whose deadline passed without any answer: must be none.
    #[serde(rename = "silent")]
    pub unanswered: u64,
    /// Calls whose host was lost under way, and which were told.
    pub broken: u64,
    /// Loads ordered.
    pub loads: u64,
    /// Time from the first asking to the first token of each wake, sorted.
    #[serde(skip)]
    pub wake_latencies: Vec<Duration>,
    /// The same for all calls, sorted.
    #[serde(skip)]
    pub first_token_latencies: Vec<Duration>,
    /// Wakes.
    pub wake_count: u64,
    /// Wakes that waited for a load.
    pub cold: u64,
    /// Median of cold-start latency, over all wakes.
    pub cold_p50_ms: u64,
    /// 99th percentile of cold-start latency, over all wakes.
    pub cold_p99_ms: u64,
    /// Mean of cold-start latency, over all wakes.
    pub cold_mean_ms: u64,
    /// 99th percentile of the time to the first token, over all calls.
    pub start_p99_ms: u64,
    /// Accelerator hours that loaded models stood unused.
    pub idle_hours: f64,
    /// Calls served in time, in each minute.
    pub served_by_minute: BTreeMap<u64, u64>,
    /// Longest time that a team with waiting work was below its share, by team.
    #[serde(rename = "share_back_ms")]
    pub longest_share_deficit_ms: BTreeMap<SmolStr, u64>,
}

/// The value below which this part, in hundredths, of sorted values lies.
pub fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    let index = (sorted.len() * percent).div_ceil(100).max(1) - 1;
    sorted.get(index).copied().unwrap_or_default()
}

/// A wake that took at least this long waited for a load.
const COLD_THRESHOLD: Duration = Duration::from_millis(500);

impl Outcome {
    /// Notes that a call's first token came.
    pub fn record_first_token(&mut self, is_wake: bool, latency: Duration) {
        self.first_token_latencies.push(latency);
        if is_wake {
            self.wake_latencies.push(latency);
        }
    }

    /// Works out the sums once all is over.
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
