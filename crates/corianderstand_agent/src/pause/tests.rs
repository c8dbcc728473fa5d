use super::{FRESH_READS, PAUSE, PauseWatch};
use corianderstand_types::clock::{Clock, ManualClock};
use rstest::rstest;
use std::time::Duration;

/// A process is stopped and goes on. The read of the log that was on its way may have been
/// answered before the pause, so one more must follow before its slots are believed.
#[rstest]
fn after_a_pause_orders_wait_for_a_fresh_read() {
    let clock = ManualClock::default();
    let mut watch = PauseWatch::new(clock.now());
    clock.advance(PAUSE);
    watch.turn(clock.now(), 7);
    assert!(watch.is_fresh(7), "a slow turn is no pause");
    clock.advance(PAUSE + Duration::from_millis(1));
    watch.turn(clock.now(), 7);
    assert!(!watch.is_fresh(7 + FRESH_READS - 1));
    assert!(watch.is_fresh(7 + FRESH_READS));
}
