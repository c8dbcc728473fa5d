//! Names, units and the clock: the vocabulary that all other crates share.
//!
//! A *host* is a rented machine, an *availability zone* the place where it stands, a *workspace* one
//! subtree of settings and a *target* a back end; `docs/GLOSSARY.md` maps them to other terms in use.
//! Identifiers are newtypes over `SmolStr`, so a workspace's name cannot be passed where a model's is
//! expected.
//!
//! ```
//! use corianderstand_types::{clock::{Clock, ManualClock}, names::ModelId};
//! use std::time::Duration;
//!
//! let model = ModelId::new("quotes-7b").expect("a valid name");
//! assert_eq!(model.as_str(), "quotes-7b");
//! let clock = ManualClock::default();
//! let start = clock.now();
//! clock.advance(Duration::from_millis(5));
//! assert_eq!(clock.now() - start, Duration::from_millis(5));
//! ```

pub mod clock;
pub mod names;
pub mod pause;
pub mod units;
pub mod weights;
