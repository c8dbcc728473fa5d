//! Starts a small deployment as real processes on loopback, for tests, the demo and measurements.
//!
//! [`Deployment::start`] starts the stand-ins, routers and agents of a [`Plan`] and applies its
//! settings; dropping the value ends all processes. Helpers wait for a state, with a timeout,
//! never for a fixed time, and panic on errors and timeouts.

pub mod booking;
pub mod caller;
pub mod deployment;
pub mod load;
pub mod plan;
pub mod process;
pub mod script;

pub use deployment::Deployment;
pub use plan::Plan;
