//! Restores the state of a reader that is missing records which the log has dropped.
//!
//! The reader loads a checkpoint from the log or the state of a peer, never one older than its own
//! state.

use corianderstand_edge::log::Page;
use corianderstand_schema::records::{Body, Record};
use corianderstand_state::{
    checkpoint::{self, Collector},
    fold::State,
};
use std::time::Duration;

/// Searches the log for a checkpoint.
#[derive(Debug)]
pub struct CheckpointSearch {
    /// Offset of the next read.
    pub cursor: u64,
    collector: Collector,
}

impl CheckpointSearch {
    /// A search from the oldest record.
    pub fn new(oldest: u64) -> Self {
        Self { cursor: oldest, collector: Collector::default() }
    }

    /// Scans a page; returns the first complete checkpoint that the log continues, so that all
    /// readers load the same one.
    pub fn scan(&mut self, page: &Page) -> Option<State> {
        let mut found = None;
        for entry in &page.entries {
            self.cursor = entry.offset + 1;
            let Ok(record) = postcard::from_bytes::<Record>(&entry.data) else { continue };
            let complete = self.collector.receive(&record);
            found = found.or(complete.filter(|state| state.next >= page.oldest));
        }
        found
    }
}

/// Minimum delay before a router writes a recovery checkpoint.
pub const RECOVERY_DELAY: Duration = Duration::from_secs(20);

/// The records of a recovery checkpoint, for a log whose dropped records no checkpoint covers.
///
/// It contains this router's state as of the oldest retained record; the dropped records are lost.
pub fn recovery_records(state: &State, page: &Page) -> Vec<Body> {
    let mut state = state.clone();
    state.next = page.oldest;
    state.checkpoints.underway = None;
    checkpoint::split(&state)
}

/// Whether the log has dropped records that the state does not include.
pub const fn has_gap(state: &State, page: &Page) -> bool {
    page.oldest > state.next
}
