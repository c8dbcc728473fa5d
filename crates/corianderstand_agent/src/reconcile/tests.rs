use super::{INITIAL_BACKOFF, MAX_BACKOFF, RECONCILE_INTERVAL, ReconcileTimer};
use corianderstand_types::clock::{Clock, ManualClock};
use rstest::rstest;
use std::time::Duration;

/// An engine is down and cannot say what became of an order. Asked without a pause it would be
/// kept from coming back; asked never again, its memory would stay committed for ever.
#[rstest]
fn pauses_grow_to_a_bound_while_an_outcome_is_unknown() {
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
fn one_question_at_a_time_and_few_in_the_calm() {
    let clock = ManualClock::default();
    let mut timer = ReconcileTimer::new(clock.now());
    assert!(!timer.is_due(clock.now(), false));
    clock.advance(RECONCILE_INTERVAL);
    assert!(timer.is_due(clock.now(), false));
    clock.advance(MAX_BACKOFF);
    assert!(!timer.is_due(clock.now(), true), "the first is not answered yet");
}
