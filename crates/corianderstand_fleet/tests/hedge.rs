//! Second requests for late answers: when, and within which limit.

use corianderstand_fleet::hedge::{self, AnswerTimes, Denial, Hedging, Limit, Other, Situation};
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::time::{Duration, Instant};

const ALLOWED: Situation = Situation {
    tried: 1,
    max_targets: 2,
    is_suspect: false,
    waiting: 0,
    other: Some(Other { free_slots: 4, is_limited: false }),
};

fn ample() -> Limit {
    let mut limit = Limit::default();
    limit.earn(1_000.0);
    limit
}

/// One in fifty answers of a target is slow; callers get the sooner of two answers, at little extra work.
#[test]
fn the_slowest_answers_are_cut_within_the_limit() {
    const REQUESTS: usize = 20_000;
    const PERCENT: f64 = 5.0;
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let mut answer = || {
        let is_slow = rng.random_bool(0.02);
        let ms: f64 = rng.random_range(30.0..60.0) * if is_slow { 10.0 } else { 1.0 };
        Duration::from_secs_f64(ms / 1_000.0)
    };
    let start = Instant::now();
    let mut hedging = Hedging::default();
    let (mut alone, mut hedged, mut sent) = (Vec::new(), Vec::new(), 0);
    for index in 0..REQUESTS {
        let now = start + Duration::from_millis(10) * index as u32;
        hedging.limit.earn(PERCENT);
        let (first, second) = (answer(), answer());
        let late_after = hedging.times.late_after().filter(|late_after| first > *late_after);
        let time = match late_after {
            Some(late_after) if hedge::decide(&hedging.limit, &ALLOWED).is_ok() => {
                hedging.limit.spend();
                sent += 1;
                first.min(late_after + second)
            }
            _ => first,
        };
        hedging.times.record(now, time);
        alone.push(first);
        hedged.push(time);
    }
    let p99 = |times: &mut Vec<Duration>| {
        times.sort();
        times[times.len() * 99 / 100]
    };
    let (alone, hedged) = (p99(&mut alone), p99(&mut hedged));
    assert!(alone > Duration::from_millis(290), "{alone:?}");
    assert!(hedged < Duration::from_millis(140), "{hedged:?}");
    assert!(sent as f64 <= REQUESTS as f64 * PERCENT / 100.0, "{sent}");
}

/// Guards against a limit that is saved up in quiet times and spent at once in a flood.
#[test]
fn an_unused_limit_is_not_saved_up() {
    let mut limit = Limit::default();
    (0..100_000).for_each(|_| limit.earn(5.0));
    let sent = (0..100).filter(|_| {
        let allows_one = limit.allows_one();
        limit.spend();
        allows_one
    });
    assert!(sent.count() <= 4);
}

/// Guards against a second request that takes a place which another request needs, or that ends a second target.
#[rstest]
#[case::allowed(ALLOWED, Ok(()))]
#[case::no_further_target(Situation { max_targets: 1, ..ALLOWED }, Err(Denial::Targets))]
#[case::ends_targets(Situation { is_suspect: true, ..ALLOWED }, Err(Denial::Suspect))]
#[case::others_wait(Situation { waiting: 1, ..ALLOWED }, Err(Denial::Waiting))]
#[case::no_target(Situation { other: None, ..ALLOWED }, Err(Denial::NoTarget))]
#[case::last_slot(
    Situation { other: Some(Other { free_slots: 1, is_limited: false }), ..ALLOWED },
    Err(Denial::NoTarget)
)]
#[case::limits_its_requests(
    Situation { other: Some(Other { free_slots: 4, is_limited: true }), ..ALLOWED },
    Err(Denial::NoTarget)
)]
fn a_second_request_gives_way(#[case] situation: Situation, #[case] expected: Result<(), Denial>) {
    assert_eq!(hedge::decide(&ample(), &situation), expected);
}

/// Guards against second requests beyond the operator's limit.
#[test]
fn no_second_request_is_sent_beyond_the_limit() {
    let mut limit = Limit::default();
    (0..99).for_each(|_| limit.earn(1.0));
    assert_eq!(hedge::decide(&limit, &ALLOWED), Err(Denial::Limit));
    limit.earn(2.0);
    assert_eq!(hedge::decide(&limit, &ALLOWED), Ok(()));
}

/// Guards against a router that has just started and takes the first few answers for the usual ones.
#[test]
fn few_answers_say_nothing_of_lateness() {
    let mut times = AnswerTimes::default();
    let now = Instant::now();
    (0..39).for_each(|_| times.record(now, Duration::from_millis(50)));
    assert_eq!(times.late_after(), None);
    (0..10).for_each(|_| times.record(now, Duration::from_millis(50)));
    let late_after = times.late_after().unwrap();
    assert!((50..60).contains(&late_after.as_millis()), "{late_after:?}");
}

/// Guards against a service that has become slower as a whole and has all its requests sent twice for long.
#[test]
fn lateness_follows_a_service_that_turns_slow() {
    let mut times = AnswerTimes::default();
    let start = Instant::now();
    for step in 0..4_000_u32 {
        let now = start + Duration::from_millis(10) * step;
        times.record(now, Duration::from_millis(if step < 2_000 { 50 } else { 200 }));
        if step == 2_600 {
            assert!(times.late_after().unwrap() >= Duration::from_millis(200));
        }
    }
}
