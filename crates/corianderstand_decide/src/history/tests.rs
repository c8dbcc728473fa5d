//! Histories made up call by call.

use super::{Histories, History, MAX_HISTORIES, cold_start_cost, wakes::DAY_S};
use corianderstand_types::weights::Weights;
use rstest::rstest;
use std::time::Duration;

const LOAD: Duration = Duration::from_secs(20);

/// Calls a minute apart for an hour each day: the hour is bridged, the night is not.
#[rstest]
fn gaps_within_a_session_are_bridged_and_nights_are_not() {
    let mut history = History::default();
    for day in 0..7 {
        for minute in 0..60 {
            history.record_call(day * DAY_S + 7 * 3600 + minute * 60);
        }
    }
    let keep = history.keep_alive_time(cold_start_cost(LOAD, 50, 50));
    assert!(keep > Duration::from_secs(60) && keep < Duration::from_secs(1800), "{keep:?}");
}

/// The costlier a cold start against an idle hour, the longer a model is kept.
#[rstest]
fn a_dearer_cold_start_keeps_longer() {
    let mut history = History::default();
    let mut at = 0;
    for step in 0..200 {
        at += 30 + step * 37 % 3000;
        history.record_call(at);
    }
    let cheap = history.keep_alive_time(cold_start_cost(LOAD, 10, 90));
    let dear = history.keep_alive_time(cold_start_cost(LOAD, 90, 10));
    assert!(dear > cheap, "{dear:?} {cheap:?}");
}

/// A crew works on six days of the week. After one free day was seen, nothing is loaded on the
/// next; without that a replica would wait each week for nobody.
#[rstest]
fn a_day_of_rest_is_left_alone() {
    let mut history = History::default();
    for day in (0..13).filter(|day| day % 7 != 6) {
        history.record_call(day * DAY_S + 7 * 3600 + day * 60);
    }
    let cost = cold_start_cost(LOAD, 80, 20);
    let monday = history.prewarm_window(14 * DAY_S, cost);
    assert!(monday.is_some_and(|window| window.from / DAY_S == 14));
    let rest = history.prewarm_window(13 * DAY_S, cost);
    assert!(rest.is_none_or(|window| window.from / DAY_S != 13), "{rest:?}");
}

/// Market days come without pattern. Nothing is loaded ahead, as it would mostly wait in vain.
#[rstest]
fn calls_without_pattern_have_no_window() {
    let mut history = History::default();
    for (day, hour) in [(0, 3), (1, 11), (3, 18), (6, 7), (8, 22), (11, 14)] {
        history.record_call(day * DAY_S + hour * 3600);
    }
    assert_eq!(history.prewarm_window(12 * DAY_S, cold_start_cost(LOAD, 50, 50)), None);
}

/// Histories survive a restart through a peer, and their number is bounded.
#[rstest]
fn histories_are_bounded_and_merge() {
    let mut histories = Histories::default();
    let weights = |number: usize| Weights::model(format!("m{number}").as_str().into(), "1".into());
    for number in 0..MAX_HISTORIES + 10 {
        histories.record_call(&weights(number), number as u64);
        histories.record_call(&weights(number), number as u64 + 1);
    }
    assert_eq!(histories.iter().count(), MAX_HISTORIES);
    assert!(histories.find(&weights(0)).is_none());
    let mut fresh = Histories::default();
    fresh.record_call(&weights(500), 1);
    fresh.merge(histories.clone());
    assert_eq!(fresh.find(&weights(500)), histories.find(&weights(500)));
}
