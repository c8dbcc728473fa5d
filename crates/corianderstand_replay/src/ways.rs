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
pub const FIXED_KEEP: Duration = Duration::from_secs(600);

/// One way to decide.
#[derives(data)]
pub struct Way {
    /// Its name in reports.
    pub name: SmolStr,
    /// How agents decide.
    pub policy: Policy,
    /// How routers choose.
    pub placement: BalancingPolicy,
    /// Whether one process paces loads for all.
    pub coordinated: bool,
    /// Weights of the two measures, in place of those of the trace.
    pub weighing: Option<(u32, u32)>,
}

impl Way {
    /// What the product does.
    pub fn ours() -> Self {
        Self {
            name: "ours".into(),
            policy: Policy::default(),
            placement: BalancingPolicy::LeastCost,
            coordinated: true,
            weighing: None,
        }
    }

    /// Ours while nobody coordinates the loads.
    pub fn alone() -> Self {
        Self { name: "alone".into(), coordinated: false, ..Self::ours() }
    }

    /// Ours, but each model is kept for a fixed time.
    pub fn fixed(keep: Duration) -> Self {
        let policy = Policy { keep_alive: KeepAlive::Fixed(keep), ..Policy::default() };
        Self { name: format!("fixed {} s", keep.as_secs()).into(), policy, ..Self::ours() }
    }

    /// Ours, but the least recently used makes room.
    pub fn least_recent() -> Self {
        let policy = Policy { eviction: Eviction::LeastRecentlyUsed, ..Policy::default() };
        Self { name: "lru".into(), policy, ..Self::ours() }
    }

    /// Ours, but requests run as they came and nothing is refused for its deadline.
    pub fn first_come() -> Self {
        let policy = Policy { discipline: QueueDiscipline::Fifo, ..Policy::default() };
        Self { name: "fcfs".into(), policy, ..Self::ours() }
    }

    /// Ours, but any target is taken.
    pub fn random() -> Self {
        Self { name: "random".into(), placement: BalancingPolicy::Random, ..Self::ours() }
    }

    /// Ours with these weights in place of the trace's.
    pub fn weighed(tail: u32, idle: u32) -> Self {
        let name = format!("ours {tail}:{idle}").into();
        Self { name, weighing: Some((tail, idle)), ..Self::ours() }
    }

    /// Ours and all baselines.
    pub fn all() -> Vec<Self> {
        vec![
            Self::ours(),
            Self::alone(),
            Self::fixed(FIXED_KEEP),
            Self::least_recent(),
            Self::first_come(),
            Self::random(),
        ]
    }
}
