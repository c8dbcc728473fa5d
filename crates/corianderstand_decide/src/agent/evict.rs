//! Eviction of idle weights from an engine's memory.

use super::{Action, Agent, Eviction};
use crate::{ledger::Stage, request::SchedulingConfig};
use corianderstand_types::{units::Mib, weights::Weights};
use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

const UTILITY_HORIZON: Duration = Duration::from_secs(30 * 60);

impl Agent {
    /// Unloads idle weights to free `missing` memory, if possible; returns whether it will be free.
    pub(super) fn evict(
        &mut self,
        now: Instant,
        missing: Mib,
        loading: &Weights,
        config: &dyn SchedulingConfig,
        actions: &mut Vec<Action>,
    ) -> bool {
        let unloading = self.ledger.entries().filter(|(_, entry)| entry.stage == Stage::Unloading);
        let mut reclaimable_mib: u64 = unloading.map(|(_, entry)| entry.memory.0).sum();
        reclaimable_mib += self.keep_alive.pending_unload_mib(&self.ledger);
        if reclaimable_mib >= missing.0 {
            return true;
        }
        for (_, weights, memory) in self.victims(now, loading, config) {
            if reclaimable_mib >= missing.0 {
                break;
            }
            reclaimable_mib += memory;
            self.begin_unload(&weights, actions);
        }
        reclaimable_mib >= missing.0
    }

    /// Evictable weights in eviction order, each with its utility and the MiB that it frees.
    fn victims(
        &self,
        now: Instant,
        loading: &Weights,
        config: &dyn SchedulingConfig,
    ) -> Vec<(u64, Weights, u64)> {
        let idle = self.ledger.entries().filter(|(weights, entry)| {
            let needed = weights.model == loading.model && weights.adapter.is_none();
            let free = entry.users == 0 && !self.loads.is_awaited(weights);
            entry.stage == Stage::Ready
                && free
                && !needed
                && !self.keep_alive.is_unload_pending(weights)
        });
        let is_evictable =
            |weights: &&Weights| weights.adapter.is_some() || !self.is_in_use(&weights.model);
        let idle = idle.filter(|(weights, _)| is_evictable(weights));
        let mut victims: Vec<(u64, Weights, u64)> = idle
            .map(|(weights, entry)| {
                let memory = match weights.adapter {
                    Some(_) => entry.memory.0,
                    None => self.group_memory_mib(weights),
                };
                let utility = match self.policy.eviction {
                    Eviction::LeastRecentlyUsed => self.keep_alive.last_used_ms(entry.last_used),
                    Eviction::LowestUtility => self.utility(now, weights, memory, config),
                };
                (utility, weights.clone(), memory)
            })
            .collect();
        // At equal utility the largest is evicted first, so that fewer are evicted.
        victims.sort_by_key(|(utility, weights, memory)| {
            (*utility, Reverse(*memory), weights.clone())
        });
        victims
    }

    fn group_memory_mib(&self, base: &Weights) -> u64 {
        let of_model = self
            .ledger
            .entries()
            .filter(|(w, _)| w.model == base.model && (w.adapter.is_some() || *w == base));
        of_model.map(|(_, entry)| entry.memory.0).sum()
    }

    /// Expected cold-start time avoided by keeping the weights, weighted by cost factor, per GiB.
    fn utility(
        &self,
        now: Instant,
        weights: &Weights,
        memory: u64,
        config: &dyn SchedulingConfig,
    ) -> u64 {
        let factors = config.cost_factors(&weights.model);
        let probability = self.keep_alive.probability(now, weights, UTILITY_HORIZON);
        let load_ms = config.load_time(weights).as_millis() as f64;
        (probability * load_ms * f64::from(factors.cold_start.max(1)) * 1024.0
            / memory.max(1) as f64) as u64
    }
}
