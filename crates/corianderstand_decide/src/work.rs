//! What is known of a request when something is decided about it.

use crate::queue::{Length, WHOLE_SHARE};
use corianderstand_derives::derives;
use corianderstand_schema::messages::RefusalReason;
use corianderstand_types::{
    names::{ModelId, ServiceId, WorkspaceId},
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
    pub team: WorkspaceId,
    /// What it needs.
    pub need: Need,
    /// 0 low, 1 normal, 2 urgent.
    pub urgency: u8,
    /// When it must be answered.
    pub deadline: Instant,
    /// Whether it may be sent to a second target after the first may have begun it.
    pub repeatable: bool,
    /// How long it is likely to run, and which session it continues.
    pub shape: Shape,
}

/// What a request's body tells about the work it makes.
#[derives(key)]
pub struct Shape {
    /// Whether it holds its room for long.
    pub length: Length,
    /// Hash of the beginning of its prompt; requests that share it share cached prefixes.
    pub prefix: Option<u64>,
}

impl Default for Shape {
    fn default() -> Self {
        Self { length: Length::Short, prefix: None }
    }
}

/// Answers of more tokens than this are long: at 27 ms a token it runs for about seven seconds,
/// beyond what a waiting summary can bear behind it.
pub const LONG_ANSWER_TOKENS: u64 = 256;
/// Bytes of a prompt that tell one session from another: the system prompt and the first words.
pub const PREFIX_BYTES: usize = 1024;

impl Shape {
    /// The shape of a request for `max_tokens`, whose prompt begins with `prompt`.
    ///
    /// A request that names no limit may run as long as it likes, so a chat counts as long.
    pub fn of(max_tokens: Option<u64>, chat: bool, prompt: &[u8]) -> Self {
        let long = max_tokens.map_or(chat, |tokens| tokens > LONG_ANSWER_TOKENS);
        let length = if long { Length::Long } else { Length::Short };
        let beginning = &prompt[..prompt.len().min(PREFIX_BYTES)];
        let prefix = (chat && !beginning.is_empty()).then(|| xxhash_rust::xxh3::xxh3_64(beginning));
        Self { length, prefix }
    }
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

/// What the settings in force say about models and teams, as far as decisions need it.
pub trait SchedulingConfig {
    /// Memory of what is to be loaded; `None` if it is not in the settings.
    fn memory(&self, weights: &Weights) -> Option<Mib>;
    /// Time a load is expected to take.
    fn load_time(&self, weights: &Weights) -> Duration;
    /// Guaranteed share of a team, in thousandths.
    fn share(&self, _team: &WorkspaceId) -> u32 {
        DEFAULT_SHARE
    }
    /// Sum of all teams' shares.
    fn total_shares(&self) -> u32 {
        WHOLE_SHARE
    }
    /// How much the teams that call a model mind each measure.
    fn cost_factors(&self, _model: &ModelId) -> CostFactors {
        CostFactors::default()
    }
    /// What the weight store can do, and how many engines share it.
    fn store(&self) -> StoreLimits {
        StoreLimits::default()
    }
}

/// Share of a team that the settings do not name.
pub const DEFAULT_SHARE: u32 = 100;

/// How much the two measures count, 0 to 100 each.
#[derives(key)]
pub struct CostFactors {
    /// A slow cold start.
    pub tail: u32,
    /// Idle accelerator hours.
    pub idle: u32,
}

impl Default for CostFactors {
    fn default() -> Self {
        Self { tail: 50, idle: 50 }
    }
}

/// What the weight store can do.
#[derives(key)]
pub struct StoreLimits {
    /// Loads that may start in a second, over the whole deployment.
    pub per_second: u32,
    /// Loads that run side by side at full speed.
    pub concurrent: u32,
    /// Engines that load from it.
    pub engines: u32,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self { per_second: 2, concurrent: 4, engines: 1 }
    }
}

impl Work {
    /// What must be loaded before it can run.
    pub fn weights(&self) -> impl Iterator<Item = &Weights> {
        let (base, adapter) = match &self.need {
            Need::Weights { base, adapter } => (Some(base), adapter.as_ref()),
            Need::Service(_) => (None, None),
        };
        base.into_iter().chain(adapter)
    }
}
