//! When a router closes new connections unread.

use corianderstand_fleet::overload::Overload;
use std::time::{Duration, Instant};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const IDLE: [Duration; 3] = [Duration::from_millis(1); 3];
const BUSY: [Duration; 3] = [Duration::from_millis(80); 3];

/// An overload whose ticks come `late`, and the time after the last one.
fn after_ticks(ticks: u32, late: Duration) -> (Overload, Instant) {
    let mut now = Instant::now();
    let mut overload = Overload::new(now, TICK_INTERVAL);
    for _ in 0..ticks {
        now += TICK_INTERVAL + late;
        overload.tick(now);
    }
    (overload, now)
}

/// Guards against reading what can't be served while other routers have room.
#[test]
fn a_router_whose_timers_are_late_closes_connections_unread() {
    let (mut overload, now) = after_ticks(5, Duration::from_millis(150));
    assert!(overload.sheds(now, IDLE.into_iter()));
}

/// Guards against turning callers away where no other router would serve them sooner.
#[test]
fn nothing_is_closed_unread_while_all_routers_are_busy() {
    let (mut overload, now) = after_ticks(5, Duration::from_millis(150));
    assert!(!overload.sheds(now, BUSY.into_iter()));
    assert!(!overload.sheds(now, std::iter::empty()), "it is the only one");
}

/// Guards against turning callers away after one slow turn of the loop.
#[test]
fn one_short_delay_closes_nothing() {
    let (mut overload, now) = after_ticks(1, Duration::from_millis(90));
    assert!(!overload.sheds(now, IDLE.into_iter()));
}

/// Guards against reading on while the loop is stuck before its next tick.
#[test]
fn a_tick_that_is_overdue_counts() {
    let (mut overload, now) = after_ticks(3, Duration::ZERO);
    assert!(!overload.sheds(now + TICK_INTERVAL, IDLE.into_iter()));
    assert!(overload.sheds(now + TICK_INTERVAL * 2, IDLE.into_iter()));
}

/// Guards against a router that turns callers away long after it was frozen.
#[test]
fn a_pause_is_forgotten_within_a_second() {
    let (mut overload, mut now) = after_ticks(1, Duration::from_secs(5));
    assert!(overload.sheds(now, IDLE.into_iter()));
    for _ in 0..9 {
        now += TICK_INTERVAL;
        overload.tick(now);
    }
    assert!(!overload.sheds(now, IDLE.into_iter()));
}

/// Guards against switching with each connection around the limit.
#[test]
fn connections_are_read_again_only_below_the_lower_limit() {
    let (mut overload, now) = after_ticks(5, Duration::from_millis(150));
    assert!(overload.sheds(now, IDLE.into_iter()));
    overload.tick(now + TICK_INTERVAL);
    let now = now + TICK_INTERVAL;
    assert!(overload.sheds(now, IDLE.into_iter()), "about 75 ms");
    let mut now = now;
    for _ in 0..2 {
        now += TICK_INTERVAL;
        overload.tick(now);
    }
    assert!(!overload.sheds(now, IDLE.into_iter()));
}
