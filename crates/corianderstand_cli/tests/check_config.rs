//! `check --config`: places in the operator's words, and differences from a file.

use corianderstand_cli::check_config;
use corianderstand_fleet::audit::deployment::Deployment;
use serde_json::{Value, json};
use std::{fs, path::PathBuf};

struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("config-{name}-{}", std::process::id()));
        fs::write(&path, text).expect("writable");
        Self(path)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        drop(fs::remove_file(&self.0));
    }
}

fn document(version: u64, timeout_ms: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "r", "host": "desk.example", "path_prefix": "/drafts/", "kind": "streaming",
            "timeout_ms": timeout_ms, "target_latency_ms": 300, "service": "drafts",
            "max_attempts": 1, "gap_aim_ms": 200
        }],
        "services": [{ "name": "drafts", "health_path": "/health" }],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000
        }
    })
}

#[test]
fn findings_name_the_place_in_the_file() {
    let file = TempFile::new("short", &document(8, 100).to_string());
    let cfg = check_config::read(&file.0).unwrap();
    let report = check_config::check(&cfg, None, &Deployment::default());
    let findings = &report.json()["findings"];
    assert_eq!(findings[0]["path"], "/routes/0/target_latency_ms", "{findings}");
    assert_eq!(findings[0]["severity"], "error");
    assert!(report.lines()[0].starts_with("error at /routes/0/target_latency_ms: "));
    assert_eq!(report.exit() as i32, 1);
}

#[test]
fn differences_from_the_configuration_in_force_are_listed() {
    let (before, after) = (document(8, 9_000), document(9, 12_000));
    let before = TempFile::new("before", &before.to_string());
    let after = TempFile::new("after", &after.to_string());
    let in_force = check_config::read(&before.0).unwrap();
    let cfg = check_config::read(&after.0).unwrap();
    let report = check_config::check(&cfg, Some(&in_force), &Deployment::default());
    assert_eq!(report.exit() as i32, 0);
    let expected = json!([{
        "entry": "route `desk.example/drafts/`",
        "change": "timeout: 9000 ms becomes 12000 ms"
    }]);
    assert_eq!(report.json()["changes"], expected);
}

/// Guards against a file that is cut off and taken for a sound one.
#[test]
fn a_file_that_is_no_configuration_is_an_error() {
    let text = document(8, 9_000).to_string();
    let file = TempFile::new("half", &text[..text.len() / 2]);
    let error = check_config::read(&file.0).unwrap_err();
    assert!(error.to_string().contains("is no configuration"), "{error}");
}

/// Guards against a budget that is read from settings and not compared, or told without its place.
#[test]
fn attempts_beyond_the_budget_in_a_routers_settings_are_told() {
    let settings = "node=n\nzone=z\nip=127.0.0.1\nlisten.front=127.0.0.1:80\nlisten.ready=127.0.0.1:81\n\
        port_range=7380,7395\nbounds.retry_budget=0\nbounds.retry_slack=1\n";
    let mut document = document(8, 9_000);
    document["routes"][0]["max_attempts"] = json!(4);
    document["routes"][0]["resumable"] = json!(true);
    let (cfg, settings) =
        (TempFile::new("four", &document.to_string()), TempFile::new("settings", settings));
    let allowance = check_config::read_allowance(settings.0.display().to_string()).unwrap();
    let deployment = Deployment { allowance: Some(allowance), targets: None };
    let report = check_config::check(&check_config::read(&cfg.0).unwrap(), None, &deployment);
    let finding = &report.json()["findings"][0];
    assert_eq!(finding["path"], "/routes/0/max_attempts", "{finding}");
    assert_eq!(finding["severity"], "warning");
    assert!(!finding["remedy"].as_str().unwrap().is_empty());
    assert_eq!(report.exit() as i32, 1);
}
