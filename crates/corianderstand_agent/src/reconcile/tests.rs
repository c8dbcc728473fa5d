use super::{Asking, CALM_PAUSE, FIRST_PAUSE, LONGEST_PAUSE};
use corianderstand_types::clock::{Clock, ManualClock};
use rstest::rstest;
use std::time::Duration;

/// An engine is down and cannot say what became of an order. Asked without a pause it would be
/// kept from coming back; asked never again, its memory would stay committed for ever.
#[rstest]
fn pauses_grow_to_a_bound_while_an_outcome_is_unknown() {
    let clock = ManualClock::default();
    let mut asking = Asking::new(clock.now());
    let (mut pauses, mut waited) = (Vec::new(), Duration::ZERO);
    while pauses.len() < 8 {
        clock.advance(FIRST_PAUSE);
        waited += FIRST_PAUSE;
        if asking.is_due(clock.now(), true) {
            asking.answered(clock.now(), true);
            pauses.push(waited);
            waited = Duration::ZERO;
        }
    }
    assert!(pauses[0] <= FIRST_PAUSE * 2);
    assert!(pauses.is_sorted());
    assert!(pauses.iter().all(|pause| *pause <= LONGEST_PAUSE + FIRST_PAUSE));
}

#[rstest]
fn one_question_at_a_time_and_few_in_the_calm() {
    let clock = ManualClock::default();
    let mut asking = Asking::new(clock.now());
    assert!(!asking.is_due(clock.now(), false));
    clock.advance(CALM_PAUSE);
    assert!(asking.is_due(clock.now(), false));
    clock.advance(LONGEST_PAUSE);
    assert!(!asking.is_due(clock.now(), true), "the first is not answered yet");
}
