//! The replicated state: a pure fold over the records of the shared log.
//!
//! Every process applies the same records in the same order with [`fold::State::apply`] and
//! reaches the same state. Records are conditional: each carries the version, lease epoch or
//! offset that its writer read, and the fold rejects it if that is out of date.
//!
//! ```
//! use corianderstand_schema::records::{Body, Change, Record};
//! use corianderstand_state::fold::{Outcome, State};
//!
//! let mut state = State::default();
//! let change = Change { path: "system/deployment".into(), base: 0, value: Some("{}".into()) };
//! let (author, ticket) = ("ana".into(), "t-1".into());
//! let body = Body::Settings { changes: vec![change], author, ticket, not_after_ms: 1000 };
//! let record = Record { writer: "router-1".into(), incarnation: 1, sequence: 1, body };
//! assert_eq!(state.apply(1, 0, &record), Outcome::Applied);
//! // A retried append has no effect.
//! assert_eq!(state.apply(2, 0, &record), Outcome::Repeated);
//! ```

pub mod calls;
pub mod checkpoint;
pub mod claim;
pub mod documents;
pub mod expiry;
pub mod fold;
pub mod history;
pub mod lease;
pub mod plan;
pub mod slots;
pub mod targets;
pub mod view;
