//! Keep-alive times of idle models, and prewarming.

use super::{Action, Agent, KeepAlive, loads::LoadDemand};
use crate::{
    history::{self, CallHistories, PrewarmWindow},
    ledger::{Ledger, Stage},
    request::SchedulingConfig,
};
use corianderstand_types::weights::Weights;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

const PREWARM_SCAN_INTERVAL: Duration = Duration::from_secs(15);
/// Time before a prewarm window at which the load starts, as a multiple of the load time.
const PREWARM_LEAD_LOADS: u32 = 3;

#[derive(Clone, Debug, Default)]
pub(super) struct KeepAliveState {
    histories: CallHistories,
    unix_time_origin: Option<(Instant, u64)>,
    expiries: BTreeSet<(Instant, Weights)>,
    expiry_by_weights: BTreeMap<Weights, Instant>,
    pending_unloads: BTreeSet<Weights>,
    next_prewarm_scan: Option<Instant>,
    is_rescan_requested: bool,
    windows: BTreeMap<Weights, CachedPrewarmWindow>,
}

/// A prewarm window, cached until `valid_until_unix_s` or the model's next call.
#[derive(Clone, Copy, Debug)]
struct CachedPrewarmWindow {
    window: Option<PrewarmWindow>,
    valid_until_unix_s: u64,
}

const NO_WINDOW_TTL_S: u64 = 3600;

impl KeepAliveState {
    pub fn set_unix_time(&mut self, now: Instant, unix_s: u64) {
        self.unix_time_origin = Some((now, unix_s));
        self.next_prewarm_scan.get_or_insert(now);
    }

    pub const fn request_rescan(&mut self) {
        self.is_rescan_requested = true;
    }

    pub const fn histories(&self) -> &CallHistories {
        &self.histories
    }

    pub fn merge(&mut self, histories: CallHistories) {
        self.histories.merge(histories);
    }

    fn unix_s(&self, now: Instant) -> u64 {
        self.unix_time_origin
            .map_or(0, |(at, unix_s)| unix_s + now.saturating_duration_since(at).as_secs())
    }

    pub fn record_call(&mut self, now: Instant, weights: &Weights) {
        self.unix_time_origin.get_or_insert((now, 0));
        let unix_s = self.unix_s(now);
        self.histories.record_call(weights, unix_s);
        self.windows.remove(weights);
        self.cancel_expiry(weights);
    }

    fn cancel_expiry(&mut self, weights: &Weights) {
        if let Some(at) = self.expiry_by_weights.remove(weights) {
            self.expiries.remove(&(at, weights.clone()));
        }
    }

    fn set_expiry(&mut self, weights: &Weights, at: Instant) {
        self.cancel_expiry(weights);
        self.expiry_by_weights.insert(weights.clone(), at);
        self.expiries.insert((at, weights.clone()));
    }

    pub fn probability(&self, now: Instant, weights: &Weights, horizon: Duration) -> f64 {
        let base = Weights { adapter: None, ..weights.clone() };
        let history = self.histories.find(weights).or_else(|| self.histories.find(&base));
        history.map_or(0.0, |history| history.probability(self.unix_s(now), horizon))
    }

    /// Time of the last use, in milliseconds since the origin of the wall clock.
    pub fn last_used_ms(&self, last_used: Option<Instant>) -> u64 {
        let unix_time_origin = self.unix_time_origin.map(|(at, _)| at);
        let since = last_used
            .zip(unix_time_origin)
            .map(|(at, unix_time_origin)| at.saturating_duration_since(unix_time_origin));
        since.map_or(0, |since| since.as_millis() as u64)
    }

    pub fn is_unload_pending(&self, weights: &Weights) -> bool {
        self.pending_unloads.contains(weights)
    }

    /// Memory of models whose unload waits for their adapters, in MiB.
    pub fn pending_unload_mib(&self, ledger: &Ledger) -> u64 {
        let ready = |weights: &&Weights| {
            ledger.find(weights).is_some_and(|entry| entry.stage == Stage::Ready)
        };
        let pending = self.pending_unloads.iter().filter(ready);
        pending.filter_map(|weights| ledger.find(weights)).map(|entry| entry.memory.0).sum()
    }

    pub fn next_wake(&self) -> Option<Instant> {
        let expiry = self.expiries.first().map(|(at, _)| *at);
        expiry.into_iter().chain(self.next_prewarm_scan).min()
    }
}

impl Agent {
    pub(super) fn schedule_expiry(
        &mut self,
        now: Instant,
        weights: &Weights,
        config: &dyn SchedulingConfig,
    ) {
        let base = Weights { adapter: None, ..weights.clone() };
        if weights.adapter.is_some() || !self.ledger.is_ready(&base) || self.is_in_use(&base.model)
        {
            return;
        }
        if !self.replica_slots.contains(&base.model) {
            // Without a replica slot it would be an unplanned replica.
            self.keep_alive.set_expiry(&base, now);
            return;
        }
        let mut until = now + self.keep_alive_time(&base, config);
        if self.policy.keep_alive == KeepAlive::Adaptive {
            let window = self.due_window(now, &base, config);
            until = until.max(window.map_or(now, |(_, until)| until));
        }
        until = until.max(self.loads.demanded_until(&base).unwrap_or(now));
        self.keep_alive.set_expiry(&base, until);
    }

    fn keep_alive_time(&self, weights: &Weights, config: &dyn SchedulingConfig) -> Duration {
        match self.policy.keep_alive {
            KeepAlive::Fixed(time) => time,
            KeepAlive::Adaptive => {
                let cost = self.cold_start_cost(weights, config);
                let unknown = history::CallHistory::default();
                self.keep_alive.histories.find(weights).unwrap_or(&unknown).keep_alive_time(cost)
            }
        }
    }

    fn cold_start_cost(&self, weights: &Weights, config: &dyn SchedulingConfig) -> f64 {
        let factors = config.cost_factors(&weights.model);
        history::cold_start_cost(config.load_time(weights), factors.cold_start, factors.idle)
    }

    fn due_window(
        &mut self,
        now: Instant,
        weights: &Weights,
        config: &dyn SchedulingConfig,
    ) -> Option<(Instant, Instant)> {
        let unix_s = self.keep_alive.unix_s(now);
        let PrewarmWindow { start_unix_s, end_unix_s } =
            self.prewarm_window(unix_s, weights, config)?;
        let lead = config.load_time(weights) * PREWARM_LEAD_LOADS;
        let begin = Duration::from_secs(start_unix_s.saturating_sub(unix_s)).saturating_sub(lead);
        let end = Duration::from_secs(end_unix_s.saturating_sub(unix_s));
        begin.is_zero().then_some((now + begin, now + end))
    }

    fn prewarm_window(
        &mut self,
        unix_s: u64,
        weights: &Weights,
        config: &dyn SchedulingConfig,
    ) -> Option<PrewarmWindow> {
        if let Some(cached) = self.keep_alive.windows.get(weights)
            && unix_s < cached.valid_until_unix_s
        {
            return cached.window;
        }
        let history = self.keep_alive.histories.find(weights)?;
        let window = history.prewarm_window(unix_s, self.cold_start_cost(weights, config));
        let valid_until_unix_s =
            window.map_or(unix_s + NO_WINDOW_TTL_S, |window| window.end_unix_s);
        self.keep_alive
            .windows
            .insert(weights.clone(), CachedPrewarmWindow { window, valid_until_unix_s });
        window
    }

    /// Unloads models whose keep-alive time has expired, and prewarms those that are due.
    pub(super) fn unload_expired(
        &mut self,
        now: Instant,
        config: &dyn SchedulingConfig,
        actions: &mut Vec<Action>,
    ) {
        if std::mem::take(&mut self.keep_alive.is_rescan_requested) {
            self.rescan_idle(now, config);
        }
        while let Some((at, weights)) = self.keep_alive.expiries.first().cloned() {
            if at > now {
                break;
            }
            self.keep_alive.cancel_expiry(&weights);
            if !self.is_in_use(&weights.model) && self.ledger.is_ready(&weights) {
                self.begin_unload(&weights, actions);
            }
        }
        self.continue_unloading(actions);
        if self.keep_alive.next_prewarm_scan.is_some_and(|at| now >= at) {
            self.keep_alive.next_prewarm_scan = Some(now + PREWARM_SCAN_INTERVAL);
            self.loads.drop_expired_demand(now);
            if self.policy.keep_alive == KeepAlive::Adaptive {
                self.prewarm(now, config);
            }
        }
    }

    /// Schedules expiries for all loaded models, as after a restart or a change of replica slots.
    fn rescan_idle(&mut self, now: Instant, config: &dyn SchedulingConfig) {
        let ready =
            self.ledger.entries().filter(|(w, e)| e.stage == Stage::Ready && w.adapter.is_none());
        let bases: Vec<Weights> = ready.map(|(weights, _)| weights.clone()).collect();
        for base in bases {
            self.schedule_expiry(now, &base, config);
        }
    }

    fn prewarm(&mut self, now: Instant, config: &dyn SchedulingConfig) {
        let known = self.keep_alive.histories.iter().map(|(weights, _)| weights);
        let cold = known.filter(|weights| {
            self.replica_slots.contains(&weights.model) && self.ledger.find(weights).is_none()
        });
        let cold: Vec<Weights> = cold.cloned().collect();
        for weights in cold {
            if let Some((_, until)) = self.due_window(now, &weights, config) {
                self.loads.record_demand(&weights, LoadDemand { urgency: 0, until });
            }
        }
    }

    /// Starts to unload an adapter, or a model after its adapters.
    pub(super) fn begin_unload(&mut self, weights: &Weights, actions: &mut Vec<Action>) {
        self.keep_alive.cancel_expiry(weights);
        if weights.adapter.is_some() {
            self.unload(weights, actions);
        } else {
            self.keep_alive.pending_unloads.insert(weights.clone());
            self.continue_unloading(actions);
        }
    }

    /// Unloads the adapters of models that are being unloaded, then the models.
    fn continue_unloading(&mut self, actions: &mut Vec<Action>) {
        if self.keep_alive.pending_unloads.is_empty() {
            return;
        }
        for base in std::mem::take(&mut self.keep_alive.pending_unloads) {
            if self.is_in_use(&base.model) || !self.ledger.is_ready(&base) {
                continue;
            }
            let of_base = |w: &Weights| w.model == base.model && w.adapter.is_some();
            let adapters: Vec<(Weights, Stage)> = self
                .ledger
                .entries()
                .filter(|(weights, _)| of_base(weights))
                .map(|(weights, entry)| (weights.clone(), entry.stage))
                .collect();
            if adapters.is_empty() {
                self.unload(&base, actions);
                continue;
            }
            for (adapter, stage) in adapters {
                if stage == Stage::Ready {
                    self.unload(&adapter, actions);
                }
            }
            self.keep_alive.pending_unloads.insert(base);
        }
    }

    fn unload(&mut self, weights: &Weights, actions: &mut Vec<Action>) {
        let Some(memory) = self.ledger.find(weights).map(|entry| entry.memory) else { return };
        self.ledger.set_stage(weights, Stage::Unloading);
        actions.push(Action::Unload(weights.clone(), memory));
    }
}
