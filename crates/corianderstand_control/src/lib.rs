//! Follows the log and the host list for one process, and writes to the log for it.
//!
//! A thread named `control` folds the log into a [`snapshot::Snapshot`] that the other threads
//! read without waiting, and packs what they append into few writes. The process that holds the
//! control lease also plans slots there.
//!
//! ```
//! use corianderstand_control::snapshot::Snapshot;
//!
//! let snapshot = Snapshot::default();
//! assert_eq!(snapshot.state.next, 0, "nothing has been read yet");
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
