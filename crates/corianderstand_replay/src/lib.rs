//! Replays recorded traces through the very decisions that routers and agents run.
//!
//! A trace tells what was called when, on which engines, and what went wrong. [`replay::run`]
//! moves a manual clock from event to event and hands them to real routers and agents of
//! `corianderstand_decide`; engines, the weight store and callers are small fakes. It measures
//! what callers met and what it cost. It is no model of a cluster: there is no network and no
//! log, and processes do not fail but for the faults that a trace names.
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
