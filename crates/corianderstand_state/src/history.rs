//! Results of the latest settings changes, which any router can report to an operator.

use crate::fold::Rejection;
use corianderstand_derives::derives;
use corianderstand_schema::records::Change;
use smol_str::SmolStr;

/// Number of changes kept.
pub const MAX_ENTRIES: usize = 1024;
/// Number of paths kept per change.
pub const MAX_PATHS: usize = 64;

/// A settings change and its result.
#[derives(wire)]
pub struct Entry {
    /// Offset of the record; the documents' new version if accepted.
    pub offset: u64,
    /// Log time of the record.
    pub at_ms: u64,
    /// Ticket that identifies the change.
    pub ticket: SmolStr,
    /// Operator who made the change.
    pub author: SmolStr,
    /// Paths of the first [`MAX_PATHS`] changed documents.
    pub paths: Vec<SmolStr>,
    /// Reason for the rejection; `None` if accepted.
    pub refused: Option<SmolStr>,
}

/// The latest changes, oldest first.
#[derives(wire)]
#[derive(Default)]
pub struct History {
    /// At most [`MAX_ENTRIES`] changes.
    pub entries: imbl::Vector<Entry>,
}

impl History {
    /// Records the result of a change; `at` is its offset and log time.
    pub fn record(
        &mut self,
        at: (u64, u64),
        ticket: &SmolStr,
        author: &SmolStr,
        changes: &[Change],
        result: &Result<(), Rejection>,
    ) {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.pop_front();
        }
        let paths = changes.iter().take(MAX_PATHS).map(|change| change.path.clone()).collect();
        let refused = result.as_ref().err().map(|rejection| rejection.to_string().into());
        let (ticket, author) = (ticket.clone(), author.clone());
        self.entries.push_back(Entry { offset: at.0, at_ms: at.1, ticket, author, paths, refused });
    }

    /// Latest change with this ticket.
    pub fn find(&self, ticket: &str) -> Option<&Entry> {
        self.entries.iter().rev().find(|entry| entry.ticket == ticket)
    }

    /// Changes to documents whose path starts with `prefix`, newest first.
    pub fn of_path<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Entry> + 'a {
        let touches = move |e: &&Entry| e.paths.iter().any(|path| path.starts_with(prefix));
        self.entries.iter().rev().filter(touches)
    }
}
