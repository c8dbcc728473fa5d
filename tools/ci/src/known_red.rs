//! Tests listed in `KNOWN-RED.txt`, which fail because of an open issue.
//!
//! Each entry starts with an unindented line, `binary-id test-name`, as nextest prints it. Indented
//! lines give the command, what was seen and the issue.

use std::{fs, io};

const PATH: &str = "KNOWN-RED.txt";

/// Reads the list and returns its text and a nextest filter for its tests, or `None` if it is empty.
pub fn read() -> io::Result<Option<(String, String)>> {
    let text = fs::read_to_string(PATH)?;
    Ok(filter(&text).map(|filter| (text, filter)))
}

/// Builds a nextest filter expression that matches the listed tests only.
fn filter(text: &str) -> Option<String> {
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
