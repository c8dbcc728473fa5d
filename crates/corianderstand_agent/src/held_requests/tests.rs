use super::{HeldRequests, MAX_HELD_REQUESTS, MAX_HOLD_TIME};
use corianderstand_types::clock::{Clock, ManualClock};
use rstest::rstest;

/// A router folds a new slot before the slot's owner does and sends the first caller's request.
/// The caller would be refused by the very engine that is to serve it.
#[rstest]
fn a_request_waits_for_the_record_it_was_chosen_by() {
    let (mut held, clock) = (HeldRequests::default(), ManualClock::default());
    assert_eq!(held.hold(clock.now(), 7, 7, (1, 1), "first"), None);
    assert_eq!(held.take_ready(clock.now(), 7), Vec::<&str>::new());
    assert_eq!(held.take_ready(clock.now(), 8), ["first"]);
    assert_eq!(held.hold(clock.now(), 8, 7, (1, 2), "second"), Some("second"));
}

/// The agent has lost the log. Holding its requests until their deadline would leave their
/// callers without an answer, while another target could have taken them.
#[rstest]
fn an_agent_that_stays_behind_holds_a_request_only_so_long() {
    let (mut held, clock) = (HeldRequests::default(), ManualClock::default());
    held.hold(clock.now(), 7, 9, (1, 1), "first");
    clock.advance(MAX_HOLD_TIME);
    assert_eq!(held.take_ready(clock.now(), 7), ["first"]);
    assert!(held.is_empty());
}

/// A burst meets an agent that lags. Without a bound it would gather the whole burst.
#[rstest]
fn requests_beyond_the_bound_go_on_at_once() {
    let (mut held, clock) = (HeldRequests::default(), ManualClock::default());
    for stream in 0..MAX_HELD_REQUESTS as u64 {
        assert_eq!(held.hold(clock.now(), 1, 1, (1, stream), stream), None);
    }
    assert_eq!(held.hold(clock.now(), 1, 1, (1, 9999), 9999), Some(9999));
}

#[rstest]
fn callers_that_left_are_forgotten() {
    let (mut held, clock) = (HeldRequests::default(), ManualClock::default());
    for stream in [(1, 1), (1, 2), (2, 1)] {
        held.hold(clock.now(), 1, 1, stream, stream);
    }
    held.cancel((1, 1));
    held.remove_connection(2);
    assert_eq!(held.take_ready(clock.now(), 2), [(1, 2)]);
}
