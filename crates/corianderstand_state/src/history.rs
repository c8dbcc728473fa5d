//! What became of the last changes to settings, so that any router can tell an operator.

use crate::fold::Rejection;
use corianderstand_derives::derives;
use corianderstand_schema::records::Change;
use smol_str::SmolStr;

/// Changes remembered: more than a day of the 800 that operators make.
pub const MAX_ENTRIES: usize = 1024;
/// Paths named in one entry; a change of more is cut short, so that one large change does not
/// fill the state with names.
pub const MAX_PATHS: usize = 64;

/// One change that was decided.
#[derives(wire)]
pub struct Entry {
    /// Offset of its record, which is its version if it was accepted.
    pub offset: u64,
    /// Log time of the record.
    pub at_ms: u64,
    /// The operator's ticket.
    pub ticket: SmolStr,
    /// Who asked for it.
    pub author: SmolStr,
    /// Documents it changed, the first [`MAX_PATHS`] of them.
    pub paths: Vec<SmolStr>,
    /// Why it had no effect; `None` if it was accepted.
    pub refused: Option<SmolStr>,
}

/// The last changes, oldest first.
#[derives(wire)]
#[derive(Default)]
pub struct History {
    /// The entries.
    pub entries: imbl::Vector<Entry>,
}

impl History {
    /// Notes what became of a change.
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

    /// What became of the change with this ticket.
    pub fn find(&self, ticket: &str) -> Option<&Entry> {
        self.entries.iter().rev().find(|entry| entry.ticket == ticket)
    }

    /// Changes to documents whose path begins with `prefix`, newest first.
    pub fn of_path<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Entry> + 'a {
        let touches = move |e: &&Entry| e.paths.iter().any(|path| path.starts_with(prefix));
        self.entries.iter().rev().filter(touches)
    }
}
