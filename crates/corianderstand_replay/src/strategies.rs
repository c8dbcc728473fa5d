//! Scheduling strategies under comparison: the standard one, and a baseline for each decision.

use corianderstand_decide::{
    agent::{Eviction, KeepAlive, Policy},
    queue::QueueDiscipline,
    router::BalancingPolicy,
};
use corianderstand_derives::derives;
use smol_str::SmolStr;
use std::time::Duration;

/// Keep-alive time of the fixed baseline.
pub const FIXED_KEEP_ALIVE: Duration = Duration::from_secs(600);

/// A combination of scheduling policies.
#[derives(data)]
pub struct Strategy {
    /// Name in reports.
    pub name: SmolStr,
    /// Policy of agents.
    pub policy: Policy,
    /// Policy of routers.
    pub placement: BalancingPolicy,
    /// Whether a coordinator limits the rate of loads.
    pub coordinated: bool,
    /// Cold-start and idle cost factors, in place of those of the trace.
    pub cost_factors: Option<(u32, u32)>,
}

impl Strategy {
    /// The policies used in production.
    pub fn standard() -> Self {
        Self {
            name: "ours".into(),
            policy: Policy::default(),
            placement: BalancingPolicy::LeastCost,
            coordinated: true,
            cost_factors: None,
        }
    }

    /// No load coordinator.
    pub fn uncoordinated() -> Self {
        Self { name: "alone".into(), coordinated: false, ..Self::standard() }
    }

    /// A fixed keep-alive time for all models.
    pub fn fixed_keep_alive(keep_alive: Duration) -> Self {
        let policy = Policy { keep_alive: KeepAlive::Fixed(keep_alive), ..Policy::default() };
        Self {
            name: format!("fixed {} s", keep_alive.as_secs()).into(),
            policy,
            ..Self::standard()
        }
    }

    /// Least-recently-used eviction.
    pub fn lru_eviction() -> Self {
        let policy = Policy { eviction: Eviction::LeastRecentlyUsed, ..Policy::default() };
        Self { name: "lru".into(), policy, ..Self::standard() }
    }

    /// First in, first out, without rejection of requests that would miss their deadline.
    pub fn fifo() -> Self {
        let policy = Policy { discipline: QueueDiscipline::Fifo, ..Policy::default() };
        Self { name: "fcfs".into(), policy, ..Self::standard() }
    }

    /// Random choice of targets.
    pub fn random_placement() -> Self {
        Self { name: "random".into(), placement: BalancingPolicy::Random, ..Self::standard() }
    }

    /// The standard strategy with other cold-start and idle cost factors.
    pub fn with_cost_factors(tail: u32, idle: u32) -> Self {
        let name = format!("ours {tail}:{idle}").into();
        Self { name, cost_factors: Some((tail, idle)), ..Self::standard() }
    }

    /// The standard strategy and all baselines.
    pub fn all() -> Vec<Self> {
        vec![
            Self::standard(),
            Self::uncoordinated(),
            Self::fixed_keep_alive(FIXED_KEEP_ALIVE),
            Self::lru_eviction(),
            Self::fifo(),
            Self::random_placement(),
        ]
    }
}
