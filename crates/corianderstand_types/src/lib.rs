//! Names, units and the clock, shared by all other crates.
//!
//! A *host* is a rented machine, an *availability zone* its location, a *workspace* a customer's
//! subtree of settings and a *target* a back end; `docs/GLOSSARY.md` lists other terms. Identifiers
//! are newtypes over `SmolStr`, so that one kind cannot be passed for another.
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
pub mod position;
pub mod units;
pub mod weights;
