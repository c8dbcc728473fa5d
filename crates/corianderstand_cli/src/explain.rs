//! `explain`: all log lines about one request, from the log files of all processes.

use crate::{
    Exit,
    log_lines::{self, LogLine},
};
use getopts::Matches;
use serde_json::{Map, Value};
use std::{collections::BTreeSet, path::Path};

struct Line {
    time: String,
    source: String,
    message: String,
    fields: Map<String, Value>,
}

#[derive(Default)]
struct RequestLog {
    lines: Vec<Line>,
    unreadable_lines: usize,
    dropped_lines: u64,
}

pub fn run(matches: &Matches) -> Exit {
    let (id, files) = (&matches.free[0], &matches.free[1..]);
    let mut log = RequestLog::default();
    for file in files {
        if let Err(error) = read_file(Path::new(file), id, &mut log) {
            eprintln!("{file} cannot be read ({error}): check the path");
            return Exit::Unreachable;
        }
    }
    log.lines.sort_by(|a, b| a.time.cmp(&b.time));
    if matches.opt_present("json") {
        println!("{}", json(id, &log));
    } else {
        print!("{}", table(id, &log));
    }
    if log.lines.is_empty() { Exit::Fault } else { Exit::Success }
}

fn read_file(path: &Path, id: &str, log: &mut RequestLog) -> std::io::Result<()> {
    let unreadable_lines = log_lines::read(path, |line| {
        log.dropped_lines += line.number("left_out").unwrap_or(0);
        if line.text("id") == Some(id) {
            log.lines.push(parse_line(line));
        }
    })?;
    log.unreadable_lines += unreadable_lines;
    Ok(())
}

fn parse_line(LogLine { source, mut fields }: LogLine) -> Line {
    let mut remove_text = |name: &str| {
        let value = fields.remove(name);
        value.and_then(|value| value.as_str().map(str::to_owned)).unwrap_or_default()
    };
    let (time, message) = (remove_text("timestamp"), remove_text("message"));
    for name in ["id", "level", "target"] {
        fields.remove(name);
    }
    Line { time, source, message, fields }
}

fn text(line: &Line, name: &str) -> Option<String> {
    line.fields.get(name).map(|value| value.as_str().map_or(value.to_string(), str::to_owned))
}

/// Describes a refusal, with the age of the router's configuration if no route matched.
fn describe_refusal(end: &Line) -> String {
    let why = text(end, "why").unwrap_or_default();
    if let (Some(ends), Some(age)) = (text(end, "ends"), text(end, "last_end_ms")) {
        let noticed_by = text(end, "noticed_by").unwrap_or_default();
        let part = text(end, "part").map_or(String::new(), |part| format!(" (part {part})"));
        return format!(
            "refused as not run: {why}{part}; {ends} ended, the last {age} ms before, noticed by {noticed_by}"
        );
    }
    let Some(version) = text(end, "config") else {
        return format!("refused as not run: {why}{}", describe_return(end));
    };
    let age = text(end, "age_ms").map_or("never".to_owned(), |ms| format!("{ms} ms before"));
    let stale_note = match end.fields.get("behind").and_then(Value::as_bool) {
        Some(true) => "; another router had read more, so an older version may have answered",
        _ => "",
    };
    format!("{why} in configuration {version}; store read {age}{stale_note}")
}

/// Says when a caller that waited for a quota was told to come back, and what it finds then.
fn describe_return(end: &Line) -> String {
    let (Some(before), Some(ms)) = (text(end, "before"), text(end, "retry_ms")) else {
        return String::new();
    };
    let room = match end.fields.get("booked").and_then(Value::as_bool) {
        Some(true) => "room is booked for it then",
        _ => "nothing is booked: its caller could not have waited for room",
    };
    format!("; {before} waited before it; told to come back after {ms} ms, {room}")
}

/// Says why a request was not sent once more.
fn describe_denied_retry(line: &Line) -> String {
    let field = |name| text(line, name).unwrap_or_default();
    let (spent, limit) = (field("spent"), field("limit"));
    match text(line, "fixed") {
        Some(_) => format!("; not sent once more: {spent} of {limit} retries were used"),
        None => "; not sent once more: the router had just started".to_owned(),
    }
}

/// Says where a stream went on from a copy, or why it did not; nothing if it was not to.
fn describe_copies(lines: &[Line]) -> String {
    let describe = |line: &Line| {
        let field = |name| text(line, name).unwrap_or_default();
        match line.message.as_str() {
            "goes on from its copy" => {
                Some(format!("; moved from {} to its copy at {}", field("from"), field("to")))
            }
            "lost its copy" => {
                Some(format!("; not gone on from its copy at {}: {}", field("to"), field("why")))
            }
            "no copy" => Some(format!("; had no copy: {}", field("why"))),
            _ => None,
        }
    };
    lines.iter().filter_map(describe).collect()
}

/// Summarizes the request by the last line that ends it.
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
    let ended: Vec<String> = lines
        .iter()
        .filter(|line| line.message == "target ended under the request")
        .filter_map(|line| text(line, "at"))
        .collect();
    let ended = match ended.is_empty() {
        true => String::new(),
        false => format!("; targets that ended while they ran it: {}", ended.join(", ")),
    };
    let denied = lines
        .iter()
        .find(|line| line.message == "retry" && text(line, "outcome").as_deref() == Some("denied"));
    let denied = denied.map_or(String::new(), describe_denied_retry);
    let outcome = match end.message.as_str() {
        "refused" => describe_refusal(end),
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
    let granted = lines.iter().find(|line| line.message == "granted");
    let granted = granted.and_then(|line| Some((text(line, "waited_ms")?, text(line, "rank")?)));
    let granted = granted.map_or(String::new(), |(ms, rank)| {
        format!("; granted after a wait of {ms} ms as rank {rank}")
    });
    let copies = describe_copies(lines);
    format!("{outcome} (after {ms} ms){waited}{granted}{failed}{ended}{copies}{denied}")
}

fn notes(log: &RequestLog) -> Vec<String> {
    let mut notes = Vec::new();
    if log.unreadable_lines > 0 {
        notes.push(format!("{} lines cannot be read and were left out", log.unreadable_lines));
    }
    if log.dropped_lines > 0 {
        notes.push(format!(
            "processes left out {} lines in floods: some may be this request's",
            log.dropped_lines
        ));
    }
    notes
}

fn table(id: &str, log: &RequestLog) -> String {
    let mut text = String::new();
    if log.lines.is_empty() {
        text.push_str(&format!(
            "no line is about {id}: check the id and that all files are named\n"
        ));
    }
    let sources: BTreeSet<&str> = log.lines.iter().map(|line| line.source.as_str()).collect();
    let width = sources.iter().map(|source| source.len()).max().unwrap_or(0);
    for line in &log.lines {
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
    if !log.lines.is_empty() {
        text.push_str(&format!("cause: {}\n", cause(&log.lines)));
    }
    for note in notes(log) {
        text.push_str(&format!("note: {note}\n"));
    }
    text
}

fn json(id: &str, log: &RequestLog) -> Value {
    let lines = log.lines.iter().map(|line| {
        serde_json::json!({
            "time": line.time, "source": line.source, "message": line.message, "fields": line.fields,
        })
    });
    let cause = (!log.lines.is_empty()).then(|| cause(&log.lines));
    serde_json::json!({
        "id": id, "lines": lines.collect::<Vec<_>>(), "cause": cause, "notes": notes(log),
    })
}
