//! Matching broken attempts with targets that ended.

use corianderstand_fleet::{
    exits::{BrokenAttempt, Confirmation, Exits},
    fingerprint::Fingerprint,
    targets::Incarnation,
};
use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

fn incarnation(started_at_ms: u64) -> Incarnation {
    Incarnation { id: "engine".into(), started_at_ms }
}

fn broken(at: Instant, started_at_ms: u64) -> BrokenAttempt {
    BrokenAttempt {
        request_id: "request".into(),
        fingerprint: Fingerprint(1),
        parts: Vec::new(),
        caller: IpAddr::V4(Ipv4Addr::LOCALHOST),
        target: incarnation(started_at_ms),
        sent_at: at,
        broke_at: at,
        survived: Duration::ZERO,
        observer: "router".into(),
    }
}

#[test]
fn an_attempt_is_confirmed_whichever_is_known_first() {
    let now = Instant::now();
    let mut exits = Exits::default();
    assert_eq!(exits.record_broken(now, broken(now, 5)), None);
    let confirmed = exits.record_exit(now, &incarnation(5), Confirmation::Agent);
    assert_eq!(confirmed, [broken(now, 5)]);
    assert_eq!(exits.record_broken(now, broken(now, 5)), Some(Confirmation::Agent));
}

/// Guards against blaming requests for the end of the incarnation before theirs.
#[test]
fn the_end_of_another_incarnation_confirms_nothing() {
    let now = Instant::now();
    let mut exits = Exits::default();
    assert_eq!(exits.record_broken(now, broken(now, 6)), None);
    assert_eq!(exits.record_exit(now, &incarnation(5), Confirmation::Replaced), []);
}

/// Guards against blaming requests on a connection that the network broke for a later end.
#[test]
fn a_target_that_runs_on_did_not_break_the_connection() {
    let now = Instant::now();
    let later = now + Duration::from_millis(500);
    let mut exits = Exits::default();
    assert_eq!(exits.record_broken(now, broken(now, 5)), None);
    exits.record_running(later, &"engine".into(), 5);
    assert_eq!(exits.record_exit(later, &incarnation(5), Confirmation::Agent), []);
}

/// Guards against blaming requests for an end long after their connections broke.
#[test]
fn an_unconfirmed_attempt_expires() {
    let now = Instant::now();
    let later = now + Duration::from_secs(11);
    let mut exits = Exits::default();
    assert_eq!(exits.record_broken(now, broken(now, 5)), None);
    assert_eq!(exits.record_exit(later, &incarnation(5), Confirmation::Refused), []);
}

/// Guards against a list that grows with each repeat of a report.
#[test]
fn a_repeated_report_is_recorded_once() {
    let now = Instant::now();
    let later = now + Duration::from_millis(20);
    let mut exits = Exits::default();
    exits.record_broken(now, broken(now, 5));
    exits.record_broken(later, broken(later, 5));
    let confirmed = exits.record_exit(later, &incarnation(5), Confirmation::Agent);
    assert_eq!(confirmed.len(), 1);
}
