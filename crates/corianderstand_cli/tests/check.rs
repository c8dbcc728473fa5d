//! `check` reports all violations at once, each with its file, path and remedy.

use corianderstand_cli::check;
use rstest::rstest;
use serde_json::{Value, json};
use std::{
    fs,
    path::{Path, PathBuf},
};

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str, files: &[(&str, Value)]) -> Self {
        let root = std::env::temp_dir().join(format!("check-{name}-{}", std::process::id()));
        for (path, value) in files {
            let file = root.join(format!("{path}.json"));
            fs::create_dir_all(file.parent().expect("a file lies in a folder")).expect("writable");
            fs::write(file, value.to_string()).expect("writable");
        }
        Self(root)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

#[rstest]
#[case("settings")]
#[case("process/router.json")]
#[case("process/agent-engine.json")]
#[case("process/agent-service.json")]
fn examples_are_valid(#[case] path: &str) {
    assert_eq!(check::check_path(&examples().join(path)), []);
}

fn model(versions: Value) -> Value {
    json!({ "memory_mib": 1, "versions": versions, "adapter_memory_mib": 1 })
}

/// Reporting one violation at a time would take operators a run for each.
#[rstest]
fn all_violations_of_a_directory_are_reported() {
    let hash = "a".repeat(64);
    let team = json!({ "key_hashes": [hash], "default_urgency": "normal", "share": 600 });
    let mut long_default = team.clone();
    long_default["default_deadline_ms"] = json!(5000);
    long_default["max_deadline_ms"] = json!(1000);
    let dir = TempDir::new(
        "directory",
        &[
            ("system/deployment", json!({ "lease_ttl_ms": 5, "lease_tll_ms": 9000 })),
            ("shared/models/a", model(json!(["1", "1"]))),
            ("shared/models/b", json!({ "memory_mib": "16 GiB", "versions": ["no spaces"] })),
            ("shared/models/c", model(json!(["1"]))),
            ("shared/modles/c", json!({})),
            ("teams/x/team", team),
            ("teams/y/team", long_default),
            (
                "teams/x/models/a",
                json!({ "replicas": 1, "versions": ["2"],
                "adapters": [{ "name": "p", "version": "1" }, { "name": "p", "version": "1" }] }),
            ),
            ("teams/x/models/c", json!({ "replicas": 0, "urgency": "very" })),
            ("teams/x/models/d", json!({ "replicas": 1 })),
            ("teams/z/services/s", json!({ "path_prefixes": [] })),
        ],
    );
    fs::write(dir.0.join("system/broken.json"), "{").expect("writable");
    let faults = check::check_path(&dir.0);
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let expected = [
        ("system/broken.json", "", "not JSON"),
        ("system/deployment.json", "/lease_ttl_ms", "5 is less than 500"),
        ("system/deployment.json", "/lease_tll_ms", "remove it, or use one of: "),
        ("shared/models/a.json", "/versions/1", "twice"),
        ("shared/models/b.json", "/memory_mib", "whole number of MiB from 0 to 4194304"),
        ("shared/models/b.json", "/versions/0", "name of a version"),
        ("shared/models/b.json", "/", "`adapter_memory_mib` is missing; add it: Engine memory"),
        ("shared/modles/c.json", "/", "no document belongs"),
        ("teams/x/models/a.json", "/versions/0", "no version `2`; use one of 1"),
        ("teams/x/models/a.json", "/adapters/1", "twice"),
        ("teams/x/models/c.json", "/replicas", "no team holds a replica"),
        ("teams/x/models/c.json", "/urgency", "\"low\" or \"normal\" or \"urgent\""),
        ("teams/x/models/d.json", "/", "no document `shared/models/d`"),
        ("teams/x/team.json", "/share", "add up to 1200"),
        ("teams/y/team.json", "/key_hashes/0", "teams/x/team"),
        ("teams/y/team.json", "/default_deadline_ms", "raise max_deadline_ms"),
        ("teams/z/services/s.json", "/path_prefixes", "fewer than 1 items"),
        ("teams/z/services/s.json", "/", "no document `teams/z/team`"),
    ];
    for (file, path, expected_text) in expected {
        let at = if path.is_empty() { String::new() } else { format!("{file} at {path}: ") };
        let found =
            lines.iter().any(|l| l.contains(file) && l.contains(&at) && l.contains(expected_text));
        assert!(found, "{file} {path}: {expected_text}\nin\n{}", lines.join("\n"));
    }
}

/// An unknown field or a bad value would otherwise be ignored at start.
#[rstest]
#[case("router", json!({ "limits": { "max_conections": 5 } }), "/limits/max_conections")]
#[case("router", json!({ "limits": { "read_timeout_ms": "10s" } }), "whole number of milliseconds")]
#[case("router", json!({ "listen": "localhost:80" }), "/listen")]
#[case("router", json!({ "peers": ["192.0.2.1"] }), "/peers/0")]
#[case("router", json!({ "place": "a b" }), "name of a place")]
#[case("agent-engine", json!({ "timing": { "silence_ms": 600 } }), "/timing/silence_ms")]
#[case("agent-engine", json!({ "target": { "url": "http://192.0.2.1", "kind": { "engine":
    { "memory_mib": -5, "checks_fencing": true } } } }), "/target/kind/engine/memory_mib")]
#[case("agent-engine", json!({ "target": { "url": "ftp://192.0.2.1" } }), "/target/url")]
fn an_invalid_process_file_names_the_field(
    #[case] kind: &str,
    #[case] changes: Value,
    #[case] expected_text: &str,
) {
    let text = fs::read_to_string(examples().join(format!("process/{kind}.json")));
    let mut value: Value = serde_json::from_str(&text.expect("an example")).expect("JSON");
    for (field, changed) in changes.as_object().into_iter().flatten() {
        value[field] = changed.clone();
    }
    let dir = TempDir::new(&format!("process-{}", expected_text.len()), &[("p", value)]);
    let faults = check::check_path(&dir.0.join("p.json"));
    assert!(faults.iter().any(|fault| fault.to_string().contains(expected_text)), "{faults:#?}");
}

#[rstest]
fn an_unknown_kind_of_file_is_rejected() {
    let dir = TempDir::new("neither", &[("p", json!({ "name": "x" }))]);
    let faults = check::check_path(&dir.0.join("p.json"));
    assert!(faults[0].to_string().contains("neither"), "{faults:#?}");
}
