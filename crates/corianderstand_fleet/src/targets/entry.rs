//! Registered entries of targets and reports of agents.

use corianderstand_derives::derives;
use corianderstand_types::names;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// A model in an engine's memory, with its adapters.
#[derives(wire)]
#[derive(Default, Eq)]
pub struct Resident {
    /// The base model.
    pub model: names::ModelId,
    /// Loaded adapters of the model.
    pub adapters: Vec<names::AdapterId>,
}

/// Models that an engine holds or can load quickly.
#[derives(wire)]
#[derive(Default, Eq)]
pub struct Holdings {
    /// Number of commands accepted since the engine started.
    #[serde(rename = "orders")]
    pub commands_accepted: u64,
    /// Models that are ready for requests.
    pub resident: Vec<Resident>,
    /// Models with weights cached in host memory.
    pub in_memory: Vec<names::ModelId>,
    /// Models with weights cached on disk.
    pub on_disk: Vec<names::ModelId>,
}

impl Holdings {
    /// Returns the model if it is resident.
    pub fn resident(&self, model: &names::ModelId) -> Option<&Resident> {
        self.resident.iter().find(|resident| resident.model.as_str() == model.as_str())
    }
}

/// One start of a target.
#[derives(name)]
pub struct Incarnation {
    /// Name of the target.
    pub id: names::TargetId,
    /// Start time as in [`Entry::started_at_ms`].
    pub started_at_ms: u64,
}

impl Incarnation {
    /// Whether this is the same start; an unknown start time matches any.
    pub fn matches(&self, other: &Self) -> bool {
        let starts_known = self.started_at_ms > 0 && other.started_at_ms > 0;
        self.id == other.id && (!starts_known || self.started_at_ms == other.started_at_ms)
    }
}

/// Registered entry of a target.
#[derives(wire)]
pub struct Entry {
    /// Target name, usually a new one after each start.
    pub id: names::TargetId,
    /// Start time in Unix milliseconds, to tell incarnations of a name apart; 0 if not reported.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
    /// Number of renewals of the entry.
    pub renewals: u64,
    /// Service of the target.
    pub service: names::ServiceId,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: names::AvailabilityZoneId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the target accepts no new requests because it is shutting down.
    pub draining: bool,
    /// Time until the shutdown, if reported.
    #[serde(rename = "leaves_in")]
    pub shutdown_in: Option<Duration>,
    /// Version of the software that it runs; none if it is not known.
    pub version: Option<names::SoftwareVersion>,
    /// Models that the target holds.
    pub holdings: Holdings,
}

impl Entry {
    /// The registered start of the target.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), started_at_ms: self.started_at_ms }
    }
}

/// A command that an engine is executing.
#[derives(data)]
pub enum OngoingCommand {
    /// Loading a model.
    Loading {
        /// The model.
        model: names::ModelId,
        /// When it is expected to be ready.
        ready_at: Instant,
        /// Whether the weights are read from the weight store.
        from_store: bool,
    },
    /// Unloading a model after its last request has completed.
    Unloading {
        /// The model.
        model: names::ModelId,
    },
}

/// Report of an agent on its engine.
#[derives(data)]
pub struct AgentReport {
    /// Name of the engine.
    pub id: names::TargetId,
    /// Start time as in [`Entry::started_at_ms`].
    pub started_at_ms: u64,
    /// Models that the engine holds.
    pub holdings: Holdings,
    /// Whether the report includes cached weights; if not, the previous ones stay valid.
    pub cached_weights_reported: bool,
    /// Command that it is executing.
    pub ongoing: Option<OngoingCommand>,
    /// Current load.
    pub load: Load,
}

/// A target that restarted under another name.
#[derives(data)]
pub struct EngineReplacement {
    /// Its new name.
    pub id: names::TargetId,
    /// Start time as in [`Entry::started_at_ms`].
    pub started_at_ms: u64,
    /// Its previous name.
    pub previous_id: names::TargetId,
}

/// Load that a target reports.
#[derives(data)]
#[derive(Copy, Default)]
pub struct Load {
    /// Requests in progress.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Tokens in the KV cache that cannot be evicted; none if unknown.
    pub cache_used: Option<u64>,
    /// How long work takes now, in percent of the usual time; none if the target does not state it.
    pub slowdown_percent: Option<u32>,
}
