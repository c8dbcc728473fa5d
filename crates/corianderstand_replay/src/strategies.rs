//! The ways to decide that are compared: ours, and one baseline for each decision.

use corianderstand_decide::{
    agent::{Eviction, KeepAlive, Policy},
    queue::QueueDiscipline,
    router::BalancingPolicy,
};
use corianderstand_derives::derives;
use smol_str::SmolStr;
use std::time::Duration;

/// The fixed time that the baseline keeps models warm.
pub const FIXED_KEEP_ALIVE: Duration = Duration::from_secs(600);

/// One way to decide.
#[derives(data)]
pub struct Strategy {
    /// Its name in reports.
    pub name: SmolStr,
    /// How agents decide.
    pub policy: Policy,
    /// How routers choose.
    pub placement: BalancingPolicy,
    /// Whether one process paces loads for all.
    pub coordinated: bool,
    /// Weights of the two measures, in place of those of the trace.
    pub cost_factors: Option<(u32, u32)>,
}

impl Strategy {
    /// What the product does.
    pub fn standard() -> Self {
        Self {
            name: "ours".into(),
            policy: Policy::default(),
            placement: BalancingPolicy::LeastCost,
            coordinated: true,
            cost_factors: None,
        }
    }

    /// Ours while nobody coordinates the loads.
    pub fn uncoordinated() -> Self {
        Self { name: "alone".into(), coordinated: false, ..Self::standard() }
    }

    /// Ours, but each model is kept for a fixed time.
    pub fn fixed_keep_alive(keep_alive: Duration) -> Self {
        let policy = Policy { keep_alive: KeepAlive::Fixed(keep_alive), ..Policy::default() };
        Self {
            name: format!("fixed {} s", keep_alive.as_secs()).into(),
            policy,
            ..Self::standard()
        }
    }

    /// Ours, but the least recently used makes room.
    pub fn lru_eviction() -> Self {
        let policy = Policy { eviction: Eviction::LeastRecentlyUsed, ..Policy::default() };
        Self { name: "lru".into(), policy, ..Self::standard() }
    }

    /// Ours, but requests run as they came and nothing is refused for its deadline.
    pub fn fifo() -> Self {
        let policy = Policy { order: QueueDiscipline::Fifo, ..Policy::default() };
        Self { name: "fcfs".into(), policy, ..Self::standard() }
    }

    /// Ours, but any target is taken.
    pub fn random_placement() -> Self {
        Self { name: "random".into(), placement: BalancingPolicy::Random, ..Self::standard() }
    }

    /// Ours with these weights in place of the trace's.
    pub fn with_cost_factors(tail: u32, idle: u32) -> Self {
        let name = format!("ours {tail}:{idle}").into();
        Self { name, cost_factors: Some((tail, idle)), ..Self::standard() }
    }

    /// Ours and all baselines.
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
