//! Load balancing, admission control and model loading as pure logic, without I/O.
//!
//! [`router::Router`] selects a target for each request. [`agent::Agent`] admits, queues and
//! refuses the requests of one target and decides what its engine loads. Both are state machines:
//! they receive events and the time and return actions, so tests drive them without sockets.
//!
//! ```
//! use corianderstand_decide::ledger::Ledger;
//! use corianderstand_types::{units::Mib, weights::Weights};
//!
//! let mut ledger = Ledger::new(Mib(1000));
//! let quotes = Weights::model("quotes-7b".into(), "1".into());
//! assert!(ledger.reserve(&quotes, Mib(800)).is_ok());
//! let rounds = Weights::model("rounds-3b".into(), "1".into());
//! assert!(ledger.reserve(&rounds, Mib(300)).is_err(), "exceeds the engine's memory");
//! ```

pub mod agent;
pub mod history;
pub mod ledger;
pub mod pacing;
pub mod queue;
pub mod request;
pub mod router;
