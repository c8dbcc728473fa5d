//! Lines of log files: JSON, one each. What stands before the first brace, a time or a host that a
//! collector put there, is the line's source; without it the file's name is.

use serde_json::{Map, Value};
use std::{io, path::Path};

/// One line.
pub struct LogLine {
    /// Which process wrote it.
    pub source: String,
    /// What it says.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// A field as text; none if it is not there or not text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    /// A field as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }
}

/// Gives each line of a file to `take`; returns how many could not be read.
///
/// # Errors
///
/// The file cannot be read.
pub fn read(path: &Path, mut on_line: impl FnMut(LogLine)) -> io::Result<usize> {
    let name = path.file_stem().map(|name| name.to_string_lossy().into_owned());
    let text = String::from_utf8_lossy(&std::fs::read(path)?).into_owned();
    let mut unreadable_lines = 0;
    for line in text.lines().filter(|line| line.contains('{')) {
        let (prefix, body) = line.split_at(line.find('{').unwrap_or(0));
        let Ok(fields) = serde_json::from_str::<Map<String, Value>>(body) else {
            unreadable_lines += 1;
            continue;
        };
        let source = match prefix.trim() {
            "" => name.clone().unwrap_or_default(),
            prefix => prefix.to_owned(),
        };
        on_line(LogLine { source, fields });
    }
    Ok(unreadable_lines)
}
