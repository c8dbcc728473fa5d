//! Routing configuration, target state and the decisions based on them.
//!
//! A [`config::Config`] maps routes to services. [`targets::Targets`] tracks each target of those
//! services: its registration, its agent's reports and the results of this process's own requests.
//! The decision modules perform no I/O: [`choose`] selects a target for an attempt, [`wait_limit`]
//! decides how long a request waits for a model, [`prefill`] schedules prompts on an engine,
//! [`budget`] limits retries, [`copies`] places copies of streams, and [`plan`] places models on engines. [`reconcile`] computes an
//! engine's next command from its plan. [`workspaces`] tells who may send requests, [`freshness`] whether
//! that is known well enough, and [`quota`] how many they may send.
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

pub mod audit;
pub mod budget;
mod capacity;
pub mod choose;
pub mod config;
pub mod copies;
pub mod counts;
pub mod crashes;
mod decaying_rate;
pub mod demand;
pub mod exits;
pub mod features;
pub mod fingerprint;
pub mod forecast;
pub mod freshness;
pub mod health;
pub mod hedge;
pub mod limit_shares;
pub mod overload;
pub mod pace;
pub mod plan;
pub mod predict;
pub mod prefill;
pub mod prefixes;
pub mod quota;
pub mod reconcile;
pub mod removal;
pub mod request_slots;
pub mod routes;
pub mod shares;
pub mod snapshot;
mod store_concurrency;
pub mod streams;
pub mod targets;
mod utility;
pub mod wait_limit;
pub mod workspaces;
