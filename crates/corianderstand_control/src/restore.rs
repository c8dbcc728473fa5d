//! Gets a state for a reader that the log alone cannot bring up to date.
//!
//! A process that starts finds the log's beginning dropped, or has been cut off for longer than
//! the log keeps records. Folding what is left would give a state with holes, unlike that of
//! all others. It takes a checkpoint from the log or a peer's state instead, never one with a
//! lower offset than its own.

use corianderstand_edge::log::Page;
use corianderstand_schema::records::Record;
use corianderstand_state::{checkpoint::Collector, fold::State};

/// Looks through the log for a checkpoint.
#[derive(Debug)]
pub struct Search {
    /// Offset to read next.
    pub cursor: u64,
    collector: Collector,
}

impl Search {
    /// A search from the oldest record.
    pub fn new(oldest: u64) -> Self {
        Self { cursor: oldest, collector: Collector::default() }
    }

    /// Looks through a page; gives the newest whole checkpoint in it that the log continues.
    pub fn take(&mut self, page: &Page) -> Option<State> {
        let mut found = None;
        for entry in &page.entries {
            self.cursor = entry.offset + 1;
            let Ok(record) = postcard::from_bytes::<Record>(&entry.data) else { continue };
            let whole = self.collector.take(&record);
            found = whole.filter(|state| state.next >= page.oldest).or(found);
        }
        found
    }
}

/// Whether records between the state and the log's oldest are missing.
pub const fn has_gap(state: &State, page: &Page) -> bool {
    page.oldest > state.next
}
