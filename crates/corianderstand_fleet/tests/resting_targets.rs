//! Rest that targets ask a router for.

mod common;

use common::{entries::entry, id};
use corianderstand_fleet::{choose, targets};
use rstest::rstest;
use std::time::{Duration, Instant};

const REST: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);

/// Two targets of a service without models.
fn two_targets(now: Instant) -> (targets::Targets, targets::TargetKey, targets::TargetKey) {
    let mut targets = targets::Targets::default();
    for name in ["one", "two"] {
        targets.register(now, entry(name));
    }
    let (one, two) = (targets.key(&id("one")).unwrap(), targets.key(&id("two")).unwrap());
    (targets, one, two)
}

fn choice(now: Instant, targets: &targets::Targets, service: &targets::Entry) -> choose::Choice {
    choose::choose(
        now,
        targets,
        &choose::Query {
            service: &service.service,
            requested: None,
            tokens: 0,
            cache_tokens: 0,
            adapter_slots: 0,
            zone: &service.zone,
            tried: &[],
            hash: 7,
            version: None,
            cached_prefix: None,
            work: None,
        },
    )
}

/// Guards against a rest that others don't take over, and against callers that are told too late a time.
#[test]
fn others_take_the_requests_and_the_first_end_counts_if_all_rest() {
    let now = Instant::now();
    let (mut targets, one, two) = two_targets(now);
    let service = targets.get(one).unwrap().entry.clone();
    targets.get_mut(one).unwrap().record_rest(now, REST);
    assert_eq!(choice(now, &targets, &service), choose::Choice::Send(two));
    targets.get_mut(two).unwrap().record_rest(now, SECOND);
    assert_eq!(choice(now, &targets, &service), choose::Choice::Resting(now + SECOND));
    assert_eq!(choice(now + SECOND, &targets, &service), choose::Choice::Send(two));
}

/// Guards against a rest that a later, shorter one ends, and against one that ends no more.
#[rstest]
#[case::a_shorter_one_later(&[(0, 3_000), (1_000, 500)], 3_000)]
#[case::a_longer_one_later(&[(0, 1_000), (500, 2_000)], 2_500)]
#[case::a_mistaken_one(&[(0, 86_400_000)], 300_000)]
fn the_latest_end_counts_up_to_a_limit(#[case] asked: &[(u64, u64)], #[case] expected_ms: u64) {
    let now = Instant::now();
    let (mut targets, one, _) = two_targets(now);
    let target = targets.get_mut(one).unwrap();
    for (at, rest) in asked {
        target.record_rest(now + Duration::from_millis(*at), Duration::from_millis(*rest));
    }
    let end = now + Duration::from_millis(expected_ms);
    assert_eq!(target.resting_until(now + SECOND / 2), Some(end));
    assert_eq!(target.resting_until(end), None);
}

/// Guards against a rest of a target that has started again since, and against one that survives its answers.
#[test]
fn a_rest_ends_with_its_incarnation_or_with_an_answer_after_it() {
    let now = Instant::now();
    let (mut targets, one, _) = two_targets(now);
    let entry = targets.get(one).unwrap().entry.clone();
    let target = targets.get_mut(one).unwrap();
    target.record_rest(now, REST);
    assert!(!target.end_rest(now), "the answer is to a request of before");
    target.record_sent(now + REST);
    assert_eq!(target.resting_until(now + REST), Some(now + REST + SECOND), "it is probed");
    assert!(target.end_rest(now + REST));
    assert_eq!(target.resting_until(now + REST), None);
    target.record_rest(now, REST);
    let started_at_ms = entry.started_at_ms + 1;
    targets.register(now, targets::Entry { started_at_ms, ..entry });
    let next = targets.get(targets.key(&id("one")).unwrap()).unwrap();
    assert_eq!(next.resting_until(now), None);
}
