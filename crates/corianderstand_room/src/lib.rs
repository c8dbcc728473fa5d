//! Requests that compete for what is too little: the quota of a workspace, or the slots of targets.
//!
//! [`order`] compares requests that wait by urgency, [`share`] counts what workspaces were granted of their shares,
//! [`ranks`] tells which ranks starve, [`room`] keeps those that wait for the same places and tells whose turn it is, and
//! [`booking`] tells when those that are refused should come back. Nothing here performs I/O, and the time is passed in.
//!
//! ```
//! use corianderstand_room::order;
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let claim = |rank, patience_s| order::Claim {
//!     rank,
//!     cost: 1,
//!     arrived_at: now,
//!     objective_at: now + Duration::from_secs(patience_s),
//!     expires_at: now + Duration::from_secs(2 * patience_s),
//! };
//! let turns = order::Turns::default();
//! assert_eq!(turns.next(now, [claim(2, 5), claim(0, 1), claim(1, 1)].iter()), Some(1));
//! ```

pub mod booking;
pub mod order;
pub mod ranks;
pub mod room;
pub mod share;
