//! The process that takes calls: it authenticates, decides, forwards and answers.
//!
//! Its threads are `http` (callers and operators), `decide` (the pure logic of
//! `corianderstand_decide`), `link` (connections to agents) and `control` (the log), joined by
//! bounded rings. Chunks of an answer go from `link` straight to the caller's handler.
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
mod arrivals;
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

pub use start::{RouterError, RouterHandle, start};
