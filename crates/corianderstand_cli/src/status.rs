//! `status`: state of the deployment as seen by a router.

use crate::{Exit, client::Client, operate};
use getopts::Matches;
use reqwest::Method;
use serde_json::Value;
use std::{thread, time::Duration};

const DEFAULT_INTERVAL_MS: u64 = 2000;
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

pub fn run(matches: &Matches) -> Exit {
    let interval = match matches.opt_get_default("interval-ms", DEFAULT_INTERVAL_MS) {
        Ok(ms) => Duration::from_millis(ms),
        Err(error) => {
            eprintln!("--interval-ms: {error}: give a whole number of milliseconds");
            return Exit::Usage;
        }
    };
    operate::exit_code(Client::new(matches).and_then(|client| {
        loop {
            let status = client.request(Method::GET, "/operator/status", None);
            let watch = matches.opt_present("watch");
            match status {
                // Keep watching, as the router may become reachable again.
                Err(error) if watch => println!("{error}"),
                Err(error) => return Err(error),
                Ok(status) if matches.opt_present("json") => println!("{status}"),
                Ok(status) => {
                    let clear = if watch { CLEAR_SCREEN } else { "" };
                    println!("{clear}{}", table(&status));
                }
            }
            if !watch {
                return Ok(Exit::Success);
            }
            thread::sleep(interval);
        }
    }))
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Formats a titled table with aligned columns.
fn format_list(title: &str, columns: &[&str], list: &Value) -> String {
    let head: Vec<String> = columns.iter().map(|column| (*column).to_owned()).collect();
    let list = list.as_array().into_iter().flatten();
    let cells = |item: &Value| columns.iter().map(|column| cell(&item[*column])).collect();
    let rows: Vec<Vec<String>> = std::iter::once(head).chain(list.map(cells)).collect();
    let widths: Vec<usize> = (0..columns.len())
        .map(|i| rows.iter().map(|row| row[i].chars().count()).max().unwrap_or_default())
        .collect();
    let mut text = format!("\n{title}\n");
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(&format!("  {}\n", line.trim_end()));
    }
    text
}

fn table(status: &Value) -> String {
    let lease = &status["lease"];
    let mut text =
        format!("settings version {}, log up: {}\n", status["version"], status["log_up"]);
    text.push_str(&format!(
        "control lease, epoch {}: {} (plans slots, writes checkpoints)\n",
        lease["epoch"],
        cell(&lease["holder"][0])
    ));
    text.push_str(&format_list("routers", &["router", "reached", "version"], &status["routers"]));
    let columns = ["target", "host", "place", "address", "service", "reached", "version"];
    text.push_str(&format_list("targets", &columns, &status["targets"]));
    text.push_str(&format_list("slots", &["model", "slot", "target", "stage"], &status["slots"]));
    let columns = ["target", "weights", "stage", "memory_mib", "users"];
    text.push_str(&format_list("loaded", &columns, &status["holdings"]));
    text
}
