//! Settings as a directory of JSON files; a document's path is its file path without `.json`.

use serde_json::Value;
use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
};

#[derive(Debug, displaydoc::Display)]
pub enum DirectoryError {
    /// cannot read {0} ({1}): check the path and its permissions
    Read(PathBuf, io::Error),
    /// {0} is not JSON ({1}): correct it
    Json(PathBuf, serde_json::Error),
}

impl std::error::Error for DirectoryError {}

pub type Documents = BTreeMap<String, Value>;

pub fn read_file(path: &Path) -> Result<Value, DirectoryError> {
    let text = fs::read_to_string(path);
    let text = text.map_err(|error| DirectoryError::Read(path.to_owned(), error))?;
    serde_json::from_str(&text).map_err(|error| DirectoryError::Json(path.to_owned(), error))
}

/// Reads all documents and collects the errors.
pub fn read(root: &Path) -> (Documents, Vec<DirectoryError>) {
    let mut documents = Documents::new();
    let mut errors = Vec::new();
    walk(root, root, &mut documents, &mut errors);
    (documents, errors)
}

fn walk(root: &Path, dir: &Path, documents: &mut Documents, errors: &mut Vec<DirectoryError>) {
    let entries = match fs::read_dir(dir) {
        Ok(entries) => entries,
        Err(error) => {
            errors.push(DirectoryError::Read(dir.to_owned(), error));
            return;
        }
    };
    for entry in entries.filter_map(Result::ok) {
        let path = entry.path();
        if path.is_dir() {
            walk(root, &path, documents, errors);
        } else if path.extension().is_some_and(|extension| extension == "json") {
            match read_file(&path) {
                Ok(value) => {
                    documents.insert(document_path(root, &path), value);
                }
                Err(error) => errors.push(error),
            }
        }
    }
}

fn document_path(root: &Path, path: &Path) -> String {
    let relative = path.strip_prefix(root).unwrap_or(path).with_extension("");
    let parts = relative.components().map(|part| part.as_os_str().to_string_lossy());
    parts.collect::<Vec<_>>().join("/")
}
