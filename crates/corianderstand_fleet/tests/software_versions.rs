//! Software versions of targets, of services, and of streams.

mod common;

use common::entries::{entry, holdings};
use corianderstand_fleet::{
    choose,
    streams::{ORIGIN_TTL, Origin, Origins, StreamKey, VersionHistory},
    targets::{AgentReport, EngineReplacement, Entry, Load, TargetKey, Targets},
};
use corianderstand_types::names::{SoftwareVersion, TargetId};
use std::time::{Duration, Instant};

fn versioned(id: &str, version: &str) -> Entry {
    Entry { version: Some(version.into()), ..entry(id) }
}

fn registered(now: Instant, entries: impl IntoIterator<Item = Entry>) -> Targets {
    let mut targets = Targets::default();
    for entry in entries {
        targets.register(now, entry);
    }
    targets
}

fn version(targets: &Targets, id: &str) -> Option<String> {
    let target = targets.get(targets.key(&TargetId::from(id))?)?;
    target.version().map(ToString::to_string)
}

/// Guards against a stream that goes on at an engine whose new version is not known yet.
#[test]
fn a_target_that_its_agent_reports_as_restarted_has_no_version_until_it_registers() {
    let now = Instant::now();
    let mut targets = registered(now, [versioned("e", "v1")]);
    let report = AgentReport {
        id: "e".into(),
        started_at_ms: 20,
        holdings: holdings(&["m"]),
        cached_weights_reported: false,
        ongoing: None,
        load: Load::default(),
    };
    assert!(targets.report(now, report));
    assert_eq!(version(&targets, "e"), None);
    targets.register(now, Entry { started_at_ms: 20, renewals: 1, ..versioned("e", "v2") });
    assert_eq!(version(&targets, "e").as_deref(), Some("v2"));
}

/// Guards against a successor that inherits the version of the engine before it.
#[test]
fn a_target_that_restarted_under_another_name_has_no_version_until_it_registers() {
    let now = Instant::now();
    let mut targets = registered(now, [versioned("e", "v1")]);
    let replacement =
        EngineReplacement { id: "f".into(), started_at_ms: 20, previous_id: "e".into() };
    assert!(targets.replace(now, &replacement));
    assert_eq!(version(&targets, "f"), None);
}

/// Guards against an entry that is taken for an old one, as its counter starts again.
#[test]
fn an_entry_with_another_version_counts_though_its_counter_is_lower() {
    let now = Instant::now();
    let start = |version| Entry { started_at_ms: 0, ..versioned("e", version) };
    let mut targets = registered(now, [start("v1")]);
    targets.register(now, Entry { renewals: 1, ..start("v2") });
    assert_eq!(version(&targets, "e").as_deref(), Some("v2"));
    assert_eq!(targets.take_replaced().len(), 1, "it is another incarnation");
}

/// Guards against an engine that is started again at another version before its entry says so.
#[test]
fn a_target_that_refused_a_connection_has_no_version_until_its_entry_is_renewed() {
    let now = Instant::now();
    let mut targets = registered(now, [versioned("e", "v1")]);
    let key = targets.key(&"e".into()).unwrap();
    targets.get_mut(key).unwrap().record_unreachable(now);
    assert_eq!(version(&targets, "e"), None);
    targets.register(now, Entry { renewals: 6, ..versioned("e", "v1") });
    assert_eq!(version(&targets, "e").as_deref(), Some("v1"));
}

fn choose(now: Instant, targets: &Targets, version: &str) -> choose::Choice {
    choose_after(now, targets, version, &[])
}

fn choose_after(
    now: Instant,
    targets: &Targets,
    version: &str,
    tried: &[TargetKey],
) -> choose::Choice {
    let (service, zone, version) =
        (entry("e").service, entry("e").zone, SoftwareVersion::from(version));
    let query = choose::Query {
        service: &service,
        requested: None,
        tokens: 0,
        cache_tokens: 0,
        adapter_slots: 0,
        zone: &zone,
        tried,
        hash: 7,
        version: Some(&version),
        cached_prefix: None,
        work: None,
    };
    choose::choose(now, targets, &query)
}

/// Guards against streams that wait to their deadline for a version that is gone, or give up one that is not.
#[test]
fn a_version_that_has_left_is_told_from_one_that_takes_nothing_now() {
    let now = Instant::now();
    let mut targets = registered(now, [versioned("e", "v1"), versioned("f", "v2")]);
    let e = targets.key(&"e".into()).unwrap();
    assert_eq!(choose(now, &targets, "v1"), choose::Choice::Send(e));
    assert_eq!(choose(now, &targets, "v3"), choose::Choice::NoVersion);
    assert_eq!(choose_after(now, &targets, "v1", &[e]), choose::Choice::NoVersion, "it was tried");
    targets.get_mut(e).unwrap().record_unreachable(now);
    assert_eq!(choose(now, &targets, "v1"), choose::Choice::NoTarget, "it may return");
    let leaving = Entry { draining: true, renewals: 6, ..targets.get(e).unwrap().entry.clone() };
    targets.register(now, leaving);
    assert_eq!(choose(now, &targets, "v1"), choose::Choice::NoVersion, "it takes nothing new");
}

fn history(start: Instant, until: Instant, targets: &Targets) -> VersionHistory {
    let mut history = VersionHistory::default();
    history.begin(start, false);
    let mut now = start;
    while now <= until {
        history.observe(now, targets);
        now += Duration::from_secs(1);
    }
    history
}

/// Guards against a guess of a router that has not been there for long, or has missed something.
#[test]
fn one_version_is_the_only_one_after_a_time_without_gap_or_another() {
    let start = Instant::now();
    let service = entry("e").service;
    let targets = registered(start, [versioned("e", "v1"), versioned("f", "v1")]);
    let young = start + ORIGIN_TTL / 2;
    assert_eq!(history(start, young, &targets).sole(young, &service), None);
    let old = start + ORIGIN_TTL;
    let mut history = history(start, old, &targets);
    assert_eq!(history.sole(old, &service), Some(&"v1".into()));
    let mut told = history.clone();
    told.record(old, &service, &"g".into(), Some(&"v2".into()));
    assert_eq!(told.sole(old, &service), None, "another router has seen another version");
    history.interrupt(old);
    assert_eq!(history.sole(old, &service), None, "changes may have been missed");
}

/// Guards against refusing all streams that come back in a deployment that has just been started.
#[test]
fn nothing_was_missed_before_the_first_start_of_a_deployment() {
    let start = Instant::now() + ORIGIN_TTL;
    let targets = registered(start, [versioned("e", "v1")]);
    let mut history = VersionHistory::default();
    history.observe(start, &targets);
    assert_eq!(history.sole(start, &entry("e").service), None, "the targets are not known yet");
    history.begin(start, true);
    assert_eq!(history.sole(start, &entry("e").service), Some(&"v1".into()));
}

/// Guards against refusals for long after an engine has started, and against a guess until it has registered.
#[test]
fn a_target_that_has_not_told_its_version_counts_as_another_until_it_has() {
    let start = Instant::now();
    let service = entry("e").service;
    let targets = registered(start, [versioned("e", "v1")]);
    let now = start + ORIGIN_TTL;
    let mut history = history(start, now, &targets);
    history.record(now, &service, &"f".into(), None);
    assert_eq!(history.sole(now, &service), None);
    history.record(now, &service, &"f".into(), Some(&"v1".into()));
    assert_eq!(history.sole(now, &service), Some(&"v1".into()));
}

/// Guards against refusals after a restart, and against another router's word for a time that it doesn't cover.
#[test]
fn another_routers_word_covers_the_time_before_this_router_started() {
    let start = Instant::now();
    let service = entry("e").service;
    let targets = registered(start, [versioned("e", "v1")]);
    let now = start + Duration::from_secs(2);
    let young = history(start, now, &targets);
    let mut told = young.clone();
    told.record_sole(now, &service, &"v1".into());
    assert_eq!(told.sole(now, &service), Some(&"v1".into()));
    let mut other = young.clone();
    other.record_sole(now, &service, &"v2".into());
    assert_eq!(other.sole(now, &service), None, "there were two");
    let mut early = VersionHistory::default();
    early.record_sole(start, &service, &"v1".into());
    early.begin(now, false);
    early.observe(now, &targets);
    assert_eq!(early.sole(now, &service), None, "nobody has seen the time between");
    told.interrupt(now);
    assert_eq!(told.sole(now, &service), None, "changes may have been missed");
}

/// Guards against a version that is forgotten while streams that it began may still come back.
#[test]
fn a_version_that_has_gone_is_remembered_for_as_long_as_its_streams() {
    let start = Instant::now();
    let service = entry("e").service;
    let (before, after) =
        (registered(start, [versioned("e", "v1")]), registered(start, [versioned("e", "v2")]));
    let mut history = history(start, start + ORIGIN_TTL, &before);
    let mut now = start + ORIGIN_TTL;
    let gone_at = now;
    while now < gone_at + ORIGIN_TTL {
        history.observe(now, &after);
        assert_eq!(history.sole(now, &service), None, "{:?} later", now - gone_at);
        now += Duration::from_secs(1);
    }
    assert_eq!(history.sole(now, &service), Some(&"v2".into()));
}

/// Guards against an origin that a later message changes, and against memory that grows.
#[test]
fn the_first_origin_of_a_stream_stays_and_expires() {
    let (now, key) = (Instant::now(), StreamKey::of("request-1"));
    let origin = |id: &str, version: Option<&str>| Origin {
        service: entry(id).service,
        target: entry(id).incarnation(),
        version: version.map(Into::into),
    };
    let mut origins = Origins::default();
    origins.record(now, key, origin("e", None));
    origins.record(now, key, origin("f", Some("v2")));
    assert_eq!(origins.get(now, key).unwrap().0, &origin("e", None));
    origins.record(now, key, origin("e", Some("v1")));
    assert_eq!(origins.get(now, key).unwrap().0, &origin("e", Some("v1")));
    assert_eq!(origins.get(now + ORIGIN_TTL, key), None);
    origins.record(now + ORIGIN_TTL, StreamKey::of("request-2"), origin("e", Some("v1")));
    assert_eq!(origins.len(), 1);
}
