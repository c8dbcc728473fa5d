//! Targets that leave stay away, whatever is heard of them later.

mod common;

use common::id;
use corianderstand_fleet::targets::{
    AgentReport, EngineReplacement, Entry, Holdings, Load, RegistrationChange, Targets,
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

/// Guards against a removed target that stays for as long as its agent reports.
#[rstest::rstest]
#[case::whose_entry_was_never_renewed(0)]
#[case::whose_entry_was_renewed(5)]
fn a_registered_target_expires_although_its_agent_reports(#[case] renewals: u64) {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, Entry { renewals, ..entry("e") });
    targets.remove(now, &id("e"), Some(now));
    assert!(targets.report(now + GRACE / 2, report("e")));
    assert_eq!(targets.expire(now + GRACE, GRACE), [id("e")]);
}

/// Guards against the same for a target that was known from its agent before its entry was removed.
#[test]
fn an_inferred_target_expires_once_its_entry_was_removed() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    assert!(targets.replace(now, &replacement("f", "e")));
    targets.remove(now, &id("f"), Some(now));
    assert!(targets.report(now + GRACE / 2, report("f")));
    assert_eq!(targets.expire(now + GRACE, GRACE), [id("f")]);
}

/// Guards against an agent's repeated report of a new name that brings back an engine whose entry is gone.
#[test]
fn a_repeated_report_of_a_new_name_does_not_bring_back_a_removed_target() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    targets.register(now, entry("f"));
    targets.remove(now, &id("f"), None);
    assert!(!targets.replace(now, &replacement("f", "e")));
}

/// Guards against an engine that is used although its removal was heard before anything else of it.
#[test]
fn a_target_that_was_removed_before_it_was_known_stays_away() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    targets.remove(now, &id("f"), None);
    assert!(!targets.replace(now, &replacement("f", "e")));
    let host = entry("e").addr.ip();
    assert!(!targets.infer_successor(now, &id("f"), 0, host, |_| true));
    assert_eq!(targets.register(now, entry("f")), RegistrationChange::New, "its entry is back");
}

/// Guards against a leaving that is ignored, as the target counts its renewals anew.
#[test]
fn a_draining_entry_counts_whatever_its_renewals() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    let draining = Entry { renewals: 1, draining: true, ..entry("e") };
    assert_eq!(targets.register(now, draining), RegistrationChange::Draining);
    let key = targets.key(&id("e")).unwrap();
    assert!(!targets.get(key).unwrap().accepts_requests(now));
}
