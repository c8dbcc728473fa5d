//! Log files with one JSON object per line. Text before the object, as added by a log collector,
//! names the source; otherwise the file name does.

use serde_json::{Map, Value};
use std::{io, path::Path};

pub struct LogLine {
    /// Process that wrote the line.
    pub source: String,
    pub fields: Map<String, Value>,
}

impl LogLine {
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }
}

/// Calls `on_line` for each line and returns the number of unreadable ones.
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
