//! Real agents with simulated engines.

use crate::{
    strategies::Strategy,
    trace::{EngineSpec, Header},
};
use corianderstand_decide::{
    agent::{Agent, Limits},
    ledger::Stage,
    request::{CostFactors, RequestKey, SchedulingConfig, StoreLimits},
};
use corianderstand_types::{
    names::{ModelId, WorkspaceId},
    units::Mib,
    weights::Weights,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

const QUEUE_LIMIT: u32 = 256;
const ADAPTER_MIB: u64 = 200;
const ADAPTER_LOAD_TIME: Duration = Duration::from_secs(1);
const SECONDS_PER_HOUR: f64 = 3600.0;

/// Scheduling configuration derived from a trace header.
pub struct TraceConfig {
    models: BTreeMap<ModelId, (u64, Duration, CostFactors)>,
    shares: BTreeMap<WorkspaceId, u32>,
    store: StoreLimits,
}

impl TraceConfig {
    pub fn new(header: &Header, strategy: &Strategy) -> Self {
        let models = header.models.iter().map(|model| {
            let (tail, idle) =
                strategy.cost_factors.unwrap_or((model.weight_tail, model.weight_idle));
            let load = Duration::from_millis(model.load_ms);
            (model.name.clone(), (model.memory_mib, load, CostFactors { cold_start: tail, idle }))
        });
        let shares = header.teams.iter().map(|team| (team.name.clone(), team.share));
        let store = StoreLimits {
            per_second: header.store.per_second,
            concurrent: header.store.concurrent,
            engines: header.engines.len() as u32,
        };
        Self { models: models.collect(), shares: shares.collect(), store }
    }
}

impl SchedulingConfig for TraceConfig {
    fn memory(&self, weights: &Weights) -> Option<Mib> {
        let (memory, ..) = self.models.get(&weights.model)?;
        Some(Mib(if weights.adapter.is_some() { ADAPTER_MIB } else { *memory }))
    }

    fn load_time(&self, weights: &Weights) -> Duration {
        if weights.adapter.is_some() {
            return ADAPTER_LOAD_TIME;
        }
        self.models.get(&weights.model).map_or(Duration::ZERO, |(_, load, _)| *load)
    }

    fn share(&self, team: &WorkspaceId) -> u32 {
        self.shares.get(team).copied().unwrap_or(100)
    }

    fn total_shares(&self) -> u32 {
        self.shares.values().sum()
    }

    fn cost_factors(&self, model: &ModelId) -> CostFactors {
        self.models.get(model).map_or_else(CostFactors::default, |(.., cost_factors)| *cost_factors)
    }

    fn store(&self) -> StoreLimits {
        self.store
    }
}

/// A request at an engine, and where its response goes.
#[derive(Clone, Copy, Debug)]
pub struct InFlightRequest {
    pub caller: usize,
    pub router: usize,
    pub key: RequestKey,
    pub started_at: Option<Duration>,
}

pub struct Engine {
    pub spec: EngineSpec,
    pub agent: Agent,
    /// Factor on the duration of its responses.
    pub slowdown: f64,
    pub alive: bool,
    pub in_flight: HashMap<RequestKey, InFlightRequest>,
    pub scheduled_wake: Option<Duration>,
    pub idle_hours: f64,
    /// Since when a team with ready requests has run below its share.
    pub below_share_since: BTreeMap<WorkspaceId, Duration>,
    idle_counted_until: Duration,
}

impl Engine {
    pub fn new(spec: &EngineSpec, strategy: &Strategy, slots: BTreeSet<ModelId>) -> Self {
        let limits = Limits { concurrency: spec.concurrency, queue: QUEUE_LIMIT };
        let mut agent = Agent::with_policy(limits, Mib(spec.memory_mib), strategy.policy);
        agent.set_replica_slots(slots);
        agent.set_coordinated(strategy.coordinated);
        Self {
            spec: spec.clone(),
            agent,
            slowdown: 1.0,
            alive: true,
            in_flight: HashMap::new(),
            below_share_since: BTreeMap::new(),
            scheduled_wake: None,
            idle_hours: 0.0,
            idle_counted_until: Duration::ZERO,
        }
    }

    /// Adds the time since the last call to the idle hours of loaded but unused weights.
    pub fn accumulate_idle(&mut self, now: Duration) {
        let hours = (now - self.idle_counted_until).as_secs_f64() / SECONDS_PER_HOUR;
        self.idle_counted_until = now;
        if !self.alive || hours <= 0.0 {
            return;
        }
        let idle = self
            .agent
            .ledger()
            .entries()
            .filter(|(_, entry)| entry.users == 0 && entry.stage != Stage::Loading);
        let memory: u64 = idle.map(|(_, entry)| entry.memory.0).sum();
        let fraction = memory as f64 / self.spec.memory_mib as f64;
        self.idle_hours += hours * fraction * f64::from(self.spec.accelerators);
    }

    pub fn next_wake(&self, start: Instant) -> Option<Duration> {
        self.agent.next_wake().map(|at| at.saturating_duration_since(start))
    }
}
