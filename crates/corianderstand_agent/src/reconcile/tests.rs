use super::{INITIAL_BACKOFF, MAX_BACKOFF, RECONCILE_INTERVAL, ReconcileTimer};
use corianderstand_types::clock::{Clock, ManualClock};
use rstest::rstest;
use std::time::Duration;

/// Guards against overloading an engine that is down, and against memory that stays reserved.
#[rstest]
fn backoff_grows_to_a_limit_while_an_outcome_is_unknown() {
    let clock = ManualClock::default();
    let mut timer = ReconcileTimer::new(clock.now());
    let (mut intervals, mut waited) = (Vec::new(), Duration::ZERO);
    while intervals.len() < 8 {
        clock.advance(INITIAL_BACKOFF);
        waited += INITIAL_BACKOFF;
        if timer.is_due(clock.now(), true) {
            timer.on_response(clock.now(), true);
            intervals.push(waited);
            waited = Duration::ZERO;
        }
    }
    assert!(intervals[0] <= INITIAL_BACKOFF * 2);
    assert!(intervals.is_sorted());
    assert!(intervals.iter().all(|interval| *interval <= MAX_BACKOFF + INITIAL_BACKOFF));
}

#[rstest]
fn queries_do_not_overlap_and_are_rare_without_unknown_outcomes() {
    let clock = ManualClock::default();
    let mut timer = ReconcileTimer::new(clock.now());
    assert!(!timer.is_due(clock.now(), false));
    clock.advance(RECONCILE_INTERVAL);
    assert!(timer.is_due(clock.now(), false));
    clock.advance(MAX_BACKOFF);
    assert!(!timer.is_due(clock.now(), true), "the first query has no response yet");
}
