//! Retention and finality of at-most-once calls.

use corianderstand_schema::records::{Body, CallAnswer, CallKey, Record};
use corianderstand_state::{
    calls::{self, CallStatus},
    fold::{Outcome, Rejection, State},
};
use corianderstand_types::names::{ServiceId, TargetId, WorkspaceId};
use rstest::rstest;

fn key(name: &str) -> CallKey {
    let team = WorkspaceId::new("vidrio").expect("a good name");
    let service = ServiceId::new("agenda").expect("a good name");
    CallKey { team, service, key: name.into() }
}

#[derive(Default)]
struct Log {
    state: State,
    offset: u64,
    now_ms: u64,
}

impl Log {
    fn write(&mut self, body: Body) -> Outcome {
        self.offset += 1;
        let (writer, sequence) = ("agent-1".into(), self.offset);
        let record = Record { writer, incarnation: 1, sequence, body };
        self.state.apply(self.offset, self.now_ms, &record)
    }

    fn claim(&mut self, name: &str) -> Outcome {
        let target = TargetId("service-0".into());
        self.write(Body::Claimed { key: key(name), digest: 7, target })
    }

    fn status(&self, name: &str, digest: u64) -> CallStatus {
        self.state.calls.status(&key(name), digest)
    }
}

/// A key that expires too early lets a retry on the next day run the call twice.
#[rstest]
fn a_key_is_remembered_for_a_day_and_then_expires() {
    let mut log = Log::default();
    assert_eq!(log.claim("b-1"), Outcome::Applied);
    log.now_ms = 24 * 3600 * 1000 + 1000;
    assert_eq!(log.claim("b-1"), Outcome::Rejected(Rejection::CallConflict));
    log.now_ms = calls::KEY_RETENTION_MS;
    assert_eq!(log.claim("b-2"), Outcome::Applied);
    assert_eq!(log.status("b-1", 7), CallStatus::Unclaimed);
    assert_eq!(log.state.calls.len(), 1);
}

/// At the key limit new claims are rejected, existing keys are kept, and voids still work.
#[rstest]
fn the_key_limit_rejects_new_claims_and_keeps_existing_keys() {
    let mut log = Log::default();
    for number in 0..calls::MAX_KEYS {
        assert_eq!(log.claim(&format!("b-{number}")), Outcome::Applied);
    }
    assert_eq!(log.claim("one-more"), Outcome::Rejected(Rejection::CallsFull));
    assert_eq!(log.claim("b-0"), Outcome::Rejected(Rejection::CallConflict));
    assert_eq!(log.status("b-0", 7), CallStatus::Claimed);
    assert_eq!(log.write(Body::CallVoided { key: key("other") }), Outcome::Applied);
}

/// A duplicate outcome, or one for a rejected claim, must not replace the first outcome.
#[rstest]
fn an_outcome_never_changes() {
    let mut log = Log::default();
    log.claim("b-1");
    let answer = |status| Some(CallAnswer { status, content_type: "".into(), body: None });
    let ended = |claim, answer| Body::CallEnded { key: key("b-1"), claim, answer };
    assert_eq!(log.write(ended(9, answer(500))), Outcome::Rejected(Rejection::CallConflict));
    assert_eq!(log.write(ended(1, answer(200))), Outcome::Applied);
    assert_eq!(log.write(ended(1, None)), Outcome::Rejected(Rejection::CallConflict));
    assert_eq!(
        log.write(Body::CallVoided { key: key("b-1") }),
        Outcome::Rejected(Rejection::CallConflict)
    );
    assert!(matches!(log.status("b-1", 7), CallStatus::Ran(answer) if answer.status == 200));
    assert_eq!(log.status("b-1", 8), CallStatus::Conflict);
}
