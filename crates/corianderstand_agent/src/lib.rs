//! The process beside one target, and the only one that sends it commands and requests.
//!
//! All traffic for a target passes through its agent, so memory, concurrency and draining have
//! one owner and are tracked exactly. The threads are `link` (connections from routers),
//! `decide` (scheduling, in `corianderstand_decide`), `target` (requests and commands to the
//! target) and `control` (the log).
//!
//! ```no_run
//! use corianderstand_schema::process::AgentSettings;
//! use corianderstand_types::clock::SystemClock;
//!
//! fn run(settings: AgentSettings) -> Result<(), corianderstand_agent::AgentError> {
//!     let agent = corianderstand_agent::start(settings, std::sync::Arc::new(SystemClock))?;
//!     agent.drain();
//!     agent.join();
//!     Ok(())
//! }
//! ```

mod accept;
mod announce;
mod calls;
mod decide;
mod event;
mod freshness;
mod held_requests;
mod reconcile;
mod release;
mod run;
mod shape;
mod start;
mod view_config;

pub use start::{AgentError, AgentHandle, start};
