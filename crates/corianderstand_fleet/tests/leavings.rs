//! Targets that leave stay away, whatever is heard of them later.

mod common;

use common::{
    entries::{entry, holdings},
    id,
};
use corianderstand_fleet::targets::{
    AgentReport, EngineReplacement, Entry, Holdings, Load, RegistrationChange, Targets,
};
use corianderstand_types::names::ModelId;
use std::time::{Duration, Instant};

const GRACE: Duration = Duration::from_secs(2);

fn report(name: &str) -> AgentReport {
    AgentReport {
        id: id(name),
        started_at_ms: 20,
        holdings: Holdings::default(),
        cached_weights_reported: false,
        ongoing: None,
        load: Load::default(),
    }
}

fn replacement(name: &str, previous: &str) -> EngineReplacement {
    EngineReplacement { id: id(name), started_at_ms: 20, previous_id: id(previous) }
}

/// Guards against an outdated entry that makes a draining engine available again.
#[test]
fn an_outdated_entry_is_ignored() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    let draining = Entry { renewals: 6, draining: true, ..entry("e") };
    assert_eq!(targets.register(now, draining), RegistrationChange::Draining);
    assert_eq!(targets.register(now, entry("e")), RegistrationChange::Stale);
    let key = targets.key(&id("e")).unwrap();
    assert!(!targets.get(key).unwrap().accepts_requests(now));
    targets.remove(now, &id("e"), None);
    assert_eq!(
        targets.register(now, entry("e")),
        RegistrationChange::Stale,
        "the incarnation has ended"
    );
}

/// Guards against removing a live engine whose entry is missing after a store outage.
#[test]
fn a_removed_entry_has_a_grace_period() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    targets.register(now, entry("f"));
    targets.remove(now, &id("e"), Some(now));
    targets.remove(now, &id("f"), Some(now));
    assert!(targets.expire(now + GRACE / 2, GRACE, None).is_empty());
    targets.register(now + GRACE / 2, Entry { renewals: 6, ..entry("e") });
    assert_eq!(targets.expire(now + GRACE, GRACE, None), [id("f")]);
    assert!(targets.key(&id("e")).is_some());
}

/// Guards against waiting for the registration of an engine restarted under a new name.
#[test]
fn an_engine_restarted_under_another_name_is_known_before_it_registers() {
    let now = Instant::now();
    let mut targets = Targets::default();
    let on_disk = Holdings { on_disk: vec!["m".into()], ..holdings(&["m"]) };
    targets.register(now, Entry { holdings: on_disk, ..entry("e") });
    targets.remove(now, &id("e"), None);
    let replaced = replacement("f", "e");
    assert!(targets.replace(now, &replaced));
    let found = |targets: &Targets| targets.get(targets.key(&id("f")).unwrap()).unwrap().clone();
    assert_eq!(found(&targets).entry.addr, entry("e").addr);
    assert_eq!(
        found(&targets).entry.holdings.on_disk,
        [ModelId::from("m")],
        "weights on disk persist"
    );
    assert!(!found(&targets).serves(now, &"m".into()), "no model is loaded after a restart");
    assert!(!targets.replace(now, &replaced), "repeated report");
    assert_eq!(
        targets.register(now, entry("e")),
        RegistrationChange::Stale,
        "the previous name has ended"
    );
    targets.register(now, Entry { started_at_ms: 20, renewals: 1, ..entry("f") });
    assert!(targets.expire(now + GRACE, GRACE, None).is_empty(), "it has registered");
    targets.remove(now, &id("f"), None);
    assert!(!targets.replace(now, &replaced), "the previous name is no longer known");
}

/// An engine known only from its agent must expire when the agent is unresponsive.
#[test]
fn an_unregistered_engine_expires_when_its_agent_is_unresponsive() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    assert!(targets.replace(now, &replacement("f", "e")));
    assert!(targets.report(now + GRACE / 2, report("f")));
    assert!(targets.expire(now + GRACE, GRACE, None).is_empty(), "its agent reported a second ago");
    assert_eq!(targets.expire(now + GRACE * 2, GRACE, None), [id("f")]);
}

/// Guards against a grace period that begins with each removal: the store's entries return soon after it or never.
#[test]
fn the_grace_period_counts_from_the_recovery_of_the_store() {
    let recovered_at = Instant::now();
    let removed_at = recovered_at + GRACE * 3 / 4;
    let mut targets = Targets::default();
    targets.register(recovered_at, entry("e"));
    targets.remove(removed_at, &id("e"), Some(recovered_at));
    assert!(targets.expire(removed_at, GRACE, None).is_empty());
    assert_eq!(targets.expire(recovered_at + GRACE, GRACE, None), [id("e")]);
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
    let same_start = AgentReport { started_at_ms: entry("e").started_at_ms, ..report("e") };
    assert!(targets.report(now + GRACE / 2, same_start));
    assert_eq!(targets.expire(now + GRACE, GRACE, None), [id("e")]);
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
    assert_eq!(targets.expire(now + GRACE, GRACE, None), [id("f")]);
}

/// Guards against an agent's repeated report of a new name that brings back an engine whose entry is gone.
#[test]
fn a_repeated_report_of_a_new_name_does_not_bring_back_a_removed_target() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    targets.register(now, Entry { addr: entry("e").addr, ..entry("f") });
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

/// Guards against an engine whose entry came and went unseen, and that stays for as long as its agent reports.
#[test]
fn an_inferred_target_without_an_entry_in_later_reads_expires() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    assert!(targets.replace(now, &replacement("f", "e")));
    let later = now + GRACE;
    assert!(targets.report(later, report("f")));
    assert!(targets.expire(later, GRACE, Some(now)).is_empty(), "the store is away since");
    assert_eq!(targets.expire(later, GRACE, Some(later)), [id("f")]);
    assert!(!targets.replace(later, &replacement("f", "e")), "it has left");
}
