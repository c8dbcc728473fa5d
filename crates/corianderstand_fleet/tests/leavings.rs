//! Targets that leave stay away, whatever is heard of them later.

mod common;

use common::id;
use corianderstand_fleet::targets::{
    AgentReport, EngineReplacement, Entry, Holdings, Load, Targets,
};
use std::time::{Duration, Instant};

const GRACE: Duration = Duration::from_secs(2);

fn entry(name: &str) -> Entry {
    Entry {
        id: id(name),
        started_at_ms: 0,
        renewals: 5,
        service: "models".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: "here".into(),
        slots: 8,
        draining: false,
        shutdown_in: None,
        holdings: Holdings::default(),
    }
}

fn report(name: &str) -> AgentReport {
    AgentReport {
        id: id(name),
        started_at_ms: 0,
        holdings: Holdings::default(),
        cached_weights_reported: false,
        ongoing: None,
        load: Load::default(),
    }
}

fn replacement(name: &str, previous: &str) -> EngineReplacement {
    EngineReplacement { id: id(name), started_at_ms: 0, previous_id: id(previous) }
}

/// Guards against a grace period that begins with each removal: the store's entries return soon after it or never.
#[test]
fn the_grace_period_counts_from_the_recovery_of_the_store() {
    let recovered_at = Instant::now();
    let removed_at = recovered_at + GRACE * 3 / 4;
    let mut targets = Targets::default();
    targets.register(recovered_at, entry("e"));
    targets.remove(removed_at, &id("e"), Some(recovered_at));
    assert!(targets.expire(removed_at, GRACE).is_empty());
    assert_eq!(targets.expire(recovered_at + GRACE, GRACE), [id("e")]);
}
