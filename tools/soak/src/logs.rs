//! Lines that routers logged.

use serde_json::Value;
use std::{fs, io, path::Path};

/// The lines of a router's log, in their order. One that a kill cut off is left out.
pub fn lines_of(router: usize, log_dir: &Path) -> io::Result<Vec<Value>> {
    let text = fs::read_to_string(log_dir.join(format!("router-{router}.log")))?;
    Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
}

/// Text of a field; empty if a line has none.
pub fn text<'a>(line: &'a Value, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}
