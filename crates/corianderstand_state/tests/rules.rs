//! Conditions under which the fold applies or rejects records.

use corianderstand_schema::records::{Body, CallKey, Change, Record, TargetRecord};
use corianderstand_state::{
    calls,
    checkpoint::{self, Collector},
    expiry,
    fold::{Outcome, Rejection, State},
};
use corianderstand_types::{names::WriterId, units::Mib};
use rstest::rstest;

struct Log {
    state: State,
    entries: Vec<(u64, u64, Record)>,
    now_ms: u64,
}

impl Log {
    fn new() -> Self {
        let state = State { next: 1, ..State::default() };
        Self { state, entries: Vec::new(), now_ms: 0 }
    }

    fn append(&mut self, writer: &str, body: Body) -> Outcome {
        let sequence = self.state.next;
        self.append_record(Record { writer: writer.into(), incarnation: 1, sequence, body })
    }

    fn append_record(&mut self, record: Record) -> Outcome {
        let offset = self.state.next;
        self.entries.push((offset, self.now_ms, record.clone()));
        self.state.apply(offset, self.now_ms, &record)
    }
}

fn settings(path: &str, base: u64, text: &str, not_after_ms: u64) -> Body {
    let change = Change { path: path.into(), base, value: Some(text.into()) };
    let ticket = format!("{path}-{base}-{text}").into();
    Body::Settings { changes: vec![change], author: "ana".into(), ticket, not_after_ms }
}

fn target(name: &str) -> Body {
    let target = TargetRecord {
        target: name.into(),
        host: "h".into(),
        place: "p".into(),
        address: "a".into(),
        memory_mib: Mib(100),
        accelerators: 1,
        service: None,
    };
    Body::TargetUp { target }
}

fn assigned(epoch: u64, index: u32, target_offset: u64) -> Body {
    let (model, target) = ("m".into(), "e".into());
    Body::SlotAssigned { epoch, model, index, target, target_offset }
}

const TTL_MS: u64 = 1000;

/// A former lease holder that resumes after a pause must not plan alongside its successor.
#[rstest]
fn a_holder_that_was_paused_past_its_lease_is_rejected() {
    let mut log = Log::new();
    log.append("e", target("e"));
    assert_eq!(log.append("r1", Body::LeaseTaken { epoch: 1, ttl_ms: TTL_MS }), Outcome::Applied);
    let early = log.append("r2", Body::LeaseTaken { epoch: 2, ttl_ms: TTL_MS });
    assert_eq!(early, Outcome::Rejected(Rejection::LeaseNotHeld), "it has not expired yet");
    log.now_ms = TTL_MS;
    assert_eq!(log.append("r2", Body::LeaseTaken { epoch: 2, ttl_ms: TTL_MS }), Outcome::Applied);
    for stale in [assigned(1, 0, 1), assigned(2, 0, 1), Body::LeaseRenewed { epoch: 1 }] {
        assert_eq!(log.append("r1", stale), Outcome::Rejected(Rejection::LeaseNotHeld));
    }
    assert_eq!(log.append("r2", assigned(2, 0, 1)), Outcome::Applied);
}

/// A slot assigned to a target that was since replaced or removed would never be served.
#[rstest]
fn a_slot_is_not_assigned_to_a_target_that_has_changed() {
    let mut log = Log::new();
    log.append("e", target("e"));
    log.append("r1", Body::LeaseTaken { epoch: 1, ttl_ms: TTL_MS });
    log.append("e", target("e"));
    assert_eq!(log.append("r1", assigned(1, 0, 1)), Outcome::Rejected(Rejection::TargetChanged));
    assert_eq!(log.append("r1", assigned(1, 0, 3)), Outcome::Applied);
    let target_gone = Body::TargetGone { epoch: 1, target: "e".into(), target_offset: 3 };
    assert_eq!(log.append("r1", target_gone), Outcome::Applied);
    assert!(log.state.slots.by_key.is_empty(), "its slots are removed with it");
    assert_eq!(log.append("r1", assigned(1, 0, 3)), Outcome::Rejected(Rejection::TargetChanged));
}

/// Concurrent changes of one document must not silently overwrite each other.
#[rstest]
fn of_two_concurrent_changes_one_applies_and_the_other_reports_the_conflict() {
    let mut log = Log::new();
    assert_eq!(log.append("r1", settings("a", 0, "{}", 9)), Outcome::Applied);
    let conflict = Rejection::Conflict { path: "a".into(), version: 1, base: 0 };
    assert_eq!(log.append("r2", settings("a", 0, "[]", 9)), Outcome::Rejected(conflict));
    let entry = log.state.history.find("a-0-[]").expect("it is remembered");
    assert!(entry.refused.as_ref().is_some_and(|reason| reason.contains("version 1")));
}

/// A change past its deadline has been reported as refused, so it must not apply later.
#[rstest]
fn a_change_appended_after_its_deadline_has_no_effect() {
    let mut log = Log::new();
    log.now_ms = 500;
    let late = log.append("r1", settings("a", 0, "{}", 499));
    assert_eq!(late, Outcome::Rejected(Rejection::Expired { until: 499 }));
    assert_eq!(log.state.documents.version, 0);
    assert_eq!(log.append("r1", settings("a", 0, "{}", 500)), Outcome::Applied);
}

/// A retried append applied twice would undo the records between the two.
#[rstest]
fn a_retried_append_is_applied_once() {
    let mut log = Log::new();
    let body = settings("a", 0, "{}", 9);
    let record = Record { writer: "r1".into(), incarnation: 1, sequence: 1, body };
    assert_eq!(log.append_record(record.clone()), Outcome::Applied);
    log.append("r2", settings("b", 0, "{}", 9));
    assert_eq!(log.append_record(record), Outcome::Repeated);
}

/// Restoring from a checkpoint interleaved with other records must equal a full replay.
#[rstest]
fn a_checkpoint_and_the_records_after_it_restore_the_same_state() {
    let mut log = Log::new();
    let long = format!("\"{}\"", "x".repeat(3 * checkpoint::PART_BYTES));
    log.append("r1", settings("a", 0, &long, 9));
    log.append("r1", Body::LeaseTaken { epoch: 1, ttl_ms: TTL_MS });
    let parts = checkpoint::split(&log.state);
    assert!(parts.len() > 3);
    for (at, part) in parts.into_iter().enumerate() {
        assert_eq!(log.append("r1", part), Outcome::Applied);
        log.append("r2", settings(&format!("b{at}"), 0, "{}", 9));
    }
    let last = log.state.checkpoints.last.expect("it is complete");
    let mut collector = Collector::default();
    let retained = log.entries.iter().filter(|(offset, ..)| *offset >= last.as_of);
    let mut restored = None;
    for (_, _, record) in retained.clone() {
        restored = collector.receive(record).or(restored);
    }
    let mut restored = restored.expect("all parts are present");
    for (offset, at_ms, record) in retained {
        restored.apply(*offset, *at_ms, record);
    }
    assert_eq!(checkpoint::encode(&restored), checkpoint::encode(&log.state));
}

/// Mixing parts of an aborted checkpoint and its successor would restore a state that never existed.
#[rstest]
fn parts_of_two_checkpoints_are_not_combined() {
    let mut log = Log::new();
    let long = format!("\"{}\"", "x".repeat(2 * checkpoint::PART_BYTES));
    log.append("r1", settings("a", 0, &long, 9));
    log.append("r1", Body::LeaseTaken { epoch: 1, ttl_ms: TTL_MS });
    let first = checkpoint::split(&log.state);
    log.append("r2", settings("b", 0, "{}", 9));
    let second = checkpoint::split(&log.state);
    let mut collector = Collector::default();
    let mixed = first[..1].iter().chain(&second[1..]);
    for body in mixed {
        let (writer, incarnation) = ("r1".into(), 1);
        let record = Record { writer, incarnation, sequence: 1, body: body.clone() };
        assert_eq!(collector.receive(&record), None);
        log.append("r1", body.clone());
    }
    assert_eq!(log.state.checkpoints.last, None);
}

/// Without expiry the state would grow without bound.
#[rstest]
fn old_calls_and_writers_expire_by_log_time() {
    let mut log = Log::new();
    let key = CallKey { team: "t".into(), service: "s".into(), key: "k".into() };
    log.append("r1", Body::CallVoided { key: key.clone() });
    let retention_ms = calls::KEY_RETENTION_MS;
    log.now_ms = retention_ms - 1;
    log.append("r2", settings("a", 0, "{}", u64::MAX));
    assert!(log.state.calls.find(&key).is_some());
    assert!(
        !log.state.writers.contains_key(&WriterId::from("r1")),
        "no record for more than a day"
    );
    log.now_ms = retention_ms + expiry::SWEEP_INTERVAL_MS;
    let other = CallKey { key: "other".into(), ..key.clone() };
    log.append("r2", Body::CallVoided { key: other });
    assert!(log.state.calls.find(&key).is_none());
}
