//! What makes room in an engine's memory.

use super::{Action, Agent, Eviction};
use crate::{ledger::Stage, work::Sizes};
use corianderstand_types::{units::Mib, weights::Weights};
use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

/// Look-ahead over which the worth of keeping a model is judged.
const WORTH_HORIZON: Duration = Duration::from_secs(30 * 60);

impl Agent {
    /// Unloads what is least worth keeping of what nobody uses, until enough will be free;
    /// false if that is not enough.
    ///
    /// Made for more models than fit. What is unloaded too soon costs its next caller a load, so
    /// the probability of a call soon and the time of loading again are weighed against the
    /// memory that is won. What runs or is waited for is never unloaded.
    pub(super) fn evict(
        &mut self,
        now: Instant,
        missing: Mib,
        keep: &Weights,
        sizes: &dyn Sizes,
        actions: &mut Vec<Action>,
    ) -> bool {
        let unloading = self.ledger.entries().filter(|(_, entry)| entry.stage == Stage::Unloading);
        let mut coming: u64 = unloading.map(|(_, entry)| entry.memory.0).sum();
        coming += self.keep.leaving(&self.ledger);
        if coming >= missing.0 {
            return true;
        }
        for (_, weights, memory) in self.victims(now, keep, sizes) {
            if coming >= missing.0 {
                break;
            }
            coming += memory;
            self.leave(&weights, actions);
        }
        coming >= missing.0
    }

    /// Models and single adapters that may be unloaded, the least worth first, each with the
    /// memory that comes free.
    fn victims(&self, now: Instant, keep: &Weights, sizes: &dyn Sizes) -> Vec<(u64, Weights, u64)> {
        let idle = self.ledger.entries().filter(|(weights, entry)| {
            let needed = weights.model == keep.model && weights.adapter.is_none();
            let free = entry.users == 0 && !self.loads.is_awaited(weights);
            entry.stage == Stage::Ready && free && !needed && !self.keep.is_leaving(weights)
        });
        let whole =
            |weights: &&Weights| weights.adapter.is_some() || !self.is_in_use(&weights.model);
        let idle = idle.filter(|(weights, _)| whole(weights));
        let mut victims: Vec<(u64, Weights, u64)> = idle
            .map(|(weights, entry)| {
                let memory = match weights.adapter {
                    Some(_) => entry.memory.0,
                    None => self.group_memory(weights),
                };
                let worth = match self.policy.eviction {
                    Eviction::LeastRecent => self.keep.last_used(entry.last_used),
                    Eviction::LeastWorth => self.worth(now, weights, memory, sizes),
                };
                (worth, weights.clone(), memory)
            })
            .collect();
        // Of equal worth the larger goes first, as fewer models are lost.
        victims.sort_by_key(|(worth, weights, memory)| (*worth, Reverse(*memory), weights.clone()));
        victims
    }

    fn group_memory(&self, base: &Weights) -> u64 {
        let of_model = self
            .ledger
            .entries()
            .filter(|(w, _)| w.model == base.model && (w.adapter.is_some() || *w == base));
        of_model.map(|(_, entry)| entry.memory.0).sum()
    }

    /// Expected waiting, weighed by its teams, that keeping it spares for each GiB.
    fn worth(&self, now: Instant, weights: &Weights, memory: u64, sizes: &dyn Sizes) -> u64 {
        let weighing = sizes.weighing(&weights.model);
        let probability = self.keep.probability(now, weights, WORTH_HORIZON);
        let load_ms = sizes.load_time(weights).as_millis() as f64;
        (probability * load_ms * f64::from(weighing.tail.max(1)) * 1024.0 / memory.max(1) as f64)
            as u64
    }
}
