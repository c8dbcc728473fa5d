//! The configuration in force: routes, the services they lead to, and limits on callers.
//!
//! It is replaced as a whole; a higher version replaces a lower one and never the reverse.

use corianderstand_derives::derives;
use corianderstand_types::names;
use smol_str::SmolStr;
use std::{sync::Arc, time::Duration};

/// All that an operator has put in force.
#[derives(data)]
#[derive(Default)]
pub struct Config {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<Arc<Route>>,
    /// What they go to.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: Limits,
}

impl Config {
    /// The service of that name.
    pub fn service(&self, name: &names::ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}

/// How often a request may run.
#[derives(key)]
#[derive(Default)]
pub enum RetryPolicy {
    /// Any number of times.
    Allowed,
    /// Once at most for each attempt of a caller.
    #[default]
    Never,
}

/// Requests to one host below one path, and where they go.
#[derives(data)]
#[derive(Default)]
pub struct Route {
    /// Name, for logs.
    pub name: SmolStr,
    /// `Host` of the requests, in lower case.
    pub host: SmolStr,
    /// Start of their path; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request whose fate is unknown may be sent again.
    pub retry_policy: RetryPolicy,
    /// The answer is a stream of events.
    pub streams: bool,
    /// A stream may be taken up at another target after the last event that arrived.
    pub resumable: bool,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is of full use.
    pub latency_objective: Duration,
    /// Longest pause between events of a stream that is of full use.
    pub gap_objective: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Most targets that one attempt of a caller may be sent to.
    pub max_targets: u32,
    /// Services, each with its share of the requests.
    pub services: Vec<(names::ServiceId, u32)>,
}

impl Route {
    /// Whether a request that may have run can be sent to another target.
    pub fn may_retry(&self) -> bool {
        if self.streams { self.resumable } else { self.retry_policy == RetryPolicy::Allowed }
    }

    /// Whether a request has an effect that must not come late or twice, such as a booking.
    pub fn runs_at_most_once(&self) -> bool {
        !self.streams && !self.may_retry()
    }

    /// The service for a request, by its hash: each service gets its share of the hashes.
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

/// A group of targets that answer alike.
#[derives(data)]
#[derive(Default)]
pub struct Service {
    /// Its name.
    pub name: names::ServiceId,
    /// Where a target answers whether it is well, and says its name.
    pub health_path: SmolStr,
    /// Connections that one target takes from all callers together.
    pub connections: u32,
    /// What its engines are like; none for a plain service.
    pub engine: Option<Engine>,
}

/// What the engines of a service are like.
#[derives(data)]
#[derive(Default)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that fit into its cache memory.
    pub cache_tokens: u64,
    /// Memory for weights, in MB.
    pub weights_mb: u64,
    /// Adapters that fit beside the models.
    pub adapter_slots: usize,
    /// Loads a second that the weight store allows over all engines.
    pub loads_per_s: f64,
    /// What may be loaded.
    pub models: Vec<Model>,
}

impl Engine {
    /// The model of that name.
    pub fn model(&self, name: &names::ModelId) -> Option<&Model> {
        self.models.iter().find(|model| model.name == *name)
    }
}

/// A model that engines may load.
#[derives(data)]
#[derive(Default)]
pub struct Model {
    /// Its name.
    pub name: names::ModelId,
    /// Memory that its weights take, in MB, rounded up.
    pub weights_mb: u64,
    /// Memory that one of its adapters takes, in MB, rounded up.
    pub adapter_mb: u64,
    /// Number of its adapters.
    pub adapters: u32,
    /// Time to load it from the weight store.
    pub load_from_store: Duration,
    /// Time to load it from the engine's disk.
    pub load_from_disk: Duration,
    /// Time to load it from the engine's host memory.
    pub load_from_memory: Duration,
}

/// What callers may send.
#[derives(data)]
pub struct Limits {
    /// Most bytes of a request's headers.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a request's headers to arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay unused.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// In force until a configuration is known; requests are refused until then.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
