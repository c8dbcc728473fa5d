//! The `account` command on incomplete log files.

use std::{path::PathBuf, process::Command};

fn file(name: &str, lines: &[&str]) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("account-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join(name);
    std::fs::write(&path, lines.join("\n")).unwrap();
    path
}

fn account(args: &[&str]) -> (i32, String) {
    let binary = env!("CARGO_BIN_EXE_corianderstand");
    let out = Command::new(binary).arg("account").args(args).output().unwrap();
    (out.status.code().unwrap(), String::from_utf8(out.stdout).unwrap())
}

#[test]
fn requests_are_counted_by_route_cause_and_time() {
    let one = file(
        "router-a.log",
        &[
            r#"{"timestamp":"2026-01-01T00:00:02.1Z","message":"waits","id":"a","why":"all targets are full"}"#,
            r#"{"timestamp":"2026-01-01T00:00:02.2Z","message":"placed","id":"a","waited_ms":500}"#,
            r#"{"timestamp":"2026-01-01T00:00:03.2Z","message":"streamed","id":"a","route":"chat","how":"whole","first_ms":600,"aim_ms":300,"longest_pause_ms":20,"pause_aim_ms":200}"#,
            r#"{"timestamp":"2026-01-01T00:00:03.3Z","message":"streamed","id":"b","route":"chat","how":"whole","first_ms":60,"aim_ms":300,"longest_pause_ms":20,"pause_aim_ms":200}"#,
            r#"{"timestamp":"2026-01-01T00:00:03.4Z","message":"streamed","id":"c","route":"chat","how":"whole","first_ms":60,"aim_ms":300,"longest_pause_ms":220,"pause_aim_ms":200}"#,
            r#"  3.9 edge-1 {"timestamp":"2026-01-01T00:00:03.9Z","message":"refused","id":"d","route":"chat","why":"all targets are full"}"#,
            r#"{"timestamp":"2026-01-01T00:00:04.0Z","message":"answered","id":"e","route":"pay","status":500,"how":"whole","ms":9,"aim_ms":100}"#,
            r#"{"timestamp":"2026-01-01T00:00:04.1Z","message":"lines left out","left_out":7}"#,
            r#"{"timestamp":"2026-01-01T00:00:04.2Z","message":"placed","id":"f"}"#,
            r#"{"timestamp":"2026-01-01T00:00:05Z","mess"#,
        ],
    );
    let (code, out) = account(&[one.to_str().unwrap()]);
    assert_eq!(code, 0, "{out}");
    for (route, cause) in [
        ("chat", "late: waited, all targets are full"),
        ("chat", "in time"),
        ("chat", "paused too long"),
        ("chat", "refused: all targets are full"),
        ("pay", "the target answered 500"),
    ] {
        let row = out.lines().find(|line| line.ends_with(cause) && line.contains(route));
        assert!(row.is_some_and(|row| row.trim_start().starts_with("1 ")), "{cause}: {out}");
    }
    let window = out.lines().find(|line| line.starts_with("2026-01-01T00:00:02")).unwrap();
    assert_eq!(window.split_whitespace().nth(1), Some("4"), "{out}");
    assert!(out.contains("left out 7 lines") && out.contains("1 lines cannot be read"), "{out}");
    assert!(out.contains("1 requests have no end here"), "{out}");
}

#[test]
fn json_output_has_causes() {
    let line = r#"{"timestamp":"t","message":"refused","id":"d","route":"chat","why":"full"}"#;
    let (code, out) = account(&["--json", file("router-b.log", &[line]).to_str().unwrap()]);
    let value: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(code, 0);
    assert_eq!(value["causes"][0]["cause"], "refused: full");
}

#[test]
fn files_without_requests_are_an_error() {
    let (code, _) =
        account(&[file("agent.log", &[r#"{"message":"agent started"}"#]).to_str().unwrap()]);
    assert_eq!(code, 1);
}
