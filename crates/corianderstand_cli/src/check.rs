//! `check`: reports all violations in settings directories and process settings files.

use crate::{Exit, cross_document, directory};
use corianderstand_schema::check::{self, Document, Violation};
use corianderstand_state::view;
use getopts::Matches;
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

/// A violation with the file that contains it.
#[derive(Debug, PartialEq, displaydoc::Display)]
pub enum FileFault {
    /// {0}
    Unreadable(String),
    /// {file} {fault}
    Invalid {
        /// File path as displayed.
        file: String,
        /// Violation in that file.
        fault: Violation,
    },
}

impl FileFault {
    fn new(file: &Path, fault: Violation) -> Self {
        Self::Invalid { file: file.display().to_string(), fault }
    }

    fn json(&self) -> Value {
        match self {
            Self::Unreadable(message) => json!({ "problem": message }),
            Self::Invalid { file, fault } => json!({ "file": file, "path": fault.path,
                "problem": fault.problem, "remedy": fault.remedy }),
        }
    }
}

/// Runs the command.
pub fn run(matches: &Matches) -> Exit {
    let faults: Vec<FileFault> =
        matches.free.iter().flat_map(|path| check_path(Path::new(path))).collect();
    if matches.opt_present("json") {
        println!("{}", Value::Array(faults.iter().map(FileFault::json).collect()));
    } else {
        faults.iter().for_each(|fault| println!("{fault}"));
        if faults.is_empty() {
            println!("no faults found");
        }
    }
    if faults.is_empty() { Exit::Success } else { Exit::Fault }
}

/// Checks a settings directory or a process settings file.
pub fn check_path(path: &Path) -> Vec<FileFault> {
    if path.is_dir() { check_directory(path) } else { check_process(path) }
}

/// Checks a settings directory.
pub fn check_directory(root: &Path) -> Vec<FileFault> {
    let (documents, errors) = directory::read(root);
    let file = |document: &str| -> PathBuf { root.join(format!("{document}.json")) };
    let unreadable = errors.into_iter().map(|error| FileFault::Unreadable(error.to_string()));
    let within = documents.iter().flat_map(|(path, value)| {
        let faults = view::check_document(path, value).into_iter();
        faults.map(move |fault| FileFault::new(&file(path), fault))
    });
    let across = cross_document::check(&documents).into_iter();
    let across = across.map(|(document, fault)| FileFault::new(&file(&document), fault));
    unreadable.chain(within).chain(across).collect()
}

fn check_process(path: &Path) -> Vec<FileFault> {
    let value = match directory::read_file(path) {
        Ok(value) => value,
        Err(error) => return vec![FileFault::Unreadable(error.to_string())],
    };
    let agent = value.get("target").is_some();
    let router = value.get("auth_key").is_some() || value.get("operator_key_hash").is_some();
    match (agent, router) {
        (true, _) => process_faults(Document::Agent, path, &value),
        (false, true) => process_faults(Document::Router, path, &value),
        (false, false) => vec![FileFault::new(
            path,
            Violation {
                path: "/".into(),
                problem: "these are neither settings of an agent nor of a router".into(),
                remedy: "set `target` for an agent, `auth_key` and `operator_key_hash` for a \
                    router; pass a settings directory by its path"
                    .into(),
            },
        )],
    }
}

/// Checks a process settings file of a known kind.
pub fn process_faults(kind: Document, path: &Path, value: &Value) -> Vec<FileFault> {
    let mut faults = check::check(kind, value);
    faults.extend(timing_conflicts(value));
    faults.extend(invalid_addresses(value));
    faults.into_iter().map(|fault| FileFault::new(path, fault)).collect()
}

fn timing_conflicts(value: &Value) -> Vec<Violation> {
    let ms = |name: &str, default: u64| value["timing"][name].as_u64().unwrap_or(default);
    let mut faults = Vec::new();
    if ms("silence_ms", 2000) < 2 * ms("heartbeat_ms", 500) {
        faults.push(Violation {
            path: "/timing/silence_ms".into(),
            problem: "it is less than two heartbeats".into(),
            remedy: "raise silence_ms or lower heartbeat_ms, or short pauses close connections"
                .into(),
        });
    }
    faults
}

/// Addresses must be literal IP addresses with a port, as names are never resolved.
fn invalid_addresses(value: &Value) -> Vec<Violation> {
    let field = |name: &str| Some((format!("/{name}"), value[name].as_str()?.to_owned()));
    let peers = value["peers"].as_array().into_iter().flatten().enumerate();
    let peers = peers.filter_map(|(i, peer)| Some((format!("/peers/{i}"), peer.as_str()?.into())));
    let all = ["listen", "advertise", "statsd"].into_iter().filter_map(field).chain(peers);
    let invalid = all.filter(|(_, address)| address.parse::<SocketAddr>().is_err());
    let describe = |(path, address)| Violation {
        path,
        problem: format!("{address:?} is not an IP address with a port"),
        remedy: "use the form 192.0.2.1:8080".into(),
    };
    invalid.map(describe).collect()
}
