//! Field-by-field comparison of documents.

use serde_json::Value;

/// One line for each changed field, with its JSON path and both values.
pub fn changed(old: &Value, new: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    compare("", old, new, &mut lines);
    lines
}

fn compare(path: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    if old == new {
        return;
    }
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            let removed = old.keys().filter(|name| !new.contains_key(*name));
            for name in new.keys().chain(removed) {
                let (old, new) = (old.get(name), new.get(name));
                let (old, new) = (old.unwrap_or(&Value::Null), new.unwrap_or(&Value::Null));
                compare(&format!("{path}/{name}"), old, new, lines);
            }
        }
        (Value::Null, Value::Object(_)) => {
            compare(path, &Value::Object(Default::default()), new, lines);
        }
        _ => lines.push(line(path, old, new)),
    }
}

fn line(path: &str, old: &Value, new: &Value) -> String {
    let path = if path.is_empty() { "/" } else { path };
    match (old, new) {
        (Value::Null, new) => format!("{path}: {new} (new)"),
        (old, Value::Null) => format!("{path}: {old} (removed)"),
        (old, new) => format!("{path}: {old} → {new}"),
    }
}
