//! The router process: authenticates requests, selects a target and forwards them to its agent.
//!
//! Its threads are `http` (callers and operators), `decide` (the scheduling logic of
//! `corianderstand_decide`), `link` (connections to agents) and `control` (the log), connected by
//! bounded channels. Chunks of a response go from `link` directly to the caller's handler.
//!
//! ```no_run
//! use corianderstand_schema::process::RouterSettings;
//! use corianderstand_types::clock::SystemClock;
//!
//! fn run(settings: RouterSettings) -> Result<(), corianderstand_router::RouterError> {
//!     let router = corianderstand_router::start(settings, std::sync::Arc::new(SystemClock))?;
//!     router.drain();
//!     router.join();
//!     Ok(())
//! }
//! ```

mod answer;
pub mod auth;
mod call;
mod completions;
mod connections;
mod decide;
mod dial;
mod event;
mod heartbeat;
mod http;
mod link;
mod once;
mod operator;
mod params;
mod problem;
mod relay;
mod services;
mod start;
mod status;
mod watched;

pub use start::{RouterError, RouterHandle, start};
