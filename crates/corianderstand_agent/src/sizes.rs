//! Memory and load times from the settings in force.

use corianderstand_decide::work::Sizes;
use corianderstand_state::view::View;
use corianderstand_types::{units::Mib, weights::Weights};
use std::time::Duration;

/// Sizes as one version of the settings gives them.
pub struct ViewSizes<'a>(pub &'a View);

impl Sizes for ViewSizes<'_> {
    fn memory(&self, weights: &Weights) -> Option<Mib> {
        let model = self.0.models.get(&weights.model)?;
        let adapter = weights.adapter.is_some();
        Some(if adapter { model.adapter_memory_mib } else { model.memory_mib })
    }

    fn load_time(&self, weights: &Weights) -> Duration {
        self.0.models.get(&weights.model).map_or(Duration::ZERO, |model| model.load_ms.0)
    }
}
