//! Tests listed in `KNOWN-RED.txt`, which fail because of an open issue.
//!
//! Each entry starts with an unindented line, `binary-id test-name`, as nextest prints it. Indented
//! lines give the command, what was seen and the issue.

use std::{fs, io};

const LIST_PATH: &str = "KNOWN-RED.txt";

/// Reads the list and returns its text and a nextest filter for its tests, or `None` if it is empty.
pub fn read() -> io::Result<Option<(String, String)>> {
    let text = fs::read_to_string(LIST_PATH)?;
    Ok(nextest_filter(&text).map(|filter| (text, filter)))
}

/// Whether a step is listed as one that fails because of an open issue.
pub fn lists_step(name: &str) -> bool {
    let text = fs::read_to_string(LIST_PATH).unwrap_or_else(|error| {
        eprintln!("{LIST_PATH} cannot be read ({error}): no step counts as listed");
        String::new()
    });
    text.lines().any(|line| line.trim() == format!("CI step: {name}"))
}

fn nextest_filter(text: &str) -> Option<String> {
    let heads = text.lines().filter(|line| !line.is_empty() && !line.starts_with(' '));
    let tests = heads.map(|line| {
        let (binary, test) = line.split_once(' ').unwrap_or((line, ""));
        format!("(binary_id(={binary}) & test(={test}))")
    });
    let tests: Vec<_> = tests.collect();
    (!tests.is_empty()).then(|| tests.join(" | "))
}

#[cfg(test)]
mod tests;
