//! `diff`, `apply`, `get` and `history`.

use crate::{
    Exit, check,
    client::{Client, ClientError},
    directory::{self, Documents},
    fields,
};
use getopts::Matches;
use reqwest::Method;
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    path::Path,
    time::{Duration, Instant},
};

/// Prints the error, if any, and returns the exit code.
pub fn exit_code(result: Result<Exit, ClientError>) -> Exit {
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        error.exit()
    })
}

/// Versions and values by path.
fn documents_in_force(
    client: &Client,
    prefix: &str,
) -> Result<BTreeMap<String, (u64, Value)>, ClientError> {
    let response = client.request(Method::GET, &query("/operator/get", "prefix", prefix), None)?;
    let documents = response["documents"].as_array().cloned().unwrap_or_default();
    let read = |doc: Value| {
        let path = doc["path"].as_str().unwrap_or_default().to_owned();
        (path, (doc["version"].as_u64().unwrap_or_default(), doc["value"].clone()))
    };
    Ok(documents.into_iter().map(read).collect())
}

/// Changes that turn the documents in force into those of the directory.
fn changes(
    desired: &Documents,
    current: &BTreeMap<String, (u64, Value)>,
    prune: bool,
) -> Vec<Value> {
    let mut changes = Vec::new();
    for (path, value) in desired {
        let (base, old) = current.get(path).cloned().unwrap_or_default();
        if old != *value {
            changes.push(json!({ "path": path, "base": base, "value": value }));
        }
    }
    if prune {
        for (path, (base, _)) in current.iter().filter(|(path, _)| !desired.contains_key(*path)) {
            changes.push(json!({ "path": path, "base": base, "value": null }));
        }
    }
    changes
}

fn print_changes(changes: &[Value], current: &BTreeMap<String, (u64, Value)>) {
    for change in changes {
        let path = change["path"].as_str().unwrap_or_default();
        let old = current.get(path).map_or(&Value::Null, |(_, value)| value);
        let marker = match (old, &change["value"]) {
            (_, Value::Null) => '-',
            (Value::Null, _) => '+',
            _ => '~',
        };
        println!("{marker} {path}");
        for field in fields::changed(old, &change["value"]) {
            println!("    {field}");
        }
    }
}

fn changes_json(changes: &[Value], current: &BTreeMap<String, (u64, Value)>) -> Value {
    let with_old = |change: &Value| {
        let path = change["path"].as_str().unwrap_or_default();
        let old = current.get(path).map_or(&Value::Null, |(_, value)| value);
        json!({ "path": path, "base": change["base"], "old": old, "new": change["value"] })
    };
    changes.iter().map(with_old).collect()
}

fn read_checked(matches: &Matches) -> Result<Documents, Exit> {
    let root = Path::new(&matches.free[0]);
    let faults = check::check_directory(root);
    for fault in &faults {
        eprintln!("{fault}");
    }
    if faults.is_empty() { Ok(directory::read(root).0) } else { Err(Exit::Fault) }
}

pub fn diff(matches: &Matches) -> Exit {
    let documents = match read_checked(matches) {
        Ok(documents) => documents,
        Err(exit) => return exit,
    };
    exit_code(Client::new(matches).and_then(|client| {
        let current = documents_in_force(&client, "")?;
        let changes = changes(&documents, &current, true);
        if matches.opt_present("json") {
            println!("{}", changes_json(&changes, &current));
        } else if changes.is_empty() {
            println!("no difference");
        } else {
            print_changes(&changes, &current);
        }
        Ok(Exit::Success)
    }))
}

const IN_FORCE_WAIT_LIMIT: Duration = Duration::from_secs(15);
const SPREAD_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Polls until all responsive routers have the version in force, or the wait limit has passed.
fn wait_until_in_force(client: &Client, version: &Value) -> Result<Value, ClientError> {
    let started_at = Instant::now();
    loop {
        let path = format!("/operator/spread?version={version}");
        let spread = client.request(Method::GET, &path, None)?;
        let count = |name: &str| spread[name].as_u64().unwrap_or_default();
        let all = count("in_force") + count("silent") >= count("routers");
        if all || started_at.elapsed() >= IN_FORCE_WAIT_LIMIT {
            return Ok(spread);
        }
        std::thread::sleep(SPREAD_POLL_INTERVAL);
    }
}

fn print_spread(spread: &Value) {
    if spread.is_object() {
        let (in_force, routers) = (&spread["in_force"], &spread["routers"]);
        println!("in force on {in_force} of {routers} routers, {} unresponsive", spread["silent"]);
    }
}

pub fn apply(matches: &Matches) -> Exit {
    let documents = match read_checked(matches) {
        Ok(documents) => documents,
        Err(exit) => return exit,
    };
    exit_code(Client::new(matches).and_then(|client| {
        let current = documents_in_force(&client, "")?;
        let changes = changes(&documents, &current, matches.opt_present("prune"));
        let as_json = matches.opt_present("json");
        if changes.is_empty() {
            let unchanged = json!({ "version": null, "changes": [] });
            println!(
                "{}",
                if as_json { unchanged.to_string() } else { "nothing to change".into() }
            );
            return Ok(Exit::Success);
        }
        let author = matches.opt_str("author").unwrap_or_else(|| "operator".into());
        let body = json!({ "changes": changes, "author": author });
        let mut response = client.request(Method::POST, "/operator/apply", Some(&body))?;
        if matches.opt_present("wait") {
            response["spread"] = wait_until_in_force(&client, &response["version"])?;
        }
        if as_json {
            let changes = changes_json(&changes, &current);
            println!(
                "{}",
                json!({ "version": response["version"], "changes": changes,
                "spread": response["spread"] })
            );
        } else {
            print_changes(&changes, &current);
            println!("accepted as version {}", response["version"]);
            print_spread(&response["spread"]);
        }
        Ok(Exit::Success)
    }))
}

pub fn get(matches: &Matches) -> Exit {
    let prefix = matches.free.first().cloned().unwrap_or_default();
    exit_code(Client::new(matches).and_then(|client| {
        let documents = documents_in_force(&client, &prefix)?;
        if documents.is_empty() {
            eprintln!("no document is in force at or below `{prefix}`: see `corianderstand get`");
            return Ok(Exit::Fault);
        }
        for (path, (version, value)) in documents {
            if matches.opt_present("json") {
                println!("{}", json!({ "path": path, "version": version, "value": value }));
            } else {
                println!("{path} (version {version})\n{value:#}");
            }
        }
        Ok(Exit::Success)
    }))
}

pub fn history(matches: &Matches) -> Exit {
    let path = &matches.free[0];
    exit_code(Client::new(matches).and_then(|client| {
        let response =
            client.request(Method::GET, &query("/operator/history", "prefix", path), None)?;
        if matches.opt_present("json") {
            println!("{response}");
            return Ok(Exit::Success);
        }
        for entry in response["entries"].as_array().into_iter().flatten() {
            let author = entry["author"].as_str().unwrap_or_default();
            let result = match entry["refused"].as_str() {
                Some(reason) => format!("refused: {reason}"),
                None => format!("accepted as version {}", entry["offset"]),
            };
            println!("{} ms after 1970, {author}: {result}", entry["at_ms"]);
            for path in entry["paths"].as_array().into_iter().flatten() {
                println!("    {}", path.as_str().unwrap_or_default());
            }
        }
        Ok(Exit::Success)
    }))
}

fn query(path: &str, name: &str, value: &str) -> String {
    let query = reqwest::Url::parse_with_params("http://router/", [(name, value)]);
    let query = query.ok().and_then(|url| url.query().map(str::to_owned)).unwrap_or_default();
    format!("{path}?{query}")
}
