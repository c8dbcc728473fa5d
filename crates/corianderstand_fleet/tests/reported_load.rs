//! Age of reported loads.

use corianderstand_fleet::{choose, targets};
use std::time::{Duration, Instant};
use targets::{AgentReport, Entry, Holdings, Load, OngoingCommand, Resident, TargetKey, Targets};

const SLOTS: u32 = 6;
const FULL: Load = Load { running: SLOTS, waiting: 0, cache_used: None, slowdown_percent: None };
const LATER: Duration = Duration::from_secs(1);

fn plain_target(now: Instant) -> (Targets, TargetKey) {
    let entry = Entry {
        id: "t".into(),
        started_at_ms: 10,
        renewals: 1,
        service: "plain".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "here".into(),
        slots: SLOTS,
        draining: false,
        shutdown_in: None,
        version: None,
        holdings: Holdings {
            resident: vec![Resident { model: "m".into(), adapters: Vec::new() }],
            ..Default::default()
        },
    };
    let mut targets = Targets::default();
    targets.register(now, entry);
    let key = targets.key(&"t".into()).unwrap();
    (targets, key)
}

fn accepts(now: Instant, targets: &Targets) -> bool {
    let query = choose::Query {
        service: &"plain".into(),
        requested: None,
        tokens: 0,
        cache_tokens: 0,
        adapter_slots: 0,
        zone: &"here".into(),
        tried: &[],
        hash: 7,
        version: None,
        cached_prefix: None,
        work: None,
    };
    matches!(choose::choose(now, targets, &query), choose::Choice::Send(_))
}

/// Guards against refusing every request for a target that was full when it last responded.
#[test]
fn a_target_that_was_full_is_probed() {
    let now = Instant::now();
    let (mut targets, key) = plain_target(now);
    targets.get_mut(key).unwrap().record_load(now, FULL);
    assert!(!accepts(now, &targets));
    assert!(accepts(now + LATER, &targets), "an outdated load leaves room for a probe");
}

/// Guards against flooding a target that is still full once its last report is outdated.
#[test]
fn one_probe_at_a_time_is_sent_to_a_target_that_was_full() {
    let now = Instant::now();
    let (mut targets, key) = plain_target(now);
    targets.get_mut(key).unwrap().record_load(now, FULL);
    targets.get_mut(key).unwrap().local_requests = 1;
    assert!(!accepts(now + LATER, &targets), "the probe has not been answered");
    let full_with_probe = Load { waiting: 1, ..FULL };
    targets.get_mut(key).unwrap().record_load(now + LATER, full_with_probe);
    targets.get_mut(key).unwrap().local_requests = 0;
    assert!(!accepts(now + LATER, &targets), "the probe found it full");
    let free = Load { running: 1, ..FULL };
    targets.get_mut(key).unwrap().record_load(now + LATER, free);
    assert!(accepts(now + LATER, &targets), "the probe found it free");
}

/// Guards against an engine whose agent ended during an unload and that gets no requests any more.
#[test]
fn a_command_that_an_ended_agent_reported_is_forgotten() {
    let now = Instant::now();
    let (mut targets, key) = plain_target(now);
    let report = AgentReport {
        id: "t".into(),
        started_at_ms: 10,
        holdings: targets.get(key).unwrap().entry.holdings.clone(),
        cached_weights_reported: true,
        ongoing: Some(OngoingCommand::Unloading { model: "m".into() }),
        load: Load::default(),
    };
    assert!(targets.report(now, report));
    let serves = |at| targets.get(key).unwrap().serves(at, &"m".into());
    assert!(!serves(now));
    assert!(serves(now + targets::AGENT_RESPONSE_TIMEOUT));
}
