//! `corianderstand check`: all faults of settings directories and process files at once.

use crate::{Exit, directory};
use corianderstand_schema::check::{self, Document};
use corianderstand_state::view;
use getopts::Matches;
use serde_json::Value;
use std::path::Path;

/// Checks every path named on the command line.
pub fn run(matches: &Matches) -> Exit {
    let faults: Vec<String> =
        matches.free.iter().flat_map(|path| check_path(Path::new(path))).collect();
    for fault in &faults {
        println!("{fault}");
    }
    if faults.is_empty() {
        println!("no faults found");
        return Exit::Success;
    }
    Exit::Fault
}

fn check_path(path: &Path) -> Vec<String> {
    if path.is_dir() { check_directory(path) } else { check_process(path) }
}

/// All faults of a settings directory, each with its file.
pub fn check_directory(root: &Path) -> Vec<String> {
    let (documents, errors) = directory::read(root);
    let unread = errors.into_iter().map(|error| error.to_string());
    let alone = documents.iter().flat_map(|(path, value)| {
        let file = root.join(path).with_extension("json");
        let faults = view::check_document(path, value).into_iter();
        faults.map(move |fault| format!("{} {fault}", file.display()))
    });
    let together = check_together(root, &documents);
    unread.chain(alone).chain(together).collect()
}

/// Faults that only show between documents.
fn check_together(root: &Path, documents: &directory::Documents) -> Vec<String> {
    let mut faults = Vec::new();
    for path in documents.keys() {
        let needed = match path.split('/').collect::<Vec<_>>()[..] {
            ["teams", _, kind, name] => format!("shared/{kind}/{name}"),
            _ => continue,
        };
        if !documents.contains_key(&needed) {
            let file = root.join(path).with_extension("json");
            faults.push(format!(
                "{} at /: there is no document `{needed}`; add it, or remove this one",
                file.display()
            ));
        }
    }
    faults
}

/// All faults of one process settings file.
fn check_process(path: &Path) -> Vec<String> {
    let value = match directory::read_file(path) {
        Ok(value) => value,
        Err(error) => return vec![error.to_string()],
    };
    let kind = if value.get("target").is_some() { Document::Agent } else { Document::Router };
    process_faults(kind, path, &value)
}

/// Faults of a process settings file of a known kind.
pub fn process_faults(kind: Document, path: &Path, value: &Value) -> Vec<String> {
    let mut faults = check::check(kind, value);
    let timing = &value["timing"];
    let ms = |name: &str, default: u64| timing[name].as_u64().unwrap_or(default);
    if ms("silence_ms", 2000) < 2 * ms("heartbeat_ms", 500) {
        faults.push(check::Fault {
            path: "/timing/silence_ms".into(),
            problem: "it is less than two heartbeats".into(),
            remedy: "raise silence_ms or lower heartbeat_ms, or every pause cuts a connection"
                .into(),
        });
    }
    faults.into_iter().map(|fault| format!("{} {fault}", path.display())).collect()
}
