//! Prediction of recurring wakes: calls of a model after a long idle period.

use corianderstand_derives::derives;
use std::collections::{BTreeSet, VecDeque};

pub const DAY_S: u64 = 86_400;
const MIN_IDLE_S: u64 = 30 * 60;
/// Maximum number of wakes kept per model.
const MAX_WAKES: usize = 28;
const LOOKBACK_DAYS: u64 = 14;
/// Wakes closer together than this in time of day belong to one cluster.
const CLUSTER_GAP_S: u64 = 45 * 60;
/// Distinct days that a cluster must cover before it is used for prewarming.
const MIN_CLUSTER_DAYS: usize = 3;
/// Margin added after the latest wake of a cluster.
const WINDOW_SLACK_S: u64 = 5 * 60;

/// A period in which a model is expected to be called.
#[derives(key)]
pub struct PrewarmWindow {
    /// Time at which the model should be ready, in seconds since the Unix epoch.
    pub start_unix_s: u64,
    /// Time until which it should stay loaded, in seconds since the Unix epoch.
    pub end_unix_s: u64,
}

#[derives(wire)]
#[derive(Default)]
pub struct Wakes {
    times: VecDeque<u64>,
    first: Option<u64>,
}

impl Wakes {
    /// Records a call if it is a wake; `gap` is the time since the previous call, if any.
    pub fn record_call(&mut self, unix_s: u64, gap: Option<u64>) {
        self.first.get_or_insert(unix_s);
        if gap.is_some_and(|gap| gap < MIN_IDLE_S) {
            return;
        }
        if self.times.len() >= MAX_WAKES {
            self.times.pop_front();
        }
        self.times.push_back(unix_s);
    }

    /// The next window in which prewarming costs less than cold starts.
    ///
    /// Skips clusters without a wake on the same weekday of the previous week.
    pub fn prewarm_window(&self, unix_s: u64, cold_start_cost: f64) -> Option<PrewarmWindow> {
        let recent: Vec<u64> = self
            .times
            .iter()
            .copied()
            .filter(|t| unix_s.saturating_sub(*t) < LOOKBACK_DAYS * DAY_S)
            .collect();
        let first = self.first?;
        let days_seen =
            ((unix_s / DAY_S).saturating_sub(first / DAY_S)).clamp(1, LOOKBACK_DAYS) as usize;
        cluster_by_time_of_day(&recent)
            .into_iter()
            .filter_map(|cluster| best_window(&cluster, days_seen, cold_start_cost))
            .map(|(start_s, end_s)| next_occurrence(unix_s, start_s, end_s))
            .filter(|window| !self.idle_last_week(first, *window))
            .min()
    }

    fn idle_last_week(&self, first: u64, window: PrewarmWindow) -> bool {
        let week_ago = window.start_unix_s.saturating_sub(7 * DAY_S);
        let span = week_ago.saturating_sub(CLUSTER_GAP_S)
            ..week_ago + CLUSTER_GAP_S + (window.end_unix_s - window.start_unix_s);
        week_ago > first && !self.times.iter().any(|time| span.contains(time))
    }
}

/// Groups wakes by time of day; each cluster is sorted by it.
fn cluster_by_time_of_day(wakes: &[u64]) -> Vec<Vec<u64>> {
    let mut wakes: Vec<u64> = wakes.to_vec();
    wakes.sort_by_key(|wake| wake % DAY_S);
    let mut clusters: Vec<Vec<u64>> = Vec::new();
    for wake in wakes {
        let last = clusters.last().and_then(|cluster| cluster.last()).copied();
        match last {
            Some(last) if wake % DAY_S - last % DAY_S < CLUSTER_GAP_S => {
                clusters.last_mut().expect("a last wake implies a cluster").push(wake);
            }
            _ => clusters.push(vec![wake]),
        }
    }
    clusters
}

/// The start with the lowest expected cost and the end of a cluster's window, in seconds of the day;
/// none if cold starts cost less.
fn best_window(cluster: &[u64], days_seen: usize, cold_start_cost: f64) -> Option<(u64, u64)> {
    let days: BTreeSet<u64> = cluster.iter().map(|wake| wake / DAY_S).collect();
    if days.len() < MIN_CLUSTER_DAYS {
        return None;
    }
    let misses = days_seen.saturating_sub(days.len()) as f64;
    let end_s = cluster.last()? % DAY_S + WINDOW_SLACK_S;
    let cost_starting_at = |start_s: u64| -> f64 {
        let of_wake = |wake: &u64| {
            let time = wake % DAY_S;
            if time < start_s { cold_start_cost } else { (time - start_s) as f64 }
        };
        cluster.iter().map(of_wake).sum::<f64>() + misses * (end_s - start_s) as f64
    };
    let starts = cluster.iter().map(|wake| wake % DAY_S);
    let best = starts.min_by(|a, b| cost_starting_at(*a).total_cmp(&cost_starting_at(*b)))?;
    let without_prewarm = cluster.len() as f64 * cold_start_cost;
    (cost_starting_at(best) < without_prewarm).then_some((best, end_s))
}

/// The next daily occurrence of a window that ends after `unix_s`.
fn next_occurrence(unix_s: u64, start_s: u64, end_s: u64) -> PrewarmWindow {
    let today = unix_s - unix_s % DAY_S;
    let day = if today + end_s > unix_s { today } else { today + DAY_S };
    PrewarmWindow { start_unix_s: day + start_s, end_unix_s: day + end_s }
}
