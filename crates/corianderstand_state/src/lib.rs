//! What all processes agree on: a pure fold from log records to state.
//!
//! Every process applies the same records in the same order with [`fold::State::apply`] and so
//! holds the same state; nothing else is agreed between them. Records are conditional: each
//! names the version, lease epoch or offset that it was decided on, and the fold voids it if
//! that has moved on. The order of the log is the only arbiter.
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
//! // The same record again, after a lost answer, has no effect.
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
