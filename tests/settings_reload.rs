//! Reload of a router's settings file, with and without a signal.

use nix::sys::signal::Signal;
use std::{
    path::{Path, PathBuf},
    time::{Duration, Instant},
};
use testbed::process::{Process, STATE_TIMEOUT, free_addresses};

/// Writes settings of a router without a reachable store.
fn write_settings(dir: &Path, retry_budget: &str) -> PathBuf {
    let addresses = free_addresses(4);
    let (ip, _) = addresses[0].rsplit_once(':').unwrap();
    let (_, first) = addresses[3].rsplit_once(':').unwrap();
    let text = format!(
        "node=router-a\nip={ip}\nzone=here\nlisten.front={}\nlisten.ready={}\n\
         port_range={first},{first}\nplatform.address={}\nbounds.retry_budget={retry_budget}\n",
        addresses[0], addresses[1], addresses[2]
    );
    let path = dir.join("settings.conf");
    std::fs::write(&path, text).unwrap();
    path
}

fn replace_in_file(path: &Path, old: &str, new: &str) {
    let text = std::fs::read_to_string(path).unwrap();
    assert!(text.contains(old));
    std::fs::write(path, text.replace(old, new)).unwrap();
}

/// Waits for a log line that contains `text`, after the first `read_bytes` of the log.
fn wait_for_line(log: &Path, read_bytes: &mut usize, text: &str) -> String {
    let started_at = Instant::now();
    while started_at.elapsed() < STATE_TIMEOUT {
        let all = std::fs::read_to_string(log).unwrap();
        if let Some(line) = all[*read_bytes..].lines().find(|line| line.contains(text)) {
            *read_bytes = all.len();
            return line.to_owned();
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("no line with {text:?}: {}", std::fs::read_to_string(log).unwrap());
}

/// An invalid file must neither end the router nor prevent a later reload.
#[test]
fn a_changed_file_is_applied_and_an_invalid_one_is_ignored() {
    let dir = std::env::temp_dir().join(format!("settings-reload-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = write_settings(&dir, "0.2");
    let args = ["router", "--platform"].map(str::to_owned);
    let variable = ("CORIANDERSTAND_CONFIG", path.as_path());
    let mut router = Process::start_with("router-a", "corianderstand", &args, &dir, &[variable]);
    let (log, mut read_bytes) = (dir.join("router-a.log"), 0);
    wait_for_line(&log, &mut read_bytes, "router started");
    replace_in_file(&path, "retry_budget=0.2", "retry_budget=0.3");
    router.signal(Signal::SIGHUP);
    let line = wait_for_line(&log, &mut read_bytes, "settings reloaded");
    assert!(line.contains("ratio: 0.3"), "{line}");
    replace_in_file(&path, "retry_budget=0.3", "retry_budget=much");
    let line = wait_for_line(&log, &mut read_bytes, "the settings have a fault");
    assert!(line.contains("bounds.retry_budget"), "the line names the field: {line}");
    replace_in_file(&path, "retry_budget=much", "retry_budget=0.4");
    let line = wait_for_line(&log, &mut read_bytes, "settings reloaded");
    assert!(line.contains("ratio: 0.4"), "{line}");
    assert!(router.is_running());
    std::fs::remove_dir_all(&dir).unwrap();
}
