//! Features that an operator switches, and whether a deployment calls for them.
//!
//! A feature that is set to [`process::Switch::Auto`] is used only where the configuration or the targets call for it:
//! the module of the feature says by which field.

use corianderstand_schema::process;

pub use process::{Features, Switch};

/// Whether a feature is used, where `is_called_for` says whether the deployment calls for it.
pub const fn is_used(switch: Switch, is_called_for: bool) -> bool {
    match switch {
        Switch::Off => false,
        Switch::On => true,
        Switch::Auto => is_called_for,
    }
}
