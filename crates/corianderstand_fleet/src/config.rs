//! The active configuration: routes, services and request limits.
//!
//! A configuration is replaced as a whole, and only by one with a higher version.

use crate::workspaces;
use corianderstand_derives::derives;
use corianderstand_types::names;
use smol_str::SmolStr;
use std::{sync::Arc, time::Duration};

/// The active configuration.
#[derives(data)]
#[derive(Default)]
pub struct Config {
    /// Version number; increases with each change, not necessarily by one.
    pub version: u64,
    /// Routing rules.
    pub routes: Vec<Arc<Route>>,
    /// Services that routes refer to.
    pub services: Vec<Service>,
    /// Limits on incoming requests.
    pub limits: Limits,
    /// Workspaces whose credentials requests must carry; none if requests need no credential.
    pub workspaces: Option<Vec<workspaces::Workspace>>,
}

impl Config {
    /// Returns the service with this name.
    pub fn service(&self, name: &names::ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}

/// Whether a request may be executed more than once.
#[derives(key)]
#[derive(Default)]
pub enum RetryPolicy {
    /// Any number of times.
    Allowed,
    /// At most once per request of a caller.
    #[default]
    Never,
}

/// Routing rule for requests to a host and path prefix.
#[derives(data)]
#[derive(Default)]
pub struct Route {
    /// Name, for logs.
    pub name: SmolStr,
    /// `Host` header to match, in lower case.
    pub host: SmolStr,
    /// Path prefix to match; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request with an unknown outcome may be retried.
    pub retry_policy: RetryPolicy,
    /// Whether the response is an event stream.
    pub streams: bool,
    /// Whether an interrupted stream can resume on another target after the last received event.
    pub resumable: bool,
    /// Maximum time that a request waits.
    pub timeout: Duration,
    /// Objective for the time to the response, or to a stream's first event.
    pub latency_objective: Duration,
    /// Objective for the gap between events of a stream.
    pub gap_objective: Option<Duration>,
    /// Whether its requests need no credential.
    pub is_public: bool,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of targets that a request is sent to.
    pub max_targets: u32,
    /// Services with their traffic weights.
    pub services: Vec<(names::ServiceId, u32)>,
}

impl Route {
    /// Whether a request that may have been executed can be sent to another target.
    pub fn may_retry(&self) -> bool {
        if self.streams { self.resumable } else { self.retry_policy == RetryPolicy::Allowed }
    }

    /// Whether a request has side effects that must not happen late or twice.
    pub fn runs_at_most_once(&self) -> bool {
        !self.streams && !self.may_retry()
    }

    /// Selects a service by request hash, in proportion to the traffic weights.
    pub fn service(&self, hash: u64) -> Option<&names::ServiceId> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut at = hash.checked_rem(total)?;
        for (service, weight) in &self.services {
            match at.checked_sub(u64::from(*weight)) {
                Some(rest) => at = rest,
                None => return Some(service),
            }
        }
        None
    }
}

/// A group of interchangeable targets.
#[derives(data)]
#[derive(Default)]
pub struct Service {
    /// Service name.
    pub name: names::ServiceId,
    /// Path of the health check, which also returns the target's name.
    pub health_path: SmolStr,
    /// Maximum number of connections to one target from all callers.
    pub connections: u32,
    /// Engine specification; `None` for a service without engines.
    pub engine: Option<Engine>,
}

/// Specification of a service's engines.
#[derives(data)]
#[derive(Default)]
pub struct Engine {
    /// Number of requests in one batch.
    pub slots: u32,
    /// KV cache capacity, in tokens.
    pub cache_tokens: u64,
    /// Memory for weights, in MB.
    pub weights_mb: u64,
    /// Number of adapters that can be resident at once.
    pub adapter_slots: usize,
    /// Loads per second that the weight store allows across all engines.
    pub loads_per_s: f64,
    /// Models that may be loaded.
    pub models: Vec<Model>,
    /// What engines can do with the KV cache of a request besides running it.
    pub cache: CacheSupport,
}

impl Engine {
    /// Returns the model with this name.
    pub fn model(&self, name: &names::ModelId) -> Option<&Model> {
        self.models.iter().find(|model| model.name == *name)
    }
}

/// What the engines of a service offer to do with the KV cache of a request.
#[derives(data)]
#[derive(Copy, Default)]
pub struct CacheSupport {
    /// Whether an engine can keep a growing copy of the cache of a request that runs at another.
    pub copies: bool,
    /// Whether the cache of a running request can be moved to another engine.
    pub moves: bool,
    /// Size of the cache of one token, in bytes; 0 if unknown.
    pub token_bytes: u64,
    /// Time for which a copy is kept after its last part.
    pub copy_ttl: Duration,
    /// Longest time for which a slot and memory can be reserved; zero if they can't.
    pub max_reservation: Duration,
    /// Longest time for which the cache of a complete request can be kept; zero if it can't.
    pub max_retention: Duration,
}

/// A model that engines can load.
#[derives(data)]
#[derive(Default)]
pub struct Model {
    /// Model name.
    pub name: names::ModelId,
    /// Memory for its weights, in MB, rounded up.
    pub weights_mb: u64,
    /// Memory for each of its adapters, in MB, rounded up.
    pub adapter_mb: u64,
    /// Number of its adapters.
    pub adapters: u32,
    /// Load time from the weight store.
    pub load_from_store: Duration,
    /// Load time from the engine's disk.
    pub load_from_disk: Duration,
    /// Load time from host memory.
    pub load_from_memory: Duration,
}

/// Limits on incoming requests.
#[derives(data)]
pub struct Limits {
    /// Maximum size of the request headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive the request headers.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply until a configuration is received.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
