//! Agents that report to few routers: what the others know of their engines.

use corianderstand_fleet::targets::{
    AgentReport, Entry, Holdings, Load, OngoingCommand, Resident, TargetKey, Targets,
};
use std::time::{Duration, Instant};

/// Longer than an agent's last report counts.
const SILENCE: Duration = Duration::from_secs(3);

fn holdings(models: &[&str]) -> Holdings {
    let resident = models
        .iter()
        .map(|model| Resident { model: (*model).into(), adapters: Vec::new() })
        .collect();
    Holdings { resident, ..Default::default() }
}

fn entry(renewals: u64, models: &[&str]) -> Entry {
    Entry {
        id: "e".into(),
        started_at_ms: 10,
        renewals,
        service: "models".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: "here".into(),
        slots: 8,
        draining: false,
        shutdown_in: None,
        version: None,
        holdings: holdings(models),
    }
}

fn report(models: &[&str], ongoing: Option<OngoingCommand>) -> AgentReport {
    AgentReport {
        id: "e".into(),
        started_at_ms: 10,
        holdings: Holdings { commands_accepted: 2, ..holdings(models) },
        cached_weights_reported: false,
        ongoing,
        load: Load::default(),
    }
}

fn start(now: Instant) -> (Targets, TargetKey) {
    let mut targets = Targets::default();
    targets.register(now, entry(1, &["m"]));
    let key = targets.key(&"e".into()).unwrap();
    (targets, key)
}

/// Guards against holdings that stay outdated for good: an entry is handed on only when it changes.
#[test]
fn an_entry_received_beside_a_report_applies_once_the_agent_is_silent() {
    let now = Instant::now();
    let (mut targets, key) = start(now);
    assert!(targets.report(now, report(&["m"], None)));
    targets.register(now, entry(2, &["n"]));
    targets.apply_superseded(now);
    assert!(targets.get(key).unwrap().serves(now, &"m".into()), "the report is as recent");
    let later = now + SILENCE;
    targets.apply_superseded(later);
    assert!(targets.get(key).unwrap().serves(later, &"n".into()));
}

/// Guards against an entry that is older than a later report.
#[test]
fn a_later_report_replaces_an_entry_that_was_set_aside() {
    let now = Instant::now();
    let (mut targets, key) = start(now);
    assert!(targets.report(now, report(&["m"], None)));
    targets.register(now, entry(2, &["n"]));
    assert!(targets.report(now, report(&["o"], None)));
    let later = now + SILENCE;
    targets.apply_superseded(later);
    assert!(targets.get(key).unwrap().serves(later, &"o".into()));
}

/// Guards against refusing requests whose model is being loaded, as its agent reports changes only.
#[test]
fn a_load_goes_on_although_its_agent_reports_no_more() {
    let now = Instant::now();
    let (mut targets, key) = start(now);
    let ready_at = now + SILENCE * 2;
    let loading = OngoingCommand::Loading { model: "n".into(), ready_at, from_store: true };
    assert!(targets.report(now, report(&["m"], Some(loading))));
    let target = targets.get(key).unwrap();
    assert!(target.ongoing_command(now + SILENCE).is_some());
    assert!(target.ongoing_command(ready_at).is_none());
}

/// Guards against waiting for an agent that doesn't answer before each request.
#[test]
fn an_agent_that_does_not_answer_is_not_asked_again_at_once() {
    let now = Instant::now();
    let (mut targets, key) = start(now);
    let target = targets.get_mut(key).unwrap();
    assert!(target.agent_may_answer(now, false), "it reports to others");
    assert!(!target.agent_may_answer(now, true), "it would have reported");
    target.record_agent_unanswered(now);
    assert!(!target.agent_may_answer(now + SILENCE, false));
    assert!(target.agent_may_answer(now + SILENCE * 2, false));
}
