use super::{FreshnessGuard, PAUSE_THRESHOLD, READS_AFTER_PAUSE};
use corianderstand_types::clock::{Clock, ManualClock};
use rstest::rstest;
use std::time::Duration;

/// Guards against trusting a log read whose response predates the pause.
#[rstest]
fn loads_wait_for_a_fresh_read_after_a_pause() {
    let clock = ManualClock::default();
    let mut guard = FreshnessGuard::new(clock.now());
    clock.advance(PAUSE_THRESHOLD);
    guard.on_iteration(clock.now(), 7);
    assert!(guard.is_fresh(7), "a slow iteration is not a pause");
    clock.advance(PAUSE_THRESHOLD + Duration::from_millis(1));
    guard.on_iteration(clock.now(), 7);
    assert!(!guard.is_fresh(7 + READS_AFTER_PAUSE - 1));
    assert!(guard.is_fresh(7 + READS_AFTER_PAUSE));
}
