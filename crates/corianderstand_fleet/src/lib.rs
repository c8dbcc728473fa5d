//! What a process believes of a deployment that forwards by route, and what it decides on that.
//!
//! A [`config::Config`] says which routes lead to which services. [`targets::Targets`] keeps what
//! is known of each target of those services: what it registered, what its agent says of it, and
//! what this process itself has seen. On these rest the decisions, each in a module of its own and
//! without input or output: [`choose`] picks a target for one attempt, [`patience`] says how long
//! a request waits for a model and when it is refused, [`prefill`] says whose prompt an engine reads
//! next, [`budget`] limits second attempts, and [`plan`] says which engine holds which models. [`reconcile`] turns an engine's part of the plan
//! into one order at a time.
//!
//! ```
//! use corianderstand_fleet::{config, routes};
//!
//! let route = config::Route { host: "desk.example".into(), prefix: "/quotes/".into(), ..Default::default() };
//! let table = routes::Table::new(std::sync::Arc::new(config::Config {
//!     routes: vec![route.into()],
//!     ..Default::default()
//! }));
//! assert!(table.find("desk.example", "/quotes/today").is_some());
//! assert!(table.find("desk.example", "/rounds/").is_none());
//! ```

pub mod budget;
pub mod choose;
pub mod config;
pub mod counts;
mod decaying_rate;
pub mod demand;
pub mod health;
pub mod patience;
pub mod plan;
pub mod prefill;
pub mod prefixes;
pub mod reconcile;
pub mod routes;
pub mod snapshot;
mod store_concurrency;
pub mod targets;
mod utility;
