//! Versioned settings documents.

use crate::fold::Rejection;
use corianderstand_derives::derives;
use corianderstand_schema::records::Change;
use smol_str::SmolStr;

/// A settings document.
#[derives(wire)]
pub struct Document {
    /// Offset of the record that wrote it; never 0.
    pub version: u64,
    /// JSON text.
    pub text: std::sync::Arc<str>,
    /// Operator who wrote it.
    pub author: SmolStr,
}

/// All documents.
#[derives(wire)]
#[derive(Default)]
pub struct Documents {
    /// Documents by path.
    pub by_path: imbl::OrdMap<SmolStr, Document>,
    /// Offset of the last change.
    pub version: u64,
}

impl Documents {
    /// Version of the document at `path`, or 0 if there is none.
    pub fn version_of(&self, path: &str) -> u64 {
        self.by_path.get(path).map_or(0, |doc| doc.version)
    }

    /// Applies all changes, or none if any is based on an outdated version.
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
