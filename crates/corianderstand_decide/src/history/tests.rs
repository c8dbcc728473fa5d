//! Predictions from synthetic call histories.

use super::{CallHistories, CallHistory, MAX_HISTORIES, cold_start_cost, wakes::DAY_S};
use corianderstand_types::weights::Weights;
use rstest::rstest;
use std::time::Duration;

const LOAD_TIME: Duration = Duration::from_secs(20);

/// Calls a minute apart for an hour a day: the keep-alive covers the gaps but not the night.
#[rstest]
fn keep_alive_covers_gaps_in_a_session_but_not_nights() {
    let mut history = CallHistory::default();
    for day in 0..7 {
        for minute in 0..60 {
            history.record_call(day * DAY_S + 7 * 3600 + minute * 60);
        }
    }
    let keep = history.keep_alive_time(cold_start_cost(LOAD_TIME, 50, 50));
    assert!(keep > Duration::from_secs(60) && keep < Duration::from_secs(1800), "{keep:?}");
}

#[rstest]
fn a_costlier_cold_start_extends_the_keep_alive() {
    let mut history = CallHistory::default();
    let mut at = 0;
    for step in 0..200 {
        at += 30 + step * 37 % 3000;
        history.record_call(at);
    }
    let cheap = history.keep_alive_time(cold_start_cost(LOAD_TIME, 10, 90));
    let expensive = history.keep_alive_time(cold_start_cost(LOAD_TIME, 90, 10));
    assert!(expensive > cheap, "{expensive:?} {cheap:?}");
}

/// Guards against prewarming on a weekly day without calls.
#[rstest]
fn a_weekly_day_off_is_not_prewarmed() {
    let mut history = CallHistory::default();
    for day in (0..13).filter(|day| day % 7 != 6) {
        history.record_call(day * DAY_S + 7 * 3600 + day * 60);
    }
    let cost = cold_start_cost(LOAD_TIME, 80, 20);
    let workday = history.prewarm_window(14 * DAY_S, cost);
    assert!(workday.is_some_and(|window| window.start_unix_s / DAY_S == 14));
    let day_off = history.prewarm_window(13 * DAY_S, cost);
    assert!(day_off.is_none_or(|window| window.start_unix_s / DAY_S != 13), "{day_off:?}");
}

#[rstest]
fn irregular_calls_are_not_prewarmed() {
    let mut history = CallHistory::default();
    for (day, hour) in [(0, 3), (1, 11), (3, 18), (6, 7), (8, 22), (11, 14)] {
        history.record_call(day * DAY_S + hour * 3600);
    }
    assert_eq!(history.prewarm_window(12 * DAY_S, cold_start_cost(LOAD_TIME, 50, 50)), None);
}

/// Guards against unbounded growth, and against losing histories kept by a peer.
#[rstest]
fn histories_are_bounded_and_merge() {
    let mut histories = CallHistories::default();
    let weights = |number: usize| Weights::model(format!("m{number}").as_str().into(), "1".into());
    for number in 0..MAX_HISTORIES + 10 {
        histories.record_call(&weights(number), number as u64);
        histories.record_call(&weights(number), number as u64 + 1);
    }
    assert_eq!(histories.iter().count(), MAX_HISTORIES);
    assert!(histories.find(&weights(0)).is_none());
    let mut fresh = CallHistories::default();
    fresh.record_call(&weights(500), 1);
    fresh.merge(histories.clone());
    assert_eq!(fresh.find(&weights(500)), histories.find(&weights(500)));
}
