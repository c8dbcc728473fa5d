//! What is known of a request when something is decided about it.

use corianderstand_derives::derives;
use corianderstand_schema::messages::RefusalReason;
use corianderstand_types::{
    names::{ServiceId, TeamId},
    units::Mib,
    weights::Weights,
};
use slotmap::new_key_type;
use std::time::{Duration, Instant};

new_key_type! {
    /// A request held by this process.
    pub struct RequestKey;
}

/// What a request needs.
#[derives(data)]
#[derive(Eq)]
pub enum Need {
    /// A model, or a model with an adapter.
    Weights {
        /// The model itself.
        base: Weights,
        /// The adapter on it.
        adapter: Option<Weights>,
    },
    /// A plain service.
    Service(ServiceId),
}

/// One request as decisions see it.
#[derives(data)]
#[derive(Eq)]
pub struct Work {
    /// The team that asks.
    pub team: TeamId,
    /// What it needs.
    pub need: Need,
    /// 0 low, 1 normal, 2 urgent.
    pub urgency: u8,
    /// When it must be answered.
    pub deadline: Instant,
    /// Whether it may be sent to a second target after the first may have begun it.
    pub repeatable: bool,
}

/// A request that is not run, and why.
#[derives(data)]
#[derive(Copy, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after: Duration,
}

/// Memory that models and adapters take.
pub trait Sizes {
    /// Memory of what is to be loaded; `None` if it is not in the settings.
    fn memory(&self, weights: &Weights) -> Option<Mib>;
    /// Time a load is expected to take.
    fn load_time(&self, weights: &Weights) -> Duration;
}
