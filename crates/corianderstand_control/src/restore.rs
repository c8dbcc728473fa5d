//! Gets a state for a reader that the log alone cannot bring up to date.
//!
//! A process that starts finds the log's beginning dropped, or has been cut off for longer than
//! the log keeps records. Folding what is left would give a state with holes, unlike that of
//! all others. It takes a checkpoint from the log or a peer's state instead, never one with a
//! lower offset than its own.

use corianderstand_edge::log::Page;
use corianderstand_schema::records::{Body, Record};
use corianderstand_state::{
    checkpoint::{self, Collector},
    fold::State,
};
use std::time::Duration;

/// Looks through the log for a checkpoint.
#[derive(Debug)]
pub struct CheckpointSearch {
    /// Offset to read next.
    pub cursor: u64,
    collector: Collector,
}

impl CheckpointSearch {
    /// A search from the oldest record.
    pub fn new(oldest: u64) -> Self {
        Self { cursor: oldest, collector: Collector::default() }
    }

    /// Looks through a page; gives the first whole checkpoint in it that the log continues. All
    /// but those of a [`recovery_records`] are alike, and of these the first in the log counts for all.
    pub fn scan(&mut self, page: &Page) -> Option<State> {
        let mut found = None;
        for entry in &page.entries {
            self.cursor = entry.offset + 1;
            let Ok(record) = postcard::from_bytes::<Record>(&entry.data) else { continue };
            let whole = self.collector.receive(&record);
            found = found.or(whole.filter(|state| state.next >= page.oldest));
        }
        found
    }
}

/// Shortest time with a gap and without any other state before a router writes its own.
pub const RECOVERY_DELAY: Duration = Duration::from_secs(20);

/// The records that declare what the log dropped unread as lost.
///
/// If an outage begins before any router has read the last records and lasts longer than the log
/// keeps them, every router has a gap that no checkpoint covers, and all would stay not ready for
/// ever. After [`RECOVERY_DELAY`] one that has settings writes its state as of the oldest record
/// left; the others, which wait too, take the first such state in the log. What was lost had not
/// been read back by any router, so no operator was told "accepted" of it.
pub fn recovery_records(state: &State, page: &Page) -> Vec<Body> {
    let mut state = state.clone();
    state.next = page.oldest;
    state.checkpoints.underway = None;
    checkpoint::split(&state)
}

/// Whether records between the state and the log's oldest are missing.
pub const fn has_gap(state: &State, page: &Page) -> bool {
    page.oldest > state.next
}
