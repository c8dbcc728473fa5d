//! What can be loaded into an engine.

use crate::names::{AdapterId, ModelId, VersionId};
use corianderstand_derives::derives;

/// A model at a version, or one of its adapters at a version.
#[derives(name)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Weights {
    /// The model.
    pub model: ModelId,
    /// Its version, or the adapter's.
    pub version: VersionId,
    /// The adapter, unless it is the model itself.
    pub adapter: Option<AdapterId>,
}

impl Weights {
    /// A model itself.
    pub const fn model(model: ModelId, version: VersionId) -> Self {
        Self { model, version, adapter: None }
    }
}

impl std::fmt::Display for Weights {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}:{adapter}@{}", self.model, self.version),
            None => write!(f, "{}@{}", self.model, self.version),
        }
    }
}
