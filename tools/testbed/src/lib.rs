//! Starts a small deployment as real processes on loopback, for tests, the demonstration and
//! measurements.
//!
//! [`Deployment::start`] starts the stand-ins, routers and agents that a [`Plan`] names and
//! applies its settings; everything ends when the value is dropped. Waiting is always for a
//! state, with a generous limit, never for a fixed time.

pub mod booking;
pub mod caller;
pub mod deployment;
pub mod load;
pub mod plan;
pub mod process;
pub mod script;

pub use deployment::Deployment;
pub use plan::Plan;
