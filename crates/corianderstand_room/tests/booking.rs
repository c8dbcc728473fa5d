//! Bookings of requests that were refused.

use corianderstand_room::booking::{Booking, Calendar, Group, Inquiry, Key, Room};
use rstest::rstest;
use std::time::{Duration, Instant};

const ROOM: Room = Room { own: 1_000.0, all: 1_000.0 };

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn inquiry(now: Instant, key: u64, cost: u64, within: Duration) -> Inquiry {
    Inquiry { key: Key(key), group: Group(0), cost, latest: now + within }
}

/// Guards against more bookings for a time than there is room for.
#[test]
fn bookings_follow_each_other_at_the_pace_of_the_room() {
    let now = Instant::now();
    let mut calendar = Calendar::new(now);
    let at: Vec<_> = (0..40)
        .filter_map(|key| calendar.book(now, &inquiry(now, key, 100, millis(4_000)), |_| ROOM))
        .map(|booking| booking.at)
        .collect();
    assert!(at.is_sorted(), "{at:?}");
    assert!((30..=38).contains(&at.len()), "{} bookings of 100 in 4 s at 1,000 a second", at.len());
    for second in 0..4 {
        let (from, until) = (now + millis(second * 1_000), now + millis(second * 1_000 + 1_000));
        let count = at.iter().filter(|at| **at > from && **at <= until).count();
        assert!(count <= 10, "{count} bookings of 100 in second {second}");
    }
}

/// Guards against a moment that the caller can't honour.
#[rstest]
#[case(millis(0))]
#[case(millis(250))]
#[case(millis(700))]
fn no_moment_lies_beyond_what_a_caller_honours(#[case] within: Duration) {
    let now = Instant::now();
    let mut calendar = Calendar::new(now);
    for key in 0..100 {
        let booking = calendar.book(now, &inquiry(now, key, 50, within), |_| ROOM);
        assert!(booking.is_none_or(|booking| booking.at <= now + within), "{booking:?}");
    }
}

/// Guards against a booking that serves two callers with the same content.
#[test]
fn a_booking_is_used_once() {
    let now = Instant::now();
    let mut calendar = Calendar::new(now);
    let ask = inquiry(now, 7, 100, millis(4_000));
    let booking = calendar.book(now, &ask, |_| ROOM).unwrap();
    assert_eq!(calendar.book(now, &ask, |_| ROOM), Some(booking), "asked again, it stays the same");
    assert_eq!(calendar.len(), 1);
    assert_eq!(calendar.take(booking.at, Key(7)), Some(booking));
    assert_eq!(calendar.take(booking.at, Key(7)), None);
}

/// Guards against callers that get their turn earlier by asking again at once.
#[test]
fn who_comes_early_waits_for_its_moment() {
    let now = Instant::now();
    let mut calendar = Calendar::new(now);
    let booking = calendar.book(now, &inquiry(now, 7, 100, millis(4_000)), |_| ROOM).unwrap();
    assert_eq!(calendar.take(booking.at - millis(150), Key(7)), None);
    assert_eq!(calendar.take(booking.at - millis(90), Key(7)), Some(booking));
}

/// Guards against memory that grows with callers that never come back.
#[test]
fn bookings_that_nobody_takes_are_forgotten() {
    let now = Instant::now();
    let mut calendar = Calendar::new(now);
    let plenty = Room { own: 1e12, all: 1e12 };
    for key in 0..20_000 {
        calendar.book(now, &inquiry(now, key, 1, millis(9_000)), |_| plenty);
    }
    assert!(calendar.len() <= 8_192, "{}", calendar.len());
    calendar.expire(now + millis(12_000));
    assert!(calendar.is_empty());
    assert_eq!(calendar.booked_per_s(now + millis(12_000), millis(1_000)), 0.0);
}

/// Guards against bookings that are lost with the keeper that made them.
#[test]
fn another_keeper_knows_a_booking_that_was_told_to_it() {
    let now = Instant::now();
    let mut other = Calendar::new(now);
    let booking = Booking { at: now + millis(900), cost: 100, group: Group(3) };
    other.record(now, Key(7), booking);
    other.record(now, Key(7), booking);
    assert!(
        (other.booked_per_s(now, millis(1_000)) - 100.0).abs() < 1.0,
        "told twice, booked once"
    );
    assert_eq!(other.take(booking.at, Key(7)), Some(booking));
}

/// Guards against figures that aren't numbers, or are beyond all bounds.
#[rstest]
#[case(0.0)]
#[case(-1.0)]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(1e300)]
fn absurd_rooms_stop_nothing(#[case] per_s: f64) {
    let now = Instant::now();
    let mut calendar = Calendar::new(now);
    let room = Room { own: per_s, all: per_s };
    for (key, cost) in [0, 1, u64::MAX].into_iter().enumerate() {
        let ask = inquiry(now, key as u64, cost, millis(u32::MAX.into()));
        let booking = calendar.book(now, &ask, |_| room);
        assert!(booking.is_none_or(|booking| booking.at <= now + millis(15_200)), "{booking:?}");
    }
}
