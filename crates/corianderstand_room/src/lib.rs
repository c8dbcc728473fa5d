//! Requests that compete for what is too little: the quota of a workspace, or the slots of targets.
//!
//! [`order`] decides which of the requests that wait is served next, and [`booking`] when those that are refused should
//! come back. Neither performs I/O, and the time is passed in.
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
