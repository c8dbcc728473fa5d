use super::{FreshnessGuard, PAUSE_THRESHOLD, READS_AFTER_PAUSE};
use corianderstand_types::clock::{Clock, ManualClock};
use rstest::rstest;
use std::time::Duration;

/// A process is stopped and goes on. The read of the log that was on its way may have been
/// answered before the pause, so one more must follow before its slots are believed.
#[rstest]
fn after_a_pause_orders_wait_for_a_fresh_read() {
    let clock = ManualClock::default();
    let mut guard = FreshnessGuard::new(clock.now());
    clock.advance(PAUSE_THRESHOLD);
    guard.on_iteration(clock.now(), 7);
    assert!(guard.is_fresh(7), "a slow turn is no pause");
    clock.advance(PAUSE_THRESHOLD + Duration::from_millis(1));
    guard.on_iteration(clock.now(), 7);
    assert!(!guard.is_fresh(7 + READS_AFTER_PAUSE - 1));
    assert!(guard.is_fresh(7 + READS_AFTER_PAUSE));
}
