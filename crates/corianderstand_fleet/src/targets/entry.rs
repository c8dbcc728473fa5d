//! What targets register of themselves, and what agents say of them.

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
    /// The model.
    pub model: names::ModelId,
    /// Adapters loaded beside it.
    pub adapters: Vec<names::AdapterId>,
}

/// What an engine holds, and what it could load quickly.
#[derives(wire)]
#[derive(Default, Eq)]
pub struct Holdings {
    /// Orders accepted since its start.
    pub orders: u64,
    /// Ready to be asked for.
    pub resident: Vec<Resident>,
    /// Copies in its host memory.
    pub in_memory: Vec<names::ModelId>,
    /// Copies on its disk.
    pub on_disk: Vec<names::ModelId>,
}

impl Holdings {
    /// The model, if it is resident.
    pub fn resident(&self, model: &names::ModelId) -> Option<&Resident> {
        self.resident.iter().find(|resident| resident.model == *model)
    }
}

/// What a target has registered of itself.
#[derives(wire)]
pub struct Entry {
    /// Its name; a new one at each start as a rule.
    pub id: names::TargetId,
    /// Unix milliseconds of its start; tells two starts under one name apart. 0 where targets do
    /// not say it and take a new name at each start.
    pub born: u64,
    /// Rises each time that the entry is renewed.
    pub renewals: u64,
    /// The service that it belongs to.
    pub service: names::ServiceId,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Where it stands.
    pub zone: names::AvailabilityZoneId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It takes no new requests and will end.
    pub draining: bool,
    /// Time until it is gone, if it said so.
    pub leaves_in: Option<Duration>,
    /// What it holds.
    pub holdings: Holdings,
}

/// An order that an engine is carrying out.
#[derives(data)]
pub enum Ongoing {
    /// It loads a model, which is there after about this time.
    Loading {
        /// The model.
        model: names::ModelId,
        /// When it is expected to be ready.
        ready_at: Instant,
        /// The weights come from the weight store.
        from_store: bool,
    },
    /// It drops a model once its last run ended.
    Unloading {
        /// The model.
        model: names::ModelId,
    },
}

/// What the agent beside an engine says of it.
#[derives(data)]
pub struct Report {
    /// The engine.
    pub id: names::TargetId,
    /// Its start, as in [`Entry::born`].
    pub born: u64,
    /// What it holds.
    pub holdings: Holdings,
    /// Its copies of weights are told too; if not, those that are known stay.
    pub cached_weights_reported: bool,
    /// The order that it is carrying out.
    pub ongoing: Option<Ongoing>,
    /// How busy it is.
    pub load: Load,
}

/// A target that has started again at its place under another name.
#[derives(data)]
pub struct Replaced {
    /// Its name.
    pub id: names::TargetId,
    /// Its start, as in [`Entry::born`].
    pub born: u64,
    /// Its name before.
    pub before: names::TargetId,
}

/// How busy a target says that it is.
#[derives(data)]
#[derive(Copy, Default)]
pub struct Load {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Tokens in its cache memory that cannot yield; none if unknown.
    pub cache_used: Option<u64>,
}
