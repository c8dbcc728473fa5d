use super::{HeldRequests, MAX_HELD_REQUESTS, MAX_HOLD_TIME};
use corianderstand_types::clock::{Clock, ManualClock};
use rstest::rstest;

/// Guards against refusing the first requests of a new slot because its owner lags the router.
#[rstest]
fn request_is_held_until_its_record_is_applied() {
    let (mut requests, clock) = (HeldRequests::default(), ManualClock::default());
    assert_eq!(requests.hold(clock.now(), 7, 7, (1, 1), "first"), None);
    assert_eq!(requests.remove_ready(clock.now(), 7), Vec::<&str>::new());
    assert_eq!(requests.remove_ready(clock.now(), 8), ["first"]);
    assert_eq!(requests.hold(clock.now(), 8, 7, (1, 2), "second"), Some("second"));
}

/// Guards against holding requests until their deadline when the agent has lost the log.
#[rstest]
fn held_request_is_submitted_after_the_hold_limit() {
    let (mut requests, clock) = (HeldRequests::default(), ManualClock::default());
    requests.hold(clock.now(), 7, 9, (1, 1), "first");
    clock.advance(MAX_HOLD_TIME);
    assert_eq!(requests.remove_ready(clock.now(), 7), ["first"]);
    assert!(requests.is_empty());
}

/// Guards against an unbounded backlog on an agent that lags during a burst.
#[rstest]
fn requests_beyond_the_limit_are_not_held() {
    let (mut requests, clock) = (HeldRequests::default(), ManualClock::default());
    for stream in 0..MAX_HELD_REQUESTS as u64 {
        assert_eq!(requests.hold(clock.now(), 1, 1, (1, stream), stream), None);
    }
    assert_eq!(requests.hold(clock.now(), 1, 1, (1, 9999), 9999), Some(9999));
}

#[rstest]
fn cancelled_and_disconnected_requests_are_removed() {
    let (mut requests, clock) = (HeldRequests::default(), ManualClock::default());
    for stream in [(1, 1), (1, 2), (2, 1)] {
        requests.hold(clock.now(), 1, 1, stream, stream);
    }
    requests.cancel((1, 1));
    requests.remove_connection(2);
    assert_eq!(requests.remove_ready(clock.now(), 2), [(1, 2)]);
}
