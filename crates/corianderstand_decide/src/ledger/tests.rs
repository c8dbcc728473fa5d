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

fn unknown() -> (Ledger, ManualClock) {
    let mut ledger = Ledger::new(Mib(100));
    assert_eq!(ledger.reserve(&model("a"), Mib(60)), Ok(()));
    ledger.set_stage(&model("a"), Stage::Unknown);
    (ledger, ManualClock::default())
}

/// An order's answer was lost and the engine, asked at once, does not show the model: the order
/// may still lie in its socket. Given away, the memory would be committed twice.
#[rstest]
fn an_order_of_unknown_outcome_counts_until_the_engine_has_long_denied_it() {
    let (mut ledger, clock) = unknown();
    ledger.reconcile(clock.now(), ledger.version(), &[]);
    assert!(ledger.reserve(&model("b"), Mib(60)).is_err());
    clock.advance(ABSENCE_TIMEOUT);
    ledger.reconcile(clock.now(), ledger.version(), &[]);
    assert_eq!(ledger.reserve(&model("b"), Mib(60)), Ok(()));
}

#[rstest]
fn an_order_that_was_carried_out_is_found_ready() {
    let (mut ledger, clock) = unknown();
    ledger.reconcile(clock.now(), ledger.version(), &[(model("a"), Mib(60), false)]);
    assert!(!ledger.is_ready(&model("a")), "it is still loading");
    ledger.reconcile(clock.now(), ledger.version(), &[(model("a"), Mib(60), true)]);
    assert!(ledger.is_ready(&model("a")));
}

/// The engine's answer was on its way while a load was confirmed. Taken as newer, it would give
/// the memory of a loaded model away.
#[rstest]
fn an_answer_older_than_a_change_settles_nothing() {
    let (mut ledger, clock) = unknown();
    let asked = ledger.version();
    ledger.set_stage(&model("a"), Stage::Ready);
    ledger.reconcile(clock.now(), asked, &[]);
    assert!(ledger.is_ready(&model("a")));
}

/// The engine restarts by itself and holds nothing any more. Without asking, the agent would send
/// requests to a model that is not there, and never load it again.
#[rstest]
fn what_an_engine_lost_by_its_own_restart_is_given_back() {
    let (mut ledger, clock) = unknown();
    ledger.set_stage(&model("a"), Stage::Ready);
    ledger.reconcile(clock.now(), ledger.version(), &[]);
    assert_eq!(ledger.free(), Mib(100));
}

/// Somebody else's order, or one of an agent that died, shows in the engine's answer.
#[rstest]
fn what_the_engine_holds_besides_is_counted() {
    let (mut ledger, clock) = unknown();
    let loaded = [(model("a"), Mib(60), true), (model("z"), Mib(30), true)];
    ledger.reconcile(clock.now(), ledger.version(), &loaded);
    assert_eq!(ledger.free(), Mib(10));
}
