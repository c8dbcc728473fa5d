//! Discrete-event replay of traces through the scheduling code of routers and agents.
//!
//! [`replay::run`] advances a manual clock from event to event and runs the routers and agents of
//! `corianderstand_decide` against simulated engines, callers and a simulated weight store. The
//! network and the log are not simulated, and the only faults are those in the trace.
//!
//! ```
//! use corianderstand_replay::{generate, replay, strategies::Strategy};
//!
//! let trace = generate::crew_morning(1);
//! let outcome = replay::run(&trace, &Strategy::standard());
//! assert_eq!(outcome.late, 0);
//! ```

pub mod bounds;
pub mod generate;
pub mod outcome;
pub mod replay;
pub mod report;
pub mod strategies;
pub mod trace;

mod callers;
mod engines;
mod store;
