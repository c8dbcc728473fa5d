//! When a router that is not heard is taken off the list of routers, so that the others may use its part of limits.
//!
//! A router that is only cut off reads in the store that it is suspected, and writes its entry again; one that can't read
//! the store uses no part once its list is older than [`MAX_LIST_AGE`]. So an entry that stays suspected for longer than
//! that belongs to a router that uses none.

use corianderstand_derives::derives;
use std::time::Duration;

/// Age of the list of routers from which on a router that is cut off from most others uses no part of limits.
pub const MAX_LIST_AGE: Duration = Duration::from_secs(30);
/// Restarts take less.
const SILENCE_TIME: Duration = Duration::from_secs(20);
/// Time for a suspected router to read the store and to write to it, or to stop.
const SUSPICION_TIME: Duration = Duration::from_secs(50);
/// The list must have been read this lately to tell that an entry was not written again.
const YOUNG_LIST_AGE: Duration = Duration::from_secs(10);
/// A majority goes on without the store, so its entries are removed by the others after this time only.
const MAJORITY_SUSPICION_TIME: Duration = Duration::from_secs(660);
/// Longest time for which a majority goes on without the store.
pub const MAX_MAJORITY_LIST_AGE: Duration = Duration::from_secs(600);

/// What is known of a listed router.
#[derives(data)]
pub struct Evidence {
    /// Time since it was heard or listed.
    pub silent_for: Duration,
    /// Time for which its entry has been marked as suspected, if it is.
    pub suspected_for: Option<Duration>,
    /// Time since the list was read.
    pub list_age: Duration,
    /// Routers that this one is connected to, itself included.
    pub connected: usize,
    /// Routers that count.
    pub routers: usize,
}

/// What to do with the entry of a router.
#[derives(key)]
pub enum Verdict {
    /// It stays.
    Keep,
    /// It is marked as suspected.
    Suspect,
    /// It is removed.
    Remove,
}

impl Evidence {
    /// Decides about the entry.
    pub fn judge(&self) -> Verdict {
        if self.silent_for < SILENCE_TIME || self.list_age >= YOUNG_LIST_AGE {
            return Verdict::Keep;
        }
        let may_be_majority = 2 * self.connected < self.routers;
        let suspicion_time = if may_be_majority { MAJORITY_SUSPICION_TIME } else { SUSPICION_TIME };
        match self.suspected_for {
            None => Verdict::Suspect,
            Some(time) if time >= suspicion_time => Verdict::Remove,
            Some(_) => Verdict::Keep,
        }
    }
}
