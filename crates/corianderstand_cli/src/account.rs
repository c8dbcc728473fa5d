//! `account`: outcomes of all requests by route, cause and time, from the log files of routers.
//!
//! Each attempt of a caller counts by the line that ends it; earlier lines with its id explain a
//! late response. Routers drop log lines under load, so the counts cover the written lines only.

use crate::{
    Exit,
    log_lines::{self, LogLine},
};
use getopts::Matches;
use serde_json::json;
use std::{collections::BTreeMap, path::Path};

const WINDOW_S: u64 = 2;
/// Length of a timestamp up to its seconds, as in `2026-01-01T00:00:02`.
const SECONDS_PREFIX_LEN: usize = 19;

/// State of a request whose last line has not been read.
#[derive(Default)]
struct OpenRequest {
    wait_reason: Option<String>,
    waited_ms: u64,
    failed_attempt: Option<String>,
}

#[derive(Default)]
struct Account {
    /// Finished requests by route and cause.
    causes: BTreeMap<(String, String), u64>,
    /// Finished requests by window and cause.
    windows: BTreeMap<String, BTreeMap<String, u64>>,
    open: BTreeMap<String, OpenRequest>,
    dropped_lines: u64,
    unreadable_lines: usize,
}

pub fn run(matches: &Matches) -> Exit {
    let mut account = Account::default();
    for file in &matches.free {
        match log_lines::read(Path::new(file), |line| account.add_line(&line)) {
            Ok(unreadable_lines) => account.unreadable_lines += unreadable_lines,
            Err(error) => {
                eprintln!("{file} cannot be read ({error}): check the path");
                return Exit::Unreachable;
            }
        }
    }
    if matches.opt_present("json") {
        println!("{}", account.json());
    } else {
        print!("{}", account.table());
    }
    if account.causes.is_empty() { Exit::Fault } else { Exit::Success }
}

impl Account {
    fn add_line(&mut self, line: &LogLine) {
        self.dropped_lines += line.number("left_out").unwrap_or(0);
        let (Some(message), Some(id)) = (line.text("message"), line.text("id")) else { return };
        match message {
            "waits" | "placed" | "attempt failed" => self.record(message, id, line),
            "answered" | "streamed" | "refused" | "caller left" => {
                let open = self.open.remove(id).unwrap_or_default();
                self.close(line, classify(message, line, &open));
            }
            _ => {}
        }
    }

    fn record(&mut self, message: &str, id: &str, line: &LogLine) {
        let open = self.open.entry(id.to_owned()).or_default();
        let why = line.text("why").unwrap_or_default();
        match message {
            "waits" => open.wait_reason = Some(why.to_owned()),
            "placed" => open.waited_ms = line.number("waited_ms").unwrap_or(0),
            _ => open.failed_attempt = Some(why.to_owned()),
        }
    }

    fn close(&mut self, line: &LogLine, cause: String) {
        let route = line.text("route").unwrap_or("(none)").to_owned();
        let window = window_start(line.text("timestamp").unwrap_or_default());
        *self.windows.entry(window).or_default().entry(cause.clone()).or_default() += 1;
        *self.causes.entry((route, cause)).or_default() += 1;
    }

    fn table(&self) -> String {
        let mut text = String::from("requests  route                 cause\n");
        let mut rows: Vec<_> = self.causes.iter().collect();
        rows.sort_by(|a, b| a.0.0.cmp(&b.0.0).then(b.1.cmp(a.1)));
        for ((route, cause), count) in rows {
            text.push_str(&format!("{count:>8}  {route:<20}  {cause}\n"));
        }
        text.push_str("\nwindow of 2 s         ended  in time  most of the rest\n");
        for (window, causes) in &self.windows {
            let ended: u64 = causes.values().sum();
            let in_time = causes.get(IN_TIME).copied().unwrap_or(0);
            let rest = causes.iter().filter(|(cause, _)| *cause != IN_TIME);
            let most_common_rest = rest.max_by_key(|(_, count)| **count);
            let most_common_rest =
                most_common_rest.map_or(String::new(), |(cause, count)| format!("{count} {cause}"));
            text.push_str(&format!("{window:<20}  {ended:>5}  {in_time:>7}  {most_common_rest}\n"));
        }
        for note in self.notes() {
            text.push_str(&format!("note: {note}\n"));
        }
        text
    }

    fn json(&self) -> serde_json::Value {
        let causes = self.causes.iter().map(
            |((route, cause), count)| json!({ "route": route, "cause": cause, "requests": count }),
        );
        json!({
            "causes": causes.collect::<Vec<_>>(), "windows": self.windows, "notes": self.notes(),
        })
    }

    fn notes(&self) -> Vec<String> {
        let mut notes = Vec::new();
        if self.dropped_lines > 0 {
            let dropped_lines = self.dropped_lines;
            notes.push(format!(
                "processes left out {dropped_lines} lines in floods: the metrics have all"
            ));
        }
        if self.unreadable_lines > 0 {
            notes.push(format!("{} lines cannot be read and were left out", self.unreadable_lines));
        }
        if !self.open.is_empty() {
            let open = self.open.len();
            notes.push(format!(
                "{open} requests have no end here: a process was killed, or its line left out"
            ));
        }
        notes
    }
}

const IN_TIME: &str = "in time";

fn window_start(timestamp: &str) -> String {
    let Some(second) = timestamp.get(..SECONDS_PREFIX_LEN) else { return timestamp.to_owned() };
    let (minute, seconds) = second.split_at(SECONDS_PREFIX_LEN - 2);
    match seconds.parse::<u64>() {
        Ok(seconds) => format!("{minute}{:02}", seconds / WINDOW_S * WINDOW_S),
        Err(_) => second.to_owned(),
    }
}

fn classify(message: &str, line: &LogLine, open: &OpenRequest) -> String {
    let why = |name| line.text(name).unwrap_or("no reason was logged").to_owned();
    match message {
        "refused" => format!("refused: {}", why("why")),
        "caller left" => match line.number("events") {
            Some(0) | None => "caller left before its first event".to_owned(),
            Some(_) => "caller left during its stream".to_owned(),
        },
        "streamed" if line.text("how") != Some("whole") => format!("broken off: {}", why("how")),
        "streamed" => streamed(line, open),
        _ => answered(line, open),
    }
}

fn answered(line: &LogLine, open: &OpenRequest) -> String {
    let status = line.number("status").unwrap_or(0);
    let how = line.text("how").unwrap_or_default();
    match (status, how) {
        (500.., "whole") => format!("the target answered {status}"),
        (500.., how) => format!("failed with {status}: {how}"),
        _ => classify_latency(line.number("ms"), line.number("aim_ms"), open),
    }
}

fn streamed(line: &LogLine, open: &OpenRequest) -> String {
    let cause = classify_latency(line.number("first_ms"), line.number("aim_ms"), open);
    let pause = line.number("longest_pause_ms").zip(line.number("pause_aim_ms"));
    match pause {
        Some((pause, objective)) if cause == IN_TIME && objective > 0 && pause > objective => {
            "paused too long".into()
        }
        _ => cause,
    }
}

/// Compares a latency with its objective and attributes the excess.
fn classify_latency(took_ms: Option<u64>, objective_ms: Option<u64>, open: &OpenRequest) -> String {
    let (Some(took), Some(objective)) = (took_ms, objective_ms) else { return IN_TIME.to_owned() };
    if took <= objective {
        return IN_TIME.to_owned();
    }
    if let Some(why) = &open.failed_attempt {
        return format!("late: a first attempt failed, {why}");
    }
    if open.waited_ms * 2 < took {
        return "late: at the target".to_owned();
    }
    match &open.wait_reason {
        Some(why) => format!("late: waited, {why}"),
        None => "late: waited for its turn at the target".to_owned(),
    }
}
