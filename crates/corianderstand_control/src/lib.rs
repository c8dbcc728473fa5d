//! Reads the log and the host list for one process and appends to the log on its behalf.
//!
//! A thread named `control` folds the log into a [`snapshot::Snapshot`] that other threads read
//! without locking, and batches their appends. The holder of the control lease also runs the
//! replica slot planner on this thread.
//!
//! ```
//! use corianderstand_control::snapshot::Snapshot;
//!
//! let snapshot = Snapshot::default();
//! assert_eq!(snapshot.state.next, 0, "no record has been read yet");
//! ```

pub mod appender;
pub mod budget;
pub mod follower;
pub mod hosts;
pub mod lease;
pub mod measured;
pub mod membership;
pub mod metrics;
pub mod paced;
pub mod peers;
pub mod relay;
pub mod restore;
pub mod snapshot;
pub mod source;
pub mod start;
