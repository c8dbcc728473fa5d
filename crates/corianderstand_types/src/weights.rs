//! Weights that an engine can load.

use crate::names::{AdapterId, ModelId, VersionId};
use corianderstand_derives::derives;

/// A version of a model or of an adapter.
#[derives(name)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Weights {
    /// The model.
    pub model: ModelId,
    /// Version of the model, or of the adapter if there is one.
    pub version: VersionId,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<AdapterId>,
}

impl Weights {
    /// Weights of a base model.
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
