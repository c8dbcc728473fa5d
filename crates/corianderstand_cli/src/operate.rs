//! `diff`, `apply`, `get` and `status`.

use crate::{
    Exit, check,
    client::{Client, ClientError},
    directory::{self, Documents},
};
use getopts::Matches;
use reqwest::Method;
use serde_json::{Value, json};
use std::{collections::BTreeMap, path::Path};

fn report(result: Result<Exit, ClientError>) -> Exit {
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        error.exit()
    })
}

/// What is in force: version and document by path.
fn in_force(client: &Client, prefix: &str) -> Result<BTreeMap<String, (u64, Value)>, ClientError> {
    let answer = client.ask(Method::GET, &format!("/operator/get?prefix={prefix}"), None)?;
    let documents = answer["documents"].as_array().cloned().unwrap_or_default();
    let read = |doc: Value| {
        let path = doc["path"].as_str().unwrap_or_default().to_owned();
        (path, (doc["version"].as_u64().unwrap_or_default(), doc["value"].clone()))
    };
    Ok(documents.into_iter().map(read).collect())
}

/// Changes that make what is in force like the directory.
fn changes(
    wanted: &Documents,
    current: &BTreeMap<String, (u64, Value)>,
    prune: bool,
) -> Vec<Value> {
    let mut changes = Vec::new();
    for (path, value) in wanted {
        let (base, old) = current.get(path).cloned().unwrap_or_default();
        if old != *value {
            changes.push(json!({ "path": path, "base": base, "value": value }));
        }
    }
    if prune {
        for (path, (base, _)) in current.iter().filter(|(path, _)| !wanted.contains_key(*path)) {
            changes.push(json!({ "path": path, "base": base, "value": null }));
        }
    }
    changes
}

fn print_changes(changes: &[Value]) {
    for change in changes {
        let mark = match (&change["base"], &change["value"]) {
            (_, Value::Null) => '-',
            (base, _) if *base == json!(0) => '+',
            _ => '~',
        };
        println!("{mark} {}", change["path"].as_str().unwrap_or_default());
    }
}

/// The directory's documents, or all its faults.
fn read_checked(matches: &Matches) -> Result<Documents, Exit> {
    let root = Path::new(&matches.free[0]);
    let faults = check::check_directory(root);
    for fault in &faults {
        eprintln!("{fault}");
    }
    if faults.is_empty() { Ok(directory::read(root).0) } else { Err(Exit::Fault) }
}

/// Shows what applying a directory would change.
pub fn diff(matches: &Matches) -> Exit {
    let documents = match read_checked(matches) {
        Ok(documents) => documents,
        Err(exit) => return exit,
    };
    report(Client::new(matches).and_then(|client| {
        let changes = changes(&documents, &in_force(&client, "")?, true);
        print_changes(&changes);
        Ok(Exit::Success)
    }))
}

/// Puts a directory in force.
pub fn apply(matches: &Matches) -> Exit {
    let documents = match read_checked(matches) {
        Ok(documents) => documents,
        Err(exit) => return exit,
    };
    report(Client::new(matches).and_then(|client| {
        let current = in_force(&client, "")?;
        let changes = changes(&documents, &current, matches.opt_present("prune"));
        if changes.is_empty() {
            println!("nothing to change");
            return Ok(Exit::Success);
        }
        let author = matches.opt_str("author").unwrap_or_else(|| "operator".into());
        let body = json!({ "changes": changes, "author": author });
        let answer = client.ask(Method::POST, "/operator/apply", Some(&body))?;
        print_changes(&changes);
        println!("accepted as version {}", answer["version"]);
        Ok(Exit::Success)
    }))
}

/// Shows documents in force.
pub fn get(matches: &Matches) -> Exit {
    let prefix = matches.free.first().cloned().unwrap_or_default();
    report(Client::new(matches).and_then(|client| {
        for (path, (version, value)) in in_force(&client, &prefix)? {
            println!("{}", json!({ "path": path, "version": version, "value": value }));
        }
        Ok(Exit::Success)
    }))
}

/// Shows the deployment.
pub fn status(matches: &Matches) -> Exit {
    report(Client::new(matches).and_then(|client| {
        let status = client.ask(Method::GET, "/operator/status", None)?;
        if matches.opt_present("json") {
            println!("{status}");
        } else {
            print_status(&status);
        }
        Ok(Exit::Success)
    }))
}

fn print_status(status: &Value) {
    println!("settings version {}, log up: {}", status["version"], status["log_up"]);
    println!("control lease {}: {}", status["lease"]["epoch"], status["lease"]["holder"][0]);
    println!("\n{:<20} {:<16} {:<14} address", "target", "host", "place");
    for target in status["targets"].as_array().into_iter().flatten() {
        let text = |name: &str| target[name].as_str().unwrap_or_default().to_owned();
        println!(
            "{:<20} {:<16} {:<14} {}",
            text("target"),
            text("host"),
            text("place"),
            text("address")
        );
    }
    println!("\n{:<28} {:>4}  target", "model", "slot");
    for slot in status["slots"].as_array().into_iter().flatten() {
        let text = |name: &str| slot[name].as_str().unwrap_or_default().to_owned();
        println!("{:<28} {:>4}  {}", text("model"), slot["slot"], text("target"));
    }
}
