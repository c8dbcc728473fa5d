//! Slots of targets that limit their requests.

use corianderstand_fleet::request_slots::{self, Schedule};
use std::time::{Duration, Instant};

const PER_S: f64 = 2.0;
const PATIENT: Duration = Duration::from_secs(60);

fn waits(schedule: &mut Schedule, now: Instant, count: usize) -> Vec<Duration> {
    let reserve = |_| schedule.reserve(now, &"engine".into(), PER_S, PATIENT).wait;
    (0..count).map(reserve).collect()
}

#[test]
fn slots_follow_each_other_at_the_rate_of_the_limit() {
    let mut schedule = Schedule::default();
    let ms = Duration::from_millis;
    let waits = waits(&mut schedule, Instant::now(), 4);
    assert_eq!(waits, [ms(0), ms(0), ms(500), ms(1_000)]);
}

/// Guards against bursts after a pause, which add up over the targets' windows.
#[test]
fn unused_slots_are_not_saved() {
    let mut schedule = Schedule::default();
    let now = Instant::now();
    waits(&mut schedule, now, 1);
    let later = waits(&mut schedule, now + Duration::from_secs(20), 3);
    assert_eq!(later, [Duration::ZERO, Duration::ZERO, Duration::from_millis(500)]);
}

/// Guards against requests that give up and still take the slots of others.
#[test]
fn a_slot_that_comes_too_late_is_not_reserved() {
    let (mut schedule, now) = (Schedule::default(), Instant::now());
    waits(&mut schedule, now, 2);
    let impatient = schedule.reserve(now, &"engine".into(), PER_S, Duration::from_millis(100));
    assert!(!impatient.is_reserved);
    assert_eq!(impatient.wait, Duration::from_millis(500));
    let next = schedule.reserve(now, &"engine".into(), PER_S, PATIENT);
    assert!(next.is_reserved);
    assert_eq!(next.wait, Duration::from_millis(500));
}

/// Guards against an engine that takes nothing for a moment and is never asked again.
#[test]
fn a_limit_of_zero_is_probed() {
    assert_eq!(request_slots::interval(0.0), Duration::from_secs(10));
}
