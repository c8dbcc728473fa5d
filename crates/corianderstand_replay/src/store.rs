//! Simulated weight store with a limit on load starts per second. Loads above the concurrency limit
//! share the store's bandwidth.

use corianderstand_types::weights::Weights;
use std::{collections::BTreeMap, time::Duration};

/// An engine's index and the weights that it loads.
pub type Load = (usize, Weights);

/// Times are relative to the start of the replay.
pub struct Store {
    per_second: u32,
    concurrent: u32,
    slowdown: f64,
    remaining_s: BTreeMap<Load, f64>,
    queued: Vec<(Load, f64)>,
    advanced_to: Duration,
    next_start: Duration,
}

impl Store {
    pub const fn new(per_second: u32, concurrent: u32) -> Self {
        Self {
            per_second,
            concurrent,
            slowdown: 1.0,
            remaining_s: BTreeMap::new(),
            queued: Vec::new(),
            advanced_to: Duration::ZERO,
            next_start: Duration::ZERO,
        }
    }

    pub fn set_slowdown(&mut self, now: Duration, factor: f64) {
        self.advance(now);
        self.slowdown = factor;
    }

    /// Queues a load that takes `seconds` at full speed.
    pub fn start(&mut self, now: Duration, load: Load, seconds: f64) {
        self.advance(now);
        self.queued.push((load, seconds));
        self.admit(now);
    }

    pub fn cancel_loads(&mut self, now: Duration, engine: usize) {
        self.advance(now);
        self.remaining_s.retain(|(loading_engine, _), _| *loading_engine != engine);
        self.queued.retain(|((loading_engine, _), _)| *loading_engine != engine);
    }

    fn admit(&mut self, now: Duration) {
        while !self.queued.is_empty() && now >= self.next_start {
            let (load, seconds) = self.queued.remove(0);
            self.remaining_s.insert(load, seconds);
            self.next_start = now + Duration::from_secs(1) / self.per_second;
        }
    }

    fn speed(&self) -> f64 {
        let active = self.remaining_s.len().max(1) as f64;
        (f64::from(self.concurrent) / active).min(1.0) / self.slowdown
    }

    fn advance(&mut self, now: Duration) {
        let done_s = (now - self.advanced_to).as_secs_f64() * self.speed();
        self.remaining_s.values_mut().for_each(|seconds| *seconds -= done_s);
        self.advanced_to = now;
    }

    pub fn remove_finished(&mut self, now: Duration) -> Vec<Load> {
        self.advance(now);
        self.admit(now);
        let finished = self.remaining_s.iter().filter(|(_, seconds)| **seconds <= 1e-6);
        let finished: Vec<Load> = finished.map(|(load, _)| load.clone()).collect();
        for load in &finished {
            self.remaining_s.remove(load);
        }
        finished
    }

    /// Time at which the next load finishes or may start.
    pub fn next_event(&self) -> Option<Duration> {
        let least = self.remaining_s.values().copied().min_by(f64::total_cmp);
        let end = least.map(|seconds| {
            self.advanced_to + Duration::from_secs_f64((seconds / self.speed()).max(0.0) + 1e-6)
        });
        let start = (!self.queued.is_empty()).then_some(self.next_start);
        end.into_iter().chain(start).min()
    }
}
