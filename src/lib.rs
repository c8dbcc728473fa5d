//! A serving system for rarely used models on rented hosts that may be reclaimed at any moment.
//!
//! This package only re-exports the crates that implement the system; the binary passes its
//! arguments to [`cli`]. `docs/ARCHITECTURE.md` describes the crates.
//!
//! ```
//! use corianderstand::types::names::WorkspaceId;
//!
//! assert!(WorkspaceId::new("vidrio-sur").is_ok());
//! ```

pub use corianderstand_cli as cli;
pub use corianderstand_control as control;
pub use corianderstand_decide as decide;
pub use corianderstand_state as state;
pub use corianderstand_types as types;
