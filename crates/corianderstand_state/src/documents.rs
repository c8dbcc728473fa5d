//! Settings documents by path, each with the version it was made at.

use crate::fold::Rejection;
use corianderstand_derives::derives;
use corianderstand_schema::records::Change;
use smol_str::SmolStr;

/// One document as in force.
#[derives(wire)]
pub struct Document {
    /// Offset of the record that made it; 0 never occurs.
    pub version: u64,
    /// JSON text.
    pub text: std::sync::Arc<str>,
    /// Who asked for it.
    pub author: SmolStr,
}

/// All documents, and the offset of the last change to any.
#[derives(wire)]
#[derive(Default)]
pub struct Documents {
    /// Documents by path.
    pub by_path: imbl::OrdMap<SmolStr, Document>,
    /// Offset of the last change.
    pub version: u64,
}

impl Documents {
    /// Version of the document at `path`, or 0.
    pub fn version_of(&self, path: &str) -> u64 {
        self.by_path.get(path).map_or(0, |doc| doc.version)
    }

    /// Makes all changes, or none if one was made from a version no longer in force.
    ///
    /// Two operators may change the same settings at the same moment. The second would undo
    /// the first without noticing; its change names the version it was made from, so it is
    /// voided here and the operator is told which version is in the way.
    pub fn change(
        &mut self,
        offset: u64,
        changes: &[Change],
        author: &str,
    ) -> Result<(), Rejection> {
        for change in changes {
            let version = self.version_of(&change.path);
            if version != change.base {
                let (path, base) = (change.path.clone(), change.base);
                return Err(Rejection::Conflict { path, version, base });
            }
        }
        for change in changes {
            match &change.value {
                Some(text) => {
                    let (text, author) = (text.as_str().into(), author.into());
                    let doc = Document { version: offset, text, author };
                    self.by_path.insert(change.path.clone(), doc);
                }
                None => {
                    self.by_path.remove(&change.path);
                }
            }
        }
        self.version = offset;
        Ok(())
    }
}
