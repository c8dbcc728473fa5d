//! Scheduling configuration read from a view of the settings.

use corianderstand_decide::request::{CostFactors, DEFAULT_SHARE, SchedulingConfig, StoreLimits};
use corianderstand_state::view::View;
use corianderstand_types::{
    names::{ModelId, WorkspaceId},
    units::Mib,
    weights::Weights,
};
use std::time::Duration;

pub struct ViewConfig<'a>(pub &'a View);

impl SchedulingConfig for ViewConfig<'_> {
    fn memory(&self, weights: &Weights) -> Option<Mib> {
        let model = self.0.models.get(&weights.model)?;
        let adapter = weights.adapter.is_some();
        Some(if adapter { model.adapter_memory_mib } else { model.memory_mib })
    }

    fn load_time(&self, weights: &Weights) -> Duration {
        self.0.models.get(&weights.model).map_or(Duration::ZERO, |model| model.load_ms.0)
    }

    fn share(&self, team: &WorkspaceId) -> u32 {
        self.0.teams.get(team).map_or(DEFAULT_SHARE, |team| team.team.share)
    }

    fn total_shares(&self) -> u32 {
        self.0.total_shares
    }

    /// Averages the factors of the teams that may hold replicas of the model.
    fn cost_factors(&self, model: &ModelId) -> CostFactors {
        let demand = self.0.demand(model);
        if demand.teams == 0 {
            return CostFactors::default();
        }
        let (tail, idle) = (demand.weight_tail / demand.teams, demand.weight_idle / demand.teams);
        CostFactors { cold_start: tail, idle }
    }

    fn store(&self) -> StoreLimits {
        let deployment = &self.0.deployment;
        StoreLimits {
            per_second: deployment.weight_loads_per_second,
            concurrent: deployment.weight_concurrent_loads,
            ..StoreLimits::default()
        }
    }
}
