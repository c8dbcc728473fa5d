//! `explain`: the life of one request, from the log files of all processes.
//!
//! Lines that cannot be read are counted and said.

use crate::{
    Exit,
    log_lines::{self, LogLine},
};
use getopts::Matches;
use serde_json::{Map, Value};
use std::{collections::BTreeSet, path::Path};

/// A line about the request.
struct Line {
    time: String,
    source: String,
    message: String,
    fields: Map<String, Value>,
}

/// What was read.
#[derive(Default)]
struct Read {
    lines: Vec<Line>,
    unreadable: usize,
    left_out: u64,
}

/// Shows what became of a request.
pub fn run(matches: &Matches) -> Exit {
    let (id, files) = (&matches.free[0], &matches.free[1..]);
    let mut read = Read::default();
    for file in files {
        if let Err(error) = read_file(Path::new(file), id, &mut read) {
            eprintln!("{file} cannot be read ({error}): check the path");
            return Exit::Unreachable;
        }
    }
    read.lines.sort_by(|a, b| a.time.cmp(&b.time));
    if matches.opt_present("json") {
        println!("{}", json(id, &read));
    } else {
        print!("{}", table(id, &read));
    }
    if read.lines.is_empty() { Exit::Fault } else { Exit::Success }
}

fn read_file(path: &Path, id: &str, read: &mut Read) -> std::io::Result<()> {
    let unreadable = log_lines::read(path, |line| {
        read.left_out += line.number("left_out").unwrap_or(0);
        if line.text("id") == Some(id) {
            read.lines.push(about_request(line));
        }
    })?;
    read.unreadable += unreadable;
    Ok(())
}

fn about_request(LogLine { source, mut fields }: LogLine) -> Line {
    let mut take = |name: &str| {
        let value = fields.remove(name);
        value.and_then(|value| value.as_str().map(str::to_owned)).unwrap_or_default()
    };
    let (time, message) = (take("timestamp"), take("message"));
    for known in ["id", "level", "target"] {
        fields.remove(known);
    }
    Line { time, source, message, fields }
}

/// A field of a line as text.
fn text(line: &Line, name: &str) -> Option<String> {
    line.fields.get(name).map(|value| value.as_str().map_or(value.to_string(), str::to_owned))
}

/// Why a request was refused. One without a route may have met an older configuration than the one that
/// was in force elsewhere, which only its router's age of knowledge tells.
fn refusal(end: &Line) -> String {
    let why = text(end, "why").unwrap_or_default();
    let Some(version) = text(end, "config") else { return format!("refused as not run: {why}") };
    let age = text(end, "age_ms").map_or("never".to_owned(), |ms| format!("{ms} ms before"));
    let behind = match end.fields.get("behind").and_then(Value::as_bool) {
        Some(true) => "; another router had read more, so an older version may have answered",
        _ => "",
    };
    format!("{why} in configuration {version}; store read {age}{behind}")
}

/// The cause in one line, from the last line that ends the request.
fn cause(lines: &[Line]) -> String {
    let ends = ["answered", "streamed", "refused", "caller left"];
    let Some(end) = lines.iter().rev().find(|line| ends.contains(&line.message.as_str())) else {
        return "its end is in none of the files: a process was killed, or its log is missing"
            .into();
    };
    let ms = text(end, "ms").unwrap_or_default();
    let waited = lines.iter().find(|line| line.message == "waits");
    let waited = waited.and_then(|line| text(line, "why"));
    let waited = waited.map_or(String::new(), |why| format!("; it waited because {why}"));
    let failed: Vec<String> = lines
        .iter()
        .filter(|line| line.message == "attempt failed")
        .filter_map(|line| Some(format!("{} at {}", text(line, "why")?, text(line, "at")?)))
        .collect();
    let failed = match failed.is_empty() {
        true => String::new(),
        false => format!("; before: {}", failed.join(", ")),
    };
    let what = match end.message.as_str() {
        "refused" => refusal(end),
        "caller left" => "the caller left".to_owned(),
        "streamed" => match text(end, "how").as_deref() {
            Some("whole") => {
                let first = text(end, "first_ms").unwrap_or_default();
                let pause = text(end, "longest_pause_ms").unwrap_or_default();
                format!("whole; first event after {first} ms, longest pause {pause} ms")
            }
            how => format!("broken off: {}", how.unwrap_or("no reason was logged")),
        },
        _ => match (text(end, "status"), text(end, "how")) {
            (Some(status), Some(how)) if how == "whole" => format!("answered {status}"),
            (status, how) => format!("{} {}", status.unwrap_or_default(), how.unwrap_or_default()),
        },
    };
    format!("{what} (after {ms} ms){waited}{failed}")
}

fn gaps(read: &Read) -> Vec<String> {
    let mut gaps = Vec::new();
    if read.unreadable > 0 {
        gaps.push(format!("{} lines cannot be read and were left out", read.unreadable));
    }
    if read.left_out > 0 {
        gaps.push(format!(
            "processes left out {} lines in floods: some may be this request's",
            read.left_out
        ));
    }
    gaps
}

fn table(id: &str, read: &Read) -> String {
    let mut text = String::new();
    if read.lines.is_empty() {
        text.push_str(&format!(
            "no line is about {id}: check the id and that all files are named\n"
        ));
    }
    let sources: BTreeSet<&str> = read.lines.iter().map(|line| line.source.as_str()).collect();
    let width = sources.iter().map(|source| source.len()).max().unwrap_or(0);
    for line in &read.lines {
        let fields = line.fields.iter().map(|(name, value)| match value {
            Value::String(value) => format!("{name}={value}"),
            value => format!("{name}={value}"),
        });
        let fields: Vec<String> = fields.collect();
        text.push_str(&format!(
            "{}  {:width$}  {:<14} {}\n",
            line.time,
            line.source,
            line.message,
            fields.join(" ")
        ));
    }
    if !read.lines.is_empty() {
        text.push_str(&format!("cause: {}\n", cause(&read.lines)));
    }
    for gap in gaps(read) {
        text.push_str(&format!("note: {gap}\n"));
    }
    text
}

fn json(id: &str, read: &Read) -> Value {
    let lines = read.lines.iter().map(|line| {
        serde_json::json!({
            "time": line.time, "source": line.source, "message": line.message, "fields": line.fields,
        })
    });
    let cause = (!read.lines.is_empty()).then(|| cause(&read.lines));
    serde_json::json!({
        "id": id, "lines": lines.collect::<Vec<_>>(), "cause": cause, "notes": gaps(read),
    })
}
