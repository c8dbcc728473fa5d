//! Decisions under load, without input or output.
//!
//! [`router::Router`] chooses a target for each request; [`agent::Agent`] admits, queues and
//! refuses beside one target and decides what its engine loads. Both are plain values that take
//! events and the time and return what is to be done, so tests drive them without sockets.
//!
//! ```
//! use corianderstand_decide::ledger::Ledger;
//! use corianderstand_types::{units::Mib, weights::Weights};
//!
//! let mut ledger = Ledger::new(Mib(1000));
//! let quotes = Weights::model("quotes-7b".into(), "1".into());
//! assert!(ledger.reserve(&quotes, Mib(800)).is_ok());
//! let rounds = Weights::model("rounds-3b".into(), "1".into());
//! assert!(ledger.reserve(&rounds, Mib(300)).is_err(), "never more than the engine has");
//! ```

pub mod agent;
pub mod history;
pub mod ledger;
pub mod pacing;
pub mod queue;
pub mod request;
pub mod router;
