//! Request properties and configuration that scheduling decisions use.

use crate::queue::{FULL_SHARE_PERMILLE, Length};
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
    /// Key of a request held by this process.
    pub struct RequestKey;
}

/// What must be available on a target before a request can run there.
#[derives(data)]
#[derive(Eq)]
pub enum Requirement {
    /// A model, or a model with an adapter.
    Weights {
        /// The base model.
        base: Weights,
        /// The adapter applied to the base model.
        adapter: Option<Weights>,
    },
    /// A service without model weights.
    Service(ServiceId),
}

/// Properties of a request that scheduling depends on.
#[derives(data)]
#[derive(Eq)]
pub struct RequestSpec {
    /// The team that sent the request.
    pub team: WorkspaceId,
    /// What a target needs to serve it.
    pub requirement: Requirement,
    /// Urgency: 0 low, 1 normal, 2 urgent.
    pub urgency: u8,
    /// Time by which its response is due.
    pub deadline: Instant,
    /// Whether another target may run it after one may have started it.
    pub repeatable: bool,
    /// Expected length and prompt prefix.
    pub shape: RequestShape,
}

/// Properties of a request that are derived from its body.
#[derives(key)]
pub struct RequestShape {
    /// Expected run-time class.
    pub length: Length,
    /// Hash of the start of the prompt; requests with the same hash can share a cached prefix.
    pub prefix: Option<u64>,
}

impl Default for RequestShape {
    fn default() -> Self {
        Self { length: Length::Short, prefix: None }
    }
}

/// Requests for more tokens than this are classified as [`Length::Long`].
pub const LONG_ANSWER_TOKENS: u64 = 256;
/// Length of the prompt prefix that is hashed to identify a session.
pub const PREFIX_BYTES: usize = 1024;

impl RequestShape {
    /// Classifies a request; a chat without a token limit is long.
    pub fn of(max_tokens: Option<u64>, chat: bool, prompt: &[u8]) -> Self {
        let long = max_tokens.map_or(chat, |tokens| tokens > LONG_ANSWER_TOKENS);
        let length = if long { Length::Long } else { Length::Short };
        let beginning = &prompt[..prompt.len().min(PREFIX_BYTES)];
        let prefix = (chat && !beginning.is_empty()).then(|| xxhash_rust::xxh3::xxh3_64(beginning));
        Self { length, prefix }
    }
}

/// Why a request is refused, and when to retry it.
#[derives(data)]
#[derive(Copy, Eq)]
pub struct Refusal {
    /// Reason reported to the caller.
    pub reason: RefusalReason,
    /// Recommended delay before a retry.
    pub retry_after: Duration,
}

/// The current settings of models, teams and the weight store that scheduling depends on.
pub trait SchedulingConfig {
    /// Memory required by the weights; `None` if the settings don't define them.
    fn memory(&self, weights: &Weights) -> Option<Mib>;
    /// Expected load time of the weights.
    fn load_time(&self, weights: &Weights) -> Duration;
    /// Guaranteed share of a team, in thousandths of each target's capacity.
    fn share(&self, _team: &WorkspaceId) -> u32 {
        DEFAULT_SHARE
    }
    /// Sum of all teams' guaranteed shares, in thousandths.
    fn total_shares(&self) -> u32 {
        FULL_SHARE_PERMILLE
    }
    /// Relative cost of cold starts and idle time for the teams that call a model.
    fn cost_factors(&self, _model: &ModelId) -> CostFactors {
        CostFactors::default()
    }
    /// Limits of the weight store.
    fn store(&self) -> StoreLimits {
        StoreLimits::default()
    }
}

/// Guaranteed share, in thousandths, of a team that the settings don't define.
pub const DEFAULT_SHARE: u32 = 100;

/// Relative weights, 0 to 100, of the two costs of a keep-alive decision.
#[derives(key)]
pub struct CostFactors {
    /// Weight of cold-start latency.
    pub cold_start: u32,
    /// Weight of idle accelerator time.
    pub idle: u32,
}

impl Default for CostFactors {
    fn default() -> Self {
        Self { cold_start: 50, idle: 50 }
    }
}

/// Rate and concurrency limits of the weight store.
#[derives(key)]
pub struct StoreLimits {
    /// Loads that may start per second across the deployment.
    pub per_second: u32,
    /// Loads that can run concurrently at full speed.
    pub concurrent: u32,
    /// Number of engines that load from the weight store.
    pub engines: u32,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self { per_second: 2, concurrent: 4, engines: 1 }
    }
}

impl RequestSpec {
    /// The weights that must be loaded before the request can run, the base model first.
    pub fn weights(&self) -> impl Iterator<Item = &Weights> {
        let (base, adapter) = match &self.requirement {
            Requirement::Weights { base, adapter } => (Some(base), adapter.as_ref()),
            Requirement::Service(_) => (None, None),
        };
        base.into_iter().chain(adapter)
    }
}
