use super::{ABSENCE_TIMEOUT, Ledger, Stage};
use corianderstand_types::{
    clock::{Clock, ManualClock},
    units::Mib,
    weights::Weights,
};
use rstest::rstest;

fn model(name: &str) -> Weights {
    Weights::model(name.into(), "1".into())
}

fn ledger_with_unknown() -> (Ledger, ManualClock) {
    let mut ledger = Ledger::new(Mib(100));
    assert_eq!(ledger.reserve(&model("a"), Mib(60)), Ok(()));
    ledger.set_stage(&model("a"), Stage::Unknown);
    (ledger, ManualClock::default())
}

/// Guards against committing memory twice after a load command of unknown outcome.
#[rstest]
fn unknown_outcome_counts_until_absence_timeout() {
    let (mut ledger, clock) = ledger_with_unknown();
    ledger.reconcile(clock.now(), ledger.version(), &[]);
    assert!(ledger.reserve(&model("b"), Mib(60)).is_err());
    clock.advance(ABSENCE_TIMEOUT);
    ledger.reconcile(clock.now(), ledger.version(), &[]);
    assert_eq!(ledger.reserve(&model("b"), Mib(60)), Ok(()));
}

#[rstest]
fn an_executed_load_becomes_ready() {
    let (mut ledger, clock) = ledger_with_unknown();
    ledger.reconcile(clock.now(), ledger.version(), &[(model("a"), Mib(60), false)]);
    assert!(!ledger.is_ready(&model("a")), "it is still loading");
    ledger.reconcile(clock.now(), ledger.version(), &[(model("a"), Mib(60), true)]);
    assert!(ledger.is_ready(&model("a")));
}

/// Guards against releasing a loaded model's memory because of an older query response.
#[rstest]
fn a_response_older_than_a_change_is_ignored() {
    let (mut ledger, clock) = ledger_with_unknown();
    let queried_version = ledger.version();
    ledger.set_stage(&model("a"), Stage::Ready);
    ledger.reconcile(clock.now(), queried_version, &[]);
    assert!(ledger.is_ready(&model("a")));
}

/// Guards against running requests on a model that the engine lost in its own restart.
#[rstest]
fn an_engine_restart_releases_memory() {
    let (mut ledger, clock) = ledger_with_unknown();
    ledger.set_stage(&model("a"), Stage::Ready);
    ledger.reconcile(clock.now(), ledger.version(), &[]);
    assert_eq!(ledger.free_memory(), Mib(100));
}

/// Weights loaded by another process, such as a previous agent, count as used memory.
#[rstest]
fn unrecorded_weights_are_counted() {
    let (mut ledger, clock) = ledger_with_unknown();
    let loaded = [(model("a"), Mib(60), true), (model("z"), Mib(30), true)];
    ledger.reconcile(clock.now(), ledger.version(), &loaded);
    assert_eq!(ledger.free_memory(), Mib(10));
}
